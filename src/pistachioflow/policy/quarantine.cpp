#include "pistachioflow/policy/quarantine.hpp"

#include <algorithm>

#include "pistachioflow/policy/fault_limits.hpp"
#include "pistachioflow/policy/reasons.hpp"

namespace pistachioflow::policy {

namespace {

constexpr Duration FirstQuarantine{10LL * 60 * 1'000};
constexpr std::uint32_t MaxDoublings = 6;

/// At most one worker in this many is in quarantine, but one always may be.
constexpr std::size_t WorkersPerQuarantine = 10;

/// A worker is faulty from this blame on. A job that failed on one worker only
/// puts all its blame on that one, a job that failed on several a part on each.
constexpr std::int64_t WholeBlame = 60;
constexpr std::int64_t FaultyBlame = 2 * WholeBlame;
constexpr std::int64_t FaultyBlameOnProbation = WholeBlame;

std::int64_t blameOf(const CellState &State, const WorkerState &Worker) {
  std::int64_t Blame = 0;
  for (const JobId &Name : Worker.FailedJobs) {
    const auto Job = State.Jobs.find(Name);
    if (Job == State.Jobs.end())
      continue;
    const auto Workers = static_cast<std::int64_t>(Job->second.FailedOn.size());
    if (Workers > 0 && Workers < static_cast<std::int64_t>(MaxWorkersTried))
      Blame += WholeBlame / Workers;
  }
  return Blame;
}

std::vector<EntryRef> entriesOfFailed(const DecisionDraft &Draft,
                                      const WorkerState &Worker) {
  std::vector<EntryRef> Entries;
  for (const JobId &Name : Worker.FailedJobs) {
    const auto Job = Draft.State.Jobs.find(Name);
    if (Job == Draft.State.Jobs.end())
      continue;
    const WorkspaceIndex *Workspace =
        findWorkspace(Draft.Index, Job->second.Spec.Workspace);
    if (!Workspace || !Workspace->Limits)
      continue;
    for (EntryRef &Entry : entriesOf(Draft.State, Job->second.Spec.Workspace))
      if (std::ranges::find(Entries, Entry) == Entries.end())
        Entries.push_back(std::move(Entry));
  }
  return Entries;
}

void quarantine(DecisionDraft &Draft, const WorkerState &Worker,
                std::int64_t Blame) {
  const std::uint32_t Doublings = std::min(Worker.Quarantines, MaxDoublings);
  const Duration Time = FirstQuarantine * (std::int64_t{1} << Doublings);
  Draft.decide(QuarantineWorker{Worker.Info.Worker, Draft.Now + Time},
               Reason{ReasonCode::QuarantinedFailsTasks,
                      entriesOfFailed(Draft, Worker),
                      {{Measure::Failures,
                        static_cast<std::int64_t>(Worker.FailedJobs.size())},
                       {Measure::Attempts, Blame},
                       {Measure::DeadlineMs, (Draft.Now + Time).Ms}},
                      "blame the jobs"});
}

void release(DecisionDraft &Draft, const WorkerState &Worker) {
  Draft.decide(ReleaseWorker{Worker.Info.Worker},
               Reason{ReasonCode::ReleasedOnProbation,
                      {},
                      {{Measure::Failures,
                        static_cast<std::int64_t>(Worker.Quarantines)},
                       {Measure::DeadlineMs, Worker.QuarantinedUntil.Ms}},
                      "keep it in quarantine"});
}

} // namespace

void decideQuarantines(DecisionDraft &Draft) {
  std::size_t Quarantined = 0;
  for (const WorkerId &Name : Draft.Index.FailingWorkers)
    if (Draft.State.Workers.at(Name).Quarantined)
      ++Quarantined;
  const std::size_t Most = std::max<std::size_t>(
      Draft.State.Workers.size() / WorkersPerQuarantine, 1);
  for (const WorkerId &Name : Draft.Index.FailingWorkers) {
    const WorkerState &Worker = Draft.State.Workers.at(Name);
    if (Worker.Quarantined) {
      if (Worker.QuarantinedUntil <= Draft.Now)
        release(Draft, Worker);
      continue;
    }
    const std::int64_t Blame = blameOf(Draft.State, Worker);
    const std::int64_t Faulty =
        Worker.OnProbation ? FaultyBlameOnProbation : FaultyBlame;
    if (Blame < Faulty || Quarantined >= Most)
      continue;
    quarantine(Draft, Worker, Blame);
    ++Quarantined;
  }
}

} // namespace pistachioflow::policy
