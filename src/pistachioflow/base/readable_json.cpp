#include "pistachioflow/base/readable_json.hpp"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>

namespace pistachioflow {

namespace {

constexpr std::string_view Replacement = "\xef\xbf\xbd";
/// Size of an escaped code unit: "\u" and four digits.
constexpr std::size_t EscapeSize = 6;
constexpr std::uint32_t NoCodeUnit = 0;

unsigned char byteAt(std::string_view Text, std::size_t At) {
  return At < Text.size() ? static_cast<unsigned char>(Text[At]) : 0;
}

bool isWithin(std::uint32_t Value, std::uint32_t First, std::uint32_t Last) {
  return Value >= First && Value <= Last;
}

/// Returns the size of the UTF-8 character that \p Text begins with, or 0 if it
/// begins with none.
std::size_t characterSize(std::string_view Text) {
  const unsigned char Lead = byteAt(Text, 0);
  if (Lead < 0x80)
    return 1;
  const std::size_t Size = isWithin(Lead, 0xc2, 0xdf)   ? 2
                           : isWithin(Lead, 0xe0, 0xef) ? 3
                           : isWithin(Lead, 0xf0, 0xf4) ? 4
                                                        : 0;
  if (Size == 0 || Size > Text.size())
    return 0;
  // Longer forms than needed, halves of pairs, and beyond the last character.
  const unsigned char First = Lead == 0xe0 ? 0xa0 : Lead == 0xf0 ? 0x90 : 0x80;
  const unsigned char Last = Lead == 0xed ? 0x9f : Lead == 0xf4 ? 0x8f : 0xbf;
  const bool Continues =
      std::ranges::all_of(Text.substr(1, Size - 1), [](char Character) {
        return isWithin(static_cast<unsigned char>(Character), 0x80, 0xbf);
      });
  return Continues && isWithin(byteAt(Text, 1), First, Last) ? Size : 0;
}

/// Returns the code unit of the escape that \p Text begins with, or NoCodeUnit.
std::uint32_t escapedCodeUnit(std::string_view Text) {
  constexpr int HexBase = 16;
  if (!Text.starts_with("\\u") || Text.size() < EscapeSize)
    return NoCodeUnit;
  std::uint32_t Unit = NoCodeUnit;
  const char *Begin = Text.data() + 2;
  const char *End = Text.data() + EscapeSize;
  return std::from_chars(Begin, End, Unit, HexBase).ptr == End ? Unit
                                                               : NoCodeUnit;
}

/// Copies the escape that \p Text begins with, or U+FFFD for half of a pair.
/// Returns the size of what it read.
std::size_t copyEscape(std::string_view Text, std::string &Readable) {
  const std::uint32_t Unit = escapedCodeUnit(Text);
  std::size_t Size = Unit == NoCodeUnit ? 2 : EscapeSize;
  const bool High = isWithin(Unit, 0xd800, 0xdbff);
  const bool Pair = High && isWithin(escapedCodeUnit(Text.substr(EscapeSize)),
                                     0xdc00, 0xdfff);
  if (Pair)
    Size += EscapeSize;
  const bool Half = !Pair && isWithin(Unit, 0xd800, 0xdfff);
  Readable += Half ? Replacement : Text.substr(0, Size);
  return std::min(Size, Text.size());
}

} // namespace

std::string readableJson(std::string_view Text) {
  constexpr unsigned char FirstPrintable = 0x20;
  std::string Readable;
  Readable.reserve(Text.size());
  bool InString = false;
  while (!Text.empty()) {
    if (InString && Text.front() == '\\') {
      Text.remove_prefix(copyEscape(Text, Readable));
      continue;
    }
    if (Text.front() == '"')
      InString = !InString;
    const std::size_t Size = characterSize(Text);
    const bool Control = InString && byteAt(Text, 0) < FirstPrintable;
    Readable += Size == 0 || Control ? Replacement : Text.substr(0, Size);
    Text.remove_prefix(std::max<std::size_t>(Size, 1));
  }
  return Readable;
}

} // namespace pistachioflow
