#include "Balancing/SpareCapacityChoice.h"
#include "Balancing/StaleLoadDetector.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 1ms;
constexpr int Slots = 6;
/// A target refuses requests beyond this queue.
constexpr std::size_t MaxQueue = 24;
constexpr std::size_t Targets = 4;
constexpr Duration LatencyTarget = 300ms;
/// The work of a request, ms: from half to one and a half times the mean.
constexpr double MinWorkMs = 30;
constexpr double MaxWorkMs = 90;
constexpr Duration LoadLength = 30s;
/// The time after the last arrival in which all requests end.
constexpr Duration DrainTime = 2s;

enum class Policy { LeastCost, AsDetected };

struct Outcome {
  int Sent_ = 0;
  int InTime_ = 0;
  int Refused_ = 0;

  double inTimeShare() const { return static_cast<double>(InTime_) / Sent_; }
};

/// A plain service with a queue: each entry is a request's arrival and work.
struct QueueingTarget {
  std::vector<std::pair<TimePoint, TimePoint>> Running_;
  std::deque<std::pair<TimePoint, Duration>> Waiting_;
};

/// Plays short requests of many VMs, which see each other's requests only once
/// a period, against four targets with a few slots.
Outcome playShortRequests(Policy Chosen, std::size_t Vms, double PerSecond,
                          Duration Period, std::size_t DeadTargets) {
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Uniform(0, 1);
  std::uniform_real_distribution<double> Work(MinWorkMs, MaxWorkMs);
  std::vector<QueueingTarget> Serving(Targets - DeadTargets);
  std::vector<int> Reported(Targets);
  std::vector<std::vector<int>> Own(Vms, std::vector<int>(Targets));
  std::vector<StaleLoadDetector> Detectors(Vms);
  Outcome Result;
  TimePoint Now{1000s};
  TimePoint NextReport = Now;
  TimePoint LastArrival = Now + LoadLength;
  for (; Now < LastArrival + DrainTime; Now += Step) {
    for (QueueingTarget &Target : Serving) {
      std::erase_if(Target.Running_, [&](const auto &Run) {
        bool IsDone = Run.second <= Now;
        Result.InTime_ += IsDone && Now - Run.first <= LatencyTarget ? 1 : 0;
        return IsDone;
      });
      while (Target.Running_.size() < Slots && !Target.Waiting_.empty()) {
        auto [ArrivedAt, Needed] = Target.Waiting_.front();
        Target.Running_.emplace_back(ArrivedAt, Now + Needed);
        Target.Waiting_.pop_front();
      }
    }
    if (NextReport <= Now) {
      NextReport = Now + Period;
      for (std::size_t Index = 0; Index < Serving.size(); ++Index)
        Reported[Index] = static_cast<int>(Serving[Index].Running_.size() +
                                           Serving[Index].Waiting_.size());
      for (auto &Counts : Own)
        std::ranges::fill(Counts, 0);
    }
    if (Now >= LastArrival || Uniform(Random) >= PerSecond * toSeconds(Step))
      continue;
    auto Vm =
        static_cast<std::size_t>(Uniform(Random) * static_cast<double>(Vms));
    std::vector<DispatchCandidate> Candidates(Serving.size());
    for (std::size_t Index = 0; Index < Serving.size(); ++Index) {
      Candidates[Index].SameDataCentre_ = true;
      Candidates[Index].Slots_ = Slots;
      Candidates[Index].Running_ = Reported[Index] + Own[Vm][Index];
    }
    Detectors[Vm].recordRequest("plain", Now);
    bool MustSpread = Chosen == Policy::AsDetected &&
                      Detectors[Vm].isStale("plain", {Vms, Period}, Slots, Now);
    std::size_t Best =
        MustSpread ? selectBySpareCapacity(Candidates, {}, Uniform(Random))
                   : selectCheapest(Candidates, {});
    ++Result.Sent_;
    ++Own[Vm][Best];
    if (Serving[Best].Waiting_.size() >= MaxQueue)
      ++Result.Refused_;
    else
      Serving[Best].Waiting_.emplace_back(
          Now, std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double, std::milli>(Work(Random))));
  }
  return Result;
}

} // namespace

/// Short requests of a large fleet overload one target after another if all VMs
/// choose the one that looked least loaded at the last report.
TEST_CASE("short requests of many VMs spread over few targets",
          "[balancing][load]") {
  auto [Vms, Period] = GENERATE(
      table<std::size_t, Duration>({{8, 100ms}, {60, 240ms}, {195, 470ms}}));
  INFO(Vms << " VMs");
  SECTION("at three quarters of the capacity") {
    constexpr double PerSecond = 300;
    Outcome Before =
        playShortRequests(Policy::LeastCost, Vms, PerSecond, Period, 0);
    Outcome After =
        playShortRequests(Policy::AsDetected, Vms, PerSecond, Period, 0);
    CHECK(After.inTimeShare() >= Before.inTimeShare());
    CHECK(After.inTimeShare() > 0.95);
    CHECK(After.Refused_ <= Before.Refused_);
  }
  SECTION("with one of four targets gone") {
    constexpr double PerSecond = 225;
    Outcome Before =
        playShortRequests(Policy::LeastCost, Vms, PerSecond, Period, 1);
    Outcome After =
        playShortRequests(Policy::AsDetected, Vms, PerSecond, Period, 1);
    CHECK(After.inTimeShare() >= Before.inTimeShare());
    CHECK(After.inTimeShare() > 0.95);
  }
  SECTION("at little load") {
    Outcome After = playShortRequests(Policy::AsDetected, Vms, 40, Period, 0);
    CHECK(After.inTimeShare() > 0.99);
    CHECK(After.Refused_ == 0);
  }
}
