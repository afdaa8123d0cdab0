#include "pistachioflow/entry/evacuated_domains.hpp"

#include <algorithm>

namespace pistachioflow {

std::string_view evacuatedDomainOf(std::string_view Key) {
  if (!Key.starts_with(EvacuationKeyPrefix))
    return {};
  return Key.substr(EvacuationKeyPrefix.size());
}

EvacuationChange applyEvacuation(EvacuatedDomains &Domains,
                                 const JournalRecord &Record) {
  const std::string_view Domain = evacuatedDomainOf(Record.Key);
  if (Domain.empty())
    return EvacuationChange::None;
  if (!Record.Value.empty())
    return Domains.Names.emplace(Domain).second ? EvacuationChange::Began
                                                : EvacuationChange::None;
  const auto Known = Domains.Names.find(Domain);
  if (Known == Domains.Names.end())
    return EvacuationChange::None;
  Domains.Names.erase(Known);
  return EvacuationChange::Ended;
}

EvacuatedDomains readEvacuations(const TopicRecords &Records) {
  EvacuatedDomains Domains;
  for (const JournalRecord &Record : Records)
    applyEvacuation(Domains, Record);
  return Domains;
}

bool coversAll(const EvacuatedDomains &Evacuated,
               std::span<const std::string> Domains) {
  return !Domains.empty() &&
         std::ranges::all_of(Domains, [&](const std::string &Domain) {
           return Evacuated.contains(Domain);
         });
}

bool evacuationsCurrent(Duration Age, Duration Timeout) {
  // The other half is for a start on its way to its worker, with its retries.
  return Timeout.Ms == 0 || Age * 2 <= Timeout;
}

} // namespace pistachioflow
