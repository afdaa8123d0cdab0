#include "pistachioflow/entry/topic_fold.hpp"

#include <algorithm>
#include <utility>

namespace pistachioflow {

void TopicFold::reload() {
  this->Current = Stage::Pages;
  this->Records.clear();
  this->AfterKey.clear();
  this->FirstPage = true;
  this->LoadedUpTo = 0;
  this->IsCaughtUp = false;
}

void TopicFold::put(JournalRecord Record) {
  const auto Existing = this->Records.find(Record);
  if (Existing != this->Records.end())
    this->Records.erase(Existing);
  if (!Record.Value.empty())
    this->Records.insert(std::move(Record));
}

void TopicFold::addPage(NewestPage Page) {
  if (std::exchange(this->FirstPage, false))
    this->FirstEndOffset = Page.EndOffset;
  this->LoadedUpTo =
      std::max({this->LoadedUpTo, Page.EndOffset, Page.HighestOffset + 1});
  // A page that doesn't lead on would be read again for ever.
  const bool Advances = !Page.LastKey.empty() && Page.LastKey != this->AfterKey;
  const bool HasMore = Page.HasMore && Advances;
  if (HasMore)
    this->AfterKey = Page.LastKey;
  for (JournalRecord &Record : Page.Records)
    this->put(std::move(Record));
  if (HasMore)
    return;
  this->NextOffset = this->FirstEndOffset;
  this->Current = Stage::RecordsSincePages;
  this->finishLoad(this->LoadedUpTo);
}

void TopicFold::addRecords(ReadAnswer Answer) {
  if (this->loaded()) {
    this->applyRecords(Answer);
    return;
  }
  this->NextOffset += static_cast<std::int64_t>(Answer.Records.size());
  for (JournalRecord &Record : Answer.Records)
    this->put(std::move(Record));
  this->finishLoad(Answer.EndOffset);
}

void TopicFold::finishLoad(std::int64_t EndOffset) {
  if (this->NextOffset < this->LoadedUpTo)
    return;
  this->Current = Stage::Following;
  this->Observer.Replace(std::exchange(this->Records, {}));
  this->noteEnd(EndOffset);
}

void TopicFold::applyRecords(const ReadAnswer &Answer) {
  for (const JournalRecord &Record : Answer.Records) {
    this->Observer.Apply(Record);
    if (!this->loaded() || this->Stopped)
      return;
  }
  this->NextOffset += static_cast<std::int64_t>(Answer.Records.size());
  this->noteEnd(Answer.EndOffset);
}

void TopicFold::noteEnd(std::int64_t EndOffset) {
  // The observer may have started another load.
  if (!this->loaded() || this->Stopped || this->NextOffset < EndOffset)
    return;
  this->IsCaughtUp = true;
  this->Observer.CaughtUp();
}

} // namespace pistachioflow
