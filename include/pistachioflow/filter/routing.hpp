#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/model/request.hpp"
#include "pistachioflow/port/runner_gateway.hpp"

namespace pistachioflow {

struct RoutingSettings {
  std::uint32_t FailuresToEject = 2; ///< In a row.
  double SlowFactor = 3.0;           ///< Times the usual time of the class.
  std::uint32_t SlowSamples = 4; ///< Answers before a runner counts as slow.
  double MaxSlowShare = 0.2;     ///< Of all runners, ejected as slow.
  double MaxFailingShare = 0.6;  ///< Of all runners, ejected as failing.
  Duration EjectFor{5'000};      ///< Doubled with each ejection in a row.
  Duration LongestEjection{60'000};
  std::uint32_t ProbationAnswers = 2; ///< Good answers that end a probation.
  double StallFactor = 3.0;    ///< Usual times without any answer of a runner.
  std::uint32_t LocalBias = 2; ///< Slots more that a near runner may have busy.
};

enum class RunnerHealth : std::uint8_t {
  Healthy,
  EjectedSlow,
  EjectedFailing,
};

/// What one instance knows of one runner.
struct RunnerState {
  RunnerInfo Info;
  std::uint32_t Own = 0;   ///< In flight from this instance.
  std::uint32_t Peers = 0; ///< In flight from the others, as last gossiped.
  RunnerHealth Health = RunnerHealth::Healthy;
  std::uint32_t FailuresInRow = 0;
  std::uint32_t Samples = 0;
  double Slowness = 1.0; ///< Moving average of time over the class's usual.
  Instant EjectedUntil;  ///< Probation begins then.
  std::uint32_t Ejections = 0; ///< In a row, without a return between.
  std::uint32_t GoodOnProbation = 0;
  Instant ProgressAt; ///< Last answer, or first send after none in flight.
  bool Listed =
      true; ///< False: gone from the list, kept for what is in flight.

  std::uint32_t load() const { return this->Own + this->Peers; }
};

/// What the request asks of its runner.
struct RouteQuery {
  DomainId Near;
  Instant Now;
  double UsualMs = 0;      ///< Moving average of all answers; 0: none yet.
  bool MayProbe = false;   ///< May go to a runner on probation.
  bool EvenIfFull = false; ///< May go to a runner that looks full.
  RunnerId Avoid;          ///< The runner that failed this request last.
};

bool onProbation(const RunnerState &Runner, Instant Now);

/// Tells whether \p Runner may get the request of \p Query.
bool mayRoute(const RunnerState &Runner, const RouteQuery &Query);

/// Chooses the less loaded of two random runners in the near domain, unless two
/// random ones anywhere promise less waiting. Returns the index, or nothing.
std::optional<std::size_t> pickRunner(std::span<const RunnerState> Runners,
                                      const RouteQuery &Query,
                                      const RoutingSettings &Settings,
                                      std::mt19937_64 &Random);

/// How one exchange with a runner ended, for its health.
struct ExchangeResult {
  SendState State = SendState::Answered;
  double TimesUsual = 1.0; ///< Time taken over the usual time of its class.
  Instant Now;
};

enum class HealthChange : std::uint8_t { None, Ejected, Returned };

/// Notes that a request was sent to \p Runner.
void noteSent(RunnerState &Runner, Instant Now);

/// Notes the end of an exchange with the runner at \p Index, and ejects or
/// returns it. Precondition: noteSent() was called for it.
HealthChange noteResult(std::span<RunnerState> Runners, std::size_t Index,
                        const ExchangeResult &Result,
                        const RoutingSettings &Settings);

} // namespace pistachioflow
