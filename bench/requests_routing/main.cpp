#include <cstdio>
#include <cstring>
#include <string>

#include "model.hpp"

using namespace pistachioflow;
using namespace pistachioflow::bench;

namespace {

constexpr double MsPerSecond = 1'000;

void printHeader() {
  std::printf(
      "| load | faults | routing | RP p50 | RP p95 | RP p99 | TR p50 | "
      "TR p95 | TR p99 | RR p50 | RR p95 | RR p99 | done/s | not run | "
      "unknown | sends per admitted |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
      "\n");
}

void printRow(const ModelSettings &Settings, const ModelResult &Result) {
  std::printf("| %.1f | %s | %s |", Settings.Load,
              toString(Settings.Happens).data(),
              toString(Settings.Route).data());
  std::uint64_t Offered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  for (std::size_t Class = 0; Class < RequestClasses; ++Class) {
    for (const double Part : {0.5, 0.95, 0.99})
      std::printf(" %.0f |",
                  Result.percentile(static_cast<RequestClass>(Class), Part));
    Offered += Result.ByClass[Class].Offered;
    NotRun += Result.ByClass[Class].NotRun;
    Unknown += Result.ByClass[Class].Unknown;
  }
  const auto Share = [Offered](std::uint64_t Count) {
    return 100.0 * static_cast<double>(Count) / static_cast<double>(Offered);
  };
  std::printf(
      " %.0f | %.1f%% | %.2f%% | %.3f |\n",
      static_cast<double>(Result.done()) * MsPerSecond / Result.MeasuredMs,
      Share(NotRun), Share(Unknown),
      static_cast<double>(Result.Sends) / static_cast<double>(Result.Admitted));
  std::fflush(stdout);
}

void runRow(ModelSettings Settings) { printRow(Settings, runModel(Settings)); }

void compareRouting() {
  std::printf("Milliseconds of answers in time; RP round pairings, TR tiebreak "
              "reports, RR rating recalculations.\n\n");
  printHeader();
  for (const Fault Happens :
       {Fault::None, Fault::SlowRunner, Fault::DomainLost, Fault::HalfDead})
    for (const double Load : {0.5, 0.9, 2.0})
      for (const Algorithm Route :
           {Algorithm::RoundRobin, Algorithm::Random,
            Algorithm::LeastOwnInFlight, Algorithm::Dispatch}) {
        ModelSettings Settings;
        Settings.Route = Route;
        Settings.Happens = Happens;
        Settings.Load = Load;
        runRow(Settings);
      }
}

void printGossipRow(const ModelSettings &Settings) {
  constexpr double Never = 1e9;
  const ModelResult Result = runModel(Settings);
  const std::string Every =
      Settings.GossipMs > Never
          ? "none"
          : std::to_string(static_cast<int>(Settings.GossipMs));
  std::printf(
      "| %s | %s | %s | %.1f | %.0f | %.0f | %.0f | %.3f |\n", Every.c_str(),
      Settings.RunnersQueue ? "wait" : "refuse",
      toString(Settings.Happens).data(), Settings.Load,
      Result.percentile(RequestClass::RoundPairing, 0.5),
      Result.percentile(RequestClass::RoundPairing, 0.99),
      static_cast<double>(Result.done()) * MsPerSecond / Result.MeasuredMs,
      static_cast<double>(Result.Sends) / static_cast<double>(Result.Admitted));
  std::fflush(stdout);
}

void compareGossip() {
  std::printf("\nBy the time between two gossips:\n\n| gossip ms | full "
              "runners | faults | load | RP p50 | RP p99 | done/s | sends per "
              "admitted |\n|---|---|---|---|---|---|---|---|\n");
  for (const bool RunnersQueue : {true, false})
    for (const double GossipMs : {50.0, 250.0, 1'000.0, 1e12})
      for (const Fault Happens : {Fault::None, Fault::SlowRunner})
        for (const double Load : {0.9, 2.0}) {
          ModelSettings Settings;
          Settings.GossipMs = GossipMs;
          Settings.RunnersQueue = RunnersQueue;
          Settings.Happens = Happens;
          Settings.Load = Load;
          printGossipRow(Settings);
        }
}

} // namespace

/// Prints the tables of the section "Requests" as Markdown. With the argument
/// "gossip", only those by the time between gossips.
int main(int Count, char **Arguments) {
  const bool OnlyGossip = Count > 1 && std::strcmp(Arguments[1], "gossip") == 0;
  if (!OnlyGossip)
    compareRouting();
  compareGossip();
  return 0;
}
