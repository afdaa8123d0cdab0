#include "pistachioflow/explain/record_events.hpp"

#include <algorithm>
#include <string_view>
#include <variant>

#include "pistachioflow/codec/enum_names.hpp"
#include "pistachioflow/explain/event_parts.hpp"
#include "pistachioflow/explain/words.hpp"

namespace pistachioflow::explain {

namespace {

constexpr std::string_view VoidText = "(void) ";

/// Collects the events of one record.
class EventWriter {
public:
  EventWriter(const Record &Value, const StreamName &Stream, std::uint64_t At,
              const RecordFate &Fate)
      : Header(Value.Header), Stream(Stream), At(At), Fate(Fate) {}

  void operator()(const PlansEdited &Edit) {
    Reason Why = this->editReason();
    for (const PlanEntry &Entry : Edit.Entries)
      Why.Entries.push_back(
          {ListKind::Plans, Entry.Workspace.Value, Edit.BaseRevision + 1});
    this->addEdit("plans", Edit.BaseRevision, Edit.Entries.size(),
                  Edit.Operator, std::move(Why));
  }

  void operator()(const LimitsEdited &Edit) {
    Reason Why = this->editReason();
    for (const LimitsEntry &Entry : Edit.Entries)
      Why.Entries.push_back(
          {ListKind::Limits, Entry.Plan.Value, Edit.BaseRevision + 1});
    this->addEdit("limits", Edit.BaseRevision, Edit.Entries.size(),
                  Edit.Operator, std::move(Why));
  }

  void operator()(const CellsMapped &Map) {
    std::string What = "scheduled by cells:";
    for (const DomainCell &Item : Map.Domains)
      What += " " + Item.Domain.Value + " by " + Item.Cell.Value;
    this->add(
        {SubjectKind::Cell, "failure domains", What, ReasonCode::None, {}}, {});
  }

  void operator()(const OwnerClaimed &Claim) {
    const ReasonCode Code =
        this->Fate.Void ? ReasonCode::ClaimVoid : ReasonCode::OwnershipClaimed;
    this->addOwner("claimed by " + Claim.Owner.Value, Code, Claim.Owner);
  }

  void operator()(const OwnerRenewed &) {
    this->addOwner("ownership renewed", ReasonCode::OwnershipRenewed,
                   this->Header.Author);
  }

  void operator()(const OwnerReleased &Release) {
    const std::string Next =
        Release.Successor.empty() ? "nobody" : Release.Successor.Value;
    this->addOwner("released by " + this->Header.Author.Value + " to " + Next,
                   ReasonCode::OwnershipReleased, Release.Successor);
  }

  void operator()(const SnapshotTaken &Shot) {
    this->addOwner("snapshot up to offset " + std::to_string(Shot.EndOffset),
                   ReasonCode::SnapshotWritten, this->Header.Author);
  }

  void operator()(const FactsObserved &Facts) { this->addFacts(Facts.Events); }

  void operator()(const DecisionsMade &Tick) {
    this->addFacts(Tick.Observed);
    for (std::size_t Index = 0; Index < Tick.Decisions.size(); ++Index)
      this->addDecision(Tick.Decisions[Index], Index);
  }

  void operator()(const KeysAppended &Keys) {
    for (const KeyRecord &Item : Keys.Records)
      std::visit([this](const auto &Key) { this->addKey(Key); }, Item.What);
  }

  std::vector<TimelineEvent> take() { return std::move(this->Events); }

private:
  Reason editReason() const {
    Reason Why;
    Why.Code = this->Fate.Void ? ReasonCode::EditRefusedStale
                               : ReasonCode::EditAccepted;
    return Why;
  }

  void addEdit(std::string_view List, Revision BasedOn, std::size_t Count,
               const std::string &Operator, Reason Why) {
    const std::string Author = Operator.empty() ? "an operator" : Operator;
    this->add({SubjectKind::List,
               std::string(List),
               "edited by " + Author + ", based on revision " +
                   std::to_string(BasedOn) + ": " + std::to_string(Count) +
                   (Count == 1 ? " entry" : " entries"),
               ReasonCode::None,
               {}},
              std::move(Why));
  }

