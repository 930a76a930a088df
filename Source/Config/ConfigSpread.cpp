#include "Config/ConfigSpread.h"

#include "Config/ConfigDelta.h"

#include "Http/Spawn.h"

#include "Membership/Rendezvous.h"
#include "Objects/ObjectCodec.h"
#include "Objects/SetDigest.h"
#include "Peer/FrameCodec.h"
#include "Peer/PeerMessage.h"
#include "Telemetry/Log.h"

#include <algorithm>
#include <limits>
#include <set>

namespace anvil {

namespace asio = boost::asio;

/// The bytes of changes that are kept for members that are behind.
static constexpr std::size_t LogBytes = 8 * 1024 * 1024;

/// The largest set that goes to a peer in one frame, in bytes.
static constexpr std::size_t SnapshotLimitBytes =
    FramePayloadLimitBytes - 64 * 1024;

/// How long a peer may take to answer a pull.
static constexpr Duration PullTimeout = std::chrono::seconds(2);

/// The part by which two VMs' clocks may run apart.
static constexpr double ClockDrift = 0.001;

/// The key by which the pollers of a data centre are chosen.
static constexpr std::string_view PollerKey = "config-poller";

/// An age that a peer gave, allowing for a clock that runs slow.
static Duration ageOf(std::int64_t Micros) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(Micros) *
                                            (1 + ClockDrift)));
}

ConfigSpread::ConfigSpread(asio::any_io_executor Executor,
                           const DaemonSettings &Settings, TimerService &Timers,
                           std::shared_ptr<PlatformService> Platform,
                           std::shared_ptr<ConfigPublisher> Publisher,
                           std::shared_ptr<ConfigState> State,
                           std::shared_ptr<MembershipService> Members,
                           std::shared_ptr<PeerNetwork> Network)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      Platform_(std::move(Platform)), Publisher_(std::move(Publisher)),
      State_(std::move(State)), Members_(std::move(Members)),
      Network_(std::move(Network)),
      Follower_(std::chrono::milliseconds(Settings.Config_.FirstWaitMs_),
                BootClock::now()),
      Log_(static_cast<std::size_t>(Settings.Config_.LogRevisions_), LogBytes),
      Last_(State_->current()), Worker_(Executor_) {
  // Before all others, so that evidence is at hand when they look at a change.
  State_->Changed_.attach([this](const SnapshotPtr &Now) { changed(Now); });
}

std::vector<std::string> ConfigSpread::dependencies() const {
  return {std::string(ConfigPublisher::Name),
          std::string(MembershipService::Name), std::string(PeerNetwork::Name)};
}

Status ConfigSpread::start() {
  Members_->onFill(
      [this](HeartbeatMessage &Message, TimePoint Now) { fill(Message, Now); });
  Members_->onGoodbye([this] {
    // While a publication's outcome is open no revision can be named.
    return Publisher_->isPublishing()
               ? std::numeric_limits<std::uint64_t>::max()
               : Follower_.held();
  });
  Members_->Heard_.attach([this](const HeardHeartbeat &Heard) { hear(Heard); });
  Members_->Left_.attach([this](const std::string &Vm, std::uint64_t Revision) {
    Outage_.noteLeft(Vm, Revision);
  });
  Members_->Changed_.attach([this] {
    for (const auto &[VmName, Known] : Members_->members())
      if (!Members_->wasHeard(VmName))
        Follower_.forgetPeer(VmName);
  });
  answerPeers<ConfigPullMessage>(
      *Network_,
      [this](std::string, ConfigPullMessage Asked)
          -> asio::awaitable<ConfigPullReply> { co_return answerPull(Asked); });
  answerPeers<ConfirmationMessage>(
      *Network_,
      [this](std::string,
             ConfirmationMessage Asked) -> asio::awaitable<ConfirmationReply> {
        co_return confirmationHere(Asked.Revision_);
      });
  Duration Period = std::chrono::milliseconds(Settings_.Config_.PollMs_);
  auto Run = [this](TimePoint) { tick(BootClock::now()); };
  Period_ = Timers_.every(Period, BootClock::now(), Run);
  Run({});
  return std::monostate{};
}

