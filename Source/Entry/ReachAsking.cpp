// How ReachService asks other VMs to relay, and tells them what they need to
// know of targets.

#include "Entry/ReachService.h"

#include "Entry/IncarnationFinding.h"
#include "Entry/RandomFraction.h"
#include "Kernel/EnumNames.h"
#include "Objects/Digest.h"
#include "Telemetry/Log.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// The time limit for a connection through another VM, for each VM that is
/// asked.
static constexpr Duration TunnelTime = std::chrono::milliseconds(400);

/// The time limit of a question to another VM, which asks the target.
static constexpr Duration QuestionTime = std::chrono::milliseconds(600);

std::vector<RelayCandidate> ReachService::candidates(TimePoint Now) const {
  std::vector<RelayCandidate> Found;
  const auto &Direct = Link_->topology().directPeers();
  Link_->forEachPeer(
      [&](const std::string &Vm, const FleetLink::PeerLocation &Location) {
        bool IsDirect = std::ranges::binary_search(Direct, Vm);
        // Nothing tells whether the VMs of other data centres of a large fleet
        // are alive.
        bool MayServe = !IsDirect || Fleet_->view().isServing(Vm, Now);
        if (Location.RelayPort_ != 0 && MayServe)
          Found.push_back({Vm, Location.DataCentre_ == Settings_.DataCentre_});
      });
  return Found;
}

std::vector<std::string>
ReachService::order(const std::vector<RelayCandidate> &Candidates,
                    TimePoint Now) const {
  std::vector<double> Random;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index)
    Random.push_back(randomFraction());
  return Choice_->order(Candidates, Random, Now);
}

asio::awaitable<std::optional<RelayDenial>>
ReachService::askOthers(HttpConnection &Connection, const TargetAddress &Target,
                        const TunnelUse &Use) {
  TimePoint Now = BootClock::now();
  RelayDenial Denial = RelayRefusal::Silent;
  auto Add = [&Denial](const RelayDenial &Next) {
    bool IsSooner = Denial.Why_ != RelayRefusal::BackingOff ||
                    Next.RetryAfter_ < Denial.RetryAfter_;
    if (Next.Why_ == RelayRefusal::BackingOff && IsSooner)
      Denial = Next;
  };
  std::vector<RelayCandidate> Candidates = candidates(Now);
  std::erase_if(Candidates, [&](const RelayCandidate &Candidate) {
    Duration BackOff = BackOffs_.remaining(Candidate.Vm_, Target.Target_,
                                           Target.Incarnation_, Now);
    if (BackOff > Duration::zero())
      Add({RelayRefusal::BackingOff, BackOff});
    return BackOff > Duration::zero();
  });
  for (const std::string &Vm : order(Candidates, Now)) {
    auto Refused = co_await askVm(Connection, Vm, Target, Use);
    if (!Refused)
      co_return std::nullopt;
    Add(*Refused);
  }
  co_return Denial;
}

asio::awaitable<Result<HttpReplyHead>>
ReachService::sendTo(HttpConnection &Connection, const std::string &Vm,
                     const TargetAddress &Target, const TunnelUse &Use,
                     std::optional<RelayQuestion> Question) {
  auto Location = Link_->locationOf(Vm);
  if (!Location)
    co_return Error{ErrorCode::NotFound, Vm, "is not a known VM", ""};
  constexpr std::size_t NameBytes = 6;
  RelayRequest Request{Location->RelayKey_,  Self_,
                       randomHex(NameBytes), Use.RequestId_,
                       Target.Target_,       Target.Incarnation_,
                       Use.IsConfirmed_};
  Duration Timeout = Question ? QuestionTime : TunnelTime;
  Request.Question_ = std::move(Question);
  Endpoint Relay{Location->Endpoint_.Address_, Location->RelayPort_};
  HttpRequest Connect = encodeRelayRequest(Request);
  auto Head =
      co_await Connection.openThrough(Relay, Connect, Target.Address_, Timeout);
  // A connection that was closed meanwhile has no route to keep.
  if (!isOk(Head) || !Connection.reusable())
    co_return Head;
  Choice_->recordOpened(Vm);
  Connection.setRoute(std::make_unique<RelayedRoute>(
      Vm, Request.Tunnel_, [Known = std::weak_ptr(Choice_), Vm] {
        if (auto Choice = Known.lock())
          Choice->recordClosed(Vm);
      }));
  Metrics_->count("anvil_tunnels_opened_total");
  auto Finding = valueOf(Head).Headers_.find(RelayFindingHeader);
  if (Finding == enumName(IncarnationFinding::Same, IncarnationNames) ||
      Finding == enumName(IncarnationFinding::NotStated, IncarnationNames))
    Connection.setServerIncarnation(Target.Incarnation_);
  co_return Head;
}

