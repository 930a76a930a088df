#include "TableService/TableCopy.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace anvil;

using Rows = std::vector<TableRow>;

/// The keys of the rows that exist.
static std::vector<std::string> keysOf(const TableCopy &Copy) {
  std::vector<std::string> Keys;
  for (const TableRow &Row : Copy.rows())
    if (!Row.Deleted_)
      Keys.push_back(Row.Key_);
  return Keys;
}

using Keys = std::vector<std::string>;

/// Guards against a removed row that an older copy of it brings back, and
/// against a removal that nobody hears of.
TEST_CASE("a copy of a table", "[EVAC][evacuation]") {
  TableCopy Copy;
  Copy.applyWhole({{"a", "1", 3}, {"b", "1", 5}}, 6);
  CHECK(keysOf(Copy) == Keys{"a", "b"});
  CHECK(Copy.newest() == 5);

  SECTION("follows the feed") {
    Rows Changed = Copy.applyChanges({{"a", "", 7, true}, {"c", "1", 8}});
    CHECK(Changed.size() == 2);
    CHECK(keysOf(Copy) == Keys{"b", "c"});
    CHECK(Copy.newest() == 8);
    SECTION("which a late notice with the removed row doesn't revert") {
      CHECK(Copy.applyChanges({{"a", "1", 3}}).empty());
      CHECK(keysOf(Copy) == Keys{"b", "c"});
    }
    SECTION("nor does a whole read that was under way") {
      CHECK(Copy.applyWhole({{"a", "1", 3}, {"b", "1", 5}}, 6).empty());
      CHECK(keysOf(Copy) == Keys{"b", "c"});
    }
    SECTION("and takes a row that is written again") {
      CHECK(Copy.applyChanges({{"a", "2", 9}}).size() == 1);
      CHECK(keysOf(Copy) == Keys{"a", "b", "c"});
    }
    SECTION("and repeats change nothing") {
      CHECK(Copy.applyChanges(Changed).empty());
    }
  }

  SECTION("takes no unknown row that a whole read would have shown") {
    CHECK(Copy.applyChanges({{"c", "1", 6}}).empty());
    CHECK(keysOf(Copy) == Keys{"a", "b"});
    CHECK(Copy.applyChanges({{"c", "1", 7}}).size() == 1);
    Copy.forgetVersions();
    CHECK(Copy.applyChanges({{"d", "1", 2}}).size() == 1);
  }

  SECTION("misses removals that a whole read shows") {
    Rows Changed = Copy.applyWhole({{"b", "1", 5}}, 9);
    REQUIRE(Changed.size() == 1);
    CHECK(Changed[0].Key_ == "a");
    CHECK(Changed[0].Deleted_);
    CHECK(Changed[0].Version_ == 9);
    SECTION("and passes them on to one that can't read") {
      TableCopy Other;
      Other.applyWhole({{"a", "1", 3}, {"b", "1", 5}}, 6);
      Other.applyChanges(Copy.rows());
      CHECK(keysOf(Other) == Keys{"b"});
    }
  }

  SECTION("of a store that gives versions out again takes lower versions") {
    Copy.applyChanges({{"c", "", 7, true}});
    Copy.forgetVersions();
    CHECK(Copy.newest() == 0);
    CHECK(Copy.applyWhole({{"c", "2", 2}, {"b", "2", 1}}, 2).size() == 3);
    CHECK(keysOf(Copy) == Keys{"b", "c"});
  }
}

/// One state of a small table: the newest change of each key, removals
/// included, up to a version.
static Rows stateAt(const Rows &History, std::uint64_t Version,
                    std::uint64_t After, bool WithRemovals) {
  std::map<std::string, TableRow> Newest;
  for (const TableRow &Change : History)
    if (Change.Version_ <= Version)
      Newest[Change.Key_] = Change;
  Rows State;
  for (const auto &[Key, Row] : Newest)
    if (Row.Version_ > After && (WithRemovals || !Row.Deleted_))
      State.push_back(Row);
  return State;
}

TEST_CASE("rows that arrive late, repeated or not at all",
          "[EVAC][evacuation]") {
  rc::prop("leave a VM right once it has read", [] {
    Rows History;
    auto Length = *rc::gen::inRange<std::uint64_t>(1, 20);
    for (std::uint64_t Version = 1; Version <= Length; ++Version) {
      auto Key = std::to_string(*rc::gen::inRange(0, 4));
      bool IsRemoval = *rc::gen::arbitrary<bool>();
      History.push_back({Key, IsRemoval ? "" : "v", Version, IsRemoval});
    }
    auto AnyVersion = [&] {
      return *rc::gen::inRange<std::uint64_t>(0, Length + 1);
    };
    TableCopy Own;
    TableCopy Peer;
    std::uint64_t PeerRead = 0;
    auto Steps = *rc::gen::inRange(0, 30);
    for (int Step = 0; Step < Steps; ++Step) {
      std::map<std::string, std::uint64_t> Before;
      for (const TableRow &Row : Own.rows())
        Before[Row.Key_] = Row.Version_;
      std::uint64_t Version = AnyVersion();
      switch (*rc::gen::inRange(0, 5)) {
      case 0: // An own whole read, however old its reply is.
        Own.applyWhole(stateAt(History, Version, 0, false), Version);
        break;
      case 1: // A reply of the own feed.
        Own.applyChanges(stateAt(History, Version, AnyVersion(), true));
        break;
      case 2: // A peer's notice with the rows that it has just read.
        Own.applyChanges(Peer.applyChanges(
            stateAt(History, std::max(Version, PeerRead), PeerRead, true)));
        PeerRead = std::max(Version, PeerRead);
        break;
      case 3: // A peer's whole read, whose notice is lost.
        Peer.applyWhole(stateAt(History, Version, 0, false), Version);
        break;
      default: // A peer's page.
        Own.applyChanges(Peer.rows());
      }
      for (const TableRow &Row : Own.rows())
        RC_ASSERT(Row.Version_ >= Before[Row.Key_]);
    }
    bool ByWholeRead = *rc::gen::arbitrary<bool>();
    if (ByWholeRead)
      Own.applyWhole(stateAt(History, Length, 0, false), Length);
    else
      Own.applyChanges(stateAt(History, Length, 0, true));
    Keys Expected;
    for (const TableRow &Row : stateAt(History, Length, 0, false))
      Expected.push_back(Row.Key_);
    RC_ASSERT(keysOf(Own) == Expected);
  });
}
