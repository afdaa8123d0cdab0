#include "pistachioflow/platform/store_client.hpp"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "pistachioflow/base/readable_json.hpp"
#include "pistachioflow/codec/json_reader.hpp"

namespace pistachioflow {

namespace {

using Json = nlohmann::json;

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t OffsetBytes = 8;
constexpr unsigned ByteBits = 8;

std::uint64_t readBigEndian(std::string_view Bytes) {
  std::uint64_t Value = 0;
  for (const char Byte : Bytes)
    Value = (Value << ByteBits) | static_cast<unsigned char>(Byte);
  return Value;
}

void appendLength(std::string &Bytes, std::size_t Length) {
  for (std::size_t Byte = LengthBytes; Byte > 0; --Byte)
    Bytes += static_cast<char>((Length >> (ByteBits * (Byte - 1))) & 0xFFU);
}

std::string escapeQuery(std::string_view Text) {
  constexpr std::string_view Hex = "0123456789ABCDEF";
  std::string Escaped;
  for (const char Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    const bool Unreserved = std::isalnum(Byte) != 0 || Character == '.' ||
                            Character == '-' || Character == '_';
    if (Unreserved) {
      Escaped += Character;
      continue;
    }
    Escaped += '%';
    Escaped += Hex[Byte >> 4U];
    Escaped += Hex[Byte & 0xFU];
  }
  return Escaped;
}

std::int64_t integerField(const Json &Body, const char *Key) {
  const auto Field = Body.is_object() ? Body.find(Key) : Body.end();
  if (Field == Body.end() || !Field->is_number_integer())
    return 0;
  return Field->get<std::int64_t>();
}

int sextetOf(char Character) {
  if (Character >= 'A' && Character <= 'Z')
    return Character - 'A';
  if (Character >= 'a' && Character <= 'z')
    return Character - 'a' + 26;
  if (Character >= '0' && Character <= '9')
    return Character - '0' + 52;
  if (Character == '+' || Character == '-')
    return 62;
  if (Character == '/' || Character == '_')
    return 63;
  return -1;
}

std::string decodeBase64(std::string_view Text) {
  constexpr unsigned SextetBits = 6;
  std::string Bytes;
  std::uint32_t BitBuffer = 0;
  unsigned Bits = 0;
  for (const char Character : Text) {
    const int Sextet = sextetOf(Character);
    if (Sextet < 0)
      continue;
    BitBuffer = (BitBuffer << SextetBits) | static_cast<std::uint32_t>(Sextet);
    Bits += SextetBits;
    if (Bits < ByteBits)
      continue;
    Bits -= ByteBits;
    Bytes += static_cast<char>((BitBuffer >> Bits) & 0xFFU);
  }
  return Bytes;
}

HttpRequest appendRequest(std::string Target,
                          std::span<const JournalRecord> Records) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = std::move(Target);
  Request.Headers.push_back({"Content-Type", "application/octet-stream"});
  Request.Body = encodeRecords(Records);
  return Request;
}

HttpRequest readRequest(std::string Target) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Target = std::move(Target);
  return Request;
}

/// Whether the body is an object with a field of that name and type.
bool hasField(const Json &Body, const char *Key, Json::value_t Type) {
  const auto Field = Body.is_object() ? Body.find(Key) : Body.end();
  return Field != Body.end() && Field->type() == Type;
}

bool hasInteger(const Json &Body, const char *Key) {
  return hasField(Body, Key, Json::value_t::number_unsigned) ||
         hasField(Body, Key, Json::value_t::number_integer);
}

AppendAnswer decodeConflict(const Json &Body) {
  const bool HasReason = hasField(Body, "reason", Json::value_t::string);
  if (HasReason && Body["reason"] == "fenced")
    return {AppendOutcome::Fenced};
  if (HasReason && hasInteger(Body, "sequence"))
    return {AppendOutcome::WrongSequence, 0, integerField(Body, "sequence")};
  return {AppendOutcome::Unknown};
}

