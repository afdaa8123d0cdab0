#include <catch2/catch.hpp>

#include "pistachioflow/filter/retry.hpp"

using namespace pistachioflow;

TEST_CASE("what follows an exchange with a runner") {
  using S = SendState;
  using V = SendVerdict;
  struct Row {
    S State;
    bool Own;
    bool NonIdempotent;
    bool RanBefore;
    bool Cancelled;
    bool TimeLeft;
    V Verdict;
  };
  const Row Case = GENERATE(values<Row>({
      // The whole answer of this request.
      {S::Answered, true, true, false, false, true, V::Done},
      {S::Answered, true, false, true, true, false, V::Done},
      // An answer of another request counts as lost.
      {S::Answered, false, true, false, false, true, V::Unknown},
      {S::Answered, false, false, false, false, true, V::Retry},
      // Surely not run by this exchange.
      {S::NotSent, false, true, false, false, true, V::Retry},
      {S::RefusedBusy, false, true, false, false, true, V::Retry},
      {S::NotSent, false, true, false, false, false, V::NotRun},
      {S::RefusedBusy, false, false, false, false, false, V::NotRun},
      {S::NotSent, false, false, false, true, true, V::NotRun},
      // An earlier exchange may have run it.
      {S::NotSent, false, false, true, false, false, V::Unknown},
      {S::RefusedBusy, false, true, true, false, true, V::Unknown},
      // May have run.
      {S::Lost, false, true, false, false, true, V::Unknown},
      {S::Lost, false, false, false, false, true, V::Retry},
      {S::Lost, false, false, false, false, false, V::Unknown},
      {S::Lost, false, false, false, true, true, V::Unknown},
  }));
  CHECK(judgeSend({Case.State, Case.Own, Case.NonIdempotent, Case.RanBefore,
                   Case.Cancelled, Case.TimeLeft}) == Case.Verdict);
}

TEST_CASE("the backoff doubles, has jitter and a bound") {
  const RetrySettings Settings;
  std::mt19937_64 Random(7);
  const auto [Sends, Lowest, Highest] =
      GENERATE(table<std::uint32_t, std::int64_t, std::int64_t>({
          {1, 5, 10},
          {2, 10, 20},
          {4, 40, 80},
          {60, 250, 500},
      }));
  std::int64_t Least = Highest;
  std::int64_t Most = Lowest;
  for (int Try = 0; Try < 1'000; ++Try) {
    const Duration Backoff = backoffAfter(Sends, Settings, Random);
    Least = std::min(Least, Backoff.Ms);
    Most = std::max(Most, Backoff.Ms);
  }
  CHECK(Least == Lowest);
  CHECK(Most == Highest);
}

TEST_CASE("retries never exceed their part of what was admitted") {
  RetryBudgets Budgets({});
  int Taken = 0;
  constexpr int Admitted = 10'000;
  for (int Request = 0; Request < Admitted; ++Request) {
    Budgets.admitted({"a"});
    Taken += Budgets.take({"a"}) ? 1 : 0;
    Taken += Budgets.take({"a"}) ? 1 : 0;
  }
  CHECK(Taken <= 0.2 * Admitted);
  CHECK(Taken > 0);
}

TEST_CASE("one workspace cannot use up another's retries") {
  RetryBudgets Budgets({});
  for (int Request = 0; Request < 100; ++Request) {
    Budgets.admitted({"a"});
    Budgets.admitted({"b"});
  }
  while (Budgets.take({"a"})) {
  }
  CHECK(Budgets.take({"b"}));
}
