#include "pistachioflow/filter/dispatch.hpp"

#include <algorithm>
#include <cmath>

namespace pistachioflow {

namespace {

constexpr double LearnWeight = 0.05;
/// Answers may well come in less than the usual time.
constexpr double ShortestPart = 0.5;
/// A refusal teaches nothing, so each one lowers the time that caused it: an
/// estimate that is too high must not refuse for ever.
constexpr double DecayOnRefusal = 0.95;
/// Below this part of its share, an instance may try runners that look full.
constexpr std::uint32_t StarvedPart = 4;

void average(double &Mean, double Value) {
  Mean = Mean == 0 ? Value : Mean + LearnWeight * (Value - Mean);
}

} // namespace

Dispatch::Dispatch(const DispatchSettings &Settings, std::uint64_t Seed)
    : Settings(Settings), Random(Seed), Queue(Settings.Queue) {}

void Dispatch::setRunners(std::span<const RunnerInfo> Listed) {
  for (RunnerState &Each : this->Runners)
    Each.Listed = false;
  for (const RunnerInfo &Info : Listed) {
    const auto [Place, New] =
        this->IndexOf.try_emplace(Info.Runner, this->Runners.size());
    if (New)
      this->Runners.emplace_back();
    RunnerState &Runner = this->Runners[Place->second];
    Runner.Info = Info;
    Runner.Listed = true;
  }
  std::erase_if(this->Runners, [](const RunnerState &Each) {
    return !Each.Listed && Each.Own == 0;
  });
  this->IndexOf.clear();
  for (std::size_t Index = 0; Index < this->Runners.size(); ++Index)
    this->IndexOf[this->Runners[Index].Info.Runner] = Index;
}

void Dispatch::setPeerLoads(std::vector<RunnerInFlight> Loads, Instant Now) {
  if (Loads == this->PeerLoads)
    return;
  this->PeerLoads = std::move(Loads);
  this->PeersRenewedAt = Now;
  for (RunnerState &Each : this->Runners)
    Each.Gossiped = 0;
  for (const RunnerInFlight &Load : this->PeerLoads) {
    const auto Found = this->IndexOf.find(Load.Runner);
    if (Found != this->IndexOf.end())
      this->Runners[Found->second].Gossiped += Load.Count;
  }
}

std::optional<ReasonCode> Dispatch::refuseEarly(RequestClass Class,
                                                Instant Deadline, Instant Now) {
  if (this->Runners.empty())
    return ReasonCode::RequestNoRunner;
  double WaitMs = 0;
  const std::size_t Ahead = this->Queue.ahead(Class);
  const Capacity Has = this->capacity();
  if (Ahead > 0 && Has.Slots > 0) {
    const double Part = static_cast<double>(Has.Slots) / this->Instances;
    WaitMs = static_cast<double>(Ahead) * this->UsualOfAllMs / Part;
  }
  const double NeedMs = WaitMs + ShortestPart * this->UsualMs[indexOf(Class)];
  if (static_cast<double>((Deadline - Now).Ms) >= NeedMs)
    return std::nullopt;
  this->UsualMs[indexOf(Class)] *= DecayOnRefusal;
  return ReasonCode::RequestRefusedDeadline;
}

DispatchResult Dispatch::enqueue(const WaitingRequest &Request, Instant Now) {
  DispatchResult Result;
  const auto Pushed = this->Queue.push(Request);
  if (!Pushed.Accepted)
    Result.Refusals.push_back(
        {Request.Ticket, ReasonCode::RequestRefusedQueueFull});
  if (Pushed.Evicted)
    Result.Refusals.push_back(
        {Pushed.Evicted->Ticket, ReasonCode::RequestRefusedQueueFull});
  this->pumpInto(Result, Now);
  return Result;
}

DispatchResult Dispatch::requeue(const WaitingRequest &Request, Instant Now) {
  DispatchResult Result;
  this->Queue.pushFront(Request);
  this->pumpInto(Result, Now);
  return Result;
}

DispatchResult Dispatch::finished(const FinishedExchange &End, Instant Now) {
  DispatchResult Result;
  const auto Found = this->IndexOf.find(End.Runner);
  if (Found == this->IndexOf.end())
    return Result;
  const double Usual = this->UsualMs[indexOf(End.Class)];
  const double TimesUsual = Usual > 0 ? End.TookMs / Usual : 1.0;
  --this->OwnTotal;
  if (!End.Tried) {
    --this->Runners[Found->second].Own;
    this->pumpInto(Result, Now);
    return Result;
  }
  const HealthChange Change =
      noteResult(this->Runners, Found->second, {End.State, TimesUsual, Now},
                 this->Settings.Routing);
  const RunnerState &Runner = this->Runners[Found->second];
  if (End.State == SendState::Answered &&
      Runner.Health == RunnerHealth::Healthy)
    this->learn(End.Class, End.TookMs);
  if (Change != HealthChange::None)
    Result.Changes.push_back({End.Runner, Change, Runner.Health});
  this->pumpInto(Result, Now);
  return Result;
}

DispatchResult Dispatch::pump(Instant Now) {
  DispatchResult Result;
  this->pumpInto(Result, Now);
  return Result;
}

std::vector<RunnerInFlight> Dispatch::ownLoads() const {
  std::vector<RunnerInFlight> Loads;
  for (const RunnerState &Each : this->Runners)
    if (Each.Own > 0)
      Loads.push_back({Each.Info.Runner, Each.Own});
  return Loads;
}

Duration Dispatch::shortest(RequestClass Class) const {
  return {std::llround(ShortestPart * this->UsualMs[indexOf(Class)])};
}

Dispatch::Capacity Dispatch::capacity() const {
  Capacity Sum;
  for (const RunnerState &Each : this->Runners) {
    if (!Each.Listed || Each.Info.Leaving ||
        Each.Health != RunnerHealth::Healthy)
      continue;
    Sum.Slots += Each.places();
    Sum.Free += std::max(0.0, Each.places() - Each.load());
  }
  return Sum;
}

void Dispatch::pumpInto(DispatchResult &Result, Instant Now) {
  if (this->Queue.size() == 0)
    return;
  std::array<Duration, RequestClasses> Shortest{};
  for (std::size_t Class = 0; Class < RequestClasses; ++Class)
    Shortest[Class] = this->shortest(static_cast<RequestClass>(Class));
  while (const auto Hopeless = this->Queue.takeHopeless(Now, Shortest)) {
    this->UsualMs[indexOf(Hopeless->Class)] *= DecayOnRefusal;
    Result.Refusals.push_back({Hopeless->Ticket});
  }
  setBacklogs(this->Runners, Now, this->Settings.Routing);
  estimatePeers(this->Runners, Now - this->PeersRenewedAt, this->UsualOfAllMs);
  while (const WaitingRequest *Due = this->Queue.peek()) {
    const auto Index = this->pickFor(*Due, Now);
    if (!Index)
      return;
    RunnerState &Runner = this->Runners[*Index];
    noteSent(Runner, Now);
    ++this->OwnTotal;
    Result.Grants.push_back({this->Queue.next().Ticket, Runner.Info.Runner});
  }
}

std::optional<std::size_t> Dispatch::pickFor(const WaitingRequest &Request,
                                             Instant Now) {
  const Capacity Has = this->capacity();
  const std::uint32_t Part =
      std::max((Has.Slots + this->Instances - 1) / this->Instances, 1U);
  const auto Kept =
      static_cast<std::uint32_t>(this->Settings.Reserve * Has.Slots);
  const bool Entitled = this->OwnTotal < Part;
  if (!Entitled && Has.Free <= Kept)
    return std::nullopt;
  RouteQuery Query{this->Settings.Domain,  Now,   this->UsualOfAllMs,
                   !Request.NonIdempotent, false, Request.Avoid};
  auto Picked =
      pickRunner(this->Runners, Query, this->Settings.Routing, this->Random);
  if (!Picked && !Request.Avoid.empty()) {
    Query.Avoid = {};
    Picked =
        pickRunner(this->Runners, Query, this->Settings.Routing, this->Random);
  }
  if (!Picked && this->OwnTotal < std::max(Part / StarvedPart, 1U)) {
    Query.EvenIfFull = true;
    Picked =
        pickRunner(this->Runners, Query, this->Settings.Routing, this->Random);
  }
  return Picked;
}

void Dispatch::learn(RequestClass Class, double TookMs) {
  average(this->UsualMs[indexOf(Class)], TookMs);
  average(this->UsualOfAllMs, TookMs);
}

} // namespace pistachioflow
