#include <array>

#include "pistachioflow/clients/wire.hpp"

namespace pistachioflow {

template <> std::span<const EnumName<OrderKind>> enumNames<OrderKind>() {
  static constexpr auto Names = std::to_array<EnumName<OrderKind>>({
      {OrderKind::Hold, "hold"},
      {OrderKind::Start, "start"},
      {OrderKind::Renew, "renew"},
      {OrderKind::Checkpoint, "checkpoint"},
      {OrderKind::Throttle, "throttle"},
      {OrderKind::Stop, "stop"},
  });
  return Names;
}

template <> std::span<const EnumName<TaskPhase>> enumNames<TaskPhase>() {
  static constexpr auto Names = std::to_array<EnumName<TaskPhase>>({
      {TaskPhase::Held, "held"},
      {TaskPhase::Running, "running"},
      {TaskPhase::Finished, "finished"},
      {TaskPhase::Failed, "failed"},
  });
  return Names;
}

} // namespace pistachioflow
