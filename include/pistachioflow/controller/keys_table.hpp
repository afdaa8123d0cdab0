#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

#include "pistachioflow/base/clock.hpp"
#include "pistachioflow/base/id.hpp"
#include "pistachioflow/base/result.hpp"
#include "pistachioflow/controller/ownership.hpp"
#include "pistachioflow/model/record.hpp"
#include "pistachioflow/port/log_service.hpp"

namespace pistachioflow {

/// Stands for one (workspace, key); 128 bits, the same on every instance.
struct KeyHash {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  auto operator<=>(const KeyHash &) const = default;
  MSGPACK_DEFINE(High, Low)
};

KeyHash hashKey(const WorkspaceId &Workspace, std::string_view Key);

/// Tells a repeat of a request from another request under the same key.
std::uint64_t digestBody(std::string_view Body);

enum class KeyPhase : std::uint8_t {
  Begun,   ///< May be running, or its instance died.
  Done,    ///< Ran; its outcome stands in the record at EndAt.
  Unknown, ///< May have run; never run again.
};

/// What is known of one key.
struct KeyEntry {
  KeyHash Key;
  std::uint64_t Claim = 0;
  std::uint64_t BodyDigest = 0;
  Offset EndAt = 0;
  KeyPhase Phase = KeyPhase::Begun;

  bool operator==(const KeyEntry &) const = default;
  MSGPACK_DEFINE(Key, Claim, BodyDigest, EndAt, Phase)
};

/// The keys that left the table: only that they were used is kept.
/// The oldest generation is dropped when the newest one is full.
struct RetiredKeys {
  /// Sorted low halves of the hashes; the newest generation is last.
  std::vector<std::vector<std::uint64_t>> Generations;

  bool operator==(const RetiredKeys &) const = default;
  MSGPACK_DEFINE(Generations)
};

/// How many keys of one stream are remembered, counted and not timed: a wall
/// clock that jumps must not make a fold forget. Part of the fold, and so the
/// same for every instance of a cluster.
struct KeyRetention {
  std::size_t MaxEntries = 8'192; ///< With phase and place of the outcome.
  std::size_t RetiredPerGeneration = 65'536;
  std::size_t RetiredGenerations = 2;
};

/// The folded state of one key stream. Not thread safe.
struct KeyTable {
  struct Begin {
    KeyHash Key;
    std::uint64_t Claim = 0;
    bool operator==(const Begin &) const = default;
    MSGPACK_DEFINE(Key, Claim)
  };
  struct HashOfKey {
    std::size_t operator()(const KeyHash &Key) const noexcept {
      return Key.High;
    }
  };

  std::unordered_map<KeyHash, KeyEntry, HashOfKey> Entries;
  std::deque<Begin> Order; ///< Entries by age; freed ones are skipped.
  RetiredKeys Retired;
  OwnershipState Owner;
};

/// What one key record did.
struct KeyChange {
  enum class Kind : std::uint8_t { Won, Lost, Ended, Freed };
  Kind What = Kind::Won;
  KeyHash Key;
  std::uint64_t Claim = 0; ///< The claim of the record.
  InstanceId Author;
};

/// Folds one record at \p At and returns what it did, in the record's order.
/// The result depends on the order of the records alone.
std::vector<KeyChange> foldKeys(KeyTable &Table, const Record &Value, Offset At,
                                const KeyRetention &Retention);

/// Returns the entry of \p Key, or null.
const KeyEntry *findKey(const KeyTable &Table, const KeyHash &Key);

/// Tells whether \p Key was used and has left the table.
bool isRetired(const KeyTable &Table, const KeyHash &Key);

/// Encodes the table for a snapshot.
std::vector<char> saveKeys(const KeyTable &Table);

/// Errors: InvalidInput.
Result<KeyTable> loadKeys(std::span<const char> Bytes);

} // namespace pistachioflow

MSGPACK_ADD_ENUM(pistachioflow::KeyPhase)
