#include "pistachioflow/filter/chain.hpp"

#include <array>

namespace pistachioflow {

namespace {

constexpr std::array<Filter, 8> Chain{{
    {"identify", identifyWorkspace, nullptr},
    {"deadline", checkDeadline, nullptr},
    {"limits", takeLimit, releaseLimit},
    {"early_refusal", refuseEarly, nullptr},
    {"at_most_once", beginOnce, endOnce},
    {"queue_and_route", waitForRunner, nullptr, true},
    {"send", sendToRunner, nullptr},
    {"retry", judgeAnswer, nullptr},
}};

std::size_t resendIndex(std::span<const Filter> Filters) {
  for (std::size_t Index = 0; Index < Filters.size(); ++Index)
    if (Filters[Index].ResendsFromHere)
      return Index;
  return 0;
}

} // namespace

std::span<const Filter> requestFilters() { return Chain; }

void runFilters(std::span<const Filter> Filters, RequestContext &Context,
                FilterParts &Parts) {
  std::size_t Entered = 0;
  std::size_t Index = 0;
  while (Index < Filters.size()) {
    Entered = std::max(Entered, Index + 1);
    const FilterStep Step = Filters[Index].Enter(Context, Parts);
    if (Step == FilterStep::Answered)
      break;
    Index = Step == FilterStep::Resend ? resendIndex(Filters) : Index + 1;
  }
  while (Entered-- > 0)
    if (Filters[Entered].Leave != nullptr)
      Filters[Entered].Leave(Context, Parts);
}

FilterStep answer(RequestContext &Context, RequestState State, ReasonCode Why) {
  Context.Outcome.State = State;
  Context.Outcome.Why.Code = Why;
  Context.Outcome.Why.Entries = Context.Entries;
  return FilterStep::Answered;
}

} // namespace pistachioflow
