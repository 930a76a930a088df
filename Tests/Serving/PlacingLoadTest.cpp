#include "Membership/Rendezvous.h"
#include "Serving/DispatchCost.h"
#include "Serving/EngineController.h"

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

/// A caller's request: its adapter and time of arrival.
struct WaitingCall {
  std::string Adapter_;
  TimePoint ArrivedAt_{};
};

/// Outcomes of the callers' requests in a simulation.
struct CallersReport {
  int Served_ = 0;
  int Late_ = 0;
  int Refused_ = 0;
  int Loads_ = 0;
};

struct SimulatedEngine {
  std::string Name_;
  EngineController Controller_;
  /// Running requests by adapter, with the time when each ends.
  std::vector<std::pair<std::string, TimePoint>> Runs_;
  /// Unanswered adapter requests, by adapter.
  std::map<std::string, TimePoint> RequestedSince_;
};

/// Simulates many rare adapters on engines with few adapter slots each:
/// requests choose their engine, wait for their adapter and run for a while
/// with it.
class PlacementLoad {
public:
  PlacementLoad(int Engines, int AdapterSlots, int Slots)
      : AdapterSlots_(AdapterSlots), Slots_(Slots) {
    EngineReport Report;
    Report.Models_["base"] = {1, {}};
    for (int Index = 0; Index < Engines; ++Index) {
      EngineControllerOptions Options;
      Options.MaxAdapters_ = AdapterSlots;
      Options.WarmAdapters_ = static_cast<std::size_t>(6 * AdapterSlots);
      Engines_.push_back({"engine-" + std::to_string(Index),
                          EngineController("base", Options),
                          {},
                          {}});
      Engines_.back().Controller_.adopt(Report, Start);
    }
  }

  /// Simulates `RequestsPerSecond` requests for adapters of a Zipf
  /// distribution.
  CallersReport run(double RequestsPerSecond, Duration RunTime,
                    Duration Length) {
    double Due = 0;
    for (TimePoint Now = Start; Now < Start + Length; Now += Step) {
      for (Due += RequestsPerSecond * toSeconds(Step); Due >= 1; --Due)
        Waiting_.push_back({drawAdapter(), Now});
      for (SimulatedEngine &Engine : Engines_)
        updateEngine(Engine, Now);
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

  void updateEngine(SimulatedEngine &Engine, TimePoint Now) {
    std::erase_if(Engine.Runs_,
                  [&](const auto &Run) { return Run.second <= Now; });
    for (const auto &[Adapter, End] : Engine.Runs_)
      Engine.Controller_.recordUse(Adapter, Now);
    while (auto Order = Engine.Controller_.nextOrder(0.5, Now)) {
      Engine.Controller_.recordOrderResult(OrderResult::Accepted, Now);
      bool IsLoad = Order->Kind_ == OrderKind::LoadAdapter;
      Report_.Loads_ += IsLoad ? 1 : 0;
      if (IsLoad)
        Engine.RequestedSince_.erase(Order->Adapter_);
    }
  }

  DispatchCandidate describe(const SimulatedEngine &Engine,
                             const WaitingCall &Call, TimePoint Now) const {
    DispatchCandidate Candidate;
    Candidate.Id_ = Engine.Name_;
    Candidate.SameDataCentre_ = true;
    Candidate.HasOwner_ = true;
    Candidate.Slots_ = Slots_;
    Candidate.KvTokens_ = 1000000;
    Candidate.Running_ = static_cast<int>(Engine.Runs_.size());
    Candidate.AdapterCapacity_ = AdapterSlots_;
    Candidate.UsedAdapterSlots_ =
        static_cast<int>(Engine.Controller_.heldAdapters().size());
    Candidate.InTransit_ = Engine.Controller_.inTransit(Now);
    for (const auto &[Adapter, HeldEntry] : Engine.Controller_.heldAdapters())
      Candidate.PinnedAdapterSlots_ +=
          HeldEntry.ReadyAt_ > Now ||
          std::ranges::any_of(Engine.Runs_, [&](const auto &Run) {
            return Run.first == Adapter;
          });
    auto Held = Engine.Controller_.heldAdapters().find(Call.Adapter_);
    if (Held == Engine.Controller_.heldAdapters().end()) {
      Candidate.Readiness_ = AdapterReadiness::Absent;
      auto Requested = Engine.RequestedSince_.find(Call.Adapter_);
      Candidate.OwnerUnresponsive_ =
          Requested != Engine.RequestedSince_.end() &&
          Requested->second + 180ms < Now;
    } else {
      Candidate.ReadyIn_ =
          std::max<Duration>(Duration::zero(), Held->second.ReadyAt_ - Now);
      Candidate.Readiness_ = Candidate.ReadyIn_ > Duration::zero()
                                 ? AdapterReadiness::Loading
                                 : AdapterReadiness::Resident;
    }
    return Candidate;
  }

  /// Requests the next home of an adapter with many running requests.
  void addHomes(const std::string &Adapter,
                const std::vector<DispatchCandidate> &Candidates,
                TimePoint Now) {
    int Uses = 0;
    for (const SimulatedEngine &Engine : Engines_)
      Uses += static_cast<int>(std::ranges::count_if(
          Engine.Runs_, [&](const auto &Run) { return Run.first == Adapter; }));
    std::size_t Missing = nextHomeToLoad(Candidates, Uses);
    if (Missing < Candidates.size())
      Engines_[Missing].Controller_.requestAdapter(Adapter, 1, Now);
  }

  /// Serves, refuses or delays a call. Returns whether it is finished.
  bool serve(const WaitingCall &Call, Duration RunTime, TimePoint Now) {
    std::vector<DispatchCandidate> Candidates;
    std::vector<std::pair<std::uint64_t, std::size_t>> Homes;
    for (const SimulatedEngine &Engine : Engines_) {
      Homes.emplace_back(rendezvousScore(Call.Adapter_, Engine.Name_),
                         Candidates.size());
      Candidates.push_back(describe(Engine, Call, Now));
    }
    std::ranges::sort(Homes, std::greater<>());
    for (std::size_t Rank = 0; Rank < Homes.size(); ++Rank)
      Candidates[Homes[Rank].second].HomeRank_ = Rank;
    addHomes(Call.Adapter_, Candidates, Now);
    std::size_t Best = selectCheapest(Candidates, {1000, 100});
    SimulatedEngine &Engine = Engines_[Best];
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
    Engine.Controller_.requestAdapter(Call.Adapter_, 1, Now);
    Engine.RequestedSince_.try_emplace(Call.Adapter_, Now);
    return false;
  }

  int AdapterSlots_;
  int Slots_;
  std::vector<SimulatedEngine> Engines_;
  std::vector<WaitingCall> Waiting_;
  CallersReport Report_;
  std::mt19937 Random_{3};
};

} // namespace

TEST_CASE("rare adapters on engines with few adapter slots",
          "[placing][load]") {
  // With 64 request slots for 6 adapter slots an adapter gets a home for ten
  // uses, with 24 request slots for four.
  auto Run = [](int Slots, double RequestsPerSecond) {
    return PlacementLoad(18, 6, Slots).run(RequestsPerSecond, 2s, 20s);
  };
  SECTION("are loaded, so that hardly any caller is refused") {
    CallersReport Report = Run(64, 60);
    INFO(Report.Served_ << " served, " << Report.Late_ << " late");
    CHECK(Report.Refused_ * 100 <= Report.Served_);
  }
  SECTION("are loaded more often when popular ones get fewer homes") {
    CHECK(Run(64, 75).Refused_ < Run(24, 75).Refused_);
  }
}
