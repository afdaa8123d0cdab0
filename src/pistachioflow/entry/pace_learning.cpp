#include "pistachioflow/entry/pace_learning.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

namespace pistachioflow {

namespace {

/// Less progress, or a shorter time, is measured too coarsely.
constexpr std::int64_t MinProgressPercent = 20;
constexpr std::int64_t WholePercent = 100;
constexpr Duration MinWorkTime{300};
/// Below this, a measured spread is not told from chance.
constexpr double MinSpread = 1.25;

std::string stepName(const Unit &Entry) {
  return Entry.ParentJob->Id + "." + std::to_string(Entry.Occurrence) + "." +
         std::to_string(Entry.Step);
}

/// When the newest member began to run, so that the unit began to work.
Instant workStart(const Unit &Entry) {
  return std::ranges::max_element(Entry.Members, {}, &Member::PhaseSince)
      ->PhaseSince;
}

/// Whether the speed of a run on the worker can be compared with that of its
/// siblings: it began from the start, and runs where it was meant to.
bool isComparable(const Unit &Entry, const WorkerLink &Worker) {
  const StepSpec &Step = Entry.spec();
  const bool OffDataRack =
      !Step.DataRack.empty() && rackOf(Worker.Entry) != Step.DataRack;
  return Entry.FromScratch && !Step.LongRunning && !OffDataRack &&
         Worker.Entry.ColdRemainingMs <= 0;
}

void learn(PaceModel &Model, const JobTable &Table, const WorkerLink &Worker,
           const Unit &Entry, double LogSpeed, Instant Now) {
  const std::string_view Kind = taskKindOf(Entry);
  const TaskKinds Own = bitOfKind(indexOfKind(Model, Kind));
  const std::string Step = stepName(Entry);
  learnSpeed(Model,
             {Step, Worker.Id, Worker.IncarnationStartMs, Kind,
              taskKindsOn(Table, Model, Worker.Id) & ~Own, LogSpeed},
             Now);
}

double logSpeed(std::int64_t Percent, Duration Elapsed) {
  return std::log(static_cast<double>(Percent) /
                  static_cast<double>(std::max<std::int64_t>(Elapsed.Ms, 1)));
}

} // namespace

std::optional<PacePlacement> parsePacePlacement(std::string_view Name) {
  if (Name == "off")
    return PacePlacement::Off;
  if (Name == "auto")
    return PacePlacement::Auto;
  if (Name == "on")
    return PacePlacement::On;
  return std::nullopt;
}

std::string_view taskKindOf(const Unit &Entry) {
  const std::string &Image = Entry.spec().Image;
  return Image.empty() ? Entry.ParentJob->Submission.Queue : Image;
}

TaskKinds taskKindsOn(const JobTable &Table, const PaceModel &Model,
                      std::string_view Worker) {
  TaskKinds Kinds = 0;
  for (const MemberRef &Ref : Table.membersOn(Worker))
    Kinds |= bitOfKind(findKind(Model, taskKindOf(*Ref.ParentUnit)));
  return Kinds;
}

void learnFromProgress(PaceModel &Model, const JobTable &Table,
                       const WorkerLink &Worker, Instant Now) {
  for (const MemberRef &Ref : Table.membersOn(Worker.Id)) {
    const Unit &Entry = *Ref.ParentUnit;
    Member &Running = Ref.member();
    const bool Measurable = !Running.SpeedLearned &&
                            Running.ReportedAt == Now &&
                            Running.ProgressPercent >= MinProgressPercent &&
                            Running.ProgressPercent < WholePercent;
    if (!Measurable || !Entry.allRunning() || !isComparable(Entry, Worker))
      continue;
    const Duration Elapsed = Now - workStart(Entry);
    if (Elapsed < MinWorkTime)
      continue;
    Running.SpeedLearned = true;
    learn(Model, Table, Worker, Entry,
          logSpeed(Running.ProgressPercent, Elapsed), Now);
  }
}

bool paceDecides(PacePlacement Mode, const DesiredState &Desired,
                 std::string_view Service, double Spread) {
  if (Mode != PacePlacement::Auto)
    return Mode == PacePlacement::On;
  double LeastStretch = std::numeric_limits<double>::infinity();
  for (const QueueConfig &Queue : Desired.Queues)
    if (Queue.Terms.Service == Service)
      LeastStretch = std::min(LeastStretch, Queue.Terms.Stretch);
  return Spread > std::max(LeastStretch, MinSpread);
}

} // namespace pistachioflow
