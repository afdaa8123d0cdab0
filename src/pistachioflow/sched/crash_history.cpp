#include "pistachioflow/sched/crash_history.hpp"

#include <algorithm>
#include <utility>

namespace pistachioflow {

namespace {

/// This many crashes early in confirmed runs show that the task crashes its
/// workers. Two are too few: a task may share two workers with tasks that do.
constexpr std::int64_t MaxEarlyCrashes = 3;
/// This many crashes of any kind end a unit, since an unanswered start may have
/// crashed its worker too.
constexpr std::int64_t MaxCrashes = 4;
/// Shared crashes, which may be another job's fault, reach only this limit: the
/// platform allows two starts after the third crash.
constexpr std::int64_t MaxCrashesWithShared = 5;
/// This many workers that crashed or never returned end a unit as well. A
/// worker that does return may be listed under another id.
constexpr std::int64_t MaxLosses = 5;
constexpr Duration FirstBackoff{200};
/// Workers return some seconds after a crash. A worker that does not return for
/// this long has left.
constexpr Duration SuspicionTime{20'000};

bool sameProcess(const CrashRecord &Left, const CrashRecord &Right) {
  return Left.Worker == Right.Worker &&
         Left.IncarnationStartMs == Right.IncarnationStartMs &&
         Left.Run == Right.Run && Left.Member == Right.Member;
}

bool isSuspected(const CrashRecord &Entry) { return Entry.Suspected; }

bool isCounted(const CrashRecord &Entry) { return !isSuspected(Entry); }

bool isEarlyCrash(const CrashRecord &Entry) {
  return isCounted(Entry) && Entry.Evidence == CrashEvidence::Early;
}

/// Whether at least \p Limit of the crashes that \p Counts accepts lie under
/// one member.
template <typename Predicate>
bool anyMemberReaches(const CrashHistory &History, std::int64_t Limit,
                      Predicate Counts) {
  return std::ranges::any_of(History.Crashes, [&](const CrashRecord &First) {
    return std::ranges::count_if(
               History.Crashes, [&](const CrashRecord &Entry) {
                 return Entry.Member == First.Member && Counts(Entry);
               }) >= Limit;
  });
}

/// Whether the crashes that \p Counts accepts are too many of any kind.
template <typename Predicate>
bool anyKindReachesLimit(const CrashHistory &History, Predicate Counts) {
  const auto CountsAlone = [&Counts](const CrashRecord &Entry) {
    return Counts(Entry) && !Entry.Shared;
  };
  return anyMemberReaches(History, MaxCrashes, CountsAlone) ||
         anyMemberReaches(History, MaxCrashesWithShared, Counts);
}

bool tooManyLosses(const CrashHistory &History) {
  return anyMemberReaches(History, MaxLosses,
                          [](const CrashRecord &) { return true; });
}

} // namespace

bool recordCrash(CrashHistory &History, CrashRecord Crash) {
  const auto Same = [&Crash](const CrashRecord &Entry) {
    return sameProcess(Entry, Crash);
  };
  if (std::ranges::any_of(History.Crashes, Same))
    return false;
  History.Crashes.push_back(std::move(Crash));
  return true;
}

void suspectCrash(CrashHistory &History, CrashRecord Crash, Instant Now) {
  // A run that lasted does not crash its workers.
  const bool Lasted = Crash.Evidence == CrashEvidence::Late;
  if (Lasted && Now >= History.SuspicionEnds)
    std::erase_if(History.Crashes, isSuspected);
  Crash.Suspected = true;
  History.SuspicionEnds = Now + SuspicionTime;
  recordCrash(History, std::move(Crash));
}

std::vector<CrashRecord> settleSuspicions(CrashHistory &History,
                                          std::string_view Worker,
                                          std::int64_t IncarnationStartMs) {
  const auto Open = [&](const CrashRecord &Entry) {
    return Entry.Suspected && Entry.Worker == Worker;
  };
  std::erase_if(History.Crashes, [&](const CrashRecord &Entry) {
    return Open(Entry) && Entry.IncarnationStartMs == IncarnationStartMs;
  });
  std::vector<CrashRecord> Settled;
  for (CrashRecord &Entry : History.Crashes) {
    if (!Open(Entry))
      continue;
    Entry.Suspected = false;
    Settled.push_back(Entry);
  }
  return Settled;
}

std::int64_t crashesUnder(const CrashHistory &History, std::int64_t Member) {
  return std::ranges::count_if(History.Crashes, [&](const CrashRecord &Entry) {
    return Entry.Member == Member && !Entry.Suspected;
  });
}

bool crashLimitReached(const CrashHistory &History) {
  return anyMemberReaches(History, MaxEarlyCrashes, isEarlyCrash) ||
         anyKindReachesLimit(History, isCounted);
}

bool lossLimitReached(const CrashHistory &History, Instant Now) {
  return Now >= History.SuspicionEnds && tooManyLosses(History);
}

bool mayStartAfterCrashes(const CrashHistory &History, Instant Now) {
  if (tooManyLosses(History))
    return false;
  const bool SuspicionsCount = Now < History.SuspicionEnds;
  return !anyKindReachesLimit(History,
                              [SuspicionsCount](const CrashRecord &Entry) {
                                return !Entry.Suspected || SuspicionsCount;
                              });
}

Duration crashBackoff(const CrashHistory &History, std::int64_t Member) {
  const std::int64_t Crashes =
      std::clamp<std::int64_t>(crashesUnder(History, Member), 1, MaxCrashes);
  return FirstBackoff * (std::int64_t{1} << (Crashes - 1));
}

CrashHistory readCrashes(const UnitRecord &Record, Instant Now) {
  return {Record.Crashes, Now + SuspicionTime};
}

} // namespace pistachioflow