void ConfigSpread::stop() { Period_.cancel(); }

asio::awaitable<void> ConfigSpread::handOver() {
  Publisher_->close();
  co_return;
}

bool ConfigSpread::shouldPoll(TimePoint Now) const {
  if (!State_->isCurrent() || !Evidence_.at())
    return true;
  auto Count = static_cast<std::size_t>(Settings_.Config_.Pollers_);
  if (Members_->isAmong(PollerKey, Count))
    return true;
  // Without the pollers' evidence each VM looks for itself.
  Duration Grace =
      std::chrono::milliseconds(Settings_.Config_.EvidenceGraceMs_);
  return Now - *Evidence_.at() > Grace * 3 / 4;
}

void ConfigSpread::tick(TimePoint Now) {
  judgeOutage(Now);
  if (Follower_.isCurrent(Now))
    State_->markCurrent();
  if (shouldPoll(Now) && !std::exchange(Polling_, true))
    spawn(Executor_, poll());
  if (!Follower_.peersAhead().empty() && !std::exchange(Following_, true))
    spawn(Executor_, follow());
}

asio::awaitable<void> ConfigSpread::poll() {
  TimePoint Started = BootClock::now();
  std::vector<std::string> Keys;
  Keys.emplace_back(ConfigHead::Row);
  auto Rows = co_await Platform_->read(std::move(Keys));
  Polling_ = false;
  if (!isOk(Rows) || valueOf(Rows).empty()) {
    Follower_.noteNoPlatform();
    co_return;
  }
  auto Head = decodeHead(valueOf(Rows).front().Value_);
  if (!isOk(Head)) {
    logEvent(LogLevel::Error, "config_head_unreadable",
             {{"problem", errorOf(Head).describe()}});
    co_return;
  }
  Head_ = valueOf(Head);
  Follower_.noteHead(Head_->Revision_);
  Evidence_.note(Head_->Revision_, Started);
  if (Head_->Revision_ > Follower_.held() && !std::exchange(Following_, true))
    co_await follow();
  if (Follower_.isCurrent(BootClock::now()))
    State_->markCurrent();
}

std::string ConfigSpread::choosePeer() {
  std::vector<std::string> Near;
  std::vector<std::string> Far;
  for (const std::string &Peer : Follower_.peersAhead()) {
    auto Known = Members_->members().find(Peer);
    if (Known == Members_->members().end())
      continue;
    bool IsNear = Known->second.DataCentre_ == Settings_.DataCentre_;
    (IsNear ? Near : Far).push_back(Peer);
  }
  // Each VM prefers another peer, so that no one has to serve them all, and
  // another one at each try, as some may be dead.
  std::string Preference = Settings_.Vm_ + std::to_string(++PullTries_);
  auto Order = rendezvousOrder(Preference, Near.empty() ? Far : Near);
  return Order.empty() ? std::string() : Order.front();
}

asio::awaitable<void> ConfigSpread::follow() {
  std::uint64_t Before = 0;
  do {
    Before = Follower_.held();
    // A fresh VM spares its peers the making of a whole set.
    if (Before == 0)
      co_await loadHead();
    std::string Peer = choosePeer();
    if (!Peer.empty())
      co_await pullFrom(std::move(Peer));
    if (Follower_.held() == Before)
      co_await loadHead();
  } while (Follower_.held() > Before &&
           Follower_.held() < Follower_.highestKnown());
  Following_ = false;
}

asio::awaitable<void> ConfigSpread::loadHead() {
  if (!Head_ || Head_->Revision_ <= Follower_.held())
    co_return;
  auto Snapshot = co_await Publisher_->load(*Head_);
  if (isOk(Snapshot))
    State_->accept(valueOf(Snapshot));
  else
    logEvent(LogLevel::Warning, "config_load_failed",
             {{"problem", errorOf(Snapshot).describe()}});
}

/// Whether a digest is the one that the head names for its revision.
static bool matchesHead(const std::optional<ConfigHead> &Head,
                        const ConfigPullReply &Reply) {
  if (!Head || Head->Revision_ != Reply.Revision_)
    return true;
  std::size_t Dash = Head->Object_.rfind('-');
  return Dash != std::string::npos &&
         Reply.Digest_.starts_with(Head->Object_.substr(Dash + 1));
}

