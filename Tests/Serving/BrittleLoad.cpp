#include "Serving/BrittleLoad.h"

#include "Routing/PlaceIssuer.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace anvil {

using namespace std::chrono_literals;

static constexpr TimePoint Start{1000s};

/// The latency of a datagram, and of a request to an engine.
static constexpr Duration Latency = 1ms;

/// As in the service.
static constexpr Duration ReplyTimeout = 30ms;
static constexpr Duration UnansweredSuspension = 100ms;
static constexpr Duration ReportPeriod = 100ms;
static constexpr Duration ReportValidity = 1500ms;
static constexpr Duration RestartedTime = 5s;
static constexpr int MaxSends = 4;

/// How long an engine that has fallen over is away.
static constexpr Duration DownTime = 3s;

/// The share of all slots that must be free for a refusal to count as one with
/// room: what isn't used when the aim is reached.
static constexpr double FreeShare = 0.1;

/// The part of a simulation in which it isn't measured.
static constexpr Duration Settling = 2s;

namespace {

class BrittleLoad {
public:
  explicit BrittleLoad(const BrittleLoadPlan &Plan)
      : Plan_(Plan), Random_(Plan.Seed_), Vms_(Plan.Vms_),
        Engines_(Plan.Engines_), Reported_(Plan.Engines_) {}

  BrittleLoadOutcome run() {
    double PerStep = Plan_.Load_ * capacity() / 1000;
    for (Duration At{}; At < Plan_.Length_; At += 1ms) {
      Now_ = At;
      if (At == Plan_.RestartAt_ && At > Duration::zero())
        restartVms();
      if (At.count() % ReportPeriod.count() == 0)
        report();
      while (!Events_.empty() && Events_.begin()->first <= At) {
        auto Next = Events_.extract(Events_.begin());
        Next.mapped()();
      }
      int Arriving = std::poisson_distribution<int>(PerStep)(Random_);
      for (int Index = 0; Index < Arriving; ++Index) {
        ++Outcome_.Requests_;
        AskedSettled_ += Now_ >= Settling ? 1 : 0;
        tryNext(Request{pick(Plan_.Vms_), Generation_, At, 0, {}, false, 0});
      }
    }
    double Fits = capacity() * toSeconds(Plan_.Length_ - Settling);
    Outcome_.RoomUsed_ = static_cast<double>(ServedSettled_) /
                         std::min(Fits, static_cast<double>(AskedSettled_));
    return Outcome_;
  }

private:
  struct Request {
    std::size_t Vm_ = 0;
    int Generation_ = 0;
    Duration At_{};
    int Sends_ = 0;
    std::set<std::size_t> Rejected_;
    bool IsWaiting_ = false;
    std::uint64_t Number_ = 0;
  };
  struct Vm {
    PlaceIssuer Issuer_;
    std::uint64_t Serial_ = 0;
    std::size_t Waiting_ = 0;
    std::vector<Request> Queue_;
    std::map<std::size_t, Duration> SuspendedUntil_;
    std::map<std::size_t, std::set<std::uint64_t>> Held_;
    std::map<std::size_t, std::set<std::uint64_t>> Awaited_;
    std::map<std::size_t, int> Running_;
  };
  /// A request at an engine and the number of its place.
  struct Run {
    Request Of_;
    std::uint64_t Serial_ = 0;
  };
  struct Engine {
    int Lifetime_ = 0;
    Duration DownUntil_{};
    Duration BackAt_ = -RestartedTime;
    std::vector<Run> Active_;
    std::deque<Run> Queue_;
    int OnTheWay_ = 0;
    std::deque<Duration> Rejections_;
  };

