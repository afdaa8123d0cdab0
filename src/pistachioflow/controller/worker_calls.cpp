#include "pistachioflow/controller/worker_calls.hpp"

#include <utility>

namespace pistachioflow {

WorkerCalls::WorkerCalls(WorkerGateway &Workers, const Clock &Time,
                         Executor Run,
                         std::function<bool(const WorkerOrder &)> MaySend)
    : Workers(Workers), Time(Time), Run(std::move(Run)),
      MaySend(std::move(MaySend)) {}

void WorkerCalls::order(const WorkerId &Worker, WorkerOrder Order) {
  this->enqueue(Worker, std::move(Order));
}

void WorkerCalls::ask(const WorkerId &Worker) {
  this->enqueue(Worker, std::nullopt);
}

void WorkerCalls::list() {
  {
    const std::lock_guard Guard(this->Lock);
    ++this->PendingCalls;
  }
  this->Run([this] { this->runList(); });
}

std::vector<WorkerAnswer> WorkerCalls::collect() {
  const std::lock_guard Guard(this->Lock);
  return std::exchange(this->Answers, {});
}

std::size_t WorkerCalls::pending() const {
  const std::lock_guard Guard(this->Lock);
  return this->PendingCalls;
}

void WorkerCalls::enqueue(const WorkerId &Worker, Call Next) {
  bool First = false;
  {
    const std::lock_guard Guard(this->Lock);
    std::deque<Call> &Queue = this->Queues[Worker];
    First = Queue.empty();
    Queue.push_back(std::move(Next));
    ++this->PendingCalls;
  }
  if (First)
    this->Run([this, Worker] { this->runNext(Worker); });
}

void WorkerCalls::runNext(const WorkerId &Worker) {
  Call Next;
  {
    const std::lock_guard Guard(this->Lock);
    Next = this->Queues[Worker].front();
  }
  WorkerAnswer Answer = this->perform(Worker, Next);
  bool More = false;
  {
    const std::lock_guard Guard(this->Lock);
    this->Answers.push_back(std::move(Answer));
    --this->PendingCalls;
    std::deque<Call> &Queue = this->Queues[Worker];
    Queue.pop_front();
    More = !Queue.empty();
    if (!More)
      this->Queues.erase(Worker);
  }
  if (More)
    this->Run([this, Worker] { this->runNext(Worker); });
}

WorkerAnswer WorkerCalls::perform(const WorkerId &Worker, const Call &Next) {
  if (Next)
    return this->performOrder(Worker, *Next);
  Result<WorkerReport> Report = this->Workers.report(Worker);
  if (Report.has_error())
    return ReportAnswer{Worker, std::nullopt};
  return ReportAnswer{Worker, std::move(Report.value())};
}

OrderAnswer WorkerCalls::performOrder(const WorkerId &Worker,
                                      const WorkerOrder &Order) {
  OrderAnswer Answer{Worker, Order, CallOutcome::NotReceived,
                     this->Time.monotonic()};
  if (this->MaySend(Order))
    Answer.Outcome = toOutcome(this->Workers.send(Worker, Order));
  return Answer;
}

void WorkerCalls::runList() {
  Result<std::vector<WorkerInfo>> Listed = this->Workers.workers();
  ListAnswer Answer;
  if (Listed.has_value())
    Answer.Listed = std::move(Listed.value());
  const std::lock_guard Guard(this->Lock);
  this->Answers.emplace_back(std::move(Answer));
  --this->PendingCalls;
}

} // namespace pistachioflow
