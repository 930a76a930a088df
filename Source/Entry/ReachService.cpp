#include "Entry/ReachService.h"

#include "Entry/IncarnationFinding.h"
#include "Entry/RandomFraction.h"
#include "Entry/ReceiveBudgets.h"
#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Kernel/DescriptorLimit.h"
#include "Kernel/EnumNames.h"
#include "Objects/Digest.h"
#include "TableService/Backoff.h"
#include "Telemetry/Log.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// The time limit for a connection to a target.
static constexpr Duration ConnectTime = std::chrono::milliseconds(300);

/// The time limit of an engine's report for another VM.
static constexpr Duration ReportTime = std::chrono::milliseconds(200);

/// The waits between attempts to connect to a lost target.
static constexpr Duration MinRetryWait = std::chrono::milliseconds(300);
static constexpr Duration MaxRetryWait = std::chrono::milliseconds(1500);

/// After how many of these attempts other VMs are asked again about a target
/// that none of them reached.
static constexpr int RetriesPerSeek = 4;

/// For how long an idle connection through another VM is kept; shorter than
/// that of own ones, since it takes descriptors of that VM.
static constexpr Duration MaxIdleTime = std::chrono::seconds(2);

/// The time after an answer within which the target's close of the connection
/// may still be on its way through another VM.
static constexpr Duration CloseTravelTime = std::chrono::milliseconds(50);

/// How often sent requests are checked.
static constexpr Duration CheckPeriod = std::chrono::milliseconds(100);

/// How often the other targets are checked at most, and how many of them.
static constexpr Duration OthersCheckPeriod = std::chrono::seconds(1);
static constexpr std::size_t MaxOthersChecked = 64;

/// How often a wait for the answers of other VMs looks at the result.
static constexpr Duration SeekWaitPeriod = std::chrono::milliseconds(500);

/// The part of a process's descriptors that relayed connections may use, with
/// two for each, and the part of its memory, with two buffers for each.
static constexpr double DescriptorShare = 0.2;
static constexpr std::size_t MemoryDivisor = 16;
static constexpr std::size_t TunnelBytes = 48 * 1024;

static RelayServerOptions serverOptions(const EntrySettings &Settings,
                                        const std::string &Key) {
  constexpr std::size_t BytesPerMb = 1024 * 1024;
  std::size_t ByMemory = static_cast<std::size_t>(Settings.MemoryMb_) *
                         BytesPerMb / MemoryDivisor / TunnelBytes;
  auto ByDescriptors = static_cast<std::size_t>(
      static_cast<double>(descriptorLimit()) * DescriptorShare / 2);
  RelayServerOptions Options;
  Options.Key_ = Key;
  Options.MaxTunnels_ =
      std::max<std::size_t>(1, std::min(ByMemory, ByDescriptors));
  return Options;
}

ReachService::ReachService(asio::any_io_executor Executor,
                           const EntrySettings &Settings, TimerService &Timers,
                           const ServiceRegistry &Services)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      Self_(Settings.holderName()), Key_(randomHex(16)),
      Link_(Services.require<FleetLink>(FleetLink::Name)),
      Fleet_(Services.require<FleetState>(FleetState::Name)),
      Targets_(Services.require<TargetListService>(TargetListService::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)),
      Tunnels_(
          {ReceiveLimits().BodyBytes_,
           Services.require<ReceiveBudgets>(ReceiveBudgets::Name)->targets()}),
      Engines_(
          ReportTime,
          Services.require<ReceiveBudgets>(ReceiveBudgets::Name)->control()),
      Probe_(Engines_, Metrics_, Tunnels_.limits().Budget_),
      Server_(
          Executor_, Timers, serverOptions(Settings, Key_), Metrics_,
          [this](const RelayRequest &Request) { return resolve(Request); },
          [this](const RelayRequest &Request, const Endpoint &Address) {
            return confirm(Request, Address);
          },
          [this](const RelayRequest &Request, const Endpoint &Address) {
            return Probe_.answer(Request, Address);
          },
          [this](const RelayNotice &Notice) { applyNotice(Notice); }) {}

asio::awaitable<std::string> ReachService::confirm(RelayRequest Request,
                                                   Endpoint Address) {
  platform::EngineAddress Engine{Request.Target_, Address};
  auto Report = co_await Engines_.report(std::move(Engine));
  co_return std::string(
      enumName(findingOf(Report, Request.Incarnation_), IncarnationNames));
}

Endpoint ReachService::address() const {
  return {Settings_.Listen_.Address_,
          static_cast<std::uint16_t>(Settings_.Listen_.RelayPort_)};
}

Status ReachService::start() {
  CheckTimer_ =
      Timers_.every(CheckPeriod, BootClock::now(), [this](TimePoint Now) {
        // Idle connections take descriptors of the VMs that relay them.
        Tunnels_.closeExpired(Now);
        CheckDue_.fire(Now);
      });
  return Server_.listen(address());
}

bool ReachService::isListed(const TargetAddress &Target) const {
  const ListedTarget *Listed = Targets_->roster().find(Target.Target_);
  return Listed && Listed->Entry_.Incarnation_ == Target.Incarnation_ &&
         Listed->Usability_ != TargetUsability::Unlisted;
}

