#include "pistachioflow/sched/crash_history.hpp"

#include <algorithm>
#include <utility>

namespace pistachioflow {

namespace {

bool sameProcess(const CrashRecord &Left, const CrashRecord &Right) {
  return Left.Worker == Right.Worker &&
         Left.IncarnationStartMs == Right.IncarnationStartMs &&
         Left.Run == Right.Run && Left.Member == Right.Member;
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

std::int64_t crashesUnder(const CrashHistory &History, std::int64_t Member) {
  return std::ranges::count(History.Crashes, Member, &CrashRecord::Member);
}

} // namespace pistachioflow
