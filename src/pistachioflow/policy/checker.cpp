#include "pistachioflow/policy/checker.hpp"

#include <algorithm>

namespace pistachioflow::policy {

namespace {

/// Overload set for std::visit.
template <typename... Fs> struct Cases : Fs... { using Fs::operator()...; };
template <typename... Fs> Cases(Fs...) -> Cases<Fs...>;

} // namespace

void Checker::fail(Instant At, const std::string &Rule,
                   const std::string &Observed) {
  this->Violations.push_back(
      {"at " + std::to_string(At.Ms) + " ms", Rule, Observed});
}

Checker::Use Checker::share(const GangShape &Shape, std::int64_t Tasks) {
  return {Shape.AcceleratorsPerTask * Tasks, Shape.CoresPerTask * Tasks,
          Shape.MemoryMbPerTask * Tasks};
}

bool Checker::within(const Use &Part, const Use &Whole) {
  return Part.Accelerators <= Whole.Accelerators && Part.Cores <= Whole.Cores &&
         Part.MemoryMb <= Whole.MemoryMb;
}

Checker::Job *Checker::attempt(const JobId &Name, Attempt Try) {
  const auto Known = this->Jobs.find(Name);
  if (Known == this->Jobs.end() || !Known->second.Active ||
      Known->second.Try != Try)
    return nullptr;
  return &Known->second;
}

const LimitsEntry *Checker::limitsOf(const WorkspaceId &Workspace) const {
  for (const PlanEntry &Plan : this->Configuration.Plans.Entries)
    for (const LimitsEntry &Limits : this->Configuration.Limits.Entries)
      if (Plan.Workspace == Workspace && Limits.Plan == Plan.Plan)
        return &Limits;
  return nullptr;
}

Checker::Use Checker::useOf(const Worker &On) const {
  Use Sum;
  for (const JobId &Name : On.Gangs) {
    const Job &Gang = this->Jobs.at(Name);
    for (const Placement &Place : Gang.At) {
      if (Place.Worker != On.Info.Worker)
        continue;
      const Use Part = share(Gang.Spec.Shape, Place.Tasks);
      Sum.Accelerators += Part.Accelerators;
      Sum.Cores += Part.Cores;
      Sum.MemoryMb += Part.MemoryMb;
    }
  }
  return Sum;
}

void Checker::leave(Job &Gang) {
  for (const Placement &Place : Gang.At)
    if (const auto On = this->Workers.find(Place.Worker);
        On != this->Workers.end())
      On->second.Gangs.erase(Gang.Spec.Job);
  this->Active.erase(Gang.Spec.Job);
  Gang.At.clear();
  Gang.Active = Gang.Stopping = Gang.Reclaimed = Gang.Borrowed = false;
}

void Checker::requeueOrEnd(Job &Gang, bool Ends) {
  this->leave(Gang);
  Gang.Ended = Ends || Gang.Cancelled;
  if (!Gang.Ended)
    this->Waiting.insert(Gang.Spec.Job);
}

void Checker::observeEvent(const Event &Fact, Instant) {
  std::visit(Cases{
                 [&](const ListsChanged &Received) {
                   this->Configuration = Received.Now;
                 },
                 [&](const WorkerJoined &Received) {
                   Worker &On = this->Workers[Received.Worker.Worker];
                   On.Info = Received.Worker;
                   On.Lost = false;
                 },
                 [&](const WorkerLost &Received) {
                   if (const auto On = this->Workers.find(Received.Worker);
                       On != this->Workers.end())
                     On->second.Lost = true;
                 },
                 [&](const JobSubmitted &Received) {
                   this->Jobs.try_emplace(Received.Spec.Job,
                                          Job{.Spec = Received.Spec});
                 },
                 [&](const JobCancelled &Received) {
                   if (const auto Known = this->Jobs.find(Received.Job);
                       Known != this->Jobs.end())
                     Known->second.Cancelled = true;
                 },
                 [&](const GangStarted &) {},
                 [&](const GangRefused &Received) {
                   if (Job *Gang = this->attempt(Received.Job, Received.Try))
                     this->requeueOrEnd(*Gang, false);
                 },
                 [&](const GangFinished &Received) {
                   if (Job *Gang = this->attempt(Received.Job, Received.Try))
                     this->requeueOrEnd(*Gang, true);
                 },
                 [&](const GangFailed &Received) {
                   if (Job *Gang = this->attempt(Received.Job, Received.Try))
                     this->requeueOrEnd(*Gang, false);
                 },
                 [&](const GangStopped &Received) {
                   if (Job *Gang = this->attempt(Received.Job, Received.Try))
                     this->requeueOrEnd(*Gang, false);
                 },
                 [&](const CheckpointTaken &) {},
                 [&](const UsageReported &) {},
                 [&](const TimePassed &) {},
             },
             Fact);
}

void Checker::checkAdjacency(const StartGang &Start, const GangShape &Shape,
                             Instant At) {
  std::set<WorkerId> On;
  std::set<DomainId> Domains;
  std::map<std::uint32_t, RackId> Racks;
  for (const Placement &Place : Start.Placements) {
    const WorkerInfo &Info = this->Workers.at(Place.Worker).Info;
    On.insert(Info.Worker);
    Domains.insert(Info.Domain);
    Racks[Info.RackPosition] = Info.Rack;
  }
  const bool OneDomain = Domains.size() == 1;
  const bool OneRack = OneDomain && Racks.size() == 1;
  const std::uint32_t Span = Racks.rbegin()->first - Racks.begin()->first + 1;
  const bool Neighbours = OneDomain && Span == Racks.size();
  const bool Holds =
      Shape.RequiredAdjacency == Adjacency::SameWorker       ? On.size() == 1
      : Shape.RequiredAdjacency == Adjacency::SameRack       ? OneRack
      : Shape.RequiredAdjacency == Adjacency::NeighbourRacks ? Neighbours
                                                             : OneDomain;
  if (!Holds)
    this->fail(At, "a gang runs as near as it asks", Start.Job.Value);
}

void Checker::checkStart(const StartGang &Start, Instant At) {
  const auto Known = this->Jobs.find(Start.Job);
  if (Known == this->Jobs.end())
    return this->fail(At, "only submitted jobs start", Start.Job.Value);
  Job &Gang = Known->second;
  if (!Gang.Admitted || Gang.Active || Gang.Ended || Gang.Cancelled ||
      Start.Try != Gang.Try + 1)
    return this->fail(At, "only queued jobs start, once", Start.Job.Value);
  std::uint32_t Tasks = 0;
  for (const Placement &Place : Start.Placements) {
    const auto On = this->Workers.find(Place.Worker);
    if (On == this->Workers.end() || On->second.Lost || On->second.Quarantined)
      return this->fail(At, "tasks start on usable workers", Start.Job.Value);
    Tasks += Place.Tasks;
  }
  if (Tasks != Gang.Spec.Shape.Tasks)
    return this->fail(At, "a gang starts whole", Start.Job.Value);
  this->checkAdjacency(Start, Gang.Spec.Shape, At);
  if (!Start.Borrowed) {
    auto Available = this->freeInHomes(Gang.Spec.Workspace);
    for (const Placement &Place : Start.Placements)
      if (!within(share(Gang.Spec.Shape, Place.Tasks), Available[Place.Worker]))
        this->fail(At, "a guaranteed gang stays in its homes", Start.Job.Value);
  }
  Gang.Active = true;
  Gang.Borrowed = Start.Borrowed;
  Gang.Try = Start.Try;
  Gang.At = Start.Placements;
  this->Active.insert(Start.Job);
  this->Waiting.erase(Start.Job);
  if (!Start.Borrowed)
    this->WaitingSince.erase(Gang.Spec.Workspace);
  for (const Placement &Place : Start.Placements) {
    Worker &On = this->Workers.at(Place.Worker);
    On.Gangs.insert(Start.Job);
    const WorkerInfo &Info = On.Info;
    if (!within(this->useOf(On),
                {Info.Accelerators, Info.Cores, Info.MemoryMb}))
      this->fail(At, "nothing of a worker is given twice", Place.Worker.Value);
  }
  std::int64_t Used = 0;
  for (const JobId &Name : this->Active)
    if (this->Jobs.at(Name).Spec.Workspace == Gang.Spec.Workspace)
      Used += this->Jobs.at(Name).Spec.Shape.accelerators();
  const LimitsEntry *Limits = this->limitsOf(Gang.Spec.Workspace);
  if (!Limits || Used > Limits->CeilingAccelerators)
    this->fail(At, "no start goes above a ceiling", Start.Job.Value);
}

void Checker::checkPreemption(const JobId &Name, Attempt Try, const JobId &For,
                              Instant At) {
  Job *Gang = this->attempt(Name, Try);
  if (!Gang)
    return this->fail(At, "only active gangs are stopped", Name.Value);
  if (For.empty())
    return;
  if (!Gang->Borrowed)
    this->fail(At, "guaranteed use is never preempted", Name.Value);
  if (!this->Waiting.contains(For) && For != Name)
    this->fail(At, "gangs are preempted for waiting jobs", For.Value);
  Gang->Reclaimed = true;
}

void Checker::checkDecision(const Decision &Made, Instant At) {
  this->checkReason(Made, At);
  std::visit(Cases{
                 [&](const AdmitJob &Chosen) {
                   this->Jobs.at(Chosen.Job).Admitted = true;
                   this->Waiting.insert(Chosen.Job);
                 },
                 [&](const RefuseJob &Chosen) {
                   Job &Refused = this->Jobs.at(Chosen.Job);
                   if (Made.Why.Code != ReasonCode::RefusedDuplicateJob)
                     Refused.Ended = true;
                 },
                 [&](const StartGang &Chosen) { this->checkStart(Chosen, At); },
                 [&](const CheckpointGang &Chosen) {
                   this->checkPreemption(Chosen.Job, Chosen.Try,
                                         Chosen.Beneficiary, At);
                 },
                 [&](const StopGang &Chosen) {
                   this->checkPreemption(Chosen.Job, Chosen.Try,
                                         Chosen.Beneficiary, At);
                   if (Job *Gang = this->attempt(Chosen.Job, Chosen.Try))
                     Gang->Stopping = true;
                 },
                 [&](const ThrottleGang &Chosen) {
                   if (!this->attempt(Chosen.Job, Chosen.Try))
                     this->fail(At, "only active gangs are throttled",
                                Chosen.Job.Value);
                 },
                 [&](const EndJob &Chosen) {
                   Job &Ended = this->Jobs.at(Chosen.Job);
                   if (Ended.Active || Ended.Ended)
                     this->fail(At, "only queued jobs are ended",
                                Chosen.Job.Value);
                   Ended.Ended = true;
                   this->Waiting.erase(Chosen.Job);
                 },
                 [&](const ReserveCapacity &) {},
                 [&](const QuarantineWorker &Chosen) {
                   this->Workers.at(Chosen.Worker).Quarantined = true;
                 },
                 [&](const ReleaseWorker &Chosen) {
                   this->Workers.at(Chosen.Worker).Quarantined = false;
                 },
                 [&](const AssignHomes &Chosen) {
                   this->Homes = Chosen.Homes;
                   this->AtRisk.clear();
                   if (Made.Why.Code == ReasonCode::HomesAssigned)
                     this->WaitingSince.clear();
                   this->assumeAllBorrowed();
                 },
                 [&](const ReportGuaranteeAtRisk &Chosen) {
                   this->AtRisk.push_back(Chosen);
                 },
             },
             Made.What);
}

} // namespace pistachioflow::policy
