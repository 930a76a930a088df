#include "Serving/ReadRotation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace anvil;
using namespace std::chrono_literals;

static ReadRotationOptions everySecond() {
  ReadRotationOptions Options;
  Options.Period_ = 1s;
  return Options;
}

/// Simulates a group of VMs that share the reads of one snapshot and notify
/// each other. Notices arrive at once; a VM in `Isolated_` neither sends nor
/// receives them, one in `Failing_` cannot read.
class ReadingGroup {
public:
  explicit ReadingGroup(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      FreshAt_["vm-" + std::to_string(Index)] = Duration::zero();
  }

  /// Advances the time in steps of 20 ms.
  void advance(Duration Time) {
    for (Duration End = Now_ + Time; Now_ < End; Now_ += 20ms)
      for (auto &[Vm, FreshAt] : FreshAt_) {
        MaxAge_ = std::max(MaxAge_, Now_ - FreshAt);
        if (!isDue(Vm))
          continue;
        ++Reads_[Vm];
        if (Failing_.contains(Vm))
          continue;
        FreshAt = Now_;
        for (auto &[Other, OtherFreshAt] : FreshAt_)
          if (!Isolated_.contains(Vm) && !Isolated_.contains(Other))
            OtherFreshAt = Now_;
      }
  }

  std::string first() const {
    for (const std::string &Vm : names())
      if (rank(Vm) == 0)
        return Vm;
    return "";
  }

  int reads() const {
    int Sum = 0;
    for (const auto &[Vm, Count] : Reads_)
      Sum += Count;
    return Sum;
  }

  void resetStatistics() {
    Reads_.clear();
    MaxAge_ = Duration::zero();
  }

  std::map<std::string, int> Reads_;
  std::set<std::string> Isolated_;
  std::set<std::string> Failing_;
  Duration MaxAge_{};

private:
  std::vector<std::string> names() const {
    std::vector<std::string> All;
    for (const auto &[Vm, FreshAt] : FreshAt_)
      All.push_back(Vm);
    return All;
  }

  std::size_t rank(const std::string &Vm) const {
    std::vector<std::string> Reachable;
    for (const std::string &Other : names())
      if (Other != Vm && !Isolated_.contains(Vm) && !Isolated_.contains(Other))
        Reachable.push_back(Other);
    return ReadRotation::rankFor("list", Vm, Reachable);
  }

  bool isDue(const std::string &Vm) const {
    return FreshAt_.at(Vm) + Rotation_.maxSnapshotAge(rank(Vm)) <= Now_;
  }

  ReadRotation Rotation_{everySecond()};
  Duration Now_{};
  std::map<std::string, Duration> FreshAt_;
};

TEST_CASE("VMs that share the reads of the store", "[reading]") {
  ReadingGroup Group(20);
  Group.advance(10s);
  SECTION("read once a period in total") {
    CHECK(Group.reads() <= 10);
    CHECK(Group.Reads_.size() == 1);
    CHECK(Group.MaxAge_ <= 1100ms);
  }
  SECTION("stand in for a reader that cannot read") {
    Group.Failing_.insert(Group.first());
    Group.resetStatistics();
    Group.advance(10s);
    // The bounds on a leaving target and on a change are two seconds.
    CHECK(Group.MaxAge_ < 1600ms);
    Group.Reads_.erase(Group.first());
    CHECK(Group.reads() <= 10);
  }
  SECTION("keep reading when the reader is cut off, and so does the reader") {
    Group.Isolated_.insert(Group.first());
    Group.resetStatistics();
    Group.advance(10s);
    CHECK(Group.MaxAge_ < 1600ms);
    CHECK(Group.reads() <= 21);
  }
  SECTION("all read for themselves when no VM can reach another") {
    for (int Index = 0; Index < 20; ++Index)
      Group.Isolated_.insert("vm-" + std::to_string(Index));
    Group.resetStatistics();
    Group.advance(10s);
    CHECK(Group.MaxAge_ <= 1100ms);
    CHECK(Group.Reads_.size() == 20);
  }
  SECTION("have different ranks for different topics") {
    std::set<std::size_t> Ranks;
    for (const char *Topic : {"plan", "targets", "a", "b", "c", "d"})
      Ranks.insert(
          ReadRotation::rankFor(Topic, "vm-1", {"vm-2", "vm-3", "vm-4"}));
    CHECK(Ranks.size() > 1);
  }
}
