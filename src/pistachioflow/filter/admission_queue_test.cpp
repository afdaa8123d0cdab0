#include <catch2/catch.hpp>

#include "pistachioflow/filter/admission_queue.hpp"

using namespace pistachioflow;

namespace {

constexpr auto Round = RequestClass::RoundPairing;
constexpr auto Report = RequestClass::TiebreakReport;
constexpr auto Rating = RequestClass::RatingRecalculation;

WaitingRequest waiting(std::uint64_t Ticket, RequestClass Class,
                       Instant Deadline = {1'000}) {
  return {Ticket, Class, false, Deadline, {}};
}

} // namespace

TEST_CASE("requests leave by class and then by age") {
  AdmissionQueue Queue({});
  std::uint64_t Ticket = 0;
  for (const RequestClass Class : {Rating, Report, Round, Report, Round})
    Queue.push(waiting(++Ticket, Class));
  std::vector<std::uint64_t> Order;
  while (Queue.size() > 0)
    Order.push_back(Queue.next().Ticket);
  CHECK(Order == std::vector<std::uint64_t>{3, 5, 2, 4, 1});
}

TEST_CASE("each class gets its floor while earlier classes never run dry") {
  QueueSettings Settings;
  Settings.Capacity = 10'000;
  AdmissionQueue Queue(Settings);
  constexpr std::uint64_t Grants = 1'000;
  for (std::uint64_t Ticket = 0; Ticket < 3 * Grants; ++Ticket)
    Queue.push(waiting(Ticket, static_cast<RequestClass>(Ticket % 3)));
  std::array<double, RequestClasses> Taken{};
  for (std::uint64_t Grant = 0; Grant < Grants; ++Grant)
    Taken[indexOf(Queue.next().Class)] += 1.0 / Grants;
  CHECK(Taken[1] == Approx(Settings.Floor[1]).margin(0.002));
  CHECK(Taken[2] == Approx(Settings.Floor[2]).margin(0.002));
  CHECK(Taken[0] == Approx(0.85).margin(0.004));
}

TEST_CASE("a full queue gives up the newest request of a later class") {
  struct Row {
    std::vector<RequestClass> Held;
    RequestClass New;
    bool Accepted;
    std::uint64_t Evicted; // 0: none
  };
  const Row Case = GENERATE(values<Row>({
      {{Round, Report}, Round, true, 2},
      {{Rating, Report}, Round, true, 1},
      {{Rating, Rating}, Report, true, 2},
      {{Round, Round}, Round, false, 0},
      {{Round, Report}, Report, false, 0},
      {{Round, Round}, Rating, false, 0},
      {{Round}, Rating, true, 0},
  }));
  QueueSettings Settings;
  Settings.Capacity = 2;
  AdmissionQueue Queue(Settings);
  std::uint64_t Ticket = 0;
  for (const RequestClass Class : Case.Held)
    Queue.push(waiting(++Ticket, Class));
  const auto Result = Queue.push(waiting(9, Case.New));
  CHECK(Result.Accepted == Case.Accepted);
  CHECK((Result.Evicted ? Result.Evicted->Ticket : 0) == Case.Evicted);
  CHECK(Queue.size() <= Settings.Capacity);
}

TEST_CASE("what cannot end by its deadline is taken out") {
  const auto [Deadline, Usual, Taken] =
      GENERATE(table<std::int64_t, std::int64_t, bool>({
          {1'000, 100, false},
          {600, 100, false},
          {599, 100, true},
          {400, 0, true},
          {500, 0, false},
      }));
  AdmissionQueue Queue({});
  Queue.push(waiting(1, Round, {2'000}));
  Queue.push(waiting(2, Round, {Deadline}));
  const auto Hopeless =
      Queue.takeHopeless({500}, {Duration{Usual}, Duration{0}, Duration{0}});
  CHECK(Hopeless.has_value() == Taken);
  CHECK(Queue.size() == (Taken ? 1 : 2));
}

TEST_CASE("a request that waits again goes ahead of its class") {
  AdmissionQueue Queue({});
  Queue.push(waiting(1, Report));
  Queue.pushFront(waiting(2, Report));
  Queue.push(waiting(3, Round));
  CHECK(Queue.ahead(Round) == 1);
  CHECK(Queue.ahead(Report) == 3);
  CHECK(Queue.next().Ticket == 3);
  CHECK(Queue.next().Ticket == 2);
  CHECK(Queue.remove(1));
  CHECK_FALSE(Queue.remove(1));
}
