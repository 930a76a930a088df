#include "Serving/LimitLoad.h"

#include "Admission/TokenBucket.h"
#include "Routing/PermitIssuer.h"

#include <algorithm>
#include <deque>
#include <random>

namespace anvil {

using namespace std::chrono_literals;

static constexpr TimePoint Start{1000s};

/// The latency of a datagram, and of a request to the target.
static constexpr Duration Latency = 1ms;

/// As in the service: how long a target is suspended for a VM without a permit.
static constexpr Duration MinSuspension = 20ms;
static constexpr Duration SuspensionUnanswered = 100ms;

/// How often VMs report that they run, at most.
static constexpr Duration ActivityPeriod = 100ms;

/// How long an unresponsive VM is still considered serving.
static constexpr Duration UpdateValidity = 1500ms;

static bool isWithin(const std::pair<Duration, Duration> &Span, Duration At) {
  return Span.first <= At && At < Span.second;
}

namespace {

class LimitLoad {
public:
  explicit LimitLoad(const LimitLoadPlan &Plan)
      : Plan_(Plan), Random_(Plan.Seed_), Issuers_(Plan.Vms_),
        SuspendedUntil_(Plan.Vms_), Ideal_(Plan.RatePerSecond_, 2, 0, Start) {
    double Share = Plan.RatePerSecond_ / static_cast<double>(Plan.Vms_);
    Split_.assign(Plan.Vms_, TokenBucket(Share, 1, 0, Start));
    for (std::size_t Vm = 0; Vm < Plan.Vms_; ++Vm)
      NewsAge_.push_back(upTo(Plan.MaxNewsAge_));
  }

  LimitLoadOutcome run() {
    for (Duration At{}; At < Plan_.Length_; At += 1ms)
      step(At);
    std::ranges::sort(Outcome_.Arrivals_);
    return std::move(Outcome_);
  }

private:
  struct PermitRequest {
    Duration ArrivesAt_{};
    std::size_t Vm_ = 0;
    std::size_t Issuer_ = 0;
    double ReachableShare_ = 0;
  };

  Duration upTo(Duration Max) {
    if (Max == Duration::zero())
      return Max;
    return Duration(
        std::uniform_int_distribution<Duration::rep>(0, Max.count())(Random_));
  }

  bool isFrozen(std::size_t Vm, Duration At) const {
    return Vm >= Plan_.Vms_ - Plan_.Vms_ / 3 && isWithin(Plan_.Frozen_, At);
  }

  void step(Duration At) {
    bool LosesState = At == Plan_.IssuerDown_.second && At > Duration::zero() &&
                      !Plan_.IssuerFrozen_;
    if (LosesState)
      Issuers_[issuerOf(0, Duration::zero())] = PermitIssuer();
    if (At.count() % ActivityPeriod.count() == 0)
      recordActivity(At);
    while (!Requests_.empty() && Requests_.front().ArrivesAt_ <= At) {
      reply(Requests_.front(), At);
      Requests_.pop_front();
    }
    double Demand = Plan_.DemandPerSecond_ / 1000;
    if (isWithin(Plan_.Burst_, At))
      Demand *= Plan_.BurstFactor_;
    int Arriving = std::poisson_distribution<int>(Demand)(Random_);
    if (At == Plan_.Frozen_.second)
      for (std::size_t Vm : std::exchange(Held_, {}))
        request(Vm, At);
    for (int Index = 0; Index < Arriving; ++Index) {
      std::size_t Vm = std::uniform_int_distribution<std::size_t>(
          0, Plan_.Vms_ - 1)(Random_);
      if (isFrozen(Vm, At))
        Held_.push_back(Vm);
      else
        request(Vm, At);
    }
  }

  void recordActivity(Duration At) {
    for (std::size_t Vm = 0; Vm < Plan_.Vms_; ++Vm) {
      bool IsDown = Vm == 0 && isWithin(Plan_.IssuerDown_, At);
      if (!IsDown && !isFrozen(Vm, At))
        Issuers_[Vm].recordActivity(
            std::max<Duration>(Plan_.MaxNewsAge_, ActivityPeriod), Start + At);
    }
  }

