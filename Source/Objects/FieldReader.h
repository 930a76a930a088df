#ifndef ANVIL_OBJECTS_FIELDREADER_H
#define ANVIL_OBJECTS_FIELDREADER_H

#include "Kernel/Clock.h"
#include "Kernel/Error.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// Whether a field may be absent.
enum class FieldPresence { Required, Optional };

/// The allowed range of a number, bounds included.
struct NumberRange {
  double Min_ = 0;
  double Max_ = std::numeric_limits<double>::max();
};

/// Reads the fields of a JSON object into a typed record and collects all
/// errors with their location. An absent field keeps the record's default.
class FieldReader {
public:
  /// `Place` is the path of the object in error messages.
  FieldReader(const nlohmann::json &Source, std::string Place,
              std::vector<Error> &Errors);

  void field(std::string_view Name, std::string &Value,
             FieldPresence Presence = FieldPresence::Optional);
  void field(std::string_view Name, bool &Value,
             FieldPresence Presence = FieldPresence::Optional);
  void field(std::string_view Name, std::int64_t &Value, NumberRange Range = {},
             FieldPresence Presence = FieldPresence::Optional);
  void field(std::string_view Name, double &Value, NumberRange Range = {},
             FieldPresence Presence = FieldPresence::Optional);
  void field(std::string_view Name, std::vector<std::string> &Value,
             FieldPresence Presence = FieldPresence::Optional);

  /// Reads a list of records, each with `visitFields(reader, record)`.
  template <class Record>
  void records(std::string_view Name, std::vector<Record> &Values,
               FieldPresence Presence = FieldPresence::Optional) {
    for (std::size_t Index = 0; Index < listSize(Name, Presence); ++Index) {
      FieldReader Nested = listItem(Name, Index);
      visitFields(Nested, Values.emplace_back());
      Nested.reportUnknownFields();
    }
  }

  /// Reads a nested record.
  template <class Record>
  void record(std::string_view Name, Record &Value,
              FieldPresence Presence = FieldPresence::Optional) {
    if (!hasObject(Name, Presence))
      return;
    FieldReader Nested = nestedReader(Name);
    visitFields(Nested, Value);
    Nested.reportUnknownFields();
  }

  /// Reads an enumerator by its name in `Table`. The error lists the allowed
  /// names.
  template <class Enum, std::size_t Size>
  void choice(std::string_view Name, Enum &Value,
              const std::pair<Enum, std::string_view> (&Table)[Size],
              FieldPresence Presence = FieldPresence::Optional) {
    std::string Text;
    field(Name, Text, Presence);
    if (Text.empty())
      return;
    std::string Allowed;
    for (const auto &[Known, KnownName] : Table) {
      if (KnownName == Text) {
        Value = Known;
        return;
      }
      Allowed += (Allowed.empty() ? "" : ", ") + std::string(KnownName);
    }
    report(Name, "has the unknown value \"" + Text + "\"",
           "use one of " + Allowed);
  }

  /// Reports every field of the object that was not read as unknown.
  void reportUnknownFields();

  /// Adds an error about the field `Name`.
  void report(std::string_view Name, std::string Message, std::string Action);

private:
  const nlohmann::json *lookUpField(std::string_view Name,
                                    FieldPresence Presence);
  std::size_t listSize(std::string_view Name, FieldPresence Presence);
  FieldReader listItem(std::string_view Name, std::size_t Index);
  bool hasObject(std::string_view Name, FieldPresence Presence);
  FieldReader nestedReader(std::string_view Name);
  template <class Number>
  void number(std::string_view Name, Number &Value, NumberRange Range,
              FieldPresence Presence);

  const nlohmann::json &Source_;
  std::string Place_;
  std::vector<Error> &Errors_;
  std::set<std::string, std::less<>> ReadNames_;
};

} // namespace anvil

#endif // ANVIL_OBJECTS_FIELDREADER_H
