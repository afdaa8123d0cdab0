#include "pistachioflow/sched/configuration_check.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace pistachioflow {

namespace {

constexpr std::size_t JobIdBytes = 16;

std::string inQuotes(std::string_view Name) {
  return "\"" + std::string(Name) + "\"";
}

std::string routePlace(std::size_t Index) {
  return "$.routes[" + std::to_string(Index) + "]";
}

std::string workspacePlace(std::size_t Index) {
  return "$.tenants[" + std::to_string(Index) + "]";
}

void addUnmatched(CheckFindings &Out, std::string Place, std::string Message) {
  Out.push_back({CheckSeverity::Warning, CheckKind::NeverMatches,
                 std::move(Place), std::move(Message)});
}

void addLimit(CheckFindings &Out, std::string Place, std::string Message) {
  Out.push_back({CheckSeverity::Error, CheckKind::Limit, std::move(Place),
                 std::move(Message)});
}

/// Finds routes that findQueue() never returns: of two routes with the same
/// host and prefix it returns the first, and it compares the host of a request
/// without the port.
void checkRoutePaths(const DesiredState &State, CheckFindings &Out) {
  std::map<std::pair<std::string_view, std::string_view>, std::size_t> Seen;
  for (std::size_t Index = 0; Index < State.Queues.size(); ++Index) {
    const QueueConfig &Queue = State.Queues[Index];
    const auto [First, Added] =
        Seen.try_emplace({Queue.Host, Queue.PathPrefix}, Index);
    if (!Added)
      addUnmatched(Out, routePlace(Index),
                   "route " + inQuotes(Queue.Name) +
                       " has the host and path prefix of " +
                       routePlace(First->second) + ", which gets all calls");
    if (Queue.Host.find(':') != std::string::npos)
      addUnmatched(Out, routePlace(Index) + ".host",
                   "no call matches a host with a port: the port of a request "
                   "is not compared");
    if (!Queue.PathPrefix.starts_with('/') ||
        Queue.PathPrefix.find('?') != std::string::npos)
      addUnmatched(Out, routePlace(Index) + ".path_prefix",
                   "no call matches a prefix that does not begin with / or "
                   "that contains ?");
  }
}

/// Of two entries with the same name, a search by name finds only the first.
template <typename Entry>
void checkNames(const std::vector<Entry> &Entries, std::string_view List,
                CheckFindings &Out) {
  std::map<std::string_view, std::size_t> Seen;
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    const auto [First, Added] = Seen.try_emplace(Entries[Index].Name, Index);
    if (!Added)
      addUnmatched(Out, std::string(List) + "[" + std::to_string(Index) + "]",
                   "the name " + inQuotes(Entries[Index].Name) +
                       " is that of entry " + std::to_string(First->second));
  }
}

void checkServices(const DesiredState &State,
                   const std::vector<std::string> &Services,
                   CheckFindings &Out) {
  const std::set<std::string_view> Defined(Services.begin(), Services.end());
  std::set<std::string_view> Used;
  for (std::size_t Index = 0; Index < State.Queues.size(); ++Index) {
    const std::string &Service = State.Queues[Index].Terms.Service;
    Used.insert(Service);
    if (!Defined.contains(Service))
      addUnmatched(Out, routePlace(Index) + ".service",
                   "service " + inQuotes(Service) + " is not defined");
  }
  for (const std::string &Service : Services) {
    if (!Used.contains(Service))
      addUnmatched(Out, "$.services",
                   "no route names service " + inQuotes(Service));
  }
}

/// Both findings are errors: calls would count for a workspace that did not
/// make them.
void checkKeys(const DesiredState &State, CheckFindings &Out) {
  std::map<std::string_view, std::string_view> Holders;
  const auto Add = [&Out](std::size_t Index, std::string Message) {
    Out.push_back({CheckSeverity::Error, CheckKind::NeverMatches,
                   workspacePlace(Index) + ".api_keys", std::move(Message)});
  };
  for (std::size_t Index = 0; Index < State.Workspaces.size(); ++Index) {
    const WorkspaceConfig &Workspace = State.Workspaces[Index];
    for (std::size_t Key = 0; Key < Workspace.Keys.size(); ++Key) {
      const std::string Number = "key " + std::to_string(Key + 1);
      if (Workspace.Keys[Key].empty())
        Add(Index, Number + " is empty: calls without a key count for " +
                       inQuotes(Workspace.Name));
      const auto [Holder, Added] =
          Holders.try_emplace(Workspace.Keys[Key], Workspace.Name);
      if (!Added && Holder->second != Workspace.Name)
        Add(Index, Number + " of " + inQuotes(Workspace.Name) +
                       " is also a key of " + inQuotes(Holder->second) +
                       "; all calls count for the last holder");
    }
  }
}

