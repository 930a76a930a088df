#include "Integration/Fleet.h"

#include <catch2/catch.hpp>

#include <mutex>

using namespace anvil;
using nlohmann::json;

static constexpr double RateTokens = 400;
static constexpr double BurstTokens = 800;

/// The largest delay between charging tokens and recording the run.
static constexpr double RecordLagSeconds = 0.25;

/// The tokens that one request of these tests uses; a prompt of four bytes
/// counts as two.
static constexpr int OutputTokens = 18;
static constexpr double RequestTokens = 20;

/// The minimum charge for a stream whose caller left after reading two tokens.
static constexpr double AbandonedStreamTokens = 4;

/// The largest number of tokens above rate and burst that a customer's runs, of
/// `RunTokens` each, used in any interval. Zero or less means within the limit.
static double worstExcess(Fleet &System, const std::string &Customer,
                          double RunTokens = RequestTokens) {
  json Runs = json::array();
  for (const json &Run : System.engineRecords("run"))
    if (Run["customer"] == Customer)
      Runs.push_back(Run);
  std::vector<double> Seconds;
  for (const json &Run : Runs)
    Seconds.push_back(Run["at_us"].get<double>() / 1e6);
  std::ranges::sort(Seconds);
  double Worst = -BurstTokens;
  for (std::size_t First = 0; First < Seconds.size(); ++First)
    for (std::size_t Last = First; Last < Seconds.size(); ++Last) {
      double Used = static_cast<double>(Last - First + 1) * RunTokens;
      double Length = Seconds[Last] - Seconds[First] + RecordLagSeconds;
      Worst = std::max(Worst, Used - RateTokens * Length - BurstTokens);
    }
  return Worst;
}

/// Describes a reply other than 200 in one line: the VM, the time of the
/// request since the start of the load, and the duration until the reply.
static std::string refusalText(const std::string &Vm, const CallerReply &Reply,
                               Millis SentAfter, Millis Took) {
  std::string Text = Vm + " at " + std::to_string(SentAfter.count()) +
                     " ms, after " + std::to_string(Took.count()) + " ms: ";
  if (Reply.Status_ == 0)
    return Text + "no reply";
  Text += std::to_string(Reply.Status_);
  for (const char *Field : {"code", "message", "ran", "request_id"})
    Text += " " + Reply.problem(Field);
  return Text + (Reply.Complete_ ? "" : ", incomplete");
}

/// Sends requests of a customer through some VMs at a rate in tokens per
/// second.
class CustomerLoad {
public:
  CustomerLoad(Fleet &System, std::vector<std::string> Vms,
               const std::string &Customer, double TokensPerSecond) {
    auto Pause = Millis(static_cast<std::int64_t>(
        1000 * RequestTokens * static_cast<double>(Vms.size()) /
        TokensPerSecond));
    CallerRequest Request =
        completion("a@1", "load", OutputTokens, false, "secret-" + Customer);
    for (const std::string &Vm : Vms) {
      std::uint16_t Port = System.at(Vm).port("caller");
      auto Next = std::make_shared<Clock::time_point>(Clock::now());
      Senders_.push_back(std::make_unique<BackgroundLoop>([=, this] {
        std::this_thread::sleep_until(*Next);
        *Next += Pause;
        auto SentAt = Clock::now();
        CallerReply Reply = callOnce(Port, Request, Millis(2000));
        if (Reply.Status_ != 200)
          recordRefusal(refusalText(Vm, Reply, millisUntil(StartedAt_, SentAt),
                                    millisUntil(SentAt, Clock::now())));
        ++(Reply.Status_ == 200 ? Served_ : Refused_);
      }));
    }
  }

  int served() const { return Served_; }
  int refused() const { return Refused_; }

  /// A line for each reply other than 200.
  std::string refusals() {
    std::scoped_lock Guard(Mutex_);
    return Refusals_;
  }

private:
  using Clock = std::chrono::steady_clock;

