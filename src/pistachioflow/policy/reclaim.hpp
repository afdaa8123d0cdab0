#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "pistachioflow/policy/decision_draft.hpp"

namespace pistachioflow::policy {

/// The cause of a reclaim, which determines the gangs that may be preempted.
enum class ReclaimKind : std::uint8_t {
  Guarantee, ///< Any gang that borrows; urgent ones last.
  Urgent,    ///< Gangs that borrow and are not urgent.
  Waiting,   ///< Those of Urgent that were not preempted twice yet.
};

/// The gangs to preempt for a placement.
struct Victims {
  std::vector<const JobState *> Gangs;
  std::int64_t LostWorkMs = 0; ///< Accelerators times unsaved run time.
  std::uint32_t RepeatedlyPreempted =
      0; ///< Of Gangs, those preempted twice before.
};

/// Returns the work that preempting the gang now would lose, in accelerator
/// milliseconds. A gang that can be asked for a checkpoint loses little.
std::int64_t lostWork(const JobState &Gang, Instant Now);

/// Chooses the gangs that have to leave so that \p Shape fits at \p At: whole
/// ones, least lost work first, those preempted twice last. Empty: enough is
/// free or will be. Nothing: no choice is enough.
std::optional<Victims> chooseVictims(DecisionDraft &Draft,
                                     const GangShape &Shape,
                                     std::span<const SlotShare> At,
                                     ReclaimKind Kind);

/// A placement and the gangs to preempt for it.
struct ReclaimPlacement {
  Shares At;
  Victims Leaving;
};

/// Finds the placement in \p Available where reclaiming loses least work.
/// Evaluates a bounded number of placements, those with the smallest shortage.
std::optional<ReclaimPlacement>
placeWithReclaim(DecisionDraft &Draft, const GangShape &Shape,
                 std::span<const Amount> Available, ReclaimKind Kind);

/// Requests a checkpoint of the gangs, or stops those that cannot write one.
void reclaim(DecisionDraft &Draft, const JobState &For, const Victims &Chosen,
             ReasonCode Cause);

/// Reclaims from the workspace's own borrowed gangs until \p For fits under its
/// ceiling. Returns whether it will.
bool reclaimUnderCeiling(DecisionDraft &Draft, const JobState &For);

} // namespace pistachioflow::policy
