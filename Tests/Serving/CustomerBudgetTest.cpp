#include "Serving/CustomerBudget.h"
#include "Serving/BudgetStart.h"

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
  SECTION("refuses what exceeds the rate and says when to come back") {
    REQUIRE(Budget.charge("serenas", 900, Start).Allowed_);
    auto Verdict = Budget.charge("serenas", 600, Start);
    CHECK_FALSE(Verdict.Allowed_);
    CHECK(Verdict.RetryAfter_ == 500ms);
    CHECK(Budget.charge("serenas", 600, Start + 500ms).Allowed_);
  }
  SECTION("doesn't bound customers without a rate") {
    CHECK(Budget.charge("someone", 1e9, Start).Allowed_);
  }
  SECTION("gives back what never ran") {
    REQUIRE(Budget.charge("serenas", 900, Start).Allowed_);
    Budget.refund("serenas", 900, Start);
    CHECK(Budget.charge("serenas", 900, Start).Allowed_);
    CHECK(Budget.spent().at("serenas") == 900);
  }
  SECTION("counts what the other VMs spend") {
    Budget.notePeer("b", "life-1", {{"serenas", 5000}}, Start);
    CHECK(Budget.charge("serenas", 100, Start).Allowed_);
    Budget.notePeer("b", "life-1", {{"serenas", 5900}}, Start);
    CHECK_FALSE(Budget.charge("serenas", 100, Start).Allowed_);
    SECTION("also when one starts anew") {
      Budget.notePeer("b", "life-2", {{"serenas", 500}}, Start + 1s);
      CHECK_FALSE(Budget.charge("serenas", 600, Start + 1s).Allowed_);
      CHECK(Budget.charge("serenas", 400, Start + 1s).Allowed_);
    }
  }
  SECTION("is what another VM knows, after a start") {
    REQUIRE(Budget.charge("serenas", 700, Start).Allowed_);
    CustomerBudget Started;
    Started.setPlan(planOf(1000, 1000), 0.05, Start);
    Started.takeOver(Budget.balances(Start), Start);
    CHECK_FALSE(Started.charge("serenas", 301, Start).Allowed_);
    CHECK(Started.charge("serenas", 300, Start).Allowed_);
    SECTION("also when too much was spent") {
      Started.takeOver({{"serenas", -500}}, Start);
      CHECK_FALSE(Started.charge("serenas", 100, Start + 500ms).Allowed_);
    }
  }
  SECTION("falls to its part when other VMs are not heard") {
    Budget.setReach(0.25, Start);
    CHECK_FALSE(Budget.charge("serenas", 300, Start).Allowed_);
    CHECK(Budget.charge("serenas", 250, Start).Allowed_);
    CHECK_FALSE(Budget.charge("serenas", 260, Start + 1s).Allowed_);
  }
}

TEST_CASE("a VM that has just started", "[rate-limit]") {
  BudgetStart Begin(8s);
  SECTION("grants customers a start once it knows that all have started") {
    CHECK_FALSE(Begin.mayGrant(0));
    Begin.noteNews("b", 1s);
    CHECK_FALSE(Begin.mayGrant(4));
    Begin.noteNews("c", 1s);
    CHECK(Begin.mayGrant(4));
    Begin.end(false);
    CHECK_FALSE(Begin.mayGrant(4));
    CHECK(Begin.isYoung(Begin.seen(2s)));
  }
  SECTION("waits for the balances of one that has gone on") {
    Begin.noteNews("b", 1s);
    Begin.noteNews("c", 9s);
    CHECK_FALSE(Begin.mayGrant(3));
    Begin.end(true);
    SECTION("and can then tell them itself") {
      CHECK_FALSE(Begin.isYoung(Begin.seen(0s)));
    }
  }
  SECTION("grants at once where it is alone") { CHECK(Begin.mayGrant(1)); }
}

