// How a request reaches its target: RequestRun connects, directly or through
// another VM, and checks that what it sent is received.

#include "Entry/RequestRun.h"

#include "Http/Pause.h"
#include "Kernel/EnumNames.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// Time limit for a connection to a target; within a data centre connecting
/// takes about a millisecond.
static constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);

/// The time after which a target is checked whose machine has acknowledged
/// nothing of a request, and after which the request is sent elsewhere.
/// Acknowledgements take milliseconds; a lost packet is sent again after 200.
static constexpr Duration SuspectSilence = std::chrono::milliseconds(250);
static constexpr Duration MaxSilence = std::chrono::milliseconds(600);

/// For how long a request waits in all until other VMs have answered whether
/// they reach a target, and how often it looks.
static constexpr Duration MaxReachWait = std::chrono::milliseconds(800);
static constexpr Duration ReachCheckPeriod = std::chrono::milliseconds(20);

void RequestRun::checkDelivery(TimePoint Now) {
  if (!AcknowledgedBefore_)
    return;
  auto Acknowledged = Connection_.acknowledgedBytes();
  if (!Acknowledged || *Acknowledged > *AcknowledgedBefore_) {
    AcknowledgedBefore_.reset();
    return;
  }
  Duration Silence = Now - SentAt_;
  if (Silence < SuspectSilence)
    return;
  if (const auto &Sent = SentTo_)
    Shared_.Reach_->suspect(*Sent);
  if (Silence < MaxSilence || !mayRunAgain())
    return;
  IsNotReceived_ = true;
  Connection_.close();
}

bool RequestRun::hasOpenConnection(const TargetAddress &Target,
                                   TimePoint OpenedBefore) const {
  return SentTo_ && SentTo_->Target_ == Target.Target_ &&
         SentTo_->Incarnation_ == Target.Incarnation_ && !Connection_.route() &&
         Connection_.isQuietSince(OpenedBefore);
}

asio::awaitable<bool> RequestRun::confirmEnd(const TargetChoice &Chosen) {
  if (Framing_ != BodyFraming::UntilClose)
    co_return true;
  TimePoint EndedAt = BootClock::now();
  const ServicePlan *Service = Request_.Plan_->findService(Query_.Service_);
  EndedConnection Ended{
      addressOf(Chosen), Service && Service->Engine_, !Through_.empty(),
      Request_.Fields_.RequestId_,
      connectionCloseTime(Service ? Service->MaxConnections_ : std::nullopt)};
  LifeSign Sign = co_await Shared_.Liveness_.findSign(std::move(Ended));
  EndSign_ = Sign;
  EndWait_ = BootClock::now() - EndedAt;
  Shared_.Metrics_->count(
      "anvil_answer_ends_total",
      {{"sign", std::string(enumName(Sign, LifeSignNames))}});
  Shared_.Metrics_->observe("anvil_answer_end_wait_seconds", {}, EndWait_);
  co_return Sign != LifeSign::None;
}

asio::awaitable<bool> RequestRun::awaitReach() {
  Duration Left = std::min(MaxReachWait - ReachWait_, timeLeft() - ReplyMargin);
  if (Left <= Duration::zero() || !Shared_.Picker_->isSought(Query_))
    co_return false;
  Duration Pause = std::min(Left, ReachCheckPeriod);
  co_await pauseFor(Pause_, Pause);
  ReachWait_ += Pause;
  co_return true;
}

asio::awaitable<bool> RequestRun::connect(const TargetChoice &Chosen) {
  const std::string &RequestId = Request_.Fields_.RequestId_;
  Through_.clear();
  Tunnel_.clear();
  Connection_ = Shared_.Pool_.acquireConnection(Chosen.Address_,
                                                BootClock::now(), RequestId);
  if (Connection_.reusable())
    co_return true;
  // Once the target is connected to again, idle connections through other VMs
  // are used up first, so that not all are replaced at once.
  ReachService::TunnelUse Use{
      RequestId, isResumableStream() && !Query_.Model_.empty(), !mayRunAgain()};
  Connection_ = Shared_.Reach_->idleTunnel(addressOf(Chosen), Use);
  if (!Connection_.reusable() && Chosen.IsDirect_) {
    Shared_.Metrics_->count("anvil_target_connections_total");
    Status Opened = co_await Connection_.open(Chosen.Address_, ConnectTimeout);
    if (!isOk(Opened) && !isCancelled())
      Shared_.Reach_->recordLost(addressOf(Chosen));
    co_return isOk(Opened);
  }
  if (!Connection_.reusable()) {
    TargetAddress Address = addressOf(Chosen);
    bool IsOpen =
        co_await Shared_.Reach_->openTunnel(Connection_, Address, Use);
    if (!IsOpen)
      co_return false;
  }
  if (const RelayedRoute *Route = Connection_.route()) {
    Through_ = Route->vm();
    Tunnel_ = Route->tunnel();
  }
  co_return true;
}

} // namespace anvil
