#include "Serving/FleetBook.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

static VmNews newsOf(std::string Vm, std::uint64_t Sequence, int Requests) {
  VmNews News;
  News.Vm_ = std::move(Vm);
  News.Incarnation_ = "life";
  News.Sequence_ = Sequence;
  News.Running_["e1"] = {Requests, Requests * 100, {{"a1", Requests}}};
  return News;
}

TEST_CASE("what the other VMs tell", "[fleet]") {
  FleetBook Book;
  REQUIRE(Book.apply(newsOf("b", 1, 2), Start));
  REQUIRE(Book.apply(newsOf("c", 1, 3), Start));
  SECTION("is added up by target") {
    CHECK(Book.othersOn("e1").Requests_ == 5);
    CHECK(Book.othersOn("e1").Tokens_ == 500);
    CHECK(Book.othersUsing("a1") == 5);
    CHECK(Book.heardVms(Start) == 2);
  }
  SECTION("is not taken back by a datagram that was overtaken") {
    REQUIRE(Book.apply(newsOf("b", 3, 7), Start));
    CHECK_FALSE(Book.apply(newsOf("b", 2, 1), Start));
    CHECK(Book.othersOn("e1").Requests_ == 10);
  }
  SECTION("no longer counts once a VM is silent") {
    Book.expire(Start + 2s);
    CHECK(Book.othersOn("e1").Requests_ == 0);
    CHECK(Book.othersUsing("a1") == 0);
    CHECK(Book.heardVms(Start + 2s) == 0);
  }
}

static DataCentreNews abroadNews(std::string Teller, std::uint64_t Sequence,
                                 std::uint64_t Vms, int Requests) {
  DataCentreNews News;
  News.DataCentre_ = "north";
  News.Teller_ = std::move(Teller);
  News.Incarnation_ = "life";
  News.Sequence_ = Sequence;
  News.Period_ = 600ms;
  News.Vms_ = Vms;
  News.Running_["e1"] = {Requests, Requests * 100, {{"a1", Requests}}};
  return News;
}

TEST_CASE("what another data centre tells of its VMs", "[fleet]") {
  FleetBook Book;
  REQUIRE(Book.apply(newsOf("b", 1, 2), Start));
  REQUIRE(Book.apply(abroadNews("n1", 5, 30, 40), Start));
  SECTION("is added to what the own neighbours tell") {
    CHECK(Book.othersOn("e1").Requests_ == 42);
    CHECK(Book.othersUsing("a1") == 42);
    CHECK(Book.heardVms(Start) == 31);
    CHECK(Book.heardNear(Start) == 1);
  }
  SECTION("is replaced by what a second VM tells of the same") {
    REQUIRE(Book.apply(abroadNews("n2", 1, 30, 38), Start + 300ms));
    CHECK(Book.othersOn("e1").Requests_ == 40);
    CHECK(Book.heardVms(Start + 300ms) == 31);
    SECTION("and a datagram that was overtaken changes nothing") {
      CHECK_FALSE(Book.apply(abroadNews("n1", 4, 30, 7), Start + 400ms));
      CHECK(Book.othersOn("e1").Requests_ == 40);
    }
  }
  SECTION("counts the VMs that the better informed of two hears") {
    REQUIRE(Book.apply(abroadNews("n2", 1, 1, 0), Start + 300ms));
    CHECK(Book.heardVms(Start + 300ms) == 31);
  }
  SECTION("no longer counts once nobody tells it") {
    Book.expire(Start + 3s);
    CHECK(Book.othersOn("e1").Requests_ == 0);
    CHECK(Book.heardVms(Start + 3s) == 0);
  }
  SECTION("is summed up from what its VMs tell") {
    VmNews News = newsOf("c", 1, 3);
    News.Crashes_ = {{"digest", "e1", 7}};
    News.Leavers_ = {{"e2", 5}};
    REQUIRE(Book.apply(News, Start));
    DataCentreNews Sums;
    Book.addNear(Sums, Start);
    CHECK(Sums.Vms_ == 2);
    CHECK(Sums.Running_.at("e1").Requests_ == 5);
    CHECK(Sums.Running_.at("e1").Adapters_.at("a1") == 5);
    CHECK(Sums.Crashes_.size() == 1);
    CHECK(Sums.Leavers_.at("e2") == 5);
  }
}

TEST_CASE("what an engine holds", "[fleet]") {
  FleetBook Book;
  EngineHoldings Told{1, true, {{"a1", {1, 0ms}}, {"a2", {1, 250ms}}}};
  Book.applyHoldings("e1", Told, Start);
  REQUIRE(Book.engine("e1"));
  CHECK(Book.inTransit(Start) == 1);
  SECTION("is the owner's word rather than the engine's older entry") {
    RegisteredTarget Entry;
    Entry.Id_ = "e1";
    Entry.Incarnation_ = 1;
    Entry.Models_["base"] = {1, {{"a9", 1}}};
    Book.applyEntry(Entry, "base", Start + 1s);
    CHECK(Book.engine("e1")->Adapters_.contains("a1"));
    SECTION("unless the engine started anew") {
      Entry.Incarnation_ = 2;
      Book.applyEntry(Entry, "base", Start + 1s);
      CHECK(Book.engine("e1")->Adapters_.contains("a9"));
      Book.applyHoldings("e1", Told, Start + 2s);
      CHECK_FALSE(Book.engine("e1")->Adapters_.contains("a1"));
    }
    SECTION("or the owner has been silent") {
      Book.applyEntry(Entry, "base", Start + 4s);
      CHECK(Book.engine("e1")->Adapters_.contains("a9"));
    }
  }
  SECTION("expects a load that is late a little later") {
    CHECK_FALSE(Book.noteMissing("e1", "a2", Start + 300ms));
    CHECK(Book.engine("e1")->Adapters_.at("a2").ReadyAt_ > Start + 300ms);
    SECTION("also after the owner repeats its word") {
      Book.applyHoldings("e1", {1, true, {{"a2", {1, 0ms}}}}, Start + 310ms);
      CHECK(Book.engine("e1")->Adapters_.at("a2").ReadyAt_ > Start + 310ms);
    }
  }
  SECTION("is doubted when an adapter held for long is missing") {
    CHECK(Book.noteMissing("e1", "a1", Start + 10s));
    CHECK_FALSE(Book.engine("e1")->Adapters_.contains("a1"));
  }
}
