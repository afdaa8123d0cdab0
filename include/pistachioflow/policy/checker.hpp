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

/// Checks every decision of one cell against what must always hold. It keeps
/// its own account of the cell from events and actions, and shares no code with
/// the decisions. Not thread safe.
///
/// What it checks: no accelerator, core or memory is given twice; a gang starts
/// whole and as near as it asks; nobody is above a ceiling; only borrowed work
/// is preempted; homes fit their workers together, so that each can be emptied
/// of borrowed work; a guaranteed gang starts within the reclaim deadline;
/// every decision names a code, existing lines at their revision, and numbers.
class Checker {
public:
  /// Precondition: \p Prefer is what the decisions are made with.
  explicit Checker(const Settings &Prefer) : Prefer(Prefer) {}

  /// Takes over one fact, before the decisions that follow from it.
  void observed(const Event &Fact, Instant At);

  /// Checks one decision, in the order in which they were made.
  void decided(const Decision &Made, Instant At);

  /// Checks what has to hold between two facts. \p State is compared with the
  /// own account.
  void settled(const CellState &State, Instant At);

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

  void fail(Instant At, const std::string &Rule, const std::string &Seen);
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
  /// Since when a workspace waits for an idle home.
  std::map<WorkspaceId, Instant> WaitingSince;
  Duration LongestReclaim;
  Findings Violations;
};

} // namespace pistachioflow::policy
