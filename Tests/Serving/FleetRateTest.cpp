#include "Serving/CustomerBudget.h"
#include "Serving/FleetTopology.h"
#include "Serving/FleetView.h"
#include "Serving/UpdateSchedule.h"

#include <catch2/catch.hpp>

#include <numeric>
#include <random>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};
constexpr Duration Step = 60ms;
constexpr Duration RulesWindow = 8s;
constexpr Duration SummaryPeriod = 400ms;
constexpr std::size_t SendersPerDataCentre = 2;

/// A fleet and the customers' rate, which is also their burst.
struct FleetSize {
  std::size_t DataCentres_ = 1;
  std::size_t VmsEach_ = 1;
  double Rate_ = 0;
  double MeanTokens_ = 0;
};

ServingPlan planFor(const std::vector<std::string> &Customers, double Rate) {
  std::vector<CustomerPlan> Plans;
  for (const std::string &Name : Customers) {
    CustomerPlan Customer;
    Customer.Name_ = Name;
    Customer.TokensPerSecond_ = Rate;
    Customer.BurstTokens_ = Rate;
    Plans.push_back(Customer);
  }
  return ServingPlan(1, {}, {}, Plans, {});
}

/// One VM with its view of the others.
struct SimulatedVm {
  std::string Name_;
  std::size_t DataCentre_ = 0;
  CustomerBudget Budget_;
  FleetView View_;
  std::uint64_t Sequence_ = 0;
  int Restarts_ = 0;
  bool Alive_ = true;
  /// Whether it is cut from all other VMs; callers still reach it.
  bool Isolated_ = false;
  TimePoint NextUpdate_{};
  TimePoint NextSummary_{};

  std::string incarnation() const { return std::to_string(Restarts_); }
};

/// A simulated fleet whose VMs exchange updates within a data centre; two VMs
/// of each data centre send its summary to the others.
class SimulatedFleet {
public:
  SimulatedFleet(FleetSize Size, std::vector<std::string> Customers)
      : Size_(Size), VmsEach_(Size.VmsEach_), Customers_(std::move(Customers)),
        Vms_(Size.DataCentres_ * Size.VmsEach_), Random_(7) {
    for (std::size_t Index = 0; Index < Vms_.size(); ++Index) {
      SimulatedVm &Vm = Vms_[Index];
      Vm.Name_ = "vm-" + std::to_string(Index);
      Vm.DataCentre_ = Index / VmsEach_;
      Vm.Budget_.setPlan(planFor(Customers_, Size_.Rate_), 1.0, Start - 4s);
      Vm.NextUpdate_ = Start - 4s + spread(updatePeriod(VmsEach_ - 1));
      Vm.NextSummary_ = Start - 4s + spread(SummaryPeriod);
    }
  }

  /// Partitions a data centre from the others, or ends the partition.
  void setPartition(std::size_t DataCentre, bool IsPartitioned) {
    PartitionedDataCentre_ =
        IsPartitioned ? std::optional(DataCentre) : std::nullopt;
  }

  /// Cuts every third VM from all others, or ends the cut.
  void setThirdIsolated(bool Isolated) {
    for (std::size_t Index = 0; Index < Vms_.size(); Index += 3)
      Vms_[Index].Isolated_ = Isolated;
  }

  /// Stops the first VMs of each data centre, which send its summary, or
  /// restarts them.
  void setSendersAlive(bool Alive, TimePoint Now) {
    for (std::size_t Index = 0; Index < Vms_.size(); ++Index) {
      SimulatedVm &Vm = Vms_[Index];
      if (Index % VmsEach_ >= SendersPerDataCentre || Vm.Alive_ == Alive)
        continue;
      Vm.Alive_ = Alive;
      if (!Alive)
        continue;
      Vm.Budget_ = CustomerBudget();
      Vm.Budget_.setPlan(planFor(Customers_, Size_.Rate_), 0.05, Now);
      Vm.View_ = FleetView();
      Vm.Sequence_ = 0;
      ++Vm.Restarts_;
    }
  }

