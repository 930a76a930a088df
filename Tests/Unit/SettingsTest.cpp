#include "Settings/DaemonSettings.h"

#include <catch2/catch.hpp>

using namespace anvil;

static std::vector<Error> errorsIn(const std::string &Text) {
  auto Parsed = parseDaemonSettings("anvild.json", Text);
  if (std::holds_alternative<DaemonSettings>(Parsed))
    return {};
  return std::get<std::vector<Error>>(Parsed);
}

TEST_CASE("daemon settings are validated") {
  SECTION("valid settings with comments are accepted") {
    REQUIRE(errorsIn(R"({
      // This VM.
      "vm": "vm-1", "data_centre": "bilbao",
      "platform": {"address": "127.0.0.1:9000"}})")
                .empty());
  }

  SECTION("all errors are reported with file and action") {
    auto Errors = errorsIn(R"({
      "vm": 1, "data_centre": "bilbao", "colour": "red",
      "platform": {"address": "nowhere", "timeout_ms": 0}})");
    REQUIRE(Errors.size() == 4);
    for (const Error &Problem : Errors) {
      REQUIRE(Problem.Where_.starts_with("anvild.json: "));
      REQUIRE_FALSE(Problem.Action_.empty());
    }
  }

  SECTION("the lease term must exceed twice its margin") {
    auto Errors = errorsIn(R"({
      "vm": "vm-1", "data_centre": "bilbao",
      "platform": {"address": "127.0.0.1:9000"},
      "placement": {"policy": "none", "lease_term_ms": 1000,
                    "lease_margin_ms": 500}})");
    REQUIRE(Errors.size() == 2);
    REQUIRE(Errors[0].Where_ == "anvild.json: placement.policy");
    REQUIRE(Errors[1].Where_ == "anvild.json: placement.lease_margin_ms");
  }

  SECTION("a truncated file is reported with the line") {
    auto Errors = errorsIn("{\n\"vm\": \"a\",\n");
    REQUIRE(Errors.size() == 1);
    REQUIRE(Errors.front().Where_ == "anvild.json:3");
  }
}
