#include "pistachioflow/policy/checker.hpp"

#include <algorithm>

namespace pistachioflow::policy {

namespace {

bool isAboutWorkers(const Action &Chosen) {
  return std::holds_alternative<QuarantineWorker>(Chosen) ||
         std::holds_alternative<ReleaseWorker>(Chosen) ||
         std::holds_alternative<AssignHomes>(Chosen);
}

/// Tells whether the decision may be due to a missing list entry.
bool mayLackLines(const Action &Chosen) {
  return std::holds_alternative<RefuseJob>(Chosen) ||
         std::holds_alternative<StopGang>(Chosen) ||
         std::holds_alternative<EndJob>(Chosen);
}

} // namespace

void Checker::checkReason(const Decision &Made, Instant At) {
  const std::string Index = std::to_string(Made.What.index());
  if (Made.Why.Code == ReasonCode::None)
    this->fail(At, "every decision has a code", "action " + Index);
  if (Made.Why.Numbers.empty())
    this->fail(At, "every decision has numbers", "action " + Index);
  if (Made.Why.PassedOver.empty())
    this->fail(At, "every decision names what it passed over",
               "action " + Index);
  if (Made.Why.Entries.empty() && !isAboutWorkers(Made.What))
    this->fail(At, "every decision names lines of the lists",
               "action " + Index);
  for (const EntryRef &Entry : Made.Why.Entries)
    this->checkEntry(Entry, Made, At);
}

void Checker::checkEntry(const EntryRef &Entry, const Decision &Made,
                         Instant At) {
  const bool IsPlan = Entry.List == ListKind::Plans;
  const Revision Now =
      IsPlan ? this->Configuration.Plans.At : this->Configuration.Limits.At;
  if (Entry.At != Now)
    this->fail(At, "lines are named at the revision in force", Entry.Key);
  const auto IsPlanLine = [&](const PlanEntry &Line) {
    return Line.Workspace.Value == Entry.Key;
  };
  const auto IsLimitsLine = [&](const LimitsEntry &Line) {
    return Line.Plan.Value == Entry.Key;
  };
  const bool Exists =
      IsPlan
          ? std::ranges::any_of(this->Configuration.Plans.Entries, IsPlanLine)
          : std::ranges::any_of(this->Configuration.Limits.Entries,
                                IsLimitsLine);
  if (!Exists && !mayLackLines(Made.What))
    this->fail(At, "named lines exist", Entry.Key);
}

std::map<WorkerId, Checker::Use>
Checker::freeInHomes(const WorkspaceId &Workspace) const {
  std::map<WorkerId, Use> Available;
  const auto Add = [&Available](const WorkerId &On, const Use &Part, int Sign) {
    Use &Sum = Available[On];
    Sum.Accelerators += Sign * Part.Accelerators;
    Sum.Cores += Sign * Part.Cores;
    Sum.MemoryMb += Sign * Part.MemoryMb;
  };
  for (const Home &GangHome : this->Homes)
    if (GangHome.Workspace == Workspace)
      for (const Placement &Place : GangHome.Placements)
        Add(Place.Worker, share(GangHome.Shape, Place.Tasks), 1);
  for (const JobId &Name : this->Active) {
    const Job &Gang = this->Jobs.at(Name);
    if (Gang.Borrowed || Gang.Spec.Workspace != Workspace)
      continue;
    for (const Placement &Place : Gang.At)
      Add(Place.Worker, share(Gang.Spec.Shape, Place.Tasks), -1);
  }
  return Available;
}

/// Marks every active gang as borrowed. After homes have moved,
/// compare() takes from the state which gangs use a home.
void Checker::assumeAllBorrowed() {
  for (const JobId &Name : this->Active)
    this->Jobs.at(Name).Borrowed = true;
}

void Checker::checkHomes(Instant At) {
  std::map<WorkerId, Use> Promised;
  for (const Home &GangHome : this->Homes)
    for (const Placement &Place : GangHome.Placements) {
      const Use Part = share(GangHome.Shape, Place.Tasks);
      Use &Sum = Promised[Place.Worker];
      Sum.Accelerators += Part.Accelerators;
      Sum.Cores += Part.Cores;
      Sum.MemoryMb += Part.MemoryMb;
    }
  for (const auto &[Name, Sum] : Promised) {
    const auto On = this->Workers.find(Name);
    if (On == this->Workers.end() || On->second.Lost ||
        On->second.Quarantined) {
      this->fail(At, "homes are on usable workers", Name.Value);
      continue;
    }
    const WorkerInfo &Info = On->second.Info;
    if (!within(Sum, {Info.Accelerators, Info.Cores, Info.MemoryMb}))
      this->fail(At, "homes fit their workers together", Name.Value);
  }
  for (const PlanEntry &Plan : this->Configuration.Plans.Entries) {
    const LimitsEntry *Limits = this->limitsOf(Plan.Workspace);
    if (!Limits || this->Workers.empty())
      continue;
    for (const Guarantee &Promise : Limits->Guarantees) {
      const auto Serves = [&](const auto &Line) {
        return Line.Workspace == Plan.Workspace && Line.Shape == Promise.Shape;
      };
      const auto Count = std::ranges::count_if(this->Homes, Serves) +
                         std::ranges::count_if(this->AtRisk, Serves);
      if (Count < std::int64_t{Promise.Count})
        this->fail(At, "every guarantee has its homes or is reported",
                   Plan.Workspace.Value);
    }
  }
}

void Checker::checkCeilings(Instant At) {
  std::map<WorkspaceId, std::int64_t> Staying;
  for (const JobId &Name : this->Active) {
    const Job &Gang = this->Jobs.at(Name);
    if (!Gang.Stopping && !Gang.Reclaimed)
      Staying[Gang.Spec.Workspace] += Gang.Spec.Shape.accelerators();
  }
  for (const auto &[Workspace, Used] : Staying) {
    const LimitsEntry *Limits = this->limitsOf(Workspace);
    if (Used > (Limits ? std::int64_t{Limits->CeilingAccelerators} : 0))
      this->fail(At, "nobody stays above a ceiling", Workspace.Value);
  }
}

std::vector<GangShape>
Checker::idleHomeShapes(const WorkspaceId &Workspace) const {
  const auto Available = this->freeInHomes(Workspace);
  std::vector<GangShape> Shapes;
  for (const Home &GangHome : this->Homes) {
    const auto HasCapacity = [&](const Placement &Place) {
      return within(share(GangHome.Shape, Place.Tasks),
                    Available.at(Place.Worker));
    };
    if (GangHome.Workspace == Workspace &&
        std::ranges::all_of(GangHome.Placements, HasCapacity))
      Shapes.push_back(GangHome.Shape);
  }
  return Shapes;
}

void Checker::checkReclaims(const CellState &State, Instant At) {
  std::map<WorkspaceId, std::vector<GangShape>> Idle;
  for (const Home &GangHome : this->Homes)
    if (!Idle.contains(GangHome.Workspace))
      Idle[GangHome.Workspace] = this->idleHomeShapes(GangHome.Workspace);
  std::set<WorkspaceId> Open;
  for (const JobId &Name : this->Waiting) {
    const Job &Waits = this->Jobs.at(Name);
    const auto Shapes = Idle.find(Waits.Spec.Workspace);
    if (Shapes == Idle.end() ||
        std::ranges::find(Shapes->second, Waits.Spec.Shape) ==
            Shapes->second.end())
      continue;
    const auto Known = State.Jobs.find(Name);
    if (!Waits.Cancelled && Known != State.Jobs.end() &&
        Known->second.NotBefore <= At && Known->second.FailedOn.empty())
      Open.insert(Waits.Spec.Workspace);
  }
  std::erase_if(this->WaitingSince, [&Open](const auto &Entry) {
    return !Open.contains(Entry.first);
  });
  for (const WorkspaceId &Workspace : Open) {
    const Instant Since =
        this->WaitingSince.try_emplace(Workspace, At).first->second;
    const Duration Waited = At - Since;
    this->LongestReclaim = std::max(this->LongestReclaim, Waited);
    if (Waited > this->Prefer.ReclaimDeadline)
      this->fail(At, "a guaranteed shape is taken within the deadline",
                 Workspace.Value);
  }
}

void Checker::compare(const CellState &State, Instant At) {
  for (const JobId &Name : this->Active) {
    const auto Known = State.Jobs.find(Name);
    if (Known == State.Jobs.end() ||
        Known->second.Placements != this->Jobs.at(Name).At) {
      this->fail(At, "the state knows every active gang", Name.Value);
      continue;
    }
    this->Jobs.at(Name).Borrowed = Known->second.Borrowed;
    this->Jobs.at(Name).Reclaimed = !Known->second.Reclaim.For.empty();
  }
  for (const PlanEntry &Plan : this->Configuration.Plans.Entries)
    for (const auto &[On, Left] : this->freeInHomes(Plan.Workspace))
      if (!within({}, Left))
        this->fail(At, "gangs that do not borrow stay in their homes",
                   Plan.Workspace.Value + " on " + On.Value);
}

void Checker::checkState(const CellState &State, Instant At) {
  this->compare(State, At);
  this->checkHomes(At);
  this->checkCeilings(At);
  this->checkReclaims(State, At);
}

} // namespace pistachioflow::policy
