// End-to-end tests of cancellations that overtake the submissions of their
// jobs.

#include <csignal>
#include <functional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "scenario.hpp"

namespace pistachioflow {

namespace {

/// Longer than an instance keeps a caller of whose submission it knows nothing.
constexpr Duration CutTime{4'000};
/// In which a stored job would be started.
constexpr Duration ObservationTime{2'000};
constexpr Duration QueryPause{50};

/// Who cancels, where, and what becomes of the job.
struct CancelCase {
  const char *Name;
  CallerIdentity Caller;
  bool OwnerKilled; ///< Before the submission reaches the store.
  std::string State;
};

std::size_t otherThanOwner(const Fleet &Daemons) {
  return (static_cast<std::size_t>(Daemons.ownerIndex()) + 1) % Instances;
}

asio::awaitable<void> expectStatus(Fleet &Daemons, const char *Method,
                                   SubmittedJob Job, std::size_t Member,
                                   int Expected) {
  const int Status = co_await Daemons.statusOf(Method, std::move(Job), Member);
  if (Status != Expected)
    Daemons.recordViolation(std::string(Method) + " gets " +
                            std::to_string(Status));
}

/// Asks \p Member for the job's state until it is the expected one.
asio::awaitable<void> expectState(Fleet &Daemons, std::string JobId,
                                  std::size_t Member, std::string Expected) {
  const Instant StartedAt = Daemons.Time.monotonic();
  std::string State;
  while (Daemons.Time.monotonic() - StartedAt < EndLimit) {
    State = co_await Daemons.queryState(JobId, Member);
    if (State == Expected)
      co_return;
    co_await pauseFor(Daemons.io(), QueryPause);
  }
  Daemons.recordViolation("shown as '" + State + "'");
}

asio::awaitable<void> killOwner(Fleet &Daemons, std::size_t Owner) {
  const std::int64_t Epoch = Daemons.ownerEpoch();
  Daemons.signalMember(Owner, SIGKILL);
  const std::function<bool()> Replaced = [&Daemons, Epoch] {
    return Daemons.ownerEpoch() > Epoch;
  };
  if (!co_await Daemons.waitUntil(Replaced, StartLimit))
    Daemons.recordViolation("no new owner");
}

} // namespace

// Guards against a job that is started after its cancelling was acknowledged:
// an instance that was cut off from the store submitted it later.
TEST_CASE("a cancelled job is not started however late its submission is",
          "[late]") {
  const auto Case = GENERATE(
      CancelCase{"own", {}, false, "cancelled"},
      CancelCase{"owner_killed", {}, true, "cancelled"},
      CancelCase{"other", {"other-key", PrivatePath}, false, "completed"});
  CAPTURE(Case.Name);
  Fleet Fixture(Instances, WorkerCount, 1,
                folder(std::string("early_cancel_") + Case.Name));
  const std::vector<std::string> Violations =
      Fixture.run([&Case](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        const auto Owner = static_cast<std::size_t>(Daemons.ownerIndex());
        const std::size_t CutOff = otherThanOwner(Daemons);
        SubmittedJob Job = makeJob(1, 3, false, TaskScript{});
        Daemons.Platform.Simulator.expectJob(Job.Id);
        Daemons.Members[CutOff]->StoreProxy->setFault(PathFault::Blocked);
        co_await expectStatus(Daemons, "POST", Job, CutOff, 504);
        Daemons.Caller = Case.Caller;
        co_await expectStatus(Daemons, "DELETE", Job, Owner, 410);
        co_await expectStatus(Daemons, "GET", Job, Owner, 410);
        Daemons.Caller = {};
        if (Case.OwnerKilled)
          co_await killOwner(Daemons, Owner);
        else
          co_await pauseFor(Daemons.io(), CutTime);
        Daemons.Members[CutOff]->StoreProxy->setFault(PathFault::None);
        co_await expectState(Daemons, Job.Id, CutOff, Case.State);
        co_await pauseFor(Daemons.io(), ObservationTime);
        const bool Started = Daemons.Platform.Simulator.startCount() > 0;
        if (Started != (Case.State == "completed"))
          Daemons.recordViolation(Started ? "started" : "never started");
      });
  REQUIRE(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
