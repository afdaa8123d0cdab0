#include <algorithm>
#include <cctype>
#include <cmath>
#include <utility>

#include "pistachioflow/codec/json_reader.hpp"

namespace pistachioflow {

namespace {

using nlohmann::json;

constexpr std::size_t MaxIdentifierBytes = 64;
constexpr std::size_t MaxKeyBytes = 200;
constexpr std::size_t MaxHostBytes = 253;

const json &emptyObject() {
  static const json Empty = json::object();
  return Empty;
}

bool isAllowed(char Character, std::string_view Punctuation) {
  const auto Byte = static_cast<unsigned char>(Character);
  return Byte < 0x80 && (std::isalnum(Byte) != 0 ||
                         Punctuation.find(Character) != std::string_view::npos);
}

bool allAllowed(std::string_view Text, std::string_view Punctuation) {
  return std::all_of(Text.begin(), Text.end(), [Punctuation](char Character) {
    return isAllowed(Character, Punctuation);
  });
}

bool hasControlCharacter(std::string_view Text) {
  return std::any_of(Text.begin(), Text.end(), [](char Character) {
    const auto Byte = static_cast<unsigned char>(Character);
    return Byte < 0x20 || Byte == 0x7f;
  });
}

bool sizeWithin(std::string_view Text, std::size_t Max) {
  return !Text.empty() && Text.size() <= Max;
}

bool fits(std::string_view Text, TextRule Rule) {
  switch (Rule) {
  case TextRule::Identifier:
    return sizeWithin(Text, MaxIdentifierBytes) && allAllowed(Text, "._:-");
  case TextRule::Key:
    return sizeWithin(Text, MaxKeyBytes) && !hasControlCharacter(Text);
  case TextRule::Host:
    return sizeWithin(Text, MaxHostBytes) && allAllowed(Text, ".:-");
  case TextRule::Free:
    return true;
  }
  return false;
}

std::string describe(TextRule Rule) {
  switch (Rule) {
  case TextRule::Identifier:
    return "1 to 64 letters, digits, '.', '_', ':' or '-'";
  case TextRule::Key:
    return "1 to 200 bytes without control characters";
  case TextRule::Host:
    return "a host name or address";
  case TextRule::Free:
    return "a text";
  }
  return "a text";
}

std::string describe(IntegerRange Range) {
  return "an integer from " + std::to_string(Range.Min) + " to " +
         std::to_string(Range.Max);
}

std::string describe(double Min, double Max) {
  return "a number from " + json(Min).dump() + " to " + json(Max).dump();
}

/// Formats a value for a finding, truncated to a bounded length.
std::string formatValue(const json &Value) {
  if (Value.is_structured())
    return Value.is_array() ? "an array" : "an object";
  if (Value.is_string() &&
      Value.get_ref<const std::string &>().size() > MaxKeyBytes)
    return "\"" + shortened(Value.get_ref<const std::string &>()) + "\"";
  return shortened(dumpJson(Value));
}

bool withinRange(const json &Value, IntegerRange Range) {
  if (!Value.is_number_integer())
    return false;
  if (Value.is_number_unsigned()) {
    const auto Number = Value.get<std::uint64_t>();
    return Range.Max >= 0 && Number <= static_cast<std::uint64_t>(Range.Max) &&
           (Range.Min <= 0 || Number >= static_cast<std::uint64_t>(Range.Min));
  }
  const auto Number = Value.get<std::int64_t>();
  return Number >= Range.Min && Number <= Range.Max;
}

} // namespace

ObjectReader::ObjectReader(const json &Value, std::string Path, Findings &Out)
    : Value(&Value), Path(std::move(Path)), Out(&Out) {
  if (Value.is_object())
    return;
  if (this->Out->size() < MaxFindings)
    this->Out->push_back({this->Path, "an object", formatValue(Value)});
  this->Value = &emptyObject();
  this->WrongType = true;
}

std::string ObjectReader::text(std::string_view Key, TextRule Rule,
                               const std::optional<std::string> &Default) {
  const json *Field = this->find(Key, Default.has_value(), describe(Rule));
  if (Field == nullptr)
    return Default.value_or("");
  if (Field->is_string() && fits(Field->get_ref<const std::string &>(), Rule))
    return Field->get<std::string>();
  this->report(Key, describe(Rule), formatValue(*Field));
  return Default.value_or("");
}

std::int64_t ObjectReader::integer(std::string_view Key, IntegerRange Range,
                                   std::optional<std::int64_t> Default) {
  const json *Field = this->find(Key, Default.has_value(), describe(Range));
  if (Field == nullptr)
    return Default.value_or(Range.Min);
  if (withinRange(*Field, Range))
    return Field->get<std::int64_t>();
  this->report(Key, describe(Range), formatValue(*Field));
  return Default.value_or(Range.Min);
}

double ObjectReader::number(std::string_view Key, double Min, double Max,
                            std::optional<double> Default) {
  const json *Field = this->find(Key, Default.has_value(), describe(Min, Max));
  if (Field == nullptr)
    return Default.value_or(Min);
  if (Field->is_number()) {
    const auto Number = Field->get<double>();
    if (std::isfinite(Number) && Number >= Min && Number <= Max)
      return Number;
  }
  this->report(Key, describe(Min, Max), formatValue(*Field));
  return Default.value_or(Min);
}

bool ObjectReader::flag(std::string_view Key, std::optional<bool> Default) {
  const json *Field = this->find(Key, Default.has_value(), "true or false");
  if (Field == nullptr)
    return Default.value_or(false);
  if (Field->is_boolean())
    return Field->get<bool>();
  this->report(Key, "true or false", formatValue(*Field));
  return Default.value_or(false);
}

ObjectReader ObjectReader::object(std::string_view Key) {
  const json *Field = this->find(Key, true, "an object");
  return {Field == nullptr ? emptyObject() : *Field,
          this->Path + "." + std::string(Key), *this->Out};
}

std::vector<ObjectReader> ObjectReader::objects(std::string_view Key,
                                                std::size_t MaxCount,
                                                bool Required) {
  std::vector<ObjectReader> Readers;
  const json *Field = this->find(Key, !Required, "an array");
  if (Field == nullptr)
    return Readers;
  if (!Field->is_array() || Field->size() > MaxCount) {
    this->report(Key,
                 "an array of at most " + std::to_string(MaxCount) + " items",
                 Field->is_array() ? std::to_string(Field->size()) + " items"
                                   : formatValue(*Field));
    return Readers;
  }
  const std::string Base = this->Path + "." + std::string(Key);
  for (std::size_t Index = 0; Index < Field->size(); ++Index)
    Readers.emplace_back((*Field)[Index],
                         Base + "[" + std::to_string(Index) + "]", *this->Out);
  return Readers;
}

bool ObjectReader::has(std::string_view Key) const {
  return this->Value->find(Key) != this->Value->end();
}

void ObjectReader::finish() {
  for (const auto &[Key, Field] : this->Value->items()) {
    if (!this->RequestedKeys.contains(Key))
      this->report(Key, "a known key", "an unknown key");
  }
}

void ObjectReader::report(std::string_view Key, std::string Expected,
                          std::string Found) {
  if (this->Out->size() >= MaxFindings)
    return;
  if (this->Out->size() + 1 == MaxFindings) {
    this->Out->push_back(
        {this->Path, "fewer findings", "more findings than are shown"});
    return;
  }
  std::string Place = this->Path + "." + shortened(Key);
  this->Out->push_back(
      {std::move(Place), std::move(Expected), std::move(Found)});
}

const json *ObjectReader::find(std::string_view Key, bool Optional,
                               std::string_view Expected) {
  this->RequestedKeys.emplace(Key);
  const auto Field = this->Value->find(Key);
  if (Field != this->Value->end())
    return &*Field;
  if (!Optional && !this->WrongType)
    this->report(Key, std::string(Expected), "nothing");
  return nullptr;
}

std::optional<std::string> ObjectReader::choiceName(std::string_view Key,
                                                    bool Optional) {
  const json *Field = this->find(Key, Optional, "a name");
  if (Field == nullptr)
    return std::nullopt;
  if (Field->is_string())
    return Field->get<std::string>();
  this->report(Key, "a name", formatValue(*Field));
  return std::nullopt;
}

} // namespace pistachioflow
