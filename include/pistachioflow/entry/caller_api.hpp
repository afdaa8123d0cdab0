#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <asio/awaitable.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/job_status_table.hpp"
#include "pistachioflow/entry/journal_writer.hpp"
#include "pistachioflow/entry/topic_follower.hpp"
#include "pistachioflow/net/http_message.hpp"
#include "pistachioflow/sched/desired_state.hpp"

namespace pistachioflow {

/// Answers callers: submit, state, cancel, and the length of a queue.
///
/// Thread safety: none; use from the thread that runs the io_context.
class CallerApi {
public:
  CallerApi(const Clock &Time, const DesiredState &Desired,
            JobStatusTable &Board, TopicFollower &Journal,
            JournalWriter &Writer);

  asio::awaitable<HttpResponse> handle(HttpRequest Request);

private:
  /// A request that passed the filters.
  struct CallTarget {
    const QueueConfig *Queue = nullptr;
    std::string Workspace;
    std::string JobId; ///< Empty: the queue itself is meant.
  };

  /// Returns the answer of the filter that refuses the request, or status 0.
  HttpResponse filter(const HttpRequest &Request, CallTarget &Passed) const;
  asio::awaitable<HttpResponse> submit(CallTarget Of, std::string Body);
  asio::awaitable<HttpResponse> state(CallTarget Of);
  asio::awaitable<HttpResponse> cancel(CallTarget Of);
  HttpResponse queueLength(const CallTarget &Of) const;
  bool storeFailing() const;

  const Clock &Time;
  const DesiredState &Desired;
  JobStatusTable &JobStatuses;
  TopicFollower &Journal;
  JournalWriter &Writer;
};

/// A refusal that says when to come back.
HttpResponse refusal(int Status, std::int64_t RetryAfterS);

} // namespace pistachioflow
