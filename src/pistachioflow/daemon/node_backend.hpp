#pragma once

#include <map>
#include <mutex>

#include "pistachioflow/api/backend.hpp"
#include "pistachioflow/daemon/node.hpp"

namespace pistachioflow {

/// Answers the HTTP server from the parts of the instance.
///
/// Thread safety: as Backend.
class NodeBackend final : public Backend {
public:
  /// Precondition: \p Parts outlives the backend.
  explicit NodeBackend(Node &Parts) : Parts(Parts) {}

  Lists lists() override;
  Result<Revision> editPlans(const PlansEdited &Edit,
                             const RecordId &EditId) override;
  Result<Revision> editLimits(const LimitsEdited &Edit,
                              const RecordId &EditId) override;
  Result<std::string> whatIfPlans(const PlansEdited &Edit) override;
  Result<std::string> whatIfLimits(const LimitsEdited &Edit) override;
  Result<void> submit(const JobSpec &Spec) override;
  Result<void> cancel(const JobId &Job) override;
  Result<JobView> job(const JobId &Job) override;
  std::vector<JobView> jobs() override;
  RequestOutcome request(const CallerRequest &Request) override;
  void cancelRequest(const RequestId &Request) override;
  NodesView nodes() override;
  TimelineView timeline(const TimelineQuery &Query) override;
  Result<std::string> explain(SubjectKind Kind,
                              const std::string &Subject) override;
  bool ready() override;
  std::string metrics() override;

private:
  Result<void> checkTakesWork() const;
  Result<JobView> findJob(const JobId &Job) const;
  NodeStatus ownStatus() const;

  Node &Parts;
  std::mutex Lock;
  /// The workspaces of the requests in progress.
  std::multimap<RequestId, WorkspaceId> InProgress;
};

} // namespace pistachioflow
