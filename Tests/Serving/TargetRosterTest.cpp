#include "Serving/TargetRoster.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

static RegisteredTarget entry(std::string Id, std::int64_t Incarnation = 1) {
  RegisteredTarget Target;
  Target.Id_ = std::move(Id);
  Target.Incarnation_ = Incarnation;
  Target.Service_ = "engines";
  Target.Address_ = "10.0.0.1:80";
  Target.Slots_ = 4;
  return Target;
}

static RegisteredTarget draining(std::string Id) {
  RegisteredTarget Target = entry(std::move(Id));
  Target.State_ = TargetState::Draining;
  return Target;
}

TEST_CASE("a roster of targets", "[roster]") {
  TargetRoster Roster;
  Roster.applyList({entry("a"), entry("b")}, Start);
  REQUIRE(Roster.usable("engines").size() == 2);
  SECTION("sends no new requests to a draining target") {
    auto Changes = Roster.applyList({entry("a"), draining("b")}, Start + 1s);
    REQUIRE(Changes.size() == 1);
    CHECK(Changes[0].Usability_ == TargetUsability::Draining);
    CHECK(Roster.usable("engines").size() == 1);
    SECTION("nor when an old entry is listed again") {
      Roster.applyList({entry("a"), entry("b")}, Start + 2s);
      CHECK(Roster.usable("engines").size() == 1);
    }
    // A store that was restored from a copy shows the entry from before.
    SECTION("nor when it is missing for a while and an old entry returns") {
      Roster.recordListOutage();
      Roster.applyList({entry("a")}, Start + 2s);
      Roster.applyList({entry("a"), entry("b")}, Start + 3s);
      CHECK(Roster.usable("engines").size() == 1);
    }
    SECTION("until it restarts") {
      Roster.applyList({entry("a"), entry("b", 2)}, Start + 2s);
      CHECK(Roster.usable("engines").size() == 2);
    }
  }
  SECTION("sends no requests to a target whose entry is removed") {
    Roster.applyList({entry("a")}, Start + 1s);
    CHECK(Roster.usable("engines").size() == 1);
    CHECK(Roster.find("b")->Usability_ == TargetUsability::Unlisted);
    // Guards against DRAIN: a target that was removed and still serves gets
    // requests again, since an older copy of the list shows its entry.
    SECTION("nor when a copy from before is restored") {
      Roster.recordListRestored();
      Roster.applyList({entry("a"), entry("b")}, Start + 3s);
      CHECK(Roster.usable("engines").size() == 1);
      CHECK(Roster.find("b")->Usability_ == TargetUsability::Unlisted);
      Roster.applyList({entry("a"), entry("b")}, Start + 12s);
      CHECK(Roster.usable("engines").size() == 1);
      SECTION("until it is removed there, too, and registers again") {
        Roster.applyList({entry("a")}, Start + 12500ms);
        CHECK(Roster.usable("engines").size() == 1);
        Roster.applyList({entry("a"), entry("b")}, Start + 14s);
        CHECK(Roster.usable("engines").size() == 2);
      }
      SECTION("until it has been listed for longer than a silent one is") {
        auto Changes = Roster.applyList({entry("a"), entry("b")}, Start + 13s);
        REQUIRE(Changes.size() == 1);
        CHECK(Changes[0].Usability_ == TargetUsability::Usable);
        CHECK(Roster.usable("engines").size() == 2);
      }
      SECTION("until it restarts") {
        Roster.applyList({entry("a"), entry("b", 2)}, Start + 4s);
        CHECK(Roster.usable("engines").size() == 2);
      }
      SECTION("also through a second restore") {
        Roster.recordListRestored();
        Roster.applyList({entry("a"), entry("b")}, Start + 12s);
        Roster.applyList({entry("a"), entry("b")}, Start + 21s);
        CHECK(Roster.usable("engines").size() == 1);
      }
    }
    SECTION("but sends them again when it registers again by itself") {
      Roster.applyList({entry("a"), entry("b")}, Start + 2s);
      CHECK(Roster.usable("engines").size() == 2);
    }
  }
  SECTION("accepts another VM's report that a target is leaving") {
    CHECK(Roster.recordLeaving("b", 1));
    CHECK_FALSE(Roster.recordLeaving("b", 1));
    CHECK(Roster.usable("engines").size() == 1);
    SECTION("also when its entry is missing for a while") {
      Roster.applyList({entry("a")}, Start + 1s);
      CHECK(Roster.find("b")->Usability_ == TargetUsability::Unlisted);
      Roster.applyList({entry("a"), entry("b")}, Start + 2s);
      CHECK(Roster.find("b")->Usability_ == TargetUsability::Draining);
      CHECK(Roster.usable("engines").size() == 1);
    }
    SECTION("but only for the current incarnation") {
      CHECK_FALSE(Roster.recordLeaving("a", 9));
      CHECK(Roster.usable("engines").size() == 1);
    }
  }
  SECTION("after an outage of the list") {
    Roster.recordListOutage();
    SECTION("keeps targets with lapsed entries for a while") {
      Roster.applyList({entry("a")}, Start + 5s);
      CHECK(Roster.usable("engines").size() == 2);
      Roster.applyList({entry("a")}, Start + 7s);
      CHECK(Roster.usable("engines").size() == 2);
      SECTION("and drops those that are still missing then") {
        Roster.applyList({entry("a")}, Start + 7300ms);
        CHECK(Roster.usable("engines").size() == 1);
      }
    }
    SECTION("never makes a draining target usable through a lapse") {
      Roster.applyList({entry("a"), draining("b")}, Start + 5s);
      Roster.recordListOutage();
      Roster.applyList({entry("a")}, Start + 6s);
      CHECK(Roster.usable("engines").size() == 1);
    }
  }
  // Guards against DRAIN: a target that left gets requests for two readings,
  // since one VM couldn't read the list for a moment.
  SECTION("after a read that failed while the list was known otherwise") {
    Roster.applyList({entry("a"), entry("b")}, Start + 4s);
    Roster.recordListOutage();
    SECTION("drops a missing target at the first reading without it") {
      Roster.applyList({entry("a")}, Start + 5900ms);
      CHECK(Roster.usable("engines").size() == 1);
    }
    SECTION("also at a later one") {
      Roster.applyList({entry("a"), entry("b")}, Start + 4500ms);
      Roster.applyList({entry("a")}, Start + 5600ms);
      CHECK(Roster.usable("engines").size() == 1);
    }
    SECTION("keeps it if the store was restored from a copy") {
      Roster.recordListRestored();
      Roster.applyList({entry("a")}, Start + 5s);
      CHECK(Roster.usable("engines").size() == 2);
    }
  }
  SECTION("ends lapses in time if the list isn't read again") {
    Roster.recordListOutage();
    Roster.applyList({entry("a")}, Start + 5s);
    CHECK(Roster.endLapses(Start + 7199ms).empty());
    CHECK(Roster.endLapses(Start + 7200ms).size() == 1);
    CHECK(Roster.usable("engines").size() == 1);
    CHECK(Roster.endLapses(Start + 8s).empty());
  }
  SECTION("takes another VM's word for an outage") {
    SECTION("that it can't exclude itself") {
      Roster.extendLapse(1s, Start + 3s);
      Roster.applyList({entry("a")}, Start + 3s);
      CHECK(Roster.usable("engines").size() == 2);
    }
    SECTION("but not while it knew the list") {
      Roster.applyList({entry("a"), entry("b")}, Start + 2s);
      Roster.extendLapse(1s, Start + 3s);
      Roster.applyList({entry("a")}, Start + 3s);
      CHECK(Roster.usable("engines").size() == 1);
    }
  }
  SECTION("ignores entries from before a restart") {
    Roster.applyList({entry("a", 5), entry("b")}, Start + 1s);
    Roster.applyList({entry("a", 1), entry("b")}, Start + 2s);
    CHECK(Roster.find("a")->Entry_.Incarnation_ == 5);
    // Guards against CONFIG: a target that restarts with its clock set back is
    // never used again, since its entry looks older than the one before.
    SECTION("unless they stay, which only those of running targets do") {
      Roster.recordLeaving("a", 5);
      Roster.applyList({entry("a", 1), entry("b")}, Start + 11s);
      CHECK(Roster.find("a")->Entry_.Incarnation_ == 5);
      auto Changes = Roster.applyList({entry("a", 1), entry("b")}, Start + 12s);
      REQUIRE(Changes.size() == 1);
      CHECK(Changes[0].NewIncarnation_);
      CHECK(Roster.find("a")->Entry_.Incarnation_ == 1);
      CHECK(Roster.usable("engines").size() == 2);
    }
    SECTION("and they stay ignored if newer ones are seen in between") {
      Roster.applyList({entry("a", 5), entry("b")}, Start + 8s);
      Roster.applyList({entry("a", 1), entry("b")}, Start + 13s);
      CHECK(Roster.find("a")->Entry_.Incarnation_ == 5);
    }
  }
}
