#include <chrono>
#include <fstream>
#include <iostream>
#include <set>
#include <thread>
#include <utility>

#include "pistachioflow/codec/model_json.hpp"
#include "pistachioflow/ctl/command.hpp"
#include "pistachioflow/explain/sentence.hpp"
#include "pistachioflow/explain/timeline.hpp"
#include "pistachioflow/explain/timeline_page.hpp"

namespace pistachioflow::ctl {

namespace {

using Arguments = std::span<const std::string>;

constexpr std::chrono::seconds FollowInterval{1};

/// What all instances know, as far as they answered.
struct Gathered {
  std::vector<TimelineEvent> Events;
  std::vector<std::string> Missing;
  std::uint64_t Dropped = 0;
};

std::string subjectQuery(const Options &Flags) {
  if (!Flags.Job.empty())
    return "kind=job&subject=" + Flags.Job;
  if (!Flags.Worker.empty())
    return "kind=worker&subject=" + Flags.Worker;
  if (!Flags.Workspace.empty())
    return "kind=workspace&subject=" + Flags.Workspace;
  return {};
}

std::string timelinePath(const Options &Flags) {
  std::string Path = "/v1/timeline?" + subjectQuery(Flags);
  if (!Flags.Since.empty())
    Path += "&since=" + Flags.Since;
  return Path;
}

/// An instance that any of the named servers knows of.
struct KnownNode {
  std::string Instance;
  std::string Address;

  auto operator<=>(const KnownNode &) const = default;
};

std::set<KnownNode> knownNodes(const Options &Flags, Gathered &All) {
  std::set<KnownNode> Nodes;
  const HttpAnswer Answer =
      send(Flags.Servers,
           {.Method = "GET", .Path = "/v1/nodes", .Timeout = Flags.Timeout});
  if (Answer.Status == 0 || !Answer.Body.contains("nodes")) {
    All.Missing.push_back("the list of instances: no server answered");
    return Nodes;
  }
  for (const nlohmann::json &Node : Answer.Body["nodes"])
    Nodes.insert({Node.value("instance", ""), Node.value("address", "")});
  return Nodes;
}

void takeAnswer(const KnownNode &Node, const HttpAnswer &Answer,
                Gathered &All) {
  if (Answer.Status == 0 || !Answer.Body.contains("events")) {
    All.Missing.push_back(Node.Instance + " at " + Node.Address +
                          ": no answer");
    return;
  }
  Findings Found;
  for (const nlohmann::json &Item : Answer.Body["events"])
    All.Events.push_back(readTimelineEvent(ObjectReader(Item, "$", Found)));
  if (!Found.empty())
    All.Missing.push_back(Node.Instance + ": events of a later version");
  for (const nlohmann::json &Item : Answer.Body["missing"])
    All.Missing.push_back(Node.Instance + ": " + Item.get<std::string>());
  All.Dropped += Answer.Body.value("dropped", std::uint64_t{0});
}

Gathered gather(const Options &Flags) {
  Gathered All;
  for (const KnownNode &Node : knownNodes(Flags, All)) {
    const std::vector<ServerAddress> Server = parseServers(Node.Address);
    const HttpCall Call{
        .Method = "GET", .Path = timelinePath(Flags), .Timeout = Flags.Timeout};
    takeAnswer(Node, Server.empty() ? HttpAnswer{} : send(Server, Call), All);
  }
  return All;
}

void printNotes(const Gathered &All) {
  for (const std::string &Missing : All.Missing)
    std::cerr << "not asked or not answered: " << Missing << "\n";
  if (All.Dropped > 0)
    std::cerr << All.Dropped << " events were dropped from bounded memory\n";
}

void printJson(const Options &Flags, const explain::MergedTimeline &Merged,
               const Gathered &All) {
  nlohmann::json Events = nlohmann::json::array();
  for (const explain::PlacedEvent &Placed : Merged.Events) {
    Events.push_back(toJson(Placed.Event));
    Events.back()["order_uncertain"] = Placed.OrderUncertain;
  }
  print(Flags, {{"events", Events},
                {"missing", All.Missing},
                {"dropped", All.Dropped},
                {"clock_difference_ms", Merged.ClockDifference.Ms}});
}

bool writePage(const Options &Flags, const explain::MergedTimeline &Merged,
               const Gathered &All) {
  std::ofstream File(Flags.HtmlFile, std::ios::binary);
  File << explain::timelinePage(Merged, {All.Missing, All.Dropped});
  File.flush();
  if (File)
    return true;
  std::cerr << Flags.HtmlFile << ": cannot be written\n";
  return false;
}

/// Prints new events until the program is ended.
[[noreturn]] void follow(const Options &Flags, Instant Newest) {
  Options Next = Flags;
  while (true) {
    std::this_thread::sleep_for(FollowInterval);
    Next.Since = std::to_string(Newest.Ms + 1);
    const Gathered All = gather(Next);
    const auto Merged = explain::mergeTimeline(All.Events);
    std::cout << explain::timelineText(Merged) << std::flush;
    for (const explain::PlacedEvent &Placed : Merged.Events)
      Newest = std::max(Newest, Placed.Event.Wall);
  }
}

ExitCode timeline(const Options &Flags, Arguments) {
  const Gathered All = gather(Flags);
  const auto Merged = explain::mergeTimeline(All.Events);
  if (Flags.Output == OutputFormat::Json)
    printJson(Flags, Merged, All);
  else
    std::cout << explain::timelineText(Merged);
  if (!Flags.HtmlFile.empty() && !writePage(Flags, Merged, All))
    return ExitCode::Usage;
  printNotes(All);
  if (Flags.Follow) {
    Instant Newest;
    for (const explain::PlacedEvent &Placed : Merged.Events)
      Newest = std::max(Newest, Placed.Event.Wall);
    follow(Flags, Newest);
  }
  return All.Missing.empty() ? ExitCode::Done : ExitCode::Partial;
}

constexpr Command Commands[] = {
    {"timeline", "",
     "Shows the events of all instances in one order; see --job, --worker, "
     "--workspace, --since, --html, --follow.",
     0, 0, timeline},
};

} // namespace

std::span<const Command> timelineCommands() { return Commands; }

} // namespace pistachioflow::ctl
