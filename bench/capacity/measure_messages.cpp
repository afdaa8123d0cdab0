#include "measure.hpp"

#include <ctime>
#include <mutex>
#include <thread>

#include <httplib.h>

#include "pistachioflow/clients/http_clients.hpp"
#include "pistachioflow/clients/wire.hpp"
#include "pistachioflow/peer/peer_message.hpp"

namespace pistachioflow::capacity {

namespace {

constexpr std::uint32_t GangCounts[] = {0, 1, 4, 8};
constexpr std::uint32_t RunnerCounts[] = {0, 10, 25, 50};
constexpr std::size_t Calls = 300;
constexpr std::size_t MostCallsOfConnection = 10 * Calls;
constexpr Duration CallTimeout{5'000};
constexpr std::size_t LineEnds = 4; ///< ": " and CR LF of one header.

double headerBytes(const httplib::Headers &Headers) {
  double Sum = 0;
  for (const auto &Header : Headers)
    Sum += static_cast<double>(Header.first.size() + Header.second.size() +
                               LineEnds);
  return Sum;
}

/// Answers every call with one body, and counts the bytes of the last call.
class CountingServer {
public:
  CountingServer() {
    this->Server.set_keep_alive_max_count(MostCallsOfConnection);
    this->Server.set_tcp_nodelay(true);
    const auto Answer = [this](const httplib::Request &,
                               httplib::Response &Response) {
      Response.set_content(this->Body, this->Type);
    };
    this->Server.Get(".*", Answer);
    this->Server.Post(".*", Answer);
    this->Server.set_logger(
        [this](const httplib::Request &Asked, const httplib::Response &Given) {
          this->count(Asked, Given);
        });
    this->Port = this->Server.bind_to_any_port("127.0.0.1");
    this->Listener = std::thread([this] { this->Server.listen_after_bind(); });
    while (!this->Server.is_running())
      std::this_thread::yield();
  }

  ~CountingServer() {
    this->Server.stop();
    this->Listener.join();
  }

  CountingServer(const CountingServer &) = delete;
  CountingServer &operator=(const CountingServer &) = delete;

  void answerWith(std::string NewBody, const char *NewType) {
    this->Body = std::move(NewBody);
    this->Type = NewType;
  }

  double lastBytes() {
    const std::lock_guard Guard(this->Lock);
    return this->Bytes;
  }

  int port() const { return this->Port; }

private:
  void count(const httplib::Request &Asked, const httplib::Response &Given) {
    constexpr double StatusLine = 17;
    constexpr double RequestLineRest = 13;
    const std::lock_guard Guard(this->Lock);
    this->Bytes = headerBytes(Asked.headers) + headerBytes(Given.headers) +
                  StatusLine + RequestLineRest +
                  static_cast<double>(Asked.target.size() + Asked.body.size() +
                                      Given.body.size());
  }

  httplib::Server Server;
  std::thread Listener;
  std::string Body;
  const char *Type = "application/json";
  int Port = 0;
  std::mutex Lock;
  double Bytes = 0;
};

WorkerReport sampleReport(std::uint32_t Gangs) {
  WorkerReport Report{{"worker-1000"}, 1'000, {}};
  for (std::uint32_t I = 0; I < Gangs; ++I)
    Report.Tasks.push_back({{"assessment-" + std::to_string(10'000 + I)},
                            1,
                            TaskPhase::Running,
                            4,
                            8,
                            8'192,
                            3});
  return Report;
}

WorkerOrder renewOrder() {
  WorkerOrder Order;
  Order.Kind = OrderKind::Renew;
  Order.Cell = {"cell-1"};
  Order.Fence = 1'000;
  Order.Job = {"assessment-10000"};
  Order.Try = 1;
  Order.Tasks = 4;
  Order.Lease = {20'000};
  return Order;
}

double threadMicros() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  constexpr double MicrosOfSecond = 1e6;
  constexpr double MicrosOfNano = 1e-3;
  return static_cast<double>(Now.tv_sec) * MicrosOfSecond +
         static_cast<double>(Now.tv_nsec) * MicrosOfNano;
}

Slope reportBytes(CountingServer &Server, HttpWorkerGateway &Gateway) {
  std::vector<Point> Points;
  for (const std::uint32_t Gangs : GangCounts) {
    Server.answerWith(dumpJson(toJson(sampleReport(Gangs))),
                      "application/json");
    static_cast<void>(Gateway.report({"worker-1000"}));
    Points.push_back({static_cast<double>(Gangs), Server.lastBytes()});
  }
  return fit("one report of a worker", "gangs on it", "bytes",
             std::move(Points));
}

/// Processor time that the caller of one call spends.
double callMicros(HttpWorkerGateway &Gateway) {
  const double Start = threadMicros();
  for (std::size_t I = 0; I < Calls; ++I)
    static_cast<void>(Gateway.report({"worker-1000"}));
  return (threadMicros() - Start) / Calls;
}

double statusBytes(std::uint32_t Runners) {
  LocalStatus Status;
  Status.Domain = {"domain-1"};
  Status.Host = "127.0.0.1";
  Status.Plans = 10'000;
  Status.Limits = 10'000;
  Status.Owned = {{"cell/cell-1"}, {"cell/cell-2"}, {"cell/cell-3"}};
  for (std::uint32_t I = 0; I < Runners; ++I)
    Status.InFlight.push_back({{"runner-" + std::to_string(I)}, 4});
  const PeerMessage Message{PeerMessageVersion, {"entry-1"}, 1'000, Status};
  return static_cast<double>(encodePeerMessage(Message).size());
}

} // namespace

void measureMessages(Measured &Out) {
  CountingServer Server;
  const SystemClock Time;
  HttpPoolSettings Settings;
  Settings.Server = {"127.0.0.1", static_cast<std::uint16_t>(Server.port())};
  HttpPool Pool(Settings, Time);
  HttpWorkerGateway Workers(Pool, CallTimeout);
  HttpLogService Log(Pool, CallTimeout);
  Out.ReportCallBytes = reportBytes(Server, Workers);
  Out.CallMicros = callMicros(Workers);
  Server.answerWith("{}", "application/json");
  static_cast<void>(Workers.send({"worker-1000"}, renewOrder()));
  Out.OrderCallBytes = Server.lastBytes();
  Server.answerWith(encodePage({}), "application/octet-stream");
  static_cast<void>(Log.read({"cell/cell-1"}, 100'000, 100));
  Out.PollCallBytes = Server.lastBytes();
  std::vector<Point> Points;
  for (const std::uint32_t Runners : RunnerCounts)
    Points.push_back({static_cast<double>(Runners), statusBytes(Runners)});
  Out.GossipBytes =
      fit("one status to a peer", "runners in use", "bytes", Points);
}

} // namespace pistachioflow::capacity
