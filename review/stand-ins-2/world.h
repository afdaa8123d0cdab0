// Stand-ins of the users' platform for the cases of the second review: the
// store, runners, clients, and the starter of the project's own daemons. They
// follow PROTOCOL.md; everything is on 127.0.0.1 and on the real clock. One
// thread.
#pragma once

#include <asio.hpp>
#include <asio/experimental/awaitable_operators.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

using Json = nlohmann::json;
using asio::awaitable;
using asio::ip::tcp;

inline asio::io_context &io() {
  static asio::io_context Context(1);
  return Context;
}

/// Milliseconds of the steady clock since the program began.
std::int64_t nowMs();
/// Milliseconds since 1970.
std::int64_t wallMs();
awaitable<void> sleepMs(std::int64_t Ms);
void spawn(awaitable<void> Work);

/// What was sent, answered and run, in the order of time.
void note(const char *Format, ...) __attribute__((format(printf, 1, 2)));
void writeRecord(const std::string &Path);

struct Message {
  std::string Method, Target;
  int Status = 200;
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string Body;
};

/// An HTTP server on a free port of 127.0.0.1. A handler that returns nothing
/// leaves the request without an answer.
class Server {
public:
  using Handler = std::function<awaitable<std::optional<Message>>(Message)>;
  explicit Server(Handler Handle) : Handle(std::move(Handle)) {}
  void listen(unsigned short Port = 0);
  void close(); ///< Ends the listener and resets every channel.
  unsigned short port() const { return this->Port; }

private:
  awaitable<void> accept();
  awaitable<void> serve(std::shared_ptr<tcp::socket> Socket);
  Handler Handle;
  std::unique_ptr<tcp::acceptor> Acceptor;
  std::set<std::shared_ptr<tcp::socket>> Sockets;
  unsigned short Port = 0;
};

/// One call of a client on a channel of its own. Status 0: no answer.
awaitable<Message> call(unsigned short Port, Message Request,
                        std::int64_t TimeoutMs);

unsigned short freePort();

// ---------------------------------------------------------------- the store

class Store {
public:
  Store();
  /// Adds an address for one daemon; the link to it can be cut.
  std::size_t addLink();
  unsigned short port(std::size_t Link) const {
    return this->Links[Link]->Port->port();
  }
  /// While cut, what comes in is lost and nothing is answered.
  void cut(std::size_t Link, bool Cut) { this->Links[Link]->Cut = Cut; }
  /// While down, calls to any link are read and neither done nor answered.
  void setDown(bool Down) { this->Down = Down; }
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  /// The link with the most appends in the last second: the daemon that leads.
  std::size_t busiestWriter() const;

private:
  struct Producer {
    std::int64_t Epoch = -1, Sequence = -1;
    std::deque<std::pair<std::int64_t, Message>> Last;
  };
  struct Topic {
    std::vector<std::pair<std::string, std::string>> Records;
    std::map<std::string, std::pair<std::int64_t, std::string>> Newest;
    std::map<std::string, Producer> Producers;
  };
  struct Link {
    std::unique_ptr<Server> Port;
    bool Cut = false;
    std::deque<std::int64_t> Appends;
  };
  awaitable<std::optional<Message>> handle(std::size_t Link, Message Request);
  Message append(Topic &Into, const std::map<std::string, std::string> &Query,
                 const std::string &Body);
  awaitable<Message> read(Topic &From,
                          std::map<std::string, std::string> Query);
  Message newest(Topic &From, const std::map<std::string, std::string> &Query);
  std::map<std::string, Topic> Topics;
  std::vector<std::unique_ptr<Link>> Links;
  asio::steady_timer Appended;
  bool Down = false;
};

// -------------------------------------------------------------- the runners

struct Resources {
  std::int64_t Cpu = 0, Mem = 0, Gpus = 0;
};

/// What a task does, read from the specification of its job:
/// "work=MS cpu=N mem=N gpus=N lasts=0|1 deadly=0|1 fails=N".
struct Task {
  std::int64_t WorkMs = 0;
  Resources Needs;
  bool Lasts = false;
  bool Deadly = false;    ///< It crashes each runner that starts it.
  std::int64_t Fails = 0; ///< Its first runs, that many, end failed.
};
Task parseTask(const std::string &Specification);

struct RunOf {
  std::int64_t Run = 0;
  Task What;
  std::int64_t StartedAt = 0, StopsAt = 0;
};

struct EndOf {
  std::int64_t Number = 0;
  std::string Task;
  std::int64_t Run = 0;
  std::string How;
};

