#include "world.h"

#include <algorithm>
#include <csignal>
#include <numeric>

namespace {

Json step(std::int64_t Count, const Resources &Needs, std::int64_t Ms) {
  Json Step = {{"count", Count},
               {"cpu", Needs.Cpu},
               {"memory_request_mb", Needs.Mem},
               {"estimated_duration_ms", Ms}};
  if (Needs.Gpus > 0)
    Step["gpus"] = Needs.Gpus;
  return Step;
}

std::string specification(const Resources &Needs, std::int64_t Ms,
                          bool Lasts = false) {
  return "work=" + std::to_string(Ms) + " cpu=" + std::to_string(Needs.Cpu) +
         " mem=" + std::to_string(Needs.Mem) +
         " gpus=" + std::to_string(Needs.Gpus) +
         " lasts=" + (Lasts ? "1" : "0");
}

/// Starts a small deployment. Returns whether all daemons are ready.
awaitable<bool> begin(World &Of, std::size_t Daemons, std::size_t Runners) {
  constexpr std::size_t PerRack = 8;
  for (std::size_t Index = 0; Index < Runners; ++Index)
    Of.Workers.add("a", "r1-" + std::to_string(1 + Index / PerRack),
                   {32'000, 131'072, 8});
  Of.publish();
  Of.Workers.start(1500, Of.Entries.Bounds["max_hold_ms"],
                   Of.Entries.Bounds["stop_timeout_ms"]);
  Of.Entries.add(Daemons);
  for (std::size_t Index = 0; Index < Daemons; ++Index)
    Of.Entries.start(Index);
  const bool Ready = co_await Of.Entries.allReady(15'000);
  note(Ready ? "all daemons are ready" : "not all daemons became ready");
  if (Ready)
    co_await sleepMs(3000); // An owner is there and knows the runners.
  co_return Ready;
}

int verdict(const std::vector<std::string> &Breaches) {
  note("%zu breaches", Breaches.size());
  for (std::size_t Index = 0; Index < Breaches.size() && Index < 20; ++Index)
    note("BROKEN %s", Breaches[Index].c_str());
  return Breaches.empty() ? 0 : 1;
}

/// TWICE: the daemon that leads is killed while more than 500 ends a runner
/// come to be listed.
awaitable<int> manyEnds(World &Of) {
  if (!co_await begin(Of, 4, 2))
    co_return 2;
  constexpr std::int64_t Count = 1'300, WorkMs = 7'000;
  const Resources Needs{40, 128, 0};
  const std::string Id = "5c0e7a21d94b36f8";
  const Json Job = {{"specification", specification(Needs, WorkMs)},
                    {"steps", {step(Count, Needs, WorkMs)}}};
  if (co_await Of.submit(0, Id, Job) != 200)
    co_return 2;
  const std::int64_t Begun = nowMs();
  while (Of.Workers.DoneCount == 0 && nowMs() - Begun < 30'000)
    co_await sleepMs(10);
  note("%zu tasks run when the first ends", Of.Workers.runningCount());
  for (const auto &Entry : Of.Workers.List)
    note("%s runs %zu", Entry->Id.c_str(), Entry->Running.size());
  if (Of.Workers.DoneCount == 0)
    co_return 2;
  if (Of.Trouble) {
    const std::size_t Leader = Of.Platform.busiestWriter();
    Of.Entries.signal(Leader, SIGKILL);
    co_await sleepMs(1000);
    Of.Entries.reap();
    Of.Entries.start(Leader);
  }
  std::string State;
  const std::int64_t Waiting = nowMs();
  while (nowMs() - Waiting < 40'000 && State != "completed") {
    co_await sleepMs(500);
    State = co_await Of.state(1, Id);
  }
  co_await sleepMs(2000);
  co_return verdict(Of.Workers.twice());
}

/// BUDGET: a task crashes each runner that starts it; a machine that is new
/// takes the place of each.
awaitable<int> deadly(World &Of) {
  if (!co_await begin(Of, 3, 12))
    co_return 2;
  const Resources Needs{4'000, 8'192, 1};
  const std::string Id = "4b1d7a21d94b36f9", Task = Id + ".0.0.0";
  // One job of eleven is deadly; the others are sound and come first.
  for (int Index = 0; Index < 10; ++Index) {
    char Sound[20];
    std::snprintf(Sound, sizeof(Sound), "4b1d7a21d94b3f%02x", Index);
    const Json Other = {{"specification", specification(Needs, 2'500)},
                        {"steps", {step(1, Needs, 2'500)}}};
    if (co_await Of.submit(0, Sound, Other) != 200)
      co_return 2;
  }
  co_await sleepMs(5'000);
  const std::string Specification =
      specification(Needs, 2'500) + (Of.Trouble ? " deadly=1" : "");
  const Json Job = {{"specification", Specification},
                    {"steps", {step(1, Needs, 2'500)}}};
  if (co_await Of.submit(0, Id, Job) != 200)
    co_return 2;
  std::string State;
  const std::int64_t Begun = nowMs();
  while (nowMs() - Begun < 70'000 && State != "completed" &&
         State != "failed") {
    co_await sleepMs(1000);
    State = co_await Of.state(1, Id);
  }
  // Each start of it crashes its runner before the next one.
  const std::size_t Starts = Of.Workers.Tasks[Task].Starts.size();
  note("%zu starts", Starts);
  std::vector<std::string> Breaches;
  if (Of.Trouble && Starts >= 6)
    Breaches.push_back("started " + std::to_string(Starts - 3) +
                       " times more after three runners had crashed under it");
  co_return verdict(Breaches);
}

/// TWICE: a daemon that was cut off from the store hands in a job again that
/// another daemon has accepted, run and forgotten since.
awaitable<int> lateAppend(World &Of) {
  Of.Entries.Bounds["status_s"] = 20;
  if (!co_await begin(Of, 3, 8))
    co_return 2;
  const Resources Needs{1'000, 1'024, 1};
  const std::string Id = "3a2d7a21d94b36f7";
  const Json Job = {{"specification", specification(Needs, 800)},
                    {"steps", {step(2, Needs, 800)}}};
  // Another job, so that the daemon has open channels to the store.
  co_await Of.submit(0, "3a2d7a21d94b3600", Job);
  co_await sleepMs(200);
  if (Of.Trouble)
    Of.Platform.cut(Of.Entries.List[0].Link, true);
  const int First = co_await Of.submit(0, Id, Job);
  if (First != 200 && co_await Of.submit(1, Id, Job) != 200)
    co_return 2;
  std::string State;
  const std::int64_t Waiting = nowMs();
  while (nowMs() - Waiting < 10'000 && State != "completed") {
    co_await sleepMs(500);
    State = co_await Of.state(1, Id);
  }
  if (State != "completed")
    co_return 2;
  co_await sleepMs(85'000);
  Of.Platform.cut(Of.Entries.List[0].Link, false);
  co_await sleepMs(6'000);
  co_await Of.state(1, Id);
  co_return verdict(Of.Workers.twice());
}

/// UNASKED: a job is cancelled, the cancelling is acknowledged, and the job is
/// started afterwards, since a daemon hands it in late.
awaitable<int> cancelledFirst(World &Of) {
  if (!co_await begin(Of, 3, 8))
    co_return 2;
  const Resources Needs{1'000, 1'024, 1};
  const std::string Id = "2f4c7a21d94b36f5", Warm = "2f4c7a21d94b3600";
  const Json Job = {{"specification", specification(Needs, 2'500)},
                    {"steps", {step(3, Needs, 2'500)}}};
  // Another job, so that the daemon has open channels to the store.
  if (co_await Of.submit(0, Warm, Job) != 200)
    co_return 2;
  co_await sleepMs(1000);
  const std::int64_t CutAt = nowMs();
  if (Of.Trouble) {
    Of.Platform.cut(Of.Entries.List[0].Link, true);
    note("%s is cut off from the store", Of.Entries.List[0].Name.c_str());
  }
  co_await Of.submit(0, Id, Job);
  // The client gives up and cancels; the balancer takes it to another daemon.
  const int Cancelled = co_await Of.cancel(1, Id);
  if (Cancelled != 410 && Cancelled / 100 != 2)
    co_return 2;
  const std::int64_t CancelledAt = nowMs();
  co_await sleepMs(CutAt + 5'000 - nowMs());
  // The daemon that is cut off cannot be the one that leads now. As long as the
  // runners see no higher token, it is that other one that starts tasks; it has
  // been in touch all the while.
  std::int64_t Token = 0;
  for (const auto &Entry : Of.Workers.List)
    Token = std::max(Token, Entry->Fence);
  const std::size_t Leader = Of.Platform.busiestWriter();
  note("%s leads, token %lld", Of.Entries.List[Leader].Name.c_str(),
       static_cast<long long>(Token));
  Of.Platform.cut(Of.Entries.List[0].Link, false);
  if (Of.Trouble)
    note("%s reaches the store again", Of.Entries.List[0].Name.c_str());
  co_await sleepMs(6'000);
  co_await Of.state(1, Id);
  std::vector<std::string> Breaches;
  const std::int64_t CancelMs = Of.Entries.Bounds["cancel_ms"];
  for (const auto &[Name, Seen] : Of.Workers.Tasks)
    for (const History::Start &Start : Seen.Starts)
      if (Name.starts_with(Id) && Start.At > CancelledAt + CancelMs &&
          Leader != 0 && Start.Token == Token)
        Breaches.push_back(
            Name + " starts " + std::to_string(Start.At - CancelledAt) +
            " ms after the cancelling of its job was acknowledged with " +
            std::to_string(Cancelled));
  co_return verdict(Breaches);
}

/// Fault: a runner that was cut off for long comes back after a job that it
/// once ran has been forgotten.
awaitable<int> longCut(World &Of) {
  Of.Entries.Bounds["status_s"] = 20;
  if (!co_await begin(Of, 3, 12))
    co_return 2;
  const Resources Needs{4'000, 8'192, 1};
  const std::string Id = "1e5d7a21d94b36f3", Task = Id + ".0.0.0";
  Json Step = step(1, Needs, 0);
  Step["long_running"] = true;
  const Json Job = {{"specification", specification(Needs, 0, true)},
                    {"steps", {Step}}};
  if (co_await Of.submit(0, Id, Job) != 200)
    co_return 2;
  co_await sleepMs(600);
  Runner *First = Of.Workers.runnerOf(Task);
  if (!First)
    co_return 2;
  const std::int64_t Begun = nowMs();
  if (Of.Trouble) {
    First->Cut = true;
    note("%s is cut off", First->Id.c_str());
  }
  co_await sleepMs(Begun + 20'500 - nowMs());
  Runner *Second = Of.Workers.runnerOf(Task);
  if (!Second)
    co_return 2;
  if (Of.Trouble) {
    Second->Cut = true;
    note("%s is cut off", Second->Id.c_str());
  }
  co_await sleepMs(Begun + 28'500 - nowMs());
  Second->Cut = false;
  if (co_await Of.cancel(0, Id) != 200)
    co_return 2;
  co_await sleepMs(Begun + 28'500 + 81'500 - nowMs());
  First->Cut = false;
  note("%s is reached again", First->Id.c_str());
  co_await sleepMs(1'800);
  Of.Entries.reap();
  std::vector<std::string> Breaches;
  if (Of.Entries.OwnEnds > 0)
    Breaches.push_back("a daemon has ended by itself");
  co_return verdict(Breaches);
}

/// LOST: tasks that last fail again and again; a job on its last attempt waits.
awaitable<int> lastAttempt(World &Of) {
  if (!co_await begin(Of, 3, 8))
    co_return 2;
  const Resources Needs{1'000, 1'024, 1};
  constexpr int Lasting = 2;
  Json Lasts = step(1, Needs, 0);
  Lasts["long_running"] = true;
  const Json Service = {{"specification", specification(Needs, 0, true)},
                        {"steps", {Lasts}}};
  for (int Index = 0; Index < Lasting; ++Index) {
    char Id[20];
    std::snprintf(Id, sizeof(Id), "77777777777777%02x", Index);
    if (co_await Of.submit(0, Id, Service) != 200)
      co_return 2;
  }
  co_await sleepMs(4000);
  if (Of.Trouble) {
    Of.Workers.LastingFail = true;
    note("tasks that last begin to fail");
  }
  co_await sleepMs(2000);
  const std::string Id = "6c3e7a21d94b36f1", Task = Id + ".0.0.0";
  const Json Job = {{"specification", specification(Needs, 1'000) + " fails=3"},
                    {"steps", {step(1, Needs, 1'000)}}};
  if (co_await Of.submit(0, Id, Job) != 200)
    co_return 2;
  const std::int64_t SubmittedAt = nowMs();
  const std::int64_t FinishMs =
      Of.Entries.Bounds["finish_s"].get<std::int64_t>() * 1'000;
  std::string State;
  std::int64_t RunningAt = nowMs(), Longest = 0;
  std::int64_t NextLook = 0, MostUsed = 0;
  while (nowMs() - SubmittedAt < 60'000 && State != "completed" &&
         State != "failed") {
    co_await sleepMs(50);
    // From finish_s after the last submission; with room for it twice over, and
    // under half of the service's capacity in use.
    Resources All, Used;
    std::int64_t Fits = 0;
    for (const auto &Entry : Of.Workers.List) {
      Resources Here;
      for (const auto &[Name, Run] : Entry->Running) {
        Here.Cpu += Run.What.Needs.Cpu;
        Here.Mem += Run.What.Needs.Mem;
        Here.Gpus += Run.What.Needs.Gpus;
      }
      All = {All.Cpu + Entry->Capacity.Cpu, All.Mem + Entry->Capacity.Mem,
             All.Gpus + Entry->Capacity.Gpus};
      Used = {Used.Cpu + Here.Cpu, Used.Mem + Here.Mem, Used.Gpus + Here.Gpus};
      Fits += std::min({(Entry->Capacity.Cpu - Here.Cpu) / Needs.Cpu,
                        (Entry->Capacity.Mem - Here.Mem) / Needs.Mem,
                        (Entry->Capacity.Gpus - Here.Gpus) / Needs.Gpus});
    }
    MostUsed = std::max(MostUsed, Used.Gpus);
    const bool Room = Fits >= 2 && Used.Cpu * 2 < All.Cpu &&
                      Used.Mem * 2 < All.Mem && Used.Gpus * 2 < All.Gpus;
    if (Of.Workers.runnerOf(Task) || nowMs() - SubmittedAt < FinishMs || !Room)
      RunningAt = nowMs();
    Longest = std::max(Longest, nowMs() - RunningAt);
    if (nowMs() < NextLook)
      continue;
    State = co_await Of.state(1, Id);
    NextLook = nowMs() + 1'000;
  }
  note("the job is %s; without a run for %lld ms; at most %lld of 64 "
       "accelerators in use",
       State.c_str(), static_cast<long long>(Longest),
       static_cast<long long>(MostUsed));
  std::vector<std::string> Breaches;
  if (Longest >= 3'000)
    Breaches.push_back("nothing of the job has run for " +
                       std::to_string(Longest) + " ms");
  co_return verdict(Breaches);
}

} // namespace

const std::map<std::string, Case> &cases() {
  static const std::map<std::string, Case> All{
      {"many-ends", manyEnds},     {"deadly", deadly},
      {"late-append", lateAppend}, {"cancelled-first", cancelledFirst},
      {"long-cut", longCut},       {"last-attempt", lastAttempt}};
  return All;
}