  static Millis millisUntil(Clock::time_point From, Clock::time_point To) {
    return std::chrono::duration_cast<Millis>(To - From);
  }

  void recordRefusal(const std::string &Refusal) {
    std::scoped_lock Guard(Mutex_);
    Refusals_ += "\n  " + Refusal;
  }

  Clock::time_point StartedAt_ = Clock::now();
  std::mutex Mutex_;
  std::string Refusals_;
  std::atomic<int> Served_ = 0;
  std::atomic<int> Refused_ = 0;
  std::vector<std::unique_ptr<BackgroundLoop>> Senders_;
};

TEST_CASE("no customer gets more than its rate and burst over all VMs",
          "[rate-limit]") {
  FleetPlan Plan;
  Plan.Vms_ = {{"vm-1", "north"}, {"vm-2", "north"}, {"vm-3", "south"}};
  Plan.Engines_ = {{"engine-1", "north"}, {"engine-2", "south"}};
  for (const char *Customer : {"large", "small"})
    Plan.Objects_.push_back(object("customer", Customer,
                                   {{"rate_tokens_per_second", RateTokens},
                                    {"burst_tokens", BurstTokens}}));
  // Shorter than the VM pauses of this test.
  Plan.Settings_["quota"] = {{"lease_ms", 4000}, {"lease_margin_ms", 500}};
  Fleet System(Plan);
  auto SleepMs = [](int Milliseconds) {
    eventually([] { return false; }, Millis(Milliseconds));
  };

  SECTION("when one sends five times its rate, and one within its rate is "
          "served") {
    CustomerLoad Large(System, System.vmNames(), "large", 5 * RateTokens);
    CustomerLoad Small(System, System.vmNames(), "small", 0.5 * RateTokens);
    SleepMs(6000);
    WARN("small: " << Small.served() << " served, " << Small.refused()
                   << " refused; large: " << Large.served() << " served"
                   << Small.refusals());
    CHECK(Small.refused() == 0);
    CHECK(worstExcess(System, "large") <= 0);
    CHECK(Large.served() * RequestTokens > 3 * RateTokens);
  }

  SECTION("when a customer sends within its rate through one VM only") {
    CustomerLoad Small(System, {"vm-3"}, "small", 0.9 * RateTokens);
    SleepMs(8000);
    WARN("small through one VM: " << Small.served() << " served, "
                                  << Small.refused() << " refused"
                                  << Small.refusals());
    CHECK(worstExcess(System, "small") <= 0);
    CHECK(Small.refused() * 20 <= Small.served());
  }

  SECTION("when callers leave their streams early") {
    std::vector<std::unique_ptr<BackgroundLoop>> Callers;
    std::atomic<int> AbandonedCount = 0;
    for (const std::string &Vm : System.vmNames())
      for (int Number = 0; Number < 3; ++Number)
        Callers.push_back(std::make_unique<BackgroundLoop>([&, Vm] {
          CallerConnection Leaving(System.at(Vm).port("caller"));
          Leaving.send(
              completion("a@1", "load", OutputTokens, true, "secret-large"));
          AbandonedCount += Leaving.readUntil("a@1#1 ", Millis(500));
          std::this_thread::sleep_for(Millis(10));
        }));
    SleepMs(6000);
    Callers.clear();
    WARN("large: " << AbandonedCount << " streams abandoned");
    CHECK(AbandonedCount > 0);
    CHECK(worstExcess(System, "large", AbandonedStreamTokens) <= 0);
  }

  SECTION("when VMs are killed and restarted under load") {
    {
      CustomerLoad Large(System, {"vm-1", "vm-3"}, "large", 5 * RateTokens);
      for (int Round = 0; Round < 4; ++Round) {
        System.at("vm-2").kill();
        System.startVm("vm-2");
        CustomerLoad Fresh(System, {"vm-2"}, "large", 5 * RateTokens);
        SleepMs(800);
      }
    }
    CHECK(worstExcess(System, "large") <= 0);
  }

  SECTION("when a VM is paused for longer than any lease while its data "
          "centre is cut off") {
    CustomerLoad Large(System, System.vmNames(), "large", 5 * RateTokens);
    SleepMs(1500);
    System.at("vm-3").signal(SIGSTOP);
    System.setDataCentreLinks("south", "cut");
    System.setPlatformLinks("cut", "south");
    SleepMs(static_cast<int>(PauseBeyondLease.count()));
    System.at("vm-3").signal(SIGCONT);
    SleepMs(2000);
    System.setDataCentreLinks("south", "pass");
    System.setPlatformLinks("pass", "south");
    SleepMs(2000);
    CHECK(worstExcess(System, "large") <= 0);
  }

  SECTION("when the platform is unreachable for all VMs, and recovers") {
    CustomerLoad Large(System, System.vmNames(), "large", 5 * RateTokens);
    SleepMs(1000);
    System.setPlatformLinks("cut");
    int Before = Large.served();
    SleepMs(static_cast<int>(PauseBeyondLease.count()));
    CHECK(Large.served() > Before);
    System.setPlatformLinks("pass");
    SleepMs(2000);
    CHECK(worstExcess(System, "large") <= 0);
  }
}

