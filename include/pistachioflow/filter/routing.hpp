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
  /// Requests beyond its slots that a runner is sent. Without any, a slot
  /// stays empty wherever another runner holds one request too many. A runner
  /// that refuses one gets none for a while.
  std::uint32_t Backlog = 2;
  Duration NoBacklogAfterRefusal{10'000};
  Duration AfterRefusal{20};   ///< Without requests after a refusal.
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
  std::uint32_t Own = 0;      ///< In flight from this instance.
  double Peers = 0;           ///< In flight from the others, as estimated now.
  std::uint32_t Gossiped = 0; ///< In flight from the others when they said so.
  RunnerHealth Health = RunnerHealth::Healthy;
  std::uint32_t FailuresInRow = 0;
  std::uint32_t Samples = 0;
  double Slowness = 1.0; ///< Moving average of time over the class's usual.
  Instant EjectedUntil;  ///< Probation begins then.
  std::uint32_t Ejections = 0; ///< In a row, without a return between.
  std::uint32_t GoodOnProbation = 0;
  std::uint32_t Backlog = 0; ///< Sent beyond its slots; set by setBacklogs().
  Instant NoBacklogUntil;
  Instant RefusedUntil; ///< It said that it was full a moment ago.
  Instant ProgressAt;   ///< Last answer, or first send after none in flight.
  bool Listed =
      true; ///< False: gone from the list, kept for what is in flight.

  double load() const { return this->Own + this->Peers; }
  std::uint32_t places() const { return this->Info.Slots + this->Backlog; }
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

/// Chooses the least loaded runner in the near domain, unless the least loaded
/// one anywhere promises less waiting. Returns the index, or nothing.
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

/// Sets how many requests beyond its slots each runner may hold at \p Now.
void setBacklogs(std::span<RunnerState> Runners, Instant Now,
                 const RoutingSettings &Settings);

/// Sets Peers from Gossiped for counts that are \p Age old. Old counts say less
/// and less of a single runner, so they move towards the mean of all runners,
/// which keeps the sum: requests that take \p UsualMs have mostly ended by
/// then.
void estimatePeers(std::span<RunnerState> Runners, Duration Age,
                   double UsualMs);

/// Notes the end of an exchange with the runner at \p Index, and ejects or
/// returns it. Precondition: noteSent() was called for it.
HealthChange noteResult(std::span<RunnerState> Runners, std::size_t Index,
                        const ExchangeResult &Result,
                        const RoutingSettings &Settings);

} // namespace pistachioflow
