#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/policy/amount.hpp"
#include "pistachioflow/policy/job_state.hpp"

namespace pistachioflow::policy {

/// Index of a worker in Capacity::Slots.
using SlotIndex = std::uint32_t;

/// The capacity of one worker and how much of it is in use.
struct WorkerSlot {
  Amount Total;
  Amount Free;        ///< Total minus the use of every active gang.
  Amount Homes;       ///< Part of homes.
  Amount HomeUsed;    ///< Of Homes, used by gangs that do not borrow.
  Amount BeingFreed;  ///< Used by gangs that are stopping or being reclaimed.
  Amount Preemptible; ///< Used by other gangs that borrow and are not urgent.
  std::uint32_t Rack = 0;
  bool Usable = false;
};

/// Slots [First, Last) of one rack.
struct RackSlot {
  SlotIndex First = 0;
  SlotIndex Last = 0;
  std::uint32_t Domain = 0;
  std::uint32_t Position = 0;
  std::int64_t FreeAccelerators = 0; ///< Of the usable workers.
};

/// Racks [First, Last) of one failure domain, ordered by position.
struct DomainSlot {
  std::uint32_t First = 0;
  std::uint32_t Last = 0;
};

/// The workers of a cell as dense arrays, ordered by domain, rack and id.
struct Capacity {
  std::vector<WorkerSlot> Slots;
  std::vector<RackSlot> Racks;
  std::vector<DomainSlot> Domains;

  /// Subtracts \p Use from the free capacity; a negative one is returned to it.
  void take(SlotIndex Slot, const Amount &Use);
};

/// Orders the queued jobs of one workspace and shape, lowest first.
struct QueueKey {
  std::int64_t Order = 0;
  JobId Job;
  const JobState *State = nullptr;

  friend bool operator<(const QueueKey &Left, const QueueKey &Right) {
    if (Left.Order != Right.Order)
      return Left.Order < Right.Order;
    return Left.Job < Right.Job;
  }
};

/// A GangShape as a map key.
struct ShapeKey {
  std::uint32_t Accelerators = 0;
  std::uint32_t Tasks = 0;
  std::uint32_t Cores = 0;
  std::uint32_t MemoryMb = 0;
  Adjacency Near = Adjacency::SameRack;

  auto operator<=>(const ShapeKey &) const = default;
};

ShapeKey keyOf(const GangShape &Shape);

/// A job with the time by which an index orders it.
struct TimedJob {
  Instant At;
  JobId Job;

  auto operator<=>(const TimedJob &) const = default;
};

using JobQueue = std::set<QueueKey>;

/// The capacity of one workspace's homes on one worker.
struct HomePart {
  SlotIndex Slot = 0;
  Amount Total;
  Amount Used; ///< By gangs of the workspace that do not borrow.
};

/// Limits, usage and queues of one workspace.
struct WorkspaceIndex {
  const PlanEntry *Plan =
      nullptr; ///< Null: the list of plans lacks the workspace.
  const LimitsEntry *Limits = nullptr;
  std::int64_t Used = 0;     ///< Accelerators of active gangs.
  std::int64_t Borrowed = 0; ///< Of these, above the guarantee.
  std::int64_t Leaving = 0;  ///< Of Used, of gangs that stop or are reclaimed.
  std::map<ShapeKey, JobQueue> Queues;
  std::map<ShapeKey, JobQueue> UrgentQueues;
  std::set<TimedJob> Active;   ///< By start.
  std::vector<HomePart> Parts; ///< Ordered by slot.
};

struct CellState;

/// Derived data of a CellState. Never serialised. It points into its state, so
/// a copy is empty and is rebuilt when it is first needed.
struct CellIndex {
  bool Built = false;
  Instant Now; ///< The latest observed time.
  Capacity Cap;
  std::vector<const WorkerState *> WorkerOf; ///< By slot.
  std::unordered_map<WorkerId, SlotIndex> SlotOf;
  std::vector<std::vector<const JobState *>> Gangs; ///< By slot, by start.
  std::map<WorkspaceId, WorkspaceIndex> Workspaces;
  std::set<TimedJob> Unadmitted;  ///< By submission.
  std::set<TimedJob> Delayed;     ///< By the time of the next attempt.
  std::set<TimedJob> Deadlines;   ///< Reclaimed gangs by their hard stop.
  std::set<TimedJob> Ended;       ///< By end.
  std::set<JobId> ActionRequired; ///< Jobs to stop, end or throttle.
  std::map<JobId, std::set<JobId>> VictimsOf;
  std::set<WorkerId>
      FailingWorkers; ///< With recorded failures, or quarantined.

  CellIndex() = default;
  CellIndex(const CellIndex &) {}
  CellIndex(CellIndex &&) = default;
  CellIndex &operator=(const CellIndex &Other) {
    if (this != &Other)
      *this = CellIndex();
    return *this;
  }
  CellIndex &operator=(CellIndex &&) = default;
  ~CellIndex() = default;
};

/// Builds the index of \p State from scratch.
CellIndex buildIndex(const CellState &State);

/// Adds or removes \p Job. Precondition: it has not changed since it was added.
void indexJob(CellIndex &Index, const JobState &Job);
void unindexJob(CellIndex &Index, const JobState &Job);

/// Returns the workspace's index, or null if the workspace is unknown.
const WorkspaceIndex *findWorkspace(const CellIndex &Index,
                                    const WorkspaceId &Workspace);

} // namespace pistachioflow::policy
