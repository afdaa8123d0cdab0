#include "pistachioflow/entry/topic_fold.hpp"

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "pistachioflow/entry/job_status_table.hpp"
#include "pistachioflow/entry/journal_state.hpp"

namespace pistachioflow {

namespace {

/// The reader owns the epochs with even numbers, another instance the others.
bool isOurs(std::int64_t Epoch) { return Epoch % 2 == 0; }

constexpr JournalTimes Times{{1'000'000}, 1'000'000, {1'006'000}};

/// The whole content of a journal, with the ends of its appends.
struct JournalLog {
  std::vector<JournalRecord> Records;
  std::vector<std::int64_t> AppendEnds;

  void append(std::vector<JournalRecord> Appended) {
    this->Records.insert(this->Records.end(), Appended.begin(), Appended.end());
    this->AppendEnds.push_back(static_cast<std::int64_t>(this->Records.size()));
  }
};

/// The newest record of each key among the first \p Count.
TopicRecords foldOf(const JournalLog &Log, std::int64_t Count) {
  TopicRecords Newest;
  for (std::int64_t Offset = 0; Offset < Count; ++Offset) {
    const JournalRecord &Record = Log.Records[static_cast<std::size_t>(Offset)];
    if (const auto Old = Newest.find(Record); Old != Newest.end())
      Newest.erase(Old);
    if (!Record.Value.empty())
      Newest.insert(Record);
  }
  return Newest;
}

class Dice {
public:
  explicit Dice(std::uint64_t Seed) : Random(Seed) {}

  std::size_t below(std::size_t Limit) {
    return static_cast<std::size_t>(this->Random() % Limit);
  }
  bool oneIn(std::size_t Count) { return this->below(Count) == 0; }
  const std::string &pick(const std::set<std::string> &Names) {
    return *std::next(Names.begin(),
                      static_cast<std::ptrdiff_t>(this->below(Names.size())));
  }

private:
  std::mt19937_64 Random;
};

std::string idOf(std::size_t Number) {
  const std::string Digits = std::to_string(Number);
  return std::string(16 - Digits.size(), '0') + Digits;
}

JournalRecord ownershipRecord(std::int64_t Epoch, std::int64_t Heartbeat) {
  return {ownershipKey(),
          encodeRecord(OwnershipRecord{Epoch, "e/1", Heartbeat, false, 100})};
}

/// Appends as instances do: callers' records at any time, claims in turns, and
/// what the other instance records while it is the owner.
class LogWriter {
public:
  LogWriter(JournalLog &Log, Dice &Random) : Log(Log), Random(Random) {}

  void claim() { this->Log.append({ownershipRecord(++this->Epoch, 0)}); }

  void appendAny() {
    const std::size_t Kind = this->Random.below(8);
    if (Kind < 3 || this->Jobs.empty())
      this->submit();
    else if (Kind == 3)
      this->cancel(this->Random.pick(this->Jobs));
    else if (Kind == 4)
      this->Log.append({ownershipRecord(this->Epoch, ++this->Heartbeats)});
    else if (!isOurs(this->Epoch))
      this->appendOfOwner(Kind, this->Random.pick(this->Jobs));
  }

private:
  void submit() {
    const bool Repeated = !this->Jobs.empty() && this->Random.oneIn(4);
    const std::string Id = Repeated ? this->Random.pick(this->Jobs)
                                    : idOf(this->Random.below(1'000'000));
    SubmissionRecord Record;
    Record.Queue = "queue";
    Record.Job.Steps.resize(1);
    this->Log.append({{submissionKey(Id), encodeRecord(Record)}});
    this->Jobs.insert(Id);
  }

  void cancel(const std::string &Id) {
    this->Log.append(
        {{cancellationKey(Id), encodeRecord(CancellationRecord{1})}});
  }