  std::size_t groupOf(std::size_t Vm, Duration At) const {
    bool IsAlone =
        Vm >= Plan_.Vms_ - Plan_.Isolated_ && isWithin(Plan_.Isolation_, At);
    if (IsAlone)
      return Plan_.DataCentres_ + Vm;
    if (isWithin(Plan_.Partition_, At))
      return Vm < Plan_.Vms_ / 3 ? 0 : 1;
    return Vm * Plan_.DataCentres_ / Plan_.Vms_;
  }

  /// The first VM of a group issues permits, or the second while the first is
  /// known to be unavailable.
  std::size_t issuerOf(std::size_t Vm, Duration At) const {
    std::size_t First = Vm;
    while (First > 0 && groupOf(First - 1, At) == groupOf(Vm, At))
      --First;
    bool IsKnownDown =
        First == 0 && isWithin({Plan_.IssuerDown_.first + UpdateValidity,
                                Plan_.IssuerDown_.second + NewsAge_[Vm]},
                               At);
    return IsKnownDown && groupOf(1, At) == groupOf(Vm, At) ? 1 : First;
  }

  double reachableShare(std::size_t Vm, Duration At) const {
    std::size_t Reachable = 0;
    for (std::size_t Other = 0; Other < Plan_.Vms_; ++Other)
      Reachable += groupOf(Other, At) == groupOf(Vm, At) ? 1 : 0;
    return static_cast<double>(Reachable) / static_cast<double>(Plan_.Vms_);
  }

  void request(std::size_t Vm, Duration At) {
    ++Outcome_.Requested_;
    if (Plan_.Policy_ == LimitPolicy::Ideal) {
      if (Ideal_.take(1, Start + At))
        Outcome_.Arrivals_.push_back(At);
    } else if (Plan_.Policy_ == LimitPolicy::EvenSplit) {
      if (Split_[Vm].take(1, Start + At))
        Outcome_.Arrivals_.push_back(At);
    } else if (SuspendedUntil_[Vm] <= At) {
      Requests_.push_back(
          {At + Latency, Vm, issuerOf(Vm, At), reachableShare(Vm, At)});
    }
  }

  void reply(const PermitRequest &Request, Duration At) {
    bool IsDown = Request.Issuer_ == 0 && isWithin(Plan_.IssuerDown_, At);
    if (IsDown) {
      SuspendedUntil_[Request.Vm_] = At + SuspensionUnanswered;
      return;
    }
    PermitDecision Decision = Issuers_[Request.Issuer_].decide(
        {"target", 1, Plan_.RatePerSecond_, Plan_.Cold_},
        Request.ReachableShare_, Start + At);
    if (Decision.Granted_)
      Outcome_.Arrivals_.push_back(At + 2 * Latency +
                                   upTo(Plan_.MaxPermitAge_));
    else
      SuspendedUntil_[Request.Vm_] =
          At + std::max(MinSuspension, Decision.RetryIn_) + Latency;
  }

  const LimitLoadPlan &Plan_;
  std::mt19937 Random_;
  std::vector<PermitIssuer> Issuers_;
  std::vector<Duration> SuspendedUntil_;
  /// By VM, how late it learns that the issuer responds again.
  std::vector<Duration> NewsAge_;
  /// The VMs of requests that arrived while they were frozen.
  std::vector<std::size_t> Held_;
  std::vector<TokenBucket> Split_;
  TokenBucket Ideal_;
  std::deque<PermitRequest> Requests_;
  LimitLoadOutcome Outcome_;
};

} // namespace

std::size_t LimitLoadOutcome::maxWithin(Duration Span, Duration From) const {
  std::size_t MaxCount = 0;
  auto Last = Arrivals_.begin();
  for (auto First = std::ranges::lower_bound(Arrivals_, From);
       First != Arrivals_.end(); ++First) {
    Last = std::max(Last, First);
    while (Last != Arrivals_.end() && *Last < *First + Span)
      ++Last;
    MaxCount = std::max(MaxCount, static_cast<std::size_t>(Last - First));
  }
  return MaxCount;
}

double LimitLoadOutcome::rateWithin(Duration From, Duration Until) const {
  auto Count = std::ranges::count_if(
      Arrivals_, [&](Duration At) { return From <= At && At < Until; });
  return static_cast<double>(Count) / toSeconds(Until - From);
}

LimitLoadOutcome simulateLimitLoad(const LimitLoadPlan &Plan) {
  return LimitLoad(Plan).run();
}

} // namespace anvil
