#include "Objects/SetDigest.h"

#include "Objects/Digest.h"
#include "Objects/ObjectCodec.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace anvil {

using Digits = std::array<std::uint32_t, 8>;

/// The hexadecimal signs of one digit.
static constexpr std::size_t DigitSigns = 8;

/// Nothing when the text has another length or other signs than digits.
static std::optional<Digits> parseDigits(std::string_view Hex) {
  Digits Parsed{};
  if (Hex.size() != Parsed.size() * DigitSigns)
    return std::nullopt;
  for (std::size_t Index = 0; Index < Parsed.size(); ++Index) {
    const char *Begin = Hex.data() + Index * DigitSigns;
    const char *End = Begin + DigitSigns;
    if (std::from_chars(Begin, End, Parsed[Index], 16).ptr != End)
      return std::nullopt;
  }
  return Parsed;
}

static Digits digitsOf(const AnyObject &Object) {
  return *parseDigits(sha256Hex(encodeObject(Object).dump()));
}

std::optional<SetDigest> SetDigest::parse(std::string_view Text) {
  auto Parsed = parseDigits(Text);
  if (!Parsed)
    return std::nullopt;
  SetDigest Read;
  Read.Sum_ = *Parsed;
  return Read;
}

SetDigest SetDigest::of(const ObjectSet &Objects) {
  SetDigest Whole;
  Objects.forEach([&](const auto &Object) { Whole.add(AnyObject(Object)); });
  return Whole;
}

void SetDigest::add(const AnyObject &Object) {
  Digits Added = digitsOf(Object);
  std::uint64_t Carry = 0;
  for (std::size_t Index = 0; Index < Sum_.size(); ++Index) {
    Carry += std::uint64_t(Sum_[Index]) + Added[Index];
    Sum_[Index] = static_cast<std::uint32_t>(Carry);
    Carry >>= 32;
  }
}

void SetDigest::subtract(const AnyObject &Object) {
  Digits Removed = digitsOf(Object);
  std::int64_t Borrow = 0;
  for (std::size_t Index = 0; Index < Sum_.size(); ++Index) {
    std::int64_t Left =
        std::int64_t(Sum_[Index]) - std::int64_t(Removed[Index]) - Borrow;
    Borrow = Left < 0;
    Sum_[Index] = static_cast<std::uint32_t>(Left);
  }
}

/// The object of a kind and name as it is in a set.
template <std::size_t Index = 0>
static std::optional<AnyObject>
objectIn(const ObjectSet &Objects, ObjectKind Kind, const std::string &Name) {
  if constexpr (Index == std::variant_size_v<AnyObject>) {
    return std::nullopt;
  } else {
    using Type = std::variant_alternative_t<Index, AnyObject>;
    if (Type::Kind != Kind)
      return objectIn<Index + 1>(Objects, Kind, Name);
    const Type *Found = Objects.find<Type>(Name);
    return Found ? std::optional<AnyObject>(*Found) : std::nullopt;
  }
}

void SetDigest::follow(const ObjectSet &Base, const ChangeSet &Change) {
  // Only the objects that the change touches are looked at; one that it names
  // twice counts as it is after the last mention.
  ObjectSet Touched;
  auto Begin = [&](ObjectKind Kind, const std::string &Name) {
    if (objectIn(Touched, Kind, Name))
      return;
    auto Old = objectIn(Base, Kind, Name);
    if (!Old)
      return;
    subtract(*Old);
    Touched.put(std::move(*Old));
  };
  ObjectSet After;
  for (const ObjectRemoval &Removal : Change.Removals_)
    Begin(Removal.Kind_, Removal.Name_);
  for (const AnyObject &Object : Change.Put_) {
    std::visit([&](const auto &Typed) { Begin(Typed.Kind, Typed.Name_); },
               Object);
    After.put(Object);
  }
  After.forEach([&](const auto &Object) { add(AnyObject(Object)); });
}

std::string SetDigest::text() const {
  std::string Hex;
  for (std::uint32_t Digit : Sum_) {
    std::string Signs(DigitSigns, '0');
    char Buffer[DigitSigns];
    auto [End, Code] = std::to_chars(Buffer, Buffer + DigitSigns, Digit, 16);
    auto Count = static_cast<std::size_t>(End - Buffer);
    Signs.replace(DigitSigns - Count, Count, Buffer, Count);
    Hex += Signs;
  }
  return Hex;
}

} // namespace anvil
