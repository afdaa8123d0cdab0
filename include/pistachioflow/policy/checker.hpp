#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "pistachioflow/base/finding.hpp"
#include "pistachioflow/model/action.hpp"
#include "pistachioflow/model/event.hpp"
#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow::policy {

/// Checks every decision of one cell against the invariants. It keeps its own
/// state of the cell from events and actions, and shares no code with the
/// policy. Not thread safe.
///
/// Invariants: no accelerator, core or memory is allocated twice; a gang starts
/// whole and meets its adjacency; no workspace exceeds its ceiling; only
/// borrowed work is preempted; all homes fit their workers at the same time, so
/// that each can be cleared of borrowed work; a guaranteed gang starts within
/// the reclaim deadline; every decision has a code, numbers, and existing list
/// entries at their revision.
class Checker {
public:
  /// Precondition: the decisions are made with \p Prefer as well.
  explicit Checker(const Settings &Prefer) : Prefer(Prefer) {}

  /// Records one event. Call it before the decisions that follow from it.
  void observeEvent(const Event &Fact, Instant At);

  /// Checks one decision. Call it in the order in which they were made.
  void checkDecision(const Decision &Made, Instant At);

  /// Checks the invariants that hold between two events, and compares \p State
  /// with the checker's own state.
  void checkState(const CellState &State, Instant At);

  const Findings &violations() const { return this->Violations; }

  /// Returns the longest time that a guaranteed gang waited for its home.
  Duration longestReclaim() const { return this->LongestReclaim; }

private:
  struct Use {
    std::int64_t Accelerators = 0;
    std::int64_t Cores = 0;
    std::int64_t MemoryMb = 0;
  };

  struct Job {
    JobSpec Spec;
    bool Admitted = false;
    bool Active = false;
    bool Stopping = false;
    bool Reclaimed = false;
    bool Borrowed = false;
    bool Ended = false;
    bool Cancelled = false;
    Attempt Try = 0;
    std::vector<Placement> At;
  };

  struct Worker {
    WorkerInfo Info;
    bool Lost = false;
    bool Quarantined = false;
    std::set<JobId> Gangs;
  };

  void fail(Instant At, const std::string &Rule, const std::string &Observed);
  void checkReason(const Decision &Made, Instant At);
  void checkEntry(const EntryRef &Entry, const Decision &Made, Instant At);
  void checkStart(const StartGang &Start, Instant At);
  void checkAdjacency(const StartGang &Start, const GangShape &Shape,
                      Instant At);
  void checkPreemption(const JobId &Name, Attempt Try, const JobId &For,
                       Instant At);
  void checkHomes(Instant At);
  void checkCeilings(Instant At);
  void checkReclaims(const CellState &State, Instant At);
  void compare(const CellState &State, Instant At);

  void leave(Job &Gang);
  void requeueOrEnd(Job &Gang, bool Ends);
  void assumeAllBorrowed();
  Job *attempt(const JobId &Name, Attempt Try);
  const LimitsEntry *limitsOf(const WorkspaceId &Workspace) const;
  Use useOf(const Worker &On) const;
  std::map<WorkerId, Use> freeInHomes(const WorkspaceId &Workspace) const;
  std::vector<GangShape> idleHomeShapes(const WorkspaceId &Workspace) const;

  static Use share(const GangShape &Shape, std::int64_t Tasks);
  static bool within(const Use &Part, const Use &Whole);

  Settings Prefer;
  Lists Configuration;
  std::map<JobId, Job> Jobs;
  std::map<WorkerId, Worker> Workers;
  std::set<JobId> Active;
  std::set<JobId> Waiting; ///< Admitted and not active.
  std::vector<Home> Homes;
  std::vector<ReportGuaranteeAtRisk> AtRisk;
  /// When each workspace began to wait for an idle home.
  std::map<WorkspaceId, Instant> WaitingSince;
  Duration LongestReclaim;
  Findings Violations;
};

} // namespace pistachioflow::policy
