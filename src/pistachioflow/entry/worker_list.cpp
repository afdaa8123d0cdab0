// The owner's list of workers: follows it and applies its records, which other
// writers may have written too.

#include <string>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/dispatcher.hpp"
#include "pistachioflow/entry/dispatcher_ownership_term.hpp"

namespace pistachioflow {

namespace {

/// Pause between reads of the list of workers. Every heartbeat changes an
/// entry; reading several changes at once saves calls.
constexpr Duration WorkerListReadPause{200};

/// Keeps \p Follower alive until its last read has ended.
asio::awaitable<void> followTopic(std::shared_ptr<TopicFollower> Follower) {
  co_await Follower->run();
}

/// Errors: InvalidInput if the record's key can't be an id, or as
/// decodeWorkerEntry().
Result<WorkerEntry> readWorkerRecord(const JournalRecord &Record) {
  if (!isWorkerId(Record.Key))
    return Error{ErrorCode::InvalidInput,
                 "invalid key",
                 {{"key", "an id", "other bytes"}}};
  return decodeWorkerEntry(Record.Value);
}

/// Describes the first finding, without what the writer wrote: the reason stays
/// the same while only a counter of the entry changes.
std::string reasonOf(const Error &Failure) {
  if (Failure.Details.empty())
    return Failure.Message;
  const Finding &First = Failure.Details.front();
  return First.Place + ": not " + First.Expected;
}

} // namespace

/// Reads the list of workers while the journal loads, since on a slow store
/// each takes a while.
void Dispatcher::followWorkerList() {
  TopicObserver Observer;
  const std::weak_ptr<OwnershipTerm> Weak = this->CurrentTerm;
  const auto Apply = [this, Weak](const JournalRecord &Record) {
    const TermPtr Term = Weak.lock();
    if (!Term || !Term->Active)
      return;
    if (Term->Loading)
      Term->WorkerEntries.push_back(Record);
    else
      this->applyWorkerEntry(Record);
  };
  Observer.Replace = [this, Weak, Apply](const TopicRecords &Entries) {
    const TermPtr Term = Weak.lock();
    if (!Term || !Term->Active)
      return;
    Term->WorkerEntries.clear();
    this->unlistWorkers();
    for (const JournalRecord &Entry : Entries)
      Apply(Entry);
  };
  Observer.Apply = Apply;
  Observer.CaughtUp = [this] { this->requestRound(); };
  OwnershipTerm &Term = *this->CurrentTerm;
  Term.WorkerListFollower = std::make_shared<TopicFollower>(
      this->Io, this->Store, this->Time, std::string(WorkerTopic),
      std::move(Observer), WorkerListReadPause);
  spawnCoroutine(this->Io, "worker_list", followTopic(Term.WorkerListFollower));
}

void Dispatcher::unlistWorkers() {
  for (auto &[Id, Worker] : this->CurrentTerm->Workers)
    Worker->Listed = false;
}

void Dispatcher::applyWorkerEntry(const JournalRecord &Record) {
  RejectedEntries &Rejected = this->CurrentTerm->RejectedWorkers;
  if (Record.Value.empty()) {
    Rejected.remove(Record.Key);
    this->unlistWorker(Record.Key, "removed");
    return;
  }
  Result<WorkerEntry> Entry = readWorkerRecord(Record);
  if (Entry) {
    Rejected.remove(Record.Key);
    this->listWorker(Record.Key, std::move(Entry.value()));
    return;
  }
  const std::string Reason = reasonOf(Entry.error());
  if (Rejected.add(Record.Key, Reason))
    logEvent(LogLevel::Warning, "worker_entry_rejected",
             {{"worker", printableKey(Record.Key)}, {"reason", Reason}});
  this->unlistWorker(Record.Key, "malformed");
}

void Dispatcher::unlistWorker(const std::string &Id, std::string_view Reason) {
  const auto Existing = this->CurrentTerm->Workers.find(Id);
  if (Existing == this->CurrentTerm->Workers.end() || !Existing->second->Listed)
    return;
  Existing->second->Listed = false;
  logEvent(LogLevel::Info, "worker_unlisted",
           {{"worker", Id}, {"reason", Reason}});
}

void Dispatcher::listWorker(const std::string &Id, WorkerEntry Entry) {
  OwnershipTerm &Term = *this->CurrentTerm;
  WorkerPtr &Worker = Term.Workers[Id];
  if (!Worker)
    Worker = std::make_shared<WorkerLink>(this->Io, Id);
  const bool NewAddress =
      !Worker->Client || Worker->Entry.Address != Entry.Address;
  if (NewAddress)
    Worker->Client = std::make_shared<WorkerClient>(this->Io, Id, Entry.Address,
                                                    this->WorkerMemory);
  const bool Restarted = Worker->Listed && Entry.IncarnationStartMs > 0 &&
                         Entry.IncarnationStartMs != Worker->IncarnationStartMs;
  if (NewAddress || Restarted)
    Worker->Synced = false;
  if (Entry.Draining && !Worker->Entry.Draining)
    logEvent(LogLevel::Info, "worker_draining",
             {{"worker", Id}, {"remaining_ms", Entry.RemainingMs}});
  // The entry may be as old as the pause between two reads.
  if (Entry.Draining && !Worker->Entry.Draining)
    Worker->EarliestRemovalAt = this->Time.monotonic() +
                                Duration{Entry.RemainingMs} -
                                WorkerListReadPause;
  Worker->Entry = std::move(Entry);
  Worker->Listed = true;
  this->ensureHoldLoop(this->CurrentTerm, Worker);
}

} // namespace pistachioflow
