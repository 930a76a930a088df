#include "Placement/OwnerLease.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> TargetNames{"engine-1", "engine-2", "engine-3"};

/// A VM whose clock runs at its own rate.
struct SimulatedVm {
  SimulatedVm(std::string Vm, int Incarnation, double Rate, Duration Offset)
      : Name_(std::move(Vm)), Incarnation_(std::to_string(Incarnation)),
        Rate_(Rate), Offset_(Offset), Lease_({}, Name_, Incarnation_) {}

  TimePoint local(Duration Real) const {
    auto Passed =
        static_cast<std::int64_t>(static_cast<double>(Real.count()) * Rate_);
    return TimePoint(Duration(Passed) + Offset_);
  }

  std::string Name_;
  std::string Incarnation_;
  double Rate_;
  Duration Offset_;
  OwnerLease Lease_;
  Duration PausedUntil_{0};
  /// A prepared write that was not sent yet.
  struct Write {
    LeaseRow Row_;
    std::uint64_t Checks_ = 0;
    Duration SendAt_{0};
  };
  std::optional<Write> Write_;
};

/// The lease row of the table, and the orders in flight at engines that ignore
/// fencing.
struct SimulatedDataCentre {
  LeaseRow Row_;
  std::uint64_t Version_ = 0;
  Duration Real_{0};
  int Incarnations_ = 0;
  std::vector<SimulatedVm> Vms_;
  std::map<std::string, std::pair<std::string, Duration>> Orders_;

  SimulatedVm makeVm(const std::string &Vm) {
    double Rate = 1 + *rc::gen::inRange(-20, 21) / 1000.0;
    return {Vm, ++Incarnations_, Rate, Duration(*rc::gen::inRange(0, 1000000))};
  }

  void prepare(SimulatedVm &Vm, const std::vector<LeaseClaim> &Extra) {
    TimePoint Now = Vm.local(Real_);
    Vm.Lease_.adopt(Row_, Version_, Now);
    auto Claims = Extra;
    if (Vm.Lease_.mayClaim(Now))
      Claims.push_back(Vm.Lease_.claim(Now));
    Duration Delay(*rc::gen::inRange(0, 1500) * 1000);
    Vm.Write_ = {Vm.Lease_.renewed(Row_, Claims, Now), Version_, Real_ + Delay};
  }

  void commit(SimulatedVm &Vm, bool ReplyLost) {
    auto Write = *std::exchange(Vm.Write_, std::nullopt);
    if (Write.Checks_ != Version_)
      return;
    RC_ASSERT(Write.Row_.Generation_ >= Row_.Generation_);
    Row_ = Write.Row_;
    ++Version_;
    if (!ReplyLost)
      Vm.Lease_.adopt(Row_, Version_, Vm.local(Real_));
  }

  /// Announces targets of other owners for which the VM has no order in flight;
  /// only some VMs receive it.
  void announceHandovers(SimulatedVm &Vm) {
    for (const std::string &Target : TargetNames) {
      const auto &[By, Until] = Orders_[Target];
      bool IsInFlight = By == incarnationOf(Vm) && Until > Real_;
      if (Vm.Lease_.owns(Target) || IsInFlight)
        continue;
      for (SimulatedVm &Other : Vms_)
        if (*rc::gen::inRange(0, 3) > 0)
          Other.Lease_.recordHandover(Vm.Name_, Vm.Incarnation_, {Target},
                                      Vm.Lease_.fencingToken());
    }
  }

  static std::string incarnationOf(const SimulatedVm &Vm) {
    return Vm.Name_ + "/" + Vm.Incarnation_;
  }

