#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace pistachioflow::testing {

/// A program that the test starts. The destructor kills it. Not thread safe.
class Process {
public:
  /// Starts \p Program of the build folder with its standard error in
  /// \p LogFile.
  Process(const std::string &Program, std::vector<std::string> Arguments,
          const std::string &LogFile);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Returns the next line of its standard output, empty at the end of output.
  std::string readLine();

  void signal(int Number) const;

  /// Waits for its end and returns the exit code, or -1 if a signal ended it.
  int wait();

  pid_t id() const { return this->Pid; }
  bool running() const { return this->Pid > 0; }

private:
  pid_t Pid = -1;
  int Output = -1;
};

struct Reply {
  int Status = 0; ///< HTTP status, or 0 without an answer.
  nlohmann::json Body;
};

/// Sends one HTTP request to a port of this machine, with \p Revision as
/// If-Match unless it is negative.
Reply call(std::uint16_t Port, const std::string &Method,
           const std::string &Path, const nlohmann::json &Body = {},
           int Revision = -1);

/// Polls \p Condition until it holds; returns false after a long timeout.
bool eventually(const std::function<bool()> &Condition);

/// A stand-in of the platform and the instances that use it.
/// Not thread safe.
class Cluster {
public:
  struct Instance {
    std::string Name;
    std::uint16_t HttpPort = 0;
    std::uint16_t PeerPort = 0;
    std::unique_ptr<Process> Program;
  };

  /// Starts the stand-in and \p Count instances, and submits lists with one
  /// workspace "chess".
  explicit Cluster(std::size_t Count);
  ~Cluster();

  Instance &add(const std::string &Name);
  void remove(const std::string &Name);

  /// Writes the current instances to the platform's list of instances.
  void publishInstanceList() const;

  /// Returns an instance other than \p ExcludedName.
  Instance &otherInstance(const std::string &ExcludedName = "");

  /// Returns the name of the cell's owner according to \p Source; empty if
  /// there is none.
  std::string owner(const Instance &Source) const;

  /// Submits a gang that runs for \p RunMs to \p Target; returns the HTTP
  /// status.
  int submit(const Instance &Target, const std::string &Job,
             std::uint32_t Tasks, int RunMs) const;

  std::string phase(const Instance &Source, const std::string &Job) const;

  /// Returns the intervals in which workers ran tasks of \p Job.
  std::vector<nlohmann::json> runs(const std::string &Job) const;

  /// Returns all orders that workers received, oldest first.
  std::vector<nlohmann::json> orders() const;

  /// Returns how many entries were ever appended to a stream of the log.
  std::uint64_t entryCount(const std::string &Stream) const;

  /// Makes the platform's log unavailable until clearFaults().
  void injectLogOutage() const;
  void clearFaults() const;

  std::vector<std::unique_ptr<Instance>> Instances;

private:
  std::string Folder;
  std::unique_ptr<Process> Platform;
  std::uint16_t PlatformPort = 0;
};

} // namespace pistachioflow::testing
