#include <variant>

#include "pistachioflow/explain/event_parts.hpp"
#include "pistachioflow/explain/words.hpp"

namespace pistachioflow::explain {

namespace {

EventPart aboutJob(const JobId &Job, std::string What) {
  return {SubjectKind::Job, Job.Value, std::move(What), ReasonCode::None, {}};
}

EventPart aboutTry(const JobId &Job, Attempt Try, std::string What) {
  return aboutJob(Job,
                  std::move(What) + " (attempt " + std::to_string(Try) + ")");
}

EventPart withWorker(EventPart Part, const WorkerId &Worker) {
  Part.Also.push_back({SubjectKind::Worker, Worker.Value});
  return Part;
}

/// One overload for each kind of fact.
struct FactWords {
  EventPart operator()(const ListsChanged &Fact) const {
    return {SubjectKind::List,
            "plans and limits",
            "in force in the cell: plans at revision " +
                std::to_string(Fact.Now.Plans.At) + ", limits at revision " +
                std::to_string(Fact.Now.Limits.At),
            ReasonCode::None,
            {}};
  }
  EventPart operator()(const WorkerJoined &Fact) const {
    const WorkerInfo &Info = Fact.Worker;
    return {SubjectKind::Worker,
            Info.Worker.Value,
            "joined in " + Info.Rack.Value + " of " + Info.Domain.Value +
                " with " + counted(Info.Accelerators, "accelerator"),
            ReasonCode::WorkerJoined,
            {}};
  }
  EventPart operator()(const WorkerLost &Fact) const {
    return {SubjectKind::Worker,
            Fact.Worker.Value,
            "lost",
            ReasonCode::WorkerLost,
            {}};
  }
  EventPart operator()(const JobSubmitted &Fact) const {
    EventPart Part = aboutJob(
        Fact.Spec.Job, "submitted by workspace " + Fact.Spec.Workspace.Value +
                           ": " + shapeText(Fact.Spec.Shape) + ", declared " +
                           spanText(Fact.Spec.DeclaredRuntime) +
                           (Fact.Spec.Urgent ? ", urgent" : ""));
    Part.Also.push_back({SubjectKind::Workspace, Fact.Spec.Workspace.Value});
    return Part;
  }
  EventPart operator()(const JobCancelled &Fact) const {
    EventPart Part = aboutJob(Fact.Job, "cancellation asked for");
    Part.Code = ReasonCode::CancelledByCaller;
    return Part;
  }
  EventPart operator()(const GangStarted &Fact) const {
    return aboutTry(Fact.Job, Fact.Try, "started on all its workers");
  }
  EventPart operator()(const GangRefused &Fact) const {
    EventPart Part = withWorker(
        aboutTry(Fact.Job, Fact.Try,
                 "refused by " + Fact.Worker.Value + ", so started nowhere"),
        Fact.Worker);
    Part.Code = ReasonCode::StoppedStartRefused;
    return Part;
  }
  EventPart operator()(const GangFinished &Fact) const {
    return aboutTry(Fact.Job, Fact.Try, "finished");
  }
  EventPart operator()(const GangFailed &Fact) const {
    return withWorker(
        aboutTry(Fact.Job, Fact.Try, "a task failed on " + Fact.Worker.Value),
        Fact.Worker);
  }
  EventPart operator()(const GangStopped &Fact) const {
    return aboutTry(Fact.Job, Fact.Try, "has left all its workers");
  }
  EventPart operator()(const CheckpointTaken &Fact) const {
    return aboutTry(Fact.Job, Fact.Try, "wrote a checkpoint");
  }
  EventPart operator()(const UsageReported &Fact) const {
    EventPart Part =
        withWorker(aboutTry(Fact.Job, Fact.Try,
                            "uses " + counted(Fact.CoresUsed, "core") +
                                " and " + std::to_string(Fact.MemoryMbUsed) +
                                " MB on " + Fact.Worker.Value),
                   Fact.Worker);
    Part.Code = ReasonCode::UsageObserved;
    return Part;
  }
  EventPart operator()(const TimePassed &) const {
    return {SubjectKind::Cell, "", "time passed", ReasonCode::None, {}};
  }
};

} // namespace

EventPart describeFact(const Event &Fact) {
  return std::visit(FactWords(), Fact);
}

} // namespace pistachioflow::explain
