#include "pistachioflow/sched/desired_state.hpp"

#include <algorithm>

namespace pistachioflow {

const QueueConfig *findQueue(const DesiredState &State, std::string_view Host,
                             std::string_view Path) {
  const std::string_view Name = Host.substr(0, Host.find(':'));
  const QueueConfig *Best = nullptr;
  for (const QueueConfig &Queue : State.Queues) {
    if (Queue.Host != Name || !Path.starts_with(Queue.PathPrefix))
      continue;
    if (!Best || Queue.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Queue;
  }
  return Best;
}

const QueueConfig *findQueueByName(const DesiredState &State,
                                   std::string_view Name) {
  const auto Match = std::ranges::find(State.Queues, Name, &QueueConfig::Name);
  return Match == State.Queues.end() ? nullptr : &*Match;
}

const WorkspaceConfig *findWorkspace(const DesiredState &State,
                                     std::string_view Name) {
  const auto Match =
      std::ranges::find(State.Workspaces, Name, &WorkspaceConfig::Name);
  return Match == State.Workspaces.end() ? nullptr : &*Match;
}

} // namespace pistachioflow
