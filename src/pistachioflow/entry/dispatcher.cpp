#include "pistachioflow/entry/dispatcher.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/dispatcher_tenure.hpp"
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
constexpr WritePatience OwnerPatience{{3'600'000}, {3'600'000}};
/// About the time between two urgent gangs under load. What is kept for longer
/// stands idle; what is not kept has to be emptied for the next one.
constexpr Duration KeptForUrgent{1'000};
/// For the start itself, within the time in which guaranteed work must start.
constexpr Duration ReclaimMargin{1'000};
/// Ended jobs are kept this much longer than callers may ask for them.
constexpr Duration RetentionMargin{60'000};

void countEvent(const TableEvent &Event) {
  EntryMetrics &Metrics = entryMetrics();
  const auto Took = static_cast<double>(Event.DurationMs);
  switch (Event.EventKind) {
  case TableEvent::Kind::Placed:
    Metrics.PlaceMs.record(Took);
    break;
  case TableEvent::Kind::Confirmed:
    Metrics.Starts.add();
    Metrics.StartMs.record(Took);
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
    Metrics.JobMs.record(Took);
    break;
  case TableEvent::Kind::Stuck:
  case TableEvent::Kind::StopRequested:
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
      Fenced(std::move(Fenced)), TurnTimer(Io) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::begin(std::int64_t Epoch,
                       std::shared_ptr<JournalWriter> Writer) {
  this->end();
  this->Current = std::make_shared<Tenure>();
  this->Current->Epoch = Epoch;
  this->Current->Writer = std::move(Writer);
  this->Current->BegunAt = this->Time.monotonic();
  entryMetrics().Tenures.add();
  entryMetrics().Epoch.set(Epoch);
  logEvent(LogLevel::Info, "ownership_gained", {{"epoch", Epoch}});
}

void Dispatcher::end() {
  if (!this->Current)
    return;
  this->Current->Active = false;
  if (this->Current->WorkerList)
    this->Current->WorkerList->stop();
  this->Current.reset();
}

void Dispatcher::journalReset() {
  if (this->Current && this->Current->Loading)
    this->Current->Loaded.clear();
}

void Dispatcher::apply(const JournalRecord &Record) {
  if (!this->Current)
    return;
  Tenure &Of = *this->Current;
  if (Of.Loading) {
    if (Record.Value.empty())
      Of.Loaded.erase(Record.Key);
    else
      Of.Loaded[Record.Key] = Record.Value;
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
    this->requestTurn();
  }
  if (Kind == RecordKind::Cancellation) {
    Of.Table.addCancellation(Id, WallMs, Now);
    this->requestTurn();
  }
}

void Dispatcher::buildTable(Tenure &Of) {
  constexpr std::size_t PrefixSize = 2;
  // Later kinds refer to earlier ones.
  constexpr std::array Order{RecordKind::Submission, RecordKind::JobPhase,
                             RecordKind::Unit, RecordKind::Cancellation};
  const Instant Now = this->Time.monotonic();
  const std::int64_t WallMs = this->Time.wall().Ms;
  for (const RecordKind Kind : Order) {
    const std::string Prefix{static_cast<char>(Kind), '/'};
    for (auto Entry = Of.Loaded.lower_bound(Prefix);
         Entry != Of.Loaded.end() && Entry->first.starts_with(Prefix);
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
  entryMetrics().LoadMs.record(static_cast<double>((Now - Of.BegunAt).Ms));
  logEvent(LogLevel::Info, "state_loaded",
           {{"epoch", Of.Epoch},
            {"records", static_cast<std::int64_t>(Of.Loaded.size())},
            {"jobs", static_cast<std::int64_t>(Of.Table.jobs().size())},
            {"ms", (Now - Of.BegunAt).Ms}});
  Of.Loaded.clear();
}

void Dispatcher::journalCaughtUp() {
  if (!this->Current || !this->Current->Loading)
    return;
  Tenure &Of = *this->Current;
  Of.Loading = false;
  this->buildTable(Of);
  TopicObserver Observer;
  const std::weak_ptr<Tenure> Weak = this->Current;
  Observer.Reset = [this, Weak] {
    if (Weak.lock())
      this->workersReset();
  };
  Observer.Apply = [this, Weak](const JournalRecord &Record) {
    if (Weak.lock())
      this->workerListed(Record);
  };
  Observer.CaughtUp = [this] { this->requestTurn(); };
  Of.WorkerList = std::make_shared<TopicFollower>(
      this->Io, this->Store, this->Time, std::string(WorkerTopic),
      std::move(Observer), WorkerListPace);
  spawnTask(this->Io, "worker_list", followTopic(Of.WorkerList));
  // Members of earlier owners may be on workers that are no longer listed.
  const Instant LeaseEnds =
      this->Time.monotonic() + longestLease(this->Settings.MaxLease);
  for (const Unit *Entry : Of.Table.active())
    for (const Member &At : Entry->Members) {
      Link &Worker = Of.Workers[At.Worker];
      if (!Worker)
        Worker = std::make_shared<WorkerLink>(this->Io, At.Worker);
      Worker->LeaseEnds = LeaseEnds;
      Worker->SilentSince = this->Time.monotonic();
    }
  spawnTask(this->Io, "tick", this->tick(this->Current));
  this->requestTurn();
}

void Dispatcher::workersReset() {
  for (auto &[Id, Worker] : this->Current->Workers)
    Worker->Listed = false;
}

void Dispatcher::workerListed(const JournalRecord &Record) {
  Tenure &Of = *this->Current;
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
  Link &Worker = Of.Workers[Record.Key];
  if (!Worker)
    Worker = std::make_shared<WorkerLink>(this->Io, Record.Key);
  const bool NewAddress =
      !Worker->Client || Worker->Entry.Address != Entry->Address;
  if (NewAddress)
    Worker->Client =
        std::make_shared<WorkerClient>(this->Io, Record.Key, Entry->Address);
  const bool NewLife = Worker->Listed && Entry->IncarnationStartMs > 0 &&
                       Entry->IncarnationStartMs != Worker->BornWallMs;
  if (NewAddress || NewLife)
    Worker->Synced = false;
  if (Entry->Draining && !Worker->Entry.Draining)
    logEvent(LogLevel::Info, "worker_draining",
             {{"worker", Record.Key}, {"remaining_ms", Entry->RemainingMs}});
  // The entry was written a little before it was read.
  if (Entry->Draining && !Worker->Entry.Draining)
    Worker->LeavesAt =
        this->Time.monotonic() + Duration{Entry->RemainingMs} - WorkerListPace;
  Worker->Entry = std::move(*Entry);
  Worker->Listed = true;
  this->ensureHolding(this->Current, Worker);
}

void Dispatcher::requestTurn() {
  if (this->TurnRequested || !this->Current || this->Current->Loading)
    return;
  this->TurnRequested = true;
  this->TurnTimer.expires_after(std::chrono::milliseconds(TurnDelay.Ms));
  this->TurnTimer.async_wait([this](asio::error_code Cancelled) {
    this->TurnRequested = false;
    if (!Cancelled && this->Current && !this->Current->Loading)
      this->turn();
  });
}

void Dispatcher::turn() {
  const Held Of = this->Current;
  Of->Table.unlockDueSteps(this->Time.monotonic(), this->Time.wall().Ms);
  this->moveFromDraining(*Of);
  this->moveRefused(*Of);
  this->keepForUrgent(*Of);
  this->place(*Of);
  this->sendStops(Of);
  this->logEvents(*Of);
  if (!Of->Flushing)
    spawnTask(this->Io, "flush", this->flush(Of));
}

PlanningView Dispatcher::viewOf(Tenure &Of, Instant Now) const {
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

void Dispatcher::place(Tenure &Of) {
  const Instant Now = this->Time.monotonic();
  const PlanningResult Plan = planRound(this->viewOf(Of, Now));
  entryMetrics().Waiting.set(
      static_cast<std::int64_t>(Plan.Waiting - Plan.Starts.size()));
  entryMetrics().Preemptions.add(Plan.Preemptions.size());
  for (const UnitPlacement &Start : Plan.Starts)
    Of.Table.place(*Start.Placed, Start.Places, Now);
  for (const UnitReservation &Entry : Plan.Reservations)
    Of.Table.reserve(*Entry.Beneficiary, Entry.Workers, Now);
  for (const UnitPreemption &Entry : Plan.Preemptions)
    Of.Table.preempt(*Entry.Victim, Now, "for " + Entry.Beneficiary->name());
}

/// Remembers where urgent work runs: the next urgent gang comes soon.
void Dispatcher::keepForUrgent(Tenure &Of) {
  const Instant Until = this->Time.monotonic() + KeptForUrgent;
  for (const Unit *Entry : Of.Table.active()) {
    if (termsOf(this->Desired, *Entry->ParentJob).Priority != 0)
      continue;
    for (const Member &At : Entry->Members)
      if (const auto Worker = Of.Workers.find(At.Worker);
          At.occupiesCapacity() && Worker != Of.Workers.end())
        Worker->second->UrgentUntil = Until;
  }
}

void Dispatcher::moveRefused(Tenure &Of) {
  const Instant Now = this->Time.monotonic();
  const MovePlan Plan = planMoves(this->viewOf(Of, Now));
  for (const MovePlan::Move &Move : Plan.Moves)
    Of.Table.moveMember(Move.Ref, Move.Place, Now);
  for (Unit *Gang : Plan.Unplaceable)
    Of.Table.preempt(*Gang, Now, "no_worker_for_refused");
}

/// Ends runs that would not end before their worker leaves, so that they go on
/// elsewhere sooner.
void Dispatcher::moveFromDraining(Tenure &Of) {
  const Instant Now = this->Time.monotonic();
  for (auto &[Id, Worker] : Of.Workers) {
    if (!Worker->Listed || !Worker->Entry.Draining)
      continue;
    const auto Members = Of.Table.membersOn(Id);
    const std::vector<MemberRef> Held(Members.begin(), Members.end());
    for (const MemberRef &Ref : Held) {
      const bool StillThere = Ref.Index < Ref.ParentUnit->Members.size() &&
                              Ref.member().Phase == MemberPhase::Running &&
                              !Ref.ParentUnit->Done &&
                              !Ref.member().StopRequested;
      if (!StillThere)
        continue;
      const RemainingTime Run =
          remainingTime(this->viewOf(Of, Now), *Ref.ParentUnit);
      if (mustLeave(Worker->LeavesAt, Run, Now))
        Of.Table.preempt(*Ref.ParentUnit, Now, "worker_drains");
    }
  }
}

void Dispatcher::sendStops(const Held &Of) {
  for (Unit *Entry : Of->Table.active())
    for (std::size_t Index = 0; Index < Entry->Members.size(); ++Index) {
      const Member &At = Entry->Members[Index];
      const bool Stoppable = At.StopRequested && At.StopAcceptedAt.Ms == 0 &&
                             (At.Phase == MemberPhase::Running ||
                              At.Phase == MemberPhase::Adopted);
      const auto Worker = Of->Workers.find(At.Worker);
      if (Stoppable && Worker != Of->Workers.end())
        spawnTask(this->Io, "stop_task",
                  this->stopTask(Of, Worker->second, Entry->taskName(Index),
                                 Entry->Run));
    }
}

asio::awaitable<void> Dispatcher::tick(Held Of) {
  while (Of->Active) {
    co_await pauseFor(this->Io, TickPeriod);
    if (!Of->Active)
      co_return;
    for (auto Entry = Of->Workers.begin(); Entry != Of->Workers.end();) {
      const Link Worker = Entry->second;
      const bool Empty = Of->Table.membersOn(Entry->first).empty();
      if (!Worker->Listed && Empty && !Worker->Looping) {
        Entry = Of->Workers.erase(Entry);
        continue;
      }
      this->ensureHolding(Of, Worker);
      ++Entry;
    }
    this->noteSurvivors(*Of);
    Of->Table.expire(this->Time.wall().Ms - this->Settings.StatusRetention.Ms -
                     RetentionMargin.Ms);
    this->requestTurn();
  }
}

asio::awaitable<void> Dispatcher::flush(Held Of) {
  Of->Flushing = true;
  std::vector<JournalRecord> Records = Of->Table.takeRecords();
  struct Starting {
    MemberRef Ref;
    std::int64_t Run;
  };
  std::vector<Starting> Starts;
  for (Unit *Entry : Of->Table.active())
    for (std::size_t Index = 0; Index < Entry->Members.size(); ++Index)
      if (Entry->Members[Index].Phase == MemberPhase::Planned)
        Starts.push_back({{Entry, Index}, Entry->Run});
  std::vector<std::pair<Link, std::int64_t>> Ends;
  for (auto &[Id, Worker] : Of->Workers)
    if (Worker->EndsSeen > Worker->EndsRecorded)
      Ends.emplace_back(Worker, Worker->EndsSeen);
  WriteOutcome Outcome = WriteOutcome::Stored;
  if (!Records.empty())
    Outcome = co_await Of->Writer->write(std::move(Records), OwnerPatience);
  Of->Flushing = false;
  if (!Of->Active)
    co_return;
  if (Outcome != WriteOutcome::Stored) {
    this->Fenced("store");
    co_return;
  }
  for (auto &[Worker, Number] : Ends) {
    Worker->EndsRecorded = std::max(Worker->EndsRecorded, Number);
    Worker->Wake.notify();
    this->ensureHolding(Of, Worker);
  }
  for (const Starting &Entry : Starts)
    spawnTask(this->Io, "start_member",
              this->startMember(Of, Entry.Ref.ParentUnit, Entry.Ref.Index,
                                Entry.Run));
  if (Of->Table.dirty())
    this->requestTurn();
}

void Dispatcher::learnFromEvents(Tenure &Of, const TableEvent &Event) {
  const auto Found = Of.Workers.find(Event.Worker);
  const bool Stuck = Event.EventKind == TableEvent::Kind::Stuck;
  const bool Ended = Event.EventKind == TableEvent::Kind::Ended;
  if ((!Stuck && !Ended) || Found == Of.Workers.end())
    return;
  WorkerLink &Worker = *Found->second;
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
  const Job *Owner = Of.Table.find(JobId);
  const bool JobsFault = Owner && !Owner->OutlivedEarlyFailure &&
                         Owner->FailedWorkers.size() >= WorkersOfABadJob;
  if (Duration{Event.DurationMs} < EarlyFailureWindow && !JobsFault)
    recordEarlyFailure(Worker.Trust, JobId, Now);
  else
    Worker.DoubtedUntil = Now + DoubtAfterFailure;
}

/// Restores trust in workers on which a run has lived for long enough.
void Dispatcher::noteSurvivors(Tenure &Of) {
  const Instant Now = this->Time.monotonic();
  for (auto &[Id, Worker] : Of.Workers)
    for (const MemberRef &Ref : Of.Table.membersOn(Id)) {
      const Instant PlacedAt = Ref.ParentUnit->PlacedAt;
      const bool Lives = Ref.member().Phase == MemberPhase::Running &&
                         Ref.ParentUnit->FullyStarted &&
                         Worker->SilentSince.Ms == 0;
      if (!Lives || Now - PlacedAt <= EarlyFailureWindow)
        continue;
      Ref.ParentUnit->ParentJob->OutlivedEarlyFailure = true;
      recordSuccess(Worker->Trust, PlacedAt, Now);
    }
}

void Dispatcher::logEvents(Tenure &Of) {
  constexpr std::array Names{
      "placed",    "started",     "start_refused", "run_ended", "run_vanished",
      "run_stuck", "stop_wanted", "reserved",      "unit_done", "job_ended"};
  for (const TableEvent &Event : Of.Table.takeEvents()) {
    this->learnFromEvents(Of, Event);
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
              {"estimated_ms", Event.EstimatedMs},
              {"queue", Event.Queue},
              {"epoch", Of.Epoch}});
  }
}

} // namespace pistachioflow
