#include "Objects/SetDigest.h"

#include "Objects/Digest.h"
#include "Objects/ObjectCodec.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace anvil {

using Words = std::array<std::uint32_t, 8>;

/// The number of hexadecimal characters of one word.
static constexpr std::size_t HexCharsPerWord = 8;

/// Nothing when the text has the wrong length or contains a character that is
/// not a hexadecimal digit.
static std::optional<Words> parseWords(std::string_view Hex) {
  Words Parsed{};
  if (Hex.size() != Parsed.size() * HexCharsPerWord)
    return std::nullopt;
  for (std::size_t Index = 0; Index < Parsed.size(); ++Index) {
    const char *Begin = Hex.data() + Index * HexCharsPerWord;
    const char *End = Begin + HexCharsPerWord;
    if (std::from_chars(Begin, End, Parsed[Index], 16).ptr != End)
      return std::nullopt;
  }
  return Parsed;
}

static Words wordsOf(const AnyObject &Object) {
  return *parseWords(sha256Hex(encodeObject(Object).dump()));
}

std::optional<SetDigest> SetDigest::parse(std::string_view Text) {
  auto Parsed = parseWords(Text);
  if (!Parsed)
    return std::nullopt;
  SetDigest Digest;
  Digest.Sum_ = *Parsed;
  return Digest;
}

SetDigest SetDigest::compute(const ObjectSet &Objects) {
  SetDigest Digest;
  Objects.forEach([&](const auto &Object) { Digest.add(AnyObject(Object)); });
  return Digest;
}

void SetDigest::add(const AnyObject &Object) {
  Words Added = wordsOf(Object);
  std::uint64_t Carry = 0;
  for (std::size_t Index = 0; Index < Sum_.size(); ++Index) {
    Carry += std::uint64_t(Sum_[Index]) + Added[Index];
    Sum_[Index] = static_cast<std::uint32_t>(Carry);
    Carry >>= 32;
  }
}

void SetDigest::subtract(const AnyObject &Object) {
  Words Removed = wordsOf(Object);
  std::int64_t Borrow = 0;
  for (std::size_t Index = 0; Index < Sum_.size(); ++Index) {
    std::int64_t Difference =
        std::int64_t(Sum_[Index]) - std::int64_t(Removed[Index]) - Borrow;
    Borrow = Difference < 0;
    Sum_[Index] = static_cast<std::uint32_t>(Difference);
  }
}

/// The object of that kind and name in a set; nothing when there is none.
template <std::size_t Index = 0>
static std::optional<AnyObject>
findObject(const ObjectSet &Objects, ObjectKind Kind, const std::string &Name) {
  if constexpr (Index == std::variant_size_v<AnyObject>) {
    return std::nullopt;
  } else {
    using Type = std::variant_alternative_t<Index, AnyObject>;
    if (Type::Kind != Kind)
      return findObject<Index + 1>(Objects, Kind, Name);
    const Type *Found = Objects.find<Type>(Name);
    return Found ? std::optional<AnyObject>(*Found) : std::nullopt;
  }
}

void SetDigest::applyDelta(const ObjectSet &Base, const ChangeSet &Change) {
  // Only objects named in the change are visited. If it names an object more
  // than once, the state after the last mention counts.
  ObjectSet Subtracted;
  auto SubtractOld = [&](ObjectKind Kind, const std::string &Name) {
    if (findObject(Subtracted, Kind, Name))
      return;
    auto Old = findObject(Base, Kind, Name);
    if (!Old)
      return;
    subtract(*Old);
    Subtracted.put(std::move(*Old));
  };
  ObjectSet Added;
  for (const ObjectRemoval &Removal : Change.Removals_)
    SubtractOld(Removal.Kind_, Removal.Name_);
  for (const AnyObject &Object : Change.Put_) {
    std::visit([&](const auto &Typed) { SubtractOld(Typed.Kind, Typed.Name_); },
               Object);
    Added.put(Object);
  }
  Added.forEach([&](const auto &Object) { add(AnyObject(Object)); });
}

std::string SetDigest::hexText() const {
  std::string Hex;
  for (std::uint32_t Word : Sum_) {
    std::string Padded(HexCharsPerWord, '0');
    char Buffer[HexCharsPerWord];
    auto [End, Code] =
        std::to_chars(Buffer, Buffer + HexCharsPerWord, Word, 16);
    auto Count = static_cast<std::size_t>(End - Buffer);
    Padded.replace(HexCharsPerWord - Count, Count, Buffer, Count);
    Hex += Padded;
  }
  return Hex;
}

} // namespace anvil
