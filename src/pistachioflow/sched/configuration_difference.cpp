#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <utility>

#include "pistachioflow/sched/configuration_check.hpp"

namespace pistachioflow {

namespace {

std::string textOf(std::string_view Value) {
  return "\"" + std::string(Value) + "\"";
}

std::string textOf(bool Value) { return Value ? "true" : "false"; }

std::string textOf(std::int64_t Value) { return std::to_string(Value); }

/// Returns the shortest text that reads as the same number.
std::string textOf(double Value) {
  constexpr std::size_t MaxDigits = 32;
  std::array<char, MaxDigits> Digits{};
  const auto Result =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value);
  return {Digits.data(), Result.ptr};
}

void addDifference(CheckFindings &Out, std::string Place, std::string Message) {
  Out.push_back({CheckSeverity::Warning, CheckKind::Difference,
                 std::move(Place), std::move(Message)});
}

template <typename T>
void compareField(CheckFindings &Out, std::string Place, const T &Before,
                  const T &After) {
  if (Before != After)
    addDifference(Out, std::move(Place),
                  "changed from " + textOf(Before) + " to " + textOf(After));
}

void compareEntry(CheckFindings &Out, const std::string &Place,
                  const QueueConfig &Before, const QueueConfig &After) {
  compareField(Out, Place + ".host", Before.Host, After.Host);
  compareField(Out, Place + ".path_prefix", Before.PathPrefix,
               After.PathPrefix);
  compareField(Out, Place + ".public", Before.Public, After.Public);
  compareField(Out, Place + ".service", Before.Terms.Service,
               After.Terms.Service);
  compareField(Out, Place + ".priority", Before.Terms.Priority,
               After.Terms.Priority);
  compareField(Out, Place + ".max_attempts", Before.Terms.MaxAttempts,
               After.Terms.MaxAttempts);
  compareField(Out, Place + ".stretch", Before.Terms.Stretch,
               After.Terms.Stretch);
  compareField(Out, Place + ".target_duration_ms", Before.Terms.AllowanceMs,
               After.Terms.AllowanceMs);
  if (Before.NeedsAdvice != After.NeedsAdvice)
    addDifference(Out, Place + ".advice",
                  After.NeedsAdvice ? "added" : "removed");
}

/// Reports how many keys of one list are missing from the other. The keys are
/// secrets and are not shown.
void countMissing(CheckFindings &Out, const std::string &Place,
                  const std::vector<std::string> &Keys,
                  const std::vector<std::string> &Others,
                  std::string_view Change) {
  const std::set<std::string_view> Known(Others.begin(), Others.end());
  const std::set<std::string_view> Distinct(Keys.begin(), Keys.end());
  const auto Count =
      std::ranges::count_if(Distinct, [&Known](std::string_view Key) {
        return !Known.contains(Key);
      });
  if (Count > 0)
    addDifference(Out, Place + ".api_keys",
                  std::to_string(Count) + (Count == 1 ? " key " : " keys ") +
                      std::string(Change));
}

void compareEntry(CheckFindings &Out, const std::string &Place,
                  const WorkspaceConfig &Before, const WorkspaceConfig &After) {
  countMissing(Out, Place, After.Keys, Before.Keys, "added");
  countMissing(Out, Place, Before.Keys, After.Keys, "removed");
  compareField(Out, Place + ".guaranteed.gpus", Before.GuaranteedAccelerators,
               After.GuaranteedAccelerators);
}

/// A name and how many entries before have the same one, so that lists with
/// repeated names are not reported as different from themselves.
using EntryId = std::pair<std::string_view, std::size_t>;

template <typename Entry>
std::vector<EntryId> identify(const std::vector<Entry> &Entries) {
  std::map<std::string_view, std::size_t> Counts;
  std::vector<EntryId> Ids;
  for (const Entry &Item : Entries)
    Ids.emplace_back(Item.Name, Counts[Item.Name]++);
  return Ids;
}

/// \p Noun names an entry in messages, \p List is its array's JSON path.
template <typename Entry>
void compareLists(CheckFindings &Out, std::string_view Noun,
                  const std::string &List, const std::vector<Entry> &Before,
                  const std::vector<Entry> &After) {
  std::map<EntryId, std::size_t> Old;
  const std::vector<EntryId> OldIds = identify(Before);
  for (std::size_t Index = 0; Index < OldIds.size(); ++Index)
    Old.emplace(OldIds[Index], Index);
  const std::vector<EntryId> NewIds = identify(After);
  for (std::size_t Index = 0; Index < NewIds.size(); ++Index) {
    const std::string Place = List + "[" + std::to_string(Index) + "]";
    const auto Match = Old.find(NewIds[Index]);
    if (Match == Old.end())
      addDifference(Out, Place,
                    std::string(Noun) + " " + textOf(NewIds[Index].first) +
                        " added");
    else
      compareEntry(Out, Place, Before[Match->second], After[Index]);
  }
  const std::set<EntryId> Kept(NewIds.begin(), NewIds.end());
  for (const EntryId &Id : OldIds) {
    if (!Kept.contains(Id))
      addDifference(Out, List,
                    std::string(Noun) + " " + textOf(Id.first) + " removed");
  }
}

void compareLimits(CheckFindings &Out, const DesiredState &Before,
                   const DesiredState &After) {
  compareField(Out, "$.limits.max_header_bytes", Before.MaxHeaderBytes,
               After.MaxHeaderBytes);
  compareField(Out, "$.limits.max_body_bytes", Before.MaxBodyBytes,
               After.MaxBodyBytes);
  compareField(Out, "$.limits.header_timeout_ms", Before.HeaderTimeoutMs,
               After.HeaderTimeoutMs);
  compareField(Out, "$.limits.idle_timeout_ms", Before.IdleTimeoutMs,
               After.IdleTimeoutMs);
}

} // namespace

CheckFindings compareConfigurations(const DesiredState &State,
                                    const DesiredState &InForce) {
  CheckFindings Out;
  if (State.Version <= InForce.Version)
    Out.push_back({CheckSeverity::Error, CheckKind::Difference, "$.version",
                   std::to_string(State.Version) +
                       " is not higher than the version in force, " +
                       std::to_string(InForce.Version) +
                       ": instances ignore it"});
  compareLists(Out, "route", "$.routes", InForce.Queues, State.Queues);
  compareLimits(Out, InForce, State);
  compareLists(Out, "workspace", "$.tenants", InForce.Workspaces,
               State.Workspaces);
  return Out;
}

} // namespace pistachioflow