RelayServer::Resolution
ReachService::resolve(const RelayRequest &Request) const {
  const ListedTarget *Listed = Targets_->roster().find(Request.Target_);
  // A question is no request, so it may go to a target that wants none.
  bool IsQuestion = Request.Question_.has_value();
  bool MayServe = Listed &&
                  Listed->Entry_.Incarnation_ == Request.Incarnation_ &&
                  (IsQuestion || mayGetRequests(Listed->Usability_));
  if (!MayServe)
    return RelayRefusal::Unlisted;
  if (stateOf(Request.Target_, Request.Incarnation_) != ReachState::Direct)
    return RelayRefusal::Unreached;
  Duration BackOff = BackOffs_.remaining(
      Self_, Request.Target_, Request.Incarnation_, BootClock::now());
  if (BackOff > Duration::zero() && !IsQuestion)
    return RelayDenial{RelayRefusal::BackingOff, BackOff};
  auto Address = parseEndpoint(Listed->Entry_.Address_);
  if (!isOk(Address))
    return RelayRefusal::Unlisted;
  return valueOf(Address);
}

void ReachService::showCounts() {
  Metrics_->gauge("anvil_lost_targets", {},
                  static_cast<double>(Reach_.lostTargets()));
  Metrics_->gauge("anvil_relayed_targets", {},
                  static_cast<double>(Reach_.relayedTargets()));
}

void ReachService::recordLost(const TargetAddress &Lost) {
  if (!Reach_.recordLost(Lost.Target_, Lost.Incarnation_, BootClock::now()))
    return;
  logEvent(LogLevel::Warning, "target_lost",
           {{"target", Lost.Target_}, {"incarnation", Lost.Incarnation_}});
  showCounts();
  Lost_.fire(Lost);
  beginSeek(Lost);
  spawn(Executor_, watch(Lost));
}

void ReachService::beginSeek(const TargetAddress &Lost) {
  if (!Sought_.insert(Lost.Target_).second)
    return;
  Reach_.recordSeeking(Lost.Target_, Lost.Incarnation_);
  spawn(Executor_, seek(Lost));
}

asio::awaitable<void> ReachService::seek(TargetAddress Lost) {
  TimePoint Since = BootClock::now();
  HttpConnection Connection(Tunnels_.limits().Budget_);
  TunnelUse Use;
  auto Denial = co_await askOthers(Connection, Lost, Use);
  TimePoint Now = BootClock::now();
  // A target that wants no requests for a while is reached.
  bool IsOpen = !Denial;
  bool IsRelayed = IsOpen || Denial->Why_ == RelayRefusal::BackingOff;
  if (IsRelayed)
    Reach_.recordRelayed(Lost.Target_, Lost.Incarnation_);
  else
    Reach_.recordUnreachable(Lost.Target_, Lost.Incarnation_);
  logEvent(LogLevel::Info, "target_sought",
           {{"target", Lost.Target_},
            {"incarnation", Lost.Incarnation_},
            {"state", enumName(stateOf(Lost.Target_, Lost.Incarnation_),
                               ReachStateNames)},
            {"through", IsOpen ? Connection.route()->vm() : ""},
            {"took_ms", toMillis(Now - Since)}});
  if (IsOpen)
    returnTunnel(Lost.Address_, std::move(Connection), MaxIdleTime);
  showCounts();
  Sought_.erase(Lost.Target_);
  SeekEnded_.notify();
  if (IsRelayed)
    checkOthers(Now);
}

asio::awaitable<bool>
ReachService::isReachedElsewhere(const TargetAddress &Lost) {
  recordLost(Lost);
  while (stateOf(Lost.Target_, Lost.Incarnation_) == ReachState::Seeking)
    co_await SeekEnded_.waitUntil(BootClock::now() + SeekWaitPeriod);
  co_return stateOf(Lost.Target_, Lost.Incarnation_) != ReachState::Unreachable;
}

asio::awaitable<void> ReachService::watch(TargetAddress Lost) {
  Backoff Waits(MinRetryWait, MaxRetryWait);
  for (int Retries = 1; isListed(Lost); ++Retries) {
    co_await pauseFor(Waits.next(randomFraction()));
    ReachState State = stateOf(Lost.Target_, Lost.Incarnation_);
    if (State == ReachState::Direct)
      co_return;
    HttpConnection Connection;
    Status Opened = co_await Connection.open(Lost.Address_, ConnectTime);
    if (isOk(Opened))
      co_return regain(Lost, std::move(Connection));
    if (State == ReachState::Unreachable && Retries % RetriesPerSeek == 0)
      beginSeek(Lost);
  }
  regain(Lost, HttpConnection());
}

void ReachService::regain(const TargetAddress &Found,
                          HttpConnection Connection) {
  auto LostFor = Reach_.recordRegained(Found.Target_, Found.Incarnation_,
                                       BootClock::now());
  if (!LostFor)
    return;
  logEvent(LogLevel::Info, "target_regained",
           {{"target", Found.Target_},
            {"connected", Connection.reusable()},
            {"away_ms", toMillis(*LostFor)}});
  showCounts();
  SeekEnded_.notify();
  Regained_.fire(Found);
}

