#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "pistachioflow/standin/instance_board.hpp"
#include "pistachioflow/standin/runner_park.hpp"
#include "pistachioflow/standin/worker_park.hpp"

using namespace pistachioflow;
using namespace pistachioflow::standin;

namespace {

constexpr Duration Lease{1'000};
constexpr Duration RunTime{5'000};
const WorkerId Worker{"w"};

/// One worker with 8 accelerators, driven in virtual time.
struct Scene {
  WorkerPark Park{{RunTime, {500}, true}};
  Instant Now{10'000};
  Epoch Fence = 1;

  Scene() { this->Park.addWorker({Worker, {"r"}, 0, {"d"}, 64, 1'000, 8}); }

  OrderAnswer order(OrderKind Kind, const std::string &Job, Attempt Try = 1,
                    std::uint32_t Accelerators = 8) {
    WorkerOrder Order;
    Order.Kind = Kind;
    Order.Cell = {"main"};
    Order.Fence = this->Fence;
    Order.Job = {Job};
    Order.Try = Try;
    Order.Tasks = 1;
    Order.Shape.AcceleratorsPerTask = Accelerators;
    Order.Lease = Lease;
    return this->Park.order(Worker, Order, this->Now);
  }

  void startJob(const std::string &Job, Attempt Try = 1) {
    REQUIRE(this->order(OrderKind::Hold, Job, Try) == OrderAnswer::Accepted);
    REQUIRE(this->order(OrderKind::Start, Job, Try) == OrderAnswer::Accepted);
  }

  /// Lets time pass with the lease renewed in time.
  void renewFor(const std::string &Job, Duration Span, Attempt Try = 1) {
    const Instant End = this->Now + Span;
    while (this->Now < End) {
      this->Now = std::min(End, this->Now + Duration{Lease.Ms / 2});
      this->order(OrderKind::Renew, Job, Try);
    }
  }

  std::vector<ReportedTasks> tasks() {
    return this->Park.report(Worker, this->Now).value().Tasks;
  }
};

} // namespace

TEST_CASE("a lease holds its share and repeated orders change nothing") {
  Scene Over;
  CHECK(Over.order(OrderKind::Hold, "a") == OrderAnswer::Accepted);
  CHECK(Over.order(OrderKind::Hold, "a") == OrderAnswer::Accepted);
  CHECK(Over.order(OrderKind::Hold, "b", 1, 1) == OrderAnswer::Refused);
  CHECK(Over.order(OrderKind::Start, "a") == OrderAnswer::Accepted);
  CHECK(Over.order(OrderKind::Start, "a") == OrderAnswer::Accepted);
  CHECK(Over.order(OrderKind::Start, "b") == OrderAnswer::Refused);
  CHECK(Over.Park.runs(Over.Now).size() == 1);
}

TEST_CASE("tasks finish after their run time, counted from the start") {
  Scene Over;
  Over.startJob("a");
  Over.renewFor("a", Duration{RunTime.Ms - 1});
  CHECK(Over.tasks().front().Phase == TaskPhase::Running);
  Over.renewFor("a", {1});
  CHECK(Over.tasks().front().Phase == TaskPhase::Finished);
  const RunInterval Run = Over.Park.runs(Over.Now).front();
  CHECK(Run.End == RunEnd::Finished);
  CHECK(Run.To - Run.From == RunTime);
}

TEST_CASE("a lease that nobody renews stops the tasks when it ends") {
  Scene Over;
  Over.startJob("a");
  const Instant Start = Over.Now;
  Over.Now = Over.Now + Lease * 3;
  CHECK(Over.tasks().empty());
  const RunInterval Run = Over.Park.runs(Over.Now).front();
  CHECK(Run.End == RunEnd::LeaseLapsed);
  CHECK(Run.To == Start + Lease);
  CHECK(Over.order(OrderKind::Renew, "a") == OrderAnswer::Refused);
}

TEST_CASE("a stop ends the tasks, and the attempt cannot come back") {
  Scene Over;
  Over.startJob("a");
  CHECK(Over.order(OrderKind::Stop, "a") == OrderAnswer::Accepted);
  CHECK(Over.order(OrderKind::Stop, "a") == OrderAnswer::Accepted);
  CHECK(Over.tasks().empty());
  CHECK(Over.order(OrderKind::Hold, "a") == OrderAnswer::Refused);
  CHECK(Over.order(OrderKind::Hold, "a", 2) == OrderAnswer::Accepted);
}

TEST_CASE("a stop that overtakes its hold wins") {
  Scene Over;
  CHECK(Over.order(OrderKind::Stop, "a") == OrderAnswer::Accepted);
  CHECK(Over.order(OrderKind::Hold, "a") == OrderAnswer::Refused);
}

TEST_CASE("a later attempt goes on from the checkpoint") {
  Scene Over;
  Over.startJob("a");
  Over.renewFor("a", {2'000});
  CHECK(Over.order(OrderKind::Checkpoint, "a") == OrderAnswer::Accepted);
  CHECK(Over.tasks().front().Checkpoints == 1);
  Over.order(OrderKind::Stop, "a");
  Over.startJob("a", 2);
  Over.renewFor("a", Duration{RunTime.Ms - 2'000}, 2);
  CHECK(Over.tasks().front().Phase == TaskPhase::Finished);
}

TEST_CASE("an epoch lower than the highest seen is fenced off") {
  const auto [Kind] = GENERATE(table<OrderKind>({
      {OrderKind::Hold},
      {OrderKind::Start},
      {OrderKind::Renew},
      {OrderKind::Checkpoint},
      {OrderKind::Throttle},
      {OrderKind::Stop},
  }));
  Scene Over;
  Over.Fence = 5;
  Over.startJob("a");
  Over.Fence = 4;
  CHECK(Over.order(Kind, "a") == OrderAnswer::Fenced);
  CHECK(Over.tasks().front().Phase == TaskPhase::Running);
  CHECK(Over.Park.orders().back().Answer == OrderAnswer::Fenced);
}

TEST_CASE("usage is reported only after the lag, and throttled") {
  Scene Over;
  Over.Park.setBehaviour({{"a"}, RunTime, false, 20, 300});
  Over.startJob("a");
  CHECK(Over.tasks().front().CoresUsed == 0);
  Over.Now = Over.Now + Duration{500};
  CHECK(Over.tasks().front().CoresUsed == 20);
  CHECK(Over.tasks().front().MemoryMbUsed == 300);
  WorkerOrder Throttle;
  Throttle.Kind = OrderKind::Throttle;
  Throttle.Fence = 1;
  Throttle.Job = {"a"};
  Throttle.Try = 1;
  Throttle.Cores = 4;
  Over.Park.order(Worker, Throttle, Over.Now);
  CHECK(Over.tasks().front().CoresUsed == 4);
}

TEST_CASE("a worker that dies loses its tasks, a faulty one fails them") {
  Scene Over;
  Over.startJob("a");
  Over.Park.kill(Worker, Over.Now);
  CHECK(Over.tasks().empty());
  CHECK(Over.Park.runs(Over.Now).back().End == RunEnd::WorkerDied);
  Over.Park.setBehaviour({{"b"}, {0}, true, 0, 0});
  Over.startJob("b");
  CHECK(Over.tasks().front().Phase == TaskPhase::Failed);
}

TEST_CASE("a runner has its slots and no more") {
  RunnerPark Park;
  const RunnerId Runner{"runner-1"};
  Park.addRunner({Runner, {"d"}, 2, false});
  const auto First = Park.begin(Runner, {}, {0});
  REQUIRE(First.has_value());
  CHECK(Park.begin(Runner, {}, {0}).has_value());
  CHECK_FALSE(Park.begin(Runner, {}, {0}).has_value());
  Park.end(*First, {5});
  Park.end(*First, {6});
  CHECK(Park.begin(Runner, {}, {6}).has_value());
  CHECK_FALSE(Park.begin(Runner, {}, {6}).has_value());
  CHECK(Park.runs().front().To == Instant{5});
}

TEST_CASE("the instance list shows a change only after its lag") {
  InstanceBoard Board({1'000});
  Board.put({{{"a"}, {"d"}, "h", 1, 2, false}}, {0});
  CHECK(Board.shown({0}).size() == 1);
  Board.put({}, {500});
  CHECK(Board.shown({1'499}).size() == 1);
  CHECK(Board.shown({1'500}).empty());
}
