#include "pistachioflow/entry/dispatcher.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/dispatcher_ownership_term.hpp"
#include "pistachioflow/entry/metrics.hpp"

namespace pistachioflow {

namespace {

/// Changes within this time share one scheduling round. After a round that
/// took longer, changes are gathered for as long as it took: rounds of a full
/// queue leave half of the processor to starts, stops and polls.
constexpr Duration MinRoundDelay{1};
constexpr Duration MaxRoundDelay{25};
/// Interval of the checks for due occurrences, draining workers and expired
/// jobs.
constexpr Duration PeriodicInterval{100};
/// Length of a job's id, with which the name of each of its tasks begins.
constexpr std::size_t JobIdSize = 16;
/// Other workers are preferred for this long after a run has failed on one.
constexpr Duration AvoidAfterFailure{1'000};
/// A job that failed on this many workers, and on none ran past EarlyFailure,
/// is at fault rather than its workers.
constexpr std::size_t FaultyJobWorkerCount = 3;
/// Pause between reads of the list of workers. Every heartbeat changes an
/// entry; reading several changes at once saves calls.
constexpr Duration WorkerListReadPause{200};
constexpr WriteTimeouts OwnerWriteTimeouts{{3'600'000}, {3'600'000}};
/// Workers that ran urgent work stay reserved for it this long: about the time
/// between two urgent gangs under load. A longer reservation leaves workers
/// idle; without one, the next gang has to preempt smaller work first.
constexpr Duration UrgentReservationTime{1'000};
/// Part of the time limit for starting guaranteed work that is left for the
/// start itself.
constexpr Duration ReclaimStartMargin{1'000};
/// Ended jobs are retained this much longer than callers may ask for them.
constexpr Duration RetentionMargin{60'000};

void countEvent(const TableEvent &Event) {
  EntryMetrics &Metrics = entryMetrics();
  const auto ElapsedMs = static_cast<double>(Event.DurationMs);
  switch (Event.EventKind) {
  case TableEvent::Kind::Placed:
    Metrics.UnitWaitMs.record(ElapsedMs);
    break;
  case TableEvent::Kind::Confirmed:
    Metrics.RunsStarted.add();
    Metrics.RunStartMs.record(ElapsedMs);
    break;
  case TableEvent::Kind::Refused:
    Metrics.StartsRefused.add();
    break;
  case TableEvent::Kind::Ended:
    Metrics.RunsEnded.add();
    break;
  case TableEvent::Kind::RunLost:
    Metrics.RunsLost.add();
    break;
  case TableEvent::Kind::JobEnded:
    Metrics.JobsEnded.add();
    Metrics.JobMs.record(ElapsedMs);
    break;
  case TableEvent::Kind::ClaimFailed:
    Metrics.WastedPreemptions.add(static_cast<std::uint64_t>(Event.Victims));
    break;
  case TableEvent::Kind::Stuck:
  case TableEvent::Kind::StopRequested:
  case TableEvent::Kind::Reserved:
  case TableEvent::Kind::ClaimReplaced:
  case TableEvent::Kind::UnitDone:
    break;
  }
}

/// Keeps \p Follower alive until its last read has ended.
asio::awaitable<void> followTopic(std::shared_ptr<TopicFollower> Follower) {
  co_await Follower->run();
}

} // namespace

Dispatcher::Dispatcher(asio::io_context &Io, StoreClient &Store,
                       const Clock &Time, const InstanceSettings &Settings,
                       const DesiredState &Desired,
                       std::function<void(std::string_view Reason)> OnFenced)
    : Io(Io), Store(Store), Time(Time), Settings(Settings), Desired(Desired),
      OnFenced(std::move(OnFenced)), RoundTimer(Io) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::begin(std::int64_t Epoch,
                       std::shared_ptr<JournalWriter> Writer,
                       ClaimTimes Claim) {
  this->end();
  this->CurrentTerm = std::make_shared<OwnershipTerm>();
  this->CurrentTerm->Epoch = Epoch;
  this->CurrentTerm->Writer = std::move(Writer);
  this->CurrentTerm->StartedAt = this->Time.monotonic();
  this->CurrentTerm->ClaimSentAt = Claim.SentAt;
  this->CurrentTerm->Earlier.GainedAt = this->CurrentTerm->StartedAt;
  this->CurrentTerm->Earlier.PreviousEpochSeenAt = Claim.PreviousEpochSeenAt;
  entryMetrics().OwnershipsGained.add();
  entryMetrics().OwnerEpoch.set(Epoch);
  logEvent(LogLevel::Info, "ownership_gained", {{"epoch", Epoch}});
  this->followWorkerList();
}

/// Reads the list of workers while the journal loads, since on a slow store
/// each takes a while.
void Dispatcher::followWorkerList() {
  TopicObserver Observer;
  const std::weak_ptr<OwnershipTerm> Weak = this->CurrentTerm;
  Observer.Reset = [this, Weak] {
    const TermPtr Term = Weak.lock();
    if (!Term || !Term->Active)
      return;
    Term->WorkerEntries.clear();
    this->unlistWorkers();
  };
  Observer.Apply = [this, Weak](const JournalRecord &Record) {
    const TermPtr Term = Weak.lock();
    if (!Term || !Term->Active)
      return;
    if (Term->Loading)
      Term->WorkerEntries.push_back(Record);
    else
      this->applyWorkerEntry(Record);
  };
  Observer.CaughtUp = [this] { this->requestRound(); };
  OwnershipTerm &Term = *this->CurrentTerm;
  Term.WorkerListFollower = std::make_shared<TopicFollower>(
      this->Io, this->Store, this->Time, std::string(WorkerTopic),
      std::move(Observer), WorkerListReadPause);
  spawnCoroutine(this->Io, "worker_list", followTopic(Term.WorkerListFollower));
}

void Dispatcher::end() {
  if (!this->CurrentTerm)
    return;
  this->CurrentTerm->Active = false;
  if (this->CurrentTerm->WorkerListFollower)
    this->CurrentTerm->WorkerListFollower->stop();
  this->CurrentTerm.reset();
}

void Dispatcher::journalReset() {
  if (this->CurrentTerm && this->CurrentTerm->Loading)
    this->CurrentTerm->JournalValues.clear();
}

void Dispatcher::apply(const JournalRecord &Record) {
  if (!this->CurrentTerm)
    return;
  OwnershipTerm &Term = *this->CurrentTerm;
  if (Term.Loading) {
    if (Record.Value.empty())
      Term.JournalValues.erase(Record.Key);
    else
      Term.JournalValues[Record.Key] = Record.Value;
    return;
  }
  constexpr std::size_t PrefixSize = 2;
  if (Record.Key.size() <= PrefixSize || Record.Value.empty())
    return;
  const std::string_view Id = std::string_view(Record.Key).substr(PrefixSize);
  const Instant Now = this->Time.monotonic();
  const std::int64_t WallMs = this->Time.wall().Ms;
  const auto Kind = static_cast<RecordKind>(Record.Key.front());
  if (Kind == RecordKind::Submission) {
    if (auto Decoded = decodeRecord<SubmissionRecord>(Record.Value))
      Term.Table.addSubmission(Id, std::move(*Decoded), Now, WallMs);
    this->requestRound();
  }
  if (Kind == RecordKind::Cancellation) {
    Term.Table.addCancellation(Id, WallMs, Now);
    this->requestRound();
  }
}

void Dispatcher::buildTable(OwnershipTerm &Term) {
  constexpr std::size_t PrefixSize = 2;
  // Records of later kinds refer to those of earlier ones.
  constexpr std::array Order{RecordKind::Submission, RecordKind::JobPhase,
                             RecordKind::Unit, RecordKind::Cancellation};
  const Instant Now = this->Time.monotonic();
  const std::int64_t WallMs = this->Time.wall().Ms;
  for (const RecordKind Kind : Order) {
    const std::string Prefix{static_cast<char>(Kind), '/'};
    for (auto Entry = Term.JournalValues.lower_bound(Prefix);
         Entry != Term.JournalValues.end() && Entry->first.starts_with(Prefix);
         ++Entry) {
      const auto Name = std::string_view(Entry->first).substr(PrefixSize);
      const std::string &Value = Entry->second;
      if (Kind == RecordKind::Submission) {
        if (auto Decoded = decodeRecord<SubmissionRecord>(Value))
          Term.Table.addSubmission(Name, std::move(*Decoded), Now, WallMs);
      } else if (Kind == RecordKind::JobPhase) {
        if (const auto Decoded = decodeRecord<JobPhaseRecord>(Value))
          Term.Table.restorePhase(Name, *Decoded);
      } else if (Kind == RecordKind::Unit) {
        if (const auto Decoded = decodeRecord<UnitRecord>(Value))
          Term.Table.restoreUnit(
              Name, *Decoded,
              earlierLeasesEnd(this->Settings.MaxLease, Term.Earlier), Now);
      } else {
        Term.Table.addCancellation(Name, WallMs, Now);
      }
    }
  }
  entryMetrics().StateLoadMs.record(
      static_cast<double>((Now - Term.StartedAt).Ms));
  logEvent(LogLevel::Info, "state_loaded",
           {{"epoch", Term.Epoch},
            {"records", static_cast<std::int64_t>(Term.JournalValues.size())},
            {"jobs", static_cast<std::int64_t>(Term.Table.jobs().size())},
            {"ms", (Now - Term.StartedAt).Ms}});
  Term.JournalValues.clear();
}

void Dispatcher::journalCaughtUp() {
  if (!this->CurrentTerm || !this->CurrentTerm->Loading)
    return;
  OwnershipTerm &Term = *this->CurrentTerm;
  Term.Loading = false;
  this->buildTable(Term);
  // Runs that an earlier owner started may be on workers that are no longer
  // listed.
  for (const Unit *Entry : Term.Table.active())
    for (const Member &PlacedMember : Entry->Members) {
      WorkerPtr &Worker = Term.Workers[PlacedMember.Worker];
      if (!Worker)
        Worker = std::make_shared<WorkerLink>(this->Io, PlacedMember.Worker);
      Worker->UnresponsiveSince = this->Time.monotonic();
    }
  Term.OccupiedAtStart = Term.Workers.size();
  this->boundEarlierLeases(Term);
  for (const JournalRecord &Entry : std::exchange(Term.WorkerEntries, {}))
    this->applyWorkerEntry(Entry);
  spawnCoroutine(this->Io, "periodic", this->periodicLoop(this->CurrentTerm));
  this->requestRound();
}

void Dispatcher::unlistWorkers() {
  for (auto &[Id, Worker] : this->CurrentTerm->Workers)
    Worker->Listed = false;
}

void Dispatcher::applyWorkerEntry(const JournalRecord &Record) {
  OwnershipTerm &Term = *this->CurrentTerm;
  std::optional<WorkerEntry> Entry;
  if (!Record.Value.empty())
    Entry = decodeWorkerEntry(Record.Value);
  const auto Existing = Term.Workers.find(Record.Key);
  if (!Entry) {
    if (Existing != Term.Workers.end() && Existing->second->Listed) {
      Existing->second->Listed = false;
      logEvent(LogLevel::Info, "worker_unlisted",
               {{"worker", Record.Key},
                {"reason", Record.Value.empty() ? "removed" : "malformed"}});
    }
    return;
  }
  WorkerPtr &Worker = Term.Workers[Record.Key];
  if (!Worker)
    Worker = std::make_shared<WorkerLink>(this->Io, Record.Key);
  const bool NewAddress =
      !Worker->Client || Worker->Entry.Address != Entry->Address;
  if (NewAddress)
    Worker->Client =
        std::make_shared<WorkerClient>(this->Io, Record.Key, Entry->Address);
  const bool Restarted =
      Worker->Listed && Entry->IncarnationStartMs > 0 &&
      Entry->IncarnationStartMs != Worker->IncarnationStartMs;
  if (NewAddress || Restarted)
    Worker->Synced = false;
  if (Entry->Draining && !Worker->Entry.Draining)
    logEvent(LogLevel::Info, "worker_draining",
             {{"worker", Record.Key}, {"remaining_ms", Entry->RemainingMs}});
  // The entry may be as old as the pause between two reads.
  if (Entry->Draining && !Worker->Entry.Draining)
    Worker->EarliestRemovalAt = this->Time.monotonic() +
                                Duration{Entry->RemainingMs} -
                                WorkerListReadPause;
  Worker->Entry = std::move(*Entry);
  Worker->Listed = true;
  this->ensureHoldLoop(this->CurrentTerm, Worker);
}

void Dispatcher::requestRound() {
  if (this->RoundRequested || !this->CurrentTerm || this->CurrentTerm->Loading)
    return;
  this->RoundRequested = true;
  const Duration Delay =
      std::clamp(this->LastRoundTime, MinRoundDelay, MaxRoundDelay);
  this->RoundTimer.expires_after(std::chrono::milliseconds(Delay.Ms));
  this->RoundTimer.async_wait([this](asio::error_code Cancelled) {
    this->RoundRequested = false;
    if (!Cancelled && this->CurrentTerm && !this->CurrentTerm->Loading)
      this->runRound();
  });
}

void Dispatcher::runRound() {
  const TermPtr Term = this->CurrentTerm;
  const Instant StartedAt = this->Time.monotonic();
  Term->Table.unlockDueSteps(StartedAt, this->Time.wall().Ms);
  this->preemptOnDrainingWorkers(*Term);
  this->moveRefusedMembers(*Term);
  this->reserveForUrgent(*Term);
  this->placeUnits(*Term);
  this->sendStops(Term);
  this->logEvents(*Term);
  if (!Term->Flushing)
    spawnCoroutine(this->Io, "flush", this->flush(Term));
  this->LastRoundTime = this->Time.monotonic() - StartedAt;
  entryMetrics().RoundMs.record(static_cast<double>(this->LastRoundTime.Ms));
}

PlanningView Dispatcher::planningView(OwnershipTerm &Term, Instant Now) const {
  const Duration ReclaimAfter = this->Settings.ReclaimTimeout -
                                this->Settings.StopTimeout - ReclaimStartMargin;
  return {Term.Table,
          Term.Workers,
          this->Desired,
          this->Durations,
          Now,
          ReclaimAfter,
          this->Settings.StopTimeout};
}

void Dispatcher::placeUnits(OwnershipTerm &Term) {
  const Instant Now = this->Time.monotonic();
  const PlanningResult Plan = planRound(this->planningView(Term, Now));
  entryMetrics().UnitsWaiting.set(
      static_cast<std::int64_t>(Plan.Waiting - Plan.Starts.size()));
  entryMetrics().Preemptions.add(Plan.Preemptions.size());
  for (Unit *Entry : Plan.DroppedClaims)
    Term.Table.dropClaim(*Entry, Now, "not_released");
  for (const UnitClaim &Entry : Plan.Claims)
    JobTable::claim(*Entry.Beneficiary, Entry.Claim);
  for (const UnitPlacement &Start : Plan.Starts)
    Term.Table.place(*Start.Placed, Start.Places, Now);
  for (const UnitReservation &Entry : Plan.Reservations)
    Term.Table.reserve(*Entry.Beneficiary, Entry.Workers, Now);
  for (const UnitPreemption &Entry : Plan.Preemptions)
    Term.Table.preempt(*Entry.Victim, Now, "for " + Entry.Beneficiary->name());
}

/// Reserves the workers that run urgent work for the next urgent gang.
void Dispatcher::reserveForUrgent(OwnershipTerm &Term) {
  const Instant Until = this->Time.monotonic() + UrgentReservationTime;
  for (const Unit *Entry : Term.Table.active()) {
    if (termsOf(this->Desired, *Entry->ParentJob).Priority != 0)
      continue;
    for (const Member &PlacedMember : Entry->Members)
      if (const auto Worker = Term.Workers.find(PlacedMember.Worker);
          PlacedMember.occupiesCapacity() && Worker != Term.Workers.end())
        Worker->second->ReservedForUrgentUntil = Until;
  }
}

void Dispatcher::moveRefusedMembers(OwnershipTerm &Term) {
  const Instant Now = this->Time.monotonic();
  const MovePlan Plan = planMoves(this->planningView(Term, Now));
  for (const MovePlan::Move &Move : Plan.Moves)
    Term.Table.moveMember(Move.Ref, Move.Place, Now);
  for (Unit *Gang : Plan.Unplaceable)
    Term.Table.preempt(*Gang, Now, "no_worker_for_refused");
}

/// Preempts runs that would outlast their draining worker, so that they
/// continue on another worker sooner.
void Dispatcher::preemptOnDrainingWorkers(OwnershipTerm &Term) {
  const Instant Now = this->Time.monotonic();
  for (auto &[Id, Worker] : Term.Workers) {
    if (!Worker->Listed || !Worker->Entry.Draining)
      continue;
    const auto Members = Term.Table.membersOn(Id);
    const std::vector<MemberRef> Refs(Members.begin(), Members.end());
    for (const MemberRef &Ref : Refs) {
      const bool StillRunning = Ref.Index < Ref.ParentUnit->Members.size() &&
                                Ref.member().Phase == MemberPhase::Running &&
                                !Ref.ParentUnit->Done &&
                                !Ref.member().StopRequested;
      if (!StillRunning)
        continue;
      const RemainingTime Run =
          remainingTime(this->planningView(Term, Now), *Ref.ParentUnit);
      if (mustLeave(Worker->EarliestRemovalAt, Run, Now))
        Term.Table.preempt(*Ref.ParentUnit, Now, "worker_drains");
    }
  }
}

void Dispatcher::sendStops(const TermPtr &Term) {
  for (Unit *Entry : Term->Table.active())
    for (std::size_t Index = 0; Index < Entry->Members.size(); ++Index) {
      const Member &PlacedMember = Entry->Members[Index];
      const bool Stoppable = PlacedMember.StopRequested &&
                             PlacedMember.StopAcceptedAt.Ms == 0 &&
                             (PlacedMember.Phase == MemberPhase::Running ||
                              PlacedMember.Phase == MemberPhase::Adopted);
      const auto Worker = Term->Workers.find(PlacedMember.Worker);
      const bool Sending =
          Stoppable &&
          Term->PendingStops.contains({Entry->taskName(Index), Entry->Run});
      if (Stoppable && !Sending && Worker != Term->Workers.end())
        spawnCoroutine(this->Io, "stop_task",
                       this->stopTask(Term, Worker->second,
                                      Entry->taskName(Index), Entry->Run));
    }
}

asio::awaitable<void> Dispatcher::periodicLoop(TermPtr Term) {
  while (Term->Active) {
    co_await pauseFor(this->Io, PeriodicInterval);
    if (!Term->Active)
      co_return;
    for (auto Entry = Term->Workers.begin(); Entry != Term->Workers.end();) {
      const WorkerPtr Worker = Entry->second;
      const bool Empty = Term->Table.membersOn(Entry->first).empty();
      if (!Worker->Listed && Empty && !Worker->HoldLoopRunning) {
        Entry = Term->Workers.erase(Entry);
        continue;
      }
      this->ensureHoldLoop(Term, Worker);
      ++Entry;
    }
    this->verifyWorkers(*Term);
    Term->Table.expire(this->Time.wall().Ms -
                       this->Settings.StatusRetention.Ms - RetentionMargin.Ms);
    this->requestRound();
  }
}

asio::awaitable<void> Dispatcher::flush(TermPtr Term) {
  Term->Flushing = true;
  std::vector<JournalRecord> Records = Term->Table.takeRecords();
  struct PendingStart {
    MemberRef Ref;
    std::int64_t Run;
  };
  std::vector<PendingStart> Starts;
  for (Unit *Entry : Term->Table.active())
    for (std::size_t Index = 0; Index < Entry->Members.size(); ++Index)
      if (Entry->Members[Index].Phase == MemberPhase::Planned)
        Starts.push_back({{Entry, Index}, Entry->Run});
  std::vector<std::pair<WorkerPtr, std::int64_t>> Ends;
  for (auto &[Id, Worker] : Term->Workers)
    if (Worker->LastAppliedEnd > Worker->LastRecordedEnd)
      Ends.emplace_back(Worker, Worker->LastAppliedEnd);
  WriteOutcome Outcome = WriteOutcome::Stored;
  if (!Records.empty())
    Outcome =
        co_await Term->Writer->write(std::move(Records), OwnerWriteTimeouts);
  Term->Flushing = false;
  if (!Term->Active)
    co_return;
  if (Outcome != WriteOutcome::Stored) {
    this->OnFenced("store");
    co_return;
  }
  for (auto &[Worker, Number] : Ends) {
    Worker->LastRecordedEnd = std::max(Worker->LastRecordedEnd, Number);
    Worker->Wake.notify();
    this->ensureHoldLoop(Term, Worker);
  }
  for (const PendingStart &Entry : Starts)
    spawnCoroutine(this->Io, "start_member",
                   this->startMember(Term, Entry.Ref.ParentUnit,
                                     Entry.Ref.Index, Entry.Run));
  if (Term->Table.dirty())
    this->requestRound();
}

void Dispatcher::updateFromEvent(OwnershipTerm &Term, const TableEvent &Event) {
  const auto Existing = Term.Workers.find(Event.Worker);
  const bool Stuck = Event.EventKind == TableEvent::Kind::Stuck;
  const bool Ended = Event.EventKind == TableEvent::Kind::Ended;
  if ((!Stuck && !Ended) || Existing == Term.Workers.end())
    return;
  WorkerLink &Worker = *Existing->second;
  const Instant Now = this->Time.monotonic();
  if (Stuck)
    recordStuckRun(Worker.Trust, Now);
  if (Event.Detail == "done") {
    recordSuccess(Worker.Trust, Now - Duration{Event.DurationMs}, Now);
    this->Durations.learn(Event.Queue, Event.EstimatedMs, Event.DurationMs);
  }
  if (Event.Detail != "failed")
    return;
  const auto JobId = std::string_view(Event.Subject).substr(0, JobIdSize);
  const Job *Owner = Term.Table.find(JobId);
  const bool JobIsFaulty = Owner && !Owner->OutlivedEarlyFailure &&
                           Owner->FailedWorkers.size() >= FaultyJobWorkerCount;
  if (Duration{Event.DurationMs} < EarlyFailureWindow && !JobIsFaulty)
    recordEarlyFailure(Worker.Trust, JobId, Now);
  else
    Worker.AvoidedUntil = Now + AvoidAfterFailure;
}

/// Marks workers as verified on which a run has lasted longer than
/// EarlyFailure.
void Dispatcher::verifyWorkers(OwnershipTerm &Term) {
  const Instant Now = this->Time.monotonic();
  for (auto &[Id, Worker] : Term.Workers)
    for (const MemberRef &Ref : Term.Table.membersOn(Id)) {
      const Instant PlacedAt = Ref.ParentUnit->PlacedAt;
      const bool Running = Ref.member().Phase == MemberPhase::Running &&
                           Ref.ParentUnit->FullyStarted &&
                           Worker->UnresponsiveSince.Ms == 0;
      if (!Running || Now - PlacedAt <= EarlyFailureWindow)
        continue;
      Ref.ParentUnit->ParentJob->OutlivedEarlyFailure = true;
      recordSuccess(Worker->Trust, PlacedAt, Now);
    }
}

void Dispatcher::logEvents(OwnershipTerm &Term) {
  constexpr std::array Names{"placed",       "started",      "start_refused",
                             "run_ended",    "run_vanished", "run_stuck",
                             "stop_wanted",  "reserved",     "claim_replaced",
                             "claim_failed", "unit_done",    "job_ended"};
  for (const TableEvent &Event : Term.Table.takeEvents()) {
    this->updateFromEvent(Term, Event);
    countEvent(Event);
    const std::string_view Name =
        Names[static_cast<std::size_t>(Event.EventKind)];
    if (Event.EventKind == TableEvent::Kind::UnitDone)
      continue;
    logEvent(LogLevel::Info, Name,
             {{"id", Event.Subject},
              {"run", Event.Run},
              {"worker", Event.Worker},
              {"detail", Event.Detail},
              {"ms", Event.DurationMs},
              {"victims", Event.Victims},
              {"estimated_ms", Event.EstimatedMs},
              {"queue", Event.Queue},
              {"epoch", Term.Epoch}});
  }
}

} // namespace pistachioflow
