#include "pistachioflow/filter/retry.hpp"

#include <algorithm>

namespace pistachioflow {

namespace {

constexpr std::uint32_t MostDoublings = 10;

} // namespace

void earnRetries(RetryBudget &Budget, double Amount, double Most) {
  Budget.Left = std::min(Most, Budget.Left + Amount);
}

bool takeRetry(RetryBudget &Budget) {
  if (Budget.Left < 1.0)
    return false;
  Budget.Left -= 1.0;
  return true;
}

Duration backoffAfter(std::uint32_t Sends, const RetrySettings &Settings,
                      std::mt19937_64 &Random) {
  const std::uint32_t Doublings =
      std::min(Sends == 0 ? 0 : Sends - 1, MostDoublings);
  const Duration Whole =
      std::min(Settings.FirstBackoff * (std::int64_t{1} << Doublings),
               Settings.LongestBackoff);
  std::uniform_int_distribution<std::int64_t> Jitter(Whole.Ms / 2, Whole.Ms);
  return {Jitter(Random)};
}

bool mayHaveRun(const SendFacts &Facts) {
  switch (Facts.State) {
  case SendState::NotSent:
  case SendState::RefusedBusy:
    return Facts.MayHaveRun;
  case SendState::Answered:
  case SendState::Lost:
    return true;
  }
  return true;
}

SendVerdict judgeSend(const SendFacts &Facts) {
  if (Facts.State == SendState::Answered && Facts.OwnAnswer)
    return SendVerdict::Done;
  const bool Ran = mayHaveRun(Facts);
  const SendVerdict Final = Ran ? SendVerdict::Unknown : SendVerdict::NotRun;
  if (Facts.Cancelled || !Facts.TimeLeft)
    return Final;
  if (Ran && Facts.NonIdempotent)
    return Final;
  return SendVerdict::Retry;
}

void RetryBudgets::admitted(const WorkspaceId &Workspace) {
  const std::lock_guard Guard(this->Lock);
  const double Amount = this->Settings.PerAdmitted;
  earnRetries(this->Overall, Amount, this->Settings.MostSaved);
  earnRetries(this->ByWorkspace[Workspace], Amount,
              this->Settings.MostSavedByWorkspace);
}

bool RetryBudgets::take(const WorkspaceId &Workspace) {
  const std::lock_guard Guard(this->Lock);
  RetryBudget &Own = this->ByWorkspace[Workspace];
  if (this->Overall.Left < 1.0 || Own.Left < 1.0)
    return false;
  return takeRetry(this->Overall) && takeRetry(Own);
}

} // namespace pistachioflow