/// Returns the bytes of the shortest request that submits a job to \p Queue, as
/// the server counts them: the target, and the names, values and separators of
/// headers.
std::size_t smallestHead(const QueueConfig &Queue, std::size_t ShortestKey) {
  constexpr std::string_view HostName = "Host";
  constexpr std::string_view LengthName = "Content-Length";
  constexpr std::string_view KeyHeader = "AuthorizationBearer ";
  std::size_t Bytes = Queue.PathPrefix.size() + JobIdBytes + HostName.size() +
                      Queue.Host.size() + LengthName.size() +
                      std::to_string(SmallestJobBody.size()).size();
  constexpr std::size_t SeparatorBytes = 3;
  Bytes += 2 * SeparatorBytes;
  if (!Queue.Public)
    Bytes += KeyHeader.size() + ShortestKey + SeparatorBytes;
  return Bytes;
}

void checkSizeLimits(const DesiredState &State, CheckFindings &Out) {
  std::size_t ShortestKey = std::numeric_limits<std::size_t>::max();
  for (const auto &[Key, Workspace] : State.WorkspaceByKey)
    ShortestKey = std::min(ShortestKey, Key.size());
  if (State.WorkspaceByKey.empty())
    ShortestKey = 0;
  std::size_t Head = std::numeric_limits<std::size_t>::max();
  for (const QueueConfig &Queue : State.Queues)
    Head = std::min(Head, smallestHead(Queue, ShortestKey));
  if (!State.Queues.empty() &&
      State.MaxHeaderBytes < static_cast<std::int64_t>(Head))
    addLimit(Out, "$.limits.max_header_bytes",
             std::to_string(State.MaxHeaderBytes) +
                 " is too small: every submission has at least " +
                 std::to_string(Head) + " bytes of headers");
  if (State.MaxBodyBytes < static_cast<std::int64_t>(SmallestJobBody.size()))
    addLimit(Out, "$.limits.max_body_bytes",
             std::to_string(State.MaxBodyBytes) +
                 " is too small: every job has at least " +
                 std::to_string(SmallestJobBody.size()) + " bytes");
}

void checkTimeouts(const DesiredState &State, CheckFindings &Out) {
  if (State.HeaderTimeoutMs == 0)
    addLimit(Out, "$.limits.header_timeout_ms",
             "a timeout of 0 closes every connection");
  if (State.IdleTimeoutMs == 0)
    addLimit(Out, "$.limits.idle_timeout_ms",
             "a timeout of 0 closes every connection");
}

void checkTerms(const DesiredState &State, CheckFindings &Out) {
  for (std::size_t Index = 0; Index < State.Queues.size(); ++Index) {
    const QueueTerms &Terms = State.Queues[Index].Terms;
    if (Terms.MaxAttempts == 0)
      addLimit(Out, routePlace(Index) + ".max_attempts",
               "0 leaves no attempt to a task");
    if (Terms.Stretch == 0.0)
      addLimit(Out, routePlace(Index) + ".stretch",
               "0 leaves no time for the work itself");
  }
}

void checkGuarantees(const DesiredState &State, std::int64_t Fleet,
                     CheckFindings &Out) {
  // The decoder accepts amounts of 2^53 each, so that their sum can overflow.
  constexpr std::int64_t MaxSum = std::numeric_limits<std::int64_t>::max();
  std::int64_t Sum = 0;
  for (const WorkspaceConfig &Workspace : State.Workspaces) {
    const std::int64_t Amount = Workspace.GuaranteedAccelerators;
    Sum = Sum > MaxSum - Amount ? MaxSum : Sum + Amount;
  }
  if (Sum > Fleet)
    addLimit(Out, "$.tenants",
             "workspaces are guaranteed " + std::to_string(Sum) +
                 " accelerators, and the workers have " +
                 std::to_string(Fleet));
}

} // namespace

std::string_view toString(CheckSeverity Severity) {
  return Severity == CheckSeverity::Error ? "error" : "warning";
}

std::string_view toString(CheckKind Kind) {
  switch (Kind) {
  case CheckKind::Invalid:
    return "invalid";
  case CheckKind::NeverMatches:
    return "never_matches";
  case CheckKind::Limit:
    return "limit";
  case CheckKind::Difference:
    return "difference";
  }
  return "invalid";
}

CheckFindings
findUnmatchedEntries(const DesiredState &State,
                     const std::optional<std::vector<std::string>> &Services) {
  CheckFindings Out;
  checkRoutePaths(State, Out);
  checkNames(State.Queues, "$.routes", Out);
  if (Services)
    checkServices(State, *Services, Out);
  checkNames(State.Workspaces, "$.tenants", Out);
  checkKeys(State, Out);
  return Out;
}

CheckFindings
findContradictingLimits(const DesiredState &State,
                        std::optional<std::int64_t> FleetAccelerators) {
  CheckFindings Out;
  if (State.Version == 0)
    addLimit(Out, "$.version", "instances ignore version 0");
  checkTerms(State, Out);
  checkSizeLimits(State, Out);
  checkTimeouts(State, Out);
  if (FleetAccelerators)
    checkGuarantees(State, *FleetAccelerators, Out);
  return Out;
}

} // namespace pistachioflow
