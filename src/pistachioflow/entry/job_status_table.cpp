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
    this->Jobs[Id].Queue = Decoded->Queue;
    return true;
  }
  case RecordKind::Cancellation:
    if (!Record.Value.empty())
      this->Jobs[Id].CancelRequested = true;
    return true;
  case RecordKind::JobPhase: {
    if (Record.Value.empty())
      return true;
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

const JobStatusTable::Entry *
JobStatusTable::find(std::string_view JobId) const {
  const auto Position = this->Jobs.find(std::string(JobId));
  return Position == this->Jobs.end() ? nullptr : &Position->second;
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
