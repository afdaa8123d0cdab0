#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pistachioflow/port/memory_log.hpp"

namespace pistachioflow::schedule {

/// True time of a simulated schedule, in milliseconds.
using TrueTime = std::int64_t;

/// Draws the choices of one schedule.
class Chance {
public:
  explicit Chance(std::uint64_t Seed) : Generator(Seed) {}

  /// Returns a number of [0, End). Precondition: \p End is positive.
  std::int64_t below(std::int64_t End) {
    return static_cast<std::int64_t>(this->Generator() %
                                     static_cast<std::uint64_t>(End));
  }
  bool percent(int Share) { return this->below(100) < Share; }

private:
  std::mt19937_64 Generator;
};

/// One entry that took effect, kept beyond the log's retention.
struct Effect {
  TrueTime At = 0;
  std::string Bytes;
};

/// A log shared by simulated instances, with appends that are still on their
/// way. Keeps the whole history of each stream for the checker.
class SharedLog {
public:
  void take(const StreamName &Stream, const std::string &Bytes) {
    this->Kept.append(Stream, Bytes).value();
    this->History[Stream].push_back({this->Now, Bytes});
  }

  void takeLater(TrueTime At, const StreamName &Stream,
                 const std::string &Bytes) {
    this->OnTheWay.emplace(At, std::pair(Stream, Bytes));
  }

  /// Moves time on and lets the appends arrive that are due.
  void advanceTo(TrueTime Next) {
    while (!this->OnTheWay.empty() && this->OnTheWay.begin()->first <= Next) {
      auto Due = this->OnTheWay.extract(this->OnTheWay.begin());
      this->Now = std::max(this->Now, Due.key());
      this->take(Due.mapped().first, Due.mapped().second);
    }
    this->Now = std::max(this->Now, Next);
  }

  MemoryLog Kept;
  std::map<StreamName, std::vector<Effect>> History;
  TrueTime Now = 0;

private:
  std::multimap<TrueTime, std::pair<StreamName, std::string>> OnTheWay;
};

/// How often the calls of one instance fail, in percent.
struct FaultShares {
  int Down = 0;
  int LostAnswer = 0; ///< Took effect at once.
  int Delayed = 0;    ///< Takes effect later, or never.
  int Twice = 0;      ///< Takes effect now and once more later.
};

/// The way of one instance to the shared log.
class FaultyLog final : public LogService {
public:
  FaultyLog(SharedLog &Shared, Chance &Draw) : Shared(Shared), Draw(Draw) {}

  Result<Offset> append(const StreamName &Stream,
                        std::string_view Bytes) override {
    if (this->BeforeCall)
      this->BeforeCall();
    if (this->CutOff || this->Draw.percent(this->Faults.Down))
      return Error{ErrorCode::Unavailable, "down", {}};
    const std::string Copy(Bytes);
    if (this->Draw.percent(this->Faults.Delayed)) {
      if (this->Draw.percent(80))
        this->Shared.takeLater(this->later(), Stream, Copy);
      return Error{ErrorCode::UnknownOutcome, "no answer", {}};
    }
    this->Shared.take(Stream, Copy);
    if (this->Draw.percent(this->Faults.Twice))
      this->Shared.takeLater(this->later(), Stream, Copy);
    if (this->Draw.percent(this->Faults.LostAnswer))
      return Error{ErrorCode::UnknownOutcome, "answer lost", {}};
    return Offset{this->Shared.History[Stream].size() - 1};
  }

  Result<LogPage> read(const StreamName &Stream, Offset From,
                       std::size_t Limit) override {
    if (this->BeforeCall)
      this->BeforeCall();
    if (this->CutOff || this->Draw.percent(this->Faults.Down))
      return Error{ErrorCode::Unavailable, "down", {}};
    return this->Shared.Kept.read(Stream, From, Limit);
  }

  FaultShares Faults;
  bool CutOff = false;
  std::function<void()> BeforeCall;

private:
  TrueTime later() {
    constexpr TrueTime MaxDelayMs = 8'000;
    return this->Shared.Now + 1 + this->Draw.below(MaxDelayMs);
  }

  SharedLog &Shared;
  Chance &Draw;
};

} // namespace pistachioflow::schedule
