#include "pistachioflow/controller/cell.hpp"

namespace pistachioflow {

Result<void> CellController::submit(const JobSpec &Spec) {
  return this->appendFact(JobSubmitted{Spec});
}

Result<void> CellController::cancel(const JobId &Job) {
  return this->appendFact(JobCancelled{Job});
}

Result<void> CellController::appendFact(const Event &Fact) {
  switch (this->Facts.write(Fact)) {
  case AppendState::InStream:
    break;
  case AppendState::NotInStream:
    return Error{ErrorCode::Unavailable,
                 "the log is out of reach; nothing was recorded",
                 {}};
  case AppendState::Unknown:
    return Error{ErrorCode::UnknownOutcome,
                 "the log did not confirm the record; send the same again",
                 {}};
  }
  // A failed read delays only what this instance shows.
  static_cast<void>(this->refresh());
  return outcome::success();
}

AppendState CellController::appendFacts(const std::vector<Event> &Events) {
  const Record Value = this->makeRecord(FactsObserved{Events}, 0);
  this->Ports.Metrics.counter("cell_appends_total").add();
  return appendOrConfirm(this->Ports.Log, this->Stream, Value,
                         this->NextOffset);
}

Result<policy::JobState> CellController::job(const JobId &Job) const {
  const std::shared_lock Guard(this->FoldLock);
  const auto Known = this->Fold.Cell.Jobs.find(Job);
  if (Known == this->Fold.Cell.Jobs.end())
    return Error{ErrorCode::NotFound, "no such job: " + Job.Value, {}};
  return Known->second;
}

std::vector<policy::JobState> CellController::jobs() const {
  const std::shared_lock Guard(this->FoldLock);
  std::vector<policy::JobState> Found;
  Found.reserve(this->Fold.Cell.Jobs.size());
  for (const auto &[Job, State] : this->Fold.Cell.Jobs)
    Found.push_back(State);
  return Found;
}

void CellController::read(
    const std::function<void(const CellFold &)> &Reader) const {
  const std::shared_lock Guard(this->FoldLock);
  Reader(this->Fold);
}

CellStatus CellController::status() const {
  const LeaseView Seen = this->leaseView();
  CellStatus Status;
  Status.Cell = this->Cell;
  Status.Owner = Seen.State.Released ? InstanceId{} : Seen.State.Owner;
  Status.At = Seen.State.At;
  Status.Acts = mayAct(Seen, this->Self, this->Settings.Lease,
                       this->Ports.Time.monotonic());
  Status.LogReachable = this->LogReachable;
  Status.CaughtUp = this->CaughtUp;
  Status.PendingCalls = this->Calls.pending();
  return Status;
}

} // namespace pistachioflow
