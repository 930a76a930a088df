#include "Serving/CustomerBudget.h"
#include "Serving/FleetBook.h"
#include "Serving/FleetLayout.h"
#include "Serving/NewsSchedule.h"

#include <catch2/catch.hpp>

#include <numeric>
#include <random>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};
constexpr double Rate = 40000;
constexpr double Burst = 40000;
constexpr Duration Step = 60ms;
constexpr Duration RulesWindow = 8s;
constexpr Duration TellPeriod = 400ms;
constexpr std::size_t Tellers = 2;

ServingPlan planFor(const std::vector<std::string> &Customers) {
  std::vector<CustomerPlan> Plans;
  for (const std::string &Name : Customers) {
    CustomerPlan Customer;
    Customer.Name_ = Name;
    Customer.TokensPerSecond_ = Rate;
    Customer.BurstTokens_ = Burst;
    Plans.push_back(Customer);
  }
  return ServingPlan(1, {}, {}, Plans, {});
}

/// One VM with what it knows of the others.
struct PlayedVm {
  std::string Name_;
  std::size_t DataCentre_ = 0;
  CustomerBudget Budget_;
  FleetBook Book_;
  std::uint64_t Sequence_ = 0;
  int Life_ = 0;
  bool Alive_ = true;
  TimePoint NextNews_{};
  TimePoint NextAbroad_{};

  std::string life() const { return std::to_string(Life_); }
};

/// A fleet whose VMs hear each other within a data centre, and two of each data
/// centre tell the others of it.
class PlayedFleet {
public:
  PlayedFleet(std::size_t DataCentres, std::size_t VmsEach,
              std::vector<std::string> Customers)
      : VmsEach_(VmsEach), Customers_(std::move(Customers)),
        Vms_(DataCentres * VmsEach), Random_(7) {
    for (std::size_t Index = 0; Index < Vms_.size(); ++Index) {
      PlayedVm &Vm = Vms_[Index];
      Vm.Name_ = "vm-" + std::to_string(Index);
      Vm.DataCentre_ = Index / VmsEach;
      Vm.Budget_.setPlan(planFor(Customers_), 1.0, Start - 4s);
      Vm.NextNews_ = Start - 4s + spread(newsPeriod(VmsEach_ - 1));
      Vm.NextAbroad_ = Start - 4s + spread(TellPeriod);
    }
  }

  /// Cuts a data centre off from the others, or heals the cut.
  void setCut(std::size_t DataCentre, bool IsCut) {
    CutDataCentre_ = IsCut ? std::optional(DataCentre) : std::nullopt;
  }

  /// Kills the first VMs of each data centre, which tell of it, or starts them.
  void setTellersAlive(bool Alive, TimePoint Now) {
    for (std::size_t Index = 0; Index < Vms_.size(); ++Index) {
      PlayedVm &Vm = Vms_[Index];
      if (Index % VmsEach_ >= Tellers || Vm.Alive_ == Alive)
        continue;
      Vm.Alive_ = Alive;
      if (!Alive)
        continue;
      Vm.Budget_ = CustomerBudget();
      Vm.Budget_.setPlan(planFor(Customers_), 0.05, Now);
      Vm.Book_ = FleetBook();
      Vm.Sequence_ = 0;
      ++Vm.Life_;
    }
  }

  /// Plays one step: news that are due, then requests of each customer for
  /// `Demand` times its rate, each at any VM. Counts what was served.
  void step(TimePoint Now, const std::map<std::string, double> &Demand) {
    for (PlayedVm &Vm : Vms_) {
      if (!Vm.Alive_)
        continue;
      if (Vm.NextNews_ <= Now) {
        Vm.NextNews_ = Now + newsPeriod(VmsEach_ - 1);
        tellNear(Vm, Now);
      }
      if (Vm.NextAbroad_ <= Now) {
        Vm.NextAbroad_ = Now + TellPeriod;
        if (placeOf(Vm) < Tellers)
          tellAbroad(Vm, Now);
      }
    }
    for (const auto &[Customer, Times] : Demand) {
      double Served = 0;
      double &Left = Left_[Customer];
      for (Left += Times * Rate * toSeconds(Step); Left > 0;) {
        double Size = 200 + static_cast<double>(Random_() % 1600);
        Left -= Size;
        PlayedVm &Vm = Vms_[Random_() % Vms_.size()];
        Asked_[Customer] += Size;
        if (Vm.Alive_ && Vm.Budget_.charge(Customer, Size, Now).Allowed_)
          Served += Size;
        else if (Vm.Alive_)
          Refused_[Customer] += Size;
      }
      Served_[Customer].push_back(Served);
    }
  }