/// Client errors and overload (429, 503, 507) are answered before anything is
/// appended. Nothing is known after any other status, such as a gateway's.
bool isCertainlyRefused(int Status) {
  const bool ClientError = Status >= 400 && Status < 500;
  return ClientError || Status == 503 || Status == 507;
}

AppendAnswer decodeAppendAnswer(const CallResult &Call) {
  if (Call.Outcome == CallOutcome::NotSent)
    return {AppendOutcome::Refused};
  if (Call.Outcome == CallOutcome::NoAnswer)
    return {AppendOutcome::Unknown};
  const Json Body = Json::parse(Call.Response.Body, nullptr, false);
  switch (Call.Response.Status) {
  case 200:
    return {AppendOutcome::Appended, integerField(Body, "end_offset")};
  case 409:
    return decodeConflict(Body);
  case 412:
    return {AppendOutcome::OffsetMismatch, integerField(Body, "end_offset")};
  default:
    return {isCertainlyRefused(Call.Response.Status) ? AppendOutcome::Refused
                                                     : AppendOutcome::Unknown};
  }
}

ReadOutcome decodeReadOutcome(const CallResult &Call) {
  if (Call.Outcome != CallOutcome::Answered)
    return ReadOutcome::Unreachable;
  switch (Call.Response.Status) {
  case 200:
    return ReadOutcome::Read;
  case 410:
    return ReadOutcome::Expired;
  default:
    return ReadOutcome::Refused;
  }
}

/// Parses a page. One key of another writer may hold bytes that JSON can't: the
/// other records must be read nevertheless.
Json parsePage(const std::string &Text) {
  Json Page = Json::parse(Text, nullptr, false);
  if (Page.is_discarded())
    Page = Json::parse(readableJson(Text), nullptr, false);
  return Page;
}

void addItem(NewestPage &Page, const Json &Item) {
  if (!hasField(Item, "key", Json::value_t::string))
    return;
  Page.LastKey = Item["key"].get<std::string>();
  if (!hasField(Item, "value", Json::value_t::string))
    return;
  Page.Records.push_back({Item["key"].get<std::string>(),
                          decodeBase64(Item["value"].get<std::string>())});
  Page.HighestOffset =
      std::max(Page.HighestOffset, integerField(Item, "offset"));
}

} // namespace

std::string_view toString(AppendOutcome Outcome) {
  switch (Outcome) {
  case AppendOutcome::Appended:
    return "appended";
  case AppendOutcome::Fenced:
    return "fenced";
  case AppendOutcome::WrongSequence:
    return "wrong_sequence";
  case AppendOutcome::OffsetMismatch:
    return "moved";
  case AppendOutcome::Refused:
    return "refused";
  case AppendOutcome::Unknown:
    return "unknown";
  }
  return "invalid";
}

StoreClient::StoreClient(asio::io_context &Io, std::string_view Address,
                         std::shared_ptr<MemoryBudget> Budget)
    : Http(Io, parseEndpoint(Address), std::move(Budget)) {}

asio::awaitable<AppendAnswer>
StoreClient::append(std::string Topic, std::span<const JournalRecord> Records,
                    Producer Writer, std::optional<std::int64_t> ExpectedEnd,
                    Duration Timeout) {
  std::string Target = "/log-append?topic=" + escapeQuery(Topic) + "&part=0";
  Target += "&producer_id=" + escapeQuery(Writer.Id);
  Target += "&epoch=" + std::to_string(Writer.Epoch);
  Target += "&sequence=" + std::to_string(Writer.Sequence);
  if (ExpectedEnd)
    Target += "&at=" + std::to_string(*ExpectedEnd);
  HttpRequest Request = appendRequest(std::move(Target), Records);
  const CallResult Call = co_await this->Http.call(std::move(Request), Timeout);
  co_return decodeAppendAnswer(Call);
}

