#include "pistachioflow/api/elastic_task_queue.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pistachioflow {

namespace {

constexpr std::chrono::seconds IdleThreadLifetime{10};

} // namespace

void ElasticTaskQueue::enqueue(std::function<void()> Task) {
  const std::lock_guard Guard(this->Lock);
  this->joinEnded();
  this->Tasks.push_back(std::move(Task));
  const bool NeedsThread = this->Tasks.size() > this->Idle;
  if (NeedsThread && this->Threads.size() < this->MaxThreads)
    this->startThread();
  this->Changed.notify_one();
}

void ElasticTaskQueue::shutdown() {
  std::list<std::thread> Joining;
  {
    const std::lock_guard Guard(this->Lock);
    this->Stopping = true;
    Joining.swap(this->Threads);
    this->Changed.notify_all();
  }
  for (std::thread &Thread : Joining)
    Thread.join();
}

void ElasticTaskQueue::startThread() {
  this->Threads.emplace_back([this] { this->work(); });
}

void ElasticTaskQueue::joinEnded() {
  for (const std::thread::id Id : this->Ended) {
    const auto Found = std::find_if(
        this->Threads.begin(), this->Threads.end(),
        [Id](const std::thread &Thread) { return Thread.get_id() == Id; });
    if (Found == this->Threads.end())
      continue;
    Found->join();
    this->Threads.erase(Found);
  }
  this->Ended.clear();
}

void ElasticTaskQueue::work() {
  std::unique_lock Guard(this->Lock);
  while (true) {
    ++this->Idle;
    this->Changed.wait_for(Guard, IdleThreadLifetime, [this] {
      return this->Stopping || !this->Tasks.empty();
    });
    --this->Idle;
    if (this->Tasks.empty())
      break;
    const std::function<void()> Task = std::move(this->Tasks.front());
    this->Tasks.pop_front();
    Guard.unlock();
    Task();
    Guard.lock();
  }
  if (!this->Stopping)
    this->Ended.push_back(std::this_thread::get_id());
}

} // namespace pistachioflow
