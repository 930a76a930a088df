#include "Serving/DispatchCost.h"
#include "Routing/RetryBudget.h"
#include "Serving/DispatchBaseline.h"
#include "Serving/PrefillBacklog.h"
#include "Serving/TargetHealth.h"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};
static constexpr RequestShape Usual{800, 200};

static DispatchCandidate engine(std::string Id, AdapterReadiness Readiness,
                                int Running) {
  DispatchCandidate Candidate;
  Candidate.Id_ = std::move(Id);
  Candidate.SameDataCentre_ = true;
  Candidate.Readiness_ = Readiness;
  Candidate.Running_ = Running;
  Candidate.Slots_ = 32;
  Candidate.KvTokens_ = 100000;
  Candidate.AdapterCapacity_ = 20;
  Candidate.HasOwner_ = true;
  return Candidate;
}

TEST_CASE("the choice of an engine", "[dispatch][load]") {
  auto Resident = engine("resident", AdapterReadiness::Resident, 10);
  auto Absent = engine("absent", AdapterReadiness::Absent, 0);
  SECTION("prefers one that holds the adapter, though others are idle") {
    CHECK(selectCheapest({Absent, Resident}, Usual) == 1);
  }
  SECTION("takes another once those that hold it are full") {
    Resident.Running_ = 36;
    CHECK(selectCheapest({Absent, Resident}, Usual) == 0);
    SECTION("but not where no owner can order the load") {
      Absent.HasOwner_ = false;
      CHECK(selectCheapest({Absent, Resident}, Usual) == 1);
    }
  }
  SECTION("considers the memory that the request takes") {
    Resident.Tokens_ = 99500;
    CHECK(lacksCapacity(Resident, Usual));
    CHECK(selectCheapest({Absent, Resident}, Usual) == 0);
  }
  SECTION("prefers the adapter's home for a load") {
    auto Home = engine("home", AdapterReadiness::Absent, 2);
    auto Second = engine("second", AdapterReadiness::Absent, 2);
    Second.HomeRank_ = 1;
    CHECK(selectCheapest({Second, Home}, Usual) == 1);
  }
  SECTION("prefers one that held the adapter recently to its home") {
    auto Home = engine("home", AdapterReadiness::Absent, 0);
    auto Recent = engine("lately", AdapterReadiness::Absent, 12);
    Recent.HomeRank_ = 3;
    Recent.Warm_ = true;
    CHECK(selectCheapest({Home, Recent}, Usual) == 1);
  }
  SECTION("prefers a load that ends soon to a load elsewhere") {
    auto Loading = engine("loading", AdapterReadiness::Loading, 5);
    Loading.ReadyIn_ = 200ms;
    CHECK(selectCheapest({Absent, Loading}, Usual) == 1);
  }
  // Guards against one more load of the adapter for each pick on a slow store.
  SECTION("waits for the load in progress when all loads are slow") {
    auto Loading = engine("loading", AdapterReadiness::Loading, 0);
    Loading.ReadyIn_ = 600ms;
    Absent.LoadTime_ = 600ms;
    CHECK(selectCheapest({Absent, Loading}, Usual) == 1);
    SECTION("also if the other engine held the adapter recently") {
      Absent.Warm_ = true;
      Absent.WarmLoadTime_ = 620ms;
      CHECK(selectCheapest({Absent, Loading}, Usual) == 1);
    }
  }
  SECTION("avoids failing targets as long as there are others") {
    auto Failing = engine("failing", AdapterReadiness::NotNeeded, 0);
    Failing.FailureShare_ = 0.4;
    auto Good = engine("good", AdapterReadiness::NotNeeded, 10);
    CHECK(selectCheapest({Failing, Good}, Usual) == 1);
    CHECK(selectCheapest({Failing}, Usual) == 0);
  }
  SECTION("gives a slow engine fewer requests than a fast one") {
    auto Slow = engine("slow", AdapterReadiness::Resident, 6);
    Slow.SpeedFactor_ = 2.4;
    CHECK(selectCheapest({Slow, Resident}, Usual) == 1);
    Slow.Running_ = 3;
    CHECK(selectCheapest({Slow, Resident}, Usual) == 0);
    SECTION("but takes it once the fast ones are full") {
      Slow.Running_ = 12;
      Resident.Running_ = 32;
      CHECK(selectCheapest({Slow, Resident}, Usual) == 0);
    }
    SECTION("and considers how long a plain service takes there") {
      Slow.UsualServiceTime_ = 60ms;
      CHECK(selectCheapest({Slow, Resident}, Usual) == 1);
    }
  }
  SECTION("is empty if no candidate can run the request") {
    auto Empty = engine("empty", AdapterReadiness::Impossible, 0);
    CHECK(selectCheapest({Empty}, Usual) == 1);
    CHECK(selectCheapest({}, Usual) == 0);
  }
}