/// VMs that hear each other after a lag, and a customer that sends several
/// times its rate. The bound is the platform's: in any window no more than
/// rate x window + burst, a tenth more, and a fixed slack.
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
      Budget.notePeer(std::to_string(Peer), "life", {}, Start);
  }
  std::vector<double> Used(Steps);
  std::vector<std::string> Lives(Vms, "life");
  auto LagSteps = static_cast<int>(Lag / Step);
  std::vector<std::vector<SpentTokens>> Told(Steps);
  std::vector<std::vector<std::string>> TellingLives(Steps);
  for (int Index = 0; Index < Steps; ++Index) {
    TimePoint Now = Start + Step * Index;
    // VMs start anew in turn, and know nothing of what was spent.
    bool IsRestart = RestartEvery > 0 && Index > 0 && Index % RestartEvery == 0;
    if (IsRestart && AllAtOnce) {
      for (int Vm = 0; Vm < Vms; ++Vm) {
        Budgets[Vm] = CustomerBudget();
        Budgets[Vm].setPlan(planOf(Rate, Rate), 0.05, Now);
        for (int Peer = 0; Peer < Vms; ++Peer)
          Budgets[Vm].notePeer(std::to_string(Peer), "", {}, Now);
        Budgets[Vm].grantStart({8s, 0.1, 17000}, Now);
        Lives[Vm] = "life-" + std::to_string(Index);
      }
    } else if (IsRestart) {
      int Vm = Index / RestartEvery % Vms;
      Budgets[Vm] = CustomerBudget();
      Budgets[Vm].setPlan(planOf(Rate, Rate), 0.05, Now);
      Lives[Vm] = "life-" + std::to_string(Index);
    }
    for (int Vm = 0; Vm < Vms; ++Vm) {
      if (Index >= LagSteps && !Told[Index - LagSteps].empty())
        for (int Peer = 0; Peer < Vms; ++Peer)
          if (Peer != Vm)
            Budgets[Vm].notePeer(std::to_string(Peer),
                                 TellingLives[Index - LagSteps][Peer],
                                 Told[Index - LagSteps][Peer], Now);
      double Wanted = Demand * Rate * toSeconds(Step) / Vms;
      for (double Sent = 0; Sent < Wanted;) {
        double Size = 200 + static_cast<double>(Random() % 800);
        Sent += Size;
        bool Arrives = Sent <= Wanted || Random() % 2 == 0;
        if (Arrives && Budgets[Vm].charge("serenas", Size, Now).Allowed_)
          Used[Index] += Size;
      }
    }
    for (const CustomerBudget &Budget : Budgets)
      Told[Index].push_back(Budget.spent());
    TellingLives[Index] = Lives;
  }
  double Worst = 0;
  for (int From = 0; From + Window <= Steps; ++From)
    Worst = std::max(Worst, std::accumulate(Used.begin() + From,
                                            Used.begin() + From + Window, 0.0));
  return Worst;
}

TEST_CASE("a hot customer stays within its rate over all VMs",
          "[rate-limit][load]") {
  double Demand = GENERATE(2.0, 7.5);
  constexpr double Rate = 10000;
  constexpr double WindowSeconds = 8;
  double Bound = (Rate * WindowSeconds + Rate) * 1.1 + 17000;
  CHECK(worstWindow(Demand, 120ms, 1) <= Bound);
  // The same while VMs restart in turn, one a second.
  CHECK(worstWindow(Demand, 120ms, 3, 50) <= Bound);
  // The same when all restart together.
  CHECK(worstWindow(Demand, 120ms, 4, 700, true) <= Bound);
  // What it may have is not held back either.
  CHECK(worstWindow(Demand, 120ms, 2) >= Rate * WindowSeconds * 0.95);
}

TEST_CASE("customers come back after all VMs have started anew",
          "[rate-limit][load]") {
  constexpr double Rate = 120000;
  CustomerBudget Budget;
  Budget.setPlan(planOf(Rate, Rate), 0.05, Start);
  Budget.grantStart({8s, 0.1, 17000}, Start);
  // A second's requests at four fifths of the rate waited for the VMs; they
  // come within half a second, beside those that come anyway.
  constexpr double RequestTokens = 1200;
  constexpr int Waiting = 80;
  constexpr int Coming = 40;
  int Allowed = 0;
  for (int Request = 0; Request < Waiting + Coming; ++Request)
    Allowed += Budget
                   .charge("serenas", RequestTokens,
                           Start + 500ms * Request / (Waiting + Coming))
                   .Allowed_;
  CHECK(Allowed >= (Waiting + Coming) * 2 / 3);
}
