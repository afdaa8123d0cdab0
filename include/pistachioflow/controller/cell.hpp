#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/metrics.hpp"
#include "pistachioflow/controller/cell_facts.hpp"
#include "pistachioflow/controller/cell_fold.hpp"
#include "pistachioflow/controller/cell_tenure.hpp"
#include "pistachioflow/controller/event_journal.hpp"
#include "pistachioflow/controller/ownership.hpp"
#include "pistachioflow/controller/stream.hpp"
#include "pistachioflow/controller/worker_calls.hpp"

namespace pistachioflow {

struct CellSettings {
  LeaseSettings Lease;
  TenureSettings Tenure;
  SnapshotSettings Snapshot;
  policy::Settings Prefer;
};

/// What a cell controller needs from the rest of the process. The references
/// outlive the controller.
struct CellPorts {
  LogService &Log;
  WorkerGateway &Workers;
  const Clock &Time;
  EventJournal &Journal;
  MetricRegistry &Metrics;
  Executor Run;
  std::uint64_t IdSeed = 0; ///< Must differ between processes.
};

/// What other controllers of the process know at the moment.
struct CellInputs {
  Lists Configuration;
  std::vector<DomainId> Domains; ///< Of this cell; empty: every one.
  std::vector<InstanceId> Live;  ///< Instances that may own the cell.
  /// A peer says that it reaches the log.
  bool PeerReachesLog = false;
};

/// What an instance knows of one cell.
struct CellStatus {
  CellId Cell;
  InstanceId Owner;
  Epoch At = 0;
  bool Acts = false; ///< This instance may act as the owner.
  bool LogReachable = false;
  bool CaughtUp = false; ///< The stream has been folded to its end once.
  std::size_t PendingCalls = 0;
};

/// Sees each record as it is folded, with what became of it.
using RecordTap = std::function<void(const StreamName &, const StreamRecord &,
                                     const FoldedRecord &)>;

/// Follows the stream of one cell, and decides and acts for the cell while this
/// instance owns it.
///
/// Decisions are made on folded state and carried out only after they have been
/// read back from the stream. The work to do is derived from the folded state
/// and the workers' reports each time, so that a take-over needs no other path.
///
/// Thread safety: every method may be called from any thread. Methods that
/// read or append block up to the timeouts of the log.
class CellController {
public:
  CellController(CellId Cell, InstanceId Self, CellSettings Settings,
                 CellPorts Ports);

  /// Sets who sees the folded records. Call it before the first advance().
  void setTap(RecordTap Tap);

  void setInputs(CellInputs Inputs);

  /// Reads what is new, keeps the lease, takes over the workers' answers, sends
  /// due orders, decides, and appends the decisions. Call it again and again.
  /// Returns whether it should be called again without a pause.
  bool advance();

  /// Reads and folds what is new, and does nothing else.
  Result<void> refresh();

  /// Returns once the submission is in the stream and folded.
  /// Errors: Unavailable, UnknownOutcome: submit the same job again, which
  /// counts once.
  Result<void> submit(const JobSpec &Spec);
  Result<void> cancel(const JobId &Job);

  /// Errors: NotFound.
  Result<policy::JobState> job(const JobId &Job) const;
  std::vector<policy::JobState> jobs() const;

  /// Runs \p Reader on the folded state, which must not be kept.
  void read(const std::function<void(const CellFold &)> &Reader) const;

  CellStatus status() const;

  /// Hands the cell over and claims it no more. Returns true once this instance
  /// owns nothing and no order is on its way; call it again until then.
  bool release(const InstanceId &Successor);

private:
  Result<bool> readStream();
  void takeBatch(const StreamBatch &Batch);
  void takeRecord(const StreamRecord &Read);
  bool restartFold(const StreamBatch &Batch);
  void noteOutage(const Error &Failure);
  void noteReturn();

  void keepLease();
  void claim(Epoch At);
  bool actsNow() const;
  bool maySend(const WorkerOrder &Order) const;
  bool mayRenewInOutage(const LeaseView &View, Instant Now) const;
  LeaseView leaseView() const;

  void followTenure();
  void takeAnswers();
  void send(const std::vector<TenureCall> &Calls);
  bool decide();
  bool appendOwn(Payload What, Epoch At);
  void snapshotIfDue();
  Instant foldTime() const;

  Result<void> appendFact(const Event &Fact);
  AppendState appendFacts(const std::vector<Event> &Events);
  Record makeRecord(Payload What, Epoch At);

  void journal(ReasonCode Code, SubjectKind Kind, std::string Subject,
               std::string What);

  const CellId Cell;
  const StreamName Stream;
  const InstanceId Self;
  const CellSettings Settings;
  const CellPorts Ports;
  RecordTap Tap;

  std::mutex Turn; ///< One advance(), refresh() or release() at a time.
  StreamCursor Cursor;
  std::optional<CellTenure> Tenure; ///< While this process holds the lease.
  std::vector<Action> FreshActions; ///< Own, read back since the last turn.
  SnapshotProgress SinceSnapshot;

  mutable std::shared_mutex FoldLock; ///< Written under Turn as well.
  CellFold Fold;

  mutable std::mutex ViewLock;
  LeaseView View;

  mutable std::mutex InputsLock;
  CellInputs Inputs;

  std::mutex IdsLock;
  RecordIdSource Ids;

  std::atomic<bool> PeerReachesLog{false};
  std::atomic<bool> LogReachable{false};
  std::atomic<bool> CaughtUp{false};
  std::atomic<bool> Leaving{false};
  std::atomic<Offset> NextOffset{0};

  FactWriter Facts;
  WorkerCalls Calls;
};

} // namespace pistachioflow
