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

/// Limits for JSON input. The depth is checked while parsing.
struct JsonBounds {
  std::size_t MaxBytes = std::size_t{1} << 20;
  std::uint32_t MaxDepth = 16;
  bool AllowComments = false;
};

/// The maximum number of findings per input. If there are more, the last one
/// says that some were omitted.
inline constexpr std::size_t MaxFindings = 1'000;

/// Truncates \p Text to a length that fits into a finding, at a character
/// boundary.
std::string shortened(std::string_view Text);

/// Parses \p Text. \p Source names the input in findings: a file, or "body".
/// Errors: InvalidInput for text that is too large, too deep or malformed, for
/// invalid UTF-8 and for duplicate keys; syntax errors name their line.
/// Thread safety: may be called from any thread.
Result<nlohmann::json> parseJson(std::string_view Text,
                                 const JsonBounds &Bounds,
                                 std::string_view Source);

/// The smallest and the largest value that an integer field accepts.
struct IntegerRange {
  std::int64_t Min = 0;
  std::int64_t Max = std::numeric_limits<std::int64_t>::max();
};

/// The values that a text field accepts.
enum class TextRule : std::uint8_t {
  Identifier, ///< 1 to 64 of letters, digits, '.', '_', ':' and '-'.
  Key,        ///< 1 to 200 bytes, no control characters.
  Host,       ///< 1 to 253 of letters, digits, '.', ':' and '-'.
  Free,       ///< Anything.
};

/// Reads the fields of one JSON object and collects a finding for each invalid
/// one. A field with a default is optional; one without is required. An invalid
/// field is reported and reads as its default or as an empty value.
///
/// Not thread safe. The JSON value and the findings must outlive the reader.
class ObjectReader {
public:
  /// \p Path is the JSON path of the object in its document, such as "$.http".
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

  /// Returns a reader of the object at \p Key. A missing object reads as an
  /// empty one, so that each of its fields is reported or takes its default.
  ObjectReader object(std::string_view Key);

  /// Returns a reader for each object of the array at \p Key. A missing array
  /// is reported if \p Required is true.
  std::vector<ObjectReader> objects(std::string_view Key, std::size_t MaxCount,
                                    bool Required = true);

  bool has(std::string_view Key) const;

  /// Reports every key that was not read. Call it last.
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
  /// The value is not an object. Its missing fields are
  /// not reported as well.
  bool WrongType = false;
};

/// Formats \p Value on one line. Invalid UTF-8 becomes U+FFFD.
std::string dumpJson(const nlohmann::json &Value);

} // namespace pistachioflow
