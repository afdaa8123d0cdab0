#include "pistachioflow/sched/worker_pace.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <span>

namespace pistachioflow {

namespace {

/// Paces change as other work comes and goes.
constexpr Duration PaceHalfLife{30'000};
/// Kinds of work keep their effects on each other for longer.
constexpr Duration KindHalfLife{120'000};
/// Steps rarely take longer between two samples.
constexpr Duration StepLifetime{60'000};
/// Weight of the assumption that a worker is like the others.
constexpr double PacePrior = 0.5;
/// Weight of the assumption that kinds of work do not affect each other.
constexpr double KindPrior = 10;
/// Below this weight nothing is concluded about kinds of work.
constexpr double MinKindWeight = 10;
/// Smaller effects are not told from chance.
constexpr double MinSlowdown = 0.1;
/// Fewer workers don't tell which of them is usual.
constexpr std::size_t MinWorkers = 3;
constexpr std::size_t MaxSamplesPerStep = 64;
constexpr std::size_t MaxSteps = 512;
/// Larger differences are faults of workers or of tasks.
constexpr double MaxDeviation = 1.5;
/// \name Of a spread
/// @{
/// One sample, somewhat aged.
constexpr double MinSpreadWeight = 0.7;
/// Two samples, somewhat aged: these show how much runs differ by chance.
constexpr double MinVarianceWeight = 1.4;
constexpr double MinSpreadWorkers = 20;
/// Degrees of freedom that the chance is estimated from.
constexpr double MinFreedom = 10;
/// Standard deviations from the median to the slowest tenth of a normal
/// distribution.
constexpr double SlowestTenthDeviations = 1.28;
/// @}

std::size_t countWorkers(const PaceModel::StepSpeeds &Step) {
  std::set<std::string_view> Workers;
  for (const PaceModel::StepSample &Sample : Step.Samples)
    Workers.insert(Sample.Worker);
  return Workers.size();
}

double decayFactor(Duration Age, Duration HalfLife) {
  const double HalfLives = static_cast<double>(std::max(Age, Duration{}).Ms) /
                           static_cast<double>(HalfLife.Ms);
  return std::exp2(-HalfLives);
}

void decay(DecayingMean &Mean, Duration HalfLife, Instant Now) {
  const double Factor = decayFactor(Now - Mean.At, HalfLife);
  Mean.Sum *= Factor;
  Mean.SquareSum *= Factor;
  Mean.Weight *= Factor;
  Mean.At = std::max(Mean.At, Now);
}

void add(DecayingMean &Mean, double Value, double Weight, Duration HalfLife,
         Instant Now) {
  decay(Mean, HalfLife, Now);
  Mean.Sum += Value * Weight;
  Mean.SquareSum += Value * Value * Weight;
  Mean.Weight += Weight;
}

double medianOf(std::vector<double> &Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::ranges::nth_element(Values, Middle);
  return *Middle;
}

/// Returns the speed that a worker of average pace would show in a step.
double typicalSpeed(const PaceModel &Model,
                    std::span<const PaceModel::StepSample> Samples,
                    Instant Now) {
  std::vector<double> Adjusted;
  Adjusted.reserve(Samples.size());
  for (const PaceModel::StepSample &Sample : Samples)
    Adjusted.push_back(Sample.LogSpeed - logPace(Model, Sample.Worker,
                                                 Sample.IncarnationStartMs,
                                                 Now));
  return medianOf(Adjusted);
}

/// Learns how a kind fares beside others from what a worker's pace leaves
/// unexplained.
void learnResidual(PaceModel &Model, const PaceModel::StepSample &Sample,
                   double Residual, Instant Now) {
  if (Sample.Kind >= MaxTaskKinds)
    return;
  PaceModel::KindResiduals &Residuals = Model.Residuals[Sample.Kind];
  if (Sample.Beside == 0)
    add(Residuals.Alone, Residual, 1, KindHalfLife, Now);
  for (std::size_t Other = 0; Other < Model.Kinds.size(); ++Other)
    if ((Sample.Beside & bitOfKind(Other)) != 0)
      add(Residuals.Beside[Other], Residual, 1, KindHalfLife, Now);
}

/// Learns a worker's pace from sample \p Index of a step.
void learnPace(PaceModel &Model, const PaceModel::StepSpeeds &Step,
               std::size_t Index, Instant Now) {
  const PaceModel::StepSample &Sample = Step.Samples[Index];
  const double Deviation =
      std::clamp(Sample.LogSpeed - typicalSpeed(Model, Step.Samples, Now),
                 -MaxDeviation, MaxDeviation);
  const double Known =
      logPace(Model, Sample.Worker, Sample.IncarnationStartMs, Now);
  learnResidual(Model, Sample, Deviation - Known, Now);
  PaceModel::WorkerPace &Pace = Model.Workers[Sample.Worker];
  if (Pace.IncarnationStartMs != Sample.IncarnationStartMs)
    Pace = {Sample.IncarnationStartMs, {}};
  // Runs of one step on one worker tell the same: only the first counts.
  const auto Earlier = std::span(Step.Samples).first(Index);
  if (std::ranges::find(Earlier, Sample.Worker,
                        &PaceModel::StepSample::Worker) != Earlier.end())
    return;
  add(Pace.LogPace, Deviation, 1, PaceHalfLife, Now);
}

double slowdown(const PaceModel &Model, std::size_t Kind, std::size_t Other) {
  const auto Known = Model.Residuals.find(Kind);
  if (Known == Model.Residuals.end())
    return 0;
  const auto Beside = Known->second.Beside.find(Other);
  const DecayingMean &Alone = Known->second.Alone;
  if (Beside == Known->second.Beside.end() || Alone.Weight < MinKindWeight ||
      Beside->second.Weight < MinKindWeight)
    return 0;
  const double Slower = Alone.mean(KindPrior) - Beside->second.mean(KindPrior);
  return Slower < MinSlowdown ? 0 : Slower;
}

} // namespace

std::size_t findKind(const PaceModel &Model, std::string_view Kind) {
  const auto Known = std::ranges::find(Model.Kinds, Kind);
  return Known == Model.Kinds.end()
             ? MaxTaskKinds
             : static_cast<std::size_t>(Known - Model.Kinds.begin());
}

std::size_t indexOfKind(PaceModel &Model, std::string_view Kind) {
  const std::size_t Known = findKind(Model, Kind);
  if (Known != MaxTaskKinds || Model.Kinds.size() == MaxTaskKinds)
    return Known;
  Model.Kinds.emplace_back(Kind);
  return Model.Kinds.size() - 1;
}

TaskKinds bitOfKind(std::size_t Kind) {
  return Kind < MaxTaskKinds ? TaskKinds{1} << Kind : 0;
}

void learnSpeed(PaceModel &Model, const SpeedSample &Sample, Instant Now) {
  if (Model.Steps.size() >= MaxSteps && !Model.Steps.contains(Sample.Step))
    return;
  PaceModel::StepSpeeds &Step = Model.Steps[std::string(Sample.Step)];
  if (Step.Samples.size() >= MaxSamplesPerStep)
    Step.Samples.erase(Step.Samples.begin());
  const bool HadEnough = countWorkers(Step) >= MinWorkers;
  Step.LatestAt = Now;
  Step.Samples.push_back({std::string(Sample.Worker), Sample.IncarnationStartMs,
                          indexOfKind(Model, Sample.Kind), Sample.Beside,
                          Sample.LogSpeed});
  if (countWorkers(Step) < MinWorkers)
    return;
  const std::size_t First = HadEnough ? Step.Samples.size() - 1 : 0;
  for (std::size_t Index = First; Index < Step.Samples.size(); ++Index)
    learnPace(Model, Step, Index, Now);
}

void forgetOldSpeeds(PaceModel &Model, Instant Now) {
  constexpr double MinWeight = 0.02;
  std::erase_if(Model.Steps, [Now](const auto &Entry) {
    return Now - Entry.second.LatestAt > StepLifetime;
  });
  std::erase_if(Model.Workers, [Now](const auto &Entry) {
    const DecayingMean &Pace = Entry.second.LogPace;
    return Pace.Weight * decayFactor(Now - Pace.At, PaceHalfLife) < MinWeight;
  });
}

double logPace(const PaceModel &Model, std::string_view Worker,
               std::int64_t IncarnationStartMs, Instant Now) {
  const auto Known = Model.Workers.find(Worker);
  if (Known == Model.Workers.end() ||
      Known->second.IncarnationStartMs != IncarnationStartMs)
    return 0;
  DecayingMean Pace = Known->second.LogPace;
  decay(Pace, PaceHalfLife, Now);
  return Pace.mean(PacePrior);
}

std::vector<double> slowdownsBeside(const PaceModel &Model, std::size_t Kind) {
  std::vector<double> Slowdowns(Model.Kinds.size(), 0);
  for (std::size_t Other = 0; Other < Slowdowns.size(); ++Other)
    if (Other != Kind)
      Slowdowns[Other] =
          slowdown(Model, Kind, Other) + slowdown(Model, Other, Kind);
  return Slowdowns;
}

double paceSpread(const PaceModel &Model, Instant Now) {
  double Workers = 0;
  double MeanSum = 0;
  double MeanSquareSum = 0;
  double WithinSum = 0;
  double Freedom = 0;
  double InverseWeights = 0;
  for (const auto &[Id, Worker] : Model.Workers) {
    DecayingMean Pace = Worker.LogPace;
    decay(Pace, PaceHalfLife, Now);
    if (Pace.Weight < MinSpreadWeight)
      continue;
    const double Mean = Pace.mean(0);
    Workers += 1;
    MeanSum += Mean;
    MeanSquareSum += Mean * Mean;
    InverseWeights += 1 / Pace.Weight;
    if (Pace.Weight < MinVarianceWeight)
      continue;
    WithinSum += std::max(Pace.SquareSum - Pace.Sum * Mean, 0.0);
    Freedom += Pace.Weight - 1;
  }
  if (Workers < MinSpreadWorkers || Freedom < MinFreedom)
    return 1;
  const double Mean = MeanSum / Workers;
  const double Between = MeanSquareSum / Workers - Mean * Mean;
  const double Chance = WithinSum / Freedom * InverseWeights / Workers;
  return std::exp(SlowestTenthDeviations *
                  std::sqrt(std::max(Between - Chance, 0.0)));
}

} // namespace pistachioflow
