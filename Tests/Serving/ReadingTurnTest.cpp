#include "Serving/ReadingTurn.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace anvil;
using namespace std::chrono_literals;

static ReadingTurnOptions secondly() {
  ReadingTurnOptions Options;
  Options.Period_ = 1s;
  return Options;
}

/// A group of VMs that read one thing and tell each other. Notices arrive at
/// once; a VM that is `cut` tells and hears nobody, one that is `blind` can't
/// read.
class ReadingGroup {
public:
  explicit ReadingGroup(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      FreshAt_["vm-" + std::to_string(Index)] = Duration::zero();
  }

  /// Lets time pass in steps of 20 ms.
  void pass(Duration Time) {
    for (Duration End = Now_ + Time; Now_ < End; Now_ += 20ms)
      for (auto &[Vm, FreshAt] : FreshAt_) {
        OldestSeen_ = std::max(OldestSeen_, Now_ - FreshAt);
        if (!isTurn(Vm))
          continue;
        ++Reads_[Vm];
        if (Blind_.contains(Vm))
          continue;
        FreshAt = Now_;
        for (auto &[Other, OtherFreshAt] : FreshAt_)
          if (!Cut_.contains(Vm) && !Cut_.contains(Other))
            OtherFreshAt = Now_;
      }
  }

  std::string first() const {
    for (const std::string &Vm : names())
      if (place(Vm) == 0)
        return Vm;
    return "";
  }

  int reads() const {
    int Sum = 0;
    for (const auto &[Vm, Count] : Reads_)
      Sum += Count;
    return Sum;
  }

  void forget() {
    Reads_.clear();
    OldestSeen_ = Duration::zero();
  }

  std::map<std::string, int> Reads_;
  std::set<std::string> Cut_;
  std::set<std::string> Blind_;
  Duration OldestSeen_{};

private:
  std::vector<std::string> names() const {
    std::vector<std::string> All;
    for (const auto &[Vm, FreshAt] : FreshAt_)
      All.push_back(Vm);
    return All;
  }

  std::size_t place(const std::string &Vm) const {
    std::vector<std::string> Heard;
    for (const std::string &Other : names())
      if (Other != Vm && !Cut_.contains(Vm) && !Cut_.contains(Other))
        Heard.push_back(Other);
    return ReadingTurn::placeInLine("list", Vm, Heard);
  }

  bool isTurn(const std::string &Vm) const {
    return FreshAt_.at(Vm) + Turn_.patience(place(Vm)) <= Now_;
  }

  ReadingTurn Turn_{secondly()};
  Duration Now_{};
  std::map<std::string, Duration> FreshAt_;
};

TEST_CASE("VMs that share the reading of the store", "[reading]") {
  ReadingGroup Group(20);
  Group.pass(10s);
  SECTION("read once a period all together") {
    CHECK(Group.reads() <= 10);
    CHECK(Group.Reads_.size() == 1);
    CHECK(Group.OldestSeen_ <= 1100ms);
  }
  SECTION("stand in for a reader that can't read") {
    Group.Blind_.insert(Group.first());
    Group.forget();
    Group.pass(10s);
    // The bounds on a leaving target and on a change are two seconds.
    CHECK(Group.OldestSeen_ < 1600ms);
    Group.Reads_.erase(Group.first());
    CHECK(Group.reads() <= 10);
  }
  SECTION("go on when the reader is cut off from the others, and so does it") {
    Group.Cut_.insert(Group.first());
    Group.forget();
    Group.pass(10s);
    CHECK(Group.OldestSeen_ < 1600ms);
    CHECK(Group.reads() <= 21);
  }
  SECTION("all read for themselves when nobody hears anybody") {
    for (int Index = 0; Index < 20; ++Index)
      Group.Cut_.insert("vm-" + std::to_string(Index));
    Group.forget();
    Group.pass(10s);
    CHECK(Group.OldestSeen_ <= 1100ms);
    CHECK(Group.Reads_.size() == 20);
  }
  SECTION("don't all leave it to the same VM") {
    std::set<std::size_t> Places;
    for (const char *Topic : {"plan", "targets", "a", "b", "c", "d"})
      Places.insert(
          ReadingTurn::placeInLine(Topic, "vm-1", {"vm-2", "vm-3", "vm-4"}));
    CHECK(Places.size() > 1);
  }
}
