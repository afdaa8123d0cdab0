#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace pistachioflow {

/// Accelerators of a workspace: guaranteed, and in use by work of the highest
/// priority.
struct GuaranteeUse {
  std::string Workspace;
  std::int64_t Guaranteed = 0;
  std::int64_t InUse = 0; ///< Work that is being stopped is left out.
};

/// Keeps the use of guarantees up to date while a placement round decides.
///
/// Load pattern: several workspaces above and below their guarantees in a full
/// cluster. Each decision of a round counts for the next one, so that a
/// workspace reclaims no more than its guarantee, and loses no work that its
/// own guarantee covers. Thread safety: none.
class GuaranteeLedger {
public:
  explicit GuaranteeLedger(std::span<const GuaranteeUse> Uses);

  /// Whether the guarantee covers \p Accelerators more, beyond what the
  /// workspace uses and claims.
  bool covers(std::string_view Workspace, std::int64_t Accelerators) const;

  /// Returns how many accelerators the workspace uses beyond its guarantee;
  /// negative if it uses fewer. Claims are left out: they may still fail.
  std::int64_t excess(std::string_view Workspace) const;

  /// Adds to a workspace's use; \p Accelerators may be negative.
  void use(std::string_view Workspace, std::int64_t Accelerators);

  /// Adds to what a workspace will use once preempted work has stopped.
  void claim(std::string_view Workspace, std::int64_t Accelerators);

private:
  struct Entry {
    GuaranteeUse Use;
    std::int64_t Claimed = 0;
  };

  Entry &entryOf(std::string_view Workspace);

  std::map<std::string, Entry, std::less<>> ByWorkspace;
};

} // namespace pistachioflow
