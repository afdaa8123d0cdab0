#include "pistachioflow/port/memory_log.hpp"

#include <algorithm>
#include <utility>

namespace pistachioflow {

Result<Offset> MemoryLog::append(const StreamName &Name,
                                 std::string_view Bytes) {
  const std::lock_guard Guard(this->Lock);
  const LogFault Fault = this->nextFault();
  if (Fault == LogFault::Down)
    return Error{ErrorCode::Unavailable, "log is down", {}};
  Stream &Target = this->Streams[Name];
  Target.Entries.emplace_back(Bytes);
  const Offset At = Target.First + Target.Entries.size() - 1;
  this->trim(Target);
  if (Fault == LogFault::LostAnswer)
    return Error{ErrorCode::UnknownOutcome, "answer lost", {}};
  return At;
}

Result<LogPage> MemoryLog::read(const StreamName &Name, Offset From,
                                std::size_t Limit) {
  const std::lock_guard Guard(this->Lock);
  if (this->nextFault() == LogFault::Down)
    return Error{ErrorCode::Unavailable, "log is down", {}};
  const Stream &Source = this->Streams[Name];
  if (From < Source.First)
    return Error{ErrorCode::Expired, "records expired", {}, Source.First};
  LogPage Page;
  Page.First = Source.First;
  Page.Next = Source.First + Source.Entries.size();
  const Offset End = std::min(Page.Next, From + Limit);
  for (Offset At = From; At < End; ++At)
    Page.Entries.push_back({At, Source.Entries[At - Source.First]});
  return Page;
}

void MemoryLog::setFaults(std::function<LogFault()> Next) {
  const std::lock_guard Guard(this->Lock);
  this->Faults = std::move(Next);
}

void MemoryLog::expireBelow(const StreamName &Name, Offset First) {
  const std::lock_guard Guard(this->Lock);
  Stream &Target = this->Streams[Name];
  while (Target.First < First && !Target.Entries.empty()) {
    Target.Entries.pop_front();
    ++Target.First;
  }
}

void MemoryLog::setRetention(std::size_t Count) {
  const std::lock_guard Guard(this->Lock);
  this->Retention = Count;
}

LogFault MemoryLog::nextFault() {
  return this->Faults ? this->Faults() : LogFault::None;
}

void MemoryLog::trim(Stream &Kept) const {
  if (this->Retention == 0)
    return;
  while (Kept.Entries.size() > this->Retention) {
    Kept.Entries.pop_front();
    ++Kept.First;
  }
}

} // namespace pistachioflow
