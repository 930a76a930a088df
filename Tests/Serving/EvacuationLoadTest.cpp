#include "Entry/ReceiveBudgets.h"
#include "Entry/TargetPicker.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>

using namespace anvil;
using namespace std::chrono_literals;
using nlohmann::json;

static const std::vector<std::string> DataCentres{"east", "north", "south"};

/// The services behind a VM's choice of target, with no network.
struct PickingVm {
  PickingVm(const std::string &DataCentre, int TargetsEach) {
    Settings_.DataCentre_ = DataCentre;
    Settings_.Listen_.Address_ = "127.0.0.1";
    Settings_.Store_.Address_ = "127.0.0.1:9";
    auto Executor = Loop_.get_executor();
    auto Counts = std::make_shared<Metrics>();
    auto Store = std::make_shared<platform::StoreClient>(
        Endpoint{"127.0.0.1", 9}, std::chrono::seconds(1), Counts);
    Services_.add(Counts);
    Services_.add(
        std::make_shared<ReceiveBudgets>(std::size_t(1) << 28, Counts));
    Services_.add(Store);
    Plans_ = std::make_shared<PlanService>(Executor, Settings_, Store);
    Services_.add(Plans_);
    auto Targets =
        std::make_shared<TargetListService>(Executor, Settings_, Store);
    Services_.add(Targets);
    Services_.add(std::make_shared<FleetLink>(Executor, Settings_, Timers_));
    Fleet_ = std::make_shared<FleetState>(Settings_, "vm", "life", Services_);
    Services_.add(Fleet_);
    Services_.add(std::make_shared<ReachService>(Executor, Settings_, Timers_,
                                                 Services_));
    Services_.add(std::make_shared<EngineOwnershipService>(Executor, Settings_,
                                                           "life", Services_));
    Services_.add(std::make_shared<ColdTargets>(Services_));
    Services_.add(std::make_shared<TargetPermits>(Settings_, Services_));
    Picker_ = std::make_shared<TargetPicker>(Settings_, Services_);
    std::vector<RegisteredTarget> Listed;
    for (const std::string &Where : DataCentres)
      for (int Index = 0; Index < TargetsEach; ++Index) {
        RegisteredTarget Target;
        Target.Id_ = Where + "-" + std::to_string(Index);
        Target.Incarnation_ = 7;
        Target.Service_ = "plain";
        Target.Address_ = "127.0.0.1:9";
        Target.DataCentre_ = Where;
        Target.Slots_ = 8;
        Listed.push_back(Target);
      }
    Targets->roster().applyList(Listed, BootClock::now());
    json Plan = {{"Version", 1}, {"Services", {{{"Name", "plain"}}}}};
    apply({"config", Plan.dump(), 1});
  }

  void apply(const TableRow &Row) {
    Plans_->applyPeerRows({Row}, {RowSource::PeerNotice, std::nullopt});
  }

  /// Chooses targets for so many requests that run together. Returns the
  /// numbers by data centre, with those that are refused under "".
  std::map<std::string, int> place(int Requests) {
    std::map<std::string, int> Placed;
    std::vector<std::string> Running;
    for (int Index = 0; Index < Requests; ++Index) {
      auto Chosen = Picker_->pick(Query_, BootClock::now());
      ++Placed[Chosen ? Chosen->DataCentre_ : ""];
      if (!Chosen)
        continue;
      Fleet_->recordStart(Chosen->Target_, "", 1, 1);
      Running.push_back(Chosen->Target_);
    }
    for (const std::string &Target : Running)
      Fleet_->recordEnd(Target, "", 1);
    return Placed;
  }

  boost::asio::io_context Loop_{1};
  TimerService Timers_;
  EntrySettings Settings_;
  ServiceRegistry Services_;
  std::shared_ptr<PlanService> Plans_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<TargetPicker> Picker_;
  TargetQuery Query_{"plain", "", "", "", {}, {}};
};

