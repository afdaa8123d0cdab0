#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/result.hpp"
#include "pistachioflow/controller/config_fold.hpp"
#include "pistachioflow/controller/stream.hpp"
#include "pistachioflow/port/log_service.hpp"

namespace pistachioflow {

struct ConfigSettings {
  /// An instance that was in touch with the log neither itself nor through a
  /// peer takes no new work after this time.
  Duration StopAfter{8'000};
  /// A snapshot is due after so many records or so much time, and well before
  /// the log drops the records.
  std::size_t SnapshotAfterRecords = 256;
  Duration SnapshotAfter{600'000};
};

/// Returns the findings of lists that break no other rule, such as guarantees
/// that cannot be packed.
using ListsCheck = std::function<Findings(const Lists &)>;

/// How far an instance has come in the configuration stream.
struct ConfigProgress {
  Offset Next = 0;
  Revision Plans = 0;
  Revision Limits = 0;
  bool LogReachable = false; ///< The last read of the log succeeded.
  Instant LogReadAt;         ///< Start of the last read up to the end.
  Instant LastInTouch; ///< Start of the last read, own or of a peer in touch.
};

/// Keeps the lists in force on this instance and appends the operators' edits.
///
/// Thread safety: every method may be called from any thread. Those that reach
/// the log block up to a few of its timeouts; the others never wait for it.
class ConfigController {
public:
  /// \p Seed must differ between processes. \p Log and \p Time must outlive the
  /// controller. \p Check must not call back.
  ConfigController(LogService &Log, const Clock &Time, InstanceId Self,
                   std::uint64_t Seed, ConfigSettings Settings = {},
                   ListsCheck Check = {});
  ~ConfigController();
  ConfigController(const ConfigController &) = delete;
  ConfigController &operator=(const ConfigController &) = delete;

  /// Reads the stream to its end. Call it on every tick.
  /// Errors: those of readNew; the lists in force stay as they were.
  Result<void> refresh();

  /// Appends an edit and returns the new revision once it is read back. An edit
  /// repeated under the same \p EditId counts once; an empty one gets a new id.
  /// Errors: StaleRevision (with both revisions and who won), InvalidInput,
  /// Refused (by the check), Unavailable (this call surely appended nothing; an
  /// earlier one under the same id may have), UnknownOutcome (repeat it under
  /// the same id).
  Result<Revision> editPlans(const PlansEdited &Edit, const RecordId &EditId);
  Result<Revision> editLimits(const LimitsEdited &Edit, const RecordId &EditId);

  /// Returns what the edit would be refused for now; nothing is appended.
  /// Errors: as editPlans.
  Result<Lists> tryPlans(const PlansEdited &Edit) const;
  Result<Lists> tryLimits(const LimitsEdited &Edit) const;

  /// Maps failure domains to cells. Errors: Unavailable, UnknownOutcome.
  Result<void> mapCells(const CellsMapped &Mapping);

  /// Returns the folded state in force on this instance.
  std::shared_ptr<const ConfigState> state() const;

  Lists lists() const { return this->state()->Now; }

  ConfigProgress progress() const;

  /// Tells whether this instance was in touch recently enough to take new work.
  bool mayTakeNewWork() const;

  /// Returns entries from \p From on for a peer that cannot reach the log, at
  /// most \p MaxBytes of them, without a gap. Empty where they are not held.
  std::vector<LogEntry> entriesFrom(Offset From, std::size_t MaxBytes) const;

  /// Takes entries that a peer forwarded. \p PeerNext is the end of the stream
  /// as the peer read it at \p ReadAt on this instance's monotonic clock, no
  /// later than it really did. Never waits for the log: while the stream is
  /// being read, the entries are taken once that ends. An instance that never
  /// read the stream itself takes none.
  void takeForwarded(std::vector<LogEntry> Entries, Offset PeerNext,
                     Instant ReadAt);

  /// Appends a snapshot if one is due. \p Rank is the instance's claimRank of
  /// the stream: higher ranks leave it to lower ones for longer.
  /// Errors: Unavailable, UnknownOutcome; a later call tries again.
  Result<void> snapshotIfDue(std::size_t Rank);

private:
  class KeepingLog;

  struct Forwarded {
    std::vector<LogEntry> Entries;
    Offset PeerNext = 0;
    Instant ReadAt;
  };

  // The methods below need Reading.
  Result<void> refreshHeld();
  Result<void> readToEnd();
  Result<void> foldBatch(const StreamBatch &Batch);
  Result<void> foldForwarded(const Forwarded &Given);
  void takeInbox();
  Result<Revision> edit(const RecordId &EditId, Payload What,
                        const std::function<Result<Lists>()> &Try);
  Result<Revision> appendEdit(const Record &Edit);
  Result<void> appendAndRead(const Record &Value);
  Result<void> appendSnapshot();
  bool isSnapshotDue(std::size_t Rank) const;
  Record makeRecord(Epoch At, Payload What, const RecordId &Id = {});
  void countRecord(const Record &Value);

  void publish(ConfigState Next);
  Result<Lists> withCheck(Lists After) const;

  const Clock &Time;
  const InstanceId Self;
  const ConfigSettings Settings;
  const ListsCheck Check;

  /// Held while the stream is read or appended to; taken before Lock.
  std::mutex Reading;
  std::unique_ptr<KeepingLog> Log;
  StreamCursor Cursor;
  RecordIdSource Ids;
  std::size_t RecordsSinceSnapshot = 0;
  Instant SnapshotSeenAt;

  mutable std::mutex Lock;
  std::shared_ptr<const ConfigState> InForce;
  ConfigProgress Progress;
  std::vector<Forwarded> Inbox;
};

/// The name of the configuration stream.
StreamName configStream();

} // namespace pistachioflow