  /// Simulates one step: updates that are due, then requests of each customer
  /// at `Demand` times its rate, each at a random VM. Counts what was served.
  void step(TimePoint Now, const std::map<std::string, double> &Demand) {
    for (SimulatedVm &Vm : Vms_) {
      if (!Vm.Alive_)
        continue;
      if (Vm.NextUpdate_ <= Now) {
        Vm.NextUpdate_ = Now + updatePeriod(VmsEach_ - 1);
        sendUpdate(Vm, Now);
      }
      if (Vm.NextSummary_ <= Now) {
        Vm.NextSummary_ = Now + SummaryPeriod;
        if (rankOf(Vm) < SendersPerDataCentre)
          sendSummary(Vm, Now);
      }
    }
    for (const auto &[Customer, Times] : Demand) {
      double Served = 0;
      double &Remaining = Remaining_[Customer];
      for (Remaining += Times * Size_.Rate_ * toSeconds(Step); Remaining > 0;) {
        double Tokens = Size_.MeanTokens_ *
                        (0.2 + static_cast<double>(Random_() % 160) / 100);
        Remaining -= Tokens;
        SimulatedVm &Vm = Vms_[Random_() % Vms_.size()];
        Requested_[Customer] += Tokens;
        if (Vm.Alive_ && Vm.Budget_.charge(Customer, Tokens, Now).Allowed_)
          Served += Tokens;
        else if (Vm.Alive_)
          Refused_[Customer] += Tokens;
      }
      Served_[Customer].push_back(Served);
    }
  }

  double refusedShare(const std::string &Customer) const {
    auto Found = Refused_.find(Customer);
    return Found == Refused_.end() ? 0
                                   : Found->second / Requested_.at(Customer);
  }

  /// The most tokens that a customer got in any window of the rules.
  double worstWindow(const std::string &Customer) const {
    const auto &Served = Served_.at(Customer);
    auto Steps = static_cast<std::size_t>(RulesWindow / Step);
    double Worst = 0;
    for (std::size_t From = 0; From + Steps <= Served.size(); ++From)
      Worst =
          std::max(Worst, std::accumulate(Served.begin() + From,
                                          Served.begin() + From + Steps, 0.0));
    return Worst;
  }

private:
  Duration spread(Duration Period) {
    return Period * static_cast<int>(Random_() % 100) / 100;
  }

  /// The rank of a VM among the possible senders of its data centre's summary.
  std::size_t rankOf(const SimulatedVm &Vm) const {
    std::size_t Rank = 0;
    for (const SimulatedVm &Other : Vms_) {
      if (&Other == &Vm)
        break;
      Rank += Other.DataCentre_ == Vm.DataCentre_ && Other.Alive_ ? 1 : 0;
    }
    return Rank;
  }

  void updateReachableShare(SimulatedVm &Vm, TimePoint Now) {
    double Reachable = static_cast<double>(Vm.View_.reachableVms(Now) + 1);
    Vm.Budget_.setReachableShare(
        std::min(1.0, Reachable / static_cast<double>(Vms_.size())), Now);
    Vm.Budget_.setReachableVms(Vm.View_.reachableVms(Now) + 1);
  }

  void sendUpdate(SimulatedVm &Vm, TimePoint Now) {
    Vm.View_.expire(Now);
    updateReachableShare(Vm, Now);
    VmStateUpdate Update;
    Update.Vm_ = Vm.Name_;
    Update.Incarnation_ = Vm.incarnation();
    Update.Sequence_ = ++Vm.Sequence_;
    Update.Period_ = updatePeriod(VmsEach_ - 1);
    for (SimulatedVm &Other : Vms_)
      if (&Other != &Vm && Other.Alive_ && !Vm.Isolated_ && !Other.Isolated_ &&
          Other.DataCentre_ == Vm.DataCentre_ &&
          Other.View_.apply(Update, Now)) {
        Other.Budget_.recordPeerSpending(Vm.Name_, Vm.incarnation(),
                                         Vm.Budget_.spent(), Now);
        updateReachableShare(Other, Now);
      }
  }