/// What the starts and ends of one task looked like from the runners.
struct History {
  struct Start {
    std::int64_t At;
    std::string Runner;
    std::int64_t Run;
    std::int64_t Token;
  };
  struct Done {
    std::int64_t At;
    std::string Runner;
    std::int64_t Born, Number, Run;
    bool LeaseLapsed = false;
    std::int64_t NotedAt = 0;
  };
  std::vector<Start> Starts;
  std::vector<Done> Dones;
};

class Runners;

class Runner {
public:
  Runner(Runners &All, std::string Id, std::string Kind, std::string Rack,
         Resources Capacity);
  void boot();
  void crash(); ///< All that it ran and knew is gone; nobody listens.
  void tick();
  Json entry();
  awaitable<std::optional<Message>> handle(Message Request);

  Runners &All;
  std::string Id, Kind, Rack;
  Resources Capacity;
  bool Up = false;
  bool Cut = false; ///< No machine of the system reaches it; it runs on.
  std::int64_t Born = 0, BootedAt = 0, Fence = 0, LeaseEnds = 0, Sequence = 0;
  std::map<std::string, RunOf> Running;
  std::deque<EndOf> Ended;
  std::int64_t LastEnd = 0;
  std::map<std::string, std::int64_t> Highest; ///< Stopped or ended, by task.
  std::unique_ptr<Server> Port;
  unsigned short PortNumber = 0;

private:
  std::int64_t clock() const { return nowMs() - this->BootedAt; }
  void end(const std::string &Task, const std::string &How);
  void grant(const Json &Body);
  bool fits(const Task &What) const;
  Message report(const Json &Body);
};

class Runners {
public:
  Runners(Store &Platform, std::string Service)
      : Platform(Platform), Service(std::move(Service)) {}
  Runner &add(std::string Kind, std::string Rack, Resources Capacity);
  void start(std::int64_t HeartbeatMs, std::int64_t MaxHoldMs,
             std::int64_t StopMs);
  /// A runner that is new joins the others.
  void join(std::string Kind, std::string Rack, Resources Capacity);
  Runner *runnerOf(const std::string &Task);
  std::size_t runningCount() const;
  /// Rule TWICE over all that has happened; one line for each breach.
  std::vector<std::string> twice() const;

  Store &Platform;
  std::string Service;
  std::int64_t MaxHoldMs = 6000, StopMs = 400, HeartbeatMs = 1500;
  std::vector<std::unique_ptr<Runner>> List;
  std::map<std::string, History> Tasks;
  std::vector<std::string> Together; ///< Two runs of a task at once.
  std::int64_t DoneCount = 0;
  /// While set, tasks that last end failed 100 ms after their start.
  bool LastingFail = false;

private:
  awaitable<void> tickLoop();
  awaitable<void> heartbeatLoop(Runner &Of, std::int64_t FirstMs,
                                std::int64_t Ms);
};

// -------------------------------------------------------------- the daemons

struct Daemon {
  std::string Name;
  std::size_t Link = 0;
  unsigned short Frontend = 0, Ready = 0, Control = 0, Internal = 0;
  pid_t Pid = 0;
  std::int64_t StartedAt = 0;
};

class Daemons {
public:
  /// \p Command is the deploy file's, run in \p Root.
  Daemons(Store &Platform, std::string Root, std::string Command,
          std::string Folder)
      : Platform(Platform), Root(std::move(Root)), Command(std::move(Command)),
        Folder(std::move(Folder)) {}
  ~Daemons();
  void add(std::size_t Count);
  void start(std::size_t Index);
  void signal(std::size_t Index, int Number);
  /// Ends that nobody asked for are noted and counted.
  void reap();
  awaitable<bool> allReady(std::int64_t TimeoutMs);

  Store &Platform;
  std::string Root, Command, Folder;
  std::vector<Daemon> List;
  Json Bounds;
  std::int64_t OwnEnds = 0;
  std::set<pid_t> Signalled;
};

// ---------------------------------------------------------------- the cases

struct World {
  World(std::string Root, std::string Command, std::string Folder);
  /// The desired state, runners and daemons of a small deployment.
  void publish();
  awaitable<int> submit(std::size_t Daemon, std::string Id, Json Job,
                        std::int64_t TimeoutMs = 3000);
  /// The state that a daemon shows; "410", or "" without an answer.
  awaitable<std::string> state(std::size_t Daemon, std::string Id);
  awaitable<int> cancel(std::size_t Daemon, std::string Id);
  bool Trouble = true;
  Store Platform;
  Runners Workers;
  Daemons Entries;
  std::string Host = "nony24.example", Prefix = "/lohu930/",
              Key = "d4a3hwrr6x73d3zji9n7";
};

/// A case returns 0 (held), 1 (broken) or 2 (could not run).
using Case = std::function<awaitable<int>(World &)>;
const std::map<std::string, Case> &cases();
