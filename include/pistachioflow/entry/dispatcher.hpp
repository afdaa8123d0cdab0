#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/evacuated_domains.hpp"
#include "pistachioflow/entry/journal_state.hpp"
#include "pistachioflow/entry/journal_writer.hpp"
#include "pistachioflow/entry/lease_bounds.hpp"
#include "pistachioflow/entry/planning.hpp"
#include "pistachioflow/entry/topic_follower.hpp"
#include "pistachioflow/platform/instance_settings.hpp"

namespace pistachioflow {

/// What an instance knows of the operators' evacuations.
struct EvacuationSource {
  const EvacuatedDomains &Domains;
  /// Whether this knowledge is recent enough for starts.
  std::function<bool()> Current;
};

/// Runs the queues while this instance owns them: loads the state, polls the
/// workers, places units, stores each decision, and sends starts and stops.
///
/// A start is decided, then stored, then sent. The end of a run is applied,
/// then stored, then acknowledged to its worker. The journal and the workers'
/// reports therefore show the next owner every run that this one may have
/// caused.
///
/// Thread safety: none; use from the thread that runs the io_context.
class Dispatcher {
public:
  /// \p OnFenced is called when a worker or the store knows a newer owner.
  Dispatcher(asio::io_context &Io, StoreClient &Store, const Clock &Time,
             const InstanceSettings &Settings, const DesiredState &Desired,
             EvacuationSource Evacuations,
             std::shared_ptr<MemoryBudget> WorkerMemory, PacePlacement PaceMode,
             std::function<void(std::string_view Reason)> OnFenced);
  ~Dispatcher();

  /// Begins an ownership term. The caller reloads the journal next.
  void begin(std::int64_t Epoch, std::shared_ptr<JournalWriter> Writer,
             ClaimTimes Claim);

  /// Ends the ownership term: nothing more is sent to workers.
  void end();

  /// \name Events of the follower of the journal
  /// @{
  /// Takes the whole journal. A term that has begun starts to work with it.
  void journalLoaded(const TopicRecords &Journal);
  void apply(const JournalRecord &Record);
  /// @}

  /// Schedules a scheduling round shortly. Calls before it starts share it.
  void requestRound();

private:
  struct OwnershipTerm;
  using TermPtr = std::shared_ptr<OwnershipTerm>;
  using WorkerPtr = std::shared_ptr<WorkerLink>;

  JournalTimes journalTimes() const;
  void startWork(const TopicRecords &Journal);
  void adoptWorkers();
  void followWorkerList();
  void applyWorkerEntry(const JournalRecord &Record);
  void listWorker(const std::string &Id, WorkerEntry Entry);
  void unlistWorker(const std::string &Id, std::string_view Reason);
  void unlistWorkers();
  void runRound();
  PlanningView planningView(OwnershipTerm &Term, Instant Now) const;
  bool placeUnits(OwnershipTerm &Term);
  bool mayPlace();
  const EvacuatedDomains &evacuated() const;
  void learnPaces(OwnershipTerm &Term, const WorkerLink &Worker, Instant Now);
  void trimPaces();
  std::string_view evacuationObstacle(const WorkerLink &Worker) const;
  void sendStops(const TermPtr &Term);
  void preemptOnDrainingWorkers(OwnershipTerm &Term);
  void moveRefusedMembers(OwnershipTerm &Term);
  void verifyWorkers(OwnershipTerm &Term);
  void logEvents(OwnershipTerm &Term);
  void ensureHoldLoop(const TermPtr &Term, const WorkerPtr &Worker);
  asio::awaitable<void> periodicLoop(TermPtr Term);
  asio::awaitable<void> flush(TermPtr Term);
  asio::awaitable<void> startMember(TermPtr Term, Unit *StartedUnit,
                                    std::size_t Index, std::int64_t Run);
  void startRefused(const TermPtr &Term, const WorkerPtr &Worker,
                    const StartOrder &Order, OrderOutcome Outcome);
  void noteStartGrant(WorkerLink &Worker, const StartOrder &Order,
                      const OrderAnswer &Answer, bool ClockWentBack,
                      Instant SentAt) const;
  asio::awaitable<bool> confirmIncarnation(TermPtr Term, WorkerPtr Worker,
                                           std::int64_t IncarnationStartMs);
  asio::awaitable<void> stopTask(TermPtr Term, WorkerPtr Worker,
                                 std::string Task, std::int64_t Run);
  asio::awaitable<void> holdLoop(TermPtr Term, WorkerPtr Worker);
  void holdAnswered(const TermPtr &Term, const WorkerPtr &Worker,
                    const WorkerReport &Report, Instant SentAt);
  void holdFailed(const TermPtr &Term, const WorkerPtr &Worker,
                  OrderOutcome Outcome);
  Instant leaseEnd(const OwnershipTerm &Term, Duration Wanted,
                   Instant Now) const;
  void boundEarlierLeases(OwnershipTerm &Term) const;
  void noteFirstAnswer(OwnershipTerm &Term, const WorkerLink &Worker) const;
  void noteRunsGivenUp(OwnershipTerm &Term, const WorkerLink &Worker) const;
  void updateFromEvent(OwnershipTerm &Term, const TableEvent &Event);

  asio::io_context &Io;
  StoreClient &Store;
  const Clock &Time;
  const InstanceSettings &Settings;
  const DesiredState &Desired;
  EvacuationSource Evacuations;
  std::shared_ptr<MemoryBudget> WorkerMemory; ///< For the answers of workers.
  std::function<void(std::string_view Reason)> OnFenced;
  TermPtr CurrentTerm;
  DurationModel Durations;
  PacePlacement PaceMode;
  PaceModel Paces;
  Instant PacesTrimmedAt;
  asio::steady_timer RoundTimer;
  Duration LastRoundTime{0};
  bool RoundRequested = false;
  bool PlacementPaused = false;
};

} // namespace pistachioflow
