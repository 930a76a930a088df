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
  std::string Where =
      Place_.empty() ? std::string(Name) : Place_ + "." + std::string(Name);
  Errors_.push_back({ErrorCode::InvalidInput, std::move(Where),
                     std::move(Message), std::move(Action)});
}

const json *FieldReader::take(std::string_view Name, FieldNeed Need) {
  Known_.emplace(Name);
  auto Found = Source_.find(std::string(Name));
  if (Found != Source_.end())
    return &*Found;
  if (Need == FieldNeed::Required)
    report(Name, "is missing", "add it");
  return nullptr;
}

void FieldReader::field(std::string_view Name, std::string &Value,
                        FieldNeed Need) {
  const json *Given = take(Name, Need);
  if (!Given)
    return;
  if (!Given->is_string())
    return report(Name, "is not a string", "write it in quotes");
  Value = Given->get<std::string>();
  if (Value.empty() && Need == FieldNeed::Required)
    report(Name, "is empty", "give it a value");
}

void FieldReader::field(std::string_view Name, bool &Value, FieldNeed Need) {
  const json *Given = take(Name, Need);
  if (!Given)
    return;
  if (!Given->is_boolean())
    return report(Name, "is not a truth value", "write true or false");
  Value = Given->get<bool>();
}

static std::string shortNumber(double Value) {
  json Number = Value;
  if (Value == static_cast<double>(static_cast<std::int64_t>(Value)))
    Number = static_cast<std::int64_t>(Value);
  return Number.dump();
}

template <class Number>
void FieldReader::number(std::string_view Name, Number &Value,
                         NumberRange Range, FieldNeed Need) {
  const json *Given = take(Name, Need);
  if (!Given)
    return;
  bool IsWhole = std::is_integral_v<Number>;
  if (IsWhole ? !Given->is_number_integer() : !Given->is_number())
    return report(Name, IsWhole ? "is not a whole number" : "is not a number",
                  "write it in digits without quotes");
  double Wide = Given->get<double>();
  if (Wide < Range.Least_ || Wide > Range.Most_) {
    std::string Allowed = "at least " + shortNumber(Range.Least_);
    if (Range.Most_ != NumberRange{}.Most_)
      Allowed += " and at most " + shortNumber(Range.Most_);
    return report(Name, "is " + Given->dump() + ", which is out of range",
                  "give " + Allowed);
  }
  Value = Given->get<Number>();
}

void FieldReader::field(std::string_view Name, std::int64_t &Value,
                        NumberRange Range, FieldNeed Need) {
  // Beyond this a double no longer holds each whole number.
  constexpr double MostExact = 9007199254740992.0;
  Range.Most_ = std::min(Range.Most_, MostExact);
  number(Name, Value, Range, Need);
}

void FieldReader::field(std::string_view Name, double &Value, NumberRange Range,
                        FieldNeed Need) {
  number(Name, Value, Range, Need);
}

void FieldReader::field(std::string_view Name, std::vector<std::string> &Value,
                        FieldNeed Need) {
  const json *Given = take(Name, Need);
  if (!Given)
    return;
  if (!Given->is_array())
    return report(Name, "is not a list", "write it in square brackets");
  Value.clear();
  for (const json &Item : *Given) {
    if (!Item.is_string())
      return report(Name, "has an item that is not a string",
                    "write each item in quotes");
    Value.push_back(Item.get<std::string>());
  }
}

std::size_t FieldReader::listSize(std::string_view Name, FieldNeed Need) {
  bool IsFirst = !Known_.contains(Name);
  const json *Given = IsFirst ? take(Name, Need) : take(Name, {});
  if (!Given)
    return 0;
  if (Given->is_array())
    return Given->size();
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

bool FieldReader::hasObject(std::string_view Name, FieldNeed Need) {
  return take(Name, Need) != nullptr;
}

FieldReader FieldReader::inner(std::string_view Name) {
  std::string Place = Place_.empty() ? "" : Place_ + ".";
  return FieldReader(Source_.at(std::string(Name)), Place + std::string(Name),
                     Errors_);
}

void FieldReader::finish() {
  for (const auto &[Name, Value] : Source_.items())
    if (!Known_.contains(Name))
      report(Name, "is not a known name", "correct or remove it");
}

} // namespace anvil
