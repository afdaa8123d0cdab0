#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "pistachioflow/filter/chain.hpp"

namespace pistachioflow {

namespace {

/// What is known of the request if nothing more is sent for it.
FilterStep giveUp(RequestContext &Context, ReasonCode Why) {
  const RequestState State =
      Context.MayHaveRun ? RequestState::Unknown : RequestState::NotRun;
  Context.Outcome.Why.Numbers = {{Measure::Attempts, Context.Sends}};
  return answer(Context, State, Why);
}

void sleepFor(FilterParts &Parts, Duration Span) {
  if (Parts.Sleep)
    Parts.Sleep(Span);
  else
    std::this_thread::sleep_for(std::chrono::milliseconds(Span.Ms));
}

void setSentTo(ActiveRequest &Active, const RunnerId &Runner) {
  const std::lock_guard Guard(Active.Lock);
  Active.SentTo = Runner;
}

ReasonCode failureReason(const RequestContext &Context, bool TimeLeft) {
  if (Context.Active->Cancelled)
    return ReasonCode::RequestCancelled;
  if (!TimeLeft)
    return ReasonCode::RequestRefusedDeadline;
  return Context.MayHaveRun ? ReasonCode::RequestAnswerLost
                            : ReasonCode::RequestNoRunner;
}

} // namespace

FilterStep waitForRunner(RequestContext &Context, FilterParts &Parts) {
  const CallerRequest &Request = *Context.Request;
  const bool Again = Context.Sends > 0;
  WaitingRequest Waiting{0, Request.Class, Request.NonIdempotent,
                         Request.Deadline, std::exchange(Context.Runner, {})};
  const DispatchTurn Turn =
      Parts.Turns.wait(std::move(Waiting), Again, Context.Active->Cancelled);
  if (Turn.Runner.empty())
    return giveUp(Context, Turn.Why);
  Context.Runner = Turn.Runner;
  return FilterStep::Next;
}

FilterStep sendToRunner(RequestContext &Context, FilterParts &Parts) {
  using Timer = std::chrono::steady_clock;
  const Duration Left = Context.Request->Deadline - Parts.Time.monotonic();
  setSentTo(*Context.Active, Context.Runner);
  Context.Answer = {};
  const auto Began = Timer::now();
  const Instant BeganAt = Parts.Time.monotonic();
  const bool Tried = Left.Ms > 0 && !Context.Active->Cancelled;
  if (Tried) {
    ++Context.Sends;
    Parts.Sends.add();
    Context.Answer = Parts.Runners.send(Context.Runner, Context.Wire, Left);
  }
  setSentTo(*Context.Active, {});
  const std::chrono::duration<double, std::milli> Took = Timer::now() - Began;
  const Duration TookByClock = Parts.Time.monotonic() - BeganAt;
  const bool Foreign = Context.Answer.State == SendState::Answered &&
                       Context.Answer.Request != Context.Wire.Request;
  if (Foreign)
    Parts.ForeignAnswers.add();
  const SendState Known = Foreign ? SendState::Lost : Context.Answer.State;
  Parts.Turns.finished(
      {Context.Runner, Context.Request->Class, Known,
       Parts.Sleep ? static_cast<double>(TookByClock.Ms) : Took.count(),
       Tried});
  return FilterStep::Next;
}

FilterStep judgeAnswer(RequestContext &Context, FilterParts &Parts) {
  const CallerRequest &Request = *Context.Request;
  Duration Backoff;
  {
    const std::lock_guard Guard(Parts.RandomLock);
    Backoff = backoffAfter(Context.Sends, Parts.Retry, Parts.Random);
  }
  const Instant NextStart = Parts.Time.monotonic() + Backoff;
  const Instant NextEnd = NextStart + Parts.Turns.shortest(Request.Class);
  const bool OwnAnswer = Context.Answer.Request == Context.Wire.Request;
  const SendFacts Facts{Context.Answer.State,      OwnAnswer,
                        Request.NonIdempotent,     Context.MayHaveRun,
                        Context.Active->Cancelled, NextEnd < Request.Deadline};
  const SendVerdict Verdict = judgeSend(Facts);
  Context.MayHaveRun = mayHaveRun(Facts);
  if (Verdict == SendVerdict::Done) {
    Context.Outcome.Runner = Context.Runner;
    Context.Outcome.Body = std::move(Context.Answer.Body);
    return answer(Context, RequestState::Done, ReasonCode::RequestDone);
  }
  if (Verdict != SendVerdict::Retry || !Parts.Budgets.take(Request.Workspace))
    return giveUp(Context, failureReason(Context, Facts.TimeLeft));
  sleepFor(Parts, Backoff);
  return FilterStep::Resend;
}

} // namespace pistachioflow
