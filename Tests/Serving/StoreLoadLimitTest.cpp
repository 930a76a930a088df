#include "Serving/StoreLoadLimit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};
constexpr Duration Step = 5ms;

/// The latency of an update from one VM to the others.
constexpr Duration UpdateLatency = 150ms;

/// The load time of a store that is not overloaded.
constexpr Duration LoadTime = 250ms;

/// Simulates a weight store whose load times grow in proportion beyond a number
/// of concurrent loads, and VMs that start loads as far as their limits allow.
class StoreLoad {
public:
  StoreLoad(double Capacity, std::size_t Engines, std::size_t Vms,
            double RequestedPerSecond, unsigned Seed)
      : Capacity_(Capacity), RequestedPerSecond_(RequestedPerSecond), Vms_(Vms),
        Random_(Seed) {
    for (StoreLoadLimit &Vm : Vms_)
      Vm.setEngines(Engines);
  }

  /// Sets the factor by which every load takes longer.
  void slowDown(double Factor) { SlowdownFactor_ = Factor; }

  void run(Duration Length) {
    for (Duration At{}; At < Length; At += Step)
      step();
  }

  double limitOf(std::size_t Vm) const { return Vms_[Vm].limit(); }
  double maxInTransit() const { return MaxInTransit_; }
  void resetMaxInTransit() { MaxInTransit_ = 0; }
  int finished() const { return Finished_; }

private:
  struct Load {
    std::size_t Vm_ = 0;
    TimePoint ExpectedAt_{};
    /// The completed fraction of the load.
    double Done_ = 0;
    bool Reported_ = false;
  };
  struct Update {
    TimePoint ArrivesAt_{};
    std::size_t From_ = 0;
    bool Late_ = false;
  };

  void recordLoad(std::size_t Vm, bool IsLate) {
    Vms_[Vm].recordLoads({IsLate ? 0U : 1U, IsLate ? 1U : 0U},
                         static_cast<double>(Loads_.size()), Now_);
  }

  void report(Load &Item, bool IsLate) {
    Item.Reported_ = true;
    recordLoad(Item.Vm_, IsLate);
    Updates_.push_back({Now_ + UpdateLatency, Item.Vm_, IsLate});
  }

  void step() {
    Now_ += Step;
    while (!Updates_.empty() && Updates_.front().ArrivesAt_ <= Now_) {
      for (std::size_t Vm = 0; Vm < Vms_.size(); ++Vm)
        if (Vm != Updates_.front().From_)
          recordLoad(Vm, Updates_.front().Late_);
      Updates_.pop_front();
    }
    double Share =
        std::max(1.0, static_cast<double>(Loads_.size()) / Capacity_);
    double Progress =
        toSeconds(Step) / (toSeconds(LoadTime) * Share * SlowdownFactor_);
    for (Load &Item : Loads_) {
      Item.Done_ += Progress;
      if (!Item.Reported_ && Item.ExpectedAt_ <= Now_)
        report(Item, Item.Done_ < 1);
    }
    Finished_ += static_cast<int>(std::erase_if(Loads_, [](const Load &Item) {
      return Item.Done_ >= 1 && Item.Reported_;
    }));
    Requested_ += std::poisson_distribution<int>(RequestedPerSecond_ *
                                                 toSeconds(Step))(Random_);
    Requested_ = std::min(Requested_, MaxRequested);
    startLoads();
    MaxInTransit_ = std::max(MaxInTransit_, static_cast<double>(Loads_.size()));
  }

  void startLoads() {
    // Loads are delayed as by `EngineController`.
    constexpr double MaxFactor = 1.25;
    while (Requested_ > 0) {
      std::size_t Vm = std::uniform_int_distribution<std::size_t>(
          0, Vms_.size() - 1)(Random_);
      double Factor =
          (static_cast<double>(Loads_.size()) + 1) / Vms_[Vm].limit();
      if (Factor > MaxFactor)
        return;
      --Requested_;
      auto Expected = std::chrono::duration_cast<Duration>(
          LoadTime * std::max(1.0, Factor));
      Loads_.push_back({Vm, Now_ + Expected + Step, 0, false});
    }
  }

  static constexpr int MaxRequested = 200;

  double Capacity_;
  double RequestedPerSecond_;
  double SlowdownFactor_ = 1;
  std::vector<StoreLoadLimit> Vms_;
  std::vector<Load> Loads_;
  std::deque<Update> Updates_;
  std::mt19937 Random_;
  TimePoint Now_ = Start;
  double MaxInTransit_ = 0;
  int Requested_ = 0;
  int Finished_ = 0;
};

} // namespace

TEST_CASE("the concurrency limit of the weight store", "[load][store]") {
  SECTION("starts with a share for each engine") {
    StoreLoadLimit Limit;
    CHECK(Limit.limit() == 8);
    Limit.setEngines(100);
    CHECK(Limit.limit() == Approx(44));
    Limit.setEngines(10);
    CHECK(Limit.limit() == 8);
    SECTION("and is kept when engines come or go once it was adjusted") {
      Limit.recordLoads({4, 0}, 8, Start);
      double Adjusted = Limit.limit();
      CHECK(Adjusted > 8);
      Limit.setEngines(12);
      CHECK(Limit.limit() == Adjusted);
    }
  }
  SECTION("is not adjusted by loads from an idle store") {
    StoreLoadLimit Limit;
    Limit.recordLoads({50, 0}, 3, Start);
    CHECK(Limit.limit() == 8);
    Limit.recordLoads({0, 50}, 3, Start);
    CHECK(Limit.limit() == 8);
  }
  SECTION("is found within seconds under excess demand") {
    auto [Capacity, Engines] = GENERATE(table<double, std::size_t>(
        {{4.0, 9}, {8.0, 9}, {16.0, 18}, {60.0, 60}, {56.0, 145}}));
    auto Vms = GENERATE(std::size_t{8}, std::size_t{60});
    auto Seed = GENERATE(1U, 2U, 3U);
    INFO("capacity " << Capacity << ", " << Vms << " VMs, seed " << Seed);
    StoreLoad Simulation(Capacity, Engines, Vms, 12 * Capacity, Seed);
    Simulation.run(10s);
    Simulation.resetMaxInTransit();
    int Before = Simulation.finished();
    Simulation.run(20s);
    CHECK(Simulation.maxInTransit() <= std::max(2 * Capacity, 8.0));
    double Ideal = 20 * Capacity / toSeconds(LoadTime);
    CHECK(Simulation.finished() - Before >= 0.8 * Ideal);
  }
  SECTION("falls while the store is slow, and recovers") {
    StoreLoad Simulation(16, 18, 8, 200, 1);
    Simulation.run(10s);
    double Adjusted = Simulation.limitOf(0);
    Simulation.slowDown(5);
    Simulation.run(5s);
    CHECK(Simulation.limitOf(0) < 0.6 * Adjusted);
    Simulation.run(5s);
    Simulation.slowDown(1);
    Simulation.run(5s);
    CHECK(Simulation.limitOf(0) > 0.8 * Adjusted);
  }
}
