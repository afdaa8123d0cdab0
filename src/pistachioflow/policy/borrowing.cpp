#include "pistachioflow/policy/borrowing.hpp"

#include <algorithm>
#include <set>
#include <vector>

#include "pistachioflow/policy/free_capacity.hpp"
#include "pistachioflow/policy/queue_cursor.hpp"
#include "pistachioflow/policy/reasons.hpp"

namespace pistachioflow::policy {

namespace {

/// Maximum number of jobs that one call examines and cannot start, although
/// others of their shape may fit.
constexpr std::size_t MaxMisses = 64;

/// A workspace that may have further jobs to start.
struct Sharer {
  const WorkspaceId *Name = nullptr;
  std::int64_t Weight = 1;
  std::int64_t Borrowed = 0;
  QueueCursor Queue;
};

std::vector<Sharer> sharersOf(DecisionDraft &Draft) {
  std::vector<Sharer> Sharers;
  for (const auto &[Name, Workspace] : Draft.Index.Workspaces) {
    if (!Workspace.Limits || Workspace.Queues.empty())
      continue;
    const std::int64_t Weight = std::max(Workspace.Limits->Weight, 1U);
    Sharers.push_back({&Name, Weight, Draft.use(Name).Borrowed,
                       QueueCursor(Draft, Workspace.Queues)});
  }
  return Sharers;
}

/// Tells whether \p Left borrows less for its weight than \p Right.
bool borrowsLess(const Sharer &Left, const Sharer &Right) {
  return Left.Borrowed * Right.Weight < Right.Borrowed * Left.Weight;
}

Reason borrowReason(DecisionDraft &Draft, const JobState &Job,
                    ReasonCode Code) {
  const WorkspaceUsage &Use = Draft.use(Job.Spec.Workspace);
  return reasonFor(Draft.State, Job.Spec.Workspace, Code,
                   {{Measure::AcceleratorsAsked, Job.Spec.Shape.accelerators()},
                    {Measure::AcceleratorsUsed, Use.Used},
                    {Measure::WaitedMs, (Draft.Now - Job.SubmittedAt).Ms},
                    {Measure::ExpectedRuntimeMs, Job.ExpectedRuntime.Ms}},
                   "keep it queued");
}

enum class Outcome { Started, AboveCeiling, NoCapacity, NoCapacityForShape };

Outcome startBorrowing(DecisionDraft &Draft, const JobState &Job) {
  if (!Draft.underCeiling(Job))
    return Outcome::AboveCeiling;
  const GangShape &Shape = Job.Spec.Shape;
  if (const auto At =
          findTightPlacement(Draft, Shape, freeToBorrow(Draft, Job))) {
    Draft.start(Job, *At, true,
                borrowReason(Draft, Job, ReasonCode::PlacedBorrowing));
    return Outcome::Started;
  }
  if (Draft.ReservedCapacities.empty())
    return Outcome::NoCapacityForShape;
  if (const auto At =
          findTightPlacement(Draft, Shape, freeToBackfill(Draft, Job))) {
    Draft.start(Job, *At, true,
                borrowReason(Draft, Job, ReasonCode::PlacedBackfill));
    return Outcome::Started;
  }
  const bool OthersMayFit =
      findTightPlacement(Draft, Shape, freeWithReservations(Draft, Job))
          .has_value();
  return OthersMayFit ? Outcome::NoCapacity : Outcome::NoCapacityForShape;
}

} // namespace

void decideBorrowing(DecisionDraft &Draft) {
  std::vector<Sharer> Sharers = sharersOf(Draft);
  std::set<ShapeKey> Full; // Shapes that no worker has room for.
  std::size_t Misses = 0;
  while (!Sharers.empty() && Misses < MaxMisses) {
    const auto Chosen = std::ranges::min_element(Sharers, borrowsLess);
    Sharer &Next = *Chosen;
    const JobState *Job = Next.Queue.next();
    if (!Job) {
      Sharers.erase(Chosen);
      continue;
    }
    const ShapeKey Shape = keyOf(Job->Spec.Shape);
    const bool FailedBefore = !Job->FailedOn.empty();
    if (!FailedBefore && Full.contains(Shape)) {
      Next.Queue.skipShape();
      continue;
    }
    ++Draft.Work.JobsExamined;
    const Outcome Became = startBorrowing(Draft, *Job);
    Next.Borrowed = Draft.use(*Next.Name).Borrowed;
    if (Became == Outcome::AboveCeiling ||
        (Became == Outcome::NoCapacityForShape && !FailedBefore))
      Next.Queue.skipShape();
    else if (Became != Outcome::Started)
      ++Misses;
    if (Became == Outcome::NoCapacityForShape && !FailedBefore)
      Full.insert(Shape);
  }
}

} // namespace pistachioflow::policy
