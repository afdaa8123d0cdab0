#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/sched/guarantee_ledger.hpp"
#include "pistachioflow/sched/job_spec.hpp"
#include "pistachioflow/sched/worker_pace.hpp"

namespace pistachioflow {

/// Any number of tasks. Small enough that adding a few such values cannot
/// overflow.
inline constexpr std::int64_t UnlimitedTasks =
    std::numeric_limits<std::int64_t>::max() / 4;

/// Marks the absence of a group of units.
inline constexpr std::size_t NoGroup = std::numeric_limits<std::size_t>::max();

/// A round begins no further unit once it has started this many tasks. An owner
/// does nothing else during a round, so that a longer one would delay its
/// heartbeats until another instance takes over.
inline constexpr std::size_t MaxStartsPerRound = 256;

/// State of one worker in a placement round. Its texts are views of the
/// caller's, since a round describes every worker.
struct PlacementWorker {
  std::string_view Id;
  std::string_view Service;
  std::string_view Rack;
  std::span<const std::string> Labels;
  Resources Capacity;
  Resources FreeNow;        ///< At the moment.
  Resources FreeAfterStops; ///< Once all runs being stopped have ended.
  /// As FreeAfterStops, and once runs expected to end soon have ended.
  Resources FreeAfterExpectedEnds;
  bool Usable = true;
  /// Operators have evacuated its failure domain: it is not usable, and counts
  /// for no share of the workers.
  bool Evacuated = false;
  /// It lately failed or refused what it was given, perhaps by the fault of the
  /// jobs. Used only by units with AcceptsSuspended, and after others.
  bool Suspended = false;
  /// It lately failed, refused or did not answer a start: used only where no
  /// other worker has free capacity.
  bool Deprioritized = false;
  bool Verified = true; ///< A run has lately succeeded on it.
  /// Gets one task at a time, neither gangs nor last attempts, until a run has
  /// succeeded on it. Units with AcceptsSuspended disregard this.
  bool OnProbation = false;
  /// Urgent work runs on it or did a moment ago. Single tasks of lower priority
  /// go elsewhere, unless more than half of the workers are reserved this way.
  bool ReservedForUrgent = false;
  /// The group that an earlier round reserved it for; other units prefer other
  /// workers.
  std::size_t ReservedForGroup = NoGroup;
  bool Occupied = false;          ///< Something runs on it.
  double LogPace = 0;             ///< Relative to other workers; see logPace().
  TaskKinds KindsThere = 0;       ///< Of all that runs on it.
  bool HostsSuspect = false;      ///< A suspect has just begun to run on it.
  bool ReservedThisRound = false; ///< For a unit earlier in the order.
};

/// Which workers a unit prefers by their pace, before the tightest fit.
enum class PacePreference {
  None,
  Fastest,    ///< Urgent work, and gangs: their slowest member counts.
  NotFastest, ///< Leaves the fastest workers to those.
};

/// A unit that waits to be placed. Its texts are views of the caller's.
struct WaitingUnit {
  std::string_view Service;
  std::string_view Workspace;
  std::int64_t Priority = 0;
  const StepSpec *Step = nullptr;
  std::int64_t TaskCount = 1;
  const std::set<std::string, std::less<>> *AvoidedWorkers = nullptr;
  std::size_t Group = 0; ///< Units of the same step of one occurrence share it.
  /// Workers of the group's running tasks, one entry for each; only for steps
  /// with MaxPerWorker.
  std::vector<std::string_view> GroupWorkers;
  /// It has waited long enough to preempt work of its own priority from
  /// workspaces beyond their guarantees, if its own guarantee covers it.
  bool ReclaimDue = false;
  /// One worker for each task: capacity that earlier rounds preempted for it.
  /// Empty: none.
  std::span<const std::string> ClaimedWorkers;
  Instant ClaimedAt; ///< Older claims are served first.
  /// The expected ends that its claim relies on are overdue.
  bool ClaimOverdue = false;
  /// Workers that earlier rounds reserved for it.
  std::span<const std::string> ReservedWorkers;
  /// Prefers to wait for runs that are expected to end about as soon as a stop
  /// would end them.
  bool WaitsForExpectedEnds = false;
  /// A worker has crashed under it. It prefers empty workers, and other units
  /// prefer workers without it, so that the next crash shows its cause and ends
  /// little else.
  bool Suspect = false;
  bool LastAttempt = false; ///< One more failure fails its job.
  /// Preferences have kept it from free workers for long enough: it takes any
  /// worker that it fits on and that is not reserved for a gang ahead of it.
  bool AcceptsAnyWorker = false;
  bool IgnoresReservations = false; ///< And those that are reserved as well.
  /// And those that are suspended or on probation.
  bool AcceptsSuspended = false;
  PacePreference Pace = PacePreference::None;
  /// See slowdownsBeside(). Empty: they don't matter to it.
  std::span<const double> SlowdownsBeside;
};

/// A unit that has been placed. Its texts are views of the caller's.
struct PlacedUnit {
  std::string_view Workspace;
  std::int64_t Priority = 0;
  Resources TaskResources;
  std::vector<std::size_t> WorkerIndices; ///< Where its members run.
  bool Stopping = false;
  bool EndsSoon = false;        ///< Probably ends no later than by a stop.
  double LostWork = 0;          ///< Core-seconds lost by a stop.
  std::int64_t RemainingMs = 0; ///< Expected time to its end.
};

/// Start of a waiting unit: one worker for each task, in task order.
struct PlannedStart {
  std::size_t WaitingIndex = 0;
  std::vector<std::size_t> WorkerIndices;
};

/// Preemption of a placed unit for a waiting one, which needs one of its
/// workers.
struct PlannedPreemption {
  std::size_t PlacedIndex = 0;
  std::size_t WaitingIndex = 0;
  std::size_t WorkerIndex = 0;
};

/// Capacity that is being preempted for a waiting unit: one worker for each
/// task. Later rounds hold it for the unit.
struct PlannedClaim {
  std::size_t WaitingIndex = 0;
  std::vector<std::size_t> WorkerIndices;
};

/// Workers that units of lower rank must not use until a waiting gang fits on
/// them.
struct PlannedReservation {
  std::size_t WaitingIndex = 0;
  std::vector<std::size_t> WorkerIndices;
};

/// Decisions of one placement round.
struct PlacementPlan {
  std::vector<PlannedStart> Starts;
  std::vector<PlannedPreemption> Preemptions;
  std::vector<PlannedClaim> Claims;
  /// Waiting units whose claim is given up: it includes a worker that they may
  /// not use now, or relies on an end that is overdue. Claims may name some of
  /// them again.
  std::vector<std::size_t> DroppedClaims;
  std::vector<PlannedReservation> Reservations;
  std::vector<std::size_t> Blocked; ///< Indices of waiting units.
  /// Waiting units that only their preferences keep from free workers.
  std::vector<std::size_t> HeldBack;
  /// MaxStartsPerRound was reached: the units that are in none of the lists are
  /// left to the next round.
  bool Incomplete = false;
  /// How often the round has looked through all workers, which is most of its
  /// cost.
  std::size_t Searches = 0;
};

/// Whether the worker may run tasks of the unit, regardless of free capacity.
bool mayHost(const PlacementWorker &Worker, const WaitingUnit &Unit);

/// Chooses another worker for a gang member that its first worker refused. \p
/// Racks are those of all members as they were placed: a gang that stands on
/// one rack stays there, one on several racks may use any. Deprioritized
/// workers are excluded: a second refusal would delay the gang more than a new
/// placement.
std::optional<std::size_t>
planReplacement(std::span<PlacementWorker> Workers, const WaitingUnit &Gang,
                std::span<const std::string_view> Racks);

/// Decides where units of \p Waiting start, in the given order, and which of \p
/// Placed are preempted.
///
/// Load pattern: bursts of more work than capacity. Capacity that a unit is
/// waiting for is withheld from all units behind it, so that work of lower
/// priority cannot take it. A unit of the highest priority preempts lower
/// priorities and, within its guarantee, workspaces beyond theirs; the victims
/// are those that lose the least work. The unit then claims what the victims
/// release, whatever is ranked before it in later rounds: without the claim, a
/// full queue of urgent gangs preempts the same work again and again. A full
/// queue that meets an empty cluster is placed in several rounds, in the same
/// order. Thread safety: pure.
PlacementPlan planPlacement(std::span<PlacementWorker> Workers,
                            std::span<const WaitingUnit> Waiting,
                            std::span<const PlacedUnit> Placed,
                            std::span<const GuaranteeUse> Guarantees);

/// Returns how many tasks of \p PerTask fit into \p Available.
std::int64_t fittingTasks(const Resources &Available, const Resources &PerTask);

Resources operator+(Resources Left, const Resources &Right);
Resources operator-(Resources Left, const Resources &Right);

} // namespace pistachioflow
