#include "pistachioflow/controller/cell.hpp"

#include <algorithm>
#include <utility>

#include "pistachioflow/base/log.hpp"

namespace pistachioflow {

namespace {

constexpr std::string_view StreamPrefix = "cell/";

/// Facts about workers and lists change what may be placed where. Decisions
/// that were made without them wait for the next turn.
bool changesCapacity(const Event &Fact) {
  return std::holds_alternative<ListsChanged>(Fact) ||
         std::holds_alternative<WorkerJoined>(Fact) ||
         std::holds_alternative<WorkerLost>(Fact);
}

/// Collects the actions that fitted the state.
void collectApplied(std::vector<Action> &Actions, const DecisionsMade &Made,
                    const FoldedRecord &Folded) {
  for (std::size_t At = 0; At < Made.Decisions.size(); ++At) {
    if (Folded.Applied[At])
      Actions.push_back(Made.Decisions[At].What);
  }
}

} // namespace

CellController::CellController(CellId Cell, InstanceId Self,
                               CellSettings Settings, CellPorts Ports)
    : Cell(std::move(Cell)),
      Stream({std::string(StreamPrefix) + this->Cell.Value}),
      Self(std::move(Self)), Settings(Settings), Ports(std::move(Ports)),
      Ids(this->Ports.IdSeed), Facts([this](const std::vector<Event> &Events) {
        return this->appendFacts(Events);
      }),
      Calls(this->Ports.Workers, this->Ports.Time, this->Ports.Run,
            [this](const WorkerOrder &Order) { return this->maySend(Order); }) {
  this->Cursor.Stream = this->Stream;
}

void CellController::setTap(RecordTap Tap) { this->Tap = std::move(Tap); }

void CellController::setInputs(CellInputs Inputs) {
  this->PeerReachesLog = Inputs.PeerReachesLog;
  const std::lock_guard Guard(this->InputsLock);
  this->Inputs = std::move(Inputs);
}

bool CellController::advance() {
  const std::lock_guard Guard(this->Turn);
  const Result<bool> AtEnd = this->readStream();
  this->takeAnswers();
  if (AtEnd.has_error()) {
    if (this->Tenure)
      this->send(dueRenewals(*this->Tenure, this->Settings.Tenure,
                             this->Ports.Time.monotonic()));
    return false;
  }
  if (!AtEnd.value())
    return true;
  this->keepLease();
  this->followTenure();
  if (!this->Tenure || !this->actsNow())
    return false;
  const Instant Now = this->Ports.Time.monotonic();
  this->send(
      dueCalls(*this->Tenure, this->Fold.Cell, this->Settings.Tenure, Now));
  const bool Appended = this->decide();
  this->snapshotIfDue();
  return Appended;
}

Result<void> CellController::refresh() {
  const std::lock_guard Guard(this->Turn);
  BOOST_OUTCOME_TRY(this->readStream());
  return outcome::success();
}

/// Returns whether the end of the stream was reached.
Result<bool> CellController::readStream() {
  const Instant Began = this->Ports.Time.monotonic();
  Result<StreamBatch> Batch = readNew(this->Ports.Log, this->Cursor);
  if (Batch.has_error()) {
    this->noteOutage(Batch.error());
    return Batch.error();
  }
  this->noteReturn();
  if (Batch.value().Restarted && !this->restartFold(Batch.value()))
    return Error{ErrorCode::InvalidInput, "the snapshot cannot be read", {}};
  this->takeBatch(Batch.value());
  this->NextOffset = this->Cursor.Next;
  if (!Batch.value().AtEnd)
    return false;
  this->CaughtUp = true;
  const std::lock_guard Guard(this->ViewLock);
  noteReadEnd(this->View, Began);
  return true;
}

bool CellController::restartFold(const StreamBatch &Batch) {
  Result<CellFold> Decoded = decodeSnapshot(Batch.Snapshot);
  if (Decoded.has_error()) {
    logEvent(
        LogLevel::Error, "snapshot_unreadable",
        {{"stream", this->Stream.Value}, {"error", Decoded.error().Message}});
    // Nothing was folded: the next read has to restart as well.
    this->Cursor.Started = false;
    return false;
  }
  const Instant Now = this->Ports.Time.monotonic();
  {
    const std::lock_guard Guard(this->ViewLock);
    noteSnapshot(this->View, Decoded.value().Ownership, Now);
  }
  this->SinceSnapshot = {0, 0, Now};
  const std::unique_lock Guard(this->FoldLock);
  this->Fold = std::move(Decoded.value());
  return true;
}

void CellController::takeBatch(const StreamBatch &Batch) {
  if (Batch.Damaged > 0)
    this->Ports.Metrics.counter("cell_damaged_records_total")
        .add(Batch.Damaged);
  for (const StreamRecord &Read : Batch.Records)
    this->takeRecord(Read);
}

void CellController::takeRecord(const StreamRecord &Read) {
  const Instant Now = this->Ports.Time.monotonic();
  bool Valid = false;
  OwnershipState Owner;
  Epoch Held = 0;
  {
    const std::lock_guard Guard(this->ViewLock);
    Valid = noteRecord(this->View, Read.What, this->Settings.Lease, Now);
    Owner = this->View.State;
    Held = this->View.HeldEpoch;
  }
  FoldedRecord Folded;
  {
    const std::unique_lock Guard(this->FoldLock);
    this->Fold.Ownership = std::move(Owner);
    Folded = foldCellRecord(this->Fold, Read.What, Valid);
  }
  countRecord(this->SinceSnapshot, Read.What, Now);
  const auto *Made = std::get_if<DecisionsMade>(&Read.What.What);
  const bool Own =
      Valid && Made != nullptr && Read.What.Header.AuthorEpoch == Held;
  if (Own)
    collectApplied(this->FreshActions, *Made, Folded);
  if (this->Tap)
    this->Tap(this->Stream, Read, Folded);
}

void CellController::noteOutage(const Error &Failure) {
  const Instant Now = this->Ports.Time.monotonic();
  {
    const std::lock_guard Guard(this->ViewLock);
    noteReadFailed(this->View, Now);
  }
  if (!this->LogReachable.exchange(false) && this->CaughtUp)
    return;
  logEvent(LogLevel::Warning, "log_unreachable",
           {{"stream", this->Stream.Value},
            {"error", toString(Failure.Code)},
            {"detail", Failure.Message}});
  this->journal(ReasonCode::LogUnavailable, SubjectKind::Cell, this->Cell.Value,
                "log out of reach: placing nothing");
}

void CellController::noteReturn() {
  if (this->LogReachable.exchange(true))
    return;
  logEvent(LogLevel::Info, "log_reachable", {{"stream", this->Stream.Value}});
  this->journal(ReasonCode::None, SubjectKind::Cell, this->Cell.Value,
                "log in reach");
}

LeaseView CellController::leaseView() const {
  const std::lock_guard Guard(this->ViewLock);
  return this->View;
}

void CellController::keepLease() {
  const LeaseView Seen = this->leaseView();
  const Instant Now = this->Ports.Time.monotonic();
  std::size_t Rank = 0;
  {
    const std::lock_guard Guard(this->InputsLock);
    Rank = claimRank(this->Stream, this->Inputs.Live, this->Self,
                     Seen.State.Owner);
  }
  const LeaseStep Step =
      nextLeaseStep(Seen, this->Self, Rank, this->Settings.Lease, Now);
  if (Step == LeaseStep::Claim && !this->Leaving)
    this->claim(Seen.State.At + 1);
  if (Step == LeaseStep::Renew)
    this->appendOwn(OwnerRenewed{}, Seen.State.At);
}

void CellController::claim(Epoch At) {
  logEvent(LogLevel::Info, "claim",
           {{"stream", this->Stream.Value},
            {"epoch", static_cast<std::int64_t>(At)}});
  this->Ports.Metrics.counter("cell_claims_total").add();
  this->appendOwn(OwnerClaimed{this->Self}, At);
}

bool CellController::actsNow() const {
  const LeaseView Seen = this->leaseView();
  return mayAct(Seen, this->Self, this->Settings.Lease,
                this->Ports.Time.monotonic());
}

bool CellController::maySend(const WorkerOrder &Order) const {
  const LeaseView Seen = this->leaseView();
  if (Order.Fence != Seen.State.At)
    return false;
  const Instant Now = this->Ports.Time.monotonic();
  if (mayAct(Seen, this->Self, this->Settings.Lease, Now))
    return true;
  return Order.Kind == OrderKind::Renew && this->mayRenewInOutage(Seen, Now);
}

/// Running tasks outlive an outage of the log: their last owner goes on
/// renewing them, but not once a peer reaches the log, where a successor is
/// then found, and not for longer than a successor waits for unreachable tasks.
bool CellController::mayRenewInOutage(const LeaseView &Seen,
                                      Instant Now) const {
  const bool LastOwner = Seen.HeldEpoch != 0 &&
                         Seen.HeldEpoch == Seen.State.At &&
                         Seen.State.Owner == this->Self;
  const Instant Until =
      Seen.ProvenFrom + this->Settings.Tenure.Gang.OutageRenewals;
  return LastOwner && !Seen.State.Released && !Seen.ReleaseSent &&
         !this->LogReachable && !this->PeerReachesLog && Now < Until;
}

void CellController::followTenure() {
  const LeaseView Seen = this->leaseView();
  const bool Holds = Seen.HeldEpoch != 0 && Seen.HeldEpoch == Seen.State.At &&
                     Seen.State.Owner == this->Self && !Seen.State.Released;
  const std::vector<Action> Fresh = std::exchange(this->FreshActions, {});
  if (!Holds) {
    this->Tenure.reset();
    return;
  }
  const Instant Now = this->Ports.Time.monotonic();
  if (!this->Tenure || this->Tenure->At != Seen.HeldEpoch) {
    this->Tenure =
        beginTenure(this->Cell, Seen.HeldEpoch, this->Fold.Cell, Now);
    logEvent(LogLevel::Info, "tenure_begins",
             {{"stream", this->Stream.Value},
              {"epoch", static_cast<std::int64_t>(Seen.HeldEpoch)}});
  }
  followState(*this->Tenure, this->Fold.Cell, Fresh, this->Settings.Tenure,
              Now);
}

void CellController::takeAnswers() {
  const std::vector<WorkerAnswer> Answers = this->Calls.collect();
  if (!this->Tenure || Answers.empty())
    return;
  std::vector<DomainId> Domains;
  {
    const std::lock_guard Guard(this->InputsLock);
    Domains = this->Inputs.Domains;
  }
  pistachioflow::takeAnswers(*this->Tenure, Answers, Domains,
                             this->Settings.Tenure,
                             this->Ports.Time.monotonic());
}

void CellController::send(const std::vector<TenureCall> &Due) {
  for (const TenureCall &Call : Due) {
    switch (Call.What) {
    case TenureCall::Kind::Order:
      this->Calls.order(Call.Worker, Call.Order);
      break;
    case TenureCall::Kind::Ask:
      this->Calls.ask(Call.Worker);
      break;
    case TenureCall::Kind::List:
      this->Calls.list();
      break;
    }
  }
  if (!this->Tenure)
    return;
  for (const StoppedOrphan &Orphan : std::exchange(this->Tenure->Orphans, {}))
    this->journal(ReasonCode::StoppedOrphan, SubjectKind::Job,
                  Orphan.Tasks.Job.Value,
                  "stop attempt " + std::to_string(Orphan.Tasks.Try) + " on " +
                      Orphan.Worker.Value + ", which no record wants there");
}

/// Returns whether something was appended.
bool CellController::decide() {
  Lists Configuration;
  {
    const std::lock_guard Guard(this->InputsLock);
    Configuration = this->Inputs.Configuration;
  }
  const Instant Now = this->Ports.Time.monotonic();
  DecisionsMade Made;
  Made.Observed = dueEvents(*this->Tenure, this->Fold.Cell, Configuration,
                            this->Settings.Tenure, Now);
  if (Made.Observed.empty() && isPauseOver(this->Fold.Cell, this->foldTime()))
    Made.Observed.emplace_back(TimePassed{});
  const bool Wait =
      std::any_of(Made.Observed.begin(), Made.Observed.end(), changesCapacity);
  // A leaving owner finishes what it has begun and starts nothing.
  if (!Wait && !this->Leaving)
    Made.Decisions = policy::decide(this->Fold.Cell, this->Settings.Prefer,
                                    this->foldTime());
  if (Made.Observed.empty() && Made.Decisions.empty())
    return false;
  this->Ports.Metrics.counter("cell_decisions_total")
      .add(Made.Decisions.size());
  return this->appendOwn(std::move(Made), this->Tenure->At);
}

/// The time that a record written now would be folded at.
Instant CellController::foldTime() const {
  const Instant Wall = this->Ports.Time.wall();
  return advanceTime(this->Fold.Time, this->Tenure->At, Wall).Now;
}

/// Appends a record of the owner. What became of an append without an answer
/// shows when the stream is read; the next decision starts from there.
bool CellController::appendOwn(Payload What, Epoch At) {
  const Record Value = this->makeRecord(std::move(What), At);
  {
    const std::lock_guard Guard(this->ViewLock);
    noteSending(this->View, Value, this->Ports.Time.monotonic());
  }
  this->Ports.Metrics.counter("cell_appends_total").add();
  return appendOrConfirm(this->Ports.Log, this->Stream, Value,
                         this->Cursor.Next) == AppendState::InStream;
}

void CellController::snapshotIfDue() {
  const Instant Now = this->Ports.Time.monotonic();
  if (!snapshotDue(this->SinceSnapshot, this->Settings.Snapshot, Now))
    return;
  SnapshotTaken Snapshot{this->Cursor.Next, encodeSnapshot(this->Fold)};
  this->Ports.Metrics.counter("cell_snapshots_total").add();
  this->appendOwn(std::move(Snapshot), this->Tenure->At);
}

Record CellController::makeRecord(Payload What, Epoch At) {
  const std::lock_guard Guard(this->IdsLock);
  return Record{{RecordVersion, this->Ids.next(), this->Self, At,
                 this->Ports.Time.wall()},
                std::move(What)};
}

bool CellController::release(const InstanceId &Successor) {
  this->Leaving = true;
  const std::lock_guard Guard(this->Turn);
  const LeaseView Seen = this->leaseView();
  const Instant Now = this->Ports.Time.monotonic();
  if (!mayAct(Seen, this->Self, this->Settings.Lease, Now))
    return this->Calls.pending() == 0;
  if (this->Calls.pending() > 0 || !mayRelease(Seen, this->Self, Now))
    return false;
  this->appendOwn(OwnerReleased{Successor}, Seen.State.At);
  return true;
}

void CellController::journal(ReasonCode Code, SubjectKind Kind,
                             std::string Subject, std::string What) {
  TimelineEvent Event;
  Event.Wall = this->Ports.Time.wall();
  Event.Instance = this->Self;
  Event.OwnerEpoch = this->leaseView().State.At;
  Event.Kind = Kind;
  Event.Subject = std::move(Subject);
  Event.What = std::move(What);
  Event.Why.Code = Code;
  this->Ports.Journal.add(std::move(Event));
}

} // namespace pistachioflow
