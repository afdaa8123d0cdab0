#pragma once

#include <cstdint>
#include <functional>
#include <memory>
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

/// Answers callers: submits and cancels jobs, and returns a job's state or a
/// queue's length.
///
/// Thread safety: none; use from the thread that runs the io_context.
class CallerApi {
public:
  /// \p MaxRecordBytes is what one record of the store may hold.
  /// \p AllEvacuated says whether no worker may get a start.
  CallerApi(
      const Clock &Time, const DesiredState &Desired,
      JobStatusTable &JobStatuses, TopicFollower &Journal,
      JournalWriter &Writer, std::size_t MaxRecordBytes,
      std::function<bool()> AllEvacuated = [] { return false; });

  asio::awaitable<HttpResponse> handle(HttpRequest Request);

private:
  /// What a request that passed the filter addresses, as of its arrival: a new
  /// desired state may come while it waits.
  struct CallTarget {
    std::shared_ptr<const QueueConfig> Queue;
    std::string Workspace;
    std::string JobId; ///< Empty for the queue itself.
  };

  /// Returns the response that refuses the request; or status 0, with
  /// \p Target filled, when it passes.
  HttpResponse filter(const HttpRequest &Request, CallTarget &Target) const;
  /// Whether a caller may read and cancel a job: with a key of its workspace,
  /// or with any or none where the job's own route is public.
  bool mayAccess(const CallTarget &Target,
                 const JobStatusTable::Entry &Job) const;
  /// Returns the response to callers without access to the job.
  static HttpResponse accessDenied(std::string_view Call,
                                   const CallTarget &Target);
  asio::awaitable<HttpResponse> submit(CallTarget Target, std::string Body);
  asio::awaitable<HttpResponse> state(CallTarget Target);
  asio::awaitable<HttpResponse> cancel(CallTarget Target);
  asio::awaitable<HttpResponse>
  cancelUnknown(std::string JobId, EarlyCancellationRecord Cancellation);
  HttpResponse queueLength(const CallTarget &Target) const;
  bool storeFailing() const;

  const Clock &Time;
  const DesiredState &Desired;
  JobStatusTable &JobStatuses;
  TopicFollower &Journal;
  JournalWriter &Writer;
  std::size_t MaxRecordBytes;
  std::function<bool()> AllEvacuated;
};

/// Returns a response with a Retry-After header, in seconds.
HttpResponse refusal(int Status, std::int64_t RetryAfterS);

} // namespace pistachioflow
