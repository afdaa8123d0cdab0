#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "pistachioflow/clients/http_clients.hpp"
#include "pistachioflow/clients/wire.hpp"
#include "pistachioflow/standin/server.hpp"

// Weighs how records travel between the daemon and the platform's log, and
// whether connections are worth keeping. The figures stand in
// docs/design/edges.md.

using namespace pistachioflow;

namespace {

constexpr std::size_t RecordBytes = 600;
constexpr std::size_t PageEntries = 500;
constexpr Duration Timeout{5'000};

LogPage samplePage() {
  LogPage Page;
  for (Offset At = 0; At < PageEntries; ++At)
    Page.Entries.push_back({At, std::string(RecordBytes, '\x9c')});
  Page.Next = PageEntries;
  return Page;
}

std::string base64(std::string_view Bytes) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr unsigned Mask = 0x3f;
  std::string Text;
  Text.reserve(Bytes.size() * 4 / 3 + 4);
  for (std::size_t At = 0; At + 2 < Bytes.size(); At += 3) {
    const auto Byte = [&](std::size_t Offset) {
      return static_cast<unsigned>(
          static_cast<unsigned char>(Bytes[At + Offset]));
    };
    const unsigned Word = Byte(0) << 16U | Byte(1) << 8U | Byte(2);
    for (const unsigned Shift : {18U, 12U, 6U, 0U})
      Text += Digits[Word >> Shift & Mask];
  }
  return Text;
}

std::string encodeAsJson(const LogPage &Page) {
  nlohmann::json Items = nlohmann::json::array();
  for (const LogEntry &Entry : Page.Entries)
    Items.push_back({{"at", Entry.At}, {"bytes", base64(Entry.Bytes)}});
  return Items.dump();
}

void encodeMsgpack(benchmark::State &Run) {
  const LogPage Page = samplePage();
  std::size_t Bytes = 0;
  for (auto Step : Run)
    benchmark::DoNotOptimize(Bytes = encodePage(Page).size());
  Run.counters["page_bytes"] = static_cast<double>(Bytes);
}

void encodeJson(benchmark::State &Run) {
  const LogPage Page = samplePage();
  std::size_t Bytes = 0;
  for (auto Step : Run)
    benchmark::DoNotOptimize(Bytes = encodeAsJson(Page).size());
  Run.counters["page_bytes"] = static_cast<double>(Bytes);
}

void decodeMsgpack(benchmark::State &Run) {
  const std::string Bytes = encodePage(samplePage());
  for (auto Step : Run)
    benchmark::DoNotOptimize(decodePage(Bytes));
}

void parseJsonPage(benchmark::State &Run) {
  const std::string Text = encodeAsJson(samplePage());
  for (auto Step : Run)
    benchmark::DoNotOptimize(nlohmann::json::parse(Text));
}

/// Appends over HTTP, with as many kept connections as the argument says.
void appendOverHttp(benchmark::State &Run) {
  const SystemClock Time;
  standin::ServerSettings Settings;
  Settings.Threads = 16;
  standin::Server Platform(Settings, Time);
  const std::uint16_t Port = Platform.start().value();
  HttpPool Pool(
      {{"127.0.0.1", Port}, Timeout, static_cast<std::size_t>(Run.range(0))},
      Time);
  HttpLogService Log(Pool, Timeout);
  const std::string Record(RecordBytes, '\x9c');
  for (auto Step : Run)
    benchmark::DoNotOptimize(Log.append({"cell/main"}, Record));
  Run.counters["connections"] = static_cast<double>(Pool.opened());
}

BENCHMARK(encodeMsgpack)->Unit(benchmark::kMicrosecond);
BENCHMARK(encodeJson)->Unit(benchmark::kMicrosecond);
BENCHMARK(decodeMsgpack)->Unit(benchmark::kMicrosecond);
BENCHMARK(parseJsonPage)->Unit(benchmark::kMicrosecond);
BENCHMARK(appendOverHttp)
    ->Arg(0)
    ->Arg(8)
    ->Unit(benchmark::kMicrosecond)
    ->UseRealTime();

} // namespace

BENCHMARK_MAIN();
