#include "pistachioflow/policy/queue_cursor.hpp"

namespace pistachioflow::policy {

QueueCursor::QueueCursor(const Plan &Draft,
                         const std::map<ShapeKey, JobQueue> &Queues)
    : Draft(&Draft) {
  this->Lanes.reserve(Queues.size());
  for (const auto &[Shape, Queue] : Queues)
    this->Lanes.push_back({Queue.begin(), Queue.end()});
}

const JobState *QueueCursor::next() {
  std::optional<std::size_t> Chosen;
  for (std::size_t Lane = 0; Lane < this->Lanes.size(); ++Lane) {
    auto &[At, End] = this->Lanes[Lane];
    while (At != End && this->Draft->Touched.contains(At->Job))
      ++At;
    if (At != End && (!Chosen || *At < *this->Lanes[*Chosen].At))
      Chosen = Lane;
  }
  if (!Chosen)
    return nullptr;
  this->Last = *Chosen;
  const JobState *Job = this->Lanes[*Chosen].At->State;
  ++this->Lanes[*Chosen].At;
  return Job;
}

void QueueCursor::skipShape() {
  this->Lanes[this->Last].At = this->Lanes[this->Last].End;
}

} // namespace pistachioflow::policy
