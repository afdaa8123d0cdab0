#include "pistachioflow/platform_standin/log_store.hpp"

#include <utility>

namespace pistachioflow {

namespace {

/// Answers kept per producer, so that a repeated append gets the first answer.
constexpr std::size_t RetainedAnswers = 5;

} // namespace

const LogStore::Topic *LogStore::findTopic(const std::string &Name) const {
  const auto Position = this->Topics.find(Name);
  return Position == this->Topics.end() ? nullptr : &Position->second;
}

void LogStore::add(Topic &Destination, JournalRecord Record) {
  const std::int64_t Offset =
      Destination.First + static_cast<std::int64_t>(Destination.Records.size());
  if (Record.Value.empty())
    Destination.Newest.erase(Record.Key);
  else
    Destination.Newest[Record.Key] = {Record, Offset};
  Destination.Records.push_back(std::move(Record));
}

AppendAnswer LogStore::append(const std::string &Name,
                              std::span<const JournalRecord> Records,
                              const Producer &Writer,
                              std::optional<std::int64_t> ExpectedEnd) {
  Topic &Destination = this->Topics[Name];
  const std::int64_t End = this->endOffset(Name);
  const auto [Entry, NewProducer] =
      Destination.Producers.try_emplace(Writer.Id);
  ProducerState &State = Entry->second;
  if (!NewProducer && Writer.Epoch < State.Epoch)
    return {AppendOutcome::Fenced};
  const bool SameEpoch = !NewProducer && Writer.Epoch == State.Epoch;
  if (SameEpoch)
    for (const auto &[Sequence, Answer] : State.RecentAnswers)
      if (Sequence == Writer.Sequence)
        return Answer;
  if (SameEpoch && Writer.Sequence != State.Sequence + 1)
    return {AppendOutcome::WrongSequence, 0, State.Sequence + 1};
  if (ExpectedEnd && *ExpectedEnd != End) {
    if (NewProducer)
      Destination.Producers.erase(Entry);
    return {AppendOutcome::OffsetMismatch, End};
  }
  if (!SameEpoch)
    State.RecentAnswers.clear();
  State.Epoch = Writer.Epoch;
  State.Sequence = Writer.Sequence;
  for (const JournalRecord &Record : Records)
    this->add(Destination, Record);
  const AppendAnswer Answer{AppendOutcome::Appended, this->endOffset(Name)};
  State.RecentAnswers.emplace_back(Writer.Sequence, Answer);
  if (State.RecentAnswers.size() > RetainedAnswers)
    State.RecentAnswers.pop_front();
  return Answer;
}

void LogStore::put(const std::string &Name, JournalRecord Record) {
  this->add(this->Topics[Name], std::move(Record));
}

std::int64_t LogStore::endOffset(const std::string &Name) const {
  const Topic *Log = this->findTopic(Name);
  return Log ? Log->First + static_cast<std::int64_t>(Log->Records.size()) : 0;
}

std::int64_t LogStore::firstOffset(const std::string &Name) const {
  const Topic *Log = this->findTopic(Name);
  return Log ? Log->First : 0;
}

std::vector<JournalRecord> LogStore::read(const std::string &Name,
                                          std::int64_t From) const {
  const Topic *Log = this->findTopic(Name);
  if (!Log || From >= this->endOffset(Name))
    return {};
  return {Log->Records.begin() + (From - Log->First), Log->Records.end()};
}

std::vector<LogStore::StoredRecord> LogStore::newest(const std::string &Name,
                                                     std::string_view After,
                                                     std::size_t Limit) const {
  std::vector<StoredRecord> Page;
  const Topic *Log = this->findTopic(Name);
  if (!Log)
    return Page;
  for (auto Entry = Log->Newest.upper_bound(After);
       Entry != Log->Newest.end() && Page.size() < Limit; ++Entry)
    Page.push_back(Entry->second);
  return Page;
}

void LogStore::compact(const std::string &Name) {
  Topic &Log = this->Topics[Name];
  Log.First += static_cast<std::int64_t>(Log.Records.size());
  Log.Records.clear();
}

} // namespace pistachioflow
