#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/controller/keys_table.hpp"
#include "pistachioflow/controller/stream.hpp"
#include "pistachioflow/model/request.hpp"
#include "pistachioflow/port/log_service.hpp"

namespace pistachioflow {

struct KeySettings {
  InstanceId Self;
  std::uint64_t Seed = 0; ///< Must differ between processes.
  std::uint32_t Streams = 8;
  KeyRetention Retention;
  /// A begin that the log has not confirmed by then is given up.
  Duration BeginPatience{2'000};
  /// A key that another instance began and has not ended for this long counts
  /// as unknown at once; before, a repeat waits for its end.
  Duration UnknownAfter{60'000};
  Duration PollWaiting{20}; ///< Between reads while a repeat waits.
  Duration PollIdle{1'000};
  Duration SnapshotEvery{600'000};
  std::uint64_t SnapshotAfterRecords = 4'096;
  std::size_t MaxKeptBody = 65'536; ///< Bytes of an answer kept in the log.
  std::size_t MaxBatch = 512;       ///< Key records in one append.
};

/// What a caller's non-idempotent request may do.
enum class BeginState : std::uint8_t {
  First,        ///< Run it, then call end().
  Repeat,       ///< Outcome holds the first one's outcome.
  OtherRequest, ///< The key belongs to a request with another body.
  LogDown,      ///< Nothing was and nothing will be sent for it.
};

struct BeginAnswer {
  BeginState State = BeginState::LogDown;
  std::uint64_t Claim = 0; ///< Set with First.
  RequestOutcome Outcome;  ///< Set with Repeat.
};

/// One request that asks to begin under a key.
struct KeyBegin {
  WorkspaceId Workspace;
  std::string Key;
  RequestId Request;
  std::uint64_t BodyDigest = 0;
  Instant Deadline; ///< On the monotonic clock.
};

/// Begins and ends the keys of one stream for one instance.
///
/// All begins and ends that arrive while an append runs share the next one. A
/// begin is answered only after its record was read back. A begin that was
/// given up is ended as not run as soon as its record turns up in the stream,
/// so that it does not hold the key.
///
/// Thread safety: every method may be called from any thread; step() returns
/// at once while another thread is in it.
class KeyStream {
public:
  /// Precondition: \p Log and \p Time outlive this object.
  KeyStream(LogService &Log, const Clock &Time, StreamName Name,
            const KeySettings &Settings, std::uint64_t Seed);

  /// Waits until the key is decided, or its deadline or patience is over. With
  /// \p Drive the caller's own thread runs step() meanwhile.
  BeginAnswer begin(const KeyBegin &Asked, bool Drive);

  /// Notes the outcome of a claim that begin() answered with First. Returns at
  /// once; the record is appended by a later step().
  void end(const KeyBegin &Asked, std::uint64_t Claim, RequestOutcome Outcome);

  /// Appends what waits, reads what is new and answers whom it decides.
  /// Returns whether the log could be reached.
  bool step();

  /// Waits until step() has something to do.
  void waitForWork();

  /// Ends the wait of waitForWork().
  void wake();

  /// Returns whether every end is confirmed to be in the log.
  bool idle();

  struct Counts {
    std::uint64_t Appends = 0;
    std::uint64_t RecordsAppended = 0;
    std::uint64_t Abandoned = 0;
    std::uint64_t Snapshots = 0;
    std::size_t Entries = 0;
    std::size_t Retired = 0;
    bool LogReachable = false;
  };
  Counts counts();

private:
  enum class Phase : std::uint8_t {
    Queued,    ///< Its begin record is not appended yet.
    Appending, ///< Its begin record may be in the log.
    Following, ///< Waits for the end of another claim.
    Decided,
  };

  struct Ticket {
    KeyBegin Asked;
    KeyHash Key;
    std::uint64_t Claim = 0;
    Phase At = Phase::Queued;
    Instant GiveUpAt;
    BeginAnswer Answer;
    std::optional<KeyEntry> Ended; ///< The outcome is still to be read.
  };
  using TicketPtr = std::shared_ptr<Ticket>;

  /// The records of one append, until they are confirmed.
  struct Batch {
    Record Value;
    Offset From = 0;
    bool InDoubt = false; ///< An earlier append of it may have taken effect.
    std::vector<TicketPtr> Begins;
    std::vector<RequestEnded> Ends;
  };

  // The caller holds Lock for each of these.
  void enter(const TicketPtr &Asked);
  void enqueue(const TicketPtr &Asked);
  void judgeByEntry(const TicketPtr &Asked, const KeyEntry &Entry);
  void decide(Ticket &Asked, BeginAnswer Answer);
  void giveUp(const TicketPtr &Asked);
  void rememberGivenUp(const KeyBegin &Asked, std::uint64_t Claim);
  void takeBatch();
  void settleAppend(AppendState State);
  bool fold(const StreamBatch &Read);
  bool restart(const StreamBatch &Read);
  void reenterFollowers();
  void onChange(const KeyChange &Change);
  void onWon(std::uint64_t Claim);
  void onLost(std::uint64_t Claim);
  TicketPtr takeAppending(std::uint64_t Claim);
  void abandonIfGivenUp(std::uint64_t Claim);
  void resolveFollowers(const KeyHash &Key);
  bool snapshotDue() const;
  RecordHeader newHeader(Epoch At);

  AppendState appendBatch(const Batch &Next);
  bool readToEnd();
  void takeSnapshot();
  BeginAnswer answerOf(const TicketPtr &Asked);
  RequestOutcome readOutcome(const KeyEntry &Entry);

  LogService &Log;
  const Clock &Time;
  const StreamName Name;
  const KeySettings Settings;

  std::mutex Lock;
  std::condition_variable DecidedSignal;
  std::condition_variable WorkSignal;
  bool Woken = false;
  bool Stepping = false; ///< Only its holder uses Cursor.
  StreamCursor Cursor;
  bool Unreadable = false; ///< Logged already. Used by the stepping thread.
  KeyTable Table;
  RecordIdSource Ids;
  std::mt19937_64 Generator;
  std::deque<TicketPtr> Queue;
  std::deque<RequestEnded> EndQueue;
  std::optional<Batch> InAppend;
  std::unordered_map<std::uint64_t, TicketPtr> Appending; ///< By claim.
  std::unordered_map<KeyHash, std::vector<TicketPtr>, KeyTable::HashOfKey>
      Followers;
  /// When this instance first saw each key that is begun and not ended.
  std::unordered_map<KeyHash, Instant, KeyTable::HashOfKey> BegunSeen;
  /// Claims that will never run but whose begin may be in the log.
  std::unordered_map<std::uint64_t, KeyBegin> GivenUp;
  std::deque<std::uint64_t> GivenUpOrder;
  Instant SnapshotDueAt;
  std::uint64_t RecordsSinceSnapshot = 0;
  Counts Counted;
};

} // namespace pistachioflow
