#include "Serving/CustomerBudget.h"
#include "Serving/BudgetBootstrap.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <numeric>
#include <random>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

static ServingPlan planOf(double Rate, double Burst) {
  CustomerPlan Customer;
  Customer.Name_ = "serenas";
  Customer.TokensPerSecond_ = Rate;
  Customer.BurstTokens_ = Burst;
  return ServingPlan(1, {}, {}, {Customer}, {});
}

TEST_CASE("a customer's budget", "[rate-limit]") {
  CustomerBudget Budget;
  Budget.setPlan(planOf(1000, 1000), 1.0, Start);
  SECTION("refuses what exceeds the rate and gives the time to retry") {
    REQUIRE(Budget.charge("serenas", 900, Start).Allowed_);
    auto Decision = Budget.charge("serenas", 600, Start);
    CHECK_FALSE(Decision.Allowed_);
    CHECK(Decision.RetryAfter_ == 500ms);
    CHECK(Budget.charge("serenas", 600, Start + 500ms).Allowed_);
  }
  SECTION("does not limit customers without a rate") {
    CHECK(Budget.charge("someone", 1e9, Start).Allowed_);
  }
  SECTION("refunds requests that did not run") {
    REQUIRE(Budget.charge("serenas", 900, Start).Allowed_);
    Budget.refund("serenas", 900, Start);
    CHECK(Budget.charge("serenas", 900, Start).Allowed_);
    CHECK(Budget.spent().at("serenas") == 900);
  }
  SECTION("charges the spending of other VMs") {
    Budget.recordPeerSpending("b", "life-1", {{"serenas", 5000}}, Start);
    CHECK(Budget.charge("serenas", 100, Start).Allowed_);
    Budget.recordPeerSpending("b", "life-1", {{"serenas", 5900}}, Start);
    CHECK_FALSE(Budget.charge("serenas", 100, Start).Allowed_);
    SECTION("also when one of them restarts") {
      Budget.recordPeerSpending("b", "life-2", {{"serenas", 500}}, Start + 1s);
      CHECK_FALSE(Budget.charge("serenas", 600, Start + 1s).Allowed_);
      CHECK(Budget.charge("serenas", 400, Start + 1s).Allowed_);
    }
  }
  SECTION("adopts the balances of another VM after a start") {
    REQUIRE(Budget.charge("serenas", 700, Start).Allowed_);
    CustomerBudget Started;
    Started.setPlan(planOf(1000, 1000), 0.05, Start);
    Started.adoptBalances(Budget.balances(Start), Start);
    CHECK_FALSE(Started.charge("serenas", 301, Start).Allowed_);
    CHECK(Started.charge("serenas", 300, Start).Allowed_);
    SECTION("also after overspending") {
      Started.adoptBalances({{"serenas", -500}}, Start);
      CHECK_FALSE(Started.charge("serenas", 100, Start + 500ms).Allowed_);
    }
  }
  SECTION("falls to its share when other VMs are unreachable") {
    Budget.setReachableShare(0.25, Start);
    CHECK_FALSE(Budget.charge("serenas", 300, Start).Allowed_);
    CHECK(Budget.charge("serenas", 250, Start).Allowed_);
    CHECK_FALSE(Budget.charge("serenas", 260, Start + 1s).Allowed_);
  }
}

TEST_CASE("a newly started VM", "[rate-limit]") {
  BudgetBootstrap Bootstrap(8s);
  SECTION(
      "makes the initial grant once it knows that all VMs are newly started") {
    CHECK_FALSE(Bootstrap.canGrant(0));
    Bootstrap.recordUpdate("b", 1s);
    CHECK_FALSE(Bootstrap.canGrant(4));
    Bootstrap.recordUpdate("c", 1s);
    CHECK(Bootstrap.canGrant(4));
    Bootstrap.endStartPhase(false);
    CHECK_FALSE(Bootstrap.canGrant(4));
    CHECK(Bootstrap.isNewlyStarted(Bootstrap.coveredTime(2s)));
  }
  SECTION("waits for the balances of a VM that kept running") {
    Bootstrap.recordUpdate("b", 1s);
    Bootstrap.recordUpdate("c", 9s);
    CHECK_FALSE(Bootstrap.canGrant(3));
    Bootstrap.endStartPhase(true);
    SECTION("and is then a source of balances itself") {
      CHECK_FALSE(Bootstrap.isNewlyStarted(Bootstrap.coveredTime(0s)));
    }
  }
  SECTION("makes the initial grant at once if it is alone") {
    CHECK(Bootstrap.canGrant(1));
  }
}

