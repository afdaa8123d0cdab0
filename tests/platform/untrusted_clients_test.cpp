// Clients that keep to no limit, against one real daemon whose settings name a
// small machine.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <asio/co_spawn.hpp>
#include <asio/connect.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "scenario.hpp"

namespace pistachioflow {

namespace {

constexpr std::int64_t MemoryMb = 48;
constexpr std::int64_t FileDescriptors = 160;
constexpr std::size_t Clients = 200;
/// What one client sends at most.
constexpr std::size_t MaxSentBytes = std::size_t{1} << 20U;
constexpr std::size_t BodyLimitBytes = 262'144;
constexpr Duration SampleInterval{20};
/// Much longer than the daemon lets a request take.
constexpr Duration SendLimit{30'000};

/// What each client of a crowd sends: a start, then a piece again and again.
struct Flood {
  const char *Name;
  std::string Start;
  std::string Piece;
  std::size_t MaxBytes = MaxSentBytes;
};

const std::string Head = "POST /q/ HTTP/1.1\r\nHost: queue.example\r\n";
const std::string ChunkedHead = Head + "Transfer-Encoding: chunked\r\n\r\n";

std::vector<Flood> floods() {
  const std::string Block(1'024, 'x');
  const std::string Chunk = "400\r\n" + Block + "\r\n";
  std::string Fields;
  std::string Lines;
  while (Fields.size() < Block.size()) {
    Fields += "a:b\r\n";
    Lines += "\r\n";
  }
  return {
      {"a head over the limit", Head + "X: ", Block},
      {"a head of short fields", Head, Fields},
      {"empty lines before a request", "", Lines},
      {"trailers", ChunkedHead + "1\r\nx\r\n0\r\n", Fields},
      {"a chunked body", ChunkedHead, Chunk},
      {"an announced body over the limit",
       Head + "Content-Length: 9000000000\r\n\r\n", Block},
      {"a body of the limit that does not end",
       Head + "Content-Length: " + std::to_string(BodyLimitBytes) + "\r\n\r\n",
       Block, BodyLimitBytes - 1'024},
  };
}

/// Sends until the daemon closes the connection or all is sent. Keeps the
/// connection open.
asio::awaitable<void> send(std::shared_ptr<asio::ip::tcp::socket> Socket,
                           unsigned short Port, Flood What,
                           std::size_t &Finished) {
  asio::error_code Failure;
  co_await Socket->async_connect(
      {asio::ip::address_v4::loopback(), Port},
      asio::redirect_error(asio::use_awaitable, Failure));
  std::string Piece = What.Start;
  std::size_t Sent = 0;
  while (!Failure && Sent < What.MaxBytes) {
    Sent += co_await asio::async_write(
        *Socket, asio::buffer(Piece),
        asio::redirect_error(asio::use_awaitable, Failure));
    Piece = What.Piece;
  }
  ++Finished;
}

/// Returns the peak of a process's resident memory, in megabytes.
std::int64_t peakMemoryMb(pid_t Pid) {
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::stoll(Line.substr(6)) / 1'024;
  return -1;
}

std::int64_t openDescriptors(pid_t Pid) {
  const std::filesystem::directory_iterator Files("/proc/" +
                                                  std::to_string(Pid) + "/fd");
  return std::distance(begin(Files), end(Files));
}

/// Lets a crowd send. Returns the most descriptors that the daemon had open.
asio::awaitable<std::int64_t> flood(Fleet &Daemons, const Flood &What) {
  const FleetMember &Target = *Daemons.Members[0];
  std::size_t Finished = 0;
  std::vector<std::shared_ptr<asio::ip::tcp::socket>> Sockets;
  for (std::size_t Client = 0; Client < Clients; ++Client) {
    Sockets.push_back(std::make_shared<asio::ip::tcp::socket>(Daemons.io()));
    asio::co_spawn(Daemons.io(),
                   send(Sockets.back(), Target.CallerPort, What, Finished),
                   asio::detached);
  }
  std::int64_t Most = 0;
  const Instant Until = Daemons.Time.monotonic() + SendLimit;
  while (Finished < Clients && Daemons.Time.monotonic() < Until) {
    Most = std::max(Most, openDescriptors(Target.Pid));
    co_await pauseFor(Daemons.io(), SampleInterval);
  }
  Most = std::max(Most, openDescriptors(Target.Pid));
  if (Finished < Clients)
    Daemons.recordViolation("the daemon neither reads nor closes");
  asio::error_code Ignored;
  for (const auto &Socket : Sockets)
    Socket->close(Ignored);
  // Each client returns before what it refers to ends.
  co_await Daemons.waitUntil([&] { return Finished == Clients; }, SendLimit);
  co_return Most;
}

} // namespace

// Guards against a daemon that ends by lack of memory or descriptors, since
// what clients make it hold was bounded for each connection only, if at all.
TEST_CASE("clients that keep to no limit exhaust neither memory nor "
          "descriptors",
          "[memory]") {
  const std::size_t Kind = GENERATE(range(std::size_t{0}, floods().size()));
  const Flood What = floods().at(Kind);
  CAPTURE(What.Name);
  Fleet Fixture(1, WorkerCount, 1, folder("untrusted"));
  Fixture.limitMachine(MemoryMb, FileDescriptors);
  std::int64_t Memory = 0;
  std::int64_t Descriptors = 0;
  const std::vector<std::string> Violations =
      Fixture.run([&](Fleet &Daemons) -> asio::awaitable<void> {
        co_await waitForOwner(Daemons);
        const pid_t Pid = Daemons.Members[0]->Pid;
        Descriptors = co_await flood(Daemons, What);
        std::vector<SubmittedJob> Jobs = mixedJobs(1, 100);
        co_await submitAll(Daemons, Jobs);
        co_await expectCompleted(Daemons, Jobs);
        Memory = peakMemoryMb(Pid);
      });
  CAPTURE(Memory, Descriptors);
  CHECK(Memory > 0);
  CHECK(Memory <= MemoryMb);
  CHECK(Descriptors <= FileDescriptors);
  CHECK(Violations == std::vector<std::string>{});
}

} // namespace pistachioflow
