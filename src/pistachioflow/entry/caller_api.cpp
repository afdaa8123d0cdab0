#include "pistachioflow/entry/caller_api.hpp"

#include <utility>
#include <vector>

#include "pistachioflow/base/log.hpp"
#include "pistachioflow/entry/metrics.hpp"
#include "pistachioflow/platform/job_codec.hpp"

namespace pistachioflow {

namespace {

/// An answer about an unknown job waits this long for news of the journal.
constexpr Duration NewsWait{400};
/// An answer about a job that goes on waits this long for the newest records.
constexpr Duration FreshnessWait{150};
/// Reads or writes of the journal fail for this long before new work is turned
/// away at once.
constexpr Duration FailingLimit{300};
/// Callers wait about 3 s in all. An early answer leaves them time to come back
/// to an instance that reaches the store.
constexpr WritePatience CallerPatience{{300}, {900}};
/// Retry-After while the store is away, in seconds: other instances may reach
/// it, so callers need not wait long.
constexpr std::int64_t RetryAfterStore = 1;
constexpr std::int64_t RetryAfterStart = 1;

HttpResponse plain(int Status) { return {Status, {}, {}}; }

HttpResponse json(std::string Body) {
  return {200, {{"Content-Type", "application/json"}}, std::move(Body)};
}

void logCall(std::string_view Event, std::string_view JobId, int Status,
             std::string_view Reason, Duration Took) {
  logEvent(
      LogLevel::Info, Event,
      {{"id", JobId}, {"status", Status}, {"reason", Reason}, {"ms", Took.Ms}});
}

} // namespace

HttpResponse refusal(int Status, std::int64_t RetryAfterS) {
  return {Status, {{"Retry-After", std::to_string(RetryAfterS)}}, {}};
}

CallerApi::CallerApi(const Clock &Time, const DesiredState &Desired,
                     JobBoard &Board, TopicFollower &Journal,
                     JournalWriter &Writer)
    : Time(Time), Desired(Desired), Board(Board), Journal(Journal),
      Writer(Writer) {}

HttpResponse CallerApi::filter(const HttpRequest &Request, Call &Passed) const {
  if (this->Desired.Version == 0)
    return refusal(503, RetryAfterStart);
  const std::string_view Path =
      std::string_view(Request.Target).substr(0, Request.Target.find('?'));
  Passed.Queue =
      findQueue(this->Desired, findHeader(Request.Headers, "Host"), Path);
  if (!Passed.Queue)
    return plain(404);
  const std::string_view Key =
      callerKey(findHeader(Request.Headers, "Authorization"));
  const auto Owner = this->Desired.WorkspaceByKey.find(Key);
  const bool KnownKey = Owner != this->Desired.WorkspaceByKey.end();
  if (!KnownKey && !Passed.Queue->Public)
    return plain(401);
  if (KnownKey)
    Passed.Workspace = Owner->second;
  Passed.JobId = Path.substr(Passed.Queue->PathPrefix.size());
  if (!Passed.JobId.empty() && !isJobId(Passed.JobId))
    return plain(404);
  return {};
}

asio::awaitable<HttpResponse> CallerApi::handle(HttpRequest Request) {
  Call Of;
  HttpResponse Refused = this->filter(Request, Of);
  if (Refused.Status != 0) {
    entryMetrics().CallsFiltered.add();
    logCall("call_refused", Request.Target, Refused.Status, "filter", {});
    co_return Refused;
  }
  if (Of.JobId.empty())
    co_return Request.Method == "GET" ? this->waiting(Of) : plain(405);
  if (Request.Method == "POST")
    co_return co_await this->submit(std::move(Of), std::move(Request.Body));
  if (Request.Method == "GET")
    co_return co_await this->state(std::move(Of));
  if (Request.Method == "DELETE")
    co_return co_await this->cancel(std::move(Of));
  co_return plain(405);
}

bool CallerApi::storeFailing() const {
  const Instant Now = this->Time.monotonic();
  const auto TooLong = [Now](Instant Since) {
    return Since.Ms != 0 && Now - Since > FailingLimit;
  };
  return TooLong(this->Writer.failingSince()) ||
         TooLong(this->Journal.lostSince());
}

asio::awaitable<HttpResponse> CallerApi::submit(Call Of, std::string Body) {
  const Instant Begun = this->Time.monotonic();
  const auto Took = [&] { return this->Time.monotonic() - Begun; };
  if (this->Board.find(Of.JobId)) {
    logCall("submit_repeated", Of.JobId, 200, "known", Took());
    co_return plain(200);
  }
  Result<JobSpec> Spec = decodeJobSpec(Body);
  if (!Spec) {
    const std::string Reason = formatFindings(Spec.error().Details);
    logCall("submit_refused", Of.JobId, 400, Reason, Took());
    co_return HttpResponse{400, {}, Reason};
  }
  if (this->storeFailing()) {
    entryMetrics().SubmitsRefused.add();
    logCall("submit_refused", Of.JobId, 503, "store_failing", Took());
    co_return refusal(503, RetryAfterStore);
  }
  SubmissionRecord Record{Of.Queue->Name, Of.Workspace, this->Time.wall().Ms,
                          Of.Queue->Terms, std::move(Spec.value())};
  std::vector<JournalRecord> Records;
  Records.push_back({submissionKey(Of.JobId), encodeRecord(Record)});
  const JournalRecord Own = Records.front();
  const WriteOutcome Outcome =
      co_await this->Writer.write(std::move(Records), CallerPatience);
  if (Outcome == WriteOutcome::Stored) {
    this->Board.apply(Own);
    entryMetrics().SubmitsAccepted.add();
    entryMetrics().SubmitMs.record(static_cast<double>(Took().Ms));
    logEvent(LogLevel::Info, "submit_accepted",
             {{"id", Of.JobId},
              {"queue", Record.Queue},
              {"workspace", Record.Workspace},
              {"priority", Record.Terms.Priority},
              {"version", this->Desired.Version},
              {"ms", Took().Ms}});
    co_return plain(200);
  }
  if (Outcome == WriteOutcome::NotStored) {
    entryMetrics().SubmitsRefused.add();
    logCall("submit_refused", Of.JobId, 503, "not_stored", Took());
    co_return refusal(503, RetryAfterStore);
  }
  entryMetrics().SubmitsUnknown.add();
  logCall("submit_unknown", Of.JobId, 504, "no_answer", Took());
  co_return plain(504);
}

asio::awaitable<HttpResponse> CallerApi::state(Call Of) {
  const JobBoard::Entry *Known = this->Board.find(Of.JobId);
  if (Known && !hasEnded(shownPhase(*Known))) {
    co_await this->Journal.catchUp(FreshnessWait);
    Known = this->Board.find(Of.JobId);
  }
  if (!Known) {
    const bool Fresh = co_await this->Journal.refresh(NewsWait);
    Known = this->Board.find(Of.JobId);
    if (!Known && !Fresh) {
      logCall("state_refused", Of.JobId, 503, "journal_stale", {});
      co_return refusal(503, RetryAfterStore);
    }
  }
  if (!Known) {
    entryMetrics().StatesUnknown.add();
    logCall("state_unknown", Of.JobId, 410, "no_such_job", {});
    co_return plain(410);
  }
  entryMetrics().StatesAnswered.add();
  co_return json(encodeJobState(shownPhase(*Known)));
}

asio::awaitable<HttpResponse> CallerApi::cancel(Call Of) {
  const Instant Begun = this->Time.monotonic();
  const auto Took = [&] { return this->Time.monotonic() - Begun; };
  const JobBoard::Entry *Known = this->Board.find(Of.JobId);
  if (!Known) {
    const bool Fresh = co_await this->Journal.refresh(NewsWait);
    Known = this->Board.find(Of.JobId);
    if (!Known) {
      logCall("cancel_unknown", Of.JobId, Fresh ? 410 : 503, "no_such_job",
              Took());
      co_return Fresh ? plain(410) : refusal(503, RetryAfterStore);
    }
  }
  if (hasEnded(shownPhase(*Known))) {
    logCall("cancel_repeated", Of.JobId, 200, toString(shownPhase(*Known)),
            Took());
    co_return plain(200);
  }
  std::vector<JournalRecord> Records;
  Records.push_back({cancellationKey(Of.JobId),
                     encodeRecord(CancellationRecord{this->Time.wall().Ms})});
  const JournalRecord Own = Records.front();
  const WriteOutcome Outcome =
      co_await this->Writer.write(std::move(Records), CallerPatience);
  if (Outcome == WriteOutcome::Stored) {
    this->Board.apply(Own);
    entryMetrics().CancelsAccepted.add();
    logCall("cancel_accepted", Of.JobId, 200, "stored", Took());
    co_return plain(200);
  }
  logCall("cancel_refused", Of.JobId, 503, "not_stored", Took());
  co_return Outcome == WriteOutcome::NotStored ? refusal(503, RetryAfterStore)
                                               : plain(504);
}

HttpResponse CallerApi::waiting(const Call &Of) const {
  if (!this->Journal.caughtUp())
    return refusal(503, RetryAfterStore);
  return json(encodeWaiting(this->Board.waiting(Of.Queue->Name)));
}

} // namespace pistachioflow
