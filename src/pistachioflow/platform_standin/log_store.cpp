#include "pistachioflow/platform_standin/log_store.hpp"

#include <utility>

namespace pistachioflow {

namespace {

/// Answers of a producer's last appends that are repeated to it.
constexpr std::size_t RepeatedAnswers = 5;

} // namespace

const LogStore::Topic *LogStore::find(const std::string &Name) const {
  const auto Found = this->Topics.find(Name);
  return Found == this->Topics.end() ? nullptr : &Found->second;
}

void LogStore::add(Topic &To, JournalRecord Record) {
  const std::int64_t Offset =
      To.First + static_cast<std::int64_t>(To.Records.size());
  if (Record.Value.empty())
    To.Newest.erase(Record.Key);
  else
    To.Newest[Record.Key] = {Record, Offset};
  To.Records.push_back(std::move(Record));
}

AppendAnswer LogStore::append(const std::string &Name,
                              std::span<const JournalRecord> Records,
                              const Producer &Writer,
                              std::optional<std::int64_t> ExpectedEnd) {
  Topic &To = this->Topics[Name];
  const std::int64_t End = this->end(Name);
  const auto [Entry, Added] = To.Producers.try_emplace(Writer.Id);
  ProducerState &State = Entry->second;
  if (!Added && Writer.Epoch < State.Epoch)
    return {AppendOutcome::Fenced};
  const bool SameEpoch = !Added && Writer.Epoch == State.Epoch;
  if (SameEpoch)
    for (const auto &[Sequence, Answer] : State.Recent)
      if (Sequence == Writer.Sequence)
        return Answer;
  if (SameEpoch && Writer.Sequence != State.Sequence + 1)
    return {AppendOutcome::WrongSequence, 0, State.Sequence + 1};
  if (ExpectedEnd && *ExpectedEnd != End) {
    if (Added)
      To.Producers.erase(Entry);
    return {AppendOutcome::OffsetMismatch, End};
  }
  if (!SameEpoch)
    State.Recent.clear();
  State.Epoch = Writer.Epoch;
  State.Sequence = Writer.Sequence;
  for (const JournalRecord &Record : Records)
    this->add(To, Record);
  const AppendAnswer Answer{AppendOutcome::Appended, this->end(Name)};
  State.Recent.emplace_back(Writer.Sequence, Answer);
  if (State.Recent.size() > RepeatedAnswers)
    State.Recent.pop_front();
  return Answer;
}

void LogStore::put(const std::string &Name, JournalRecord Record) {
  this->add(this->Topics[Name], std::move(Record));
}

std::int64_t LogStore::end(const std::string &Name) const {
  const Topic *Of = this->find(Name);
  return Of ? Of->First + static_cast<std::int64_t>(Of->Records.size()) : 0;
}

std::int64_t LogStore::first(const std::string &Name) const {
  const Topic *Of = this->find(Name);
  return Of ? Of->First : 0;
}

std::vector<JournalRecord> LogStore::read(const std::string &Name,
                                          std::int64_t From) const {
  const Topic *Of = this->find(Name);
  if (!Of || From >= this->end(Name))
    return {};
  return {Of->Records.begin() + (From - Of->First), Of->Records.end()};
}

std::vector<LogStore::Stored> LogStore::newest(const std::string &Name,
                                               std::string_view After,
                                               std::size_t Limit) const {
  std::vector<Stored> Page;
  const Topic *Of = this->find(Name);
  if (!Of)
    return Page;
  for (auto Entry = Of->Newest.upper_bound(After);
       Entry != Of->Newest.end() && Page.size() < Limit; ++Entry)
    Page.push_back(Entry->second);
  return Page;
}

void LogStore::forgetHistory(const std::string &Name) {
  Topic &Of = this->Topics[Name];
  Of.First += static_cast<std::int64_t>(Of.Records.size());
  Of.Records.clear();
}

} // namespace pistachioflow
