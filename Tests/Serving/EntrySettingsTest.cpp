#include "Settings/EntrySettings.h"

#include <catch2/catch.hpp>

using namespace anvil;

static std::string settingsText(const std::string &Store,
                                const std::string &Extra = "") {
  return R"({ // as the platform fills it in
    "mode": "entry", "vm": "vm-1", "data_centre": "north",
    "listen": {"callers": "10.0.0.1:80", "ready": "10.0.0.1:81",
               "address": "10.0.0.1", "peer_port": 7600},
    "store": )" +
         Store + Extra + "}";
}

static std::vector<Error> errorsOf(const std::string &Text) {
  auto Parsed = parseEntrySettings("entry.json", Text);
  auto *Errors = std::get_if<std::vector<Error>>(&Parsed);
  return Errors ? *Errors : std::vector<Error>();
}

TEST_CASE("the settings of an entry VM", "[settings]") {
  std::string Good = settingsText(R"({"address": "10.0.0.9:8225"})");
  SECTION("are distinguished from those of the other mode") {
    CHECK(selectsEntryMode("entry.json", Good));
    CHECK_FALSE(selectsEntryMode("anvild.json", R"({"vm": "vm-1"})"));
    CHECK_FALSE(selectsEntryMode("broken.json", "{"));
  }
  SECTION("use defaults for fields that are absent") {
    auto Parsed = parseEntrySettings("entry.json", Good);
    REQUIRE(std::holds_alternative<EntrySettings>(Parsed));
    const auto &Settings = std::get<EntrySettings>(Parsed);
    CHECK(Settings.Bounds_.KeyWithdrawalMs_ == 5000);
    CHECK(Settings.holderName() == "vm-1@10.0.0.1");
    CHECK_FALSE(Settings.Bootstrap_);
  }
  SECTION("report where an error is, what is wrong and how to correct it") {
    auto Errors = errorsOf(settingsText(R"({"address": "nowhere"})"));
    REQUIRE(Errors.size() == 1);
    CHECK(Errors[0].Where_ == "entry.json: store.address");
    CHECK_FALSE(Errors[0].Message_.empty());
    CHECK_FALSE(Errors[0].Action_.empty());
  }
  SECTION("are rejected with an unknown field") {
    auto Errors =
        errorsOf(settingsText(R"({"address": "10.0.0.9:8225", "adress": 1})"));
    REQUIRE(Errors.size() == 1);
    CHECK(Errors[0].Where_.find("adress") != std::string::npos);
  }
  SECTION(
      "are rejected when a poll for changes can exceed the withdrawal bound") {
    auto Errors = errorsOf(
        settingsText(R"({"address": "10.0.0.9:8225", "watch_ms": 4500})"));
    REQUIRE(Errors.size() == 1);
    CHECK(Errors[0].Where_.find("key_withdrawal_ms") != std::string::npos);
  }
  SECTION("report all errors at once") {
    CHECK(errorsOf(R"({"mode": "entry"})").size() >= 4);
  }
}