  void appendOfOwner(std::size_t Kind, const std::string &Id) {
    if (Kind == 5) {
      UnitRecord Unit;
      Unit.Run = static_cast<std::int64_t>(1 + this->Random.below(3));
      this->Log.append(
          {{unitKey(Id + ".0.0.0"), encodeRecord(Unit)},
           {phaseKey(Id), encodeRecord(JobPhaseRecord{JobPhase::Running, 0})}});
    } else if (Kind == 6) {
      this->Log.append({{unitKey(Id + ".0.0.0"), {}},
                        {phaseKey(Id), encodeRecord(JobPhaseRecord{
                                           JobPhase::Completed, 1'000})}});
    } else {
      this->Log.append({{unitKey(Id + ".0.0.0"), {}},
                        {submissionKey(Id), {}},
                        {cancellationKey(Id), {}},
                        {phaseKey(Id), {}}});
      this->Jobs.erase(Id);
    }
  }

  JournalLog &Log;
  Dice &Random;
  std::set<std::string> Jobs;
  std::int64_t Epoch = 1;
  std::int64_t Heartbeats = 0;
};

JournalLog randomLog(Dice &Random) {
  JournalLog Log;
  LogWriter Writer(Log, Random);
  const std::size_t Count = 5 + Random.below(60);
  const std::size_t Claims = 1 + Random.below(4);
  std::multiset<std::size_t> ClaimsAt;
  for (std::size_t Claim = 0; Claim < Claims; ++Claim)
    ClaimsAt.insert(Random.below(Count + Count / 4));
  for (std::size_t Index = 0; Index < Count; ++Index) {
    for (std::size_t Left = ClaimsAt.count(Index); Left > 0; --Left)
      Writer.claim();
    Writer.appendAny();
  }
  return Log;
}

/// A store that holds the first records of a log, and forgets older ones.
class Store {
public:
  Store(const JournalLog &Log, Dice &Random) : Log(Log), Random(Random) {}

  bool complete() const { return this->Appends == this->Log.AppendEnds.size(); }
  /// Whether nothing is left to be read from \p Offset on.
  bool readUpTo(std::int64_t Offset) const {
    return this->complete() && Offset >= this->End;
  }

  /// What happens between two calls of a reader.
  void advance() {
    const std::size_t Left = this->Log.AppendEnds.size() - this->Appends;
    const std::size_t Appended = std::min(Left, this->Random.below(4));
    this->Appends += Appended;
    if (this->Appends > 0)
      this->End = this->Log.AppendEnds[this->Appends - 1];
    if (!this->complete() && this->Random.oneIn(4))
      this->First = this->End;
  }

  NewestPage page(const std::string &AfterKey) {
    const std::size_t Limit = 1 + this->Random.below(12);
    NewestPage Page;
    Page.Outcome = ReadOutcome::Read;
    Page.EndOffset = this->End;
    const TopicRecords Newest = foldOf(this->Log, this->End);
    for (auto Record = Newest.upper_bound(AfterKey); Record != Newest.end();
         ++Record) {
      Page.HasMore = Page.Records.size() == Limit;
      if (Page.HasMore)
        break;
      Page.Records.push_back(*Record);
      Page.LastKey = Record->Key;
    }
    return Page;
  }

  ReadAnswer read(std::int64_t From) {
    ReadAnswer Answer;
    Answer.Outcome =
        From < this->First ? ReadOutcome::Expired : ReadOutcome::Read;
    Answer.EndOffset = this->End;
    const auto Limit = static_cast<std::int64_t>(1 + this->Random.below(6));
    for (std::int64_t Offset = From; Answer.Outcome == ReadOutcome::Read &&
                                     Offset < std::min(this->End, From + Limit);
         ++Offset)
      Answer.Records.push_back(
          this->Log.Records[static_cast<std::size_t>(Offset)]);
    return Answer;
  }

private:
  const JournalLog &Log;
  Dice &Random;
  std::size_t Appends = 0;
  std::int64_t End = 0;
  std::int64_t First = 0;
};

/// An instance without I/O: job statuses, and the table while it is the owner.
class Reader {
public:
  explicit Reader(const JournalLog &Log)
      : Log(Log),
        Fold({[this](const TopicRecords &Records) { this->replace(Records); },
              [this](const JournalRecord &Record) { this->apply(Record); },
              [] {}}) {}

  /// Reads until the store holds nothing more.
  void readAll(Store &Source) {
    while (!this->Fold.loaded() || !Source.readUpTo(this->Fold.nextOffset())) {
      Source.advance();
      if (this->Fold.needsPage()) {
        this->Fold.addPage(Source.page(this->Fold.afterKey()));
        continue;
      }
      ReadAnswer Answer = Source.read(this->Fold.nextOffset());
      if (Answer.Outcome == ReadOutcome::Expired)
        this->Fold.reload();
      else
        this->Fold.addRecords(std::move(Answer));
    }
  }

  JobStatusTable Statuses;
  std::optional<JobTable> Table; ///< Once the term has a state.
  bool IsOwner = false;
  bool AlwaysWhole = true; ///< Each load was the journal up to its end.

private:
  void replace(const TopicRecords &Records) {
    const TopicRecords Expected = foldOf(this->Log, this->Fold.nextOffset());
    const auto Same = [](const JournalRecord &Left,
                         const JournalRecord &Right) {
      return Left.Key == Right.Key && Left.Value == Right.Value;
    };
    this->AlwaysWhole =
        this->AlwaysWhole && std::ranges::equal(Records, Expected, Same);
    this->Statuses.clear();
    for (const JournalRecord &Record : Records)
      this->Statuses.apply(Record);
    if (this->Table)
      mergeIntoTable(*this->Table, Records, Times);
    else if (this->IsOwner)
      restoreTable(this->Table.emplace(), Records, Times);
    const auto Ownership = Records.find(ownershipKey());
    if (Ownership != Records.end())
      this->applyOwnership(*Ownership);
  }

  void apply(const JournalRecord &Record) {
    this->Statuses.apply(Record);
    if (this->Table)
      applyToTable(*this->Table, Record, Times);
    if (Record.Key == ownershipKey())
      this->applyOwnership(Record);
  }

  void applyOwnership(const JournalRecord &Record) {
    const auto Decoded = decodeRecord<OwnershipRecord>(Record.Value);
    if (Decoded->Epoch == this->Epoch)
      return;
    this->Epoch = Decoded->Epoch;
    this->Table.reset();
    this->IsOwner = isOurs(this->Epoch);
    if (this->IsOwner)
      this->Fold.reload();
  }

  const JournalLog &Log;
  std::int64_t Epoch = 0;
  TopicFold Fold;
};

/// The jobs that a submission in \p Log names, in any state.
std::set<std::string> idsIn(const JournalLog &Log) {
  std::set<std::string> Ids;
  for (const JournalRecord &Record : Log.Records)
    if (Record.Key.starts_with("j/"))
      Ids.insert(Record.Key.substr(2));
  return Ids;
}

std::string describe(const JobStatusTable &Statuses, const std::string &Id) {
  const JobStatusTable::Entry *Entry = Statuses.find(Id);
  return Entry
             ? Entry->Queue + " " + std::string(toString(reportedPhase(*Entry)))
             : "unknown";
}

std::string describe(JobTable &Table, const std::string &Id) {
  const Job *Entry = Table.find(Id);
  if (!Entry)
    return "unknown";
  std::string Text(toString(Entry->Phase));
  for (const auto &[Number, Opened] : Entry->Occurrences)
    for (const StepState &Step : Opened.Steps)
      for (const Unit &Part : Step.Units)
        Text += " " + Part.name() + " run " + std::to_string(Part.Run);
  return Text;
}

/// The phase that callers should see by the whole journal, and the phase that
/// the owner acts on.
std::string expectedPhase(const JobStatusTable &Statuses,
                          const std::string &Id) {
  const JobStatusTable::Entry *Entry = Statuses.find(Id);
  return Entry ? std::string(toString(reportedPhase(*Entry))) : "unknown";
}

std::string ownerPhase(JobTable &Table, const std::string &Id) {
  const Job *Entry = Table.find(Id);
  return Entry ? std::string(toString(Entry->Phase)) : "unknown";
}

struct Difference {
  std::uint64_t Seed = 0;
  std::string Text;
};

/// Plays one random journal and returns where a reader differs from the log.
std::vector<Difference> play(std::uint64_t Seed) {
  Dice Random(Seed);
  const JournalLog Log = randomLog(Random);
  Store Source(Log, Random);
  Reader Instance(Log);
  Instance.readAll(Source);
  const TopicRecords Whole =
      foldOf(Log, static_cast<std::int64_t>(Log.Records.size()));
  JobStatusTable Statuses;
  for (const JournalRecord &Record : Whole)
    Statuses.apply(Record);
  JobTable Table;
  restoreTable(Table, Whole, Times);
  std::vector<Difference> Found;
  const auto compare = [&](const std::string &Subject, const std::string &Is,
                           const std::string &Expected) {
    if (Is != Expected)
      Found.push_back({Seed, Subject + ": " + Is + ", expected " + Expected});
  };
  compare("loads", Instance.AlwaysWhole ? "whole" : "a fragment", "whole");
  if (Instance.IsOwner && !Instance.Table)
    Found.push_back({Seed, "the term has no state"});
  for (const std::string &Id : idsIn(Log)) {
    compare("status of " + Id, describe(Instance.Statuses, Id),
            describe(Statuses, Id));
    if (!Instance.Table)
      continue;
    compare("job " + Id, describe(*Instance.Table, Id), describe(Table, Id));
    compare("phase of " + Id, ownerPhase(*Instance.Table, Id),
            expectedPhase(Statuses, Id));
  }
  compare("statuses", std::to_string(Instance.Statuses.size()),
          std::to_string(Statuses.size()));
  return Found;
}

} // namespace

// Guards against completed jobs that run again and cancelled jobs that run, by
// a journal that is taken for whole too early or applied in the wrong order.
TEST_CASE("however the journal is read, its state is that of the whole log") {
  constexpr std::uint64_t Seeds = 4'000;
  std::set<std::uint64_t> Failed;
  std::vector<std::string> Examples;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    for (const Difference &Found : play(Seed)) {
      if (Failed.insert(Found.Seed).second && Failed.size() <= 3)
        Examples.push_back("seed " + std::to_string(Found.Seed) + ": " +
                           Found.Text);
    }
  CAPTURE(Examples);
  REQUIRE(Failed.size() == 0);
}

} // namespace pistachioflow
