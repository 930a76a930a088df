#include "Membership/Rendezvous.h"
#include "Serving/DispatchCost.h"
#include "Serving/EngineKeeper.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>

using namespace anvil;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};
constexpr Duration Step = 10ms;
constexpr Duration LatencyTarget = 1s;

/// What a caller asks for, and when.
struct WaitingCall {
  std::string Adapter_;
  TimePoint ArrivedAt_{};
};

/// How callers of a played load were served.
struct CallersReport {
  int Served_ = 0;
  int Late_ = 0;
  int Refused_ = 0;
  int Loads_ = 0;
};

struct PlayedEngine {
  std::string Name_;
  EngineKeeper Keeper_;
  /// The runs by adapter and when they end.
  std::vector<std::pair<std::string, TimePoint>> Runs_;
  /// Wants without an answer, by adapter.
  std::map<std::string, TimePoint> WantedSince_;
};

/// Many rare adapters on engines with few places each: requests choose their
/// engine, wait for their adapter and run for a while with it.
class PlacingLoad {
public:
  PlacingLoad(int Engines, int Places, int Slots)
      : Places_(Places), Slots_(Slots) {
    EngineReport Report;
    Report.Models_["base"] = {1, {}};
    for (int Index = 0; Index < Engines; ++Index) {
      EngineKeeperOptions Options;
      Options.MaxAdapters_ = Places;
      Options.WarmAdapters_ = static_cast<std::size_t>(6 * Places);
      Engines_.push_back({"engine-" + std::to_string(Index),
                          EngineKeeper("base", Options),
                          {},
                          {}});
      Engines_.back().Keeper_.adopt(Report, Start);
    }
  }

  /// Plays so many requests a second for adapters of a Zipf distribution.
  CallersReport play(double RequestsPerSecond, Duration RunTime,
                     Duration Length) {
    double Owed = 0;
    for (TimePoint Now = Start; Now < Start + Length; Now += Step) {
      for (Owed += RequestsPerSecond * toSeconds(Step); Owed >= 1; --Owed)
        Waiting_.push_back({drawAdapter(), Now});
      for (PlayedEngine &Engine : Engines_)
        keep(Engine, Now);
      std::erase_if(Waiting_, [&](const WaitingCall &Call) {
        return serve(Call, RunTime, Now);
      });
    }
    return Report_;
  }

private:
  std::string drawAdapter() {
    // The inverse of a Zipf distribution with exponent 1.2 over 3,000 ranks.
    double Share = std::uniform_real_distribution<double>(0, 1)(Random_);
    double Tail = std::pow(3000.0, -0.2);
    double Rank = std::pow(1 - Share * (1 - Tail), -5.0);
    return "a" + std::to_string(static_cast<int>(Rank));
  }

  void keep(PlayedEngine &Engine, TimePoint Now) {
    std::erase_if(Engine.Runs_,
                  [&](const auto &Run) { return Run.second <= Now; });
    for (const auto &[Adapter, End] : Engine.Runs_)
      Engine.Keeper_.noteUse(Adapter, Now);
    while (auto Order = Engine.Keeper_.nextOrder(0.5, Now)) {
      Engine.Keeper_.noteAnswer(OrderAnswer::Accepted, Now);
      bool IsLoad = Order->Kind_ == OrderKind::LoadAdapter;
      Report_.Loads_ += IsLoad ? 1 : 0;
      if (IsLoad)
        Engine.WantedSince_.erase(Order->Adapter_);
    }
  }

