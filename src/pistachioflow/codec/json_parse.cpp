#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pistachioflow/codec/json_reader.hpp"

namespace pistachioflow {

namespace {

using nlohmann::json;

/// Thrown by the parser's callback to abort parsing.
struct LimitExceeded {
  std::string Expected;
  std::string Found;
};

/// Checks the nesting depth and the uniqueness of keys during parsing.
class StructureChecker {
public:
  explicit StructureChecker(std::uint32_t MaxDepth) : MaxDepth(MaxDepth) {}

  bool operator()(int Depth, json::parse_event_t Event, const json &Parsed) {
    switch (Event) {
    case json::parse_event_t::object_start:
      this->enter(Depth);
      this->Keys.emplace_back();
      break;
    case json::parse_event_t::array_start:
      this->enter(Depth);
      break;
    case json::parse_event_t::object_end:
      this->Keys.pop_back();
      break;
    case json::parse_event_t::key:
      this->addKey(Parsed.get_ref<const std::string &>());
      break;
    default:
      break;
    }
    return true;
  }

private:
  void enter(int Depth) const {
    if (Depth >= static_cast<int>(this->MaxDepth))
      throw LimitExceeded{"at most " + std::to_string(this->MaxDepth) +
                              " levels of nesting",
                          "more"};
  }

  void addKey(const std::string &Key) {
    if (!this->Keys.back().insert(Key).second)
      throw LimitExceeded{"each key once", "\"" + shortened(Key) + "\" twice"};
  }

  std::uint32_t MaxDepth;
  std::vector<std::set<std::string>> Keys;
};

Error invalid(std::string Place, std::string Expected, std::string Found) {
  return Error{ErrorCode::InvalidInput,
               "invalid JSON",
               {{std::move(Place), std::move(Expected), std::move(Found)}}};
}

std::string lineOf(std::string_view Text, std::size_t Byte) {
  const std::string_view Before = Text.substr(0, std::min(Byte, Text.size()));
  const auto Line = 1 + std::count(Before.begin(), Before.end(), '\n');
  return "line " + std::to_string(Line);
}

/// Removes the library's prefix from an error message.
std::string withoutPrefix(std::string_view Message) {
  constexpr std::size_t MaxMessageBytes = 160;
  const std::size_t Cut = Message.find("] ");
  if (Cut != std::string_view::npos)
    Message.remove_prefix(Cut + 2);
  return std::string(Message.substr(0, MaxMessageBytes));
}

} // namespace

Result<json> parseJson(std::string_view Text, const JsonBounds &Bounds,
                       std::string_view Source) {
  const std::string Name(Source);
  if (Text.size() > Bounds.MaxBytes)
    return invalid(Name,
                   "at most " + std::to_string(Bounds.MaxBytes) + " bytes",
                   std::to_string(Text.size()) + " bytes");
  // The library takes a zero byte for the end and ignores what follows.
  if (Text.find('\0') != std::string_view::npos)
    return invalid(Name, "JSON", "a zero byte");
  StructureChecker Checker(Bounds.MaxDepth);
  const auto Check = [&Checker](int Depth, json::parse_event_t Event,
                                json &Parsed) {
    return Checker(Depth, Event, Parsed);
  };
  try {
    return json::parse(Text, Check, true, Bounds.AllowComments);
  } catch (const json::parse_error &Fault) {
    return invalid(Name + " " + lineOf(Text, Fault.byte), "JSON",
                   withoutPrefix(Fault.what()));
  } catch (const json::exception &Fault) {
    return invalid(Name, "JSON", withoutPrefix(Fault.what()));
  } catch (const LimitExceeded &Fault) {
    return invalid(Name, Fault.Expected, Fault.Found);
  }
}

std::string shortened(std::string_view Text) {
  constexpr std::size_t MaxShownBytes = 60;
  constexpr unsigned char ContinuationMask = 0xc0;
  constexpr unsigned char Continuation = 0x80;
  if (Text.size() <= MaxShownBytes)
    return std::string(Text);
  std::size_t End = MaxShownBytes;
  while (End > 0 && (static_cast<unsigned char>(Text[End]) &
                     ContinuationMask) == Continuation)
    --End;
  return std::string(Text.substr(0, End)) + "...";
}

std::string dumpJson(const json &Value) {
  constexpr int NoIndent = -1;
  return Value.dump(NoIndent, ' ', false, json::error_handler_t::replace);
}

} // namespace pistachioflow