/// The most tokens in any window for one customer that sends several times its
/// rate to VMs that receive each other's updates after a lag. The bound is the
/// platform's: in any window no more than rate x window + burst, a tenth more,
/// and a fixed slack.
static double worstWindow(double Demand, Duration Lag, unsigned Seed,
                          int RestartEvery = 0, bool AllAtOnce = false) {
  constexpr int Vms = 8;
  constexpr double Rate = 10000;
  constexpr Duration Step = 20ms;
  constexpr int Steps = 1500;
  constexpr int Window = 400;
  std::mt19937 Random(Seed);
  std::vector<CustomerBudget> Budgets(Vms);
  for (CustomerBudget &Budget : Budgets) {
    Budget.setPlan(planOf(Rate, Rate), 1.0, Start);
    for (int Peer = 0; Peer < Vms; ++Peer)
      Budget.recordPeerSpending(std::to_string(Peer), "life", {}, Start);
  }
  std::vector<double> Served(Steps);
  std::vector<std::string> Incarnations(Vms, "life");
  auto LagSteps = static_cast<int>(Lag / Step);
  std::vector<std::vector<SpentTokens>> Reported(Steps);
  std::vector<std::vector<std::string>> ReportedIncarnations(Steps);
  for (int Index = 0; Index < Steps; ++Index) {
    TimePoint Now = Start + Step * Index;
    // VMs restart one after another, and do not know what was spent.
    bool IsRestart = RestartEvery > 0 && Index > 0 && Index % RestartEvery == 0;
    if (IsRestart && AllAtOnce) {
      for (int Vm = 0; Vm < Vms; ++Vm) {
        Budgets[Vm] = CustomerBudget();
        Budgets[Vm].setPlan(planOf(Rate, Rate), 0.05, Now);
        for (int Peer = 0; Peer < Vms; ++Peer)
          Budgets[Vm].recordPeerSpending(std::to_string(Peer), "", {}, Now);
        Budgets[Vm].grantInitialBalances({8s, 0.1, 17000}, Now);
        Incarnations[Vm] = "life-" + std::to_string(Index);
      }
    } else if (IsRestart) {
      int Vm = Index / RestartEvery % Vms;
      Budgets[Vm] = CustomerBudget();
      Budgets[Vm].setPlan(planOf(Rate, Rate), 0.05, Now);
      Incarnations[Vm] = "life-" + std::to_string(Index);
    }
    for (int Vm = 0; Vm < Vms; ++Vm) {
      if (Index >= LagSteps && !Reported[Index - LagSteps].empty())
        for (int Peer = 0; Peer < Vms; ++Peer)
          if (Peer != Vm)
            Budgets[Vm].recordPeerSpending(
                std::to_string(Peer),
                ReportedIncarnations[Index - LagSteps][Peer],
                Reported[Index - LagSteps][Peer], Now);
      double Requested = Demand * Rate * toSeconds(Step) / Vms;
      for (double Sent = 0; Sent < Requested;) {
        double Size = 200 + static_cast<double>(Random() % 800);
        Sent += Size;
        bool Arrives = Sent <= Requested || Random() % 2 == 0;
        if (Arrives && Budgets[Vm].charge("serenas", Size, Now).Allowed_)
          Served[Index] += Size;
      }
    }
    for (const CustomerBudget &Budget : Budgets)
      Reported[Index].push_back(Budget.spent());
    ReportedIncarnations[Index] = Incarnations;
  }
  double Worst = 0;
  for (int From = 0; From + Window <= Steps; ++From)
    Worst =
        std::max(Worst, std::accumulate(Served.begin() + From,
                                        Served.begin() + From + Window, 0.0));
  return Worst;
}

TEST_CASE("a customer above its rate is held to it over all VMs",
          "[rate-limit][load]") {
  double Demand = GENERATE(2.0, 7.5);
  constexpr double Rate = 10000;
  constexpr double WindowSeconds = 8;
  double Bound = (Rate * WindowSeconds + Rate) * 1.1 + 17000;
  CHECK(worstWindow(Demand, 120ms, 1) <= Bound);
  // The same while VMs restart one after another, one a second.
  CHECK(worstWindow(Demand, 120ms, 3, 50) <= Bound);
  // The same when all restart together.
  CHECK(worstWindow(Demand, 120ms, 4, 700, true) <= Bound);
  // The customer is not limited below its rate either.
  CHECK(worstWindow(Demand, 120ms, 2) >= Rate * WindowSeconds * 0.95);
}

TEST_CASE("customers are served again after all VMs have restarted",
          "[rate-limit][load]") {
  constexpr double Rate = 120000;
  CustomerBudget Budget;
  Budget.setPlan(planOf(Rate, Rate), 0.05, Start);
  Budget.grantInitialBalances({8s, 0.1, 17000}, Start);
  // Requests of one second at four fifths of the rate waited for the VMs; they
  // arrive within half a second, beside the regular ones.
  constexpr double RequestTokens = 1200;
  constexpr int Waiting = 80;
  constexpr int Arriving = 40;
  int Allowed = 0;
  for (int Request = 0; Request < Waiting + Arriving; ++Request)
    Allowed += Budget
                   .charge("serenas", RequestTokens,
                           Start + 500ms * Request / (Waiting + Arriving))
                   .Allowed_;
  CHECK(Allowed >= (Waiting + Arriving) * 2 / 3);
}
