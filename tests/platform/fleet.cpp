#include "fleet.hpp"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <utility>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include "pistachioflow/codec/json_reader.hpp"

namespace pistachioflow {

namespace {

using Json = nlohmann::json;

constexpr std::size_t WorkersPerRack = 4;
constexpr Duration PollPause{25};
constexpr Duration RetryPause{100};
const std::string Host = "queue.example";

/// Returns a port that is free now and that this process has not chosen before.
/// It is below those that the system gives to outgoing connections, which could
/// take it before the daemon listens. Test processes start at different ports,
/// and those that are started one after the other far from each other.
unsigned short freePort(asio::io_context &Io) {
  constexpr unsigned FirstPort = 10'000;
  constexpr unsigned PortCount = 20'000;
  constexpr unsigned PortsPerProcess = 1'009;
  static unsigned Next = static_cast<unsigned>(::getpid()) * PortsPerProcess;
  while (true) {
    const auto Port =
        static_cast<unsigned short>(FirstPort + Next++ % PortCount);
    asio::ip::tcp::acceptor Probe(Io, asio::ip::tcp::v4());
    asio::error_code InUse;
    Probe.bind({asio::ip::address_v4::loopback(), Port}, InUse);
    if (!InUse)
      return Port;
  }
}

Json desiredState() {
  const Json Queue = {
      {"name", "queue"},  {"host", Host},        {"path_prefix", PrivatePath},
      {"kind", "unsafe"}, {"timeout_ms", 3'000}, {"target_duration_ms", 1'000},
      {"priority", 1},    {"service", "svc"},    {"max_attempts", 3},
      {"stretch", 3.0},   {"public", false}};
  Json PublicQueue = Queue;
  PublicQueue["name"] = "public_queue";
  PublicQueue["path_prefix"] = PublicPath;
  PublicQueue["public"] = true;
  return {{"version", 7},
          {"routes", Json::array({Queue, PublicQueue})},
          {"services", Json::array()},
          {"limits", Json::object()},
          {"tenants", Json::array({{{"name", "team"},
                                    {"api_keys", Json::array({"key"})},
                                    {"guaranteed", {{"gpus", 8}}}},
                                   {{"name", "other"},
                                    {"api_keys", Json::array({"other-key"})},
                                    {"guaranteed", {{"gpus", 0}}}}})}};
}

HttpRequest request(std::string Method, const std::string &JobId,
                    const CallerIdentity &Caller) {
  HttpRequest Request;
  Request.Method = std::move(Method);
  Request.Target = Caller.Path + JobId;
  Request.Headers.push_back({"Host", Host});
  if (!Caller.Key.empty())
    Request.Headers.push_back({"Authorization", "Bearer " + Caller.Key});
  return Request;
}

} // namespace

Fleet::Fleet(std::size_t Count, std::size_t Workers, std::uint64_t Seed,
             std::string Path)
    : Io(1), Folder(std::move(Path)),
      Platform(Io, Time, SimulatorLimits{}, Seed) {
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::create_directories(this->Folder);
  if (!this->Platform.start(Workers, WorkersPerRack, WorkerCapacity))
    this->recordViolation("the platform stand-in found no free port");
  this->Platform.publish(dumpJson(desiredState()));
  for (std::size_t Index = 0; Index < Count; ++Index) {
    auto Member = std::make_unique<FleetMember>();
    Member->Name = "e" + std::to_string(Index);
    Member->StoreProxy = std::make_unique<FaultProxy>(this->Io);
    if (!Member->StoreProxy->listen(this->Platform.storePort()))
      this->recordViolation("a proxy found no free port");
    Member->CallerPort = freePort(this->Io);
    Member->ReadyPort = freePort(this->Io);
    Member->SettingsPath = this->Folder + "/" + Member->Name + ".json";
    Member->LogPath = this->Folder + "/" + Member->Name + ".log";
    Member->CallerClient = std::make_unique<HttpClient>(
        this->Io,
        parseEndpoint("127.0.0.1:" + std::to_string(Member->CallerPort)));
    Member->ReadyClient = std::make_unique<HttpClient>(
        this->Io,
        parseEndpoint("127.0.0.1:" + std::to_string(Member->ReadyPort)));
    this->writeSettings(*Member);
    this->Members.push_back(std::move(Member));
  }
}

Fleet::~Fleet() {
  for (const auto &Member : this->Members) {
    if (Member->Pid <= 0)
      continue;
    ::kill(Member->Pid, SIGKILL);
    ::waitpid(Member->Pid, nullptr, 0);
  }
}

void Fleet::writeSettings(const FleetMember &Member) const {
  const auto Local = [](unsigned short Port) {
    return "127.0.0.1:" + std::to_string(Port);
  };
  Json Settings = {{"node_name", Member.Name},
                   {"zone", "z1"},
                   {"ip_address", "127.0.0.1"},
                   {"heartbeat_interval_ms", 500},
                   {"listen_addresses",
                    {{"frontend", Local(Member.CallerPort)},
                     {"ready", Local(Member.ReadyPort)}}},
                   {"platform",
                    {{"address", Local(Member.StoreProxy->port())},
                     {"record_bytes", this->MaxRecordBytes},
                     {"request_bytes", this->MaxAppendBytes}}},
                   {"bounds", {{"max_hold_ms", 6'000}, {"grace_period_s", 6}}}};
  if (this->MemoryMb > 0)
    Settings["limits"] = {{"memory_mb", this->MemoryMb},
                          {"file_descriptors", this->FileDescriptors}};
  if (this->EvacuationTimeout.Ms > 0)
    Settings["bounds"]["evacuation_ms"] = this->EvacuationTimeout.Ms;
  for (const std::string &Domain : this->Domains)
    Settings["zones"][Domain] = "region";
  std::ofstream(Member.SettingsPath) << dumpJson(Settings);
}

void Fleet::limitAppends(std::int64_t Bytes) {
  this->MaxAppendBytes = Bytes;
  this->Platform.StoreBehaviour.MaxAppendBytes =
      static_cast<std::size_t>(Bytes);
  for (const auto &Member : this->Members)
    this->writeSettings(*Member);
}

void Fleet::limitMachine(std::int64_t Memory, std::int64_t Descriptors) {
  this->MemoryMb = Memory;
  this->FileDescriptors = Descriptors;
  for (const auto &Member : this->Members)
    this->writeSettings(*Member);
}

void Fleet::allowEvacuations(Duration Timeout, std::vector<std::string> Names) {
  this->EvacuationTimeout = Timeout;
  this->Domains = std::move(Names);
  for (const auto &Member : this->Members)
    this->writeSettings(*Member);
}

void Fleet::limitRecords(std::int64_t Bytes) {
  this->MaxRecordBytes = Bytes;
  this->Platform.StoreBehaviour.MaxRecordBytes =
      static_cast<std::size_t>(Bytes);
  for (const auto &Member : this->Members)
    this->writeSettings(*Member);
}

void Fleet::startMember(std::size_t Index) {
  FleetMember &Member = *this->Members[Index];
  const std::string Program = PISTACHIOFLOW_BIN_DIR "/pistachio-entryd";
  const std::string Argument = "--settings=" + Member.SettingsPath;
  const pid_t Child = ::fork();
  if (Child == 0) {
    const int Log = ::open(Member.LogPath.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(Log, STDOUT_FILENO);
    ::dup2(Log, STDERR_FILENO);
    for (int Descriptor = STDERR_FILENO + 1; Descriptor < 1'024; ++Descriptor)
      ::close(Descriptor);
    ::execl(Program.c_str(), Program.c_str(), Argument.c_str(), nullptr);
    ::_exit(127);
  }
  Member.Pid = Child;
  Member.Paused = false;
  Member.ExitExpected = false;
}

void Fleet::signalMember(std::size_t Index, int Signal) {
  FleetMember &Member = *this->Members[Index];
  if (Member.Pid <= 0)
    return;
  if (Signal == SIGKILL || Signal == SIGTERM)
    Member.ExitExpected = true;
  Member.Paused = Signal == SIGSTOP || (Member.Paused && Signal != SIGCONT);
  ::kill(Member.Pid, Signal);
}

void Fleet::reapMembers() {
  for (std::size_t Index = 0; Index < this->Members.size(); ++Index) {
    FleetMember &Member = *this->Members[Index];
    int Status = 0;
    if (Member.Pid <= 0 ||
        ::waitpid(Member.Pid, &Status, WNOHANG) != Member.Pid)
      continue;
    if (!Member.ExitExpected)
      this->recordViolation(Member.Name + " exited unexpectedly, status " +
                            std::to_string(Status));
    this->startMember(Index);
  }
}

std::optional<OwnershipRecord> Fleet::ownership() const {
  const auto Newest =
      this->Platform.Store.newest(std::string(JournalTopic), "o/", 1);
  if (Newest.empty() || Newest.front().Record.Key != ownershipKey())
    return std::nullopt;
  return decodeRecord<OwnershipRecord>(Newest.front().Record.Value);
}

std::int64_t Fleet::ownerEpoch() const {
  const std::optional<OwnershipRecord> Ownership = this->ownership();
  return Ownership ? Ownership->Epoch : 0;
}

int Fleet::ownerIndex() const {
  const std::optional<OwnershipRecord> Ownership = this->ownership();
  for (std::size_t Index = 0; Ownership && Index < this->Members.size();
       ++Index)
    if (Ownership->Instance.starts_with(this->Members[Index]->Name + "/"))
      return static_cast<int>(Index);
  return -1;
}

asio::awaitable<void> Fleet::submit(SubmittedJob &Job, std::size_t First,
                                    int Attempts) {
  this->Platform.Simulator.expectJob(Job.Id);
  for (int Attempt = 0; Attempt < Attempts && !Job.Accepted; ++Attempt) {
    const std::size_t Index =
        (First + static_cast<std::size_t>(Attempt)) % this->Members.size();
    HttpRequest Request = request("POST", Job.Id, this->Caller);
    Request.Body = Job.Body;
    const CallResult Call = co_await this->Members[Index]->CallerClient->call(
        std::move(Request), this->CallTimeout);
    this->CallsWithoutAnswer += Call.Outcome == CallOutcome::NoAnswer ? 1 : 0;
    const int Status = Call.Response.Status;
    Job.LastStatus = Status;
    if (Call.Outcome == CallOutcome::Answered && Status / 100 == 2)
      Job.Accepted = true;
    else if (Call.Outcome == CallOutcome::NoAnswer || Status == 504)
      Job.OutcomeUnknown = true;
    if (!Job.Accepted)
      co_await pauseFor(this->Io, RetryPause);
  }
}

asio::awaitable<std::string> Fleet::queryState(const std::string &JobId,
                                               std::size_t Member) {
  HttpRequest Request = request("GET", JobId, this->Caller);
  const CallResult Call =
      co_await this->Members[Member % this->Members.size()]->CallerClient->call(
          std::move(Request), this->CallTimeout);
  if (Call.Outcome != CallOutcome::Answered)
    co_return std::string();
  if (Call.Response.Status == 410)
    co_return std::string("gone");
  if (Call.Response.Status != 200)
    co_return std::string();
  const Json Body = Json::parse(Call.Response.Body, nullptr, false);
  co_return Body.value("state", "");
}

asio::awaitable<bool> Fleet::cancel(const std::string &JobId,
                                    std::size_t Member) {
  // Not a temporary in the call: g++ 12 destroys an aggregate there twice.
  SubmittedJob Job;
  Job.Id = JobId;
  const int Status = co_await this->statusOf("DELETE", std::move(Job), Member);
  co_return Status == 200;
}

asio::awaitable<int> Fleet::statusOf(std::string Method, SubmittedJob Job,
                                     std::size_t Member) {
  HttpRequest Request = request(std::move(Method), Job.Id, this->Caller);
  Request.Body = Job.Body;
  const CallResult Call =
      co_await this->Members[Member % this->Members.size()]->CallerClient->call(
          std::move(Request), this->CallTimeout);
  co_return Call.Outcome == CallOutcome::Answered ? Call.Response.Status : 0;
}

asio::awaitable<bool> Fleet::waitUntil(std::function<bool()> Done,
                                       Duration Timeout) {
  const Instant StartedAt = this->Time.monotonic();
  while (!Done()) {
    this->reapMembers();
    if (this->Time.monotonic() - StartedAt > Timeout)
      co_return false;
    co_await pauseFor(this->Io, PollPause);
  }
  co_return true;
}

asio::awaitable<std::string> Fleet::waitForEnd(const std::string &JobId,
                                               Duration Timeout) {
  const Instant StartedAt = this->Time.monotonic();
  std::size_t Member = 0;
  while (this->Time.monotonic() - StartedAt < Timeout) {
    this->reapMembers();
    while (this->Members[Member % this->Members.size()]->Paused)
      ++Member;
    const std::string State = co_await this->queryState(JobId, Member++);
    if (State == "completed" || State == "failed" || State == "cancelled" ||
        State == "gone")
      co_return State;
    co_await pauseFor(this->Io, PollPause);
  }
  co_return std::string();
}

std::vector<std::string>
Fleet::run(std::function<asio::awaitable<void>(Fleet &)> Test) {
  for (std::size_t Index = 0; Index < this->Members.size(); ++Index)
    this->startMember(Index);
  asio::co_spawn(this->Io, Test(*this), [this](std::exception_ptr Failure) {
    if (Failure)
      this->recordViolation("the test threw an exception");
    this->Io.stop();
  });
  this->Io.run();
  std::vector<std::string> All = this->Platform.Simulator.violations();
  All.insert(All.end(), this->Violations.begin(), this->Violations.end());
  return All;
}

SubmittedJob makeJob(std::uint64_t Number, std::int64_t Tasks, bool Gang,
                     TaskScript Script) {
  SubmittedJob Job;
  char Id[17];
  std::snprintf(Id, sizeof(Id), "%016llx",
                static_cast<unsigned long long>(Number));
  Job.Id = Id;
  Script.GangSize = Gang ? Tasks : 1;
  for (std::int64_t Task = 0; Task < Tasks; ++Task)
    Job.Tasks.push_back(Job.Id + ".0.0." + std::to_string(Task));
  const Json Step = {{"count", Tasks},
                     {"cpu", Script.RequiredResources.MilliCores},
                     {"memory_request_mb", Script.RequiredResources.MemoryMb},
                     {"gpus", Script.RequiredResources.Accelerators},
                     {"estimated_duration_ms", Script.WorkMs},
                     {"gang", Gang}};
  Job.Body = dumpJson({{"specification", formatScript(Script)},
                       {"steps", Json::array({Step})}});
  return Job;
}

} // namespace pistachioflow
