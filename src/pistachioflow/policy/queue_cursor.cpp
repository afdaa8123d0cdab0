#include "pistachioflow/policy/queue_cursor.hpp"

namespace pistachioflow::policy {

QueueCursor::QueueCursor(const DecisionDraft &Draft,
                         const std::map<ShapeKey, JobQueue> &Queues)
    : Draft(&Draft) {
  this->ShapeQueues.reserve(Queues.size());
  for (const auto &[Shape, Queue] : Queues)
    this->ShapeQueues.push_back({Queue.begin(), Queue.end()});
}

const JobState *QueueCursor::next() {
  std::optional<std::size_t> Chosen;
  for (std::size_t At = 0; At < this->ShapeQueues.size(); ++At) {
    auto &[Next, End] = this->ShapeQueues[At];
    while (Next != End && this->Draft->DecidedJobs.contains(Next->Job))
      ++Next;
    if (Next != End && (!Chosen || *Next < *this->ShapeQueues[*Chosen].Next))
      Chosen = At;
  }
  if (!Chosen)
    return nullptr;
  this->LastQueue = *Chosen;
  const JobState *Job = this->ShapeQueues[*Chosen].Next->State;
  ++this->ShapeQueues[*Chosen].Next;
  return Job;
}

void QueueCursor::skipShape() {
  this->ShapeQueues[this->LastQueue].Next =
      this->ShapeQueues[this->LastQueue].End;
}

} // namespace pistachioflow::policy
