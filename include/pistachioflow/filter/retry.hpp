#pragma once

#include <cstdint>
#include <mutex>
#include <random>
#include <unordered_map>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/model/request.hpp"
#include "pistachioflow/port/runner_gateway.hpp"

namespace pistachioflow {

struct RetrySettings {
  double PerAdmitted = 0.15; ///< Retries earned by each admitted request.
  double MostSaved = 100.0;  ///< Retries that may be saved up over all.
  double MostSavedByWorkspace = 50.0;
  Duration FirstBackoff{10}; ///< Doubled with each send of the request.
  Duration LongestBackoff{500};
};

/// Retries that may still be sent. A plain value.
struct RetryBudget {
  double Left = 0;
};

/// Adds \p Amount, up to \p Most.
void earnRetries(RetryBudget &Budget, double Amount, double Most);

/// Takes one retry. Returns whether there was one.
bool takeRetry(RetryBudget &Budget);

/// Returns how long to wait before the send after \p Sends: half of the
/// doubled backoff for sure, the other half at random.
Duration backoffAfter(std::uint32_t Sends, const RetrySettings &Settings,
                      std::mt19937_64 &Random);

/// What is known after an exchange with a runner.
struct SendFacts {
  SendState State = SendState::NotSent;
  bool OwnAnswer = false; ///< The answer names this request.
  bool NonIdempotent = false;
  bool MayHaveRun = false; ///< An earlier send of it may have run.
  bool Cancelled = false;
  bool TimeLeft = false; ///< For a backoff and another run.
};

enum class SendVerdict : std::uint8_t {
  Done,
  Retry, ///< If the budget allows it; else as NotRun or Unknown.
  NotRun,
  Unknown,
};

/// Tells whether this exchange may have run the request.
bool mayHaveRun(const SendFacts &Facts);

/// Decides what to do after an exchange with a runner.
SendVerdict judgeSend(const SendFacts &Facts);

/// Keeps the retry budgets of each workspace and of all together.
///
/// Thread safety: every method may be called from any thread.
class RetryBudgets {
public:
  explicit RetryBudgets(const RetrySettings &Settings) : Settings(Settings) {}

  void admitted(const WorkspaceId &Workspace);

  /// Takes one retry from both budgets, or none.
  bool take(const WorkspaceId &Workspace);

private:
  const RetrySettings Settings;
  std::mutex Lock;
  RetryBudget Overall;
  std::unordered_map<WorkspaceId, RetryBudget> ByWorkspace;
};

} // namespace pistachioflow