  void addOwner(std::string What, ReasonCode Code, const InstanceId &Who) {
    EventPart Part{
        SubjectKind::Cell, this->Stream.Value, std::move(What), Code, {}};
    Part.Also.push_back({SubjectKind::Instance, Who.Value});
    Reason Why;
    Why.Code = Code;
    Why.Numbers.push_back(
        {Measure::Epoch, static_cast<std::int64_t>(this->Header.AuthorEpoch)});
    this->add(std::move(Part), std::move(Why));
  }

  void addFacts(const std::vector<Event> &Facts) {
    for (const Event &Fact : Facts) {
      if (std::holds_alternative<TimePassed>(Fact))
        continue;
      EventPart Part = describeFact(Fact);
      Reason Why;
      Why.Code = Part.Code;
      this->add(std::move(Part), std::move(Why));
    }
  }

  void addDecision(const Decision &Made, std::size_t Index) {
    const auto &Dropped = this->Fate.DroppedDecisions;
    const bool Drop =
        std::find(Dropped.begin(), Dropped.end(), Index) != Dropped.end();
    EventPart Part = describeAction(Made.What);
    if (Drop)
      Part.What = std::string(VoidText) + Part.What;
    for (const EntryRef &Entry : Made.Why.Entries) {
      if (Entry.List == ListKind::Plans)
        Part.Also.push_back({SubjectKind::Workspace, Entry.Key});
    }
    this->add(std::move(Part), Made.Why);
  }

  void addKey(const RequestBegun &Begun) {
    this->add({SubjectKind::Request,
               Begun.Request.Value,
               "begun under key \"" + Begun.Key + "\" of workspace " +
                   Begun.Workspace.Value,
               ReasonCode::None,
               {{SubjectKind::Workspace, Begun.Workspace.Value}}},
              {});
  }

  void addKey(const RequestEnded &Ended) {
    EventPart Part{SubjectKind::Request,
                   Ended.Request.Value,
                   "ended as " + std::string(toString(Ended.Outcome.State)) +
                       " under key \"" + Ended.Key + "\" of workspace " +
                       Ended.Workspace.Value,
                   ReasonCode::None,
                   {{SubjectKind::Workspace, Ended.Workspace.Value}}};
    if (!Ended.Outcome.Runner.empty())
      Part.Also.push_back({SubjectKind::Runner, Ended.Outcome.Runner.Value});
    this->add(std::move(Part), Ended.Outcome.Why);
  }

  void add(EventPart Part, Reason Why) {
    TimelineEvent Next;
    Next.Wall = this->Header.Wall;
    Next.Instance = this->Header.Author;
    Next.Stream = this->Stream;
    Next.At = this->At;
    Next.OwnerEpoch = this->Header.AuthorEpoch;
    Next.Kind = Part.Kind;
    Next.Subject = std::move(Part.Subject);
    Next.What =
        (this->Fate.Void ? std::string(VoidText) : std::string()) + Part.What;
    Next.Why = std::move(Why);
    Next.RelatedSubjects = std::move(Part.Also);
    this->Events.push_back(std::move(Next));
  }

  const RecordHeader &Header;
  const StreamName &Stream;
  std::uint64_t At;
  const RecordFate &Fate;
  std::vector<TimelineEvent> Events;
};

} // namespace

std::vector<TimelineEvent> eventsOf(const Record &Value,
                                    const StreamName &Stream, std::uint64_t At,
                                    const RecordFate &Fate) {
  EventWriter Writer(Value, Stream, At, Fate);
  std::visit(Writer, Value.What);
  return Writer.take();
}

bool isRoutine(const TimelineEvent &Event) {
  switch (Event.Why.Code) {
  case ReasonCode::OwnershipRenewed:
  case ReasonCode::SnapshotWritten:
  case ReasonCode::UsageObserved:
    return true;
  default:
    return false;
  }
}

bool concerns(const TimelineEvent &Event, SubjectKind Kind,
              const std::string &Subject) {
  if (Event.Kind == Kind && Event.Subject == Subject)
    return true;
  const SubjectRef Wanted{Kind, Subject};
  return std::find(Event.RelatedSubjects.begin(), Event.RelatedSubjects.end(),
                   Wanted) != Event.RelatedSubjects.end();
}

} // namespace pistachioflow::explain
