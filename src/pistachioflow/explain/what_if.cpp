#include "pistachioflow/explain/what_if.hpp"

#include <algorithm>
#include <variant>

#include <msgpack.hpp>

#include "pistachioflow/codec/enum_names.hpp"
#include "pistachioflow/explain/event_parts.hpp"
#include "pistachioflow/explain/sentence.hpp"

namespace pistachioflow::explain {

namespace {

constexpr std::string_view ProbeJob = "what-if-probe";

/// Two actions are the same when they would be stored as the same bytes.
std::string bytesOf(const Action &What) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, What);
  return {Buffer.data(), Buffer.size()};
}

std::vector<Decision> without(const std::vector<Decision> &All,
                              const std::vector<Decision> &Others) {
  std::vector<std::string> Known;
  for (const Decision &Item : Others)
    Known.push_back(bytesOf(Item.What));
  std::ranges::sort(Known);
  std::vector<Decision> Left;
  for (const Decision &Item : All) {
    if (!std::ranges::binary_search(Known, bytesOf(Item.What)))
      Left.push_back(Item);
  }
  return Left;
}

std::vector<Decision> decideOnCopy(const CellView &View, const Event &Fact) {
  policy::CellState Copy = View.State;
  return policy::step(Copy, Fact, View.Prefer, View.Now);
}

std::string lineOf(const Decision &Item) {
  const EventPart Part = describeAction(Item.What);
  TimelineEvent Event;
  Event.Kind = Part.Kind;
  Event.Subject = Part.Subject;
  Event.What = Part.What;
  Event.Why = Item.Why;
  return "  " + sentence(Event) + "\n";
}

std::string linesOf(std::string_view Title,
                    const std::vector<Decision> &Decisions) {
  if (Decisions.empty())
    return "";
  std::string Text(Title);
  for (const Decision &Item : Decisions)
    Text += lineOf(Item);
  return Text;
}

struct VictimOf {
  const JobId &Probe;
  JobId operator()(const CheckpointGang &Made) const {
    return Made.Beneficiary == this->Probe ? Made.Job : JobId{};
  }
  JobId operator()(const StopGang &Made) const {
    return Made.Beneficiary == this->Probe ? Made.Job : JobId{};
  }
  template <typename Other> JobId operator()(const Other &) const { return {}; }
};

} // namespace

WhatIfReport whatIf(const CellView &View, const Lists &Edited) {
  const std::vector<Decision> With = decideOnCopy(View, ListsChanged{Edited});
  const std::vector<Decision> Without =
      decideOnCopy(View, ListsChanged{View.State.Configuration});
  return {without(With, Without), without(Without, With)};
}

std::string whatIfText(const WhatIfReport &Report) {
  std::string Text =
      linesOf("The edit would cause:\n", Report.Caused) +
      linesOf("Without the edit, but not with it:\n", Report.Avoided);
  if (Text.empty())
    return "The edit would change nothing that runs or waits now.\n";
  return Text;
}

std::vector<JobId> preemptedFor(const CellView &View,
                                const WorkspaceId &Workspace,
                                const GangShape &Shape) {
  JobSpec Probe;
  Probe.Job.Value = ProbeJob;
  Probe.Workspace = Workspace;
  Probe.Shape = Shape;
  Probe.DeclaredRuntime = {1};
  std::vector<JobId> Victims;
  for (const Decision &Item : decideOnCopy(View, JobSubmitted{Probe})) {
    JobId Victim = std::visit(VictimOf{Probe.Job}, Item.What);
    if (!Victim.empty() && std::ranges::find(Victims, Victim) == Victims.end())
      Victims.push_back(std::move(Victim));
  }
  return Victims;
}

} // namespace pistachioflow::explain
