#include "pistachioflow/filter/admission_queue.hpp"

#include <algorithm>

namespace pistachioflow {

namespace {

constexpr double WholeGrant = 1.0;

} // namespace

AdmissionQueue::PushResult AdmissionQueue::push(const WaitingRequest &Request) {
  PushResult Result;
  if (this->size() >= this->Settings.Capacity) {
    std::size_t Last = RequestClasses - 1;
    while (Last > indexOf(Request.Class) && this->Waiting[Last].empty())
      --Last;
    if (Last <= indexOf(Request.Class))
      return Result;
    Result.Evicted = this->Waiting[Last].back();
    this->Waiting[Last].pop_back();
  }
  this->Waiting[indexOf(Request.Class)].push_back(Request);
  Result.Accepted = true;
  return Result;
}

void AdmissionQueue::pushFront(const WaitingRequest &Request) {
  this->Waiting[indexOf(Request.Class)].push_front(Request);
}

const WaitingRequest *AdmissionQueue::peek() const {
  return this->size() == 0 ? nullptr : &this->Waiting[this->dueClass()].front();
}

WaitingRequest AdmissionQueue::next() {
  const std::size_t Due = this->dueClass();
  for (std::size_t Class = 0; Class < RequestClasses; ++Class) {
    const bool Waits = !this->Waiting[Class].empty();
    this->Credit[Class] =
        Waits ? this->Credit[Class] + this->Settings.Floor[Class] : 0.0;
  }
  this->Credit[Due] = std::max(0.0, this->Credit[Due] - WholeGrant);
  const WaitingRequest Taken = this->Waiting[Due].front();
  this->Waiting[Due].pop_front();
  return Taken;
}

bool AdmissionQueue::remove(std::uint64_t Ticket) {
  for (auto &Class : this->Waiting) {
    const auto Found = std::find_if(
        Class.begin(), Class.end(),
        [Ticket](const WaitingRequest &Each) { return Each.Ticket == Ticket; });
    if (Found == Class.end())
      continue;
    Class.erase(Found);
    return true;
  }
  return false;
}

std::optional<WaitingRequest> AdmissionQueue::takeHopeless(
    Instant Now, const std::array<Duration, RequestClasses> &Usual) {
  for (std::size_t Class = 0; Class < RequestClasses; ++Class) {
    auto &Line = this->Waiting[Class];
    const Instant Ends = Now + Usual[Class];
    const auto Found = std::find_if(
        Line.begin(), Line.end(),
        [Ends](const WaitingRequest &Each) { return Each.Deadline < Ends; });
    if (Found == Line.end())
      continue;
    const WaitingRequest Taken = *Found;
    Line.erase(Found);
    return Taken;
  }
  return std::nullopt;
}

std::size_t AdmissionQueue::ahead(RequestClass Class) const {
  std::size_t Count = 0;
  for (std::size_t Each = 0; Each <= indexOf(Class); ++Each)
    Count += this->Waiting[Each].size();
  return Count;
}

std::size_t AdmissionQueue::size() const {
  std::size_t Count = 0;
  for (const auto &Class : this->Waiting)
    Count += Class.size();
  return Count;
}

std::size_t AdmissionQueue::dueClass() const {
  for (std::size_t Class = 0; Class < RequestClasses; ++Class)
    if (!this->Waiting[Class].empty() && this->Credit[Class] >= WholeGrant)
      return Class;
  for (std::size_t Class = 0; Class < RequestClasses; ++Class)
    if (!this->Waiting[Class].empty())
      return Class;
  return 0;
}

} // namespace pistachioflow
