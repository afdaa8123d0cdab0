#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/codec/model_json.hpp"

namespace pistachioflow::standin {

enum class FaultPart : std::uint8_t { Log, Instances, Workers, Runners };

enum class FaultKind : std::uint8_t {
  Down,            ///< Nothing happens; the answer is 503.
  Slow,            ///< The answer comes after the delay.
  LostAnswer,      ///< The call takes effect; the connection is cut.
  Cut,             ///< The connection is cut; the call has no effect.
  Die,             ///< The worker loses its tasks and answers no more.
  Refuse,          ///< A worker refuses to hold; a runner is busy.
  FailTasks,       ///< Every task fails as soon as it starts.
  Half,            ///< Half of the answer arrives.
  Foreign,         ///< The answer names another request.
  Twice,           ///< The answer arrives twice.
  ResetBeforeByte, ///< The runner ran it; the connection is cut at once.
  ResetAfterByte,  ///< The connection is cut after the first bytes.
  Never,           ///< The runner ran it, and never answers.
  Leaving,         ///< The runner is listed as leaving and refuses.
};

/// One fault that is switched on.
struct Fault {
  FaultPart Part = FaultPart::Log;
  FaultKind Kind = FaultKind::Down;
  std::string Target;      ///< A worker or runner; empty: all of the part.
  std::uint32_t Count = 0; ///< Calls that it hits; 0: until switched off.
  Duration Delay;          ///< Of Slow.
};

nlohmann::json toJson(const Fault &Value);
Fault readFault(ObjectReader In);

/// The faults that are switched on.
///
/// Thread safety: every method may be called from any thread.
class FaultBoard {
public:
  void add(const Fault &Value);
  void clear();
  std::vector<Fault> list() const;

  /// Returns the fault that hits this call, and counts the hit.
  std::optional<Fault> take(FaultPart Part, FaultKind Kind,
                            std::string_view Target = {});

  /// Tells whether the fault is on, without counting a hit.
  bool isOn(FaultPart Part, FaultKind Kind, std::string_view Target) const;

private:
  struct Entry {
    Fault What;
    std::uint32_t Hits = 0;
  };

  mutable std::mutex Lock;
  std::vector<Entry> Entries;
};

} // namespace pistachioflow::standin

namespace pistachioflow {
template <>
std::span<const EnumName<standin::FaultPart>> enumNames<standin::FaultPart>();
template <>
std::span<const EnumName<standin::FaultKind>> enumNames<standin::FaultKind>();
} // namespace pistachioflow
