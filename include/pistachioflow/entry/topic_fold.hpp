#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "pistachioflow/platform/store_client.hpp"

namespace pistachioflow {

/// Orders records by key.
struct KeyOrder {
  using is_transparent = void;

  bool operator()(const JournalRecord &Left, const JournalRecord &Right) const {
    return Left.Key < Right.Key;
  }
  bool operator()(const JournalRecord &Left, std::string_view Right) const {
    return Left.Key < Right;
  }
  bool operator()(std::string_view Left, const JournalRecord &Right) const {
    return Left < Right.Key;
  }
};

/// The newest record of each key.
using TopicRecords = std::set<JournalRecord, KeyOrder>;

/// Callbacks of a follower. Each may call TopicFollower::reload() or stop().
struct TopicObserver {
  /// Takes all that the topic held at one offset. Discards all that was applied
  /// before.
  std::function<void(TopicRecords)> Replace;
  std::function<void(const JournalRecord &)> Apply;
  std::function<void()> CaughtUp; ///< Everything up to the end was applied.
  std::function<void()> ReadFailed = [] {}; ///< After each failed read.
};

/// Folds the answers of the store into the state of one keyed topic.
///
/// A load consists of pages, which are no snapshot, and of the records from the
/// end that the first page reported to the end that the last one reported. Only
/// then is the state whole, and only then does the observer get it.
///
/// Thread safety: none.
class TopicFold {
public:
  explicit TopicFold(TopicObserver Observer) : Observer(std::move(Observer)) {}

  /// Discards the load in progress and starts another one.
  void reload();
  void stop() { this->Stopped = true; }

  /// Whether the next call to the store is for a page after afterKey(), and not
  /// for the records from nextOffset() on.
  bool needsPage() const { return this->Current == Stage::Pages; }
  const std::string &afterKey() const { return this->AfterKey; }
  std::int64_t nextOffset() const { return this->NextOffset; }

  /// Whether the observer has got the whole state and each record since then.
  bool loaded() const { return this->Current == Stage::Following; }
  /// Whether all that the topic held at the last answer has been applied.
  bool caughtUp() const { return this->IsCaughtUp; }

  /// Adds the page after afterKey(). Preconditions: needsPage(), and the page
  /// was read.
  void addPage(NewestPage Page);

  /// Adds the records from nextOffset() on. Preconditions: !needsPage(), and
  /// the records were read.
  void addRecords(ReadAnswer Answer);

private:
  enum class Stage { Pages, RecordsSincePages, Following };

  void put(JournalRecord Record);
  void finishLoad(std::int64_t EndOffset);
  void applyRecords(const ReadAnswer &Answer);
  void noteEnd(std::int64_t EndOffset);

  TopicObserver Observer;
  Stage Current = Stage::Pages;
  TopicRecords Records; ///< Of the load in progress.
  std::string AfterKey;
  bool FirstPage = true;
  std::int64_t FirstEndOffset = 0; ///< That the first page reported.
  /// End of the topic when the last page was read. Before it, some keys may be
  /// newer than others.
  std::int64_t LoadedUpTo = 0;
  std::int64_t NextOffset = 0;
  bool IsCaughtUp = false;
  bool Stopped = false;
};

} // namespace pistachioflow