  double refusedPart(const std::string &Customer) const {
    auto Found = Refused_.find(Customer);
    return Found == Refused_.end() ? 0 : Found->second / Asked_.at(Customer);
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

  /// A VM's place in the line of those that tell of its data centre.
  std::size_t placeOf(const PlayedVm &Vm) const {
    std::size_t Place = 0;
    for (const PlayedVm &Other : Vms_) {
      if (&Other == &Vm)
        break;
      Place += Other.DataCentre_ == Vm.DataCentre_ && Other.Alive_ ? 1 : 0;
    }
    return Place;
  }

  void updateReach(PlayedVm &Vm, TimePoint Now) {
    double Heard = static_cast<double>(Vm.Book_.heardVms(Now) + 1);
    Vm.Budget_.setReach(std::min(1.0, Heard / static_cast<double>(Vms_.size())),
                        Now);
  }

  void tellNear(PlayedVm &Vm, TimePoint Now) {
    Vm.Book_.expire(Now);
    updateReach(Vm, Now);
    VmNews News;
    News.Vm_ = Vm.Name_;
    News.Incarnation_ = Vm.life();
    News.Sequence_ = ++Vm.Sequence_;
    News.Period_ = newsPeriod(VmsEach_ - 1);
    for (PlayedVm &Other : Vms_)
      if (&Other != &Vm && Other.Alive_ &&
          Other.DataCentre_ == Vm.DataCentre_ && Other.Book_.apply(News, Now)) {
        Other.Budget_.notePeer(Vm.Name_, Vm.life(), Vm.Budget_.spent(), Now);
        updateReach(Other, Now);
      }
  }

  void tellAbroad(PlayedVm &Vm, TimePoint Now) {
    DataCentreNews News;
    News.DataCentre_ = std::to_string(Vm.DataCentre_);
    News.Teller_ = Vm.Name_;
    News.Incarnation_ = Vm.life();
    News.Sequence_ = ++Vm.Sequence_;
    News.Period_ = TellPeriod;
    News.Vms_ = 1;
    Vm.Book_.addNear(News, Now);
    for (PlayedVm &Other : Vms_) {
      bool IsCut = CutDataCentre_ && (*CutDataCentre_ == Vm.DataCentre_ ||
                                      *CutDataCentre_ == Other.DataCentre_);
      if (IsCut || !Other.Alive_ || Other.DataCentre_ == Vm.DataCentre_ ||
          !Other.Book_.apply(News, Now))
        continue;
      Other.Budget_.noteDataCentre(News.DataCentre_, Vm.Name_, Vm.life(),
                                   Vm.Budget_.groupSpent(),
                                   newsTime(TellPeriod), Now);
    }
  }

  std::size_t VmsEach_;
  std::vector<std::string> Customers_;
  std::vector<PlayedVm> Vms_;
  std::mt19937 Random_;
  std::optional<std::size_t> CutDataCentre_;
  /// What customers still ask for, below zero after a large request.
  std::map<std::string, double> Left_;
  std::map<std::string, double> Asked_;
  std::map<std::string, double> Refused_;
  std::map<std::string, std::vector<double>> Served_;
};

} // namespace

TEST_CASE("customers' rates over 195 VMs in 5 data centres",
          "[fleet][rate-limit][load]") {
  PlayedFleet Fleet(5, 39, {"calm", "hot"});
  constexpr double InWindow = Rate * 8 + Burst;
  constexpr double Bound = InWindow * 1.1 + 17000;
  // The VMs hear each other before the first request comes.
  for (TimePoint Now = Start - 4s; Now < Start; Now += Step)
    Fleet.step(Now, {});
  auto Play = [&](Duration From, Duration Until) {
    for (TimePoint Now = Start + From; Now < Start + Until; Now += Step)
      Fleet.step(Now, {{"calm", 0.8}, {"hot", 7.5}});
  };
  SECTION("a customer within its rate is not refused, and one that sends "
          "several times its rate stays within it") {
    Play(0s, 14s);
    CHECK(Fleet.refusedPart("calm") < 0.01);
    CHECK(Fleet.worstWindow("hot") <= Bound);
    CHECK(Fleet.worstWindow("hot") >= Rate * 8 * 0.9);
  }
  SECTION("also while the VMs that tell of their data centres die and return") {
    Play(0s, 5s);
    Fleet.setTellersAlive(false, Start + 5s);
    Play(5s, 8s);
    Fleet.setTellersAlive(true, Start + 8s);
    Play(8s, 14s);
    // VMs that have just started, one in twenty, hold little for some seconds.
    CHECK(Fleet.refusedPart("calm") < 0.05);
    CHECK(Fleet.worstWindow("hot") <= Bound);
  }
  SECTION("and no rate is exceeded while a data centre is cut off") {
    Play(0s, 4s);
    Fleet.setCut(2, true);
    Play(4s, 10s);
    Fleet.setCut(2, false);
    Play(10s, 16s);
    CHECK(Fleet.worstWindow("hot") <= Bound);
  }
}