  double capacity() const {
    return static_cast<double>(Plan_.Engines_) * Plan_.Slots_ /
           toSeconds(Plan_.Work_);
  }
  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random_);
  }
  void after(Duration Wait, std::function<void()> Call) {
    Events_.emplace(Now_ + Wait, std::move(Call));
  }
  bool isWithin(const std::pair<Duration, Duration> &Span) const {
    return Span.first <= Now_ && Now_ < Span.second;
  }
  bool isIsolated(std::size_t Vm) const {
    return Vm < Plan_.Vms_ / 3 && isWithin(Plan_.Isolated_);
  }
  bool isDown(std::size_t Vm, std::size_t Engine) const {
    return Vm == Engine % Plan_.Vms_ && isWithin(Plan_.IssuerDown_);
  }
  bool isLost() {
    return std::bernoulli_distribution(Plan_.LossShare_)(Random_);
  }

  void restartVms() {
    ++Generation_;
    for (Vm &Each : Vms_) {
      Each = Vm();
      Each.Serial_ = static_cast<std::uint64_t>(Random_()) * 1'000'000;
    }
  }

  void report() {
    if (Now_ == Plan_.IssuerDown_.second && Plan_.IssuerLosesState_ &&
        Now_ > Duration::zero())
      for (std::size_t Index = 0; Index < Plan_.Engines_; ++Index)
        Vms_[Index % Plan_.Vms_].Issuer_ = PlaceIssuer();
    for (std::size_t Index = 0; Index < Plan_.Vms_; ++Index)
      if (!(Index < Plan_.Engines_ && isWithin(Plan_.IssuerDown_)))
        Vms_[Index].Issuer_.recordActivity(ReportPeriod, Start + Now_);
    for (std::size_t Index = 0; Index < Plan_.Engines_; ++Index) {
      Reported_[Index] = 0;
      for (Vm &Each : Vms_)
        Reported_[Index] += Each.Running_[Index];
    }
  }

  std::size_t issuerOf(std::size_t Vm, std::size_t Engine) const {
    bool IsAlone =
        isIsolated(Vm) && Now_ > Plan_.Isolated_.first + ReportValidity;
    if (IsAlone)
      return Vm;
    bool IsKnownDown = isWithin(
        {Plan_.IssuerDown_.first + ReportValidity, Plan_.IssuerDown_.second});
    std::size_t First = Engine % Plan_.Vms_;
    bool IsAway =
        IsKnownDown ||
        (isIsolated(First) && Now_ > Plan_.Isolated_.first + ReportValidity);
    return IsAway ? (Engine + Plan_.Vms_ / 2) % Plan_.Vms_ : First;
  }
  double shareOf(std::size_t Vm) const {
    if (!isWithin(Plan_.Isolated_))
      return 1;
    double Alone = 1.0 / static_cast<double>(Plan_.Vms_);
    return isIsolated(Vm) ? Alone
                          : 1 - Alone * static_cast<double>(Plan_.Vms_ / 3);
  }
  bool isConnected(std::size_t From, std::size_t To) const {
    return From == To || (!isIsolated(From) && !isIsolated(To));
  }

  /// Sends a request on its way, holds it back, or refuses it.
  void tryNext(Request Of) {
    if (Of.Generation_ != Generation_)
      return;
    Vm &From = Vms_[Of.Vm_];
    std::optional<std::size_t> Best;
    std::optional<Duration> Resumed;
    int BestLoad = 0;
    std::size_t First = pick(Plan_.Engines_);
    for (std::size_t Step = 0; Step < Plan_.Engines_; ++Step) {
      std::size_t Index = (First + Step) % Plan_.Engines_;
      if (Engines_[Index].DownUntil_ > Now_ || Of.Rejected_.contains(Index))
        continue;
      Duration Until = From.SuspendedUntil_[Index];
      if (Until > Now_) {
        Resumed = std::min(Resumed.value_or(Until), Until);
        continue;
      }
      int Load = Reported_[Index] + From.Running_[Index];
      if (!Best || Load < BestLoad) {
        Best = Index;
        BestLoad = Load;
      }
    }
    if (Best && Of.Sends_ < MaxSends)
      return std::exchange(Of.IsWaiting_, false) ? leaveQueue(Of, *Best)
                                                 : begin(Of, *Best);
    if (!Best && Resumed && mayWait(Of, From)) {
      Of.IsWaiting_ = true;
      Of.Number_ = ++Numbers_;
      From.Queue_.push_back(Of);
      return after(std::max<Duration>(1ms, *Resumed - Now_), [this, Of] {
        auto &Queue = Vms_[Of.Vm_].Queue_;
        bool Waits = std::erase_if(Queue, [&](const Request &Each) {
                       return Each.Number_ == Of.Number_;
                     }) > 0;
        if (Waits)
          tryNext(Of);
      });
    }
    if (Of.IsWaiting_)
      --From.Waiting_;
    refuse();
  }
  void leaveQueue(const Request &Of, std::size_t Engine) {
    --Vms_[Of.Vm_].Waiting_;
    begin(Of, Engine);
  }
  bool mayWait(const Request &Of, Vm &From) {
    std::size_t MaxWaiting = std::max<std::size_t>(
        1,
        Plan_.Engines_ * static_cast<std::size_t>(Plan_.Slots_) / Plan_.Vms_);
    if (Now_ - Of.At_ >= Plan_.MaxWait_)
      return false;
    if (Of.IsWaiting_)
      return true;
    if (From.Waiting_ >= MaxWaiting)
      return false;
    ++From.Waiting_;
    return true;
  }
  static int loadOf(const Engine &At) {
    return static_cast<int>(At.Active_.size() + At.Queue_.size()) +
           At.OnTheWay_;
  }
  void refuse() {
    ++Outcome_.Refused_;
    // Those that wait are about to take what is free.
    int Free = 0;
    for (const Vm &Each : Vms_)
      Free -= static_cast<int>(Each.Queue_.size());
    for (const Engine &Each : Engines_)
      if (Each.DownUntil_ <= Now_)
        Free += std::max(0, Plan_.Slots_ - loadOf(Each));
    double Slots = static_cast<double>(Plan_.Engines_) * Plan_.Slots_;
    bool HasRoom = Free > Slots * FreeShare;
    Outcome_.RefusedWithRoom_ += HasRoom && Now_ >= Settling ? 1 : 0;
  }
  /// A place is free: those that wait try again.
  void resume(std::size_t Vm, std::size_t Index) {
    Vms_[Vm].SuspendedUntil_[Index] = Now_;
    std::vector<Request> Waiting = std::exchange(Vms_[Vm].Queue_, {});
    for (Request &Each : Waiting)
      tryNext(std::move(Each));
  }

  void begin(const Request &Of, std::size_t Index) {
    if (Plan_.Policy_ == BrittlePolicy::Reports)
      return send({Of, 0}, Index);
    Vm &From = Vms_[Of.Vm_];
    std::uint64_t Serial = ++From.Serial_;
    PlaceQuery Query = queryFor(Of, Serial, Index);
    From.Awaited_[Index].insert(Serial);
    std::size_t Issuer = issuerOf(Of.Vm_, Index);
    if (Issuer == Of.Vm_)
      return applyReply(
          {Of, Serial}, Index,
          From.Issuer_.decide(Query, shareOf(Issuer), Start + Now_));
    bool Arrives = isConnected(Of.Vm_, Issuer) && !isLost();
    bool Returns = !isLost();
    after(Latency, [this, Of, Serial, Index, Issuer, Query, Arrives, Returns] {
      bool IsHeard =
          Arrives && Of.Generation_ == Generation_ && !isDown(Issuer, Index);
      if (!IsHeard)
        return;
      PermitDecision Decision =
          Vms_[Issuer].Issuer_.decide(Query, shareOf(Issuer), Start + Now_);
      if (Returns)
        after(Latency, [this, Of, Serial, Index, Decision] {
          applyReply({Of, Serial}, Index, Decision);
        });
    });
    after(ReplyTimeout, [this, Of, Serial, Index] {
      bool IsOpen = Of.Generation_ == Generation_ &&
                    Vms_[Of.Vm_].Awaited_[Index].erase(Serial) > 0;
      if (!IsOpen)
        return;
      sendRelease({Of, Serial}, Index, false);
      Vms_[Of.Vm_].SuspendedUntil_[Index] = Now_ + UnansweredSuspension;
      tryNext(Of);
    });
  }
  PlaceQuery queryFor(const Request &Of, std::uint64_t Serial,
                      std::size_t Index) {
    PlaceQuery Query;
    Query.Vm_ = "vm-" + std::to_string(Of.Vm_);
    Query.Serial_ = Serial;
    Query.Target_ = "engine-" + std::to_string(Index);
    Query.Incarnation_ = Engines_[Index].Lifetime_;
    Query.Need_ = {Plan_.Slots_, static_cast<double>(Plan_.Rejections_), 3s,
                   inUse(Of.Vm_, Index)};
    Query.SeenRunning_ = Reported_[Index];
    Query.IsRestarted_ = Engines_[Index].BackAt_ + RestartedTime > Now_;
    return Query;
  }
  PlacesInUse inUse(std::size_t Vm, std::size_t Index) {
    const auto &Held = Vms_[Vm].Held_[Index];
    const auto &Awaited = Vms_[Vm].Awaited_[Index];
    return {{Held.begin(), Held.end()}, {Awaited.begin(), Awaited.end()}};
  }
  void applyReply(const Run &Next, std::size_t Index,
                  const PermitDecision &Decision) {
    if (Next.Of_.Generation_ != Generation_)
      return;
    Vm &From = Vms_[Next.Of_.Vm_];
    if (From.Awaited_[Index].erase(Next.Serial_) == 0)
      return;
    if (!Decision.Granted_) {
      From.SuspendedUntil_[Index] =
          Now_ + std::max(20ms + 0us, Decision.RetryIn_);
      return tryNext(Next.Of_);
    }
    From.Held_[Index].insert(Next.Serial_);
    send(Next, Index);
  }
  void sendRelease(const Run &Ended, std::size_t Index, bool WasRejected) {
    if (Plan_.Policy_ == BrittlePolicy::Reports)
      return;
    std::size_t From = Ended.Of_.Vm_;
    std::size_t Issuer = issuerOf(From, Index);
    Vms_[From].Held_[Index].erase(Ended.Serial_);
    PlaceRelease Release{"vm-" + std::to_string(From),
                         Ended.Serial_,
                         "engine-" + std::to_string(Index),
                         Engines_[Index].Lifetime_,
                         WasRejected,
                         inUse(From, Index)};
    if (!isConnected(From, Issuer) || (From != Issuer && isLost()))
      return;
    after(From == Issuer ? 0ms : Latency, [this, Issuer, Index, Release] {
      if (isDown(Issuer, Index))
        return;
      auto Told = Vms_[Issuer].Issuer_.release(Release, Start + Now_);
      if (Told)
        after(Latency, [this, Index, Vm = std::stoul(Told->substr(3))] {
          resume(Vm, Index);
        });
    });
  }

  void send(Run Next, std::size_t Index) {
    ++Next.Of_.Sends_;
    ++Vms_[Next.Of_.Vm_].Running_[Index];
    ++Engines_[Index].OnTheWay_;
    after(Latency, [this, Next, Index] {
      --Engines_[Index].OnTheWay_;
      arrive(Next, Index);
    });
  }
  void arrive(const Run &Next, std::size_t Index) {
    Engine &At = Engines_[Index];
    if (At.DownUntil_ > Now_) {
      end(Next, Index, false);
      return tryNext(Next.Of_);
    }
    if (std::ssize(At.Active_) < Plan_.Slots_)
      return work(Next, Index);
    if (std::ssize(At.Queue_) < Plan_.Waiting_) {
      At.Queue_.push_back(Next);
      return;
    }
    ++Outcome_.Rejections_;
    At.Rejections_.push_back(Now_);
    while (At.Rejections_.front() + 1s <= Now_)
      At.Rejections_.pop_front();
    bool Falls = std::ssize(At.Rejections_) > Plan_.Rejections_;
    end(Next, Index, !Falls);
    Request Again = Next.Of_;
    Again.Rejected_.insert(Index);
    if (Falls)
      fall(Index);
    tryNext(Again);
  }
  void work(const Run &Next, std::size_t Index) {
    Engines_[Index].Active_.push_back(Next);
    int Lifetime = Engines_[Index].Lifetime_;
    double Factor = std::uniform_real_distribution<>(0.8, 1.2)(Random_);
    auto Time = std::chrono::duration_cast<Duration>(Plan_.Work_ * Factor);
    after(Time, [this, Next, Index, Lifetime] {
      Engine &At = Engines_[Index];
      if (At.Lifetime_ != Lifetime)
        return;
      auto Ended = std::ranges::find_if(At.Active_, [&](const Run &Each) {
        return Each.Of_.Vm_ == Next.Of_.Vm_ && Each.Serial_ == Next.Serial_ &&
               Each.Of_.At_ == Next.Of_.At_;
      });
      At.Active_.erase(Ended);
      if (!At.Queue_.empty()) {
        Run Waiting = At.Queue_.front();
        At.Queue_.pop_front();
        work(Waiting, Index);
      }
      if (Next.Of_.Generation_ == Generation_) {
        ++Outcome_.Served_;
        ServedSettled_ += Now_ >= Settling ? 1 : 0;
      }
      end(Next, Index, false);
    });
  }
  void end(const Run &Ended, std::size_t Index, bool WasRejected) {
    if (Ended.Of_.Generation_ != Generation_)
      return;
    after(Latency, [this, Ended, Index, WasRejected] {
      if (Ended.Of_.Generation_ != Generation_)
        return;
      --Vms_[Ended.Of_.Vm_].Running_[Index];
      sendRelease(Ended, Index, WasRejected);
    });
  }
  void fall(std::size_t Index) {
    Engine &At = Engines_[Index];
    ++Outcome_.Falls_;
    std::vector<Run> Ended = std::exchange(At.Active_, {});
    Ended.insert(Ended.end(), At.Queue_.begin(), At.Queue_.end());
    At.Queue_.clear();
    At.Rejections_.clear();
    Outcome_.Lost_ += Ended.size();
    for (const Run &Each : Ended)
      end(Each, Index, false);
    ++At.Lifetime_;
    At.DownUntil_ = Now_ + DownTime;
    At.BackAt_ = At.DownUntil_;
  }

  const BrittleLoadPlan &Plan_;
  std::mt19937 Random_;
  Duration Now_{};
  int Generation_ = 0;
  std::multimap<Duration, std::function<void()>> Events_;
  std::vector<Vm> Vms_;
  std::vector<Engine> Engines_;
  /// What all VMs ran at each engine when they last reported it.
  std::vector<int> Reported_;
  std::size_t AskedSettled_ = 0;
  std::size_t ServedSettled_ = 0;
  std::uint64_t Numbers_ = 0;
  BrittleLoadOutcome Outcome_;
};

} // namespace

BrittleLoadOutcome simulateBrittleLoad(const BrittleLoadPlan &Plan) {
  return BrittleLoad(Plan).run();
}

} // namespace anvil
