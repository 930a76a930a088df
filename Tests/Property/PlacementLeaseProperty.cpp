#include "Placement/OwnerLease.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> TargetNames{"engine-1", "engine-2", "engine-3"};

/// One VM with a clock that runs at its own rate.
struct SimulatedVm {
  SimulatedVm(std::string Vm, int Life, double Rate, Duration Offset)
      : Name_(std::move(Vm)), Life_(std::to_string(Life)), Rate_(Rate),
        Offset_(Offset), Lease_({}, Name_, Life_) {}

  TimePoint local(Duration Real) const {
    auto Passed =
        static_cast<std::int64_t>(static_cast<double>(Real.count()) * Rate_);
    return TimePoint(Duration(Passed) + Offset_);
  }

  std::string Name_;
  std::string Life_;
  double Rate_;
  Duration Offset_;
  OwnerLease Lease_;
  Duration PausedUntil_{0};
  /// A write that was prepared and not sent yet.
  struct Write {
    LeaseRow Row_;
    std::uint64_t Checks_ = 0;
    Duration SendAt_{0};
  };
  std::optional<Write> Write_;
};

/// The row of the table, and the orders under way that ignore fencing.
struct SimulatedCentre {
  LeaseRow Row_;
  std::uint64_t Version_ = 0;
  Duration Real_{0};
  int Lives_ = 0;
  std::vector<SimulatedVm> Vms_;
  std::map<std::string, std::pair<std::string, Duration>> Orders_;

  SimulatedVm makeVm(const std::string &Vm) {
    double Rate = 1 + *rc::gen::inRange(-20, 21) / 1000.0;
    return {Vm, ++Lives_, Rate, Duration(*rc::gen::inRange(0, 1000000))};
  }

  void prepare(SimulatedVm &Vm, const std::vector<LeaseClaim> &Extra) {
    TimePoint Now = Vm.local(Real_);
    Vm.Lease_.adopt(Row_, Version_, Now);
    auto Claims = Extra;
    if (Vm.Lease_.mayJoin(Now))
      Claims.push_back(Vm.Lease_.claim(Now));
    Duration Delay(*rc::gen::inRange(0, 1500) * 1000);
    Vm.Write_ = {Vm.Lease_.renewed(Row_, Claims, Now), Version_, Real_ + Delay};
  }

  void commit(SimulatedVm &Vm, bool AnswerLost) {
    auto Write = *std::exchange(Vm.Write_, std::nullopt);
    if (Write.Checks_ != Version_)
      return;
    RC_ASSERT(Write.Row_.Generation_ >= Row_.Generation_);
    Row_ = Write.Row_;
    ++Version_;
    if (!AnswerLost)
      Vm.Lease_.adopt(Row_, Version_, Vm.local(Real_));
  }

  /// Says truly that it orders nothing for targets of others; some hear it.
  void yield(SimulatedVm &Vm) {
    for (const std::string &Target : TargetNames) {
      const auto &[By, Until] = Orders_[Target];
      bool IsInFlight = By == lifeOf(Vm) && Until > Real_;
      if (Vm.Lease_.owns(Target) || IsInFlight)
        continue;
      for (SimulatedVm &Other : Vms_)
        if (*rc::gen::inRange(0, 3) > 0)
          Other.Lease_.yielded(Vm.Name_, Vm.Life_, {Target},
                               Vm.Lease_.fencing());
    }
  }

  static std::string lifeOf(const SimulatedVm &Vm) {
    return Vm.Name_ + "/" + Vm.Life_;
  }

  /// Whoever believes that it may order does so.
  void order() {
    for (const std::string &Target : TargetNames) {
      int Owners = 0;
      for (SimulatedVm &Vm : Vms_) {
        TimePoint Now = Vm.local(Real_);
        Owners += Vm.Lease_.mayOrder(Target, true, Now);
        if (!Vm.Lease_.mayOrder(Target, false, Now))
          continue;
        std::string Life = lifeOf(Vm);
        auto &[By, Until] = Orders_[Target];
        RC_ASSERT(By.empty() || By == Life || Until <= Real_);
        By = Life;
        Until = Real_ + LeaseTerms().LongestOrder_;
      }
      RC_ASSERT(Owners <= 1);
    }
  }
};

} // namespace

TEST_CASE("ownership of targets") {
  rc::prop("has one orderer at a time, through pauses, kills, lost answers and "
           "drift",
           [] {
             SimulatedCentre Centre;
             for (const char *Name : {"vm-1", "vm-2", "vm-3"})
               Centre.Vms_.push_back(Centre.makeVm(Name));
             std::vector<LeaseClaim> Sent;
             for (int Step = 0; Step < 300; ++Step) {
               Centre.Real_ += Duration(*rc::gen::inRange(50, 700) * 1000);
               auto Index = *rc::gen::inRange<std::size_t>(0, 3);
               SimulatedVm &Vm = Centre.Vms_[Index];
               switch (*rc::gen::weightedElement<int>(
                   {{20, 0}, {1, 1}, {1, 2}, {3, 3}, {1, 4}, {6, 6}})) {
               case 1:
                 Vm.PausedUntil_ = Centre.Real_ + *rc::gen::inRange(1, 30) * 1s;
                 break;
               case 2:
                 Vm = Centre.makeVm(Vm.Name_);
                 break;
               case 3:
                 Sent.push_back(Vm.Lease_.claim(Vm.local(Centre.Real_)));
                 break;
               case 4:
                 Vm.Lease_.stop();
                 Vm.Write_ = {Vm.Lease_.withoutSelf(Centre.Row_),
                              Centre.Version_, Centre.Real_};
                 break;
               case 6:
                 Centre.yield(Vm);
                 break;
               default:
                 if (!Vm.Write_ && Vm.PausedUntil_ <= Centre.Real_)
                   Centre.prepare(Vm, std::exchange(Sent, {}));
               }
               for (SimulatedVm &Each : Centre.Vms_)
                 if (Each.Write_ && Each.Write_->SendAt_ <= Centre.Real_)
                   Centre.commit(Each, *rc::gen::inRange(0, 6) == 0);
               Centre.order();
             }
           });

  SECTION("of a VM that renews") {
    OwnerLease First({}, "vm-1", "a");
    TimePoint Now{};
    Now += 1h;
    LeaseRow Row = First.renewed({}, {First.claim(Now)}, Now);
    First.adopt(Row, 1, Now);
    REQUIRE(First.mayOrder("engine-1", false, Now));

    SECTION("ends by its own clock") {
      REQUIRE_FALSE(First.mayOrder("engine-1", true, Now + 6s));
    }
    SECTION("is taken over after it lapsed, at once by who saw it lapse") {
      OwnerLease Second({}, "vm-2", "b");
      Second.adopt(Row, 1, Now);
      LeaseRow Both = Second.renewed(Row, {Second.claim(Now)}, Now);
      Second.adopt(Both, 2, Now);
      REQUIRE(Both.Generation_ == 2);
      TimePoint Later = Now + 7s;
      LeaseRow Alone = Second.renewed(Both, {Second.claim(Later)}, Later);
      Second.adopt(Alone, 3, Later);
      REQUIRE(Alone.Holders_.size() == 1);
      REQUIRE(Second.mayOrder("engine-1", true, Later));
      REQUIRE(Second.mayOrder("engine-2", true, Later));
    }
    SECTION("is written and read back the same") {
      REQUIRE(decodeLeaseRow(encodeLeaseRow(Row)) == Row);
      REQUIRE_FALSE(decodeLeaseRow("{"));
    }
  }
}