TEST_CASE("the baseline policies of dispatch", "[dispatch]") {
  auto Home = engine("home", AdapterReadiness::Absent, 9);
  auto Light = engine("calm", AdapterReadiness::Resident, 2);
  Light.HomeRank_ = 1;
  auto Empty = engine("empty", AdapterReadiness::Impossible, 0);
  Empty.HomeRank_ = 2;
  std::vector<DispatchCandidate> Engines{Empty, Home, Light};
  SECTION("choose the home whatever its load") {
    CHECK(selectByPolicy(Engines, DispatchPolicy::Home, 0) == 1);
  }
  SECTION("choose the eligible target with the fewest requests") {
    CHECK(selectByPolicy(Engines, DispatchPolicy::LeastRequests, 0) == 2);
  }
  SECTION("choose an eligible target at random") {
    CHECK(selectByPolicy(Engines, DispatchPolicy::Random, 0.2) == 1);
    CHECK(selectByPolicy(Engines, DispatchPolicy::Random, 0.9) == 2);
  }
  SECTION("choose none if none can run the request") {
    CHECK(selectByPolicy({Empty}, DispatchPolicy::Random, 0.9) == 1);
  }
}

/// The number of streams that were stalled by the largest prompts. Adapters of
/// two engines get four times the requests of the others, and one request in a
/// hundred has such a prompt.
static int stalledStreams(bool PenalisesStalls) {
  constexpr std::size_t Engines = 9;
  constexpr int RequestsPerSecond = 70;
  constexpr Duration StreamTime = 3s;
  std::mt19937 Random(11);
  std::vector<std::vector<TimePoint>> EndsOn(Engines);
  int Stalled = 0;
  for (int Request = 0; Request < RequestsPerSecond * 60; ++Request) {
    TimePoint Now = Start + 1000ms * Request / RequestsPerSecond;
    std::size_t Home = Random() % 2 == 0 ? 0 : Random() % Engines;
    std::vector<DispatchCandidate> Candidates;
    for (std::size_t Index = 0; Index < Engines; ++Index) {
      std::erase_if(EndsOn[Index], [&](TimePoint End) { return End <= Now; });
      bool HoldsAdapter = Index == Home || Index == (Home + 1) % Engines;
      Candidates.push_back(engine(std::to_string(Index),
                                  HoldsAdapter ? AdapterReadiness::Resident
                                               : AdapterReadiness::Absent,
                                  static_cast<int>(EndsOn[Index].size())));
    }
    bool IsLarge = Random() % 100 == 0;
    RequestShape Shape{IsLarge ? 7500.0 : 800.0, 200,
                       IsLarge && PenalisesStalls};
    std::size_t Chosen = selectCheapest(Candidates, Shape);
    if (IsLarge)
      Stalled += Candidates[Chosen].Running_;
    EndsOn[Chosen].push_back(Now + StreamTime);
  }
  return Stalled;
}

