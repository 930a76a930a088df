#ifndef ANVIL_TESTS_STANDINS_REQUESTRECORD_H
#define ANVIL_TESTS_STANDINS_REQUESTRECORD_H

#include "Http/HttpMessage.h"

#include <nlohmann/json.hpp>

#include <string>

namespace anvil {

/// Everything that a stand-in saw, for tests to check.
class RequestRecords {
public:
  /// Notes an event with its fields, and when it came.
  void add(std::string Event, nlohmann::json Fields);

  /// Every event as a JSON list.
  std::string text() const;

private:
  nlohmann::json Events_ = nlohmann::json::array();
};

/// The headers of a request as JSON, names in lower case.
nlohmann::json headersToJson(const HttpRequest &Request);

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_REQUESTRECORD_H
