#include "Objects/ChangeSet.h"
#include "Objects/ObjectCodec.h"

#include <catch2/catch.hpp>

using namespace anvil;

static const char *SampleChange = R"({
  // A small valid set.
  "put": [
    {"kind": "data_centre", "name": "bilbao"},
    {"kind": "customer", "name": "serenas", "rate_tokens_per_second": 100,
     "burst_tokens": 500},
    {"kind": "base_model", "name": "base"},
    {"kind": "adapter", "name": "letters", "base_model": "base",
     "versions": [{"name": "1", "weights": "letters/1"}],
     "current_version": "1"},
    {"kind": "request_class", "name": "booking", "priority": 10},
    {"kind": "route", "name": "chat", "path_prefix": "/v1",
     "request_class": "booking"}
  ]
})";

TEST_CASE("an operator sends a change set") {
  auto Decoded = decodeChangeSet(SampleChange);
  REQUIRE(std::holds_alternative<ChangeSet>(Decoded));
  ChangeSet Change = std::get<ChangeSet>(Decoded);
  auto Applied = applyChange({}, Change);
  REQUIRE(std::holds_alternative<ObjectSet>(Applied));
  ObjectSet Objects = std::get<ObjectSet>(Applied);

  SECTION("and the encoded set decodes to the same set") {
    ConfigSnapshot Snapshot{7, Objects};
    auto Text = encodeSnapshot(Snapshot);
    auto Again = decodeSnapshot(Text);
    REQUIRE(isOk(Again));
    REQUIRE(encodeSnapshot(valueOf(Again)) == Text);
  }

  SECTION("with several errors, and all are reported") {
    auto Invalid = decodeChangeSet(R"({"put": [
      {"kind": "key", "name": "k", "customer": "nobody", "sha256": "12"},
      {"kind": "route", "name": "r", "path_prefix": "x",
       "request_class": "none"}]})");
    auto Refused = applyChange(Objects, std::get<ChangeSet>(Invalid));
    REQUIRE(std::holds_alternative<ErrorList>(Refused));
    REQUIRE(std::get<ErrorList>(Refused).size() == 4);
  }

  SECTION("that removes an object that others refer to") {
    ChangeSet Removal;
    Removal.Removals_.push_back({ObjectKind::BaseModel, "base"});
    auto Refused = applyChange(Objects, Removal);
    REQUIRE(std::holds_alternative<ErrorList>(Refused));
    REQUIRE(std::get<ErrorList>(Refused).front().Where_ ==
            "adapter letters.base_model");
  }

  SECTION("and the difference to a later set is computed") {
    ObjectSet Next = Objects;
    Next.put(DataCentre{"oviedo"});
    Next.remove(ObjectKind::Route, "chat");
    ChangeSet Difference = computeDiff(Objects, Next);
    REQUIRE(Difference.Put_.size() == 1);
    REQUIRE(Difference.Removals_.size() == 1);
    REQUIRE(objectsInBoth(Difference, Change) ==
            std::vector<std::string>{"route chat"});
  }
}

TEST_CASE("errors in an invalid change set name its path") {
  SECTION("if a field is unknown") {
    auto Invalid = decodeChangeSet(
        R"({"put": [{"kind": "data_centre", "name": "a", "colour": 1}]})");
    REQUIRE(std::holds_alternative<ErrorList>(Invalid));
    REQUIRE(std::get<ErrorList>(Invalid).front().Where_ == "put[0].colour");
  }
  SECTION("if the kind is unknown") {
    auto Invalid = decodeChangeSet(R"({"put": [{"kind": "x", "name": "a"}]})");
    REQUIRE(std::holds_alternative<ErrorList>(Invalid));
  }
  SECTION("if it is not valid JSON") {
    REQUIRE(std::holds_alternative<ErrorList>(decodeChangeSet("{")));
  }
}
