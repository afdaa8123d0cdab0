#include "pistachioflow/standin/fault_board.hpp"

#include <algorithm>
#include <array>

namespace pistachioflow {

using standin::FaultKind;
using standin::FaultPart;

template <> std::span<const EnumName<FaultPart>> enumNames<FaultPart>() {
  static constexpr auto Names = std::to_array<EnumName<FaultPart>>({
      {FaultPart::Log, "log"},
      {FaultPart::Instances, "instances"},
      {FaultPart::Workers, "workers"},
      {FaultPart::Runners, "runners"},
  });
  return Names;
}

template <> std::span<const EnumName<FaultKind>> enumNames<FaultKind>() {
  static constexpr auto Names = std::to_array<EnumName<FaultKind>>({
      {FaultKind::Down, "down"},
      {FaultKind::Slow, "slow"},
      {FaultKind::LostAnswer, "lost_answer"},
      {FaultKind::Cut, "cut"},
      {FaultKind::Die, "die"},
      {FaultKind::Refuse, "refuse"},
      {FaultKind::FailTasks, "fail_tasks"},
      {FaultKind::Half, "half"},
      {FaultKind::Foreign, "foreign"},
      {FaultKind::Twice, "twice"},
      {FaultKind::ResetBeforeByte, "reset_before_byte"},
      {FaultKind::ResetAfterByte, "reset_after_byte"},
      {FaultKind::Never, "never"},
      {FaultKind::Leaving, "leaving"},
  });
  return Names;
}

namespace standin {

namespace {

constexpr IntegerRange CountRange{0, 1'000'000};
constexpr IntegerRange DelayMs{0, 3'600'000};

bool matches(const Fault &Value, FaultPart Part, FaultKind Kind,
             std::string_view Target) {
  return Value.Part == Part && Value.Kind == Kind &&
         (Value.Target.empty() || Value.Target == Target);
}

} // namespace

nlohmann::json toJson(const Fault &Value) {
  return {{"part", nameOf(Value.Part)},
          {"kind", nameOf(Value.Kind)},
          {"target", Value.Target},
          {"count", Value.Count},
          {"delay_ms", Value.Delay.Ms}};
}

Fault readFault(ObjectReader In) {
  Fault Read;
  Read.Part = In.choice<FaultPart>("part");
  Read.Kind = In.choice<FaultKind>("kind");
  Read.Target = In.text("target", TextRule::Free, "");
  Read.Count = static_cast<std::uint32_t>(In.integer("count", CountRange, 0));
  Read.Delay.Ms = In.integer("delay_ms", DelayMs, 0);
  In.finish();
  return Read;
}

void FaultBoard::add(const Fault &Value) {
  const std::lock_guard Guard(this->Lock);
  this->Entries.push_back({Value, 0});
}

void FaultBoard::clear() {
  const std::lock_guard Guard(this->Lock);
  this->Entries.clear();
}

std::vector<Fault> FaultBoard::list() const {
  const std::lock_guard Guard(this->Lock);
  std::vector<Fault> Values;
  for (const Entry &Item : this->Entries)
    Values.push_back(Item.What);
  return Values;
}

std::optional<Fault> FaultBoard::take(FaultPart Part, FaultKind Kind,
                                      std::string_view Target) {
  const std::lock_guard Guard(this->Lock);
  const auto At = std::find_if(this->Entries.begin(), this->Entries.end(),
                               [&](const Entry &Item) {
                                 return matches(Item.What, Part, Kind, Target);
                               });
  if (At == this->Entries.end())
    return std::nullopt;
  Fault Hit = At->What;
  ++At->Hits;
  if (Hit.Count != 0 && At->Hits >= Hit.Count)
    this->Entries.erase(At);
  return Hit;
}

bool FaultBoard::isOn(FaultPart Part, FaultKind Kind,
                      std::string_view Target) const {
  const std::lock_guard Guard(this->Lock);
  return std::any_of(this->Entries.begin(), this->Entries.end(),
                     [&](const Entry &Item) {
                       return matches(Item.What, Part, Kind, Target);
                     });
}

} // namespace standin
} // namespace pistachioflow
