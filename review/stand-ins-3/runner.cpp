// A stand-in for one runner of the users' platform, as a process of its own: it
// can be killed and started again like a real one. It follows PROTOCOL.md,
// "Running tasks" and "Service discovery": fences, leases on its own clock,
// numbers of runs, ends that are listed until last_seen reaches them,
// checkpoints.
//
// Usage: runner ID RACK PORT STORE_PORT
//
// A task's specification says what it does: "ms=3000 gpus=1 save_ms=500".
// Prints one line for each start and end, with the time of day in milliseconds.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "pistachioflow/entry/coroutines.hpp"
#include "pistachioflow/net/http_server.hpp"
#include "pistachioflow/platform/store_client.hpp"

using namespace pistachioflow;
using Json = nlohmann::json;

namespace {

// The bounds of the settings that the scenes use.
constexpr Duration MaxHold{6'000};
constexpr Duration StopTime{200}; // of stop_timeout_ms 400
constexpr Duration Heartbeat{1'500};
constexpr Duration StoreTimeout{1'000};
constexpr std::int64_t Gpus = 8;
constexpr std::int64_t MilliCores = 32'000;
constexpr std::int64_t MemoryMb = 131'072;
constexpr std::size_t EndsAtATime = 500;

struct Run {
  std::string Task;
  std::int64_t Number = 0;
  std::int64_t WorkMs = 0;
  std::int64_t SavedMs = 0;     // with which it began
  std::int64_t SaveEveryMs = 0; // 0: no checkpoints
  std::int64_t NeedsGpus = 0;
  Instant StartedAt;
  Instant StopsAt; // 0: not told to stop
};

struct End {
  std::int64_t Number;
  std::string Task;
  std::int64_t Run;
  std::string How;
  std::string Saved;
};

std::int64_t wordOf(const std::string &Text, const std::string &Name,
                    std::int64_t Default) {
  std::istringstream Words(Text);
  std::string Word;
  while (Words >> Word)
    if (Word.starts_with(Name + "="))
      return std::atoll(Word.c_str() + Name.size() + 1);
  return Default;
}

struct Runner {
  asio::io_context Io{1};
  SystemClock Time;
  std::string Id;
  std::string Rack;
  unsigned short Port = 0;
  std::int64_t Born = 0;
  Instant ClockOrigin;
  std::int64_t Fence = 0;
  std::int64_t LeaseEnds = 0; // on its own clock
  std::int64_t LastEnd = 0;
  std::vector<Run> Runs;
  std::vector<End> Ends;
  std::map<std::string, std::int64_t> LastEnded; // run, by task
  Signal Ended{Io};

  std::int64_t clock() const {
    return (this->Time.monotonic() - this->ClockOrigin).Ms + 1;
  }

  void print(const std::string &Line) const {
    std::printf("%lld %s %s\n", static_cast<long long>(this->Time.wall().Ms),
                this->Id.c_str(), Line.c_str());
    std::fflush(stdout);
  }

  std::int64_t workedMs(const Run &Entry) const {
    return std::min(Entry.WorkMs,
                    Entry.SavedMs +
                        (this->Time.monotonic() - Entry.StartedAt).Ms);
  }

  std::string savedOf(const Run &Entry) const {
    if (Entry.SaveEveryMs <= 0)
      return {};
    const std::int64_t Worked = this->workedMs(Entry);
    return std::to_string(Worked - Worked % Entry.SaveEveryMs);
  }

  void end(std::size_t Index, const std::string &How) {
    const Run Entry = this->Runs[Index];
    this->Runs.erase(this->Runs.begin() + static_cast<std::ptrdiff_t>(Index));
    auto &Last = this->LastEnded[Entry.Task];
    Last = std::max(Last, Entry.Number);
    this->Ends.push_back(
        {++this->LastEnd, Entry.Task, Entry.Number, How, this->savedOf(Entry)});
    this->print("ended " + Entry.Task + " run " + std::to_string(Entry.Number) +
                " " + How);
    this->Ended.notify();
  }

  void advance() {
    for (std::size_t Index = this->Runs.size(); Index-- > 0;) {
      const Run &Entry = this->Runs[Index];
      if (this->clock() >= this->LeaseEnds)
        this->end(Index, "lapsed");
      else if (Entry.StopsAt.Ms != 0 && this->Time.monotonic() >= Entry.StopsAt)
        this->end(Index, "stopped");
      else if (this->workedMs(Entry) >= Entry.WorkMs)
        this->end(Index, "done");
    }
  }

  HttpResponse answer(int Status, Json Body) const {
    Body["clock_ms"] = this->clock();
    HttpResponse Response;
    Response.Status = Status;
    Response.Headers.push_back({"Content-Type", "application/json"});
    Response.Body = Body.dump();
    return Response;
  }

  HttpResponse conflict(const char *Reason) const {
    return this->answer(409, {{"reason", Reason}});
  }

  void takeLease(const Json &Body) {
    if (!Body.contains("deadline_ms"))
      return;
    const std::int64_t Until = std::min(Body["deadline_ms"].get<std::int64_t>(),
                                        this->clock() + MaxHold.Ms);
    this->LeaseEnds = std::max(this->LeaseEnds, Until);
  }

  HttpResponse start(const Json &Body) {
    const std::string Task = Body.value("task", "");
    const std::int64_t Number = Body.value("run", std::int64_t{0});
    const std::string Text = Body.value("specification", "");
    for (const Run &Entry : this->Runs)
      if (Entry.Task == Task && Entry.Number == Number)
        return this->answer(200, Json::object());
    if (Body.value("deadline_ms", std::int64_t{0}) <= this->clock())
      return this->conflict("late");
    this->takeLease(Body);
    const auto Last = this->LastEnded.find(Task);
    if (Last != this->LastEnded.end() && Number <= Last->second)
      return this->conflict("old");
    std::int64_t Used = 0;
    for (const Run &Entry : this->Runs)
      Used += Entry.NeedsGpus;
    Run Started;
    Started.Task = Task;
    Started.Number = Number;
    Started.WorkMs = wordOf(Text, "ms", 1'000);
    Started.SaveEveryMs = wordOf(Text, "save_ms", 0);
    Started.SavedMs = std::atoll(Body.value("checkpoint", "").c_str());
    Started.NeedsGpus = wordOf(Text, "gpus", 0);
    Started.StartedAt = this->Time.monotonic();
    if (Used + Started.NeedsGpus > Gpus)
      return this->conflict("room");
    this->Runs.push_back(Started);
    this->print("started " + Task + " run " + std::to_string(Number) +
                " specification '" + Text + "' checkpoint '" +
                Body.value("checkpoint", "") + "' fence " +
                std::to_string(this->Fence));
    return this->answer(200, Json::object());
  }

  HttpResponse stop(const Json &Body) {
    const std::string Task = Body.value("task", "");
    const std::int64_t Number = Body.value("run", std::int64_t{0});
    for (Run &Entry : this->Runs)
      if (Entry.Task == Task && Entry.Number == Number) {
        if (Entry.StopsAt.Ms == 0)
          Entry.StopsAt = this->Time.monotonic() + StopTime;
        return this->answer(200, Json::object());
      }
    auto &Last = this->LastEnded[Task];
    Last = std::max(Last, Number);
    return this->answer(200, Json::object());
  }

  HttpResponse report() const {
    Json Running = Json::array();
    for (const Run &Entry : this->Runs)
      Running.push_back(Json::array(
          {Entry.Task, Entry.Number, this->savedOf(Entry),
           Entry.WorkMs > 0 ? 100 * this->workedMs(Entry) / Entry.WorkMs : 0,
           1'000}));
    Json Listed = Json::array();
    for (std::size_t Index = 0;
         Index < std::min(this->Ends.size(), EndsAtATime); ++Index) {
      const End &Entry = this->Ends[Index];
      Listed.push_back(Json::array(
          {Entry.Number, Entry.Task, Entry.Run, Entry.How, Entry.Saved}));
    }
    return this->answer(
        200,
        {{"born", this->Born}, {"running", Running}, {"ended_runs", Listed}});
  }

  asio::awaitable<HttpResponse> hold(Json Body) {
    this->takeLease(Body);
    const std::int64_t Seen = Body.value("last_seen", std::int64_t{0});
    std::erase_if(this->Ends, [this, Seen](const End &Entry) {
      if (Entry.Number > Seen)
        return false;
      this->print("noted " + Entry.Task + " run " + std::to_string(Entry.Run) +
                  " " + Entry.How);
      return true;
    });
    const Instant Until = this->Time.monotonic() +
                          Duration{Body.value("wait_ms", std::int64_t{0})};
    while (this->Ends.empty() && this->Time.monotonic() < Until)
      co_await this->Ended.wait(Until - this->Time.monotonic());
    co_return this->report();
  }

  asio::awaitable<HttpResponse> serve(HttpRequest Request) {
    if (Request.Method == "GET") {
      HttpResponse Healthy;
      Healthy.Status = 200;
      co_return Healthy;
    }
    const std::string_view Expected =
        findHeader(Request.Headers, "Expected-Instance");
    if (!Expected.empty() && Expected != this->Id)
      co_return this->answer(421, Json::object());
    Json Body = Json::parse(Request.Body, nullptr, false);
    if (!Body.is_object())
      co_return this->answer(400, Json::object());
    this->advance();
    const std::int64_t Token = Body.value("fencing_token", std::int64_t{0});
    if (Token < this->Fence)
      co_return this->conflict("fence");
    this->Fence = Token;
    if (Request.Target == "/run-start")
      co_return this->start(Body);
    if (Request.Target == "/run-stop")
      co_return this->stop(Body);
    if (Request.Target == "/hold")
      co_return co_await this->hold(std::move(Body));
    co_return this->answer(404, Json::object());
  }

  std::string entry(std::int64_t Sequence) const {
    return Json{{"service", "pod-assess"},
                {"address", "127.0.0.1:" + std::to_string(this->Port)},
                {"zone", "akl-wharf"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"sequence", Sequence},
                {"capacity",
                 {{"cpu", MilliCores},
                  {"memory_request_mb", MemoryMb},
                  {"gpus", Gpus}}},
                {"labels", Json::array({"a", this->Rack})},
                {"clock_ms", this->clock()},
                {"born", this->Born}}
        .dump();
  }

  asio::awaitable<void> beat(unsigned short StorePort) {
    StoreClient Store(this->Io, "127.0.0.1:" + std::to_string(StorePort),
                      nullptr);
    for (std::int64_t Sequence = 0;; ++Sequence) {
      std::vector<JournalRecord> Records;
      Records.push_back({this->Id, this->entry(Sequence)});
      Producer Writer{this->Id + "/" + std::to_string(this->Born), 1, Sequence};
      std::string Topic(WorkerTopic);
      const std::optional<std::int64_t> NoExpectedEnd;
      co_await Store.append(std::move(Topic), Records, std::move(Writer),
                            NoExpectedEnd, StoreTimeout);
      co_await pauseFor(this->Io, Heartbeat);
    }
  }

  asio::awaitable<void> work() {
    while (true) {
      co_await pauseFor(this->Io, Duration{10});
      this->advance();
    }
  }
};

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 5)
    return EXIT_FAILURE;
  Runner Self;
  Self.Id = Argv[1];
  Self.Rack = Argv[2];
  Self.Port = static_cast<unsigned short>(std::atoi(Argv[3]));
  Self.Born = Self.Time.wall().Ms;
  Self.ClockOrigin = Self.Time.monotonic();
  HttpServer Server(Self.Io, [&Self](HttpRequest Request) {
    return Self.serve(std::move(Request));
  });
  if (!Server.listen(parseEndpoint("127.0.0.1:" + std::string(Argv[3]))))
    return EXIT_FAILURE;
  Self.print("born");
  spawnCoroutine(Self.Io, "beat",
                 Self.beat(static_cast<unsigned short>(std::atoi(Argv[4]))));
  spawnCoroutine(Self.Io, "work", Self.work());
  Self.Io.run();
  return EXIT_SUCCESS;
}
