#include "Objects/FieldWriter.h"

#include <nlohmann/json.hpp>

namespace anvil {

using nlohmann::json;

FieldWriter::FieldWriter(json &Target) : Target_(Target) {
  if (!Target_.is_object())
    Target_ = json::object();
}

void FieldWriter::field(std::string_view Name, const std::string &Value,
                        FieldPresence) {
  Target_[std::string(Name)] = Value;
}

void FieldWriter::field(std::string_view Name, bool Value, FieldPresence) {
  Target_[std::string(Name)] = Value;
}

void FieldWriter::field(std::string_view Name, std::int64_t Value, NumberRange,
                        FieldPresence) {
  Target_[std::string(Name)] = Value;
}

void FieldWriter::field(std::string_view Name, double Value, NumberRange,
                        FieldPresence) {
  Target_[std::string(Name)] = Value;
}

void FieldWriter::field(std::string_view Name,
                        const std::vector<std::string> &Value, FieldPresence) {
  Target_[std::string(Name)] = Value;
}

void FieldWriter::startList(std::string_view Name) {
  Target_[std::string(Name)] = json::array();
}

json &FieldWriter::addItem(std::string_view Name) {
  json &List = Target_[std::string(Name)];
  List.push_back(json::object());
  return List.back();
}

json &FieldWriter::addObject(std::string_view Name) {
  return Target_[std::string(Name)] = json::object();
}

} // namespace anvil
