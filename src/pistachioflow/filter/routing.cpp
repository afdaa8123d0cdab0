#include "pistachioflow/filter/routing.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace pistachioflow {

namespace {

constexpr double SlownessWeight = 0.25;
constexpr std::uint32_t MostDoublings = 8;
/// An estimate may be above a whole number by this part of a slot.
constexpr double FullTolerance = 0.5;
constexpr double ShortestUsualMs = 20;
/// Every instance acts on the same counts, so a runner's load turns over
/// several times in the usual time of one request.
constexpr double TurnoverPerUsual = 4;

using Candidates = std::vector<std::size_t>;

bool isFull(const RunnerState &Runner) {
  return Runner.load() + 1 > Runner.places() + FullTolerance;
}

bool isStalled(const RunnerState &Runner, const RouteQuery &Query,
               const RoutingSettings &Settings) {
  if (Runner.Own == 0 || Query.UsualMs <= 0)
    return false;
  const Duration Silent = Query.Now - Runner.ProgressAt;
  return static_cast<double>(Silent.Ms) > Settings.StallFactor * Query.UsualMs;
}

double usedShare(const RunnerState &Runner) {
  return Runner.load() / static_cast<double>(std::max(Runner.Info.Slots, 1U));
}

/// Returns the least loaded candidate, of equals a random one. Precondition:
/// not empty.
std::size_t leastLoaded(std::span<const RunnerState> Runners,
                        const Candidates &From, std::mt19937_64 &Random) {
  std::uniform_int_distribution<std::size_t> Any(0, From.size() - 1);
  const std::size_t Start = Any(Random);
  std::size_t Best = From[Start];
  for (std::size_t Step = 1; Step < From.size(); ++Step) {
    const std::size_t Other = From[(Start + Step) % From.size()];
    if (usedShare(Runners[Other]) < usedShare(Runners[Best]))
      Best = Other;
  }
  return Best;
}

/// Returns a candidate on probation that waits for its probe, if any.
std::optional<std::size_t> probeOf(std::span<const RunnerState> Runners,
                                   const Candidates &From, Instant Now) {
  for (const std::size_t Index : From)
    if (onProbation(Runners[Index], Now))
      return Index;
  return std::nullopt;
}

double shareOf(std::span<const RunnerState> Runners, RunnerHealth Health) {
  const auto Count = std::count_if(
      Runners.begin(), Runners.end(),
      [Health](const RunnerState &Each) { return Each.Health == Health; });
  return static_cast<double>(Count + 1) / static_cast<double>(Runners.size());
}

bool mayEject(std::span<const RunnerState> Runners, RunnerHealth Health,
              const RoutingSettings &Settings) {
  const double Most = Health == RunnerHealth::EjectedSlow
                          ? Settings.MaxSlowShare
                          : Settings.MaxFailingShare;
  return shareOf(Runners, Health) <= Most;
}

HealthChange eject(RunnerState &Runner, RunnerHealth Health, Instant Now,
                   const RoutingSettings &Settings) {
  const std::uint32_t Doublings = std::min(Runner.Ejections, MostDoublings);
  const Duration Length =
      std::min(Settings.EjectFor * (std::int64_t{1} << Doublings),
               Settings.LongestEjection);
  Runner.Health = Health;
  Runner.EjectedUntil = Now + Length;
  Runner.GoodOnProbation = 0;
  ++Runner.Ejections;
  return HealthChange::Ejected;
}

HealthChange noteProbation(RunnerState &Runner, bool Good, Instant Now,
                           const RoutingSettings &Settings) {
  if (!Good)
    return eject(Runner, Runner.Health, Now, Settings);
  if (++Runner.GoodOnProbation < Settings.ProbationAnswers)
    return HealthChange::None;
  Runner.Health = RunnerHealth::Healthy;
  Runner.Ejections = 0;
  Runner.Samples = 0;
  Runner.Slowness = 1.0;
  return HealthChange::Returned;
}

} // namespace

bool onProbation(const RunnerState &Runner, Instant Now) {
  return Runner.Health != RunnerHealth::Healthy && Now >= Runner.EjectedUntil;
}

bool mayRoute(const RunnerState &Runner, const RouteQuery &Query) {
  if (!Runner.Listed || Runner.Info.Leaving || Runner.Info.Slots == 0)
    return false;
  if (!Query.Avoid.empty() && Runner.Info.Runner == Query.Avoid)
    return false;
  if (Runner.Health != RunnerHealth::Healthy)
    return Query.MayProbe && onProbation(Runner, Query.Now) && Runner.Own == 0;
  if (Query.Now < Runner.RefusedUntil)
    return false;
  if (Query.EvenIfFull)
    return Runner.Own < Runner.places();
  return !isFull(Runner);
}

