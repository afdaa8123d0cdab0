#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/sched/job_spec.hpp"

namespace pistachioflow {

/// Stands for any number of tasks.
inline constexpr std::int64_t UnlimitedTasks =
    std::numeric_limits<std::int64_t>::max() / 4;

/// Marks the absence of a group of units.
inline constexpr std::size_t NoGroup = std::numeric_limits<std::size_t>::max();

/// One worker as the placement sees it.
struct PlacementWorker {
  std::string Id;
  std::string Service;
  std::string Rack;
  std::vector<std::string> Labels;
  Resources Capacity;
  Resources FreeNow; ///< Now.
  Resources
      FreeAfterStops; ///< Once everything that is being stopped has ended.
  Resources FreeAfterExpectedEnds; ///< Soon, and once what probably ends by
                                   ///< itself has ended.
  bool Usable = true;
  /// Doubted workers are used only where no other has room.
  bool Deprioritized = false;
  bool Verified = true; ///< A run has lately lived on it.
  /// Takes one task that may fail, and no gang, until it is trusted again.
  bool OnProbation = false;
  /// Urgent work runs on it, or did a moment ago. Single tasks of lower
  /// priority go elsewhere, as long as at most half of the workers are kept.
  bool ReservedForUrgent = false;
  /// The group that an earlier round reserved it for; others prefer other
  /// rooms.
  std::size_t ReservedForGroup = NoGroup;
  bool ReservedThisRound =
      false; ///< In this round, for a unit ahead in the order.
};

/// A unit that waits for a place.
struct WaitingUnit {
  std::string Service;
  std::string Workspace;
  std::int64_t Priority = 0;
  const StepSpec *Step = nullptr;
  std::int64_t TaskCount = 1;
  const std::set<std::string, std::less<>> *AvoidedWorkers = nullptr;
  std::size_t Group = 0; ///< Units of the same step of one occurrence share it.
  /// Workers that already hold tasks of a group with a limit for each worker.
  std::vector<std::string> GroupWorkers;
  /// Its workspace's guarantee covers it and its time to start runs out: work
  /// of the same priority beyond other guarantees gives way.
  bool MayReclaim = false;
  /// Workers that earlier rounds reserved for it.
  std::span<const std::string> ReservedWorkers;
  /// Waits for runs that probably end as soon as a stop would end them.
  bool WaitsForExpectedEnds = false;
  bool LastAttempt = false; ///< Its job ends as failed if it fails once more.
};

/// A unit that has a place.
struct PlacedUnit {
  std::string Workspace;
  std::int64_t Priority = 0;
  Resources TaskResources;
  std::vector<std::size_t> WorkerIndices; ///< Indices of its members' workers.
  bool Stopping = false;
  bool EndsSoon = false; ///< Probably, and as soon as a stop would end it.

  bool BeyondGuarantee = false; ///< Its workspace uses more than its guarantee.
  double LostWork = 0;          ///< Core-seconds that a stop would throw away.
  std::int64_t RemainingMs = 0; ///< Until it probably ends by itself.
};

/// A unit's place: one room for each of its tasks, in the order of the tasks.
struct PlannedStart {
  std::size_t WaitingIndex = 0;
  std::vector<std::size_t> WorkerIndices;
};

/// A placed unit that gives way to a waiting one.
struct PlannedPreemption {
  std::size_t PlacedIndex = 0;
  std::size_t WaitingIndex = 0;
};

/// Rooms that lower ranks leave alone until a waiting gang fits on them.
struct PlannedReservation {
  std::size_t WaitingIndex = 0;
  std::vector<std::size_t> WorkerIndices;
};

/// What one round of placement decided.
struct PlacementPlan {
  std::vector<PlannedStart> Starts;
  std::vector<PlannedPreemption> Preemptions;
  std::vector<PlannedReservation> Reservations;
  std::vector<std::size_t> Blocked; ///< Indices of waiting units.
};

/// Whether the worker may ever run a task of the unit, full or not.
bool mayHost(const PlacementWorker &Room, const WaitingUnit &Unit);

/// Chooses another worker for one task of a gang that its first worker refused.
/// \p OtherRacks are the racks of the gang's other tasks. Doubted workers are
/// left out: a second refusal would cost the gang more time than a new place.
std::optional<std::size_t>
planReplacement(std::span<PlacementWorker> Rooms, const WaitingUnit &Gang,
                std::span<const std::string> OtherRacks);

/// Decides which of \p Waiting, in their order, start where, and which of
/// \p Placed give way.
///
/// Load pattern: more work than room, in bursts. A unit that must wait for
/// stops keeps its room from everything behind it, so that work of lower
/// priority cannot slip in between; a unit of the highest priority takes room
/// from lower priorities, and within its guarantee also from workspaces beyond
/// theirs, where the least work is lost. Thread safety: pure.
PlacementPlan planPlacement(std::span<PlacementWorker> Rooms,
                            std::span<const WaitingUnit> Waiting,
                            std::span<const PlacedUnit> Placed);

/// How many tasks of \p Each fit into \p Room.
std::int64_t fittingTasks(const Resources &Room, const Resources &Each);

Resources operator+(Resources Left, const Resources &Right);
Resources operator-(Resources Left, const Resources &Right);

} // namespace pistachioflow
