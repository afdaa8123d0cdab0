#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "pistachioflow/policy/cell.hpp"
#include "pistachioflow/policy/placement.hpp"
#include "pistachioflow/policy/work_count.hpp"

namespace pistachioflow::policy {

/// Usage of a workspace once the decisions so far are applied.
struct WorkspaceUsage {
  std::int64_t Used = 0;
  std::int64_t Borrowed = 0;
  std::int64_t Leaving = 0; ///< Of Used, of gangs that will stop.
  std::vector<HomePart> Parts;
};

/// Capacity that a reservation holds until its job starts.
struct ReservedCapacity {
  JobId For;
  Instant ExpectedStart;
  GangShape Shape;
  Shares At;
};

/// The decisions of one call so far, and the capacity once they are applied.
/// Not thread safe.
class DecisionDraft {
public:
  DecisionDraft(const CellState &State, const CellIndex &Index,
                const Settings &Prefer, Instant Now, WorkCount &Work);

  const CellState &State;
  const CellIndex &Index;
  const Settings &Prefer;
  const Instant Now;
  WorkCount &Work;
  Capacity Cap;
  std::vector<Amount> HeldForReclaim;               ///< By slot.
  std::vector<ReservedCapacity> ReservedCapacities; ///< By reservations.
  std::set<JobId> DecidedJobs; ///< Jobs that were started, stopped or ended.
  std::optional<std::vector<Home>> MovedHomes;
  std::vector<Decision> Decisions;

  const JobState &job(const JobId &Name) const;
  WorkspaceUsage &use(const WorkspaceId &Workspace);

  void decide(Action What, Reason Why);

  /// Decides to start the job at \p At and allocates the capacity.
  void start(const JobState &Job, std::span<const SlotShare> At, bool Borrowed,
             Reason Why);

  /// Counts the use of an active gang as being freed, no longer as preemptible.
  void markBeingFreed(const JobState &Job);

  /// Holds \p At for a job that waits for a reclaim, during this call.
  void holdCapacity(const GangShape &Shape, std::span<const SlotShare> At);

  /// Returns what is free on the slot for any job that may use it.
  Amount freeOn(SlotIndex Slot) const;

  /// Returns the slots of \p At, or nothing where one is unknown or unusable.
  std::optional<Shares> shares(std::span<const Placement> At) const;

  std::vector<Placement> placements(std::span<const SlotShare> At) const;

  /// Tells whether the ceiling of the job's workspace lets it start.
  bool underCeiling(const JobState &Job);

private:
  std::map<WorkspaceId, WorkspaceUsage> Uses;
};

} // namespace pistachioflow::policy
