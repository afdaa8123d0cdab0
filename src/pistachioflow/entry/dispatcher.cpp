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

/// Events within this time are decided on together.
constexpr Duration TurnDelay{1};
/// Due occurrences, drained workers and expired jobs are looked for this often.
constexpr Duration TickPeriod{100};
/// An id of a job, the first part of the name of each of its tasks.
constexpr std::size_t JobIdSize = 16;
constexpr Duration DoubtAfterFailure{1'000};
/// A job that failed on this many workers, and lived on none, is to blame.
constexpr std::size_t WorkersOfABadJob = 3;
/// Workers' entries change every heartbeat; reading them together saves calls.
constexpr Duration WorkerListPace{200};
constexpr WriteTimeouts OwnerPatience{{3'600'000}, {3'600'000}};
/// About the time between two urgent gangs under load. What is kept for longer
/// stands idle; what is not kept has to be emptied for the next one.
constexpr Duration KeptForUrgent{1'000};
/// For the start itself, within the time in which guaranteed work must start.
constexpr Duration ReclaimMargin{1'000};
/// Ended jobs are kept this much longer than callers may ask for them.
constexpr Duration RetentionMargin{60'000};

void countEvent(const TableEvent &Event) {
  EntryMetrics &Metrics = entryMetrics();
  const auto Took = static_cast<double>(Event.Ms);
  switch (Event.What) {
  case TableEvent::Kind::Placed:
    Metrics.UnitWaitMs.record(Took);
    break;
  case TableEvent::Kind::Confirmed:
    Metrics.RunsStarted.add();
    Metrics.RunStartMs.record(Took);
    break;
  case TableEvent::Kind::Refused:
    Metrics.StartsRefused.add();
    break;
  case TableEvent::Kind::Ended:
    Metrics.RunsEnded.add();
    break;
  case TableEvent::Kind::Vanished:
    Metrics.RunsLost.add();
    break;
  case TableEvent::Kind::JobEnded:
    Metrics.JobsEnded.add();
    Metrics.JobMs.record(Took);
    break;
  case TableEvent::Kind::Stuck:
  case TableEvent::Kind::StopWanted:
  case TableEvent::Kind::Reserved:
  case TableEvent::Kind::UnitDone:
    break;
  }
}

/// Keeps the follower alive until its last read has ended.
asio::awaitable<void> followTopic(std::shared_ptr<TopicFollower> List) {
  co_await List->run();
}

} // namespace

Dispatcher::Dispatcher(asio::io_context &Io, StoreClient &Store,
                       const Clock &Time, const InstanceSettings &Settings,
                       const DesiredState &Desired,
                       std::function<void(std::string_view Reason)> Fenced)
    : Io(Io), Store(Store), Time(Time), Settings(Settings), Desired(Desired),
      OnFenced(std::move(Fenced)), RoundTimer(Io) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::begin(std::int64_t Epoch,
                       std::shared_ptr<JournalWriter> Writer) {
  this->end();
  this->CurrentTerm = std::make_shared<OwnershipTerm>();
  this->CurrentTerm->Epoch = Epoch;
  this->CurrentTerm->Writer = std::move(Writer);
  this->CurrentTerm->StartedAt = this->Time.monotonic();
  entryMetrics().OwnershipsGained.add();
  entryMetrics().OwnerEpoch.set(Epoch);
  logEvent(LogLevel::Info, "ownership_gained", {{"epoch", Epoch}});
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
  OwnershipTerm &Of = *this->CurrentTerm;
  if (Of.Loading) {
    if (Record.Value.empty())
      Of.JournalValues.erase(Record.Key);
    else
      Of.JournalValues[Record.Key] = Record.Value;
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
    if (auto Read = decodeRecord<SubmissionRecord>(Record.Value))
      Of.Table.addSubmission(Id, std::move(*Read), Now, WallMs);
    this->requestRound();
  }
  if (Kind == RecordKind::Cancellation) {
    Of.Table.addCancellation(Id, WallMs, Now);
    this->requestRound();
  }
}

void Dispatcher::buildTable(OwnershipTerm &Of) {
  constexpr std::size_t PrefixSize = 2;
  // Later kinds refer to earlier ones.
  constexpr std::array Order{RecordKind::Submission, RecordKind::JobPhase,
                             RecordKind::Unit, RecordKind::Cancellation};
  const Instant Now = this->Time.monotonic();
  const std::int64_t WallMs = this->Time.wall().Ms;
  for (const RecordKind Kind : Order) {
    const std::string Prefix{static_cast<char>(Kind), '/'};
    for (auto Entry = Of.JournalValues.lower_bound(Prefix);
         Entry != Of.JournalValues.end() && Entry->first.starts_with(Prefix);
         ++Entry) {
      const auto Name = std::string_view(Entry->first).substr(PrefixSize);
      const std::string &Value = Entry->second;
      if (Kind == RecordKind::Submission) {
        if (auto Read = decodeRecord<SubmissionRecord>(Value))
          Of.Table.addSubmission(Name, std::move(*Read), Now, WallMs);
      } else if (Kind == RecordKind::JobPhase) {
        if (const auto Read = decodeRecord<JobPhaseRecord>(Value))
          Of.Table.restorePhase(Name, *Read);
      } else if (Kind == RecordKind::Unit) {
        if (const auto Read = decodeRecord<UnitRecord>(Value))
          Of.Table.restoreUnit(Name, *Read, Now);
      } else {
        Of.Table.addCancellation(Name, WallMs, Now);
      }
    }
  }
  entryMetrics().StateLoadMs.record(
      static_cast<double>((Now - Of.StartedAt).Ms));
  logEvent(LogLevel::Info, "state_loaded",
           {{"epoch", Of.Epoch},
            {"records", static_cast<std::int64_t>(Of.JournalValues.size())},
            {"jobs", static_cast<std::int64_t>(Of.Table.jobs().size())},
            {"ms", (Now - Of.StartedAt).Ms}});
  Of.JournalValues.clear();
}

void Dispatcher::journalCaughtUp() {
  if (!this->CurrentTerm || !this->CurrentTerm->Loading)
    return;
  OwnershipTerm &Of = *this->CurrentTerm;
  Of.Loading = false;
  this->buildTable(Of);
  TopicObserver Observer;
  const std::weak_ptr<OwnershipTerm> Weak = this->CurrentTerm;
  Observer.Reset = [this, Weak] {
    if (Weak.lock())
      this->unlistWorkers();
  };
  Observer.Apply = [this, Weak](const JournalRecord &Record) {
    if (Weak.lock())
      this->applyWorkerEntry(Record);
  };
  Observer.CaughtUp = [this] { this->requestRound(); };
  Of.WorkerListFollower = std::make_shared<TopicFollower>(
      this->Io, this->Store, this->Time, std::string(WorkerTopic),
      std::move(Observer), WorkerListPace);
  spawnCoroutine(this->Io, "worker_list", followTopic(Of.WorkerListFollower));
  // Members of earlier owners may be on workers that are no longer listed.
  const Instant LeaseEnds =
      this->Time.monotonic() + maxLocalLease(this->Settings.MaxLease);
  for (const Unit *Entry : Of.Table.active())
    for (const Member &At : Entry->Members) {
      WorkerPtr &Worker = Of.Workers[At.Worker];
      if (!Worker)
        Worker = std::make_shared<WorkerLink>(this->Io, At.Worker);
      Worker->LeaseEnds = LeaseEnds;
      Worker->UnresponsiveSince = this->Time.monotonic();
    }
  spawnCoroutine(this->Io, "tick", this->periodicLoop(this->CurrentTerm));
  this->requestRound();
}

void Dispatcher::unlistWorkers() {
  for (auto &[Id, Worker] : this->CurrentTerm->Workers)
    Worker->Listed = false;
}

void Dispatcher::applyWorkerEntry(const JournalRecord &Record) {
  OwnershipTerm &Of = *this->CurrentTerm;
  std::optional<WorkerEntry> Entry;
  if (!Record.Value.empty())
    Entry = decodeWorkerEntry(Record.Value);
  const auto Known = Of.Workers.find(Record.Key);
  if (!Entry) {
    if (Known != Of.Workers.end() && Known->second->Listed) {
      Known->second->Listed = false;
      logEvent(LogLevel::Info, "worker_unlisted",
               {{"worker", Record.Key},
                {"reason", Record.Value.empty() ? "removed" : "malformed"}});
    }
    return;
  }
  WorkerPtr &Worker = Of.Workers[Record.Key];
  if (!Worker)
    Worker = std::make_shared<WorkerLink>(this->Io, Record.Key);
  const bool NewAddress =
      !Worker->Client || Worker->Entry.Address != Entry->Address;
  if (NewAddress)
    Worker->Client =
        std::make_shared<WorkerClient>(this->Io, Record.Key, Entry->Address);
  const bool NewLife = Worker->Listed && Entry->BornWallMs > 0 &&
                       Entry->BornWallMs != Worker->IncarnationStartMs;
  if (NewAddress || NewLife)
    Worker->Synced = false;
  if (Entry->Draining && !Worker->Entry.Draining)
    logEvent(LogLevel::Info, "worker_draining",
             {{"worker", Record.Key}, {"remaining_ms", Entry->RemainingMs}});
  // The entry was written a little before it was read.
  if (Entry->Draining && !Worker->Entry.Draining)
    Worker->EarliestRemovalAt =
        this->Time.monotonic() + Duration{Entry->RemainingMs} - WorkerListPace;
  Worker->Entry = std::move(*Entry);
  Worker->Listed = true;
  this->ensureHoldLoop(this->CurrentTerm, Worker);
}

void Dispatcher::requestRound() {
  if (this->RoundRequested || !this->CurrentTerm || this->CurrentTerm->Loading)
    return;
  this->RoundRequested = true;
  this->RoundTimer.expires_after(std::chrono::milliseconds(TurnDelay.Ms));
  this->RoundTimer.async_wait([this](asio::error_code Cancelled) {
    this->RoundRequested = false;
    if (!Cancelled && this->CurrentTerm && !this->CurrentTerm->Loading)
      this->runRound();
  });
}

void Dispatcher::runRound() {
  const TermPtr Of = this->CurrentTerm;
  Of->Table.unlock(this->Time.monotonic(), this->Time.wall().Ms);
  this->preemptOnDrainingWorkers(*Of);
  this->moveRefusedMembers(*Of);
  this->reserveForUrgent(*Of);
  this->placeUnits(*Of);
  this->sendStops(Of);
  this->logEvents(*Of);
  if (!Of->Flushing)
    spawnCoroutine(this->Io, "flush", this->flush(Of));
}

PlanningView Dispatcher::planningView(OwnershipTerm &Of, Instant Now) const {
  const Duration ReclaimAfter = this->Settings.ReclaimTimeout -
                                this->Settings.StopTimeout - ReclaimMargin;
  return {Of.Table,
          Of.Workers,
          this->Desired,
          this->Durations,
          Now,
          ReclaimAfter,
          this->Settings.StopTimeout};
}

void Dispatcher::placeUnits(OwnershipTerm &Of) {
  const Instant Now = this->Time.monotonic();
  const PlanningResult Plan = planRound(this->planningView(Of, Now));
  entryMetrics().UnitsWaiting.set(
      static_cast<std::int64_t>(Plan.Waiting - Plan.Starts.size()));
  entryMetrics().Preemptions.add(Plan.Preempted.size());
  for (const UnitPlacement &Start : Plan.Starts)
    Of.Table.place(*Start.Of, Start.Places, Now);
  for (const UnitReservation &Entry : Plan.Reservations)
    Of.Table.reserve(*Entry.For, Entry.Workers, Now);
  for (const UnitEviction &Entry : Plan.Preempted)
    Of.Table.preempt(*Entry.Victim, Now, "for " + Entry.For->name());
}

/// Remembers where urgent work runs: the next urgent gang comes soon.
void Dispatcher::reserveForUrgent(OwnershipTerm &Of) {
  const Instant Until = this->Time.monotonic() + KeptForUrgent;
  for (const Unit *Entry : Of.Table.active()) {
    if (termsOf(this->Desired, *Entry->Owner).Priority != 0)
      continue;
    for (const Member &At : Entry->Members)
      if (const auto Worker = Of.Workers.find(At.Worker);
          At.occupies() && Worker != Of.Workers.end())
        Worker->second->ReservedForUrgentUntil = Until;
  }
}

void Dispatcher::moveRefusedMembers(OwnershipTerm &Of) {
  const Instant Now = this->Time.monotonic();
  const MovePlan Plan = planMoves(this->planningView(Of, Now));
  for (const MovePlan::Move &Move : Plan.Moves)
    Of.Table.move(Move.Ref, Move.Place, Now);
  for (Unit *Gang : Plan.GivenUp)
    Of.Table.preempt(*Gang, Now, "no_worker_for_refused");
}

/// Ends runs that would not end before their worker leaves, so that they go on
/// elsewhere sooner.
void Dispatcher::preemptOnDrainingWorkers(OwnershipTerm &Of) {
  const Instant Now = this->Time.monotonic();
  for (auto &[Id, Worker] : Of.Workers) {
    if (!Worker->Listed || !Worker->Entry.Draining)
      continue;
    const auto Members = Of.Table.membersOn(Id);
    const std::vector<MemberRef> Held(Members.begin(), Members.end());
    for (const MemberRef &Ref : Held) {
      const bool StillThere = Ref.Index < Ref.Of->Members.size() &&
                              Ref.member().Phase == MemberPhase::Running &&
                              !Ref.Of->Done && !Ref.member().StopWanted;
      if (!StillThere)
        continue;
      const TimeLeft Run = timeLeft(this->planningView(Of, Now), *Ref.Of);
      if (mustLeave(Worker->EarliestRemovalAt, Run, Now))
        Of.Table.preempt(*Ref.Of, Now, "worker_drains");
    }
  }
}

void Dispatcher::sendStops(const TermPtr &Of) {
  for (Unit *Entry : Of->Table.active())
    for (std::size_t Index = 0; Index < Entry->Members.size(); ++Index) {
      const Member &At = Entry->Members[Index];
      const bool Stoppable = At.StopWanted && At.StopAcked.Ms == 0 &&
                             (At.Phase == MemberPhase::Running ||
                              At.Phase == MemberPhase::Adopted);
      const auto Worker = Of->Workers.find(At.Worker);
      if (Stoppable && Worker != Of->Workers.end())
        spawnCoroutine(this->Io, "stop_task",
                       this->stopTask(Of, Worker->second,
                                      Entry->taskName(Index), Entry->Run));
    }
}

asio::awaitable<void> Dispatcher::periodicLoop(TermPtr Of) {
  while (Of->Active) {
    co_await pauseFor(this->Io, TickPeriod);
    if (!Of->Active)
      co_return;
    for (auto Entry = Of->Workers.begin(); Entry != Of->Workers.end();) {
      const WorkerPtr Worker = Entry->second;
      const bool Empty = Of->Table.membersOn(Entry->first).empty();
      if (!Worker->Listed && Empty && !Worker->HoldLoopRunning) {
        Entry = Of->Workers.erase(Entry);
        continue;
      }
      this->ensureHoldLoop(Of, Worker);
      ++Entry;
    }
    this->verifyWorkers(*Of);
    Of->Table.expire(this->Time.wall().Ms - this->Settings.StatusRetention.Ms -
                     RetentionMargin.Ms);
    this->requestRound();
  }
}

asio::awaitable<void> Dispatcher::flush(TermPtr Of) {
  Of->Flushing = true;
  std::vector<JournalRecord> Records = Of->Table.takeRecords();
  struct Starting {
    MemberRef Ref;
    std::int64_t Run;
  };
  std::vector<Starting> Starts;
  for (Unit *Entry : Of->Table.active())
    for (std::size_t Index = 0; Index < Entry->Members.size(); ++Index)
      if (Entry->Members[Index].Phase == MemberPhase::Recorded)
        Starts.push_back({{Entry, Index}, Entry->Run});
  std::vector<std::pair<WorkerPtr, std::int64_t>> Ends;
  for (auto &[Id, Worker] : Of->Workers)
    if (Worker->LastAppliedEnd > Worker->LastRecordedEnd)
      Ends.emplace_back(Worker, Worker->LastAppliedEnd);
  WriteOutcome Outcome = WriteOutcome::Stored;
  if (!Records.empty())
    Outcome = co_await Of->Writer->write(std::move(Records), OwnerPatience);
  Of->Flushing = false;
  if (!Of->Active)
    co_return;
  if (Outcome != WriteOutcome::Stored) {
    this->OnFenced("store");
    co_return;
  }
  for (auto &[Worker, Number] : Ends) {
    Worker->LastRecordedEnd = std::max(Worker->LastRecordedEnd, Number);
    Worker->Wake.notify();
    this->ensureHoldLoop(Of, Worker);
  }
  for (const Starting &Entry : Starts)
    spawnCoroutine(
        this->Io, "start_member",
        this->startMember(Of, Entry.Ref.Of, Entry.Ref.Index, Entry.Run));
  if (Of->Table.dirty())
    this->requestRound();
}

void Dispatcher::updateFromEvent(OwnershipTerm &Of, const TableEvent &Event) {
  const auto Found = Of.Workers.find(Event.Worker);
  const bool Stuck = Event.What == TableEvent::Kind::Stuck;
  const bool Ended = Event.What == TableEvent::Kind::Ended;
  if ((!Stuck && !Ended) || Found == Of.Workers.end())
    return;
  WorkerLink &Worker = *Found->second;
  const Instant Now = this->Time.monotonic();
  if (Stuck)
    noteStuckRun(Worker.Trust, Now);
  if (Event.Detail == "done") {
    noteSurvival(Worker.Trust, Now - Duration{Event.Ms}, Now);
    this->Durations.learn(Event.Queue, Event.EstimatedMs, Event.Ms);
  }
  if (Event.Detail != "failed")
    return;
  const auto JobId = std::string_view(Event.Subject).substr(0, JobIdSize);
  const Job *Owner = Of.Table.find(JobId);
  const bool JobsFault =
      Owner && !Owner->Lived && Owner->FailedOn.size() >= WorkersOfABadJob;
  if (Duration{Event.Ms} < EarlyFailure && !JobsFault)
    noteEarlyFailure(Worker.Trust, JobId, Now);
  else
    Worker.AvoidedUntil = Now + DoubtAfterFailure;
}

/// Restores trust in workers on which a run has lived for long enough.
void Dispatcher::verifyWorkers(OwnershipTerm &Of) {
  const Instant Now = this->Time.monotonic();
  for (auto &[Id, Worker] : Of.Workers)
    for (const MemberRef &Ref : Of.Table.membersOn(Id)) {
      const Instant PlacedAt = Ref.Of->PlacedAt;
      const bool Lives = Ref.member().Phase == MemberPhase::Running &&
                         Ref.Of->Begun && Worker->UnresponsiveSince.Ms == 0;
      if (!Lives || Now - PlacedAt <= EarlyFailure)
        continue;
      Ref.Of->Owner->Lived = true;
      noteSurvival(Worker->Trust, PlacedAt, Now);
    }
}

void Dispatcher::logEvents(OwnershipTerm &Of) {
  constexpr std::array Names{
      "placed",    "started",     "start_refused", "run_ended", "run_vanished",
      "run_stuck", "stop_wanted", "reserved",      "unit_done", "job_ended"};
  for (const TableEvent &Event : Of.Table.takeEvents()) {
    this->updateFromEvent(Of, Event);
    countEvent(Event);
    const std::string_view Name = Names[static_cast<std::size_t>(Event.What)];
    if (Event.What == TableEvent::Kind::UnitDone)
      continue;
    logEvent(LogLevel::Info, Name,
             {{"id", Event.Subject},
              {"run", Event.Run},
              {"worker", Event.Worker},
              {"detail", Event.Detail},
              {"ms", Event.Ms},
              {"estimated_ms", Event.EstimatedMs},
              {"queue", Event.Queue},
              {"epoch", Of.Epoch}});
  }
}

} // namespace pistachioflow
