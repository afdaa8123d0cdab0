#include "pistachioflow/entry/caller_api.hpp"

#include <utility>
#include <vector>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/codec/json_reader.hpp"
#include "pistachioflow/entry/metrics.hpp"
#include "pistachioflow/platform/job_codec.hpp"

namespace pistachioflow {

namespace {

/// How long a request about an unknown job waits until the journal is read up
/// to its end.
constexpr Duration RefreshTimeout{400};
/// How long a request about a job that has not ended waits for the newest
/// records.
constexpr Duration CatchUpTimeout{150};
/// After the store has not taken appends for this long, submits are refused at
/// once.
constexpr Duration FailingLimit{300};
/// Callers wait about 3 s in all. An early answer leaves them time to try an
/// instance that reaches the store.
constexpr WriteTimeouts CallerWriteTimeouts{{300}, {900}};
/// Retry-After while the store is unreachable. Short, since other instances may
/// reach it.
constexpr std::int64_t StoreRetryAfterS = 1;
/// How many cancellations of unknown jobs the callers of one workspace may have
/// made within the time that they are retained.
constexpr std::size_t MaxEarlyCancellations = 1'000;
/// Retry-After beyond that.
constexpr std::int64_t EarlyCancellationRetryAfterS = 5;
/// Retry-After while no worker may get a start: when that ends is not known.
constexpr std::int64_t EvacuationRetryAfterS = 5;
/// Retry-After until the configuration has been read.
constexpr std::int64_t StartupRetryAfterS = 1;

HttpResponse emptyResponse(int Status) { return {Status, {}, {}}; }

HttpResponse jsonResponse(std::string Body) {
  return {200, {{"Content-Type", "application/json"}}, std::move(Body)};
}

void logCall(std::string_view Event, std::string_view JobId, int Status,
             std::string_view Reason, Duration Elapsed) {
  logEvent(LogLevel::Info, Event,
           {{"id", JobId},
            {"status", Status},
            {"reason", Reason},
            {"ms", Elapsed.Ms}});
}

} // namespace

HttpResponse refusal(int Status, std::int64_t RetryAfterS) {
  return {Status, {{"Retry-After", std::to_string(RetryAfterS)}}, {}};
}

CallerApi::CallerApi(const Clock &Time, const DesiredState &Desired,
                     JobStatusTable &JobStatuses, TopicFollower &Journal,
                     JournalWriter &Writer, std::size_t MaxRecordBytes,
                     std::function<bool()> AllEvacuated)
    : Time(Time), Desired(Desired), JobStatuses(JobStatuses), Journal(Journal),
      Writer(Writer), MaxRecordBytes(MaxRecordBytes),
      AllEvacuated(std::move(AllEvacuated)) {}

HttpResponse CallerApi::filter(const HttpRequest &Request,
                               CallTarget &Target) const {
  if (this->Desired.Version == 0)
    return refusal(503, StartupRetryAfterS);
  const std::string_view Path =
      std::string_view(Request.Target).substr(0, Request.Target.find('?'));
  const QueueConfig *Queue =
      findQueue(this->Desired, findHeader(Request.Headers, "Host"), Path);
  if (!Queue)
    return emptyResponse(404);
  Target.Queue = std::make_shared<const QueueConfig>(*Queue);
  const std::string_view Key =
      callerKey(findHeader(Request.Headers, "Authorization"));
  const auto Owner = this->Desired.WorkspaceByKey.find(Key);
  const bool KeyIsKnown = Owner != this->Desired.WorkspaceByKey.end();
  if (!KeyIsKnown && !Target.Queue->Public)
    return emptyResponse(401);
  if (KeyIsKnown)
    Target.Workspace = Owner->second;
  Target.JobId = Path.substr(Target.Queue->PathPrefix.size());
  if (!Target.JobId.empty() && !isJobId(Target.JobId))
    return emptyResponse(404);
  return {};
}

asio::awaitable<HttpResponse> CallerApi::handle(HttpRequest Request) {
  CallTarget Target;
  HttpResponse Refused = this->filter(Request, Target);
  if (Refused.Status != 0) {
    entryMetrics().CallsFiltered.add();
    logCall("call_refused", shortened(Request.Target), Refused.Status, "filter",
            {});
    co_return Refused;
  }
  if (Target.JobId.empty())
    co_return Request.Method == "GET" ? this->queueLength(Target)
                                      : emptyResponse(405);
  if (Request.Method == "POST")
    co_return co_await this->submit(std::move(Target), std::move(Request.Body));
  if (Request.Method == "GET")
    co_return co_await this->state(std::move(Target));
  if (Request.Method == "DELETE")
    co_return co_await this->cancel(std::move(Target));
  co_return emptyResponse(405);
}

bool CallerApi::mayAccess(const CallTarget &Target,
                          const JobStatusTable::Entry &Job) const {
  if (Job.Workspace.empty() || Job.Workspace == Target.Workspace)
    return true;
  const QueueConfig *Queue = findQueueByName(this->Desired, Job.Queue);
  return Target.Queue->Public && Queue && Queue->Public;
}

HttpResponse CallerApi::accessDenied(std::string_view Call,
                                     const CallTarget &Target) {
  entryMetrics().CallsFiltered.add();
  logEvent(LogLevel::Warning, "call_refused",
           {{"id", Target.JobId},
            {"status", 403},
            {"reason", "other_workspace"},
            {"call", Call},
            {"workspace", Target.Workspace}});
  return {403, {}, "the job belongs to another workspace"};
}

bool CallerApi::storeFailing() const {
  const Instant Since = this->Writer.failingSince();
  return Since.Ms != 0 && this->Time.monotonic() - Since > FailingLimit;
}

asio::awaitable<HttpResponse> CallerApi::submit(CallTarget Target,
                                                std::string Body) {
  const Instant StartedAt = this->Time.monotonic();
  const auto Elapsed = [&] { return this->Time.monotonic() - StartedAt; };
  if (const auto *Known = this->JobStatuses.find(Target.JobId)) {
    if (!this->mayAccess(Target, *Known))
      co_return accessDenied("submit", Target);
    logCall("submit_repeated", Target.JobId, 200, "known", Elapsed());
    co_return emptyResponse(200);
  }
  Result<JobSpec> Spec = decodeJobSpec(Body);
  if (!Spec) {
    const std::string Reason = formatFindings(Spec.error().Details);
    logCall("submit_refused", Target.JobId, 400, Reason, Elapsed());
    co_return HttpResponse{400, {}, Reason};
  }
  if (this->AllEvacuated()) {
    entryMetrics().SubmitsRefused.add();
    logCall("submit_refused", Target.JobId, 503, "all_evacuated", Elapsed());
    co_return refusal(503, EvacuationRetryAfterS);
  }
  if (this->storeFailing()) {
    entryMetrics().SubmitsRefused.add();
    logCall("submit_refused", Target.JobId, 503, "store_failing", Elapsed());
    co_return refusal(503, StoreRetryAfterS);
  }
  SubmissionRecord Record{Target.Queue->Name, Target.Workspace,
                          this->Time.wall().Ms, Target.Queue->Terms,
                          std::move(Spec.value())};
  std::vector<JournalRecord> Records;
  Records.push_back({submissionKey(Target.JobId), encodeRecord(Record)});
  const JournalRecord Stored = Records.front();
  // The store would refuse it with all that is written in the same append.
  if (recordBytes(Stored) > this->MaxRecordBytes) {
    logCall("submit_refused", Target.JobId, 413, "record_too_large", Elapsed());
    co_return HttpResponse{413, {}, "the job is too large for the store"};
  }
  const WriteOutcome Outcome =
      co_await this->Writer.write(std::move(Records), CallerWriteTimeouts);
  if (Outcome == WriteOutcome::Stored) {
    this->JobStatuses.apply(Stored);
    entryMetrics().SubmitsAccepted.add();
    entryMetrics().SubmitMs.record(static_cast<double>(Elapsed().Ms));
    logEvent(LogLevel::Info, "submit_accepted",
             {{"id", Target.JobId},
              {"queue", Record.Queue},
              {"workspace", Record.Workspace},
              {"priority", Record.Terms.Priority},
              {"version", this->Desired.Version},
              {"ms", Elapsed().Ms}});
    co_return emptyResponse(200);
  }
  if (Outcome == WriteOutcome::NotStored) {
    entryMetrics().SubmitsRefused.add();
    logCall("submit_refused", Target.JobId, 503, "not_stored", Elapsed());
    co_return refusal(503, StoreRetryAfterS);
  }
  entryMetrics().SubmitsUnknown.add();
  logCall("submit_unknown", Target.JobId, 504, "no_answer", Elapsed());
  co_return emptyResponse(504);
}

asio::awaitable<HttpResponse> CallerApi::state(CallTarget Target) {
  const JobStatusTable::Entry *Status = this->JobStatuses.find(Target.JobId);
  if (Status && !hasEnded(reportedPhase(*Status))) {
    co_await this->Journal.catchUp(CatchUpTimeout);
    Status = this->JobStatuses.find(Target.JobId);
  }
  if (!Status) {
    const bool Refreshed = co_await this->Journal.refresh(RefreshTimeout);
    Status = this->JobStatuses.find(Target.JobId);
    if (!Status && !Refreshed) {
      logCall("state_refused", Target.JobId, 503, "journal_stale", {});
      co_return refusal(503, StoreRetryAfterS);
    }
  }
  if (!Status) {
    entryMetrics().StatesUnknown.add();
    logCall("state_unknown", Target.JobId, 410, "no_such_job", {});
    co_return emptyResponse(410);
  }
  if (!this->mayAccess(Target, *Status))
    co_return accessDenied("state", Target);
  entryMetrics().StatesAnswered.add();
  co_return jsonResponse(encodeJobState(reportedPhase(*Status)));
}

asio::awaitable<HttpResponse> CallerApi::cancel(CallTarget Target) {
  const Instant StartedAt = this->Time.monotonic();
  const auto Elapsed = [&] { return this->Time.monotonic() - StartedAt; };
  const EarlyCancellationRecord Early{this->Time.wall().Ms, Target.Queue->Name,
                                      Target.Workspace, Target.Queue->Public};
  const JobStatusTable::Entry *Status = this->JobStatuses.find(Target.JobId);
  if (!Status) {
    const bool Refreshed = co_await this->Journal.refresh(RefreshTimeout);
    Status = this->JobStatuses.find(Target.JobId);
    if (!Status && !Refreshed) {
      logCall("cancel_refused", Target.JobId, 503, "journal_stale", Elapsed());
      co_return refusal(503, StoreRetryAfterS);
    }
  }
  if (!Status)
    co_return co_await this->cancelUnknown(std::move(Target.JobId), Early);
  if (!this->mayAccess(Target, *Status))
    co_return accessDenied("cancel", Target);
  if (hasEnded(reportedPhase(*Status))) {
    logCall("cancel_repeated", Target.JobId, 200,
            toString(reportedPhase(*Status)), Elapsed());
    co_return emptyResponse(200);
  }
  std::vector<JournalRecord> Records;
  Records.push_back({cancellationKey(Target.JobId),
                     encodeRecord(CancellationRecord{this->Time.wall().Ms})});
  const JournalRecord Stored = Records.front();
  const WriteOutcome Outcome =
      co_await this->Writer.write(std::move(Records), CallerWriteTimeouts);
  if (Outcome == WriteOutcome::Stored) {
    this->JobStatuses.apply(Stored);
    entryMetrics().CancelsAccepted.add();
    logCall("cancel_accepted", Target.JobId, 200, "stored", Elapsed());
    co_return emptyResponse(200);
  }
  logCall("cancel_refused", Target.JobId, 503, "not_stored", Elapsed());
  co_return Outcome == WriteOutcome::NotStored ? refusal(503, StoreRetryAfterS)
                                               : emptyResponse(504);
}

/// Stores the cancellation of a job that is not in the journal: a submission
/// that another instance could not store yet may still be on its way.
asio::awaitable<HttpResponse>
CallerApi::cancelUnknown(std::string JobId,
                         EarlyCancellationRecord Cancellation) {
  const Instant StartedAt = this->Time.monotonic();
  const auto Elapsed = [&] { return this->Time.monotonic() - StartedAt; };
  if (countOf(this->JobStatuses.earlyCancellations(), Cancellation.Workspace) >=
      MaxEarlyCancellations) {
    logCall("cancel_refused", JobId, 503, "too_many_unknown", Elapsed());
    co_return refusal(503, EarlyCancellationRetryAfterS);
  }
  std::vector<JournalRecord> Records;
  Records.push_back({earlyCancellationKey(JobId, Cancellation.Workspace),
                     encodeRecord(Cancellation)});
  const JournalRecord Stored = Records.front();
  const WriteOutcome Outcome =
      co_await this->Writer.write(std::move(Records), CallerWriteTimeouts);
  if (Outcome != WriteOutcome::Stored) {
    logCall("cancel_refused", JobId, 503, "not_stored", Elapsed());
    co_return Outcome == WriteOutcome::NotStored
        ? refusal(503, StoreRetryAfterS)
        : emptyResponse(504);
  }
  this->JobStatuses.apply(Stored);
  // The submission may have been stored meanwhile.
  const JobStatusTable::Entry *Status = this->JobStatuses.find(JobId);
  const int Code = Status && Status->CancelRequested ? 200 : 410;
  entryMetrics().CancelsEarly.add();
  logCall("cancel_unknown", JobId, Code, "no_such_job", Elapsed());
  co_return emptyResponse(Code);
}

HttpResponse CallerApi::queueLength(const CallTarget &Target) const {
  if (!this->Journal.caughtUp())
    return refusal(503, StoreRetryAfterS);
  return jsonResponse(
      encodeWaitingJobs(this->JobStatuses.countQueued(Target.Queue->Name)));
}

} // namespace pistachioflow