asio::awaitable<bool> ConfigSpread::pullFrom(std::string Peer) {
  ConfigPullMessage Ask;
  Ask.From_ = Follower_.held();
  auto Reply =
      co_await callPeer<ConfigPullReply>(*Network_, Peer, Ask, PullTimeout);
  if (!isOk(Reply) || valueOf(Reply).Revision_ <= Follower_.held())
    co_return false;
  if (co_await take(valueOf(Reply)))
    co_return true;
  if (!valueOf(Reply).Snapshot_.empty())
    co_return false;
  logEvent(LogLevel::Warning, "config_changes_rejected",
           {{"revision", valueOf(Reply).Revision_}, {"peer", Peer}});
  Ask.From_ = Follower_.held();
  Ask.WantSnapshot_ = true;
  auto Whole =
      co_await callPeer<ConfigPullReply>(*Network_, Peer, Ask, PullTimeout);
  if (!isOk(Whole))
    co_return false;
  co_return co_await take(valueOf(Whole));
}

asio::awaitable<bool> ConfigSpread::take(ConfigPullReply Given) {
  if (!matchesHead(Head_, Given))
    co_return false;
  struct Job {
    SnapshotPtr Base_;
    std::optional<SetDigest> BaseDigest_;
    ConfigPullReply Reply_;
    SnapshotPtr Next_;
  };
  auto Work = std::make_shared<Job>();
  Work->Base_ = State_->current();
  if (DigestRevision_ == Work->Base_->Revision_)
    Work->BaseDigest_ = SetDigest::parse(Digest_);
  Work->Reply_ = std::move(Given);
  // g++ 12 frees a lambda made inside a co_await expression twice.
  std::function<void()> Build = [Work] {
    if (!Work->Reply_.Snapshot_.empty()) {
      Work->Next_ = readPulledSnapshot(Work->Reply_);
      return;
    }
    if (!Work->BaseDigest_)
      Work->BaseDigest_ = SetDigest::of(Work->Base_->Objects_);
    Work->Next_ =
        applyPulledChanges(*Work->Base_, *Work->BaseDigest_, Work->Reply_);
  };
  co_await Worker_.run(std::move(Build));
  // A publication through this VM may have come in between.
  if (!Work->Next_ || State_->current() != Work->Base_)
    co_return false;
  Digest_ = Work->Reply_.Digest_;
  DigestRevision_ = Work->Next_->Revision_;
  Taking_ = &Work->Reply_;
  bool Taken = State_->accept(Work->Next_);
  Taking_ = nullptr;
  co_return Taken;
}

const std::string &ConfigSpread::digest() {
  const SnapshotPtr &Current = State_->current();
  if (Digest_.empty() || DigestRevision_ != Current->Revision_) {
    Digest_ = SetDigest::of(Current->Objects_).text();
    DigestRevision_ = Current->Revision_;
  }
  return Digest_;
}

ConfigPullReply ConfigSpread::answerPull(const ConfigPullMessage &Asked) {
  ConfigPullReply Reply;
  Reply.Revision_ = State_->current()->Revision_;
  if (Reply.Revision_ <= Asked.From_)
    return Reply;
  Reply.Digest_ = digest();
  auto Changes = Log_.since(Asked.From_, Reply.Revision_);
  if (Changes && !Asked.WantSnapshot_) {
    Reply.Changes_ = std::move(*Changes);
    return Reply;
  }
  std::string Whole = encodeSnapshot(*State_->current());
  if (Whole.size() <= SnapshotLimitBytes)
    Reply.Snapshot_ = std::move(Whole);
  return Reply;
}

