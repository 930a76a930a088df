// What a request waits for before it is sent: RequestRun waits for a place, an
// adapter and a slot, and asks for a permit.

#include "Entry/RequestRun.h"

#include "Http/Pause.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// For how long a request waits for its adapter at one target before all
/// targets are compared again, which takes most of a waiting request's
/// processor time.
static constexpr Duration MaxWaitAtTarget = std::chrono::milliseconds(200);

/// The parts of its latency target and of its time left that a request may wait
/// for a place, and how long it waits at most before all targets are compared
/// again.
static constexpr double PlaceWaitTargetShare = 0.5;
static constexpr double PlaceWaitTimeShare = 0.25;
static constexpr Duration MaxPlacePause = std::chrono::milliseconds(100);

asio::awaitable<bool> RequestRun::awaitPlace(TimePoint Now) {
  auto Resumed = Shared_.Picker_->untilResumed(Query_, Now);
  if (!Resumed || !Shared_.Fleet_->limits().survivedRejections(Query_.Service_))
    co_return false;
  if (!MaxPlaceWait_)
    MaxPlaceWait_ = std::chrono::duration_cast<Duration>(
        std::min(Request_.Route_->LatencyTarget_ * PlaceWaitTargetShare,
                 std::chrono::duration<double, Duration::period>(timeLeft()) *
                     PlaceWaitTimeShare));
  Duration Left = *MaxPlaceWait_ - PlaceWait_;
  if (!PlaceQueue_ && Left > Duration::zero())
    PlaceQueue_ = Shared_.Permits_->joinQueue(Query_.Service_, rank());
  if (!PlaceQueue_ || Left <= Duration::zero())
    co_return false;
  Duration Pause = std::min({*Resumed, Left, MaxPlacePause});
  co_await Shared_.Permits_->awaitPlace(Now + Pause);
  PlaceWait_ += BootClock::now() - Now;
  co_return true;
}

asio::awaitable<bool> RequestRun::awaitAdapter(const TargetChoice &Chosen) {
  TimePoint Now = BootClock::now();
  // A reply that is ready, or a stream that has begun, isn't held back for a
  // load beyond the latency target.
  bool HasReply = Failure_ || HeadSent_;
  bool MayWait = !HasReply || AdapterWait_ < Request_.Route_->LatencyTarget_;
  std::optional<Duration> Pause;
  if (MayWait)
    Pause = Wait_.nextPause(Chosen, Query_, timeLeft() - ReplyMargin,
                            AdapterWait_, Now);
  if (!Pause) {
    LastReason_ = Chosen.Load_ == LoadStage::Unknown ? "adapter_not_loaded"
                                                     : "adapter_too_late";
    CallerRetryAfter_ = Wait_.expectedIn();
    co_return false;
  }
  TimePoint ChooseAgainAt = Now + MaxWaitAtTarget;
  while (Pause) {
    co_await pauseFor(Pause_, *Pause);
    TimePoint Then = std::exchange(Now, BootClock::now());
    AdapterWait_ += Now - Then;
    bool MustChoose = Now >= ChooseAgainAt || isCancelled() || isOutOfTime();
    Pause = MustChoose ? std::nullopt
                       : Wait_.pauseAtTarget(Chosen, Query_, AdapterWait_, Now);
  }
  co_return true;
}

asio::awaitable<bool> RequestRun::holdForSlot(const TargetChoice &Chosen) {
  Duration Hold = Shared_.Picker_->holdFor(Query_, Chosen);
  if (Hold == Duration::zero())
    co_return false;
  LastReason_ = "slots_busy";
  SlotWait_ = Chosen.SlotWait_;
  co_await pauseFor(Pause_, Hold);
  SlotHold_ += Hold;
  co_return true;
}

asio::awaitable<bool> RequestRun::acquirePermit(const TargetChoice &Chosen) {
  PermitRequestedAt_.reset();
  TimePoint RequestedAt = BootClock::now();
  bool IsNeeded = Chosen.NeedsPermit_ &&
                  Shared_.Permits_->needsPermit(
                      Chosen.Target_, Chosen.Incarnation_, RequestedAt);
  if (!IsNeeded)
    co_return true;
  PermitRequestedAt_ = RequestedAt;
  auto Place = co_await Shared_.Permits_->acquire(
      Chosen.Target_, Chosen.Incarnation_, timeLeft(), Pause_);
  if (Place)
    Place_ = std::move(*Place);
  co_return Place.has_value();
}

} // namespace anvil
