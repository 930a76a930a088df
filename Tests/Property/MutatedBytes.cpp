#include "Property/MutatedBytes.h"

#include <string_view>

namespace anvil {

using namespace std::string_view_literals;

/// JSON values, valid or not.
static constexpr std::string_view JsonValues[] = {
    "null"sv,
    "true"sv,
    "0"sv,
    "-1"sv,
    "1.5"sv,
    "-0.0"sv,
    "1e-400"sv,
    "1e400"sv,
    "1.7e308"sv,
    "-1.7e308"sv,
    "1e15"sv,
    "2147483648"sv,
    "4294967295"sv,
    "9223372036854775807"sv,
    "-9223372036854775808"sv,
    "9223372036854775808"sv,
    "18446744073709551615"sv,
    "18446744073709551616"sv,
    "NaN"sv,
    "\"\""sv,
    "\"\\u0000\""sv,
    "\"\\ud800\""sv,
    "\"\xff\xfe\""sv,
    "\"7\""sv,
    "\"a@18446744073709551616\""sv,
    "[]"sv,
    "{}"sv,
    "[null]"sv,
    "[[[[[[0]]]]]]"sv,
    "{\"\":{\"\":{}}}"sv};

/// The beginnings of msgpack values: lengths that lie, numbers at the ends of
/// their ranges, nested lists, nothing.
static constexpr std::string_view MsgpackValues[] = {
    "\xdd\xff\xff\xff\xff"sv,
    "\xdc\xff\xff"sv,
    "\xdf\xff\xff\xff\xff"sv,
    "\xdb\xff\xff\xff\xff"sv,
    "\xc6\xff\xff\xff\xff"sv,
    "\xc1"sv,
    "\xc0"sv,
    "\xcf\xff\xff\xff\xff\xff\xff\xff\xff"sv,
    "\xd3\x80\x00\x00\x00\x00\x00\x00\x00"sv,
    "\xd3\x7f\xff\xff\xff\xff\xff\xff\xff"sv,
    "\xcb\x7f\xf0\x00\x00\x00\x00\x00\x00"sv,
    "\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00"sv,
    "\xcb\x7f\xef\xff\xff\xff\xff\xff\xff"sv,
    "\xcb\xff\xef\xff\xff\xff\xff\xff\xff"sv,
    "\xff"sv,
    "\x80"sv,
    "\x90"sv,
    "\xa1\xff"sv,
    "\x91\x91\x91\x91\x91\x91\x91\x91\x91"sv};

template <std::size_t Size>
static std::string_view pick(const std::string_view (&Values)[Size],
                             std::size_t Draw) {
  return Values[Draw % Size];
}

void MutatedBytes::replaceValue(std::string &Text) {
  std::size_t Begin = Text.find_first_of(":[,", below(Text.size()));
  if (Begin == std::string::npos)
    return;
  std::size_t End = Text.find_first_of(",]}", Begin + 1);
  if (End != std::string::npos)
    Text.replace(Begin + 1, End - Begin - 1, pick(JsonValues, Random_()));
}

void MutatedBytes::replaceNumber(std::string &Bytes) {
  Bytes.replace(below(Bytes.size()), 1 + below(9),
                pick(MsgpackValues, Random_()));
}

std::string MutatedBytes::next() {
  constexpr std::size_t MaxChanges = 4;
  std::string Bytes = Valid_;
  for (std::size_t Left = 1 + below(MaxChanges); Left > 0 && !Bytes.empty();
       --Left) {
    std::size_t At = below(Bytes.size());
    switch (below(7)) {
    case 0:
      Bytes[At] = static_cast<char>(Random_());
      break;
    case 1:
      Bytes[At] ^= static_cast<char>(1 << below(8));
      break;
    case 2:
      Bytes.resize(At);
      break;
    case 3:
      Bytes.insert(At, Bytes.substr(At / 2, 1 + below(16)));
      break;
    case 4:
      replaceNumber(Bytes);
      break;
    default:
      replaceValue(Bytes);
    }
  }
  return Bytes;
}

} // namespace anvil
