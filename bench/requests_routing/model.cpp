#include "model.hpp"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace pistachioflow::bench {

namespace {

constexpr std::size_t Runners = 50;
constexpr std::uint32_t Slots = 8;
constexpr std::size_t Connections = 60;
constexpr std::size_t InstanceCount = 9;
constexpr std::size_t Domains = 4;
constexpr double NearMs = 0.5;   ///< One way, within a failure domain.
constexpr double FarMs = 1.0;    ///< One way, between failure domains.
constexpr double SlowTimes = 10; ///< Of one runner with Fault::SlowRunner.
constexpr std::uint32_t BaselineSends = 3;
constexpr double PollMs = 50;

struct ClassModel {
  double Part;
  double MeanMs;
  double DeadlineMs;
  bool NonIdempotent;
};
constexpr std::array<ClassModel, RequestClasses> Classes{{
    {0.5, 60, 3'000, true},
    {0.3, 120, 10'000, false},
    {0.2, 240, 30'000, false},
}};

double meanServiceMs() {
  double Sum = 0;
  for (const ClassModel &Each : Classes)
    Sum += Each.Part * Each.MeanMs;
  return Sum;
}

Instant at(double Ms) { return {static_cast<std::int64_t>(Ms)}; }

struct Request {
  std::uint64_t Ticket = 0;
  RequestClass Class = RequestClass::RoundPairing;
  double ArrivedMs = 0;
  double WorkMs = 0;
  std::size_t Instance = 0;
  std::uint32_t Sends = 0;
  bool MayHaveRun = false;
  std::size_t LastRunner = Runners;

  const ClassModel &model() const { return Classes[indexOf(this->Class)]; }
  double deadlineMs() const { return this->ArrivedMs + model().DeadlineMs; }
};
using RequestPtr = std::shared_ptr<Request>;

struct Runner {
  RunnerInfo Info;
  bool Dead = false;
  double Times = 1;
  std::uint32_t Busy = 0;
  std::deque<std::function<void()>> Waiting;
};

struct Instance {
  std::unique_ptr<Dispatch> Core;
  std::unordered_map<std::uint64_t, RequestPtr> Waiting;
  std::array<std::uint32_t, Runners> Own{};
  std::vector<RunnerInFlight> Gossiped;
  RetryBudget Budget;
  std::size_t Next = 0;
};

class Model {
public:
  explicit Model(const ModelSettings &Settings)
      : Settings(Settings), Random(Settings.Seed) {
    this->build();
  }

  ModelResult run() {
    this->after(0, [this] { this->arrive(); });
    this->after(this->Settings.FaultAtMs, [this] { this->fail(); });
    if (this->Settings.Route == Algorithm::Dispatch) {
      this->after(this->Settings.GossipMs, [this] { this->gossip(); });
      this->after(PollMs, [this] { this->poll(); });
    }
    while (!this->Events.empty()) {
      const Event Next = this->Events.top();
      this->Events.pop();
      this->NowMs = Next.AtMs;
      Next.Act();
    }
    this->Result.MeasuredMs = this->Settings.RunMs - this->Settings.FaultAtMs;
    return std::move(this->Result);
  }

private:
  struct Event {
    double AtMs;
    std::uint64_t Order;
    std::function<void()> Act;
    bool operator<(const Event &Other) const {
      return AtMs != Other.AtMs ? AtMs > Other.AtMs : Order > Other.Order;
    }
  };

  void after(double Ms, std::function<void()> Act) {
    this->Events.push({this->NowMs + Ms, ++this->LastOrder, std::move(Act)});
  }

  bool ended() const { return this->NowMs >= this->Settings.RunMs; }
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->Random);
  }
  std::size_t any(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      Count - 1)(this->Random);
  }

  void build() {
    std::vector<RunnerInfo> Listed;
    for (std::size_t Index = 0; Index < Runners; ++Index) {
      Runner &Each = this->AllRunners[Index];
      Each.Info = {{std::to_string(Index)},
                   {std::to_string(Index % Domains)},
                   Slots,
                   false};
      Listed.push_back(Each.Info);
    }
    for (std::size_t Index = 0; Index < InstanceCount; ++Index) {
      DispatchSettings Each;
      Each.Domain = {std::to_string(Index % Domains)};
      Each.Queue.Capacity = 512;
      auto Core = std::make_unique<Dispatch>(Each, this->Settings.Seed + Index);
      Core->setRunners(Listed);
      Core->setInstances(InstanceCount);
      this->Instances[Index].Core = std::move(Core);
    }
  }

  void fail() {
    for (std::size_t Index = 0; Index < Runners; ++Index) {
      Runner &Each = this->AllRunners[Index];
      switch (this->Settings.Happens) {
      case Fault::None:
        break;
      case Fault::SlowRunner:
        Each.Times = Index == 0 ? SlowTimes : 1;
        break;
      case Fault::DomainLost:
        Each.Dead = Index % Domains == 0;
        break;
      case Fault::HalfDead:
        Each.Dead = Index % 2 == 0;
        break;
      }
      if (Each.Dead)
        Each.Waiting.clear();
    }
  }

  void arrive() {
    if (this->ended())
      return;
    const double Rate = this->Settings.Load * Runners * Slots / meanServiceMs();
    this->after(std::exponential_distribution<double>(Rate)(this->Random),
                [this] { this->arrive(); });
    auto New = std::make_shared<Request>();
    New->Ticket = ++this->LastTicket;
    const double Draw = this->uniform();
    New->Class = Draw < Classes[0].Part ? RequestClass::RoundPairing
                 : Draw < Classes[0].Part + Classes[1].Part
                     ? RequestClass::TiebreakReport
                     : RequestClass::RatingRecalculation;
    New->ArrivedMs = this->NowMs;
    constexpr double FixedPart = 0.3;
    const double Mean = New->model().MeanMs;
    New->WorkMs =
        FixedPart * Mean + std::exponential_distribution<double>(
                               1 / ((1 - FixedPart) * Mean))(this->Random);
    New->Instance = this->any(InstanceCount);
    if (this->counts(*New))
      ++this->Result.ByClass[indexOf(New->Class)].Offered;
    this->admit(New);
  }

  bool counts(const Request &Each) const {
    return Each.ArrivedMs >= this->Settings.FaultAtMs;
  }

  void admit(const RequestPtr &New) {
    Instance &Via = this->Instances[New->Instance];
    if (this->Settings.Route != Algorithm::Dispatch) {
      this->Result.Admitted += this->counts(*New) ? 1 : 0;
      this->send(New, this->baselinePick(Via, *New));
      return;
    }
    const Instant Now = at(this->NowMs);
    if (Via.Core->refuseEarly(New->Class, at(New->deadlineMs()), Now)) {
      this->finish(*New, RequestState::NotRun);
      return;
    }
    this->Result.Admitted += this->counts(*New) ? 1 : 0;
    const RetrySettings Retry;
    earnRetries(Via.Budget, Retry.PerAdmitted, Retry.MostSaved);
    this->enqueue(New, false);
  }

  void enqueue(const RequestPtr &Each, bool Again) {
    Instance &Via = this->Instances[Each->Instance];
    Via.Waiting[Each->Ticket] = Each;
    WaitingRequest Waiting{Each->Ticket,
                           Each->Class,
                           Each->model().NonIdempotent,
                           at(Each->deadlineMs()),
                           {}};
    if (Each->LastRunner < Runners)
      Waiting.Avoid = this->AllRunners[Each->LastRunner].Info.Runner;
    const Instant Now = at(this->NowMs);
    this->apply(Via, Again ? Via.Core->requeue(Waiting, Now)
                           : Via.Core->enqueue(Waiting, Now));
  }

  void apply(Instance &Via, const DispatchResult &Outcome) {
    for (const DispatchRefusal &Refusal : Outcome.Refusals) {
      const RequestPtr Each = take(Via, Refusal.Ticket);
      this->finish(*Each, Each->MayHaveRun ? RequestState::Unknown
                                           : RequestState::NotRun);
    }
    for (const DispatchGrant &Grant : Outcome.Grants)
      this->send(take(Via, Grant.Ticket), std::stoul(Grant.Runner.Value));
  }

  static RequestPtr take(Instance &Via, std::uint64_t Ticket) {
    const auto Found = Via.Waiting.find(Ticket);
    RequestPtr Each = Found->second;
    Via.Waiting.erase(Found);
    return Each;
  }

  std::size_t baselinePick(Instance &Via, const Request &Each) {
    std::size_t Picked = 0;
    do {
      if (this->Settings.Route == Algorithm::Random) {
        Picked = this->any(Runners);
      } else if (this->Settings.Route == Algorithm::RoundRobin) {
        Picked = Via.Next++ % Runners;
      } else {
        const std::size_t Start = this->any(Runners);
        Picked = Start;
        for (std::size_t Step = 1; Step < Runners; ++Step) {
          const std::size_t Other = (Start + Step) % Runners;
          if (Other != Each.LastRunner && Via.Own[Other] < Via.Own[Picked])
            Picked = Other;
        }
      }
    } while (Picked == Each.LastRunner &&
             this->Settings.Route != Algorithm::LeastOwnInFlight);
    return Picked;
  }

  void send(const RequestPtr &Each, std::size_t To) {
    ++Each->Sends;
    Each->LastRunner = To;
    this->Result.Sends += this->counts(*Each) ? 1 : 0;
    ++this->Instances[Each->Instance].Own[To];
    const double Way =
        To % Domains == Each->Instance % Domains ? NearMs : FarMs;
    const double SentMs = this->NowMs;
    this->after(Way, [=, this] { this->reach(Each, To, Way, SentMs); });
  }

  void reach(const RequestPtr &Each, std::size_t To, double Way,
             double SentMs) {
    Runner &Target = this->AllRunners[To];
    if (Target.Dead) {
      this->after(Way, [=, this] {
        this->answered(Each, To, SendState::NotSent, SentMs);
      });
      return;
    }
    const std::size_t Most = this->Settings.RunnersQueue ? Connections : Slots;
    if (Target.Busy + Target.Waiting.size() >= Most) {
      this->after(Way, [=, this] {
        this->answered(Each, To, SendState::RefusedBusy, SentMs);
      });
      return;
    }
    if (Target.Busy < Slots)
      this->serve(Each, To, Way, SentMs);
    else
      Target.Waiting.push_back(
          [=, this] { this->serve(Each, To, Way, SentMs); });
  }

  void serve(const RequestPtr &Each, std::size_t On, double Way,
             double SentMs) {
    Runner &Target = this->AllRunners[On];
    ++Target.Busy;
    this->after(Each->WorkMs * Target.Times, [=, this] {
      Runner &Done = this->AllRunners[On];
      --Done.Busy;
      const SendState State = Done.Dead ? SendState::Lost : SendState::Answered;
      if (!Done.Dead && !Done.Waiting.empty()) {
        const auto Next = std::move(Done.Waiting.front());
        Done.Waiting.pop_front();
        Next();
      }
      this->after(Way, [=, this] { this->answered(Each, On, State, SentMs); });
    });
  }

  void answered(const RequestPtr &Each, std::size_t From, SendState State,
                double SentMs) {
    Instance &Via = this->Instances[Each->Instance];
    --Via.Own[From];
    const bool Late = this->NowMs > Each->deadlineMs();
    if (this->Settings.Route == Algorithm::Dispatch)
      this->apply(Via,
                  Via.Core->finished({this->AllRunners[From].Info.Runner,
                                      Each->Class, State, this->NowMs - SentMs},
                                     at(this->NowMs)));
    const SendFacts Facts{
        State, true, Each->model().NonIdempotent, Each->MayHaveRun,
        false, !Late};
    Each->MayHaveRun = mayHaveRun(Facts);
    SendVerdict Verdict = judgeSend(Facts);
    if (Verdict == SendVerdict::Done && Late)
      Verdict = SendVerdict::Unknown;
    if (Verdict == SendVerdict::Retry && !this->mayRetry(Via, *Each))
      Verdict = Each->MayHaveRun ? SendVerdict::Unknown : SendVerdict::NotRun;
    if (Verdict == SendVerdict::Retry)
      this->retry(Each);
    else
      this->finish(*Each, Verdict == SendVerdict::Done ? RequestState::Done
                          : Verdict == SendVerdict::Unknown
                              ? RequestState::Unknown
                              : RequestState::NotRun);
  }

  bool mayRetry(Instance &Via, const Request &Each) {
    if (this->Settings.Route == Algorithm::Dispatch)
      return takeRetry(Via.Budget);
    return Each.Sends < BaselineSends;
  }

  void retry(const RequestPtr &Each) {
    const Duration Backoff = backoffAfter(Each->Sends, {}, this->Random);
    this->after(static_cast<double>(Backoff.Ms), [=, this] {
      Instance &Via = this->Instances[Each->Instance];
      if (this->Settings.Route == Algorithm::Dispatch)
        this->enqueue(Each, true);
      else
        this->send(Each, this->baselinePick(Via, *Each));
    });
  }

  void finish(const Request &Each, RequestState State) {
    if (!this->counts(Each))
      return;
    ClassResult &Class = this->Result.ByClass[indexOf(Each.Class)];
    Class.NotRun += State == RequestState::NotRun ? 1 : 0;
    Class.Unknown += State == RequestState::Unknown ? 1 : 0;
    if (State == RequestState::Done)
      Class.LatencyMs.push_back(this->NowMs - Each.ArrivedMs);
  }

  void gossip() {
    for (Instance &Each : this->Instances)
      Each.Gossiped = Each.Core->ownLoads();
    for (std::size_t Self = 0; Self < InstanceCount; ++Self) {
      std::vector<RunnerInFlight> Others;
      for (std::size_t Other = 0; Other < InstanceCount; ++Other)
        if (Other != Self)
          Others.insert(Others.end(), this->Instances[Other].Gossiped.begin(),
                        this->Instances[Other].Gossiped.end());
      this->Instances[Self].Core->setPeerLoads(std::move(Others),
                                               at(this->NowMs));
    }
    if (!this->ended())
      this->after(this->Settings.GossipMs, [this] { this->gossip(); });
  }

  void poll() {
    bool Waits = false;
    for (Instance &Each : this->Instances) {
      this->apply(Each, Each.Core->pump(at(this->NowMs)));
      Waits = Waits || !Each.Waiting.empty();
    }
    if (!this->ended() || Waits)
      this->after(PollMs, [this] { this->poll(); });
  }

  const ModelSettings Settings;
  std::mt19937_64 Random;
  std::priority_queue<Event> Events;
  double NowMs = 0;
  std::uint64_t LastOrder = 0;
  std::uint64_t LastTicket = 0;
  std::array<Runner, Runners> AllRunners;
  std::array<Instance, InstanceCount> Instances;
  ModelResult Result;
};

} // namespace

