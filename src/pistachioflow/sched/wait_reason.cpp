#include "pistachioflow/sched/wait_reason.hpp"

#include <vector>

#include "candidate_workers.hpp"

namespace pistachioflow {

namespace {

constexpr Duration FirstNoticeAfter{3'000};

bool fitsNow(std::span<const PlacementWorker> Workers,
             const WaitingUnit &Unit) {
  return chooseWorkers(Workers, Unit, {}, &PlacementWorker::FreeNow)
      .has_value();
}

std::vector<PlacementWorker>
withoutReservations(std::span<const PlacementWorker> Workers) {
  std::vector<PlacementWorker> Open(Workers.begin(), Workers.end());
  for (PlacementWorker &Worker : Open) {
    Worker.ReservedForUrgent = false;
    Worker.ReservedThisRound = false;
  }
  return Open;
}

} // namespace

std::string_view toString(WaitReason Reason) {
  switch (Reason) {
  case WaitReason::Capacity:
    return "capacity";
  case WaitReason::Evacuation:
    return "evacuation";
  case WaitReason::Workers:
    return "workers";
  case WaitReason::Withheld:
    return "withheld";
  case WaitReason::Rack:
    return "rack";
  case WaitReason::Reservation:
    return "reservation";
  }
  return "invalid";
}

WaitReason explainWait(std::span<const PlacementWorker> Before,
                       std::span<const PlacementWorker> After,
                       const WaitingUnit &Unit) {
  if (fitsNow(After, Unit))
    return WaitReason::Rack;
  if (fitsNow(withoutReservations(After), Unit))
    return WaitReason::Reservation;
  std::vector<PlacementWorker> Open = withoutReservations(Before);
  if (fitsNow(Open, Unit))
    return WaitReason::Withheld;
  for (PlacementWorker &Worker : Open)
    Worker.Usable = Worker.Usable || Worker.Evacuated;
  if (fitsNow(Open, Unit))
    return WaitReason::Evacuation;
  for (PlacementWorker &Worker : Open) {
    Worker.Usable = true;
    Worker.Suspended = false;
    Worker.OnProbation = false;
  }
  return fitsNow(Open, Unit) ? WaitReason::Workers : WaitReason::Capacity;
}

bool isWaitNoticeDue(Instant Since, Instant NotedAt, Instant Now) {
  const Duration Waited = Now - Since;
  if (NotedAt < Since)
    return Waited >= FirstNoticeAfter;
  return Waited >= (NotedAt - Since) * 2;
}

} // namespace pistachioflow
