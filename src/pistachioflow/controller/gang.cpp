#include "pistachioflow/controller/gang.hpp"

#include <algorithm>

namespace pistachioflow {

namespace {

GangGoal goalOf(JobPhase Phase) {
  switch (Phase) {
  case JobPhase::Starting:
    return GangGoal::Start;
  case JobPhase::Running:
    return GangGoal::Run;
  default:
    return GangGoal::Stop;
  }
}

GangMember *findMember(GangProgress &Gang, const WorkerId &Worker) {
  const auto Found = std::find_if(
      Gang.Members.begin(), Gang.Members.end(),
      [&](const GangMember &Member) { return Member.Worker == Worker; });
  return Found == Gang.Members.end() ? nullptr : &*Found;
}

bool stopping(const GangProgress &Gang) {
  return Gang.Goal == GangGoal::Stop || Gang.Ending != GangEnding::None;
}

/// The tasks of the member were started at some time.
bool wasStarted(const GangMember &Member) {
  return Member.State == MemberState::Running ||
         Member.State == MemberState::Finished ||
         Member.State == MemberState::Failed;
}

bool readyToStart(const GangMember &Member) {
  return !Member.Asking &&
         (Member.State == MemberState::Held || wasStarted(Member));
}

void endGang(GangProgress &Gang, GangEnding Ending, const WorkerId &Worker) {
  if (Gang.Ending != GangEnding::None)
    return;
  Gang.Ending = Ending;
  Gang.EndedBy = Worker;
}

/// Ends a running gang whose member failed or lost its tasks.
void checkRunning(GangProgress &Gang) {
  for (const GangMember &Member : Gang.Members) {
    const bool Lost = Member.State == MemberState::Gone ||
                      Member.State == MemberState::Held ||
                      Member.State == MemberState::Idle;
    if (Lost || Member.State == MemberState::Failed)
      endGang(Gang, GangEnding::Failed, Member.Worker);
  }
}

/// Gives up a start that is late, or where one member lost tasks that it held.
void checkStarting(GangProgress &Gang, Instant Now) {
  const bool Late = Now >= Gang.StartBy;
  const bool PartStarted =
      std::any_of(Gang.Members.begin(), Gang.Members.end(), wasStarted);
  for (const GangMember &Member : Gang.Members) {
    const bool LostLease =
        PartStarted && Member.State == MemberState::Idle && !Member.Asking;
    const bool NotYet = !wasStarted(Member) || Member.Asking;
    if (Member.State == MemberState::Gone || LostLease || (Late && NotYet))
      endGang(Gang, GangEnding::Refused, Member.Worker);
  }
}

std::optional<GangCall> stopCall(const GangMember &Member) {
  if (!mayHoldTasks(Member))
    return std::nullopt;
  return GangCall{Member.Worker, false, OrderKind::Stop, Member.Tasks};
}

std::optional<GangCall> order(const GangMember &Member, OrderKind Kind) {
  return GangCall{Member.Worker, false, Kind, Member.Tasks};
}

std::optional<GangCall> startCall(const GangMember &Member, bool AllReady,
                                  Instant Now) {
  if (Member.State == MemberState::Idle)
    return order(Member, OrderKind::Hold);
  if (Member.State == MemberState::Held && AllReady)
    return order(Member, OrderKind::Start);
  const bool Leased =
      Member.State == MemberState::Held || Member.State == MemberState::Running;
  if (Leased && Now >= Member.RenewDue)
    return order(Member, OrderKind::Renew);
  return std::nullopt;
}

std::optional<GangCall> runCall(const GangProgress &Gang,
                                const GangMember &Member, Instant Now) {
  if (Member.State != MemberState::Running)
    return std::nullopt;
  if (Now >= Member.RenewDue)
    return order(Member, OrderKind::Renew);
  if (Gang.CheckpointWanted && !Member.CheckpointSent)
    return order(Member, OrderKind::Checkpoint);
  return std::nullopt;
}

std::optional<GangCall> dueCall(const GangProgress &Gang,
                                const GangMember &Member, bool AllReady,
                                Instant Now) {
  if (stopping(Gang))
    return stopCall(Member);
  if (Member.Asking || Member.State == MemberState::Unasked)
    return GangCall{Member.Worker, true, OrderKind::Hold, Member.Tasks};
  if (Gang.Goal == GangGoal::Start)
    return startCall(Member, AllReady, Now);
  return runCall(Gang, Member, Now);
}

void extendLease(GangMember &Member, const GangSettings &Settings,
                 Instant Now) {
  const Instant Ends = Now + Settings.TaskLease + Settings.LeaseMargin;
  Member.LeaseEnds = std::max(Member.LeaseEnds, Ends);
}

void takeDone(GangMember &Member, OrderKind Kind, const GangSettings &Settings,
              Instant Sent, Instant Now) {
  switch (Kind) {
  case OrderKind::Hold:
    Member.State = MemberState::Held;
    break;
  case OrderKind::Start:
    Member.State = MemberState::Running;
    break;
  case OrderKind::Stop:
    Member.State = MemberState::Gone;
    return;
  case OrderKind::Checkpoint:
    Member.CheckpointSent = true;
    return;
  case OrderKind::Renew:
  case OrderKind::Throttle:
    break;
  }
  extendLease(Member, Settings, Now);
  Member.RenewDue = Sent + Settings.RenewEvery;
}

void takeRefusal(GangProgress &Gang, GangMember &Member, OrderKind Kind) {
  if (Kind == OrderKind::Stop) {
    Member.State = MemberState::Gone;
    return;
  }
  if (Kind == OrderKind::Hold || Kind == OrderKind::Start) {
    Member.Asking = Kind == OrderKind::Start;
    endGang(Gang, GangEnding::Refused, Member.Worker);
    return;
  }
  Member.Asking = Kind == OrderKind::Renew;
}

void takeLost(GangMember &Member, OrderKind Kind, const GangSettings &Settings,
              Instant Now) {
  Member.RetryAt = Now + Settings.RetryAfter;
  if (Kind == OrderKind::Stop || Kind == OrderKind::Checkpoint)
    return;
  Member.Asking = true;
  extendLease(Member, Settings, Now);
}

MemberState toState(TaskPhase Phase) {
  switch (Phase) {
  case TaskPhase::Held:
    return MemberState::Held;
  case TaskPhase::Running:
    return MemberState::Running;
  case TaskPhase::Finished:
    return MemberState::Finished;
  case TaskPhase::Failed:
    return MemberState::Failed;
  }
  return MemberState::Unasked;
}

/// The worker knows nothing of the attempt.
void takeAbsent(const GangProgress &Gang, GangMember &Member) {
  Member.Asking = false;
  const bool EndKnown = Member.State == MemberState::Finished ||
                        Member.State == MemberState::Failed;
  if (EndKnown || Member.State == MemberState::Gone)
    return;
  const bool MayHoldAgain =
      Gang.Goal == GangGoal::Start && !Member.MayHaveStarted;
  Member.State = MayHoldAgain ? MemberState::Idle : MemberState::Gone;
}

bool all(const GangProgress &Gang, bool (*Test)(const GangMember &)) {
  return std::all_of(Gang.Members.begin(), Gang.Members.end(), Test);
}

bool released(const GangMember &Member) { return !mayHoldTasks(Member); }

/// A finished or failed member runs nothing; its lease is released afterwards.
bool ended(const GangMember &Member) {
  return released(Member) || Member.State == MemberState::Failed ||
         Member.State == MemberState::Finished;
}

bool finished(const GangMember &Member) {
  return Member.State == MemberState::Finished;
}

bool hasNewCheckpoint(const GangMember &Member) {
  return Member.CheckpointSent && Member.Checkpoints > Member.CheckpointsBefore;
}

std::optional<Event> endingEvent(const GangProgress &Gang) {
  if (!all(Gang, ended))
    return std::nullopt;
  if (Gang.Ending == GangEnding::Refused)
    return GangRefused{Gang.Job, Gang.Try, Gang.EndedBy};
  return GangFailed{Gang.Job, Gang.Try, Gang.EndedBy};
}

/// Surely runs, or has run to its end.
bool runs(const GangMember &Member, Instant Now) {
  if (Member.Asking)
    return false;
  return Member.State == MemberState::Finished ||
         (Member.State == MemberState::Running && Now < Member.LeaseEnds);
}

GangProgress makeGang(const policy::JobState &Job, MemberState First,
                      Instant LeaseEnds, const GangSettings &Settings,
                      Instant Now) {
  GangProgress Gang;
  Gang.Job = Job.Spec.Job;
  Gang.Try = Job.Try;
  Gang.Shape = Job.Spec.Shape;
  Gang.Goal = goalOf(Job.Phase);
  Gang.StartBy = Now + Settings.StartTimeout;
  for (const Placement &Share : Job.Placements) {
    GangMember Member;
    Member.Worker = Share.Worker;
    Member.Tasks = Share.Tasks;
    Member.State = First;
    Member.MayHaveStarted = First == MemberState::Unasked;
    Member.LeaseEnds = LeaseEnds;
    Gang.Members.push_back(Member);
  }
  return Gang;
}

} // namespace

CallOutcome toOutcome(const Result<void> &Answer) {
  if (Answer.has_value())
    return CallOutcome::Done;
  switch (Answer.error().Code) {
  case ErrorCode::Unavailable:
    return CallOutcome::NotReceived;
  case ErrorCode::Fenced:
    return CallOutcome::Fenced;
  case ErrorCode::Refused:
  case ErrorCode::NotFound:
  case ErrorCode::InvalidInput:
    return CallOutcome::Refused;
  default:
    return CallOutcome::Lost;
  }
}

bool mayHoldTasks(const GangMember &Member) {
  if (Member.State == MemberState::Gone)
    return false;
  return Member.State != MemberState::Idle || Member.Asking || Member.InFlight;
}

GangProgress beginFreshGang(const policy::JobState &Job,
                            const GangSettings &Settings, Instant Now) {
  return makeGang(Job, MemberState::Idle, Now, Settings, Now);
}

GangProgress resumeGang(const policy::JobState &Job,
                        const GangSettings &Settings, Instant Now) {
  Instant SurelyEnded = Now + Settings.TaskLease + Settings.LeaseMargin;
  // An earlier owner renews only what the stream shows as running.
  if (Job.Phase != JobPhase::Starting)
    SurelyEnded = SurelyEnded + Settings.OutageRenewals;
  return makeGang(Job, MemberState::Unasked, SurelyEnded, Settings, Now);
}

void setGoal(GangProgress &Gang, JobPhase Phase) { Gang.Goal = goalOf(Phase); }

void expireMembers(GangProgress &Gang, Instant Now) {
  for (GangMember &Member : Gang.Members) {
    const bool Leased = Member.State == MemberState::Unasked ||
                        Member.State == MemberState::Held ||
                        Member.State == MemberState::Running || Member.Asking;
    if (Leased && !Member.InFlight && Now >= Member.LeaseEnds) {
      Member.State = MemberState::Gone;
      Member.Asking = false;
    }
  }
  if (Gang.Goal == GangGoal::Start)
    checkStarting(Gang, Now);
  if (Gang.Goal == GangGoal::Run)
    checkRunning(Gang);
}

std::vector<GangCall> takeDueCalls(GangProgress &Gang, Instant Now) {
  std::vector<GangCall> Due;
  if (Gang.Fenced)
    return Due;
  const bool AllReady = all(Gang, readyToStart);
  for (GangMember &Member : Gang.Members) {
    if (Member.InFlight || Now < Member.RetryAt)
      continue;
    const std::optional<GangCall> Call = dueCall(Gang, Member, AllReady, Now);
    if (!Call)
      continue;
    Member.InFlight = true;
    Member.Asked = Call->Ask;
    if (Call->Kind == OrderKind::Start && !Call->Ask)
      Member.MayHaveStarted = true;
    Due.push_back(*Call);
  }
  return Due;
}

void takeAnswer(GangProgress &Gang, const GangCall &Call, CallOutcome Outcome,
                const GangSettings &Settings, Instant Sent, Instant Now) {
  GangMember *Member = findMember(Gang, Call.Worker);
  if (Member == nullptr)
    return;
  Member->InFlight = false;
  switch (Outcome) {
  case CallOutcome::Done:
    takeDone(*Member, Call.Kind, Settings, Sent, Now);
    return;
  case CallOutcome::NotReceived:
    Member->RetryAt = Now + Settings.RetryAfter;
    return;
  case CallOutcome::Lost:
    takeLost(*Member, Call.Kind, Settings, Now);
    return;
  case CallOutcome::Refused:
    takeRefusal(Gang, *Member, Call.Kind);
    return;
  case CallOutcome::Fenced:
    Gang.Fenced = true;
    return;
  }
}

void takeReport(GangProgress &Gang, const WorkerReport &Report) {
  GangMember *Member = findMember(Gang, Report.Worker);
  if (Member == nullptr || (Member->InFlight && !Member->Asked))
    return;
  Member->InFlight = false;
  Member->Asked = false;
  for (const ReportedTasks &Tasks : Report.Tasks) {
    if (Tasks.Job != Gang.Job || Tasks.Try != Gang.Try)
      continue;
    if (Member->State == MemberState::Gone)
      return;
    Member->State = toState(Tasks.Phase);
    Member->Asking = false;
    Member->Checkpoints = Tasks.Checkpoints;
    if (!Member->CheckpointSent)
      Member->CheckpointsBefore = Tasks.Checkpoints;
    return;
  }
  takeAbsent(Gang, *Member);
}

void takeNoReport(GangProgress &Gang, const WorkerId &Worker,
                  const GangSettings &Settings, Instant Now) {
  GangMember *Member = findMember(Gang, Worker);
  if (Member == nullptr || !Member->Asked)
    return;
  Member->InFlight = false;
  Member->Asked = false;
  Member->RetryAt = Now + Settings.RetryAfter;
}

std::vector<GangCall> takeDueRenewals(GangProgress &Gang, Instant Now) {
  std::vector<GangCall> Due;
  const bool Whole =
      std::all_of(Gang.Members.begin(), Gang.Members.end(),
                  [&](const GangMember &Member) { return runs(Member, Now); });
  if (Gang.Fenced || Gang.Goal != GangGoal::Run || stopping(Gang) || !Whole)
    return Due;
  for (GangMember &Member : Gang.Members) {
    const bool Skip = Member.InFlight || Now < Member.RetryAt ||
                      Member.State != MemberState::Running ||
                      Now < Member.RenewDue;
    if (Skip)
      continue;
    Member.InFlight = true;
    Due.push_back({Member.Worker, false, OrderKind::Renew, Member.Tasks});
  }
  return Due;
}

void boundLease(GangProgress &Gang, const WorkerId &Worker, Instant Ends) {
  GangMember *Member = findMember(Gang, Worker);
  if (Member != nullptr)
    Member->LeaseEnds = std::min(Member->LeaseEnds, Ends);
}

void setCheckpointWanted(GangProgress &Gang, bool Wanted) {
  Gang.CheckpointWanted = Wanted;
  if (Wanted)
    return;
  for (GangMember &Member : Gang.Members)
    Member.CheckpointSent = false;
}

std::optional<Event> gangEvent(const GangProgress &Gang) {
  if (Gang.Goal == GangGoal::Stop) {
    if (all(Gang, ended))
      return GangStopped{Gang.Job, Gang.Try};
    return std::nullopt;
  }
  if (Gang.Ending != GangEnding::None)
    return endingEvent(Gang);
  if (Gang.Goal == GangGoal::Start) {
    if (all(Gang, wasStarted))
      return GangStarted{Gang.Job, Gang.Try};
    return std::nullopt;
  }
  if (all(Gang, finished))
    return GangFinished{Gang.Job, Gang.Try};
  const bool Checkpointed =
      Gang.CheckpointWanted && all(Gang, hasNewCheckpoint);
  if (Checkpointed)
    return CheckpointTaken{Gang.Job, Gang.Try};
  return std::nullopt;
}

} // namespace pistachioflow
