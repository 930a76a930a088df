#ifndef ANVIL_TESTS_STANDINS_REQUESTRECORD_H
#define ANVIL_TESTS_STANDINS_REQUESTRECORD_H

#include "Http/HttpMessage.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <string>

namespace anvil {

/// The events that a stand-in recorded, for tests to check.
class RequestRecords {
public:
  /// Also appends each event to a file, as a line of JSON.
  void keepIn(const std::string &Path);

  /// Records an event with its fields and the current time.
  void add(std::string Event, nlohmann::json Fields);

  /// All events as a JSON list.
  std::string text() const;

private:
  std::ofstream File_;
  nlohmann::json Events_ = nlohmann::json::array();
};

/// The headers of a request as JSON, names in lower case.
nlohmann::json headersToJson(const HttpRequest &Request);

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_REQUESTRECORD_H
