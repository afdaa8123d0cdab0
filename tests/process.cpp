#include "process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <httplib.h>

#include "pistachioflow/clients/http_clients.hpp"

extern char **environ;

namespace pistachioflow::testing {

namespace {

constexpr std::chrono::seconds EventuallyTimeout{60};
constexpr std::chrono::milliseconds PollPause{20};
constexpr int CallTimeoutSeconds = 10;
constexpr const char *Cell = "cell/main";

std::uint16_t portAfter(const std::string &Line, const std::string &Key) {
  const std::size_t At = Line.find(Key);
  if (At == std::string::npos)
    throw std::runtime_error("missing " + Key + " in: " + Line);
  return static_cast<std::uint16_t>(std::stoi(Line.substr(At + Key.size())));
}

nlohmann::json settingsOf(const std::string &Name, std::uint16_t Platform) {
  const nlohmann::json AnyPort = {{"host", "127.0.0.1"}, {"port", 0}};
  return {{"instance", Name},
          {"failure_domain", "domain-1"},
          {"http", AnyPort},
          {"peer", AnyPort},
          {"platform", {{"host", "127.0.0.1"}, {"port", Platform}}}};
}

std::vector<nlohmann::json> itemsOf(const Reply &Answer) {
  if (Answer.Status != 200)
    throw std::runtime_error("the stand-in does not answer");
  return Answer.Body.at("items").get<std::vector<nlohmann::json>>();
}

} // namespace

Process::Process(const std::string &Program, std::vector<std::string> Arguments,
                 const std::string &LogFile) {
  int PipeEnds[2];
  if (pipe2(PipeEnds, O_CLOEXEC) != 0)
    throw std::runtime_error("cannot create a pipe");
  Arguments.insert(Arguments.begin(),
                   std::string(PISTACHIOFLOW_BIN_DIR) + "/" + Program);
  std::vector<char *> Texts;
  for (std::string &Text : Arguments)
    Texts.push_back(Text.data());
  Texts.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_adddup2(&Files, PipeEnds[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&Files, STDERR_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0600);
  const int SpawnError = posix_spawn(&this->Pid, Texts.front(), &Files, nullptr,
                                     Texts.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  close(PipeEnds[1]);
  this->Output = PipeEnds[0];
  if (SpawnError != 0)
    throw std::runtime_error("cannot start " + Arguments.front());
}

Process::~Process() {
  if (this->running()) {
    this->signal(SIGKILL);
    this->wait();
  }
  close(this->Output);
}

std::string Process::readLine() {
  std::string Line;
  char Character = 0;
  while (read(this->Output, &Character, 1) == 1 && Character != '\n')
    Line += Character;
  return Line;
}

void Process::signal(int Number) const { kill(this->Pid, Number); }

int Process::wait() {
  int Status = 0;
  waitpid(this->Pid, &Status, 0);
  this->Pid = -1;
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
}

Reply call(std::uint16_t Port, const std::string &Method,
           const std::string &Path, const nlohmann::json &Body, int Revision) {
  httplib::Client Client("127.0.0.1", Port);
  Client.set_read_timeout(CallTimeoutSeconds);
  httplib::Request Request;
  Request.method = Method;
  Request.path = Path;
  if (!Body.is_null())
    Request.body = Body.dump();
  if (Revision >= 0)
    Request.headers.emplace("If-Match", std::to_string(Revision));
  const httplib::Result Answer = Client.send(Request);
  if (!Answer)
    return {};
  return {Answer->status, nlohmann::json::parse(Answer->body, nullptr, false)};
}

bool eventually(const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + EventuallyTimeout;
  while (std::chrono::steady_clock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(PollPause);
  }
  return false;
}

Cluster::Cluster(std::size_t Count) {
  std::string Pattern =
      std::filesystem::temp_directory_path() / "pistachioflow-XXXXXX";
  if (mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("cannot create a folder for settings");
  this->Folder = Pattern;
  this->Platform =
      std::make_unique<Process>("pistachio-standin", std::vector<std::string>{},
                                this->Folder + "/standin.log");
  this->PlatformPort = portAfter(this->Platform->readLine(), "port=");
  for (std::size_t Index = 1; Index <= Count; ++Index)
    this->add("entry-" + std::to_string(Index));
  this->publishInstanceList();
  const std::uint16_t Port = this->Instances.front()->HttpPort;
  const nlohmann::json Gold = {{"plan", "gold"}, {"ceiling_accelerators", 64}};
  const nlohmann::json Chess = {{"workspace", "chess"}, {"plan", "gold"}};
  const auto Put = [&](const char *Path, const nlohmann::json &Entry) {
    const nlohmann::json Body = {{"entries", nlohmann::json::array({Entry})}};
    return eventually(
        [&] { return call(Port, "PUT", Path, Body, 0).Status == 200; });
  };
  if (!Put("/v1/limits", Gold) || !Put("/v1/plans", Chess))
    throw std::runtime_error("the lists were not accepted");
}

Cluster::~Cluster() {
  this->Instances.clear();
  this->Platform.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(this->Folder, Ignored);
}

Cluster::Instance &Cluster::add(const std::string &Name) {
  const std::string File = this->Folder + "/" + Name + ".json";
  std::ofstream(File) << settingsOf(Name, this->PlatformPort);
  auto NewInstance = std::make_unique<Instance>();
  NewInstance->Name = Name;
  NewInstance->Program = std::make_unique<Process>(
      "pistachiod", std::vector<std::string>{"--settings=" + File},
      this->Folder + "/" + Name + ".log");
  const std::string Line = NewInstance->Program->readLine();
  NewInstance->HttpPort = portAfter(Line, "http_port=");
  NewInstance->PeerPort = portAfter(Line, "peer_port=");
  this->Instances.push_back(std::move(NewInstance));
  return *this->Instances.back();
}

void Cluster::remove(const std::string &Name) {
  std::erase_if(this->Instances,
                [&](const auto &Entry) { return Entry->Name == Name; });
}

void Cluster::publishInstanceList() const {
  nlohmann::json Items = nlohmann::json::array();
  for (const auto &Entry : this->Instances)
    Items.push_back({{"instance", Entry->Name},
                     {"failure_domain", "domain-1"},
                     {"host", "127.0.0.1"},
                     {"http_port", Entry->HttpPort},
                     {"peer_port", Entry->PeerPort},
                     {"leaving", false}});
  const Reply Answer =
      call(this->PlatformPort, "PUT", "/instances", {{"items", Items}});
  if (Answer.Status != 200)
    throw std::runtime_error("cannot write the list of instances: " +
                             Answer.Body.dump());
}

Cluster::Instance &Cluster::otherInstance(const std::string &ExcludedName) {
  for (const auto &Entry : this->Instances) {
    if (Entry->Name != ExcludedName)
      return *Entry;
  }
  throw std::runtime_error("there is no other instance");
}

std::string Cluster::owner(const Instance &Source) const {
  const Reply Answer = call(Source.HttpPort, "GET", "/v1/nodes");
  if (Answer.Status != 200)
    return {};
  for (const nlohmann::json &Node : Answer.Body.at("nodes")) {
    for (const nlohmann::json &Owned : Node.at("owns")) {
      if (Owned == Cell)
        return Node.at("instance");
    }
  }
  return {};
}

int Cluster::submit(const Instance &Target, const std::string &Job,
                    std::uint32_t Tasks, int RunMs) const {
  call(this->PlatformPort, "PUT", "/jobs/" + Job + "/behaviour",
       {{"run_ms", RunMs}});
  const nlohmann::json Body = {{"job", Job},
                               {"workspace", "chess"},
                               {"shape",
                                {{"tasks", Tasks},
                                 {"accelerators_per_task", 4},
                                 {"cores_per_task", 1},
                                 {"memory_mb_per_task", 100},
                                 {"adjacency", "same_rack"}}},
                               {"declared_runtime_ms", RunMs},
                               {"checkpointable", true}};
  return call(Target.HttpPort, "POST", "/v1/jobs", Body).Status;
}

std::string Cluster::phase(const Instance &Source,
                           const std::string &Job) const {
  const Reply Answer = call(Source.HttpPort, "GET", "/v1/jobs/" + Job);
  return Answer.Status == 200 ? Answer.Body.value("phase", "") : "";
}

std::vector<nlohmann::json> Cluster::runs(const std::string &Job) const {
  std::vector<nlohmann::json> JobRuns =
      itemsOf(call(this->PlatformPort, "GET", "/history/tasks"));
  std::erase_if(JobRuns, [&](const auto &Run) { return Run.at("job") != Job; });
  return JobRuns;
}

std::vector<nlohmann::json> Cluster::orders() const {
  return itemsOf(call(this->PlatformPort, "GET", "/history/orders"));
}

std::uint64_t Cluster::entryCount(const std::string &Stream) const {
  const SystemClock Time;
  HttpPoolSettings Settings;
  Settings.Server = {"127.0.0.1", this->PlatformPort};
  HttpPool Pool(Settings, Time);
  HttpLogService Log(Pool, Duration{CallTimeoutSeconds * 1'000});
  const Result<LogPage> Page = Log.read({Stream}, 0, 1);
  return Page.has_value() ? Page.value().Next : 0;
}

void Cluster::injectLogOutage() const {
  call(this->PlatformPort, "POST", "/faults",
       {{"part", "log"}, {"kind", "down"}});
}

void Cluster::clearFaults() const {
  call(this->PlatformPort, "DELETE", "/faults");
}

} // namespace pistachioflow::testing