TEST_CASE("the largest prompts", "[dispatch][load]") {
  RequestShape Large{7500, 200, true};
  SECTION("go where they stall few streams, though the adapter is absent") {
    auto Busy = engine("busy", AdapterReadiness::Resident, 20);
    auto Light = engine("calm", AdapterReadiness::Absent, 4);
    CHECK(selectCheapest({Busy, Light}, Large) == 1);
    CHECK(selectCheapest({Busy, Light}, Usual) == 0);
    SECTION("unless the difference is small") {
      Busy.Running_ = 6;
      CHECK(selectCheapest({Busy, Light}, Large) == 0);
    }
  }
  SECTION("stall fewer of the running streams") {
    CHECK(stalledStreams(true) < stalledStreams(false));
  }
}

TEST_CASE("the homes of a popular adapter", "[dispatch][load]") {
  std::vector<DispatchCandidate> Engines;
  for (std::size_t Index = 0; Index < 4; ++Index) {
    Engines.push_back(
        engine("e" + std::to_string(Index), AdapterReadiness::Absent, 0));
    Engines.back().HomeRank_ = 3 - Index;
  }
  SECTION("are not added before a request has triggered the first load") {
    CHECK(nextHomeToLoad(Engines, 20) == Engines.size());
  }
  Engines[3].Readiness_ = AdapterReadiness::Resident;
  SECTION("grow in its stable order with its running requests") {
    CHECK(nextHomeToLoad(Engines, 2) == Engines.size());
    CHECK(nextHomeToLoad(Engines, 5) == 2);
    Engines[2].Readiness_ = AdapterReadiness::Loading;
    CHECK(nextHomeToLoad(Engines, 5) == Engines.size());
    CHECK(nextHomeToLoad(Engines, 9) == 1);
  }
}

TEST_CASE("the prefill backlog of engines", "[dispatch][load]") {
  PrefillBacklog Backlog(40);
  CHECK(Backlog.remainingTime("e", Start) == 0ms);
  Backlog.recordPrompt("e", 4000, Start);
  Backlog.recordPrompt("e", 4000, Start);
  CHECK(Backlog.remainingTime("e", Start) == 200ms);
  CHECK(Backlog.remainingTime("e", Start + 150ms) == 50ms);
  CHECK(Backlog.remainingTime("e", Start + 300ms) == 0ms);
  SECTION("sends the next request to another engine that holds its adapter") {
    auto Prefilling = engine("reading", AdapterReadiness::Resident, 2);
    Prefilling.Prefill_ = Backlog.remainingTime("e", Start);
    auto Other = engine("other", AdapterReadiness::Resident, 20);
    CHECK(selectCheapest({Prefilling, Other}, Usual) == 1);
  }
}

TEST_CASE("requests are delayed before an engine with a prefill backlog",
          "[dispatch][load]") {
  SECTION("but not when the delay would gain nothing") {
    CHECK(pacingDelay(0ms, 400ms, 0ms, 800ms) == 0ms);
    CHECK(pacingDelay(60ms, 50ms, 0ms, 800ms) == 0ms);
  }
  SECTION("until the backlog is small enough") {
    CHECK(pacingDelay(100ms, 50ms, 0ms, 800ms) == 30ms);
    CHECK(pacingDelay(400ms, 50ms, 0ms, 800ms) == 40ms);
  }
  SECTION("for a fraction of their latency target at most") {
    CHECK(pacingDelay(400ms, 50ms, 320ms, 800ms) == 0ms);
  }
  // Bursts of long prompts at one engine: a running stream is delayed by the
  // prefill backlog when one more prompt arrives.
  SECTION("so that bursts of prompts do not stall its streams") {
    auto LongestBacklog = [](bool Paced) {
      PrefillBacklog Backlog(30);
      std::mt19937 Random(7);
      std::vector<std::pair<TimePoint, Duration>> Delayed;
      Duration MaxBacklog{};
      int NextBurst = 0;
      for (int Step = 0; Step < 4000; ++Step) {
        TimePoint Now = Start + Step * 5ms;
        // A burst about every two seconds, at a random time each.
        if (Step % 400 == 0)
          NextBurst = Step + static_cast<int>(Random() % 200);
        if (Step == NextBurst)
          Delayed.insert(Delayed.end(), 5, {Now, Duration::zero()});
        std::erase_if(Delayed, [&](const auto &Entry) {
          Duration Left = Backlog.remainingTime("e", Now);
          Duration Own = Backlog.prefillTime(2400);
          bool Waits =
              Paced && pacingDelay(Left, Own, Now - Entry.first, 800ms) > 0ms;
          if (Waits)
            return false;
          Backlog.recordPrompt("e", 2400, Now);
          MaxBacklog = std::max(MaxBacklog, Backlog.remainingTime("e", Now));
          return true;
        });
      }
      return MaxBacklog;
    };
    CHECK(LongestBacklog(false) > 350ms);
    // 300 ms are allowed, less the tokens of an event.
    CHECK(LongestBacklog(true) < 260ms);
  }
}

