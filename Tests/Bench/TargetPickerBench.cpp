#include "Entry/ReceiveBudgets.h"
#include "Entry/TargetPicker.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <benchmark/benchmark.h>

using namespace anvil;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int AdapterSlots = 10;

/// An entry VM's services that know `Engines` engines with full adapter slots,
/// without a store or other VMs.
class PickerFixture {
public:
  explicit PickerFixture(std::int64_t Engines) {
    Settings_.Vm_ = "vm-1";
    Settings_.DataCentre_ = "north";
    Settings_.Store_.Address_ = "127.0.0.1:1";
    auto Executor = Loop_.get_executor();
    auto Counts = std::make_shared<Metrics>();
    Services_.add(Counts);
    Services_.add(
        std::make_shared<ReceiveBudgets>(std::size_t(1) << 28, Counts));
    auto Store = std::make_shared<platform::StoreClient>(
        Endpoint{"127.0.0.1", 1}, 1s, Counts);
    Services_.add(Store);
    auto Plans = std::make_shared<PlanService>(Executor, Settings_, Store);
    Services_.add(Plans);
    auto Targets =
        std::make_shared<TargetListService>(Executor, Settings_, Store);
    Services_.add(Targets);
    Services_.add(std::make_shared<FleetLink>(Executor, Settings_, Timers_));
    auto Fleet = std::make_shared<FleetState>(Settings_, Settings_.holderName(),
                                              "1", Services_);
    Services_.add(Fleet);
    Services_.add(std::make_shared<ReachService>(Executor, Settings_, Timers_,
                                                 Services_));
    Services_.add(std::make_shared<EngineOwnershipService>(Executor, Settings_,
                                                           "1", Services_));
    Services_.add(std::make_shared<ColdTargets>(Services_));
    Services_.add(std::make_shared<TargetPermits>(Settings_, Services_));
    Picker_ = std::make_shared<TargetPicker>(Settings_, Services_);
    Plans->applyPeerRows({{"config", plan().dump(), 1}}, {});
    addEngines(Engines, *Targets, *Fleet);
  }

  TargetPicker &picker() { return *Picker_; }

private:
  static json plan() {
    json Model = {{"Name", "base"}, {"Adapters", 10000}, {"AdapterMb", 12}};
    json Engine = {{"Slots", 12},
                   {"KvTokens", 80000},
                   {"MaxAdapters", AdapterSlots},
                   {"Models", json::array({Model})}};
    json Service = {{"Name", "engines"}, {"Engine", Engine}};
    json Route = {{"Name", "chat"},
                  {"Host", "h"},
                  {"PathPrefix", "/c/"},
                  {"RouteType", "streaming"},
                  {"Service", "engines"}};
    return {{"Version", 1},
            {"Routes", json::array({Route})},
            {"Services", json::array({Service})}};
  }

  static void addEngines(std::int64_t Count, TargetListService &Targets,
                         FleetState &Fleet) {
    std::vector<RegisteredTarget> Listed;
    TimePoint Now = BootClock::now();
    for (std::int64_t Index = 0; Index < Count; ++Index) {
      RegisteredTarget Entry;
      Entry.Id_ = "i-5324b0dd" + std::to_string(Index);
      Entry.Incarnation_ = 1;
      Entry.Service_ = "engines";
      Entry.Address_ = "127.0.0.1:9000";
      Entry.DataCentre_ = "north";
      Entry.Slots_ = 12;
      EngineInventory Inventory{1, true, {}, 1h, "vm-2"};
      for (int Slot = 0; Slot < AdapterSlots; ++Slot)
        Inventory.Adapters_["a" + std::to_string(Index * AdapterSlots + Slot)] =
            {1, {}};
      Fleet.view().applyInventory(Entry.Id_, Inventory, Now);
      for (int Request = 0; Request < 4; ++Request)
        Fleet.recordStart(Entry.Id_,
                          "a" + std::to_string(Index * AdapterSlots + Request),
                          900, 600);
      Listed.push_back(std::move(Entry));
    }
    Targets.roster().applyList(std::move(Listed), Now);
  }

  EntrySettings Settings_;
  boost::asio::io_context Loop_;
  TimerService Timers_;
  ServiceRegistry Services_;
  std::shared_ptr<TargetPicker> Picker_;
};

} // namespace

/// The choice of target for an adapter that an engine has (second argument 1)
/// or that none has (0).
static void pickTarget(benchmark::State &State) {
  PickerFixture Fixture(State.range(0));
  TargetQuery Query;
  Query.Service_ = "engines";
  Query.Model_ = "base";
  Query.Adapter_ = State.range(1) ? "a5" : "cold";
  Query.Shape_ = {600, 300, false};
  for (auto Step : State)
    benchmark::DoNotOptimize(Fixture.picker().pick(Query, BootClock::now()));
}
BENCHMARK(pickTarget)
    ->Args({18, 1})
    ->Args({18, 0})
    ->Args({145, 1})
    ->Args({145, 0});
