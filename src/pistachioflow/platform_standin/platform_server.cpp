#include "pistachioflow/platform_standin/platform_server.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "pistachioflow/codec/json_reader.hpp"
#include "pistachioflow/net/http_client.hpp"
#include "platform_server_parts.hpp"

namespace pistachioflow {

namespace {

using Json = nlohmann::json;

constexpr std::size_t PageSize = 500;

std::string queryValue(const std::string &Query, std::string_view Name) {
  const std::string Prefix = std::string(Name) + "=";
  std::size_t Begin = Query.find('?');
  while (Begin != std::string::npos) {
    ++Begin;
    const std::size_t End = std::min(Query.find('&', Begin), Query.size());
    if (Query.compare(Begin, Prefix.size(), Prefix) == 0) {
      std::string Value;
      for (std::size_t At = Begin + Prefix.size(); At < End; ++At) {
        if (Query[At] != '%' || At + 2 >= End + 0) {
          Value += Query[At];
          continue;
        }
        Value +=
            static_cast<char>(std::stoi(Query.substr(At + 1, 2), nullptr, 16));
        At += 2;
      }
      return Value;
    }
    Begin = Query.find('&', Begin);
  }
  return {};
}

std::int64_t queryNumber(const std::string &Query, std::string_view Name) {
  const std::string Value = queryValue(Query, Name);
  return Value.empty() ? 0 : std::stoll(Value);
}

std::string encodeBase64(std::string_view Bytes) {
  constexpr std::string_view Letters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Byte = 0; Byte < 3; ++Byte) {
      Group <<= 8U;
      if (At + Byte < Bytes.size())
        Group |= static_cast<unsigned char>(Bytes[At + Byte]);
    }
    const std::size_t Used = std::min<std::size_t>(3, Bytes.size() - At);
    for (std::size_t Letter = 0; Letter < 4; ++Letter)
      Text += Letter <= Used ? Letters[(Group >> (18U - 6U * Letter)) & 0x3FU]
                             : '=';
  }
  return Text;
}

std::string bigEndian(std::int64_t Value) {
  std::string Bytes;
  for (int Shift = 56; Shift >= 0; Shift -= 8)
    Bytes += static_cast<char>(
        (static_cast<std::uint64_t>(Value) >> static_cast<unsigned>(Shift)) &
        0xFFU);
  return Bytes;
}

HttpResponse appendResponse(const AppendAnswer &Answer) {
  switch (Answer.Outcome) {
  case AppendOutcome::Appended:
    return jsonResponse(200, {{"end_offset", Answer.EndOffset}});
  case AppendOutcome::OffsetMismatch:
    return jsonResponse(412, {{"end_offset", Answer.EndOffset}});
  case AppendOutcome::Fenced:
    return jsonResponse(409, {{"reason", "fenced"}});
  default:
    return jsonResponse(
        409, {{"reason", "seq"}, {"sequence", Answer.ExpectedSequence}});
  }
}

} // namespace

PlatformServer::PlatformServer(asio::io_context &Io, const Clock &Time,
                               SimulatorLimits Limits, std::uint64_t Seed)
    : Simulator(Limits), Io(Io), Time(Time),
      StoreServer(Io,
                  [this](HttpRequest Request) {
                    return this->serveStore(std::move(Request));
                  }),
      RecordsAppended(Io), Random(Seed) {}

bool PlatformServer::chance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(this->Random) <
         Probability;
}

bool PlatformServer::start(std::size_t WorkerCount, std::size_t WorkersPerRack,
                           Resources WorkerCapacity) {
  const asio::ip::tcp::endpoint AnyPort = parseEndpoint("127.0.0.1:0");
  if (!this->StoreServer.listen(AnyPort))
    return false;
  for (std::size_t Index = 0; Index < WorkerCount; ++Index) {
    const std::string Id = "w" + std::to_string(Index);
    WorkerEndpoint Endpoint;
    Endpoint.Id = Id;
    Endpoint.Rack = "r" + std::to_string(Index / WorkersPerRack);
    Endpoint.Server = std::make_unique<HttpServer>(
        this->Io, [this, Id, Index](HttpRequest Request) {
          ++this->WorkerEndpoints[Index].Calls;
          return this->serveWorker(Id, std::move(Request));
        });
    if (!Endpoint.Server->listen(AnyPort))
      return false;
    this->Simulator.addWorker(Id, WorkerCapacity);
    this->WorkerEndpoints.push_back(std::move(Endpoint));
  }
  this->publishWorkers();
  spawnCoroutine(this->Io, "platform_simulation", this->advanceLoop());
  return true;
}

void PlatformServer::publish(const std::string &DesiredStateJson) {
  this->Store.put(std::string(OperatorTopic),
                  {std::string(DesiredStateKey), DesiredStateJson});
  this->RecordsAppended.notify();
}

void PlatformServer::putOperatorRecord(JournalRecord Record) {
  this->Store.put(std::string(OperatorTopic), std::move(Record));
  this->RecordsAppended.notify();
}

void PlatformServer::forgetHistory() {
  this->Store.compact(std::string(JournalTopic));
  this->Store.compact(std::string(OperatorTopic));
  this->StoreBehaviour.WatchesSilent = false;
  this->RecordsAppended.notify();
}

