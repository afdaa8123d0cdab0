#include "pistachioflow/model/request.hpp"

namespace pistachioflow {

std::string_view toString(RequestClass Class) {
  switch (Class) {
  case RequestClass::RoundPairing:
    return "round_pairing";
  case RequestClass::TiebreakReport:
    return "tiebreak_report";
  case RequestClass::RatingRecalculation:
    return "rating_recalculation";
  }
  return "invalid";
}

std::string_view toString(RequestState State) {
  switch (State) {
  case RequestState::Done:
    return "done";
  case RequestState::NotRun:
    return "not_run";
  case RequestState::Unknown:
    return "unknown";
  }
  return "invalid";
}

} // namespace pistachioflow
