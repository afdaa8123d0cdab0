#include <catch2/catch.hpp>

#include "pistachioflow/filter/limits.hpp"

using namespace pistachioflow;

TEST_CASE("the parts of a concurrency limit add up to it") {
  const auto [Limit, Instances, Sum] =
      GENERATE(table<std::uint32_t, std::uint32_t, std::uint32_t>({
          {100, 1, 100},
          {100, 9, 100},
          {9, 9, 9},
          {10, 9, 10},
          {4, 9, 9}, // One each: the stated excess of small limits.
          {0, 9, 0},
      }));
  std::uint32_t Total = 0;
  for (std::uint32_t Rank = 0; Rank < Instances; ++Rank)
    Total += shareOfConcurrency(Limit, {Rank, Instances});
  CHECK(Total == Sum);
}

TEST_CASE("a token bucket grants its rate and one second's burst") {
  const auto [PerSecond, Seconds] = GENERATE(table<double, int>({
      {0.0, 10},
      {0.5, 20},
      {5.0, 10},
      {200.0, 3},
  }));
  TokenBucket Bucket;
  int Granted = 0;
  for (int Ms = 0; Ms < Seconds * 1'000; ++Ms)
    Granted += takeToken(Bucket, PerSecond, {Ms}) ? 1 : 0;
  const double Burst = PerSecond > 0 ? std::max(PerSecond, 1.0) : 0;
  CHECK(Granted <= PerSecond * Seconds + Burst);
  CHECK(Granted >= PerSecond * Seconds + Burst - 2);
}

TEST_CASE("limits are counted by workspace and given back") {
  WorkspaceLimits Limits;
  LimitsEntry Gold;
  Gold.RequestsPerSecond = 1'000;
  Gold.ConcurrentRequests = 2;
  const FleetShare Alone;
  const auto Ask = [&](const char *Workspace) {
    return Limits.acquire({Workspace}, Gold, Alone, {0});
  };
  CHECK(Ask("a") == LimitAnswer::Granted);
  CHECK(Ask("a") == LimitAnswer::Granted);
  CHECK(Ask("a") == LimitAnswer::InFlightReached);
  CHECK(Ask("b") == LimitAnswer::Granted);
  Limits.release({"a"});
  CHECK(Ask("a") == LimitAnswer::Granted);
  CHECK(Limits.inFlight({"a"}) == 2);
}

TEST_CASE("a lowered limit holds at once") {
  WorkspaceLimits Limits;
  LimitsEntry Gold;
  Gold.RequestsPerSecond = 1'000;
  Gold.ConcurrentRequests = 3;
  CHECK(Limits.acquire({"a"}, Gold, {}, {0}) == LimitAnswer::Granted);
  Gold.ConcurrentRequests = 1;
  CHECK(Limits.acquire({"a"}, Gold, {}, {0}) == LimitAnswer::InFlightReached);
  Gold.ConcurrentRequests = 3;
  Gold.RequestsPerSecond = 0;
  CHECK(Limits.acquire({"a"}, Gold, {}, {0}) == LimitAnswer::RateReached);
}
