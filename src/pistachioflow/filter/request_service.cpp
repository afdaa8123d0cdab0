#include "pistachioflow/filter/request_service.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace pistachioflow {

namespace {

constexpr std::int64_t NotDraining = std::numeric_limits<std::int64_t>::max();

/// Counts one request in progress while it lives.
class InProgressGuard {
public:
  explicit InProgressGuard(std::atomic<std::uint32_t> &Count) : Count(Count) {
    ++Count;
  }
  ~InProgressGuard() { --this->Count; }
  InProgressGuard(const InProgressGuard &) = delete;
  InProgressGuard &operator=(const InProgressGuard &) = delete;

private:
  std::atomic<std::uint32_t> &Count;
};

std::string activeName(const WorkspaceId &Workspace, const RequestId &Request) {
  return std::to_string(Workspace.Value.size()) + ":" + Workspace.Value +
         Request.Value;
}

std::string metricName(std::string_view What, RequestClass Class) {
  return "pistachioflow_requests_" + std::string(What) + "_" +
         std::string(toString(Class));
}

std::string hexOf(std::uint64_t Value) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned DigitBits = 4;
  std::string Text;
  for (; Value != 0; Value >>= DigitBits)
    Text += Digits[Value % Digits.size()];
  return Text;
}

} // namespace

RequestService::RequestService(const RequestSettings &Settings,
                               const RequestPorts &Ports)
    : Settings(Settings), Time(Ports.Time), Runners(Ports.Runners),
      Journal(Ports.Journal),
      WirePrefix("#" + Settings.Self.Value + "-" + hexOf(Settings.Seed) + "-"),
      DrainFromMs(NotDraining),
      Parts{Ports.Time,
            Ports.Runners,
            Ports.Keys,
            Ports.CurrentLists,
            Ports.Fleet,
            Ports.Sleep,
            Settings.Retry,
            {},
            RetryBudgets(Settings.Retry),
            Dispatcher(
                Settings.Dispatch, Settings.Seed, Ports.Time, Ports.PeerLoads,
                [this](const RunnerHealthChange &Change) {
                  this->noteHealth(Change);
                },
                Ports.Sleep),
            {},
            std::mt19937_64(Settings.Seed),
            Ports.Metrics.counter("pistachioflow_requests_foreign_answers"),
            Ports.Metrics.counter("pistachioflow_requests_sends"),
            Ports.Metrics.counter("pistachioflow_requests_admitted")} {
  for (std::size_t Index = 0; Index < RequestClasses; ++Index) {
    const auto Class = static_cast<RequestClass>(Index);
    this->ByClass[Index] = {
        &Ports.Metrics.counter(metricName("done", Class)),
        &Ports.Metrics.counter(metricName("not_run", Class)),
        &Ports.Metrics.counter(metricName("unknown", Class)),
        &Ports.Metrics.latency(metricName("ms", Class))};
  }
}

RequestService::~RequestService() = default;

RequestOutcome RequestService::handle(const CallerRequest &Request) {
  const InProgressGuard Counted(this->InProgress);
  CallerRequest Cut = Request;
  RequestContext Context;
  Context.ArrivedAt = this->Time.monotonic();
  Cut.Deadline = std::min(Request.Deadline,
                          Context.ArrivedAt + this->Settings.LongestRequest);
  Context.Request = &Cut;
  if (this->refusesNew()) {
    answer(Context, RequestState::NotRun, ReasonCode::InstanceLeaving);
    this->note(Context);
    return std::move(Context.Outcome);
  }
  Context.Wire = Cut;
  Context.Wire.Request.Value +=
      this->WirePrefix + std::to_string(++this->LastWire);
  Context.Active = std::make_shared<ActiveRequest>();
  Context.Active->Wire = Context.Wire.Request;
  const std::string Name = activeName(Request.Workspace, Request.Request);
  {
    ActiveShard &Place = this->shardOf(Name);
    const std::lock_guard Guard(Place.Lock);
    Place.Requests.emplace(Name, Context.Active);
  }
  runFilters(requestFilters(), Context, this->Parts);
  this->forget(Name, Context.Active);
  this->note(Context);
  return std::move(Context.Outcome);
}

