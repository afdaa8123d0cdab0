#include "pistachioflow/controller/cell_facts.hpp"

#include <utility>

namespace pistachioflow {

AppendState FactWriter::write(const Event &Fact) {
  std::unique_lock Guard(this->Lock);
  const Group Mine = this->Gathering;
  this->Gathered.push_back(Fact);
  ++this->Ends[Mine].Waiting;
  this->Ended.wait(Guard,
                   [&] { return this->Done >= Mine || !this->Appending; });
  if (this->Done < Mine)
    this->appendGroup(Guard);
  GroupEnd &End = this->Ends[Mine];
  const AppendState State = End.State;
  if (--End.Waiting == 0)
    this->Ends.erase(Mine);
  return State;
}

void FactWriter::appendGroup(std::unique_lock<std::mutex> &Guard) {
  const Group Mine = this->Gathering++;
  const std::vector<Event> Events = std::exchange(this->Gathered, {});
  this->Appending = true;
  Guard.unlock();
  const AppendState State = this->Append(Events);
  Guard.lock();
  this->Appending = false;
  this->Ends[Mine].State = State;
  this->Done = Mine;
  this->Ended.notify_all();
}

} // namespace pistachioflow