void ReachService::suspect(const TargetAddress &Silent) {
  if (stateOf(Silent.Target_, Silent.Incarnation_) == ReachState::Direct &&
      Checked_.insert(Silent.Target_).second)
    spawn(Executor_, check(Silent));
}

asio::awaitable<void> ReachService::check(TargetAddress Suspect) {
  HttpConnection Connection;
  Status Opened = co_await Connection.open(Suspect.Address_, ConnectTime);
  Checked_.erase(Suspect.Target_);
  if (!isOk(Opened) && isListed(Suspect))
    recordLost(Suspect);
}

void ReachService::checkOthers(TimePoint Now) {
  if (Now < NextCheckOfOthers_)
    return;
  NextCheckOfOthers_ = Now + OthersCheckPeriod;
  std::size_t Count = 0;
  for (const auto &[Id, Listed] : Targets_->roster().all()) {
    auto Address = parseEndpoint(Listed.Entry_.Address_);
    if (!mayGetRequests(Listed.Usability_) || !isOk(Address))
      continue;
    if (++Count > MaxOthersChecked)
      break;
    suspect({Id, Listed.Entry_.Incarnation_, valueOf(Address)});
  }
}

void ReachService::recordBackOff(const TargetAddress &Target,
                                 const RelayedRoute *Route, Duration Time,
                                 TimePoint Now) {
  if (!Route)
    return holdBack(Target.Target_, Target.Incarnation_, Time, "answer", Now);
  if (BackOffs_.record(Route->vm(), Target.Target_, Target.Incarnation_,
                       Now + Time, Now))
    spawn(Executor_, tellRelay(Route->vm(), Target, Time));
}

void ReachService::holdBack(const std::string &Target, std::int64_t Incarnation,
                            Duration Time, std::string_view ToldBy,
                            TimePoint Now) {
  bool IsNews = BackOffs_.record(Self_, Target, Incarnation, Now + Time, Now);
  Metrics_->count("anvil_target_back_offs_total");
  logEvent(IsNews ? LogLevel::Info : LogLevel::Debug, "target_back_off",
           {{"target", Target},
            {"incarnation", Incarnation},
            {"told_by", ToldBy},
            {"named_ms", toMillis(Time)},
            {"until_ms",
             toMillis(BackOffs_.remaining(Self_, Target, Incarnation, Now))}});
  if (IsNews)
    Server_.retire(Target, Incarnation);
}

void ReachService::applyNotice(const RelayNotice &Notice) {
  holdBack(Notice.Target_, Notice.Incarnation_, Notice.BackOff_, Notice.Vm_,
           BootClock::now());
}

Duration ReachService::backOffOf(const std::string &Target,
                                 std::int64_t Incarnation,
                                 TimePoint Now) const {
  bool IsDirect = stateOf(Target, Incarnation) == ReachState::Direct;
  return IsDirect ? BackOffs_.remaining(Self_, Target, Incarnation, Now)
                  : RelayBackOffs_.remaining(Self_, Target, Incarnation, Now);
}

HttpConnection ReachService::idleTunnel(const TargetAddress &Target,
                                        const TunnelUse &Use) {
  TimePoint Now = BootClock::now();
  return Tunnels_.acquireConnection(
      Target.Address_, Now, Use.RequestId_,
      [&](const HttpConnection &Pooled, Duration IdleFor) {
        if (Use.IsConfirmed_ &&
            Pooled.serverIncarnation() != Target.Incarnation_)
          return false;
        if (Use.IsOnce_ && IdleFor < CloseTravelTime)
          return false;
        const RelayedRoute *Route = Pooled.route();
        bool IsHeldBack =
            Route &&
            BackOffs_.remaining(Route->vm(), Target.Target_,
                                Target.Incarnation_, Now) > Duration::zero();
        if (IsHeldBack)
          return false;
        const auto &Direct = Link_->topology().directPeers();
        // One through a VM that is about to stop isn't used again.
        return Route && (!std::ranges::binary_search(Direct, Route->vm()) ||
                         Fleet_->view().isServing(Route->vm(), Now));
      });
}

asio::awaitable<bool> ReachService::openTunnel(HttpConnection &Connection,
                                               const TargetAddress &Target,
                                               const TunnelUse &Use) {
  auto Denial = co_await askOthers(Connection, Target, Use);
  if (!Denial)
    co_return true;
  TimePoint Now = BootClock::now();
  if (Denial->Why_ == RelayRefusal::BackingOff)
    RelayBackOffs_.record(Self_, Target.Target_, Target.Incarnation_,
                          Now + Denial->RetryAfter_, Now);
  else if (stateOf(Target.Target_, Target.Incarnation_) == ReachState::Relayed)
    beginSeek(Target);
  co_return false;
}

void ReachService::returnTunnel(const Endpoint &Target, HttpConnection Used,
                                Duration Keep) {
  Tunnels_.returnConnection(Target, std::move(Used), BootClock::now(),
                            std::min(Keep, MaxIdleTime));
}

} // namespace anvil