bool RequestService::cancel(const WorkspaceId &Workspace,
                            const RequestId &Request) {
  const std::string Name = activeName(Workspace, Request);
  std::vector<ActivePtr> Found;
  {
    ActiveShard &Place = this->shardOf(Name);
    const std::lock_guard Guard(Place.Lock);
    const auto [First, Last] = Place.Requests.equal_range(Name);
    for (auto Each = First; Each != Last; ++Each)
      Found.push_back(Each->second);
  }
  for (const ActivePtr &Each : Found) {
    RunnerId SentTo;
    {
      const std::lock_guard Guard(Each->Lock);
      Each->Cancelled = true;
      SentTo = Each->SentTo;
    }
    if (!SentTo.empty())
      this->Runners.cancel(SentTo, Each->Wire);
    if (Each->HoldsLimit.exchange(false))
      this->Parts.Limits.release(Workspace);
  }
  this->Parts.Turns.wakeAll();
  return !Found.empty();
}

bool RequestService::refresh() {
  const auto Listed = this->Runners.runners();
  const std::uint32_t Instances = std::max(this->Parts.Fleet().Instances, 1U);
  if (Listed.has_error())
    return false;
  this->Parts.Turns.refresh(Listed.value(), Instances);
  return true;
}

void RequestService::beginDrain() {
  std::int64_t Expected = NotDraining;
  this->DrainFromMs.compare_exchange_strong(Expected,
                                            this->Time.monotonic().Ms);
}

std::vector<RunnerInFlight> RequestService::localLoads() {
  return this->Parts.Turns.ownLoads();
}

bool RequestService::refusesNew() const {
  const std::int64_t From = this->DrainFromMs;
  if (From == NotDraining)
    return false;
  return this->Time.monotonic() >= Instant{From} + this->Settings.DrainGrace;
}

RequestService::ActiveShard &RequestService::shardOf(const std::string &Name) {
  return this->Active[std::hash<std::string>{}(Name) % Shards];
}

void RequestService::forget(const std::string &Name, const ActivePtr &Active) {
  ActiveShard &Place = this->shardOf(Name);
  const std::lock_guard Guard(Place.Lock);
  const auto [First, Last] = Place.Requests.equal_range(Name);
  const auto Found = std::find_if(First, Last, [&Active](const auto &Each) {
    return Each.second == Active;
  });
  if (Found != Last)
    Place.Requests.erase(Found);
}

void RequestService::note(const RequestContext &Context) {
  const ClassMetrics &Metrics = this->ByClass[indexOf(Context.Request->Class)];
  const Duration Took = this->Time.monotonic() - Context.ArrivedAt;
  switch (Context.Outcome.State) {
  case RequestState::Done:
    Metrics.Done->add();
    Metrics.Latency->record(static_cast<double>(Took.Ms));
    break;
  case RequestState::NotRun:
    Metrics.NotRun->add();
    break;
  case RequestState::Unknown:
    Metrics.Unknown->add();
    break;
  }
  if (Context.Outcome.State == RequestState::Done && Context.Sends <= 1)
    return;
  TimelineEvent Event =
      this->newEvent(SubjectKind::Request, Context.Request->Request.Value);
  Event.What = toString(Context.Outcome.State);
  Event.Why = Context.Outcome.Why;
  this->Journal.add(std::move(Event));
}

void RequestService::noteHealth(const RunnerHealthChange &Change) {
  TimelineEvent Event =
      this->newEvent(SubjectKind::Runner, Change.Runner.Value);
  const bool Ejected = Change.What == HealthChange::Ejected;
  Event.What = Ejected ? "eject" : "return";
  Event.Why.Code =
      Ejected ? ReasonCode::RunnerEjected : ReasonCode::RunnerReturned;
  if (Ejected)
    Event.Why.PassedOver =
        Change.Health == RunnerHealth::EjectedSlow ? "slow" : "failing";
  this->Journal.add(std::move(Event));
}

TimelineEvent RequestService::newEvent(SubjectKind Kind,
                                       std::string Subject) const {
  TimelineEvent Event;
  Event.Wall = this->Time.wall();
  Event.Instance = this->Settings.Self;
  Event.Kind = Kind;
  Event.Subject = std::move(Subject);
  return Event;
}

} // namespace pistachioflow
