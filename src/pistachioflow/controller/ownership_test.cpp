#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "pistachioflow/controller/ownership.hpp"

using namespace pistachioflow;

namespace {

const InstanceId A{"a"};
const InstanceId B{"b"};
const InstanceId C{"c"};
const LeaseSettings Lease;

Record make(const char *Id, const InstanceId &Author, Epoch At, Payload What) {
  return {{RecordVersion, {Id}, Author, At, {0}}, std::move(What)};
}

Record claim(const char *Id, const InstanceId &Author, Epoch At) {
  return make(Id, Author, At, OwnerClaimed{Author});
}

Record renewal(const char *Id, const InstanceId &Author, Epoch At) {
  return make(Id, Author, At, OwnerRenewed{});
}

Record release(const char *Id, const InstanceId &Author, Epoch At,
               const InstanceId &Successor) {
  return make(Id, Author, At, OwnerReleased{Successor});
}

/// Sends a record at \p Sent and reads it back at \p Read.
bool sendAndRead(LeaseView &View, const Record &Value, Instant Sent,
                 Instant Read) {
  noteSending(View, Value, Sent);
  const bool Valid = noteRecord(View, Value, Lease, Read);
  noteReadEnd(View, Read);
  return Valid;
}

/// The view of A, which claimed an empty stream at 1,000 ms.
LeaseView viewOfOwner() {
  LeaseView View;
  noteReadEnd(View, {900});
  REQUIRE(sendAndRead(View, claim("c1", A, 1), {1'000}, {1'010}));
  return View;
}

/// The view of another instance that read that claim at 2,000 ms.
LeaseView viewOfOther() {
  LeaseView View;
  noteRecord(View, claim("c1", A, 1), Lease, {2'000});
  noteReadEnd(View, {2'000});
  return View;
}

} // namespace

TEST_CASE("the fold takes over only what the owner's epoch allows") {
  struct Case {
    const char *Name;
    Record Value;
    bool IsValid;
    OwnershipState After;
  };
  const OwnershipState OwnedByA{A, 2, {}, false};
  const auto Given = GENERATE_COPY(values<Case>({
      {"next claim", claim("x", B, 3), true, {B, 3, {}, false}},
      {"claim of the same epoch", claim("x", B, 2), false, OwnedByA},
      {"claim too far ahead", claim("x", B, 4), false, OwnedByA},
      {"claim for another", make("x", B, 3, OwnerClaimed{C}), false, OwnedByA},
      {"claim for nobody", make("x", {}, 3, OwnerClaimed{}), false, OwnedByA},
      {"renewal", renewal("x", A, 2), true, OwnedByA},
      {"renewal of an old epoch", renewal("x", A, 1), false, OwnedByA},
      {"renewal by another", renewal("x", B, 2), false, OwnedByA},
      {"decisions", make("x", A, 2, DecisionsMade{}), true, OwnedByA},
      {"old decisions", make("x", A, 1, DecisionsMade{}), false, OwnedByA},
      {"snapshot", make("x", A, 2, SnapshotTaken{}), true, OwnedByA},
      {"snapshot by another", make("x", B, 2, SnapshotTaken{}), false,
       OwnedByA},
      {"release", release("x", A, 2, B), true, {A, 2, B, true}},
      {"old release", release("x", A, 1, B), false, OwnedByA},
      {"release by another", release("x", B, 2, B), false, OwnedByA},
      {"facts of anyone", make("x", C, 0, FactsObserved{}), true, OwnedByA},
      {"keys of anyone", make("x", C, 0, KeysAppended{}), true, OwnedByA},
      {"edit of anyone", make("x", C, 0, PlansEdited{}), true, OwnedByA},
  }));
  INFO(Given.Name);
  OwnershipState State = OwnedByA;
  CHECK(foldOwnership(State, Given.Value) == Given.IsValid);
  CHECK(State == Given.After);
}

TEST_CASE("an owner that released decides nothing more") {
  OwnershipState State{A, 2, B, true};
  CHECK_FALSE(foldOwnership(State, make("x", A, 2, DecisionsMade{})));
  CHECK_FALSE(foldOwnership(State, renewal("x", A, 2)));
  CHECK(foldOwnership(State, claim("x", C, 3)));
  CHECK(State == OwnershipState{C, 3, {}, false});
}

TEST_CASE("an owner acts for its lease less the margin since it sent") {
  const auto [Name, Now, Acts, Step] =
      GENERATE(table<const char *, Instant, bool, LeaseStep>({
          {"at once", {1'010}, true, LeaseStep::Wait},
          {"renews in time", {1'800}, true, LeaseStep::Renew},
          {"last moment", {3'499}, true, LeaseStep::Renew},
          {"ended", {3'500}, false, LeaseStep::Wait},
          {"woken long after", {60'000}, false, LeaseStep::Wait},
      }));
  INFO(Name);
  const LeaseView View = viewOfOwner();
  CHECK(mayAct(View, A, Lease, Now) == Acts);
  CHECK(nextLeaseStep(View, A, A, Lease, Now) == Step);
}

TEST_CASE("a renewal counts from when it was sent and only once read back") {
  LeaseView View = viewOfOwner();
  const Record Value = renewal("r1", A, 1);
  noteSending(View, Value, {3'000});
  CHECK_FALSE(mayAct(View, A, Lease, {3'600}));
  noteRecord(View, Value, Lease, {5'000});
  CHECK(mayAct(View, A, Lease, {5'000}));
  CHECK_FALSE(mayAct(View, A, Lease, {5'500}));
}

TEST_CASE("a sign that was sent twice counts from the first time") {
  LeaseView View = viewOfOwner();
  const Record Value = renewal("r1", A, 1);
  noteSending(View, Value, {2'000});
  noteSending(View, Value, {3'000});
  noteRecord(View, Value, Lease, {3'100});
  CHECK(View.ProvenFrom == Instant{2'000});
  CHECK(View.Unread.empty());
}

TEST_CASE("an ended lease is claimed anew and never prolonged") {
  LeaseView View = viewOfOwner();
  noteReadEnd(View, {60'000});
  REQUIRE(nextLeaseStep(View, A, A, Lease, {60'010}) == LeaseStep::Claim);
  REQUIRE(sendAndRead(View, claim("c2", A, 2), {60'020}, {60'030}));
  CHECK(mayAct(View, A, Lease, {60'030}));
  CHECK(View.HeldEpoch == 2);
}

TEST_CASE("a woken owner that was replaced does nothing") {
  LeaseView View = viewOfOwner();
  REQUIRE(noteRecord(View, claim("c2", B, 2), Lease, {60'000}));
  noteReadEnd(View, {60'000});
  CHECK_FALSE(mayAct(View, A, Lease, {60'000}));
  CHECK(nextLeaseStep(View, A, A, Lease, {60'000}) == LeaseStep::Wait);
}

TEST_CASE("a process does not inherit what its name owned") {
  LeaseView View;
  noteRecord(View, claim("c1", A, 1), Lease, {100});
  noteReadEnd(View, {100});
  CHECK_FALSE(mayAct(View, A, Lease, {110}));
  CHECK(nextLeaseStep(View, A, A, Lease, {110}) == LeaseStep::Wait);
  noteReadEnd(View, {3'100});
  CHECK(nextLeaseStep(View, A, A, Lease, {3'100}) == LeaseStep::Claim);
}

TEST_CASE("a challenger waits a whole lease since it saw the last sign") {
  const auto [Name, ReadAt, Rank, Step] =
      GENERATE(table<const char *, Instant, std::size_t, LeaseStep>({
          {"too early", {4'999}, 0, LeaseStep::Wait},
          {"preferred", {5'000}, 0, LeaseStep::Claim},
          {"second too early", {5'399}, 1, LeaseStep::Wait},
          {"second", {5'400}, 1, LeaseStep::Claim},
          {"third too early", {5'799}, 2, LeaseStep::Wait},
          {"third", {5'800}, 2, LeaseStep::Claim},
      }));
  INFO(Name);
  LeaseView View = viewOfOther();
  noteReadEnd(View, ReadAt);
  CHECK(nextLeaseStep(View, B, Rank, Lease, {9'000}) == Step);
}

TEST_CASE("a challenger that was paused reads before it claims") {
  LeaseView View = viewOfOther();
  CHECK(nextLeaseStep(View, B, B, Lease, {60'000}) == LeaseStep::Wait);
  noteRecord(View, renewal("r9", A, 1), Lease, {60'000});
  noteReadEnd(View, {60'000});
  CHECK(nextLeaseStep(View, B, B, Lease, {60'000}) == LeaseStep::Wait);
}

TEST_CASE("after an outage of the log owners come back first") {
  LeaseView View = viewOfOther();
  noteReadFailed(View, {30'000});
  noteReadEnd(View, {30'100});
  CHECK(nextLeaseStep(View, B, B, Lease, {30'100}) == LeaseStep::Wait);
  noteReadEnd(View, {30'800});
  CHECK(nextLeaseStep(View, B, B, Lease, {30'800}) == LeaseStep::Claim);
}

TEST_CASE("a new owner waits for a renewal that came before its claim") {
  LeaseView View = viewOfOther();
  const Record Own = claim("c2", B, 2);
  noteSending(View, Own, {5'000});
  noteRecord(View, renewal("r9", A, 1), Lease, {5'100});
  REQUIRE(noteRecord(View, Own, Lease, {5'100}));
  CHECK_FALSE(mayAct(View, B, Lease, {5'100}));
  REQUIRE(sendAndRead(View, renewal("r10", B, 2), {6'000}, {6'010}));
  CHECK_FALSE(mayAct(View, B, Lease, {8'099}));
  CHECK(mayAct(View, B, Lease, {8'100}));
  noteStopping(View, {6'100});
  CHECK_FALSE(mayRelease(View, B, Lease, {8'099}));
  CHECK(mayRelease(View, B, Lease, {8'100}));
}

TEST_CASE("claiming its own stream again shortens no wait for others") {
  LeaseView View = viewOfOther();
  const Record Own = claim("c2", B, 2);
  noteSending(View, Own, {5'000});
  noteRecord(View, renewal("r9", A, 1), Lease, {9'000});
  REQUIRE(noteRecord(View, Own, Lease, {9'000}));
  noteReadEnd(View, {9'000});
  REQUIRE(nextLeaseStep(View, B, B, Lease, {9'000}) == LeaseStep::Claim);
  REQUIRE(sendAndRead(View, claim("c3", B, 3), {9'100}, {9'110}));
  CHECK_FALSE(mayAct(View, B, Lease, {9'110}));
  REQUIRE(sendAndRead(View, renewal("r10", B, 3), {11'000}, {11'010}));
  CHECK_FALSE(mayAct(View, B, Lease, {11'999}));
  CHECK(mayAct(View, B, Lease, {12'000}));
}

TEST_CASE("a claim that lost the race owns nothing") {
  LeaseView View = viewOfOther();
  const Record Own = claim("c2b", B, 2);
  noteSending(View, Own, {5'000});
  REQUIRE(noteRecord(View, claim("c2c", C, 2), Lease, {5'100}));
  CHECK_FALSE(noteRecord(View, Own, Lease, {5'100}));
  noteReadEnd(View, {5'100});
  CHECK_FALSE(mayAct(View, B, Lease, {5'100}));
  CHECK(nextLeaseStep(View, B, B, Lease, {8'000}) == LeaseStep::Wait);
}

TEST_CASE("a released stream goes to its successor at once") {
  LeaseView View = viewOfOther();
  REQUIRE(noteRecord(View, release("x", A, 1, B), Lease, {2'500}));
  noteReadEnd(View, {2'500});
  CHECK(nextLeaseStep(View, C, C, Lease, {2'500}) == LeaseStep::Wait);
  REQUIRE(nextLeaseStep(View, B, C, Lease, {2'500}) == LeaseStep::Claim);
  REQUIRE(sendAndRead(View, claim("c2", B, 2), {2'510}, {2'520}));
  CHECK(mayAct(View, B, Lease, {2'520}));
}

TEST_CASE("a successor that never claims is replaced") {
  LeaseView View = viewOfOther();
  noteRecord(View, release("x", A, 1, B), Lease, {2'500});
  noteReadEnd(View, {3'300});
  CHECK(nextLeaseStep(View, C, C, Lease, {3'300}) == LeaseStep::Claim);
}

TEST_CASE("an owner stops before it sends its release") {
  LeaseView View = viewOfOwner();
  CHECK_FALSE(mayRelease(View, A, Lease, {1'100}));
  noteStopping(View, {1'100});
  CHECK_FALSE(mayAct(View, A, Lease, {1'100}));
  CHECK(nextLeaseStep(View, A, A, Lease, {2'400}) == LeaseStep::Wait);
  CHECK_FALSE(mayRelease(View, A, Lease, {1'599}));
  REQUIRE(mayRelease(View, A, Lease, {1'600}));
  REQUIRE(sendAndRead(View, release("x", A, 1, B), {1'600}, {1'610}));
  CHECK_FALSE(mayRelease(View, A, Lease, {1'620}));
}

TEST_CASE("a snapshot shows an owner and proves no lease") {
  LeaseView View;
  noteSnapshot(View, {A, 4, {}, false}, {100});
  noteReadEnd(View, {100});
  CHECK_FALSE(mayAct(View, A, Lease, {100}));
  CHECK(nextLeaseStep(View, B, B, Lease, {100}) == LeaseStep::Wait);
  noteReadEnd(View, {3'100});
  CHECK(nextLeaseStep(View, B, B, Lease, {3'100}) == LeaseStep::Claim);
}

TEST_CASE("rendezvous hashing moves only what a lost instance owned") {
  std::vector<InstanceId> Live;
  for (int Number = 0; Number < 9; ++Number)
    Live.push_back({"instance-" + std::to_string(Number)});
  const InstanceId Lost = Live.back();
  std::vector<InstanceId> Rest(Live.begin(), Live.end() - 1);
  int Moved = 0;
  constexpr int Scopes = 900;
  for (int Number = 0; Number < Scopes; ++Number) {
    const StreamName Scope{"cell/" + std::to_string(Number)};
    const InstanceId Before = preferredOwner(Scope, Live);
    const InstanceId After = preferredOwner(Scope, Rest);
    CHECK((Before == After || Before == Lost));
    CHECK(claimRank(Scope, Live, Before, {}) == 0);
    CHECK(claimRank(Scope, Live, After, Lost) == 0);
    Moved += Before == Lost ? 1 : 0;
  }
  CHECK(Moved > 0);
  CHECK(Moved < Scopes / 4);
}

TEST_CASE("nobody is preferred where nobody lives") {
  CHECK(preferredOwner({"cell/a"}, {}).empty());
}
