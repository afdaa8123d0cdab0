#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/dispatcher_ownership_term.hpp"
#include "pistachioflow/entry/journal_state.hpp"
#include "pistachioflow/entry/metrics.hpp"

namespace pistachioflow {

JournalTimes Dispatcher::journalTimes() const {
  return {
      this->Time.monotonic(), this->Time.wall().Ms,
      earlierLeasesEnd(this->Settings.MaxLease, this->CurrentTerm->Earlier)};
}

void Dispatcher::journalLoaded(const TopicRecords &Journal) {
  if (!this->CurrentTerm)
    return;
  if (this->CurrentTerm->Loading) {
    this->startWork(Journal);
    return;
  }
  mergeIntoTable(this->CurrentTerm->Table, Journal, this->journalTimes());
  this->requestRound();
}

void Dispatcher::apply(const JournalRecord &Record) {
  // What is appended while the journal loads belongs to the load.
  if (!this->CurrentTerm || this->CurrentTerm->Loading)
    return;
  if (applyToTable(this->CurrentTerm->Table, Record, this->journalTimes()))
    this->requestRound();
}

void Dispatcher::startWork(const TopicRecords &Journal) {
  OwnershipTerm &Term = *this->CurrentTerm;
  Term.Loading = false;
  const JournalTimes Times = this->journalTimes();
  restoreTable(Term.Table, Journal, Times);
  const Duration LoadTime = Times.Now - Term.StartedAt;
  entryMetrics().StateLoadMs.record(static_cast<double>(LoadTime.Ms));
  logEvent(LogLevel::Info, "state_loaded",
           {{"epoch", Term.Epoch},
            {"records", static_cast<std::int64_t>(Journal.size())},
            {"jobs", static_cast<std::int64_t>(Term.Table.jobs().size())},
            {"ms", LoadTime.Ms}});
  this->adoptWorkers();
  for (const JournalRecord &Entry : std::exchange(Term.WorkerEntries, {}))
    this->applyWorkerEntry(Entry);
  spawnCoroutine(this->Io, "periodic", this->periodicLoop(this->CurrentTerm));
  this->requestRound();
}

/// Runs that an earlier owner started may be on workers that are no longer
/// listed.
void Dispatcher::adoptWorkers() {
  OwnershipTerm &Term = *this->CurrentTerm;
  const Instant Now = this->Time.monotonic();
  for (const Unit *Entry : Term.Table.active())
    for (const Member &PlacedMember : Entry->Members) {
      WorkerPtr &Worker = Term.Workers[PlacedMember.Worker];
      if (!Worker)
        Worker = std::make_shared<WorkerLink>(this->Io, PlacedMember.Worker);
      Worker->UnresponsiveSince = Now;
    }
  Term.OccupiedAtStart = Term.Workers.size();
  this->boundEarlierLeases(Term);
}

} // namespace pistachioflow
