#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pistachioflow/base/result.hpp"
#include "pistachioflow/model/job.hpp"
#include "pistachioflow/model/lists.hpp"
#include "pistachioflow/model/record.hpp"
#include "pistachioflow/model/request.hpp"
#include "pistachioflow/model/timeline.hpp"
#include "pistachioflow/policy/cell.hpp"

namespace pistachioflow {

/// One instance as the answering one knows it.
struct NodeStatus {
  InstanceId Instance;
  DomainId Domain;
  std::string HttpAddress; ///< host:port of its HTTP server; empty: unknown.
  bool Reachable = false;
  bool Leaving = false;
  bool LogReachable = false;
  Revision PlansInForce = 0;
  Revision LimitsInForce = 0;
  std::vector<std::string> Owns; ///< The streams it owns.
};

struct NodesView {
  Revision PlansAccepted = 0;
  Revision LimitsAccepted = 0;
  std::vector<NodeStatus> Nodes;
};

struct JobView {
  policy::JobState State;
  CellId Cell;
};

/// Which events a caller wants. Empty fields match everything.
struct TimelineQuery {
  SubjectKind Kind = SubjectKind::Job;
  bool AnyKind = true;
  std::string Subject;
  Instant Since; ///< Wall clock.
};

struct TimelineView {
  std::vector<TimelineEvent> Events;
  std::vector<std::string> Missing; ///< What could not be asked, and why.
  std::uint64_t Dropped = 0;        ///< Events lost from bounded memory.
};

/// Everything that the HTTP server asks of the rest of the daemon.
///
/// Thread safety: every method may be called from any thread. Calls block.
class Backend {
public:
  virtual ~Backend() = default;

  /// Returns the lists in force on this instance.
  virtual Lists lists() = 0;

  /// Returns the list's new revision once the edit is accepted and read back.
  /// An edit repeated under the same \p EditId counts once; an empty one gets a
  /// new id.
  /// Errors: StaleRevision, InvalidInput, Unavailable, UnknownOutcome.
  virtual Result<Revision> editPlans(const PlansEdited &Edit,
                                     const RecordId &EditId) = 0;
  virtual Result<Revision> editLimits(const LimitsEdited &Edit,
                                      const RecordId &EditId) = 0;

  /// Returns in plain sentences what the edit would refuse, move or put at
  /// risk. Nothing is applied. Errors: StaleRevision, InvalidInput.
  virtual Result<std::string> whatIfPlans(const PlansEdited &Edit) = 0;
  virtual Result<std::string> whatIfLimits(const LimitsEdited &Edit) = 0;

  /// Returns once the submission is in the log.
  /// Errors: InvalidInput, Refused, Unavailable, UnknownOutcome.
  virtual Result<void> submit(const JobSpec &Spec) = 0;
  virtual Result<void> cancel(const JobId &Job) = 0;

  /// Errors: NotFound.
  virtual Result<JobView> job(const JobId &Job) = 0;
  virtual std::vector<JobView> jobs() = 0;

  virtual RequestOutcome request(const CallerRequest &Request) = 0;

  /// Drops a request that its caller no longer waits for. Best effort.
  virtual void cancelRequest(const RequestId &Request) = 0;

  virtual NodesView nodes() = 0;

  /// Returns the events of the streams that this instance folds and of its own
  /// memory, not those in the memory of others.
  virtual TimelineView timeline(const TimelineQuery &Query) = 0;

  /// Returns in plain sentences what happened to the subject, because of which
  /// list entries, and what would have to change. Errors: NotFound.
  virtual Result<std::string> explain(SubjectKind Kind,
                                      const std::string &Subject) = 0;

  /// Tells whether the balancer should send new work here.
  virtual bool ready() = 0;

  /// Returns the metrics in Prometheus text format.
  virtual std::string metrics() = 0;
};

} // namespace pistachioflow
