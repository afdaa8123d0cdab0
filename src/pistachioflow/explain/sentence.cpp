#include "pistachioflow/explain/sentence.hpp"

#include <algorithm>
#include <string_view>

#include "pistachioflow/codec/enum_names.hpp"
#include "pistachioflow/codec/reason_table.hpp"
#include "pistachioflow/explain/words.hpp"

namespace pistachioflow::explain {

namespace {

std::string spaced(std::string_view Name) {
  std::string Text(Name);
  std::replace(Text.begin(), Text.end(), '_', ' ');
  return Text;
}

bool isPointInTime(Measure What) {
  return What == Measure::DeadlineMs || What == Measure::ReservedAtMs;
}

std::string quantityText(const Quantity &Value) {
  constexpr std::string_view MsSuffix = " ms";
  std::string Name = spaced(nameOf(Value.What));
  if (!Name.ends_with(MsSuffix))
    return Name + " " + std::to_string(Value.Value);
  Name.resize(Name.size() - MsSuffix.size());
  return Name + " " +
         (isPointInTime(Value.What) ? timeText({Value.Value})
                                    : spanText({Value.Value}));
}

std::string entryText(const EntryRef &Entry) {
  return "\"" + Entry.Key + "\" in " + std::string(nameOf(Entry.List)) +
         " at revision " + std::to_string(Entry.At);
}

template <typename Items, typename Format>
std::string joined(const Items &Values, Format Text) {
  std::string All;
  for (const auto &Value : Values)
    All += (All.empty() ? "" : ", ") + Text(Value);
  return All;
}

/// A deadline of zero says that none was set.
bool isMeaningful(const Quantity &Value) {
  return !isPointInTime(Value.What) || Value.Value > 0;
}

std::vector<Quantity> meaningful(const std::vector<Quantity> &Numbers) {
  std::vector<Quantity> Kept;
  std::copy_if(Numbers.begin(), Numbers.end(), std::back_inserter(Kept),
               isMeaningful);
  return Kept;
}

} // namespace

std::string reasonSentence(const Reason &Why) {
  if (Why.Code == ReasonCode::None)
    return "";
  std::string Text(reasonText(Why.Code).Meaning);
  if (!Why.Entries.empty())
    Text += " Because of " + joined(Why.Entries, entryText) + ".";
  const std::vector<Quantity> Numbers = meaningful(Why.Numbers);
  if (!Numbers.empty())
    Text += " Numbers: " + joined(Numbers, quantityText) + ".";
  if (!Why.PassedOver.empty())
    Text += " Passed over: " + withStop(Why.PassedOver);
  return Text;
}

std::string changeSentence(const Reason &Why) {
  constexpr std::string_view Nothing = "nothing in the lists";
  const std::string_view Change = reasonText(Why.Code).Change;
  if (Why.Code == ReasonCode::None || Change == Nothing)
    return "";
  return withStop(std::string(Change));
}

std::string sentence(const TimelineEvent &Event) {
  std::string Text = spaced(nameOf(Event.Kind));
  if (!Event.Subject.empty())
    Text += " " + Event.Subject;
  Text = asSentence(Text + ": " + Event.What);
  const std::string Why = reasonSentence(Event.Why);
  return Why.empty() ? Text : Text + " " + Why;
}

std::string originText(const TimelineEvent &Event) {
  std::string Text = timeText(Event.Wall) + " " + Event.Instance.Value;
  if (!Event.Stream.empty())
    Text += " " + Event.Stream.Value + "@" + std::to_string(Event.At);
  if (Event.OwnerEpoch > 0)
    Text += " epoch " + std::to_string(Event.OwnerEpoch);
  return Text;
}

} // namespace pistachioflow::explain
