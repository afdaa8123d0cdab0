#pragma once

#include <algorithm>
#include <optional>
#include <set>
#include <span>
#include <tuple>
#include <vector>

#include "pistachioflow/policy/admission.hpp"
#include "pistachioflow/policy/decision_draft.hpp"
#include "pistachioflow/policy/expected_start.hpp"
#include "pistachioflow/policy/free_capacity.hpp"
#include "pistachioflow/policy/queue_cursor.hpp"
#include "pistachioflow/policy/stops.hpp"

namespace pistachioflow::bench {

using namespace pistachioflow::policy;

/// Schedulers for comparison. They admit, start and stop as the policy does,
/// but without guarantees, reclaim, quarantine or run time correction.
enum class Baseline {
  FirstFit,        ///< In order of arrival; the first that does not fit waits.
  EasyBackfill,    ///< The same, with backfill behind the first that waits.
  BestFitPriority, ///< Urgent, then small first; the tightest fit; no waiting.
};

/// Every queued job, in the baseline's order.
inline std::vector<const JobState *> orderOf(const DecisionDraft &Draft,
                                             Baseline Kind) {
  std::vector<const JobState *> Jobs;
  for (const auto &[Name, Workspace] : Draft.Index.Workspaces)
    for (const auto *Queues : {&Workspace.Queues, &Workspace.UrgentQueues})
      for (const auto &[Shape, Queue] : *Queues)
        for (const QueueKey &Key : Queue)
          if (!Draft.DecidedJobs.contains(Key.Job))
            Jobs.push_back(Key.State);
  const auto Arrival = [](const JobState *Job) {
    return std::tuple(Job->SubmittedAt, Job->Spec.Job);
  };
  std::ranges::sort(Jobs, {}, Arrival);
  if (Kind == Baseline::BestFitPriority)
    std::ranges::stable_sort(Jobs, {}, [](const JobState *Job) {
      return std::tuple(!Job->Spec.Urgent, Job->Spec.Shape.accelerators());
    });
  return Jobs;
}

inline std::optional<Shares> placeFor(DecisionDraft &Draft, const JobState &Job,
                                      const FreeCapacity &Available,
                                      Baseline Kind) {
  if (Kind == Baseline::BestFitPriority)
    return findTightPlacement(Draft, Job.Spec.Shape, Available);
  const auto Any = [](std::span<const SlotShare>) { return 0; };
  return findPlacement({Draft.Cap, Job.Spec.Shape, Available}, Any,
                       Draft.Work.PlacementsEvaluated);
}

inline void startJobs(DecisionDraft &Draft, Baseline Kind) {
  std::set<ShapeKey> NoCapacity;
  for (const JobState *Job : orderOf(Draft, Kind)) {
    const ShapeKey Shape = keyOf(Job->Spec.Shape);
    if (NoCapacity.contains(Shape) || !Draft.underCeiling(*Job))
      continue;
    if (const auto At =
            placeFor(Draft, *Job, freeToBackfill(Draft, *Job), Kind)) {
      Draft.start(*Job, *At, true, {});
      continue;
    }
    if (Kind == Baseline::FirstFit)
      return;
    if (Draft.ReservedCapacities.empty())
      NoCapacity.insert(Shape);
    if (Kind != Baseline::EasyBackfill || !Draft.ReservedCapacities.empty())
      continue;
    if (const auto Found = findExpectedStart(Draft, *Job))
      Draft.ReservedCapacities.push_back(
          {Job->Spec.Job, Found->Start, Job->Spec.Shape, Found->At});
  }
}

/// Folds an event, decides as the baseline does, and applies.
inline std::vector<Decision> stepBaseline(Baseline Kind, CellState &State,
                                          const Event &Fact,
                                          const Settings &Prefer, Instant Now) {
  observe(State, Fact, Now);
  std::vector<Decision> All;
  for (int Round = 0; Round < 4; ++Round) {
    if (!State.Index.Built)
      State.Index = buildIndex(State);
    WorkCount Work;
    DecisionDraft Draft(State, State.Index, Prefer, Now, Work);
    decideStops(Draft);
    decideAdmissions(Draft);
    startJobs(Draft, Kind);
    if (Draft.Decisions.empty())
      break;
    for (Decision &Next : Draft.Decisions) {
      apply(State, Next.What, Now);
      All.push_back(std::move(Next));
    }
  }
  return All;
}

} // namespace pistachioflow::bench