/// Guards against requests that still go to a data centre that the operator
/// empties, also where most callers are there, and against one that gets none
/// after it was taken back. The load is half of the slots that are left.
TEST_CASE("a data centre of three is emptied under load",
          "[EVAC][evacuation]") {
  int Vms = GENERATE(8, 60);
  INFO(Vms << " VMs");
  constexpr int SlotsEach = 8;
  // As many targets as VMs; each VM sends its part of the load.
  int TargetsEach = (Vms + 2) / 3;
  int Requests = std::max(1, 2 * TargetsEach * SlotsEach / 2 / Vms);
  int ToEvacuated = 0;
  int Refused = 0;
  int AfterReturn = 0;
  for (int Index = 0; Index < Vms; ++Index) {
    PickingVm Vm(DataCentres[static_cast<std::size_t>(Index) % 3], TargetsEach);
    auto Before = Vm.place(Requests);
    CHECK(Before[""] == 0);
    Vm.apply({"evacuate/north", "{}", 2});
    auto Meanwhile = Vm.place(Requests);
    ToEvacuated += Meanwhile["north"];
    Refused += Meanwhile[""];
    // An older copy of the row must not bring the evacuation back.
    Vm.apply({"evacuate/north", "", 3, true});
    Vm.apply({"evacuate/north", "{}", 2});
    AfterReturn += Vm.place(Requests)["north"];
  }
  CHECK(ToEvacuated == 0);
  CHECK(Refused == 0);
  CHECK(AfterReturn > 0);
}

TEST_CASE("a choice that was made before an evacuation", "[EVAC][evacuation]") {
  PickingVm Vm("north", 1);
  auto Chosen = Vm.Picker_->pick(Vm.Query_, BootClock::now());
  REQUIRE(Chosen);
  REQUIRE_FALSE(Vm.Picker_->isEvacuated(*Chosen));
  Vm.apply({"evacuate/" + Chosen->DataCentre_, "{}", 2});
  CHECK_FALSE(Vm.Picker_->isFullyEvacuated(Vm.Query_));
  SECTION("no longer holds") {
    CHECK(Vm.Picker_->isEvacuated(*Chosen));
    CHECK(Vm.Picker_->pick(Vm.Query_, BootClock::now()));
  }
  SECTION("has no other target once all data centres are evacuated") {
    for (const std::string &DataCentre : DataCentres)
      Vm.apply({"evacuate/" + DataCentre, "{}", 3});
    CHECK_FALSE(Vm.Picker_->pick(Vm.Query_, BootClock::now()));
    CHECK(Vm.Picker_->isFullyEvacuated(Vm.Query_));
    CHECK_FALSE(Vm.Picker_->untilResumed(Vm.Query_, BootClock::now()));
  }
}

/// Guards against a request beyond a target's rate after connecting took long.
TEST_CASE("a permit at the time of the send", "[EVAC][target-limit]") {
  PickingVm Vm("north", 1);
  auto Permits = Vm.Services_.require<TargetPermits>(TargetPermits::Name);
  TimePoint Now = BootClock::now();
  CHECK(Permits->maySend("north-0", 7, std::nullopt, Now));
  Vm.Fleet_->limits().recordLimit("north-0", 7, 5, Now, Now);
  SECTION("is missing if the target stated its limit after the choice") {
    CHECK_FALSE(Permits->maySend("north-0", 7, std::nullopt, Now));
  }
  SECTION("is valid for a short time") {
    CHECK(Permits->maySend("north-0", 7, Now, Now + 200ms));
    CHECK_FALSE(Permits->maySend("north-0", 7, Now, Now + 201ms));
  }
}

TEST_CASE("a new plan is in force only with its evacuations",
          "[EVAC][evacuation]") {
  PickingVm Vm("north", 1);
  bool WasEvacuated = false;
  Vm.Plans_->Changed_.attach([&](const ServingPlan &) {
    WasEvacuated = Vm.Plans_->evacuations().isEvacuated("north");
  });
  json Plan = {{"Version", 2}, {"Services", {{{"Name", "plain"}}}}};
  Vm.Plans_->applyPeerRows(
      {{"config", Plan.dump(), 3}, {"evacuate/north", "{}", 2}},
      {RowSource::PeerPage, std::nullopt});
  CHECK(WasEvacuated);
}
