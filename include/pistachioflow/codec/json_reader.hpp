#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "pistachioflow/base/finding.hpp"
#include "pistachioflow/base/result.hpp"
#include "pistachioflow/codec/enum_names.hpp"

namespace pistachioflow {

/// What a JSON text may be at most. The depth is checked while parsing.
struct JsonBounds {
  std::size_t MaxBytes = std::size_t{1} << 20;
  std::uint32_t MaxDepth = 16;
  bool AllowComments = false;
};

/// The most findings that are collected of one input. The last one then says
/// that others were left out.
inline constexpr std::size_t MaxFindings = 1'000;

/// Cuts \p Text to a length that fits into a finding, at a whole character.
std::string shortened(std::string_view Text);

/// Parses \p Text. \p Source names it in findings: a file, or "body".
/// Errors: InvalidInput with the line of the fault; too large, too deep,
/// malformed, invalid UTF-8 and duplicate keys are such faults.
/// Thread safety: may be called from any thread.
Result<nlohmann::json> parseJson(std::string_view Text,
                                 const JsonBounds &Bounds,
                                 std::string_view Source);

/// The smallest and the largest integer that a field may hold.
struct IntegerRange {
  std::int64_t Min = 0;
  std::int64_t Max = std::numeric_limits<std::int64_t>::max();
};

/// What a text field may hold.
enum class TextRule : std::uint8_t {
  Identifier, ///< 1 to 64 of letters, digits, '.', '_', ':' and '-'.
  Key,        ///< 1 to 200 bytes, no control characters.
  Host,       ///< 1 to 253 of letters, digits, '.', ':' and '-'.
  Free,       ///< Anything.
};

/// Reads the fields of one JSON object and collects what is wrong with them.
/// A field with a default may be left out; one without is required. A broken
/// field yields the default or an empty value, and a finding.
///
/// Not thread safe. The value and the findings must outlive the reader.
class ObjectReader {
public:
  /// \p Path is the place of the object in its document, such as "$.http".
  ObjectReader(const nlohmann::json &Value, std::string Path, Findings &Out);

  std::string text(std::string_view Key, TextRule Rule,
                   const std::optional<std::string> &Default = std::nullopt);
  std::int64_t integer(std::string_view Key, IntegerRange Range,
                       std::optional<std::int64_t> Default = std::nullopt);
  double number(std::string_view Key, double Min, double Max,
                std::optional<double> Default = std::nullopt);
  bool flag(std::string_view Key, std::optional<bool> Default = std::nullopt);

  /// Reads the name of an enumerator.
  template <typename Enum>
  Enum choice(std::string_view Key,
              std::optional<Enum> Default = std::nullopt) {
    const std::optional<std::string> Name =
        this->choiceName(Key, Default.has_value());
    if (!Name)
      return Default.value_or(enumNames<Enum>().front().Value);
    if (const std::optional<Enum> Value = enumFromName<Enum>(*Name))
      return *Value;
    this->report(Key, "one of " + listNames<Enum>(),
                 "\"" + shortened(*Name) + "\"");
    return Default.value_or(enumNames<Enum>().front().Value);
  }

  /// Returns a reader of the object under \p Key. A missing one reads as an
  /// empty object, so that each of its fields is reported or defaulted.
  ObjectReader object(std::string_view Key);

  /// Returns a reader for each object of the array under \p Key.
  /// A missing array is a finding where it is required.
  std::vector<ObjectReader> objects(std::string_view Key, std::size_t MaxCount,
                                    bool Required = true);

  bool has(std::string_view Key) const;

  /// Reports every key that was never asked for. Call it last.
  void finish();

  /// Adds a finding about the field \p Key.
  void report(std::string_view Key, std::string Expected, std::string Found);

  const std::string &path() const { return this->Path; }

private:
  const nlohmann::json *find(std::string_view Key, bool Optional,
                             std::string_view Expected);
  std::optional<std::string> choiceName(std::string_view Key, bool Optional);

  template <typename Enum> static std::string listNames() {
    std::string All;
    for (const EnumName<Enum> &Entry : enumNames<Enum>())
      All += (All.empty() ? "" : ", ") + std::string(Entry.Name);
    return All;
  }

  const nlohmann::json *Value;
  std::string Path;
  Findings *Out;
  std::set<std::string, std::less<>> RequestedKeys;
  bool WrongType = false; ///< Reported already; its fields are not.
};

/// Formats \p Value on one line. Invalid UTF-8 becomes U+FFFD.
std::string dumpJson(const nlohmann::json &Value);

} // namespace pistachioflow
