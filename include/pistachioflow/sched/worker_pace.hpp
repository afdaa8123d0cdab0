#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pistachioflow/base/clock.hpp"

namespace pistachioflow {

/// How many kinds of work are told apart. Later ones count as none.
inline constexpr std::size_t MaxTaskKinds = 32;

/// Kinds of work as bits, by their index in PaceModel.
using TaskKinds = std::uint32_t;

/// The speed of one run on its worker.
struct SpeedSample {
  std::string_view Step; ///< Siblings in it are alike: ID.K.STEP.
  std::string_view Worker;
  std::int64_t IncarnationStartMs = 0; ///< Of the worker.
  std::string_view Kind; ///< Its queue, or the image that it runs.
  TaskKinds Beside = 0;  ///< Other kinds that run on the worker.
  /// Natural logarithm of the percent of the work done in a millisecond; only
  /// differences count.
  double LogSpeed = 0;
};

/// A decaying mean of logarithms.
struct DecayingMean {
  double Sum = 0;
  double SquareSum = 0;
  double Weight = 0;
  Instant At; ///< Up to then it has decayed.

  /// Returns the mean, drawn to 0 by a prior of weight \p Prior.
  double mean(double Prior) const { return Sum / (Weight + Prior); }
};

/// What the owner has learned of the speed of workers, and of kinds of work
/// that slow each other down.
///
/// A run is compared with its siblings in the same step only, so that wrong
/// estimates and slow steps count for nothing. Thread safety: none.
struct PaceModel {
  struct WorkerPace {
    std::int64_t IncarnationStartMs = 0;
    DecayingMean LogPace;
  };
  struct StepSample {
    std::string Worker;
    std::int64_t IncarnationStartMs = 0;
    std::size_t Kind = MaxTaskKinds;
    TaskKinds Beside = 0;
    double LogSpeed = 0;
  };
  struct StepSpeeds {
    std::vector<StepSample> Samples;
    Instant LatestAt;
  };
  /// What is left of a kind's speeds once the paces of the workers are taken
  /// out.
  struct KindResiduals {
    DecayingMean Alone; ///< Beside no other kind.
    std::map<std::size_t, DecayingMean> Beside;
  };

  std::map<std::string, WorkerPace, std::less<>> Workers;
  std::map<std::string, StepSpeeds, std::less<>> Steps;
  std::vector<std::string> Kinds;
  std::map<std::size_t, KindResiduals> Residuals; ///< By kind.
};

/// Returns the index of a kind, which it gets at its first use, or
/// MaxTaskKinds.
std::size_t indexOfKind(PaceModel &Model, std::string_view Kind);

/// Returns the index of a kind, or MaxTaskKinds if it has none.
std::size_t findKind(const PaceModel &Model, std::string_view Kind);

/// Returns the bit of a kind. A kind without an index has none.
TaskKinds bitOfKind(std::size_t Kind);

/// Learns from the speed of a run. Has no effect on paces until several workers
/// have run the step.
void learnSpeed(PaceModel &Model, const SpeedSample &Sample, Instant Now);

/// Forgets steps without a sample for a while, and workers about which nothing
/// recent is known.
void forgetOldSpeeds(PaceModel &Model, Instant Now);

/// Returns the logarithm of a worker's speed relative to the others; 0 if
/// nothing is known of this incarnation.
double logPace(const PaceModel &Model, std::string_view Worker,
               std::int64_t IncarnationStartMs, Instant Now);

/// Returns by which logarithms work of \p Kind and each kind beside it slow
/// each other down, both directions added, by index of the other kind. Effects
/// that are small or hardly known are 0.
std::vector<double> slowdownsBeside(const PaceModel &Model, std::size_t Kind);

/// Estimates the median pace over that of the slowest tenth of the workers, as
/// of a normal distribution; 1 while little is known. Differences between the
/// runs of one worker are chance or depend on what runs beside them, and are
/// taken out.
double paceSpread(const PaceModel &Model, Instant Now);

} // namespace pistachioflow