asio::awaitable<ReadAnswer> StoreClient::read(std::string Topic,
                                              std::int64_t From, Duration Wait,
                                              Duration Timeout) {
  HttpRequest Request = readRequest("/log-read?topic=" + escapeQuery(Topic) +
                                    "&part=0&from=" + std::to_string(From) +
                                    "&wait_ms=" + std::to_string(Wait.Ms));
  const CallResult Call = co_await this->Http.call(std::move(Request), Timeout);
  ReadAnswer Answer{decodeReadOutcome(Call)};
  if (Answer.Outcome != ReadOutcome::Read)
    co_return Answer;
  const std::string_view Body = Call.Response.Body;
  bool Malformed = Body.size() < 2 * OffsetBytes;
  if (!Malformed) {
    Answer.EndOffset =
        static_cast<std::int64_t>(readBigEndian(Body.substr(0, OffsetBytes)));
    Answer.Records = decodeRecords(Body.substr(2 * OffsetBytes), Malformed);
  }
  if (Malformed)
    Answer.Outcome = ReadOutcome::Refused;
  co_return Answer;
}

asio::awaitable<NewestPage>
StoreClient::newest(std::string Topic, std::string AfterKey, Duration Timeout) {
  std::string Target = "/log-newest?topic=" + escapeQuery(Topic) + "&part=0";
  if (!AfterKey.empty())
    Target += "&after=" + escapeQuery(AfterKey);
  HttpRequest Request = readRequest(std::move(Target));
  const CallResult Call = co_await this->Http.call(std::move(Request), Timeout);
  NewestPage Page{decodeReadOutcome(Call)};
  // A topic without any record does not exist yet.
  if (Call.Outcome == CallOutcome::Answered && Call.Response.Status == 404)
    Page.Outcome = ReadOutcome::Read;
  if (Page.Outcome != ReadOutcome::Read)
    co_return Page;
  const Json Body = parsePage(Call.Response.Body);
  const bool NoTopic = Call.Response.Status == 404;
  const bool FlagIsValid = !Body.is_object() || !Body.contains("has_more") ||
                           Body["has_more"].is_boolean();
  const bool WellFormed = hasField(Body, "items", Json::value_t::array) &&
                          hasInteger(Body, "end_offset") && FlagIsValid;
  if (NoTopic)
    co_return Page;
  if (!WellFormed) {
    Page.Outcome = ReadOutcome::Refused;
    co_return Page;
  }
  Page.EndOffset = integerField(Body, "end_offset");
  Page.HasMore = hasField(Body, "has_more", Json::value_t::boolean) &&
                 Body["has_more"].get<bool>();
  for (const Json &Item : Body["items"])
    addItem(Page, Item);
  co_return Page;
}

std::string encodeRecords(std::span<const JournalRecord> Records) {
  std::string Bytes;
  for (const JournalRecord &Record : Records) {
    appendLength(Bytes, 1 + Record.Key.size() + Record.Value.size());
    Bytes += static_cast<char>(Record.Key.size());
    Bytes += Record.Key;
    Bytes += Record.Value;
  }
  return Bytes;
}

std::vector<JournalRecord> decodeRecords(std::string_view Bytes,
                                         bool &Malformed) {
  std::vector<JournalRecord> Records;
  Malformed = false;
  while (!Bytes.empty()) {
    const std::size_t Length =
        Bytes.size() < LengthBytes
            ? Bytes.size()
            : readBigEndian(Bytes.substr(0, LengthBytes));
    Malformed =
        Bytes.size() < LengthBytes || Length > Bytes.size() - LengthBytes;
    if (Malformed)
      break;
    const std::string_view Record = Bytes.substr(LengthBytes, Length);
    Bytes.remove_prefix(LengthBytes + Length);
    const std::size_t KeySize =
        Record.empty() ? 0 : static_cast<unsigned char>(Record.front());
    // The key is cut short. An empty record keeps the offsets of later ones
    // right.
    if (Record.empty() || KeySize + 1 > Record.size()) {
      Records.emplace_back();
      continue;
    }
    Records.push_back({std::string(Record.substr(1, KeySize)),
                       std::string(Record.substr(1 + KeySize))});
  }
  return Records;
}

} // namespace pistachioflow
