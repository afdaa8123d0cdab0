#include "pistachioflow/policy/admission.hpp"
#include "pistachioflow/policy/borrowing.hpp"
#include "pistachioflow/policy/cell.hpp"
#include "pistachioflow/policy/decision_draft.hpp"
#include "pistachioflow/policy/guaranteed.hpp"
#include "pistachioflow/policy/homes.hpp"
#include "pistachioflow/policy/list_enforcement.hpp"
#include "pistachioflow/policy/quarantine.hpp"
#include "pistachioflow/policy/reservation.hpp"
#include "pistachioflow/policy/stops.hpp"
#include "pistachioflow/policy/urgent.hpp"

namespace pistachioflow::policy {

namespace {

std::vector<Decision> decideWith(const CellState &State, const CellIndex &Index,
                                 const Settings &Prefer, Instant Now,
                                 WorkCount &Work) {
  DecisionDraft Draft(State, Index, Prefer, Now, Work);
  decideQuarantines(Draft);
  if (!Draft.Decisions.empty())
    return std::move(Draft.Decisions);
  decideStops(Draft);
  decideListEnforcement(Draft);
  decideAdmissions(Draft);
  if (decideHomes(Draft))
    return std::move(Draft.Decisions);
  holdReservedCapacity(Draft);
  decideGuaranteed(Draft);
  decideUrgent(Draft);
  decideReservedStarts(Draft);
  decideBorrowing(Draft);
  decideReservations(Draft);
  return std::move(Draft.Decisions);
}

} // namespace

std::vector<Decision> decide(const CellState &State, const Settings &Prefer,
                             Instant Now, WorkCount &Work) {
  if (State.Index.Built)
    return decideWith(State, State.Index, Prefer, Now, Work);
  const CellIndex Index = buildIndex(State);
  return decideWith(State, Index, Prefer, Now, Work);
}

std::vector<Decision> decide(const CellState &State, const Settings &Prefer,
                             Instant Now) {
  WorkCount Work;
  return decide(State, Prefer, Now, Work);
}

std::vector<Decision> step(CellState &State, const Event &Fact,
                           const Settings &Prefer, Instant Now) {
  constexpr int MaxRounds = 8;
  observe(State, Fact, Now);
  std::vector<Decision> All;
  for (int Round = 0; Round < MaxRounds; ++Round) {
    std::vector<Decision> Made = decide(State, Prefer, Now);
    if (Made.empty())
      break;
    for (Decision &Next : Made) {
      apply(State, Next.What, Now);
      All.push_back(std::move(Next));
    }
  }
  return All;
}

} // namespace pistachioflow::policy
