#include "pistachioflow/api/server.hpp"

#include <chrono>
#include <thread>
#include <utility>

#include "pistachioflow/api/elastic_task_queue.hpp"
#include "pistachioflow/api/route_context.hpp"
#include "pistachioflow/base/log.hpp"

namespace pistachioflow {

namespace {

constexpr int InternalError = 500;
constexpr std::size_t OneAnswerPerConnection = 1;
constexpr std::chrono::milliseconds BindPollInterval{1};

std::chrono::milliseconds toChrono(Duration Value) {
  return std::chrono::milliseconds(Value.Ms);
}

std::string exceptionText(const std::exception_ptr &Thrown) {
  try {
    std::rethrow_exception(Thrown);
  } catch (const std::exception &Failure) {
    return Failure.what();
  } catch (...) {
    return "unknown exception";
  }
}

void answerException(const httplib::Request &Call, httplib::Response &Answer,
                     const std::exception_ptr &Thrown) {
  logEvent(LogLevel::Error, "http_exception",
           {{"method", Call.method},
            {"path", Call.path},
            {"what", exceptionText(Thrown)}});
  answerJson(Answer, InternalError,
             {{"error", "internal"}, {"message", "the call failed"}});
}

/// Gives answers that the library made, such as 404 and 413, a JSON body.
void answerLibraryError(httplib::Response &Answer) {
  if (!Answer.body.empty())
    return;
  answerJson(Answer, Answer.status,
             {{"error", "http_error"},
              {"message", "status " + std::to_string(Answer.status)}});
}

} // namespace

struct HttpServer::Impl {
  RouteContext Context;
  Counter &Answers;
  Counter &Failures;
  httplib::Server Server;
  std::thread Listener;
};

HttpServer::HttpServer(Backend &Handler, const Clock &Time,
                       MetricRegistry &Metrics, ServerSettings Settings)
    : Held(new Impl{{Handler, Time, std::move(Settings)},
                    Metrics.counter("pistachioflow_http_answers_total"),
                    Metrics.counter("pistachioflow_http_failures_total"),
                    {},
                    {}}) {
  const ServerSettings &Chosen = this->Held->Context.Settings;
  httplib::Server &Server = this->Held->Server;
  Server.new_task_queue = [Threads = Chosen.MaxThreads] {
    return new ElasticTaskQueue(Threads);
  };
  Server.set_payload_max_length(Chosen.MaxBodyBytes);
  Server.set_keep_alive_timeout(Chosen.KeepAlive.Ms / 1'000);
  Server.set_read_timeout(toChrono(Chosen.ReadTimeout));
  Server.set_tcp_nodelay(true);
  Server.set_exception_handler(answerException);
  Server.set_error_handler(
      [](const httplib::Request &, httplib::Response &Answer) {
        answerLibraryError(Answer);
      });
  Server.set_logger([Held = this->Held.get()](const httplib::Request &,
                                              const httplib::Response &Answer) {
    Held->Answers.add();
    if (Answer.status >= InternalError)
      Held->Failures.add();
  });
  addListRoutes(Server, this->Held->Context);
  addJobRoutes(Server, this->Held->Context);
  addRequestRoutes(Server, this->Held->Context);
  addInspectRoutes(Server, this->Held->Context);
}

HttpServer::~HttpServer() { this->stop(); }

Result<std::uint16_t> HttpServer::start() {
  const ServerSettings &Chosen = this->Held->Context.Settings;
  httplib::Server &Server = this->Held->Server;
  int Port = Chosen.Port;
  if (Port == 0)
    Port = Server.bind_to_any_port(Chosen.Host.c_str());
  else if (!Server.bind_to_port(Chosen.Host.c_str(), Port))
    Port = -1;
  if (Port < 0)
    return Error{ErrorCode::Unavailable, "cannot bind " + Chosen.Host + ":" +
                                             std::to_string(Chosen.Port)};
  this->Held->Listener = std::thread([&Server] { Server.listen_after_bind(); });
  while (!Server.is_running())
    std::this_thread::sleep_for(BindPollInterval);
  return static_cast<std::uint16_t>(Port);
}

void HttpServer::stopKeepingConnections() {
  this->Held->Server.set_keep_alive_max_count(OneAnswerPerConnection);
}

void HttpServer::stop() {
  this->Held->Server.stop();
  if (this->Held->Listener.joinable())
    this->Held->Listener.join();
}

} // namespace pistachioflow
