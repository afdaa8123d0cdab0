#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "pistachioflow/controller/gang.hpp"
#include "pistachioflow/controller/reconcile.hpp"
#include "pistachioflow/controller/worker_calls.hpp"
#include "pistachioflow/controller/worker_watch.hpp"

namespace pistachioflow {

struct TenureSettings {
  GangSettings Gang;
  WatchSettings Watch;
  /// Gangs that may be starting at the same time. Further starts wait, so that
  /// the backlog of an outage does not reach the workers at once.
  std::size_t StartsAtOnce = 32;
  /// Use is recorded again when it has changed by this much.
  std::uint32_t UsageChangePercent = 25;
  Duration UsageEvery{10'000};
  /// A fact that the fold did not take over is given out again after this.
  Duration AnnounceEvery{2'000};
  std::size_t MaxEvents = 256; ///< In one record.
};

/// One attempt of one gang.
struct GangRef {
  JobId Job;
  Attempt Try = 0;

  auto operator<=>(const GangRef &) const = default;
};

/// What the owner wants to be sent.
struct TenureCall {
  enum class Kind : std::uint8_t { Order, Ask, List };
  Kind What = Kind::Order;
  WorkerId Worker;
  WorkerOrder Order;
};

/// Tasks that were stopped because no record knows them.
struct StoppedOrphan {
  WorkerId Worker;
  ReportedTasks Tasks;
};

struct WorkerOrderTo {
  WorkerId Worker;
  WorkerOrder Order;
};

/// The event of a gang that was last given out for the stream.
struct Announcement {
  std::size_t Kind = 0; ///< Index in Event.
  Attempt Try = 0;
  Instant At;
};

struct UsageKey {
  GangRef Gang;
  WorkerId Worker;

  auto operator<=>(const UsageKey &) const = default;
};

/// The usage of one gang on one worker that was recorded last.
struct RecordedUsage {
  std::uint32_t Cores = 0;
  std::uint32_t MemoryMb = 0;
  Instant At;
};

/// Everything that the owner of a cell holds beside the folded state. It lasts
/// as long as one epoch and is built anew from the workers' reports.
///
/// Not thread safe.
struct CellTenure {
  CellId Cell;
  Epoch At = 0;
  std::map<JobId, GangProgress> Gangs;
  std::map<WorkerId, std::set<JobId>> GangsOn;
  std::set<GangRef> Waiting; ///< Own starts that wait for their turn.
  WorkerWatch Watch;
  Instant ListAt;
  bool ListInFlight = false;
  std::vector<WorkerReport> Reports;    ///< Not compared with the fold yet.
  std::vector<StoppedOrphan> Orphans;   ///< For the time line.
  std::vector<WorkerOrderTo> Throttles; ///< Not sent yet.
  std::map<UsageKey, RecordedUsage> Usage;
  std::vector<Event> UsageEvents; ///< Not recorded yet.
  std::map<JobId, Announcement> Announced;
};

CellTenure beginTenure(const CellId &Cell, Epoch At,
                       const policy::CellState &State, Instant Now);

/// Takes over the answers of workers. Answers to orders of another epoch are
/// dropped.
void takeAnswers(CellTenure &Tenure, std::span<const WorkerAnswer> Answers,
                 std::span<const DomainId> Domains,
                 const TenureSettings &Settings, Instant Now);

/// Brings the gangs in step with the folded state. \p Fresh are actions of this
/// owner that fitted the state when they were read back just now.
void followState(CellTenure &Tenure, const policy::CellState &State,
                 std::span<const Action> Fresh, const TenureSettings &Settings,
                 Instant Now);

/// Returns every call that is due. Precondition: the owner may act, and
/// followState was called with the state as folded to the end of the stream.
std::vector<TenureCall> dueCalls(CellTenure &Tenure,
                                 const policy::CellState &State,
                                 const TenureSettings &Settings, Instant Now);

/// Returns the renewals that are due for running gangs, and nothing else: what
/// an owner without the log may still send.
std::vector<TenureCall>
dueRenewals(CellTenure &Tenure, const TenureSettings &Settings, Instant Now);

/// Tells whether a queued job's pause has ended at \p FoldTime, which the fold
/// learns only by the next fact.
bool isPauseOver(const policy::CellState &State, Instant FoldTime);

/// Returns the facts that the stream should record now.
std::vector<Event> dueEvents(CellTenure &Tenure, const policy::CellState &State,
                             const Lists &Configuration,
                             const TenureSettings &Settings, Instant Now);

} // namespace pistachioflow