  DispatchCandidate describe(const PlayedEngine &Engine,
                             const WaitingCall &Call, TimePoint Now) const {
    DispatchCandidate Given;
    Given.Id_ = Engine.Name_;
    Given.SameDataCentre_ = true;
    Given.HasOwner_ = true;
    Given.Slots_ = Slots_;
    Given.KvTokens_ = 1000000;
    Given.Running_ = static_cast<int>(Engine.Runs_.size());
    Given.Places_ = Places_;
    Given.PlacesTaken_ = static_cast<int>(Engine.Keeper_.places().size());
    Given.InTransit_ = Engine.Keeper_.inTransit(Now);
    for (const auto &[Adapter, Place] : Engine.Keeper_.places())
      Given.PlacesBusy_ +=
          Place.ReadyAt_ > Now ||
          std::ranges::any_of(Engine.Runs_, [&](const auto &Run) {
            return Run.first == Adapter;
          });
    auto Held = Engine.Keeper_.places().find(Call.Adapter_);
    if (Held == Engine.Keeper_.places().end()) {
      Given.Readiness_ = AdapterReadiness::Absent;
      auto Wanted = Engine.WantedSince_.find(Call.Adapter_);
      Given.Stalled_ =
          Wanted != Engine.WantedSince_.end() && Wanted->second + 180ms < Now;
    } else {
      Given.ReadyIn_ =
          std::max<Duration>(Duration::zero(), Held->second.ReadyAt_ - Now);
      Given.Readiness_ = Given.ReadyIn_ > Duration::zero()
                             ? AdapterReadiness::Loading
                             : AdapterReadiness::Resident;
    }
    return Given;
  }

  /// Asks for the next home of an adapter that many requests run with.
  void addHomes(const std::string &Adapter,
                const std::vector<DispatchCandidate> &Candidates,
                TimePoint Now) {
    int Uses = 0;
    for (const PlayedEngine &Engine : Engines_)
      Uses += static_cast<int>(std::ranges::count_if(
          Engine.Runs_, [&](const auto &Run) { return Run.first == Adapter; }));
    std::size_t Missing = missingHome(Candidates, Uses);
    if (Missing < Candidates.size())
      Engines_[Missing].Keeper_.want(Adapter, 1, Now);
  }

  /// Whether the call has come to its end.
  bool serve(const WaitingCall &Call, Duration RunTime, TimePoint Now) {
    std::vector<DispatchCandidate> Candidates;
    std::vector<std::pair<std::uint64_t, std::size_t>> Homes;
    for (const PlayedEngine &Engine : Engines_) {
      Homes.emplace_back(rendezvousScore(Call.Adapter_, Engine.Name_),
                         Candidates.size());
      Candidates.push_back(describe(Engine, Call, Now));
    }
    std::ranges::sort(Homes, std::greater<>());
    for (std::size_t Rank = 0; Rank < Homes.size(); ++Rank)
      Candidates[Homes[Rank].second].HomeRank_ = Rank;
    addHomes(Call.Adapter_, Candidates, Now);
    std::size_t Best = cheapest(Candidates, {1000, 100});
    PlayedEngine &Engine = Engines_[Best];
    Duration Waited = Now - Call.ArrivedAt_;
    if (Candidates[Best].Readiness_ == AdapterReadiness::Resident) {
      Engine.Runs_.emplace_back(Call.Adapter_, Now + RunTime);
      ++Report_.Served_;
      Report_.Late_ += Waited > LatencyTarget ? 1 : 0;
      return true;
    }
    if (Candidates[Best].Readiness_ == AdapterReadiness::Loading)
      return false;
    if (Waited > LatencyTarget) {
      ++Report_.Refused_;
      return true;
    }
    Engine.Keeper_.want(Call.Adapter_, 1, Now);
    Engine.WantedSince_.try_emplace(Call.Adapter_, Now);
    return false;
  }

  int Places_;
  int Slots_;
  std::vector<PlayedEngine> Engines_;
  std::vector<WaitingCall> Waiting_;
  CallersReport Report_;
  std::mt19937 Random_{3};
};

} // namespace

TEST_CASE("rare adapters on engines with few places", "[placing][load]") {
  // With 64 slots for 6 places an adapter gets a home for ten uses, with 24
  // slots for four.
  auto Play = [](int Slots, double RequestsPerSecond) {
    return PlacingLoad(18, 6, Slots).play(RequestsPerSecond, 2s, 20s);
  };
  SECTION("find a place, so that hardly a caller is refused") {
    CallersReport Report = Play(64, 60);
    INFO(Report.Served_ << " served, " << Report.Late_ << " late");
    CHECK(Report.Refused_ * 100 <= Report.Served_);
  }
  SECTION("find one more often when popular ones get fewer homes") {
    CHECK(Play(64, 75).Refused_ < Play(24, 75).Refused_);
  }
}
