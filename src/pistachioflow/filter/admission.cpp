#include <algorithm>

#include "pistachioflow/filter/chain.hpp"

namespace pistachioflow {

namespace {

FilterStep refuse(RequestContext &Context, ReasonCode Why) {
  return answer(Context, RequestState::NotRun, Why);
}

const PlanEntry *findPlan(const Lists &InForce, const WorkspaceId &Workspace) {
  const auto &Entries = InForce.Plans.Entries;
  const auto Found = std::find_if(Entries.begin(), Entries.end(),
                                  [&Workspace](const PlanEntry &Each) {
                                    return Each.Workspace == Workspace;
                                  });
  return Found == Entries.end() ? nullptr : &*Found;
}

const LimitsEntry *findLimits(const Lists &InForce, const PlanId &Plan) {
  const auto &Entries = InForce.Limits.Entries;
  const auto Found = std::find_if(
      Entries.begin(), Entries.end(),
      [&Plan](const LimitsEntry &Each) { return Each.Plan == Plan; });
  return Found == Entries.end() ? nullptr : &*Found;
}

} // namespace

FilterStep identifyWorkspace(RequestContext &Context, FilterParts &Parts) {
  Context.InForce = Parts.CurrentLists();
  if (!Context.InForce)
    return refuse(Context, ReasonCode::ConfigTooOld);
  const Lists &InForce = *Context.InForce;
  const PlanEntry *Plan = findPlan(InForce, Context.Request->Workspace);
  if (Plan == nullptr)
    return refuse(Context, ReasonCode::RequestRefusedNoPlan);
  Context.Entries.push_back(
      {ListKind::Plans, Plan->Workspace.Value, InForce.Plans.At});
  Context.Limits = findLimits(InForce, Plan->Plan);
  if (Context.Limits == nullptr)
    return refuse(Context, ReasonCode::RequestRefusedNoPlan);
  Context.Entries.push_back(
      {ListKind::Limits, Plan->Plan.Value, InForce.Limits.At});
  return FilterStep::Next;
}

FilterStep checkDeadline(RequestContext &Context, FilterParts &) {
  if (Context.Request->Deadline > Context.ArrivedAt)
    return FilterStep::Next;
  return refuse(Context, ReasonCode::RequestRefusedDeadline);
}

FilterStep takeLimit(RequestContext &Context, FilterParts &Parts) {
  const WorkspaceId &Workspace = Context.Request->Workspace;
  const FleetShare Share = Parts.Fleet();
  const LimitAnswer Taken = Parts.Limits.acquire(Workspace, *Context.Limits,
                                                 Share, Context.ArrivedAt);
  if (Taken == LimitAnswer::Granted) {
    Context.Active->HoldsLimit = true;
    return FilterStep::Next;
  }
  const std::uint32_t Limit = Taken == LimitAnswer::RateReached
                                  ? Context.Limits->RequestsPerSecond
                                  : Context.Limits->ConcurrentRequests;
  Context.Outcome.Why.Numbers = {
      {Measure::RequestLimit, Limit},
      {Measure::RequestsInFlight, Parts.Limits.inFlight(Workspace)}};
  Context.Outcome.Why.PassedOver = Taken == LimitAnswer::RateReached
                                       ? "requests per second"
                                       : "concurrent requests";
  return refuse(Context, ReasonCode::RequestRefusedLimit);
}

void releaseLimit(RequestContext &Context, FilterParts &Parts) {
  if (Context.Active->HoldsLimit.exchange(false))
    Parts.Limits.release(Context.Request->Workspace);
}

FilterStep refuseEarly(RequestContext &Context, FilterParts &Parts) {
  const CallerRequest &Request = *Context.Request;
  const auto Why = Parts.Turns.refuseEarly(Request.Class, Request.Deadline);
  if (Why) {
    const Duration Left = Request.Deadline - Context.ArrivedAt;
    Context.Outcome.Why.Numbers = {{Measure::DeadlineMs, Left.Ms}};
    return refuse(Context, *Why);
  }
  Parts.Admitted.add();
  Parts.Budgets.admitted(Request.Workspace);
  return FilterStep::Next;
}

FilterStep beginOnce(RequestContext &Context, FilterParts &Parts) {
  const CallerRequest &Request = *Context.Request;
  if (!Request.NonIdempotent)
    return FilterStep::Next;
  Context.Key = {Request.Workspace, Request.Key, Request.Request,
                 digestBody(Request.Body), Request.Deadline};
  BeginAnswer Begun = Parts.Keys.begin(Context.Key);
  switch (Begun.State) {
  case BeginState::First:
    Context.Claim = Begun.Claim;
    return FilterStep::Next;
  case BeginState::Repeat:
    Context.Outcome = std::move(Begun.Outcome);
    return FilterStep::Answered;
  case BeginState::OtherRequest:
    Context.Outcome.Why.PassedOver = "the key belongs to another body";
    return refuse(Context, ReasonCode::RequestDuplicateKey);
  case BeginState::LogDown:
    break;
  }
  return refuse(Context, ReasonCode::RequestRefusedLogDown);
}

void endOnce(RequestContext &Context, FilterParts &Parts) {
  if (Context.Claim)
    Parts.Keys.end(Context.Key, *Context.Claim, Context.Outcome);
}

} // namespace pistachioflow