std::string_view toString(Algorithm Value) {
  switch (Value) {
  case Algorithm::RoundRobin:
    return "round robin";
  case Algorithm::Random:
    return "random";
  case Algorithm::LeastOwnInFlight:
    return "least own in-flight";
  case Algorithm::Dispatch:
    return "pistachioflow";
  }
  return "invalid";
}

std::string_view toString(Fault Value) {
  switch (Value) {
  case Fault::None:
    return "all well";
  case Fault::SlowRunner:
    return "one runner 10x slower";
  case Fault::DomainLost:
    return "a failure domain lost";
  case Fault::HalfDead:
    return "half of the runners dead";
  }
  return "invalid";
}

double ModelResult::percentile(RequestClass Class, double Part) const {
  std::vector<double> Sorted = this->ByClass[indexOf(Class)].LatencyMs;
  if (Sorted.empty())
    return 0;
  const auto Place =
      static_cast<std::size_t>(Part * static_cast<double>(Sorted.size() - 1));
  std::nth_element(Sorted.begin(),
                   Sorted.begin() + static_cast<std::ptrdiff_t>(Place),
                   Sorted.end());
  return Sorted[Place];
}

std::uint64_t ModelResult::done() const {
  std::uint64_t Sum = 0;
  for (const ClassResult &Each : this->ByClass)
    Sum += Each.LatencyMs.size();
  return Sum;
}

ModelResult runModel(const ModelSettings &Settings) {
  return Model(Settings).run();
}

} // namespace pistachioflow::bench
