#include "pistachioflow/entry/dispatcher.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <utility>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/dispatcher_ownership_term.hpp"
#include "pistachioflow/entry/metrics.hpp"
#include "pistachioflow/entry/round_pacing.hpp"

namespace pistachioflow {

namespace {

/// Interval of the checks for due occurrences, draining workers and expired
/// jobs.
constexpr Duration PeriodicInterval{100};
constexpr Duration PaceTrimInterval{1'000};
/// Length of a job's id, with which the name of each of its tasks begins.
constexpr std::size_t JobIdSize = 16;
/// Other workers are preferred for this long after a run has failed on one.
constexpr Duration AvoidAfterFailure{1'000};
constexpr WriteTimeouts OwnerWriteTimeouts{{3'600'000}, {3'600'000}};
/// Part of the time limit for starting guaranteed work that is left for the
/// start itself.
constexpr Duration ReclaimStartMargin{1'000};
/// Ended jobs are retained this much longer than callers may ask for them.
constexpr Duration RetentionMargin{60'000};
/// Much longer than a submission may be on its way to the journal.
constexpr Duration EarlyCancellationRetention{60'000};

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
  case TableEvent::Kind::WorkerCrashed:
    Metrics.RunsCrashed.add();
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
  case TableEvent::Kind::StillWaiting:
  case TableEvent::Kind::UnitDone:
    break;
  }
}

/// Whether a member is to be told to stop and has not accepted it yet.
bool mayBeStopped(const Member &Placed) {
  const bool MayRun = Placed.Phase == MemberPhase::Running ||
                      Placed.Phase == MemberPhase::Adopted;
  const bool StartUnknown =
      Placed.Phase == MemberPhase::Sent && Placed.StartGivenUp;
  return Placed.StopAcceptedAt.Ms == 0 &&
         (StartUnknown || (MayRun && Placed.StopRequested));
}

void logCrash(const TableEvent &Event, std::int64_t Epoch) {
  logEvent(LogLevel::Warning, "worker_crashed",
           {{"id", Event.Subject},
            {"run", Event.Run},
            {"worker", Event.Worker},
            {"evidence", Event.Detail},
            {"crashes", Event.Crashes},
            {"shared", Event.SharedWorker},
            {"incarnation_before", Event.IncarnationBefore},
            {"incarnation_after", Event.IncarnationAfter},
            {"epoch", Epoch}});
}

} // namespace

Dispatcher::Dispatcher(asio::io_context &Io, StoreClient &Store,
                       const Clock &Time, const InstanceSettings &Settings,
                       const DesiredState &Desired,
                       EvacuationSource Evacuations,
                       std::shared_ptr<MemoryBudget> WorkerMemory,
                       PacePlacement PaceMode,
                       std::function<void(std::string_view Reason)> OnFenced)
    : Io(Io), Store(Store), Time(Time), Settings(Settings), Desired(Desired),
      Evacuations(std::move(Evacuations)),
      WorkerMemory(std::move(WorkerMemory)), OnFenced(std::move(OnFenced)),
      PaceMode(PaceMode), RoundTimer(Io) {}

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

void Dispatcher::end() {
  if (!this->CurrentTerm)
    return;
  this->CurrentTerm->Active = false;
  if (this->CurrentTerm->WorkerListFollower)
    this->CurrentTerm->WorkerListFollower->stop();
  this->CurrentTerm.reset();
  this->Paces = {};
}

void Dispatcher::requestRound() {
  if (this->RoundRequested || !this->CurrentTerm || this->CurrentTerm->Loading)
    return;
  this->RoundRequested = true;
  const Duration Delay = gatheringTime(this->LastRoundTime);
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
  Term->Table.giveUpAfterLosses(StartedAt, this->Time.wall().Ms);
  this->preemptOnDrainingWorkers(*Term);
  if (this->mayPlace())
    this->moveRefusedMembers(*Term);
  reserveForUrgent(this->planningView(*Term, this->Time.monotonic()));
  const bool Complete = this->placeUnits(*Term);
  this->sendStops(Term);
  this->logEvents(*Term);
  if (!Term->Flushing)
    spawnCoroutine(this->Io, "flush", this->flush(Term));
  this->LastRoundTime = this->Time.monotonic() - StartedAt;
  entryMetrics().RoundMs.record(static_cast<double>(this->LastRoundTime.Ms));
  if (!Complete)
    this->requestRound();
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
          this->Settings.StopTimeout,
          this->Settings.RemotePenalty,
          &this->evacuated(),
          this->PaceMode,
          &this->Paces};
}

/// Returns the evacuations that are in force. Without a timeout in the
/// settings, there are none.
const EvacuatedDomains &Dispatcher::evacuated() const {
  static const EvacuatedDomains None;
  return this->Settings.EvacuationTimeout.Ms == 0 ? None
                                                  : this->Evacuations.Domains;
}

/// Whether the evacuations are known. A new owner may not have read them yet.
bool Dispatcher::mayPlace() {
  const bool Paused = !this->Evacuations.Current();
  if (Paused != this->PlacementPaused)
    logEvent(LogLevel::Warning,
             Paused ? "placement_paused" : "placement_resumed",
             {{"reason", "evacuations_unknown"}});
  this->PlacementPaused = Paused;
  return !Paused;
}

/// Places waiting units. Returns whether all of them were considered.
bool Dispatcher::placeUnits(OwnershipTerm &Term) {
  if (!this->mayPlace())
    return true;
  const Instant Now = this->Time.monotonic();
  const PlanningResult Plan = planRound(this->planningView(Term, Now));
  entryMetrics().UnitsWaiting.set(
      static_cast<std::int64_t>(Plan.Waiting - Plan.Starts.size()));
  entryMetrics().Preemptions.add(Plan.Preemptions.size());
  entryMetrics().PlacementsByPace.add(static_cast<std::uint64_t>(
      std::ranges::count_if(Plan.Starts, [](const UnitPlacement &Start) {
        return !Start.Detail.empty();
      })));
  applyPlan(Term.Table, Plan, Now);
  return !Plan.Incomplete;
}

void Dispatcher::learnPaces(OwnershipTerm &Term, const WorkerLink &Worker,
                            Instant Now) {
  if (this->PaceMode != PacePlacement::Off)
    learnFromProgress(this->Paces, Term.Table, Worker, Now);
}

/// Forgets old paces, and publishes how far workers differ.
void Dispatcher::trimPaces() {
  constexpr double WholePercent = 100;
  const Instant Now = this->Time.monotonic();
  const bool Due = Now - this->PacesTrimmedAt >= PaceTrimInterval;
  if (this->PaceMode == PacePlacement::Off || !Due)
    return;
  this->PacesTrimmedAt = Now;
  forgetOldSpeeds(this->Paces, Now);
  entryMetrics().PaceSpread.set(
      std::lround(WholePercent * paceSpread(this->Paces, Now)));
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
      const bool Stoppable = mayBeStopped(PlacedMember);
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
    this->trimPaces();
    const std::int64_t WallMs = this->Time.wall().Ms;
    Term->Table.expire(WallMs - this->Settings.StatusRetention.Ms -
                       RetentionMargin.Ms);
    Term->Table.expireEarlyCancellations(WallMs -
                                         EarlyCancellationRetention.Ms);
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
  std::vector<std::pair<WorkerPtr, EndNumbers>> Ends;
  for (auto &[Id, Worker] : Term->Workers)
    if (Worker->Ends.awaitRecords())
      Ends.emplace_back(Worker, Worker->Ends);
  WriteOutcome Outcome = WriteOutcome::Stored;
  if (!Records.empty())
    Outcome = co_await Term->Writer->writeInParts(std::move(Records),
                                                  OwnerWriteTimeouts);
  Term->Flushing = false;
  if (!Term->Active)
    co_return;
  if (Outcome != WriteOutcome::Stored) {
    this->OnFenced("store");
    co_return;
  }
  for (const auto &[Worker, Stored] : Ends) {
    markRecorded(Worker->Ends, Stored);
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
  Unit *Failed = Term.Table.unitOf(Event.Subject);
  const bool Early = Duration{Event.DurationMs} < EarlyFailureWindow;
  if (Early && !(Failed && failsByItself(*Failed, Event.Worker)))
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
      outliveEarlyFailure(*Ref.ParentUnit);
      recordSuccess(Worker->Trust, PlacedAt, Now);
    }
}

void Dispatcher::logEvents(OwnershipTerm &Term) {
  constexpr std::array Names{"placed",         "started",      "start_refused",
                             "run_ended",      "run_vanished", "worker_crashed",
                             "run_stuck",      "stop_wanted",  "reserved",
                             "claim_replaced", "claim_failed", "still_waiting",
                             "unit_done",      "job_ended"};
  for (const TableEvent &Event : Term.Table.takeEvents()) {
    this->updateFromEvent(Term, Event);
    countEvent(Event);
    const std::string_view Name =
        Names[static_cast<std::size_t>(Event.EventKind)];
    if (Event.EventKind == TableEvent::Kind::UnitDone)
      continue;
    if (Event.EventKind == TableEvent::Kind::WorkerCrashed) {
      logCrash(Event, Term.Epoch);
      continue;
    }
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