  void sendSummary(SimulatedVm &Vm, TimePoint Now) {
    DataCentreSummary Update;
    Update.DataCentre_ = std::to_string(Vm.DataCentre_);
    Update.Sender_ = Vm.Name_;
    Update.Incarnation_ = Vm.incarnation();
    Update.Sequence_ = ++Vm.Sequence_;
    Update.Period_ = SummaryPeriod;
    Update.Vms_ = 1;
    Vm.View_.addLocalUpdates(Update, Now);
    for (SimulatedVm &Other : Vms_) {
      bool IsPartitioned = PartitionedDataCentre_ &&
                           (*PartitionedDataCentre_ == Vm.DataCentre_ ||
                            *PartitionedDataCentre_ == Other.DataCentre_);
      if (IsPartitioned || Vm.Isolated_ || Other.Isolated_ || !Other.Alive_ ||
          Other.DataCentre_ == Vm.DataCentre_ ||
          !Other.View_.apply(Update, Now))
        continue;
      Other.Budget_.recordRemoteSpending(
          Update.DataCentre_, Vm.Name_, Vm.incarnation(),
          Vm.Budget_.spentWithPeers(), updateValidity(SummaryPeriod), Now);
    }
  }

  FleetSize Size_;
  std::size_t VmsEach_;
  std::vector<std::string> Customers_;
  std::vector<SimulatedVm> Vms_;
  std::mt19937 Random_;
  std::optional<std::size_t> PartitionedDataCentre_;
  /// The tokens that customers still request, negative after a large request.
  std::map<std::string, double> Remaining_;
  std::map<std::string, double> Requested_;
  std::map<std::string, double> Refused_;
  std::map<std::string, std::vector<double>> Served_;
};

} // namespace

/// A hot customer gets more than its rate if each VM spends what the others
/// have spent already and not reported yet.
TEST_CASE("customers' rates over many VMs in several data centres",
          "[fleet][rate-limit][load]") {
  auto Size =
      GENERATE(FleetSize{5, 39, 40000, 1000}, FleetSize{3, 21, 220000, 2250});
  INFO(Size.DataCentres_ * Size.VmsEach_ << " VMs");
  const double Rate = Size.Rate_;
  SimulatedFleet Fleet(Size, {"calm", "hot"});
  const double InWindow = Rate * 8 + Rate;
  const double Bound = InWindow * 1.1 + 17000;
  // The VMs receive each other's updates before the first request arrives.
  for (TimePoint Now = Start - 4s; Now < Start; Now += Step)
    Fleet.step(Now, {});
  auto Run = [&](Duration From, Duration Until) {
    for (TimePoint Now = Start + From; Now < Start + Until; Now += Step)
      Fleet.step(Now, {{"calm", 0.8}, {"hot", 7.5}});
  };
  SECTION("a customer within its rate is not refused, and one that sends "
          "several times its rate stays within it") {
    Run(0s, 14s);
    CHECK(Fleet.refusedShare("calm") < 0.01);
    CHECK(Fleet.worstWindow("hot") <= Bound);
    CHECK(Fleet.worstWindow("hot") >= Rate * 8 * 0.9);
  }
  SECTION("also while the senders of the data centres' summaries restart") {
    Run(0s, 5s);
    Fleet.setSendersAlive(false, Start + 5s);
    Run(5s, 8s);
    Fleet.setSendersAlive(true, Start + 8s);
    Run(8s, 14s);
    // Newly started VMs, one in twenty, have low balances for some seconds.
    CHECK(Fleet.refusedShare("calm") < 0.05);
    CHECK(Fleet.worstWindow("hot") <= Bound);
  }
  SECTION("nor while a third of the VMs are cut from all others, and once "
          "they are back") {
    Run(0s, 1s);
    Fleet.setThirdIsolated(true);
    Run(1s, 13s);
    Fleet.setThirdIsolated(false);
    Run(13s, 22s);
    CHECK(Fleet.worstWindow("hot") <= Bound);
  }
  SECTION("and no rate is exceeded while a data centre is partitioned") {
    Run(0s, 4s);
    Fleet.setPartition(2, true);
    Run(4s, 10s);
    Fleet.setPartition(2, false);
    Run(10s, 16s);
    CHECK(Fleet.worstWindow("hot") <= Bound);
  }
}