/// The token balance that a VM reports for a customer; zero if it reports none.
static double balanceOf(Fleet &System, const std::string &Vm,
                        const std::string &Customer) {
  CallerRequest Request{"GET", "/admin/status", {}, ""};
  json StatusPage = callOnce(System.at(Vm).port("admin"), Request).json();
  if (!StatusPage.is_object() || !StatusPage.contains("quotas"))
    return 0;
  for (const json &Entry : StatusPage["quotas"]["customers"])
    if (Entry["customer"] == Customer)
      return Entry["balance_tokens"];
  return 0;
}

TEST_CASE("a customer within its rate is served with a third VM's tokens",
          "[rate-limit]") {
  FleetPlan Plan;
  Plan.Vms_ = {{"vm-1", "north"}, {"vm-2", "north"}, {"vm-3", "south"}};
  Plan.Objects_ = {object(
      "customer", "small",
      {{"rate_tokens_per_second", RateTokens}, {"burst_tokens", BurstTokens}})};
  Plan.Settings_["quota"] = {{"borrow_wait_ms", 1000}};
  Fleet System(Plan);
  warmUp(System);
  // Needs more tokens than one VM has once each has a third, and fewer than two
  // have.
  CallerRequest Request = completion("a@1", "load", 300, false, "secret-small");
  REQUIRE(eventually(
      [&] {
        return std::ranges::all_of(System.vmNames(), [&](auto &Vm) {
          double Balance = balanceOf(System, Vm, "small");
          return Balance > 200 && Balance < 300;
        });
      },
      SettleTimeout));

  SECTION("when the first VM that it requests tokens from does not reply") {
    System.setLink("vm-2>vm-1", "freeze");
    CallerReply Reply = System.call("vm-2", Request);
    INFO(Reply.Body_);
    CHECK(Reply.Status_ == 200);
  }
}

TEST_CASE("a customer without state on any VM is served without the platform",
          "[unseen-customer]") {
  FleetPlan Plan;
  for (const char *Customer : {"large", "small"})
    Plan.Objects_.push_back(object("customer", Customer,
                                   {{"rate_tokens_per_second", RateTokens},
                                    {"burst_tokens", BurstTokens}}));
  Fleet System(Plan);
  eventually([] { return false; }, Millis(3000));
  System.setPlatformLinks("cut");
  for (const std::string &Vm : System.vmNames()) {
    CallerReply Reply = System.call(Vm, completion("a@1", "x", 2));
    INFO(Vm << " " << Reply.Body_);
    CHECK(Reply.Status_ == 200);
  }
}
