#include <set>
#include <variant>

#include "pistachioflow/explain/event_parts.hpp"
#include "pistachioflow/explain/words.hpp"

namespace pistachioflow::explain {

namespace {

EventPart aboutJob(const JobId &Job, std::string What) {
  return {SubjectKind::Job, Job.Value, std::move(What), ReasonCode::None, {}};
}

EventPart withPlaces(EventPart Part, std::span<const Placement> Places) {
  for (const Placement &Place : Places)
    Part.Also.push_back({SubjectKind::Worker, Place.Worker.Value});
  return Part;
}

EventPart withJob(EventPart Part, const JobId &Job) {
  if (!Job.empty())
    Part.Also.push_back({SubjectKind::Job, Job.Value});
  return Part;
}

std::string attemptText(Attempt Try) {
  return " (attempt " + std::to_string(Try) + ")";
}

std::string forText(const JobId &Job) {
  return Job.empty() ? "" : " to make room for job " + Job.Value;
}

std::string_view thenText(AfterStop Then) {
  switch (Then) {
  case AfterStop::Requeue:
    return "and queue it again";
  case AfterStop::Cancel:
    return "and cancel it";
  case AfterStop::Fail:
    return "and end it as failed";
  }
  return "";
}

/// One overload for each kind of action.
struct ActionWords {
  EventPart operator()(const AdmitJob &Made) const {
    return aboutJob(Made.Job, "admit to the queue");
  }
  EventPart operator()(const RefuseJob &Made) const {
    return aboutJob(Made.Job, "refuse");
  }
  EventPart operator()(const StartGang &Made) const {
    return withPlaces(
        aboutJob(Made.Job, "start on " + placesText(Made.Placements) +
                               (Made.Borrowed ? ", borrowing" : "") +
                               attemptText(Made.Try)),
        Made.Placements);
  }
  EventPart operator()(const CheckpointGang &Made) const {
    return withJob(aboutJob(Made.Job, "ask for a checkpoint before a stop" +
                                          forText(Made.Beneficiary) +
                                          attemptText(Made.Try)),
                   Made.Beneficiary);
  }
  EventPart operator()(const StopGang &Made) const {
    return withJob(aboutJob(Made.Job, "stop" + forText(Made.Beneficiary) + " " +
                                          std::string(thenText(Made.FollowUp)) +
                                          attemptText(Made.Try)),
                   Made.Beneficiary);
  }
  EventPart operator()(const ThrottleGang &Made) const {
    EventPart Part = aboutJob(
        Made.Job, "throttle to " + counted(Made.CoresAllowed, "core") + " on " +
                      Made.Worker.Value + attemptText(Made.Try));
    Part.Also.push_back({SubjectKind::Worker, Made.Worker.Value});
    return Part;
  }
  EventPart operator()(const EndJob &Made) const {
    return aboutJob(Made.Job,
                    "end as " + std::string(toString(Made.FinalPhase)));
  }
  EventPart operator()(const ReserveCapacity &Made) const {
    if (Made.Placements.empty())
      return aboutJob(Made.Job, "end its reservation");
    return withPlaces(
        aboutJob(Made.Job, "reserve " + placesText(Made.Placements)),
        Made.Placements);
  }
  EventPart operator()(const QuarantineWorker &Made) const {
    return {SubjectKind::Worker,
            Made.Worker.Value,
            "quarantine until " + timeText(Made.Until),
            ReasonCode::None,
            {}};
  }
  EventPart operator()(const ReleaseWorker &Made) const {
    return {SubjectKind::Worker,
            Made.Worker.Value,
            "release from quarantine, on probation",
            ReasonCode::None,
            {}};
  }
  EventPart operator()(const AssignHomes &Made) const;
  EventPart operator()(const ReportGuaranteeAtRisk &Made) const {
    return {SubjectKind::Workspace,
            Made.Workspace.Value,
            "no workers are left to guarantee " + shapeText(Made.Shape),
            ReasonCode::None,
            {}};
  }
};

EventPart ActionWords::operator()(const AssignHomes &Made) const {
  EventPart Part{SubjectKind::Cell, "guarantees", "", ReasonCode::None, {}};
  std::set<std::string> Workspaces;
  for (const Home &Given : Made.Homes) {
    Part.What += (Part.What.empty() ? "hold " : "; ") + Given.Workspace.Value +
                 " on " + placesText(Given.Placements);
    if (Workspaces.insert(Given.Workspace.Value).second)
      Part.Also.push_back({SubjectKind::Workspace, Given.Workspace.Value});
  }
  if (Made.Homes.empty())
    Part.What = "hold no workers";
  return Part;
}

} // namespace

EventPart describeAction(const Action &What) {
  return std::visit(ActionWords(), What);
}

} // namespace pistachioflow::explain
