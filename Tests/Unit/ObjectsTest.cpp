#include "Objects/ChangeSet.h"
#include "Objects/ObjectCodec.h"

#include <catch2/catch.hpp>

using namespace anvil;

static const char *SampleChange = R"({
  // A small but whole set.
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

  SECTION("and the whole set reads back as it was written") {
    ConfigSnapshot Snapshot{7, Objects};
    auto Text = encodeSnapshot(Snapshot);
    auto Again = decodeSnapshot(Text);
    REQUIRE(isOk(Again));
    REQUIRE(encodeSnapshot(valueOf(Again)) == Text);
  }

  SECTION("with names that lead nowhere, and learns of all of them") {
    auto Bad = decodeChangeSet(R"({"put": [
      {"kind": "key", "name": "k", "customer": "nobody", "sha256": "12"},
      {"kind": "route", "name": "r", "path_prefix": "x",
       "request_class": "none"}]})");
    auto Refused = applyChange(Objects, std::get<ChangeSet>(Bad));
    REQUIRE(std::holds_alternative<ErrorList>(Refused));
    REQUIRE(std::get<ErrorList>(Refused).size() == 4);
  }

  SECTION("that removes what others refer to") {
    ChangeSet Removal;
    Removal.Removals_.push_back({ObjectKind::BaseModel, "base"});
    auto Refused = applyChange(Objects, Removal);
    REQUIRE(std::holds_alternative<ErrorList>(Refused));
    REQUIRE(std::get<ErrorList>(Refused).front().Where_ ==
            "adapter letters.base_model");
  }

  SECTION("and sees what differs afterwards") {
    ObjectSet Next = Objects;
    Next.put(DataCentre{"oviedo"});
    Next.remove(ObjectKind::Route, "chat");
    ChangeSet Difference = differenceOf(Objects, Next);
    REQUIRE(Difference.Put_.size() == 1);
    REQUIRE(Difference.Removals_.size() == 1);
    REQUIRE(overlapOf(Difference, Change) ==
            std::vector<std::string>{"route chat"});
  }
}

TEST_CASE("a change set that can't be read says where") {
  SECTION("because a name is unknown") {
    auto Bad = decodeChangeSet(
        R"({"put": [{"kind": "data_centre", "name": "a", "colour": 1}]})");
    REQUIRE(std::holds_alternative<ErrorList>(Bad));
    REQUIRE(std::get<ErrorList>(Bad).front().Where_ == "put[0].colour");
  }
  SECTION("because the kind is unknown") {
    auto Bad = decodeChangeSet(R"({"put": [{"kind": "x", "name": "a"}]})");
    REQUIRE(std::holds_alternative<ErrorList>(Bad));
  }
  SECTION("because it is no JSON") {
    REQUIRE(std::holds_alternative<ErrorList>(decodeChangeSet("{")));
  }
}