std::optional<std::size_t> pickRunner(std::span<const RunnerState> Runners,
                                      const RouteQuery &Query,
                                      const RoutingSettings &Settings,
                                      std::mt19937_64 &Random) {
  Candidates Near;
  Candidates Any;
  Candidates Stalled;
  for (std::size_t Index = 0; Index < Runners.size(); ++Index) {
    const RunnerState &Runner = Runners[Index];
    if (!mayRoute(Runner, Query))
      continue;
    if (isStalled(Runner, Query, Settings)) {
      Stalled.push_back(Index);
      continue;
    }
    Any.push_back(Index);
    if (Runner.Info.Domain == Query.Near)
      Near.push_back(Index);
  }
  if (Query.MayProbe)
    if (const auto Probe = probeOf(Runners, Any, Query.Now))
      return Probe;
  if (Any.empty())
    return Stalled.empty()
               ? std::nullopt
               : std::optional(leastLoaded(Runners, Stalled, Random));
  if (Query.EvenIfFull)
    return leastLoaded(Runners, Any, Random);
  const std::size_t Far = leastLoaded(Runners, Any, Random);
  if (Near.empty())
    return Far;
  const std::size_t Close = leastLoaded(Runners, Near, Random);
  const bool Waits =
      Runners[Close].load() > Runners[Far].load() + Settings.LocalBias;
  return Waits ? Far : Close;
}

void setBacklogs(std::span<RunnerState> Runners, Instant Now,
                 const RoutingSettings &Settings) {
  for (RunnerState &Each : Runners)
    Each.Backlog = Now < Each.NoBacklogUntil ? 0 : Settings.Backlog;
}

void estimatePeers(std::span<RunnerState> Runners, Duration Age,
                   double UsualMs) {
  if (Runners.empty())
    return;
  double Sum = 0;
  for (const RunnerState &Each : Runners)
    Sum += Each.Gossiped;
  const double Mean = Sum / static_cast<double>(Runners.size());
  const double Weight =
      std::exp(-static_cast<double>(Age.Ms) * TurnoverPerUsual /
               std::max(UsualMs, ShortestUsualMs));
  for (RunnerState &Each : Runners)
    Each.Peers = Mean + Weight * (Each.Gossiped - Mean);
}

void noteSent(RunnerState &Runner, Instant Now) {
  if (Runner.Own == 0)
    Runner.ProgressAt = Now;
  ++Runner.Own;
}

HealthChange noteResult(std::span<RunnerState> Runners, std::size_t Index,
                        const ExchangeResult &Result,
                        const RoutingSettings &Settings) {
  RunnerState &Runner = Runners[Index];
  --Runner.Own;
  if (Result.State == SendState::RefusedBusy) {
    const std::uint32_t Slots = Runner.Info.Slots;
    Runner.RefusedUntil = Result.Now + Settings.AfterRefusal;
    Runner.NoBacklogUntil = Result.Now + Settings.NoBacklogAfterRefusal;
    Runner.Gossiped =
        std::max(Runner.Gossiped, Slots - std::min(Slots, Runner.Own));
    return HealthChange::None;
  }
  const bool Answered = Result.State == SendState::Answered;
  if (Answered)
    Runner.ProgressAt = Result.Now;
  Runner.FailuresInRow = Answered ? 0 : Runner.FailuresInRow + 1;
  if (onProbation(Runner, Result.Now)) {
    const bool Good = Answered && Result.TimesUsual < Settings.SlowFactor;
    return noteProbation(Runner, Good, Result.Now, Settings);
  }
  if (Runner.Health != RunnerHealth::Healthy)
    return HealthChange::None;
  if (Answered) {
    ++Runner.Samples;
    Runner.Slowness += SlownessWeight * (Result.TimesUsual - Runner.Slowness);
  }
  const bool Failing = Runner.FailuresInRow >= Settings.FailuresToEject;
  const bool Slow = Runner.Samples >= Settings.SlowSamples &&
                    Runner.Slowness > Settings.SlowFactor;
  const auto Health =
      Failing ? RunnerHealth::EjectedFailing : RunnerHealth::EjectedSlow;
  if ((Failing || Slow) && mayEject(Runners, Health, Settings))
    return eject(Runner, Health, Result.Now, Settings);
  return HealthChange::None;
}

} // namespace pistachioflow
