#ifndef ANVIL_OBJECTS_FIELDWRITER_H
#define ANVIL_OBJECTS_FIELDWRITER_H

#include "Objects/FieldReader.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>
#include <vector>

namespace anvil {

/// Writes the fields of a typed record into a JSON object. It has the same
/// methods as `FieldReader`, so one `visitFields` function per type serves both
/// directions.
class FieldWriter {
public:
  explicit FieldWriter(nlohmann::json &Target);

  void field(std::string_view Name, const std::string &Value,
             FieldPresence = {});
  void field(std::string_view Name, bool Value, FieldPresence = {});
  void field(std::string_view Name, std::int64_t Value, NumberRange = {},
             FieldPresence = {});
  void field(std::string_view Name, double Value, NumberRange = {},
             FieldPresence = {});
  void field(std::string_view Name, const std::vector<std::string> &Value,
             FieldPresence = {});

  template <class Record>
  void records(std::string_view Name, std::vector<Record> &Values,
               FieldPresence = {}) {
    startList(Name);
    for (Record &Value : Values) {
      FieldWriter Nested(addItem(Name));
      visitFields(Nested, Value);
    }
  }

  template <class Record>
  void record(std::string_view Name, Record &Value, FieldPresence = {}) {
    FieldWriter Nested(addObject(Name));
    visitFields(Nested, Value);
  }

  template <class Enum, std::size_t Size>
  void choice(std::string_view Name, Enum Value,
              const std::pair<Enum, std::string_view> (&Table)[Size],
              FieldPresence = {}) {
    for (const auto &[Known, KnownName] : Table)
      if (Known == Value)
        field(Name, std::string(KnownName));
  }

private:
  void startList(std::string_view Name);
  nlohmann::json &addItem(std::string_view Name);
  nlohmann::json &addObject(std::string_view Name);

  nlohmann::json &Target_;
};

} // namespace anvil

#endif // ANVIL_OBJECTS_FIELDWRITER_H
