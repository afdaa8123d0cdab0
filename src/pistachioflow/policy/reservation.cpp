#include "pistachioflow/policy/reservation.hpp"

#include <algorithm>

#include "pistachioflow/policy/capacity.hpp"
#include "pistachioflow/policy/expected_start.hpp"
#include "pistachioflow/policy/reasons.hpp"
#include "pistachioflow/policy/reclaim.hpp"
#include "pistachioflow/policy/rooms.hpp"

namespace pistachioflow::policy {

namespace {

/// One reservation for this many workers, beside the first one: where
/// completion time weighs more, and where fragmentation does.
constexpr std::size_t WorkersPerReservation = 64;
constexpr std::size_t WorkersPerReservationWhenFragmented = 16;
constexpr double FragmentationWeighsMore = 0.5;

/// Gangs of at least this size are alike in the order of reservations.
constexpr std::int64_t LargeAccelerators = 16;

constexpr Duration ShortestReservation{60'000};

/// A reservation whose time has passed is looked at again after this long.
constexpr Duration SoonestReview{5'000};

Reason reservedReason(const Plan &Draft, const JobState &Job, ReasonCode Code,
                      Instant ExpectedStart, std::string PassedOver) {
  return reasonFor(Draft.State, Job.Spec.Workspace, Code,
                   {{Measure::AcceleratorsAsked, Job.Spec.Shape.accelerators()},
                    {Measure::WaitedMs, (Draft.Now - Job.SubmittedAt).Ms},
                    {Measure::ReservedAtMs, ExpectedStart.Ms}},
                   std::move(PassedOver));
}

void endReservation(Plan &Draft, const Reservation &Held, const JobState &Job) {
  Draft.decide(ReserveCapacity{Held.Job, {}, Held.ExpectedStart},
               reservedReason(Draft, Job, ReasonCode::ReservationEnded,
                              Held.ExpectedStart, "keep the reservation"));
}

bool startReserved(Plan &Draft, const Reservation &Held, const JobState &Job) {
  const auto At = placeTightly(Draft, Job.Spec.Shape, roomToBorrow(Draft, Job));
  if (!At)
    return false;
  Draft.start(Job, *At, true,
              reservedReason(Draft, Job, ReasonCode::PlacedReserved,
                             Held.ExpectedStart, "fill it with smaller jobs"));
  return true;
}

/// Reclaims from the smaller borrowers on the reserved workers.
bool reclaimReserved(Plan &Draft, const JobState &Job,
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
  Draft.hold(Job.Spec.Shape, At);
  Draft.Touched.insert(Job.Spec.Job);
  return true;
}

void keep(Plan &Draft, Instant ExpectedStart, const JobState &Job, Shares At) {
  Draft.Kept.push_back(
      {Job.Spec.Job, ExpectedStart, Job.Spec.Shape, std::move(At)});
}

void unkeep(Plan &Draft, const JobId &Job) {
  std::erase_if(Draft.Kept,
                [&Job](const KeptShare &Kept) { return Kept.For == Job; });
}

/// Looks again where the job can start first, once its time has passed.
void reserveAgain(Plan &Draft, const Reservation &Held, const JobState &Job) {
  const auto Found = findExpectedStart(Draft, Job);
  if (!Found)
    return endReservation(Draft, Held, Job);
  const Instant Start = std::max(Found->Start, Draft.Now + SoonestReview);
  Draft.decide(ReserveCapacity{Held.Job, Draft.placements(Found->At), Start},
               reservedReason(Draft, Job, ReasonCode::ReservedForLargeJob,
                              Start, "end the reservation"));
  keep(Draft, Start, Job, Found->At);
}

void follow(Plan &Draft, const Reservation &Held) {
  const JobState &Job = Draft.job(Held.Job);
  if (Draft.Touched.contains(Held.Job))
    return unkeep(Draft, Held.Job);
  const auto At = Draft.shares(Held.Placements);
  if (!At || !Draft.underCeiling(Job)) {
    unkeep(Draft, Held.Job);
    return endReservation(Draft, Held, Job);
  }
  if (startReserved(Draft, Held, Job))
    return unkeep(Draft, Held.Job);
  const Instant Latest =
      std::min(Held.ExpectedStart, Held.MadeAt + MaxReservedWait);
  const bool Due =
      Draft.Now >= Latest && Draft.Now - Held.MadeAt >= ShortestReservation;
  if (Due && reclaimReserved(Draft, Job, *At))
    return unkeep(Draft, Held.Job);
  if (!Due || Draft.Now < Held.ExpectedStart)
    return;
  unkeep(Draft, Held.Job);
  if (Draft.Now >= Held.MadeAt + MaxReservedWait)
    return endReservation(Draft, Held, Job);
  reserveAgain(Draft, Held, Job);
}

bool isReserved(const Plan &Draft, const JobId &Name) {
  const auto &Held = Draft.State.Reservations;
  return std::ranges::find(Held, Name, &Reservation::Job) != Held.end();
}

std::int64_t urgencyOf(const Plan &Draft, const JobState &Job) {
  const Duration Waited = Draft.Now - Job.QueuedAt;
  return (Waited.Ms + 1) * std::min(acceleratorsOf(Job), LargeAccelerators);
}

/// Returns the blocked job that has waited longest for most, or null.
const JobState *mostBlocked(Plan &Draft) {
  const JobState *Chosen = nullptr;
  for (const auto &[Name, Workspace] : Draft.Index.Workspaces)
    for (const auto &[Shape, Queue] : Workspace.Queues) {
      ++Draft.Work.JobsLookedAt;
      const JobState *Job = Queue.begin()->State;
      if (Draft.Touched.contains(Job->Spec.Job) ||
          isReserved(Draft, Job->Spec.Job) || acceleratorsOf(*Job) == 0 ||
          !Draft.underCeiling(*Job))
        continue;
      if (!Chosen || urgencyOf(Draft, *Job) > urgencyOf(Draft, *Chosen))
        Chosen = Job;
    }
  return Chosen;
}

std::size_t mostReservations(const Plan &Draft) {
  const bool Fragmented =
      Draft.Prefer.FragmentationWeight >= FragmentationWeighsMore;
  const std::size_t Workers =
      Fragmented ? WorkersPerReservationWhenFragmented : WorkersPerReservation;
  return 1 + Draft.Cap.Slots.size() / Workers;
}

/// Ends the least urgent reservation where \p Job is much more urgent.
void makeWay(Plan &Draft, const JobState &Job) {
  const Reservation *Least = nullptr;
  for (const Reservation &Held : Draft.State.Reservations)
    if (!Draft.Touched.contains(Held.Job) &&
        (!Least || urgencyOf(Draft, Draft.job(Held.Job)) <
                       urgencyOf(Draft, Draft.job(Least->Job))))
      Least = &Held;
  if (!Least)
    return;
  const JobState &Holder = Draft.job(Least->Job);
  if (urgencyOf(Draft, Job) > 2 * urgencyOf(Draft, Holder))
    endReservation(Draft, *Least, Holder);
}

} // namespace

void keepReserved(Plan &Draft) {
  for (const Reservation &Held : Draft.State.Reservations)
    if (auto At = Draft.shares(Held.Placements))
      keep(Draft, Held.ExpectedStart, Draft.job(Held.Job), std::move(*At));
}

void decideReserved(Plan &Draft) {
  for (const Reservation &Held : Draft.State.Reservations)
    follow(Draft, Held);
}

void decideReservations(Plan &Draft) {
  const std::size_t Most = mostReservations(Draft);
  const JobState *Job = mostBlocked(Draft);
  if (!Job)
    return;
  if (Draft.State.Reservations.size() >= Most)
    return makeWay(Draft, *Job);
  const auto Found = findExpectedStart(Draft, *Job);
  if (!Found)
    return;
  Draft.decide(
      ReserveCapacity{Job->Spec.Job, Draft.placements(Found->At), Found->Start},
      reservedReason(Draft, *Job, ReasonCode::ReservedForLargeJob, Found->Start,
                     "let smaller jobs go first"));
}

} // namespace pistachioflow::policy
