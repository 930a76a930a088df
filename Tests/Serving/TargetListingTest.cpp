#include "Serving/TargetListing.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

static RegisteredTarget entry(const std::string &Id,
                              TargetState State = TargetState::Ready) {
  RegisteredTarget Target;
  Target.Id_ = Id;
  Target.Incarnation_ = 1;
  Target.Service_ = "engines";
  Target.Address_ = "10.0.0.1:80";
  Target.State_ = State;
  return Target;
}

TEST_CASE("a list of targets that one VM reads and others follow",
          "[reading]") {
  TargetListing Reader;
  TargetListing Follower;
  Reader.replace({entry("a"), entry("b")}, Start);
  auto TryFollow = [&](TimePoint Now) {
    return Follower.applyChanges(Reader.recentChanges(Now), Reader.digest(),
                                 Now);
  };
  SECTION("must be read by a VM that has no list") {
    CHECK_FALSE(TryFollow(Start));
  }
  Follower.replace({entry("a"), entry("b")}, Start);
  SECTION("needs no changes while it is unchanged") {
    Reader.replace({entry("a"), entry("b")}, Start + 1s);
    CHECK(Reader.recentChanges(Start + 1s).size() == 0);
    CHECK(TryFollow(Start + 1s));
  }
  SECTION("does not depend on the engines' adapters and orders") {
    RegisteredTarget Busy = entry("a");
    Busy.OrdersAccepted_ = 9;
    Busy.Models_["base"].Adapters_["x"] = 1;
    Reader.replace({Busy, entry("b")}, Start + 1s);
    CHECK(Reader.recentChanges(Start + 1s).size() == 0);
    CHECK(TryFollow(Start + 1s));
  }
  SECTION("is followed when targets turn cold and warm") {
    RegisteredTarget Cold = entry("a");
    Cold.ColdRemaining_ = 5s;
    Reader.replace({Cold, entry("b")}, Start + 1s);
    CHECK(Reader.recentChanges(Start + 1s).size() == 1);
    REQUIRE(TryFollow(Start + 1s));
    SECTION("but not while the time left runs") {
      Cold.ColdRemaining_ = 2s;
      Reader.replace({Cold, entry("b")}, Start + 5s);
      CHECK(Reader.recentChanges(Start + 5s).size() == 0);
      CHECK(TryFollow(Start + 5s));
      SECTION("unless it is longer than before") {
        Cold.ColdRemaining_ = 7s;
        Reader.replace({Cold, entry("b")}, Start + 6s);
        CHECK(Reader.recentChanges(Start + 6s).size() == 1);
        REQUIRE(TryFollow(Start + 6s));
        CHECK(Follower.entries()[0].ColdRemaining_ == Duration(7s));
      }
      Cold.ColdRemaining_ = 0s;
      Reader.replace({Cold, entry("b")}, Start + 7s);
      CHECK(Reader.recentChanges(Start + 7s).size() == 1);
    }
  }
  SECTION("is followed when targets are added, removed or draining") {
    Reader.replace({entry("a", TargetState::Draining), entry("c")}, Start + 1s);
    CHECK(Reader.recentChanges(Start + 1s).size() == 3);
    REQUIRE(TryFollow(Start + 1s));
    auto Entries = Follower.entries();
    REQUIRE(Entries.size() == 2);
    CHECK(Entries[0].State_ == TargetState::Draining);
    CHECK(Entries[1].Id_ == "c");
    SECTION("and the follower repeats the changes") {
      CHECK(Follower.recentChanges(Start + 2s).size() == 3);
    }
    SECTION("for a while") {
      CHECK(Reader.recentChanges(Start + 10s).size() == 0);
    }
  }
  SECTION("is followed although some notices were lost") {
    Reader.replace({entry("a"), entry("b"), entry("c")}, Start + 1s);
    Reader.replace({entry("a"), entry("c")}, Start + 2s);
    CHECK(TryFollow(Start + 2s));
  }
  SECTION("is not followed when the changes do not explain the digest") {
    Reader.replace({entry("a")}, Start + 1s);
    Reader.replace({entry("a"), entry("c")}, Start + 9s);
    CHECK_FALSE(TryFollow(Start + 9s));
    CHECK(Follower.entries().size() == 2);
    CHECK(Follower.entries()[1].Id_ == "b");
  }
}

TEST_CASE("many targets that register at once", "[reading]") {
  auto ListOf = [](int Targets, int Adapters) {
    std::vector<RegisteredTarget> List;
    for (int Target = 0; Target < Targets; ++Target) {
      RegisteredTarget Engine = entry("i-" + std::to_string(1000000 + Target));
      for (int Adapter = 0; Adapter < Adapters; ++Adapter)
        Engine.Models_["base"].Adapters_["a" + std::to_string(Adapter)] = 1;
      List.push_back(Engine);
    }
    return List;
  };
  TargetListing Reader;
  TargetListing Follower;
  Reader.replace({}, Start);
  Follower.replace({}, Start);
  SECTION("are followed without reading the list, 90 with 13 adapters each") {
    Reader.replace(ListOf(90, 13), Start + 1s);
    ListingChanges Changes = Reader.recentChanges(Start + 1s);
    CHECK(Changes.fitsDatagram());
    CHECK(Follower.applyChanges(Changes, Reader.digest(), Start + 1s));
    CHECK(Follower.entries().size() == 90);
  }
  SECTION("do not fit into a datagram if there are thousands") {
    Reader.replace(ListOf(7100, 13), Start + 1s);
    CHECK_FALSE(Reader.recentChanges(Start + 1s).fitsDatagram());
  }
}
