#include "pistachioflow/entry/rejected_entries.hpp"

namespace pistachioflow {

namespace {

/// Several times the workers of a large deployment would be no accident.
constexpr std::size_t MaxRejected = 1'024;
constexpr std::size_t MaxShownBytes = 60;

} // namespace

bool RejectedEntries::add(const std::string &Key, std::string_view Reason) {
  const auto Known = this->Reasons.find(Key);
  if (Known != this->Reasons.end()) {
    const bool Changed = Known->second != Reason;
    Known->second = Reason;
    return Changed;
  }
  if (this->Reasons.size() >= MaxRejected)
    return false;
  this->Reasons.emplace(Key, Reason);
  return true;
}

std::string printableKey(std::string_view Key) {
  constexpr std::string_view Hex = "0123456789abcdef";
  constexpr char FirstVisible = '!';
  constexpr char LastVisible = '~';
  std::string Text;
  for (const char Character : Key.substr(0, MaxShownBytes)) {
    if (Character >= FirstVisible && Character <= LastVisible) {
      Text += Character;
      continue;
    }
    const auto Byte = static_cast<unsigned char>(Character);
    Text += "\\x";
    Text += Hex[Byte >> 4U];
    Text += Hex[Byte & 0xfU];
  }
  return Key.size() > MaxShownBytes ? Text + "..." : Text;
}

} // namespace pistachioflow
