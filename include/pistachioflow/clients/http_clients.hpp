#pragma once

#include <memory>

#include "pistachioflow/base/metrics.hpp"
#include "pistachioflow/clients/http_pool.hpp"
#include "pistachioflow/port/instance_list.hpp"
#include "pistachioflow/port/log_service.hpp"
#include "pistachioflow/port/runner_gateway.hpp"
#include "pistachioflow/port/worker_gateway.hpp"

namespace pistachioflow {

// The platform's ports over HTTP. Thread safety: every method may be called
// from any thread; a call blocks up to the timeout given here. Preconditions:
// the pool and the metrics outlive the client.

/// The platform's log. An append is never sent twice.
class HttpLogService final : public LogService {
public:
  HttpLogService(HttpPool &Pool, Duration Timeout);
  Result<Offset> append(const StreamName &Stream,
                        std::string_view Bytes) override;
  Result<LogPage> read(const StreamName &Stream, Offset From,
                       std::size_t Limit) override;

private:
  HttpPool &Pool;
  Duration Timeout;
};

class HttpInstanceList final : public InstanceList {
public:
  HttpInstanceList(HttpPool &Pool, Duration Timeout);
  Result<std::vector<ListedInstance>> instances() override;

private:
  HttpPool &Pool;
  Duration Timeout;
};

class HttpWorkerGateway final : public WorkerGateway {
public:
  HttpWorkerGateway(HttpPool &Pool, Duration Timeout);
  Result<std::vector<WorkerInfo>> workers() override;
  Result<void> send(const WorkerId &Worker, const WorkerOrder &Order) override;
  Result<WorkerReport> report(const WorkerId &Worker) override;

private:
  HttpPool &Pool;
  Duration Timeout;
};

/// Counts "runner_answers_foreign" and "runner_answers_lost" in \p Metrics.
class HttpRunnerGateway final : public RunnerGateway {
public:
  HttpRunnerGateway(HttpPool &Pool, Duration ListTimeout,
                    MetricRegistry &Metrics);
  Result<std::vector<RunnerInfo>> runners() override;
  RunnerAnswer send(const RunnerId &Runner, const CallerRequest &Request,
                    Duration Timeout) override;
  void cancel(const RunnerId &Runner, const RequestId &Request) override;

private:
  HttpPool &Pool;
  Duration ListTimeout;
  Counter &Foreign;
  Counter &Lost;
};

} // namespace pistachioflow