RelayDenial ReachService::recordRefusal(const Result<HttpReplyHead> &Head,
                                        const std::string &Vm,
                                        const TargetAddress &Target) {
  RelayDenial Denial = RelayRefusal::Silent;
  if (!isOk(Head) && errorOf(Head).Code_ == ErrorCode::NotFound)
    return Denial;
  if (isOk(Head))
    Denial = decodeRelayRefusal(valueOf(Head).Headers_);
  TimePoint Now = BootClock::now();
  // That a target wants none says nothing of others.
  if (Denial.Why_ == RelayRefusal::BackingOff)
    BackOffs_.record(Vm, Target.Target_, Target.Incarnation_,
                     Now + Denial.RetryAfter_, Now);
  else
    Choice_->recordRefused(Vm, Denial.Why_, Now);
  Metrics_->count(
      "anvil_tunnels_refused_total",
      {{"reason", std::string(enumName(Denial.Why_, RelayRefusalNames))}});
  return Denial;
}

asio::awaitable<std::optional<RelayDenial>>
ReachService::askVm(HttpConnection &Connection, const std::string &Vm,
                    const TargetAddress &Target, const TunnelUse &Use) {
  auto Head = co_await sendTo(Connection, Vm, Target, Use, std::nullopt);
  if (isOk(Head) && Connection.reusable())
    co_return std::nullopt;
  co_return recordRefusal(Head, Vm, Target);
}

asio::awaitable<std::optional<ProbeResult>>
ReachService::askOthersForSign(HttpConnection &Connection,
                               const TargetAddress &Target,
                               const TunnelUse &Use, RelayQuestion Question) {
  TimePoint Now = BootClock::now();
  for (const std::string &Vm : order(candidates(Now), Now)) {
    std::optional<RelayQuestion> Asked(Question);
    auto Head = co_await sendTo(Connection, Vm, Target, Use, std::move(Asked));
    if (isOk(Head) && Connection.reusable())
      co_return std::nullopt;
    auto Answer = isOk(Head) ? decodeRelayAnswer(valueOf(Head).Status_,
                                                 valueOf(Head).Headers_)
                             : std::nullopt;
    if (!Answer) {
      RelayDenial Denial = recordRefusal(Head, Vm, Target);
      logEvent(LogLevel::Debug, "relay_question_refused",
               {{"vm", Vm},
                {"target", Target.Target_},
                {"request", Use.RequestId_},
                {"reason", enumName(Denial.Why_, RelayRefusalNames)}});
      continue;
    }
    ProbeResult Found{LifeSign::None, Answer->Incarnation_};
    for (const auto &[Sign, Name] : LifeSignNames)
      if (Answer->Sign_ == Name)
        Found.Sign_ = Sign;
    co_return Found;
  }
  co_return std::nullopt;
}

asio::awaitable<void>
ReachService::tellRelay(std::string Vm, TargetAddress Target, Duration Time) {
  TimePoint Since = BootClock::now();
  constexpr int MaxTries = 2;
  std::string Outcome = "unknown_vm";
  for (int Try = 0; Try < MaxTries; ++Try) {
    auto Location = Link_->locationOf(Vm);
    if (!Location)
      break;
    RelayNotice Notice{Location->RelayKey_, Self_, Target.Target_,
                       Target.Incarnation_, Time - (BootClock::now() - Since)};
    Endpoint Relay{Location->Endpoint_.Address_, Location->RelayPort_};
    HttpRequest Request = encodeRelayNotice(Notice);
    auto Reply = co_await fetch(Relay, std::move(Request), TunnelTime);
    Outcome = isOk(Reply) ? std::to_string(valueOf(Reply).Status_)
                          : std::string(errorCodeName(errorOf(Reply).Code_));
    if (isOk(Reply))
      break;
  }
  logEvent(LogLevel::Info, "relay_told_back_off",
           {{"vm", Vm},
            {"target", Target.Target_},
            {"incarnation", Target.Incarnation_},
            {"named_ms", toMillis(Time)},
            {"outcome", Outcome},
            {"took_ms", toMillis(BootClock::now() - Since)}});
}

} // namespace anvil
