#include "Objects/FieldReader.h"

#include <nlohmann/json.hpp>

namespace anvil {

using nlohmann::json;

static const json &emptyObject() {
  static const json Empty = json::object();
  return Empty;
}

FieldReader::FieldReader(const json &Source, std::string Place,
                         std::vector<Error> &Errors)
    : Source_(Source.is_object() ? Source : emptyObject()),
      Place_(std::move(Place)), Errors_(Errors) {
  if (!Source.is_object())
    Errors_.push_back({ErrorCode::InvalidInput, Place_, "is not a JSON object",
                       "write it in braces"});
}

void FieldReader::report(std::string_view Name, std::string Message,
                         std::string Action) {
  std::string Path =
      Place_.empty() ? std::string(Name) : Place_ + "." + std::string(Name);
  Errors_.push_back({ErrorCode::InvalidInput, std::move(Path),
                     std::move(Message), std::move(Action)});
}

const json *FieldReader::lookUpField(std::string_view Name,
                                     FieldPresence Presence) {
  ReadNames_.emplace(Name);
  auto Found = Source_.find(std::string(Name));
  if (Found != Source_.end())
    return &*Found;
  if (Presence == FieldPresence::Required)
    report(Name, "is missing", "add it");
  return nullptr;
}

void FieldReader::field(std::string_view Name, std::string &Value,
                        FieldPresence Presence) {
  const json *Found = lookUpField(Name, Presence);
  if (!Found)
    return;
  if (!Found->is_string())
    return report(Name, "is not a string", "write it in quotes");
  Value = Found->get<std::string>();
  if (Value.empty() && Presence == FieldPresence::Required)
    report(Name, "is empty", "give it a value");
}

void FieldReader::field(std::string_view Name, bool &Value,
                        FieldPresence Presence) {
  const json *Found = lookUpField(Name, Presence);
  if (!Found)
    return;
  if (!Found->is_boolean())
    return report(Name, "is not a Boolean value", "write true or false");
  Value = Found->get<bool>();
}

static std::string formatNumber(double Value) {
  json Number = Value;
  if (Value == static_cast<double>(static_cast<std::int64_t>(Value)))
    Number = static_cast<std::int64_t>(Value);
  return Number.dump();
}

template <class Number>
void FieldReader::number(std::string_view Name, Number &Value,
                         NumberRange Range, FieldPresence Presence) {
  const json *Found = lookUpField(Name, Presence);
  if (!Found)
    return;
  bool IsInteger = std::is_integral_v<Number>;
  if (IsInteger ? !Found->is_number_integer() : !Found->is_number())
    return report(Name, IsInteger ? "is not a whole number" : "is not a number",
                  "write it in digits without quotes");
  double AsDouble = Found->get<double>();
  if (AsDouble < Range.Min_ || AsDouble > Range.Max_) {
    std::string Allowed = "at least " + formatNumber(Range.Min_);
    if (Range.Max_ != NumberRange{}.Max_)
      Allowed += " and at most " + formatNumber(Range.Max_);
    return report(Name, "is " + Found->dump() + ", which is out of range",
                  "give " + Allowed);
  }
  Value = Found->get<Number>();
}

void FieldReader::field(std::string_view Name, std::int64_t &Value,
                        NumberRange Range, FieldPresence Presence) {
  // 2^53; a double doesn't represent all larger integers exactly.
  constexpr double MaxExactInteger = 9007199254740992.0;
  Range.Max_ = std::min(Range.Max_, MaxExactInteger);
  number(Name, Value, Range, Presence);
}

void FieldReader::field(std::string_view Name, double &Value, NumberRange Range,
                        FieldPresence Presence) {
  number(Name, Value, Range, Presence);
}

void FieldReader::field(std::string_view Name, std::vector<std::string> &Value,
                        FieldPresence Presence) {
  const json *Found = lookUpField(Name, Presence);
  if (!Found)
    return;
  if (!Found->is_array())
    return report(Name, "is not a list", "write it in square brackets");
  Value.clear();
  for (const json &Item : *Found) {
    if (!Item.is_string())
      return report(Name, "has an item that is not a string",
                    "write each item in quotes");
    Value.push_back(Item.get<std::string>());
  }
}

std::size_t FieldReader::listSize(std::string_view Name,
                                  FieldPresence Presence) {
  bool IsFirst = !ReadNames_.contains(Name);
  const json *Found =
      IsFirst ? lookUpField(Name, Presence) : lookUpField(Name, {});
  if (!Found)
    return 0;
  if (Found->is_array())
    return Found->size();
  if (IsFirst)
    report(Name, "is not a list", "write it in square brackets");
  return 0;
}

FieldReader FieldReader::listItem(std::string_view Name, std::size_t Index) {
  std::string Place = Place_.empty() ? "" : Place_ + ".";
  Place += std::string(Name) + "[" + std::to_string(Index) + "]";
  return FieldReader(Source_.at(std::string(Name)).at(Index), std::move(Place),
                     Errors_);
}

bool FieldReader::hasObject(std::string_view Name, FieldPresence Presence) {
  return lookUpField(Name, Presence) != nullptr;
}

FieldReader FieldReader::nestedReader(std::string_view Name) {
  std::string Place = Place_.empty() ? "" : Place_ + ".";
  return FieldReader(Source_.at(std::string(Name)), Place + std::string(Name),
                     Errors_);
}

void FieldReader::reportUnknownFields() {
  for (const auto &[Name, Value] : Source_.items())
    if (!ReadNames_.contains(Name))
      report(Name, "is not a known field name", "correct or remove it");
}

} // namespace anvil