void ConfigSpread::logChange(const SnapshotPtr &Next) {
  if (Taking_ && !Taking_->Changes_.empty()) {
    std::uint64_t Revision = Next->Revision_ - Taking_->Changes_.size();
    for (const std::string &Change : Taking_->Changes_)
      Log_.append(++Revision, Change);
    return;
  }
  const ConfigPublisher::Publication &Own = Publisher_->lastPublication();
  if (Own.Revision_ == Next->Revision_ &&
      Next->Revision_ == Last_->Revision_ + 1) {
    Digest_ = Own.Digest_;
    DigestRevision_ = Own.Revision_;
    Log_.append(Own.Revision_, encodeChangeSet(Own.Difference_));
    return;
  }
  if (Next->Revision_ != Last_->Revision_ + 1) {
    Log_.clear();
    return;
  }
  ChangeSet Change = differenceOf(Last_->Objects_, Next->Objects_);
  Log_.append(Next->Revision_, encodeChangeSet(Change));
}

void ConfigSpread::changed(const SnapshotPtr &Now) {
  logChange(Now);
  Last_ = Now;
  Follower_.hold(Now->Revision_);
  Evidence_.hold(Now->Revision_);
  logEvent(LogLevel::Info, "config_in_force", {{"revision", Now->Revision_}});
  Members_->announce(Taking_ == nullptr);
}

ConfirmationReply ConfigSpread::confirmationHere(std::uint64_t Revision) const {
  ConfirmationReply Reply;
  bool HaveIt = State_->current()->Revision_ >= Revision;
  (HaveIt ? Reply.Confirmed_ : Reply.Unconfirmed_).push_back(Settings_.Vm_);
  for (const auto &[VmName, Known] : Members_->members()) {
    if (Known.DataCentre_ != Settings_.DataCentre_)
      continue;
    bool Said = Known.Revision_ >= Revision && Members_->isAlive(VmName);
    (Said ? Reply.Confirmed_ : Reply.Unconfirmed_).push_back(VmName);
  }
  return Reply;
}

void ConfigSpread::fill(HeartbeatMessage &Message, TimePoint Now) const {
  Message.Revision_ = Follower_.held();
  Message.MayState_ = Follower_.hasReadHead();
  if (Evidence_.at())
    Message.EvidenceAge_ = (Now - *Evidence_.at()).count();
  if (OutageAt_)
    Message.OutageAge_ = (Now - *OutageAt_).count();
}

void ConfigSpread::hear(const HeardHeartbeat &Heard) {
  const HeartbeatMessage &Message = Heard.Message_;
  Follower_.notePeer(Heard.Name_, Message.Revision_);
  if (Heard.SentAfter_ && Message.EvidenceAge_ >= 0)
    Evidence_.note(Message.Revision_,
                   *Heard.SentAfter_ - ageOf(Message.EvidenceAge_));
  noteOutage(Heard);
  if (Message.Revision_ > Follower_.held() && !std::exchange(Following_, true))
    spawn(Executor_, follow());
}

void ConfigSpread::noteOutage(const HeardHeartbeat &Heard) {
  const HeartbeatMessage &Message = Heard.Message_;
  std::optional<OutageQuorum::Statement> Said;
  if (Message.DataCentre_ == Settings_.DataCentre_) {
    if (Heard.SentAfter_ && !Message.PlatformReachable_ && Message.MayState_)
      Said = OutageQuorum::Statement{Message.Revision_, *Heard.SentAfter_};
    Outage_.noteVm(Heard.Name_, Said);
    return;
  }
  if (Heard.SentAfter_ && Message.OutageAge_ >= 0)
    Said = OutageQuorum::Statement{
        Message.Revision_, *Heard.SentAfter_ - ageOf(Message.OutageAge_)};
  Outage_.noteDataCentre(Message.DataCentre_, Said);
}

void ConfigSpread::judgeOutage(TimePoint Now) {
  std::vector<std::string> Near;
  std::set<std::string> Far;
  for (const auto &[VmName, Known] : Members_->members()) {
    if (Known.DataCentre_ == Settings_.DataCentre_)
      Near.push_back(VmName);
    else
      Far.insert(Known.DataCentre_);
  }
  std::optional<TimePoint> Self;
  if (!Platform_->reachable() && Follower_.hasReadHead())
    Self = Now;
  OutageAt_ = Outage_.ownDataCentre(Near, Follower_.held(), Self);
  std::vector<std::string> Others(Far.begin(), Far.end());
  if (auto At = Outage_.everywhere(OutageAt_, Others, Follower_.held()))
    Evidence_.note(Follower_.held(), *At);
}

} // namespace anvil
