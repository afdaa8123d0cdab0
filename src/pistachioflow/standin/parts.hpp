#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>

#include "pistachioflow/standin/server.hpp"

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace pistachioflow::standin {

/// Delays that end early when the server stops.
///
/// Thread safety: every method may be called from any thread.
class Pause {
public:
  /// Waits for \p Span. Returns false where the server stops.
  bool wait(Duration Span);

  /// Ends every wait, now and later.
  void stop();

private:
  std::mutex Lock;
  std::condition_variable Changed;
  bool Stopping = false;
};

/// What the routes work on.
struct Platform {
  Platform(const ServerSettings &Settings, const Clock &Time);

  ServerSettings Settings;
  const Clock &Time;
  MemoryLog Log;
  FaultBoard Faults;
  InstanceBoard Instances;
  WorkerPark Workers;
  RunnerPark Runners;
  Pause Waits;
};

// Each adds the routes of one part. The platform must outlive the server.
void addLogRoutes(httplib::Server &Http, Platform &Target);
void addWorkerRoutes(httplib::Server &Http, Platform &Target);
void addRunnerRoutes(httplib::Server &Http, Platform &Target);
void addControlRoutes(httplib::Server &Http, Platform &Target);

void answerJson(httplib::Response &Response, int Status,
                const nlohmann::json &Body);
void answerFindings(httplib::Response &Response, const Error &Fault);

/// Cuts the connection of a request that is being handled, so that its caller
/// gets no answer.
void cutConnection(const httplib::Request &Request);

/// Writes bytes on the connection, ahead of the real answer.
void sendRaw(const httplib::Request &Request, std::string_view Bytes);

/// Answers with the first \p Count bytes of \p Body, then cuts the connection.
void answerPart(httplib::Response &Response, std::string Body,
                std::size_t Count);

/// Switches a fault on, with what follows from it at once.
void addFault(Platform &Target, const Fault &Value);

/// Applies the faults that hit every part alike before a call. Returns false
/// where the call must not take effect; the response is then complete.
bool admitCall(Platform &Target, FaultPart Part, std::string_view Name,
               const httplib::Request &Request, httplib::Response &Response);

/// Cuts the connection where the answer is to be lost.
void loseAnswer(Platform &Target, FaultPart Part, std::string_view Name,
                const httplib::Request &Request);

} // namespace pistachioflow::standin
