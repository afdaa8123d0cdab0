#include "pistachioflow/controller/keys_table.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace pistachioflow {

namespace {

/// The order of fields in a stored snapshot.
struct StoredKeys {
  std::vector<KeyEntry> Entries; ///< Oldest first.
  RetiredKeys Retired;
  OwnershipState Owner;
  MSGPACK_DEFINE(Entries, Retired, Owner)
};

void retire(RetiredKeys &Retired, const KeyHash &Key,
            const KeyRetention &Retention) {
  auto &Generations = Retired.Generations;
  const bool Full = Generations.empty() ||
                    Generations.back().size() >= Retention.RetiredPerGeneration;
  if (Full)
    Generations.emplace_back();
  if (Generations.size() > Retention.RetiredGenerations)
    Generations.erase(Generations.begin());
  auto &Newest = Generations.back();
  Newest.insert(std::upper_bound(Newest.begin(), Newest.end(), Key.Low),
                Key.Low);
}

bool isCurrent(const KeyTable &Table, const KeyTable::Begin &Begin) {
  const KeyEntry *Entry = findKey(Table, Begin.Key);
  return Entry != nullptr && Entry->Claim == Begin.Claim;
}

void retireOldest(KeyTable &Table, const KeyRetention &Retention) {
  while (Table.Entries.size() > Retention.MaxEntries) {
    const KeyTable::Begin Oldest = Table.Order.front();
    Table.Order.pop_front();
    if (!isCurrent(Table, Oldest))
      continue;
    Table.Entries.erase(Oldest.Key);
    retire(Table.Retired, Oldest.Key, Retention);
  }
}

/// Drops freed keys at the old end, so that Order stays in step with Entries.
void dropFreed(KeyTable &Table) {
  while (!Table.Order.empty() && !isCurrent(Table, Table.Order.front()))
    Table.Order.pop_front();
}

KeyChange foldBegun(KeyTable &Table, const RecordHeader &Header,
                    const RequestBegun &Begun) {
  const KeyHash Key = hashKey(Begun.Workspace, Begun.Key);
  KeyChange Change{KeyChange::Kind::Lost, Key, Begun.Claim, Header.Author};
  if (findKey(Table, Key) != nullptr || isRetired(Table, Key))
    return Change;
  Table.Entries[Key] = {Key, Begun.Claim, Begun.BodyDigest, 0, KeyPhase::Begun};
  Table.Order.push_back({Key, Begun.Claim});
  Change.What = KeyChange::Kind::Won;
  return Change;
}

std::optional<KeyChange> foldEnded(KeyTable &Table, const RecordHeader &Header,
                                   const RequestEnded &Ended, Offset At) {
  const KeyHash Key = hashKey(Ended.Workspace, Ended.Key);
  const auto Found = Table.Entries.find(Key);
  if (Found == Table.Entries.end())
    return std::nullopt;
  KeyEntry &Entry = Found->second;
  if (Entry.Claim != Ended.Claim || Entry.Phase != KeyPhase::Begun)
    return std::nullopt;
  KeyChange Change{KeyChange::Kind::Ended, Key, Ended.Claim, Header.Author};
  if (Ended.Outcome.State == RequestState::NotRun) {
    Table.Entries.erase(Found);
    Change.What = KeyChange::Kind::Freed;
    return Change;
  }
  Entry.EndAt = At;
  Entry.Phase = Ended.Outcome.State == RequestState::Done ? KeyPhase::Done
                                                          : KeyPhase::Unknown;
  return Change;
}

} // namespace

KeyHash hashKey(const WorkspaceId &Workspace, std::string_view Key) {
  const std::string_view Name = Workspace.Value;
  const XXH64_hash_t Seed = XXH3_64bits(Name.data(), Name.size());
  const XXH128_hash_t Hash =
      XXH3_128bits_withSeed(Key.data(), Key.size(), Seed);
  return {Hash.high64, Hash.low64};
}

std::uint64_t digestBody(std::string_view Body) {
  return XXH3_64bits(Body.data(), Body.size());
}

std::vector<KeyChange> foldKeys(KeyTable &Table, const Record &Value, Offset At,
                                const KeyRetention &Retention) {
  std::vector<KeyChange> Changes;
  foldOwnership(Table.Owner, Value);
  const auto *Appended = std::get_if<KeysAppended>(&Value.What);
  if (Appended == nullptr)
    return Changes;
  for (const KeyRecord &Each : Appended->Records) {
    if (const auto *Begun = std::get_if<RequestBegun>(&Each.What)) {
      Changes.push_back(foldBegun(Table, Value.Header, *Begun));
      continue;
    }
    const auto &Ended = std::get<RequestEnded>(Each.What);
    if (auto Change = foldEnded(Table, Value.Header, Ended, At))
      Changes.push_back(std::move(*Change));
  }
  retireOldest(Table, Retention);
  dropFreed(Table);
  return Changes;
}

const KeyEntry *findKey(const KeyTable &Table, const KeyHash &Key) {
  const auto Found = Table.Entries.find(Key);
  return Found == Table.Entries.end() ? nullptr : &Found->second;
}

bool isRetired(const KeyTable &Table, const KeyHash &Key) {
  const auto &Generations = Table.Retired.Generations;
  return std::any_of(Generations.begin(), Generations.end(),
                     [&Key](const std::vector<std::uint64_t> &Sorted) {
                       return std::binary_search(Sorted.begin(), Sorted.end(),
                                                 Key.Low);
                     });
}

std::vector<char> saveKeys(const KeyTable &Table) {
  StoredKeys Stored{{}, Table.Retired, Table.Owner};
  for (const KeyTable::Begin &Begin : Table.Order)
    if (isCurrent(Table, Begin))
      Stored.Entries.push_back(*findKey(Table, Begin.Key));
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Stored);
  return {Buffer.data(), Buffer.data() + Buffer.size()};
}

Result<KeyTable> loadKeys(std::span<const char> Bytes) {
  KeyTable Table;
  if (Bytes.empty())
    return Table;
  try {
    const auto Handle = msgpack::unpack(Bytes.data(), Bytes.size());
    auto Stored = Handle.get().as<StoredKeys>();
    Table.Retired = std::move(Stored.Retired);
    Table.Owner = Stored.Owner;
    for (const KeyEntry &Entry : Stored.Entries) {
      Table.Order.push_back({Entry.Key, Entry.Claim});
      Table.Entries.emplace(Entry.Key, Entry);
    }
  } catch (const std::exception &Failure) {
    return Error{ErrorCode::InvalidInput, Failure.what(), {}};
  }
  return Table;
}

} // namespace pistachioflow
