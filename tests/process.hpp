#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace pistachioflow::testing {

/// A program started by the test. Killed by its id when the object goes.
/// Not thread safe.
class Process {
public:
  /// Starts \p Program of the build folder; its log goes to \p LogFile.
  Process(const std::string &Program, std::vector<std::string> Arguments,
          const std::string &LogFile);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Returns the next line of its output; empty where it ended.
  std::string readLine();

  void signal(int Number) const;

  /// Waits for its end and returns the exit code, or -1 for a signal.
  int wait();

  pid_t id() const { return this->Pid; }
  bool running() const { return this->Pid > 0; }

private:
  pid_t Pid = -1;
  int Output = -1;
};

struct Reply {
  int Status = 0; ///< 0: no answer.
  nlohmann::json Body;
};

/// Sends one HTTP call to a port of this machine. \p Revision is sent as
/// If-Match where it is not negative.
Reply call(std::uint16_t Port, const std::string &Method,
           const std::string &Path, const nlohmann::json &Body = {},
           int Revision = -1);

/// Asks \p Reached again and again; returns false after a generous limit.
bool eventually(const std::function<bool()> &Reached);

/// One stand-in of the platform and the instances that use it.
/// Not thread safe.
class Cluster {
public:
  struct Instance {
    std::string Name;
    std::uint16_t HttpPort = 0;
    std::uint16_t PeerPort = 0;
    std::unique_ptr<Process> Program;
  };

  /// Starts the stand-in and \p Count instances, and puts in lists with one
  /// workspace "chess".
  explicit Cluster(std::size_t Count);
  ~Cluster();

  Instance &add(const std::string &Name);
  void remove(const std::string &Name);

  /// Tells the platform's list of instances who there is.
  void publishInstanceList() const;

  /// Returns an instance that runs, other than \p Not.
  Instance &otherInstance(const std::string &Not = "");

  /// Returns the name of the instance that owns the cell, as \p Asked says.
  std::string owner(const Instance &Asked) const;

  /// Submits a gang that runs for \p RunMs; returns the status of the answer.
  int submit(const Instance &To, const std::string &Job, std::uint32_t Tasks,
             int RunMs) const;

  std::string phase(const Instance &Asked, const std::string &Job) const;

  /// Returns the intervals in which workers ran tasks of \p Job.
  std::vector<nlohmann::json> runs(const std::string &Job) const;

  /// Returns every order that workers got, oldest first.
  std::vector<nlohmann::json> orders() const;

  /// Returns how many entries a stream of the log has had.
  std::uint64_t entryCount(const std::string &Stream) const;

  void injectLogOutage() const;
  void clearFaults() const;

  std::vector<std::unique_ptr<Instance>> Instances;

private:
  std::string Folder;
  std::unique_ptr<Process> Platform;
  std::uint16_t PlatformPort = 0;
};

} // namespace pistachioflow::testing
