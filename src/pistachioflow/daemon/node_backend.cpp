#include "pistachioflow/daemon/node_backend.hpp"

#include <algorithm>
#include <utility>

#include "pistachioflow/daemon/explanations.hpp"

namespace pistachioflow {

namespace {

std::string httpAddress(const std::string &Host, std::uint16_t Port) {
  return Port == 0 ? std::string() : Host + ":" + std::to_string(Port);
}

std::vector<std::string> namesOf(const std::vector<StreamName> &Streams) {
  std::vector<std::string> Names;
  for (const StreamName &Stream : Streams)
    Names.push_back(Stream.Value);
  return Names;
}

NodeStatus toNodeStatus(const InstanceId &Instance, const LocalStatus &Said) {
  NodeStatus Status;
  Status.Instance = Instance;
  Status.Domain = Said.Domain;
  Status.HttpAddress = httpAddress(Said.Host, Said.HttpPort);
  Status.Reachable = true;
  Status.Leaving = Said.Leaving;
  Status.LogReachable = Said.LogReachable;
  Status.PlansInForce = Said.Plans;
  Status.LimitsInForce = Said.Limits;
  Status.Owns = namesOf(Said.Owned);
  return Status;
}

/// An instance that is listed but not heard.
NodeStatus unheard(const Member &Item) {
  NodeStatus Status;
  Status.Instance = Item.Instance;
  Status.Domain = Item.Domain;
  Status.HttpAddress = httpAddress(Item.Address.Host, Item.Address.HttpPort);
  Status.Leaving = Item.Leaving;
  return Status;
}

} // namespace

Lists NodeBackend::lists() { return this->Parts.Config.lists(); }

Result<Revision> NodeBackend::editPlans(const PlansEdited &Edit,
                                        const RecordId &EditId) {
  return this->Parts.Config.editPlans(Edit, EditId);
}

Result<Revision> NodeBackend::editLimits(const LimitsEdited &Edit,
                                         const RecordId &EditId) {
  return this->Parts.Config.editLimits(Edit, EditId);
}

Result<std::string> NodeBackend::whatIfPlans(const PlansEdited &Edit) {
  BOOST_OUTCOME_TRY(Edited, this->Parts.Config.tryPlans(Edit));
  return "The edit would be accepted.\n" + trialText(this->Parts, Edited);
}

Result<std::string> NodeBackend::whatIfLimits(const LimitsEdited &Edit) {
  BOOST_OUTCOME_TRY(Edited, this->Parts.Config.tryLimits(Edit));
  return "The edit would be accepted.\n" + trialText(this->Parts, Edited);
}

Result<void> NodeBackend::checkTakesWork() const {
  if (this->Parts.Members.leaving())
    return Error{ErrorCode::Unavailable, "this instance is leaving", {}};
  if (!this->Parts.Config.mayTakeNewWork())
    return Error{ErrorCode::Unavailable,
                 "this instance has had no touch with the log for too long",
                 {}};
  return outcome::success();
}

Result<void> NodeBackend::submit(const JobSpec &Spec) {
  BOOST_OUTCOME_TRY(this->checkTakesWork());
  return this->Parts.Cells.home().submit(Spec);
}

Result<void> NodeBackend::cancel(const JobId &Job) {
  const Result<JobView> Known = this->job(Job);
  if (Known.has_error())
    return Known.error();
  for (CellController *Cell : this->Parts.Cells.all()) {
    if (Cell->status().Cell == Known.value().Cell)
      return Cell->cancel(Job);
  }
  return Error{ErrorCode::NotFound, "no such job: " + Job.Value, {}};
}

Result<JobView> NodeBackend::findJob(const JobId &Job) const {
  for (CellController *Cell : this->Parts.Cells.all()) {
    const Result<policy::JobState> Known = Cell->job(Job);
    if (Known.has_value())
      return JobView{Known.value(), Cell->status().Cell};
  }
  return Error{ErrorCode::NotFound, "no such job: " + Job.Value, {}};
}

Result<JobView> NodeBackend::job(const JobId &Job) {
  const Result<JobView> Known = this->findJob(Job);
  if (Known.has_value())
    return Known;
  // It may have been submitted to another instance a moment ago.
  for (CellController *Cell : this->Parts.Cells.all())
    static_cast<void>(Cell->refresh());
  return this->findJob(Job);
}

std::vector<JobView> NodeBackend::jobs() {
  std::vector<JobView> Found;
  for (CellController *Cell : this->Parts.Cells.all()) {
    for (policy::JobState &State : Cell->jobs())
      Found.push_back({std::move(State), Cell->status().Cell});
  }
  return Found;
}

RequestOutcome NodeBackend::request(const CallerRequest &Request) {
  {
    const std::lock_guard Guard(this->Lock);
    this->InProgress.emplace(Request.Request, Request.Workspace);
  }
  RequestOutcome Outcome = this->Parts.Requests.handle(Request);
  const std::lock_guard Guard(this->Lock);
  const auto [First, Last] = this->InProgress.equal_range(Request.Request);
  const auto Mine = std::find_if(First, Last, [&](const auto &Entry) {
    return Entry.second == Request.Workspace;
  });
  if (Mine != Last)
    this->InProgress.erase(Mine);
  return Outcome;
}

void NodeBackend::cancelRequest(const RequestId &Request) {
  WorkspaceId Workspace;
  {
    const std::lock_guard Guard(this->Lock);
    // Requests of several workspaces may have the same id: cancel none of them.
    if (this->InProgress.count(Request) != 1)
      return;
    Workspace = this->InProgress.find(Request)->second;
  }
  this->Parts.Requests.cancel(Workspace, Request);
}

NodeStatus NodeBackend::ownStatus() const {
  return toNodeStatus(this->Parts.Settings.Instance, this->Parts.status());
}

NodesView NodeBackend::nodes() {
  NodesView View;
  View.Nodes.push_back(this->ownStatus());
  for (const PeerView &Peer : this->Parts.Peers.peers())
    View.Nodes.push_back(toNodeStatus(Peer.Instance, Peer.Status));
  for (const Member &Item : this->Parts.Members.members()) {
    const bool Known = std::any_of(
        View.Nodes.begin(), View.Nodes.end(),
        [&](const NodeStatus &Node) { return Node.Instance == Item.Instance; });
    if (!Known && Item.Listed && !Item.Replaced)
      View.Nodes.push_back(unheard(Item));
  }
  for (const NodeStatus &Node : View.Nodes) {
    View.PlansAccepted = std::max(View.PlansAccepted, Node.PlansInForce);
    View.LimitsAccepted = std::max(View.LimitsAccepted, Node.LimitsInForce);
  }
  return View;
}

TimelineView NodeBackend::timeline(const TimelineQuery &Query) {
  return gatherTimeline(this->Parts, Query);
}

Result<std::string> NodeBackend::explain(SubjectKind Kind,
                                         const std::string &Subject) {
  return explainSubject(this->Parts, Kind, Subject);
}

bool NodeBackend::ready() { return this->Parts.ready(); }

std::string NodeBackend::metrics() { return this->Parts.Metrics.print(); }

} // namespace pistachioflow
