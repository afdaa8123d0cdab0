#include "pistachioflow/entry/journal_state.hpp"

#include <array>
#include <string_view>
#include <utility>

namespace pistachioflow {

namespace {

constexpr std::size_t PrefixSize = 2;

std::string_view nameIn(const JournalRecord &Record) {
  return std::string_view(Record.Key).substr(PrefixSize);
}

/// Calls \p Use for each record of \p Kind, in the order of the keys.
template <typename Function>
void forEachOf(const TopicRecords &Journal, RecordKind Kind, Function Use) {
  const std::string Prefix{static_cast<char>(Kind), '/'};
  for (auto Record = Journal.lower_bound(Prefix);
       Record != Journal.end() && Record->Key.starts_with(Prefix); ++Record)
    Use(*Record);
}

void restoreRecord(JobTable &Table, RecordKind Kind,
                   const JournalRecord &Record, const JournalTimes &Times) {
  const std::string_view Name = nameIn(Record);
  switch (Kind) {
  case RecordKind::Submission:
    if (auto Decoded = decodeRecord<SubmissionRecord>(Record.Value))
      Table.addSubmission(Name, std::move(*Decoded), Times.Now, Times.WallMs);
    break;
  case RecordKind::JobPhase:
    if (const auto Decoded = decodeRecord<JobPhaseRecord>(Record.Value))
      Table.restorePhase(Name, *Decoded);
    break;
  case RecordKind::Unit:
    if (const auto Decoded = decodeRecord<UnitRecord>(Record.Value))
      Table.restoreUnit(Name, *Decoded, Times.LeasesEnd, Times.Now);
    break;
  case RecordKind::Cancellation:
    Table.addCancellation(Name, Times.WallMs, Times.Now);
    break;
  case RecordKind::EarlyCancellation:
    if (auto Decoded = decodeRecord<EarlyCancellationRecord>(Record.Value))
      Table.addEarlyCancellation(Name, std::move(*Decoded), Times.WallMs,
                                 Times.Now);
    break;
  case RecordKind::Ownership:
    break;
  }
}

} // namespace

void restoreTable(JobTable &Table, const TopicRecords &Journal,
                  const JournalTimes &Times) {
  // Records of later kinds refer to those of earlier ones.
  constexpr std::array Order{RecordKind::Submission, RecordKind::JobPhase,
                             RecordKind::Unit, RecordKind::Cancellation,
                             RecordKind::EarlyCancellation};
  for (const RecordKind Kind : Order)
    forEachOf(Journal, Kind, [&](const JournalRecord &Record) {
      restoreRecord(Table, Kind, Record, Times);
    });
}

void mergeIntoTable(JobTable &Table, const TopicRecords &Journal,
                    const JournalTimes &Times) {
  forEachOf(Journal, RecordKind::Submission, [&](const JournalRecord &Record) {
    const std::string_view Id = nameIn(Record);
    const bool Expired = !Table.find(Id) && Journal.contains(phaseKey(Id));
    if (!Expired)
      restoreRecord(Table, RecordKind::Submission, Record, Times);
  });
  for (const RecordKind Kind :
       {RecordKind::Cancellation, RecordKind::EarlyCancellation})
    forEachOf(Journal, Kind, [&](const JournalRecord &Record) {
      restoreRecord(Table, Kind, Record, Times);
    });
}

bool applyToTable(JobTable &Table, const JournalRecord &Record,
                  const JournalTimes &Times) {
  if (Record.Key.size() <= PrefixSize || Record.Value.empty())
    return false;
  const auto Kind = static_cast<RecordKind>(Record.Key.front());
  const bool OfCaller = Kind == RecordKind::Submission ||
                        Kind == RecordKind::Cancellation ||
                        Kind == RecordKind::EarlyCancellation;
  if (OfCaller)
    restoreRecord(Table, Kind, Record, Times);
  return OfCaller;
}

} // namespace pistachioflow
