#include "pistachioflow/sched/early_cancellations.hpp"

#include <algorithm>

namespace pistachioflow {

bool mayCancel(const EarlyCancellationRecord &Record, std::string_view Queue,
               std::string_view Workspace) {
  const bool SamePublicQueue = Record.PublicQueue && Record.Queue == Queue;
  return Workspace.empty() || Record.Workspace == Workspace || SamePublicQueue;
}

bool cancelsJob(const EarlyCancellations &Known, std::string_view JobId,
                std::string_view Queue, std::string_view Workspace) {
  for (auto Entry = Known.ByName.lower_bound(JobId);
       Entry != Known.ByName.end() && Entry->first.starts_with(JobId); ++Entry)
    if (mayCancel(Entry->second, Queue, Workspace))
      return true;
  return false;
}

std::size_t countOf(const EarlyCancellations &Known,
                    std::string_view Workspace) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Known.ByName, [Workspace](const auto &Entry) {
        return Entry.second.Workspace == Workspace;
      }));
}

std::vector<std::string> takeExpired(EarlyCancellations &Known,
                                     std::int64_t BeforeWallMs) {
  std::vector<std::string> Expired;
  for (const auto &[Name, Record] : Known.ByName)
    if (Record.WallMs < BeforeWallMs)
      Expired.push_back(Name);
  for (const std::string &Name : Expired)
    Known.ByName.erase(Name);
  return Expired;
}

} // namespace pistachioflow
