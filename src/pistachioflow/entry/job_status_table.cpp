#include "pistachioflow/entry/job_status_table.hpp"

#include <optional>

namespace pistachioflow {

bool JobStatusTable::apply(const JournalRecord &Record) {
  constexpr std::size_t PrefixSize = 2;
  if (Record.Key.size() <= PrefixSize)
    return false;
  const std::string Id = Record.Key.substr(PrefixSize);
  switch (static_cast<RecordKind>(Record.Key.front())) {
  case RecordKind::Submission: {
    if (Record.Value.empty()) {
      this->Jobs.erase(Id);
      return true;
    }
    const auto Decoded = decodeRecord<SubmissionRecord>(Record.Value);
    if (!Decoded)
      return false;
    Entry &Job = this->Jobs[Id];
    Job.Queue = Decoded->Queue;
    Job.Workspace = Decoded->Workspace;
    Job.Submitted = true;
    Job.CancelRequested =
        Job.CancelRequested ||
        cancelsJob(this->Cancellations, Id, Job.Queue, Job.Workspace);
    return true;
  }
  case RecordKind::Cancellation:
    this->Jobs[Id].CancelRequested = !Record.Value.empty();
    this->dropIfEmpty(Id);
    return true;
  case RecordKind::EarlyCancellation:
    return this->applyEarlyCancellation(Id, Record.Value);
  case RecordKind::JobPhase: {
    if (Record.Value.empty()) {
      this->Jobs[Id].Phase = JobPhase::Queued;
      this->dropIfEmpty(Id);
      return true;
    }
    const auto Decoded = decodeRecord<JobPhaseRecord>(Record.Value);
    if (!Decoded)
      return false;
    this->Jobs[Id].Phase = Decoded->Phase;
    return true;
  }
  case RecordKind::Unit:
  case RecordKind::Ownership:
    return true;
  }
  return false;
}

/// \p Name is that of the cancellation in EarlyCancellations.
bool JobStatusTable::applyEarlyCancellation(const std::string &Name,
                                            const std::string &Value) {
  if (Value.empty()) {
    this->Cancellations.ByName.erase(Name);
    return true;
  }
  const auto Decoded = decodeRecord<EarlyCancellationRecord>(Value);
  if (!Decoded)
    return false;
  this->Cancellations.ByName.insert_or_assign(Name, *Decoded);
  const auto Job = this->Jobs.find(Name.substr(0, Name.find('/')));
  const bool Cancels =
      Job != this->Jobs.end() && Job->second.Submitted &&
      mayCancel(*Decoded, Job->second.Queue, Job->second.Workspace);
  if (Cancels)
    Job->second.CancelRequested = true;
  return true;
}

void JobStatusTable::dropIfEmpty(const std::string &Id) {
  const auto Position = this->Jobs.find(Id);
  const Entry &Job = Position->second;
  if (!Job.Submitted && !Job.CancelRequested && Job.Phase == JobPhase::Queued)
    this->Jobs.erase(Position);
}

const JobStatusTable::Entry *
JobStatusTable::find(std::string_view JobId) const {
  const auto Position = this->Jobs.find(std::string(JobId));
  const bool Known = Position != this->Jobs.end() && Position->second.Submitted;
  return Known ? &Position->second : nullptr;
}

std::int64_t JobStatusTable::countQueued(std::string_view Queue) const {
  std::int64_t Count = 0;
  for (const auto &[Id, Job] : this->Jobs)
    if (Job.Queue == Queue && reportedPhase(Job) == JobPhase::Queued)
      ++Count;
  return Count;
}

JobPhase reportedPhase(const JobStatusTable::Entry &Entry) {
  const bool Cancelled = Entry.CancelRequested && !hasEnded(Entry.Phase);
  return Cancelled ? JobPhase::Cancelled : Entry.Phase;
}

} // namespace pistachioflow
