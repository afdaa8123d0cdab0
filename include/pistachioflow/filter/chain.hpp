#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/metrics.hpp"
#include "pistachioflow/controller/keys.hpp"
#include "pistachioflow/filter/dispatcher.hpp"
#include "pistachioflow/filter/limits.hpp"
#include "pistachioflow/filter/retry.hpp"
#include "pistachioflow/model/lists.hpp"
#include "pistachioflow/model/request.hpp"
#include "pistachioflow/port/runner_gateway.hpp"

namespace pistachioflow {

/// Returns the lists in force, or null where they are too old to take new work.
using ListsProvider = std::function<std::shared_ptr<const Lists>()>;
using FleetProvider = std::function<FleetShare()>;

/// A request in progress, as a cancellation from another thread sees it.
struct ActiveRequest {
  std::atomic<bool> Cancelled{false};
  std::atomic<bool> HoldsLimit{false};
  std::mutex Lock;
  RunnerId SentTo; ///< Under Lock; empty while nothing is sent.
  RequestId Wire;  ///< Set before the request can be found by others.
};

/// Everything that the filters know of one request. Used by one thread.
struct RequestContext {
  const CallerRequest *Request = nullptr; ///< As the caller sent it.
  CallerRequest Wire; ///< As runners get it: with an id of its own.
  std::shared_ptr<ActiveRequest> Active;
  Instant ArrivedAt;
  std::shared_ptr<const Lists> InForce;
  std::vector<EntryRef> Entries; ///< The list entries that apply.
  const LimitsEntry *Limits = nullptr;
  KeyBegin Key;
  std::optional<std::uint64_t> Claim; ///< Set while the key is this request's.
  RunnerId Runner;
  RunnerAnswer Answer;
  std::uint32_t Sends = 0;
  bool MayHaveRun = false;
  RequestOutcome Outcome;
};

/// What the filters work with. All references outlive the service.
struct FilterParts {
  const Clock &Time;
  RunnerGateway &Runners;
  KeyController &Keys;
  ListsProvider CurrentLists;
  FleetProvider Fleet;
  SleepFunction Sleep;
  RetrySettings Retry;
  WorkspaceLimits Limits;
  RetryBudgets Budgets;
  Dispatcher Turns;
  std::mutex RandomLock;
  std::mt19937_64 Random;
  Counter &ForeignAnswers;
  Counter &Sends;
  Counter &Admitted;
};

enum class FilterStep : std::uint8_t {
  Next,     ///< Go on with the next filter.
  Answered, ///< Outcome is set; no later filter runs.
  Resend,   ///< Go back to the filter that sends again.
};

/// One step of a request's way. Leave runs once for each filter that was
/// entered, last one first, after the outcome is set; it may be null.
struct Filter {
  std::string_view Name;
  FilterStep (*Enter)(RequestContext &Context, FilterParts &Parts);
  void (*Leave)(RequestContext &Context, FilterParts &Parts);
  bool ResendsFromHere = false;
};

/// Sets the outcome and ends the request's way.
FilterStep answer(RequestContext &Context, RequestState State, ReasonCode Why);

/// Finds the workspace's plan and limits in the lists in force.
FilterStep identifyWorkspace(RequestContext &Context, FilterParts &Parts);

/// Refuses a request whose deadline has passed.
FilterStep checkDeadline(RequestContext &Context, FilterParts &Parts);

/// Counts the request against this instance's part of the plan's limits.
FilterStep takeLimit(RequestContext &Context, FilterParts &Parts);
void releaseLimit(RequestContext &Context, FilterParts &Parts);

/// Refuses what cannot end by its deadline, before it costs anything.
FilterStep refuseEarly(RequestContext &Context, FilterParts &Parts);

/// Begins a non-idempotent request, or answers a repeat with the first outcome.
FilterStep beginOnce(RequestContext &Context, FilterParts &Parts);
void endOnce(RequestContext &Context, FilterParts &Parts);

/// Waits in class order until a runner is granted.
FilterStep waitForRunner(RequestContext &Context, FilterParts &Parts);

/// Sends to the granted runner and waits for the answer.
FilterStep sendToRunner(RequestContext &Context, FilterParts &Parts);

/// Decides whether the answer is the outcome or the request is sent again.
FilterStep judgeAnswer(RequestContext &Context, FilterParts &Parts);

/// Returns the filters in the order in which a request passes them.
std::span<const Filter> requestFilters();

/// Takes a request through \p Filters; sets Context.Outcome.
void runFilters(std::span<const Filter> Filters, RequestContext &Context,
                FilterParts &Parts);

} // namespace pistachioflow
