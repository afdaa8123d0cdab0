#include "pistachioflow/standin/instance_board.hpp"

#include <utility>

namespace pistachioflow::standin {

void InstanceBoard::put(std::vector<ListedInstance> List, Instant Now) {
  const std::lock_guard Guard(this->Lock);
  this->Versions.push_back({Now, std::move(List)});
}

void InstanceBoard::setLag(Duration Value) {
  const std::lock_guard Guard(this->Lock);
  this->Lag = Value;
}

std::vector<ListedInstance> InstanceBoard::shown(Instant Now) {
  const std::lock_guard Guard(this->Lock);
  while (this->Versions.size() > 1 && this->Versions[1].From + this->Lag <= Now)
    this->Versions.pop_front();
  return this->Versions.empty() ? std::vector<ListedInstance>()
                                : this->Versions.front().List;
}

} // namespace pistachioflow::standin