TEST_CASE("retries that a large fleet has accumulated", "[retry][load]") {
  // The rule allows a share of the requests and 430 more in ten seconds.
  constexpr int Vms = 195;
  constexpr double Extra = 430;
  RetryBudgetOptions Options;
  Options.Ratio_ = 0.16;
  Options.FloorPerSecond_ = 0.4 * Extra / 10;
  Options.FleetBurst_ = 0.4 * Extra;
  Options.InitialShare_ = 0;
  int Retries = 0;
  for (int Vm = 0; Vm < Vms; ++Vm) {
    RetryBudget Budget(Options);
    Budget.setVmCount(Vms);
    Budget.begin(Start);
    for (int Request = 0; Request < 500; ++Request)
      Budget.recordRequest();
    while (Budget.take(Start + 60s))
      ++Retries;
  }
  CHECK(Retries <= Extra);
  CHECK(Retries >= Vms);
}

TEST_CASE("retries of a newly started VM", "[retry]") {
  RetryBudgetOptions Options{0.2, 8, 4, 0, 0};
  RetryBudget Budget(Options);
  Budget.setVmCount(8);
  SECTION(
      "are not allowed at first, so that restarts add none to the fleet's") {
    CHECK_FALSE(Budget.take(Start));
    SECTION(
        "until its own requests or its share of the floor have earned one") {
      CHECK_FALSE(Budget.take(Start + 900ms));
      CHECK(Budget.take(Start + 1100ms));
      for (int Request = 0; Request < 5; ++Request)
        Budget.recordRequest();
      CHECK(Budget.take(Start + 1100ms));
      CHECK_FALSE(Budget.take(Start + 1100ms));
    }
    SECTION(
        "with the floor counted from its start, not from its first failure") {
      RetryBudget Begun(Options);
      Begun.setVmCount(8);
      Begun.begin(Start);
      CHECK(Begun.take(Start + 1100ms));
    }
  }
}

TEST_CASE("the success of requests to a target", "[dispatch]") {
  TargetHealth Health;
  SECTION("is hardly reduced by a single failure") {
    Health.recordResponse("t", true, 10ms, Start);
    CHECK(Health.failureShare("t", Start) < 0.5);
  }
  for (int Index = 0; Index < 20; ++Index) {
    Health.recordResponse("bad", Index % 2 == 0, 10ms, Start);
    Health.recordResponse("good", false, 10ms, Start);
    Health.recordResponse("slow", false, 400ms, Start);
  }
  SECTION("distinguishes failing and slow targets from good ones") {
    CHECK(Health.failureShare("bad", Start) > 0.3);
    CHECK(Health.failureShare("good", Start) == 0);
    CHECK(Health.excessLatency("slow", Start) > 100ms);
    CHECK(Health.excessLatency("good", Start) == 0ms);
  }
  SECTION("is forgotten while the target gets no requests") {
    CHECK(Health.failureShare("bad", Start + 20s) < 0.05);
    CHECK(Health.excessLatency("slow", Start + 20s) < 20ms);
  }
}

