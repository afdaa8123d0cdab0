#pragma once

#include <set>
#include <span>
#include <string>
#include <string_view>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/entry/topic_fold.hpp"

namespace pistachioflow {

/// The failure domains whose workers must get no starts.
///
/// Load pattern: operators evacuate a domain while work waits and starts are on
/// their way. Thread safety: none.
struct EvacuatedDomains {
  std::set<std::string, std::less<>> Names;

  bool contains(std::string_view Domain) const {
    return this->Names.contains(Domain);
  }
};

enum class EvacuationChange { None, Began, Ended };

/// Returns the domain that a record in OperatorTopic evacuates or restores, or
/// an empty view if it is about something else. Borrows from \p Key.
std::string_view evacuatedDomainOf(std::string_view Key);

/// Applies a record of OperatorTopic. Any value evacuates the domain, an empty
/// one restores it.
EvacuationChange applyEvacuation(EvacuatedDomains &Domains,
                                 const JournalRecord &Record);

/// Returns the evacuations among all records of OperatorTopic.
EvacuatedDomains readEvacuations(const TopicRecords &Records);

/// Whether all of \p Domains are evacuated. False if there are none.
bool coversAll(const EvacuatedDomains &Evacuated,
               std::span<const std::string> Domains);

/// Whether the evacuations that were read \p Age ago may be relied on for
/// starts. \p Timeout is the time in which an evacuation has to be in force; 0:
/// there are none. Thread safety: pure.
bool evacuationsCurrent(Duration Age, Duration Timeout);

} // namespace pistachioflow