asio::awaitable<void> PlatformServer::advanceLoop() {
  Instant PublishedAt = this->Time.monotonic();
  while (true) {
    co_await pauseFor(this->Io, AdvanceInterval);
    const Instant Now = this->Time.monotonic();
    this->Simulator.advance(Now);
    if (Now - PublishedAt < WorkerListInterval)
      continue;
    PublishedAt = Now;
    this->publishWorkers();
  }
}

asio::awaitable<HttpResponse> PlatformServer::serveStore(HttpRequest Request) {
  if (this->StoreBehaviour.Unresponsive)
    co_await pauseFor(this->Io, NoAnswerDelay);
  if (this->StoreBehaviour.Delay.Ms > 0)
    co_await pauseFor(this->Io, this->StoreBehaviour.Delay);
  HttpResponse Response;
  Response.Status = 503;
  if (this->StoreBehaviour.Refusing)
    co_return Response;
  if (Request.Target.starts_with("/log-append")) {
    if (this->StoreBehaviour.AppendDelay.Ms > 0)
      co_await pauseFor(this->Io, this->StoreBehaviour.AppendDelay);
    Response = this->serveAppend(Request.Target, Request.Body);
    if (this->chance(this->StoreBehaviour.LostAnswerShare))
      co_await pauseFor(this->Io, NoAnswerDelay);
    co_return Response;
  }
  if (Request.Target.starts_with("/log-read"))
    co_return co_await this->serveRead(std::move(Request.Target));
  if (Request.Target.starts_with("/log-newest"))
    co_return this->serveNewest(Request.Target);
  Response.Status = 404;
  co_return Response;
}

HttpResponse PlatformServer::serveAppend(const std::string &Query,
                                         const std::string &Body) {
  const std::size_t Limit = this->StoreBehaviour.MaxAppendBytes;
  if (Limit > 0 && Body.size() > Limit)
    return jsonResponse(413, {{"error", "too large"}});
  bool Malformed = false;
  const std::vector<JournalRecord> Records = decodeRecords(Body, Malformed);
  if (Malformed)
    return jsonResponse(400, {{"error", "malformed records"}});
  const std::size_t MaxRecord = this->StoreBehaviour.MaxRecordBytes;
  const auto IsTooLarge = [MaxRecord](const JournalRecord &Record) {
    return Record.Key.size() + Record.Value.size() > MaxRecord;
  };
  if (MaxRecord > 0 && std::ranges::any_of(Records, IsTooLarge))
    return jsonResponse(413, {{"error", "a record is too large"}});
  const Producer Writer{queryValue(Query, "producer_id"),
                        queryNumber(Query, "epoch"),
                        queryNumber(Query, "sequence")};
  std::optional<std::int64_t> ExpectedEnd;
  if (!queryValue(Query, "at").empty())
    ExpectedEnd = queryNumber(Query, "at");
  const AppendAnswer Answer = this->Store.append(queryValue(Query, "topic"),
                                                 Records, Writer, ExpectedEnd);
  this->RecordsAppended.notify();
  return appendResponse(Answer);
}

asio::awaitable<HttpResponse> PlatformServer::serveRead(std::string Query) {
  const std::string Topic = queryValue(Query, "topic");
  const std::int64_t From = queryNumber(Query, "from");
  const Duration Wait{queryNumber(Query, "wait_ms")};
  const Instant StartedAt = this->Time.monotonic();
  const auto Silent = [this, Wait] {
    return this->StoreBehaviour.WatchesSilent && Wait.Ms > 0;
  };
  while (Silent() || From >= this->Store.endOffset(Topic)) {
    const Duration Remaining = Wait - (this->Time.monotonic() - StartedAt);
    if (Remaining.Ms <= 0)
      break;
    co_await this->RecordsAppended.wait(Remaining);
  }
  if (From < this->Store.firstOffset(Topic))
    co_return jsonResponse(410,
                           {{"first_offset", this->Store.firstOffset(Topic)}});
  // A silent watch shows the topic as if nothing had been appended.
  const std::int64_t End = Silent() ? From : this->Store.endOffset(Topic);
  std::vector<JournalRecord> Records;
  if (!Silent())
    Records = this->Store.read(Topic, From);
  HttpResponse Response;
  Response.Status = 200;
  Response.Body = bigEndian(End) + bigEndian(this->Store.firstOffset(Topic)) +
                  encodeRecords(Records);
  co_return Response;
}

HttpResponse PlatformServer::serveNewest(const std::string &Query) const {
  const std::string Topic = queryValue(Query, "topic");
  const auto Page =
      this->Store.newest(Topic, queryValue(Query, "after"), PageSize);
  std::string Items;
  for (const LogStore::StoredRecord &Entry : Page) {
    const std::string &Key = Entry.Record.Key;
    Items += Items.empty() ? "" : ",";
    Items += R"({"key":)";
    Items += this->StoreBehaviour.RawKeys ? "\"" + Key + "\"" : dumpJson(Key);
    Items += R"(,"value":")" + encodeBase64(Entry.Record.Value);
    Items += R"(","offset":)" + std::to_string(Entry.Offset) + "}";
  }
  HttpResponse Response;
  Response.Status = 200;
  Response.Body = R"({"items":[)" + Items + R"(],"has_more":)";
  Response.Body += Page.size() == PageSize ? "true" : "false";
  Response.Body += R"(,"end_offset":)";
  Response.Body += std::to_string(this->Store.endOffset(Topic)) + "}";
  return Response;
}

} // namespace pistachioflow