TEST_CASE("a cold target", "[dispatch][cold]") {
  std::vector<DispatchCandidate> Candidates(2);
  for (DispatchCandidate &Candidate : Candidates) {
    Candidate.Slots_ = 8;
    Candidate.SameDataCentre_ = true;
  }
  Candidates[0].Cold_ = true;
  SECTION("is left to requests that no other target serves as soon") {
    CHECK(selectCheapest(Candidates, {}) == 1);
    Candidates[1].FailureShare_ = 1;
    CHECK(selectCheapest(Candidates, {}) == 0);
  }
  SECTION("fills with adapters as a warm one does") {
    for (DispatchCandidate &Candidate : Candidates) {
      Candidate.Readiness_ = AdapterReadiness::Absent;
      Candidate.HasOwner_ = true;
      Candidate.AdapterCapacity_ = 3;
    }
    Candidates[1].HomeRank_ = 5;
    CHECK(selectCheapest(Candidates, {}) == 0);
    Candidates.emplace_back().Readiness_ = AdapterReadiness::Resident;
    CHECK(nextHomeToLoad(Candidates, 1000) == 0);
  }
}

TEST_CASE("a target with a limit", "[dispatch][limits]") {
  std::vector<DispatchCandidate> Candidates(2);
  for (DispatchCandidate &Candidate : Candidates) {
    Candidate.Slots_ = 8;
    Candidate.SameDataCentre_ = true;
  }
  Candidates[0].Limited_ = true;
  SECTION("is left to requests that no other target serves as soon") {
    Candidates[1].Running_ = 7;
    CHECK(selectCheapest(Candidates, {}) == 1);
    Candidates[0].Readiness_ = AdapterReadiness::Resident;
    Candidates[1].Readiness_ = AdapterReadiness::Absent;
    Candidates[1].HasOwner_ = true;
    CHECK(selectCheapest(Candidates, {}) == 0);
  }
  SECTION("is tried again when nothing has confirmed the limit recently") {
    Candidates[1].Running_ = 1;
    CHECK(selectCheapest(Candidates, {}) == 1);
    Candidates[0].LimitIsStale_ = true;
    CHECK(selectCheapest(Candidates, {}) == 0);
  }
  SECTION("gets no adapter that another target can load") {
    for (DispatchCandidate &Candidate : Candidates) {
      Candidate.Readiness_ = AdapterReadiness::Absent;
      Candidate.HasOwner_ = true;
      Candidate.AdapterCapacity_ = 3;
    }
    Candidates[1].HomeRank_ = 5;
    CHECK(selectCheapest(Candidates, {}) == 1);
  }
}

TEST_CASE("a target whose speed is known", "[dispatch][speed]") {
  SECTION("is not charged once more for latency that its speed explains") {
    TargetHealth Health;
    for (int Answer = 0; Answer < 30; ++Answer)
      for (int Target = 0; Target < 5; ++Target)
        Health.recordResponse("t" + std::to_string(Target), false,
                              Target == 0 ? 150ms : 60ms, Start);
    CHECK(Health.excessLatency("t0", Start) > 50ms);
    CHECK(Health.excessLatency("t0", Start, 2.5) == 0ms);
    CHECK(Health.excessLatency("t0", Start, 1.5) > 0ms);
  }
  SECTION("reads prompts by its own speed") {
    PrefillBacklog Prefill(20);
    CHECK(Prefill.prefillTime(800, 2) == 80ms);
    Prefill.recordPrompt("slow", 800, Start, 2);
    Prefill.recordPrompt("usual", 800, Start);
    CHECK(Prefill.remainingTime("slow", Start) == 80ms);
    CHECK(Prefill.remainingTime("usual", Start) == 40ms);
  }
  SECTION("becomes a popular adapter's home after faster ones") {
    auto Home = engine("home", AdapterReadiness::Resident, 20);
    auto Slow = engine("slow", AdapterReadiness::Absent, 0);
    auto Other = engine("other", AdapterReadiness::Absent, 0);
    Slow.HomeRank_ = 1;
    Other.HomeRank_ = 2;
    CHECK(nextHomeToLoad({Home, Slow, Other}, 20) == 1);
    Slow.SpeedFactor_ = 2.4;
    CHECK(nextHomeToLoad({Home, Slow, Other}, 20) == 2);
    CHECK(nextHomeToLoad({Home, Slow}, 20) == 1);
  }
}
