#include "pistachioflow/policy/reservation.hpp"

#include <algorithm>

#include "pistachioflow/policy/capacity.hpp"
#include "pistachioflow/policy/expected_start.hpp"
#include "pistachioflow/policy/free_capacity.hpp"
#include "pistachioflow/policy/reasons.hpp"
#include "pistachioflow/policy/reclaim.hpp"

namespace pistachioflow::policy {

namespace {

/// One reservation for this many workers, beside the first one: where
/// completion time weighs more, and where fragmentation does.
constexpr std::size_t WorkersPerReservation = 64;
constexpr std::size_t WorkersPerReservationWhenFragmented = 16;
constexpr double FragmentationWeighsMore = 0.5;

/// Gangs of at least this size count the same in the order of reservations.
constexpr std::int64_t LargeAccelerators = 16;

constexpr Duration ShortestReservation{60'000};

/// The earliest new expected start of an overdue reservation, from now.
constexpr Duration SoonestReview{5'000};

Reason reservedReason(const DecisionDraft &Draft, const JobState &Job,
                      ReasonCode Code, Instant ExpectedStart,
                      std::string PassedOver) {
  return reasonFor(Draft.State, Job.Spec.Workspace, Code,
                   {{Measure::AcceleratorsAsked, Job.Spec.Shape.accelerators()},
                    {Measure::WaitedMs, (Draft.Now - Job.SubmittedAt).Ms},
                    {Measure::ReservedAtMs, ExpectedStart.Ms}},
                   std::move(PassedOver));
}

void endReservation(DecisionDraft &Draft, const Reservation &Current,
                    const JobState &Job) {
  Draft.decide(ReserveCapacity{Current.Job, {}, Current.ExpectedStart},
               reservedReason(Draft, Job, ReasonCode::ReservationEnded,
                              Current.ExpectedStart, "keep the reservation"));
}

bool startReserved(DecisionDraft &Draft, const Reservation &Current,
                   const JobState &Job) {
  const auto At =
      findTightPlacement(Draft, Job.Spec.Shape, freeToBorrow(Draft, Job));
  if (!At)
    return false;
  Draft.start(Job, *At, true,
              reservedReason(Draft, Job, ReasonCode::PlacedReserved,
                             Current.ExpectedStart,
                             "fill it with smaller jobs"));
  return true;
}

/// Reclaims from the smaller borrowers on the reserved workers.
bool reclaimReserved(DecisionDraft &Draft, const JobState &Job,
                     std::span<const SlotShare> At) {
  const auto Chosen =
      chooseVictims(Draft, Job.Spec.Shape, At, ReclaimKind::Waiting);
  if (!Chosen)
    return false;
  const std::int64_t Largest = acceleratorsOf(Job) / 2;
  const auto IsSmaller = [Largest](const JobState *Gang) {
    return acceleratorsOf(*Gang) <= Largest;
  };
  if (!std::ranges::all_of(Chosen->Gangs, IsSmaller))
    return false;
  reclaim(Draft, Job, *Chosen, ReasonCode::ReclaimedForWaiting);
  Draft.use(Job.Spec.Workspace).Used += acceleratorsOf(Job);
  Draft.holdCapacity(Job.Spec.Shape, At);
  Draft.DecidedJobs.insert(Job.Spec.Job);
  return true;
}

void keep(DecisionDraft &Draft, Instant ExpectedStart, const JobState &Job,
          Shares At) {
  Draft.ReservedCapacities.push_back(
      {Job.Spec.Job, ExpectedStart, Job.Spec.Shape, std::move(At)});
}

void releaseReserved(DecisionDraft &Draft, const JobId &Job) {
  std::erase_if(
      Draft.ReservedCapacities,
      [&Job](const ReservedCapacity &Reserved) { return Reserved.For == Job; });
}

/// Replaces an overdue reservation by the job's new expected start.
void reserveAgain(DecisionDraft &Draft, const Reservation &Current,
                  const JobState &Job) {
  const auto Found = findExpectedStart(Draft, Job);
  if (!Found)
    return endReservation(Draft, Current, Job);
  const Instant Start = std::max(Found->Start, Draft.Now + SoonestReview);
  Draft.decide(ReserveCapacity{Current.Job, Draft.placements(Found->At), Start},
               reservedReason(Draft, Job, ReasonCode::ReservedForLargeJob,
                              Start, "end the reservation"));
  keep(Draft, Start, Job, Found->At);
}

void follow(DecisionDraft &Draft, const Reservation &Current) {
  const JobState &Job = Draft.job(Current.Job);
  if (Draft.DecidedJobs.contains(Current.Job))
    return releaseReserved(Draft, Current.Job);
  const auto At = Draft.shares(Current.Placements);
  if (!At || !Draft.underCeiling(Job)) {
    releaseReserved(Draft, Current.Job);
    return endReservation(Draft, Current, Job);
  }
  if (startReserved(Draft, Current, Job))
    return releaseReserved(Draft, Current.Job);
  const Instant Latest =
      std::min(Current.ExpectedStart, Current.CreatedAt + MaxReservedWait);
  const bool Due = Draft.Now >= Latest &&
                   Draft.Now - Current.CreatedAt >= ShortestReservation;
  if (Due && reclaimReserved(Draft, Job, *At))
    return releaseReserved(Draft, Current.Job);
  if (!Due || Draft.Now < Current.ExpectedStart)
    return;
  releaseReserved(Draft, Current.Job);
  if (Draft.Now >= Current.CreatedAt + MaxReservedWait)
    return endReservation(Draft, Current, Job);
  reserveAgain(Draft, Current, Job);
}

bool isReserved(const DecisionDraft &Draft, const JobId &Name) {
  const auto &Current = Draft.State.Reservations;
  return std::ranges::find(Current, Name, &Reservation::Job) != Current.end();
}

std::int64_t urgencyOf(const DecisionDraft &Draft, const JobState &Job) {
  const Duration Waited = Draft.Now - Job.QueuedAt;
  return (Waited.Ms + 1) * std::min(acceleratorsOf(Job), LargeAccelerators);
}

/// Returns the most urgent blocked job without a reservation, or null.
const JobState *longestBlocked(DecisionDraft &Draft) {
  const JobState *Chosen = nullptr;
  for (const auto &[Name, Workspace] : Draft.Index.Workspaces)
    for (const auto &[Shape, Queue] : Workspace.Queues) {
      ++Draft.Work.JobsExamined;
      const JobState *Job = Queue.begin()->State;
      if (Draft.DecidedJobs.contains(Job->Spec.Job) ||
          isReserved(Draft, Job->Spec.Job) || acceleratorsOf(*Job) == 0 ||
          !Draft.underCeiling(*Job))
        continue;
      if (!Chosen || urgencyOf(Draft, *Job) > urgencyOf(Draft, *Chosen))
        Chosen = Job;
    }
  return Chosen;
}

std::size_t mostReservations(const DecisionDraft &Draft) {
  const bool Fragmented =
      Draft.Prefer.FragmentationWeight >= FragmentationWeighsMore;
  const std::size_t Workers =
      Fragmented ? WorkersPerReservationWhenFragmented : WorkersPerReservation;
  return 1 + Draft.Cap.Slots.size() / Workers;
}

/// Ends the least urgent reservation if \p Job is much more urgent.
void replaceReservation(DecisionDraft &Draft, const JobState &Job) {
  const Reservation *Least = nullptr;
  for (const Reservation &Current : Draft.State.Reservations)
    if (!Draft.DecidedJobs.contains(Current.Job) &&
        (!Least || urgencyOf(Draft, Draft.job(Current.Job)) <
                       urgencyOf(Draft, Draft.job(Least->Job))))
      Least = &Current;
  if (!Least)
    return;
  const JobState &Holder = Draft.job(Least->Job);
  if (urgencyOf(Draft, Job) > 2 * urgencyOf(Draft, Holder))
    endReservation(Draft, *Least, Holder);
}

} // namespace

void holdReservedCapacity(DecisionDraft &Draft) {
  for (const Reservation &Current : Draft.State.Reservations)
    if (auto At = Draft.shares(Current.Placements))
      keep(Draft, Current.ExpectedStart, Draft.job(Current.Job),
           std::move(*At));
}

void decideReservedStarts(DecisionDraft &Draft) {
  for (const Reservation &Current : Draft.State.Reservations)
    follow(Draft, Current);
}

void decideReservations(DecisionDraft &Draft) {
  const std::size_t Most = mostReservations(Draft);
  const JobState *Job = longestBlocked(Draft);
  if (!Job)
    return;
  if (Draft.State.Reservations.size() >= Most)
    return replaceReservation(Draft, *Job);
  const auto Found = findExpectedStart(Draft, *Job);
  if (!Found)
    return;
  Draft.decide(
      ReserveCapacity{Job->Spec.Job, Draft.placements(Found->At), Found->Start},
      reservedReason(Draft, *Job, ReasonCode::ReservedForLargeJob, Found->Start,
                     "let smaller jobs go first"));
}

} // namespace pistachioflow::policy