  /// Every VM that may give orders in its own view does so.
  void issueOrders() {
    for (const std::string &Target : TargetNames) {
      int Owners = 0;
      for (SimulatedVm &Vm : Vms_) {
        TimePoint Now = Vm.local(Real_);
        Owners += Vm.Lease_.mayOrder(Target, true, Now);
        if (!Vm.Lease_.mayOrder(Target, false, Now))
          continue;
        std::string Incarnation = incarnationOf(Vm);
        auto &[By, Until] = Orders_[Target];
        RC_ASSERT(By.empty() || By == Incarnation || Until <= Real_);
        By = Incarnation;
        Until = Real_ + LeaseTerms().MaxOrderTime_;
      }
      RC_ASSERT(Owners <= 1);
    }
  }
};

} // namespace

TEST_CASE("ownership of targets") {
  rc::prop(
      "has at most one ordering VM at a time, through pauses, kills, lost "
      "replies and drift",
      [] {
        SimulatedDataCentre DataCentre;
        for (const char *Name : {"vm-1", "vm-2", "vm-3"})
          DataCentre.Vms_.push_back(DataCentre.makeVm(Name));
        std::vector<LeaseClaim> Sent;
        for (int Step = 0; Step < 300; ++Step) {
          DataCentre.Real_ += Duration(*rc::gen::inRange(50, 700) * 1000);
          auto Index = *rc::gen::inRange<std::size_t>(0, 3);
          SimulatedVm &Vm = DataCentre.Vms_[Index];
          switch (*rc::gen::weightedElement<int>(
              {{20, 0}, {1, 1}, {1, 2}, {3, 3}, {1, 4}, {6, 6}})) {
          case 1:
            Vm.PausedUntil_ = DataCentre.Real_ + *rc::gen::inRange(1, 30) * 1s;
            break;
          case 2:
            Vm = DataCentre.makeVm(Vm.Name_);
            break;
          case 3:
            Sent.push_back(Vm.Lease_.claim(Vm.local(DataCentre.Real_)));
            break;
          case 4:
            Vm.Lease_.stop();
            Vm.Write_ = {Vm.Lease_.withoutSelf(DataCentre.Row_),
                         DataCentre.Version_, DataCentre.Real_};
            break;
          case 6:
            DataCentre.announceHandovers(Vm);
            break;
          default:
            if (!Vm.Write_ && Vm.PausedUntil_ <= DataCentre.Real_)
              DataCentre.prepare(Vm, std::exchange(Sent, {}));
          }
          for (SimulatedVm &Writer : DataCentre.Vms_)
            if (Writer.Write_ && Writer.Write_->SendAt_ <= DataCentre.Real_)
              DataCentre.commit(Writer, *rc::gen::inRange(0, 6) == 0);
          DataCentre.issueOrders();
        }
      });

  SECTION("of a VM that renews its lease") {
    OwnerLease First({}, "vm-1", "a");
    TimePoint Now{};
    Now += 1h;
    LeaseRow Row = First.renewed({}, {First.claim(Now)}, Now);
    First.adopt(Row, 1, Now);
    REQUIRE(First.mayOrder("engine-1", false, Now));

    SECTION("expires by the VM's own clock") {
      REQUIRE_FALSE(First.mayOrder("engine-1", true, Now + 6s));
    }
    SECTION(
        "is adopted after it expired, at once by an observer of the expiry") {
      OwnerLease Second({}, "vm-2", "b");
      Second.adopt(Row, 1, Now);
      LeaseRow TwoHolders = Second.renewed(Row, {Second.claim(Now)}, Now);
      Second.adopt(TwoHolders, 2, Now);
      REQUIRE(TwoHolders.Generation_ == 2);
      TimePoint Later = Now + 7s;
      LeaseRow OneHolder =
          Second.renewed(TwoHolders, {Second.claim(Later)}, Later);
      Second.adopt(OneHolder, 3, Later);
      REQUIRE(OneHolder.Holders_.size() == 1);
      REQUIRE(Second.mayOrder("engine-1", true, Later));
      REQUIRE(Second.mayOrder("engine-2", true, Later));
    }
    SECTION("survives encoding and decoding of the row") {
      REQUIRE(decodeLeaseRow(encodeLeaseRow(Row)) == Row);
      REQUIRE_FALSE(decodeLeaseRow("{"));
    }
  }
}
