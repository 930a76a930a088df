#include "Config/ConfigSyncService.h"

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

/// Size limit of the changes kept for peers that are behind, in bytes.
static constexpr std::size_t ChangeLogLimitBytes = 8 * 1024 * 1024;

/// Size limit of a snapshot sent to a peer, in bytes. It fits in one frame.
static constexpr std::size_t SnapshotLimitBytes =
    FramePayloadLimitBytes - 64 * 1024;

/// Timeout of a pull request to a peer.
static constexpr Duration PullTimeout = std::chrono::seconds(2);

/// Maximum relative drift between the clocks of two VMs.
static constexpr double MaxClockDrift = 0.001;

/// The rendezvous key that selects the pollers of a data centre.
static constexpr std::string_view PollerKey = "config-poller";

/// The maximum true age for an age reported by a peer, whose clock may run
/// slow.
static Duration maxAge(std::int64_t Micros) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(Micros) *
                                            (1 + MaxClockDrift)));
}

ConfigSyncService::ConfigSyncService(asio::any_io_executor Executor,
                                     const DaemonSettings &Settings,
                                     TimerService &Timers,
                                     std::shared_ptr<PlatformService> Platform,
                                     std::shared_ptr<ConfigPublisher> Publisher,
                                     std::shared_ptr<ConfigState> State,
                                     std::shared_ptr<MembershipService> Members,
                                     std::shared_ptr<PeerNetwork> Network)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      Platform_(std::move(Platform)), Publisher_(std::move(Publisher)),
      State_(std::move(State)), Members_(std::move(Members)),
      Network_(std::move(Network)),
      Follower_(std::chrono::milliseconds(Settings.Config_.HeadWaitMs_),
                BootClock::now()),
      ChangeLog_(static_cast<std::size_t>(Settings.Config_.LogRevisions_),
                 ChangeLogLimitBytes),
      PreviousSnapshot_(State_->current()), Worker_(Executor_) {
  // Attached before all other subscribers, so that the evidence is up to date
  // when they handle the change.
  State_->Changed_.attach(
      [this](const SnapshotPtr &Now) { onRevisionChanged(Now); });
}

std::vector<std::string> ConfigSyncService::dependencies() const {
  return {std::string(ConfigPublisher::Name),
          std::string(MembershipService::Name), std::string(PeerNetwork::Name)};
}

Status ConfigSyncService::start() {
  Members_->setHeartbeatFiller(
      [this](HeartbeatMessage &Message, TimePoint Now) {
        fillHeartbeat(Message, Now);
      });
  Members_->setLastRevisionProvider([this] {
    // While a publication's outcome is unknown, so is the final revision; the
    // maximum keeps peers from relying on this goodbye.
    return Publisher_->isPublishing()
               ? std::numeric_limits<std::uint64_t>::max()
               : Follower_.heldRevision();
  });
  Members_->HeartbeatAccepted_.attach(
      [this](const AcceptedHeartbeat &Received) { onHeartbeat(Received); });
  Members_->GoodbyeReceived_.attach(
      [this](const std::string &Vm, std::uint64_t Revision) {
        Outage_.recordGoodbye(Vm, Revision);
      });
  Members_->Changed_.attach([this] {
    for (const auto &[VmName, Known] : Members_->members())
      if (!Members_->hasRecentHeartbeat(VmName))
        Follower_.removePeer(VmName);
  });
  handlePeerRequests<ConfigPullRequest>(
      *Network_,
      [this](std::string,
             ConfigPullRequest Request) -> asio::awaitable<ConfigPullReply> {
        co_return handlePull(Request);
      });
  handlePeerRequests<ConfirmationRequest>(
      *Network_,
      [this](std::string, ConfirmationRequest Request)
          -> asio::awaitable<ConfirmationReply> {
        co_return localConfirmation(Request.Revision_);
      });
  Duration Period = std::chrono::milliseconds(Settings_.Config_.PollMs_);
  auto Run = [this](TimePoint) { tick(BootClock::now()); };
  PollTimer_ = Timers_.every(Period, BootClock::now(), Run);
  Run({});
  return std::monostate{};
}

void ConfigSyncService::stop() { PollTimer_.cancel(); }

asio::awaitable<void> ConfigSyncService::handOver() {
  Publisher_->close();
  co_return;
}

bool ConfigSyncService::shouldPoll(TimePoint Now) const {
  if (!State_->isCurrent() || !Evidence_.confirmedAt())
    return true;
  auto Count = static_cast<std::size_t>(Settings_.Config_.Pollers_);
  if (Members_->isRankedWithin(PollerKey, Count))
    return true;
  // Polls itself when the pollers' evidence has not arrived for most of the
  // grace period.
  Duration Grace =
      std::chrono::milliseconds(Settings_.Config_.EvidenceGraceMs_);
  return Now - *Evidence_.confirmedAt() > Grace * 3 / 4;
}

void ConfigSyncService::tick(TimePoint Now) {
  evaluateOutage(Now);
  if (Follower_.isCurrent(Now))
    State_->markCurrent();
  if (shouldPoll(Now) && !std::exchange(Polling_, true))
    spawn(Executor_, poll());
  if (!Follower_.peersAhead().empty() && !std::exchange(CatchingUp_, true))
    spawn(Executor_, catchUp());
}

asio::awaitable<void> ConfigSyncService::poll() {
  TimePoint Started = BootClock::now();
  std::vector<std::string> Keys;
  Keys.emplace_back(ConfigHead::Row);
  auto Rows = co_await Platform_->read(std::move(Keys));
  Polling_ = false;
  if (!isOk(Rows) || valueOf(Rows).empty()) {
    Follower_.recordPlatformFailure();
    co_return;
  }
  auto Head = decodeHead(valueOf(Rows).front().Value_);
  if (!isOk(Head)) {
    logEvent(LogLevel::Error, "config_head_unreadable",
             {{"problem", errorOf(Head).describe()}});
    co_return;
  }
  Head_ = valueOf(Head);
  Follower_.updateHead(Head_->Revision_);
  Evidence_.add(Head_->Revision_, Started);
  if (Head_->Revision_ > Follower_.heldRevision() &&
      !std::exchange(CatchingUp_, true))
    co_await catchUp();
  if (Follower_.isCurrent(BootClock::now()))
    State_->markCurrent();
}

std::string ConfigSyncService::choosePeer() {
  std::vector<std::string> Local;
  std::vector<std::string> Remote;
  for (const std::string &Peer : Follower_.peersAhead()) {
    auto Known = Members_->members().find(Peer);
    if (Known == Members_->members().end())
      continue;
    bool IsLocal = Known->second.DataCentre_ == Settings_.DataCentre_;
    (IsLocal ? Local : Remote).push_back(Peer);
  }
  // The key spreads the VMs over the peers, and the attempt number selects
  // another peer after each attempt, as some may be unreachable.
  std::string RendezvousKey = Settings_.Vm_ + std::to_string(++PullAttempts_);
  auto Order = rendezvousOrder(RendezvousKey, Local.empty() ? Remote : Local);
  return Order.empty() ? std::string() : Order.front();
}

asio::awaitable<void> ConfigSyncService::catchUp() {
  std::uint64_t Before = 0;
  do {
    Before = Follower_.heldRevision();
    // A newly started VM loads the snapshot from the platform first, which
    // saves its peers from encoding one.
    if (Before == 0)
      co_await loadHead();
    std::string Peer = choosePeer();
    if (!Peer.empty())
      co_await pullFrom(std::move(Peer));
    if (Follower_.heldRevision() == Before)
      co_await loadHead();
  } while (Follower_.heldRevision() > Before &&
           Follower_.heldRevision() < Follower_.highestKnown());
  CatchingUp_ = false;
}

asio::awaitable<void> ConfigSyncService::loadHead() {
  if (!Head_ || Head_->Revision_ <= Follower_.heldRevision())
    co_return;
  auto Snapshot = co_await Publisher_->loadSnapshot(*Head_);
  if (isOk(Snapshot))
    State_->accept(valueOf(Snapshot));
  else
    logEvent(LogLevel::Warning, "config_load_failed",
             {{"problem", errorOf(Snapshot).describe()}});
}

/// Whether a reply's digest matches the head. True when the head is unknown or
/// of another revision.
static bool matchesHead(const std::optional<ConfigHead> &Head,
                        const ConfigPullReply &Reply) {
  if (!Head || Head->Revision_ != Reply.Revision_)
    return true;
  std::size_t Dash = Head->Object_.rfind('-');
  return Dash != std::string::npos &&
         Reply.Digest_.starts_with(Head->Object_.substr(Dash + 1));
}

asio::awaitable<bool> ConfigSyncService::pullFrom(std::string Peer) {
  ConfigPullRequest Request;
  Request.AfterRevision_ = Follower_.heldRevision();
  auto Reply =
      co_await callPeer<ConfigPullReply>(*Network_, Peer, Request, PullTimeout);
  if (!isOk(Reply) || valueOf(Reply).Revision_ <= Follower_.heldRevision())
    co_return false;
  if (co_await applyReply(valueOf(Reply)))
    co_return true;
  if (!valueOf(Reply).Snapshot_.empty())
    co_return false;
  logEvent(LogLevel::Warning, "config_changes_rejected",
           {{"revision", valueOf(Reply).Revision_}, {"peer", Peer}});
  Request.AfterRevision_ = Follower_.heldRevision();
  Request.SnapshotRequired_ = true;
  auto FullReply =
      co_await callPeer<ConfigPullReply>(*Network_, Peer, Request, PullTimeout);
  if (!isOk(FullReply))
    co_return false;
  co_return co_await applyReply(valueOf(FullReply));
}

asio::awaitable<bool> ConfigSyncService::applyReply(ConfigPullReply Reply) {
  if (!matchesHead(Head_, Reply))
    co_return false;
  struct Job {
    SnapshotPtr Base_;
    std::optional<SetDigest> BaseDigest_;
    ConfigPullReply Reply_;
    SnapshotPtr Next_;
  };
  auto Pending = std::make_shared<Job>();
  Pending->Base_ = State_->current();
  if (DigestRevision_ == Pending->Base_->Revision_)
    Pending->BaseDigest_ = SetDigest::parse(Digest_);
  Pending->Reply_ = std::move(Reply);
  // g++ 12 frees a lambda created inside a co_await expression twice.
  std::function<void()> Build = [Pending] {
    if (!Pending->Reply_.Snapshot_.empty()) {
      Pending->Next_ = readPulledSnapshot(Pending->Reply_);
      return;
    }
    if (!Pending->BaseDigest_)
      Pending->BaseDigest_ = SetDigest::compute(Pending->Base_->Objects_);
    Pending->Next_ = applyPulledChanges(*Pending->Base_, *Pending->BaseDigest_,
                                        Pending->Reply_);
  };
  co_await Worker_.run(std::move(Build));
  // A publication through this VM may have changed the state meanwhile.
  if (!Pending->Next_ || State_->current() != Pending->Base_)
    co_return false;
  Digest_ = Pending->Reply_.Digest_;
  DigestRevision_ = Pending->Next_->Revision_;
  ReplyBeingApplied_ = &Pending->Reply_;
  bool Accepted = State_->accept(Pending->Next_);
  ReplyBeingApplied_ = nullptr;
  co_return Accepted;
}

const std::string &ConfigSyncService::currentDigest() {
  const SnapshotPtr &Current = State_->current();
  if (Digest_.empty() || DigestRevision_ != Current->Revision_) {
    Digest_ = SetDigest::compute(Current->Objects_).hexText();
    DigestRevision_ = Current->Revision_;
  }
  return Digest_;
}

ConfigPullReply
ConfigSyncService::handlePull(const ConfigPullRequest &Request) {
  ConfigPullReply Reply;
  Reply.Revision_ = State_->current()->Revision_;
  if (Reply.Revision_ <= Request.AfterRevision_)
    return Reply;
  Reply.Digest_ = currentDigest();
  auto Changes = ChangeLog_.since(Request.AfterRevision_, Reply.Revision_);
  if (Changes && !Request.SnapshotRequired_) {
    Reply.Changes_ = std::move(*Changes);
    return Reply;
  }
  std::string Text = encodeSnapshot(*State_->current());
  if (Text.size() <= SnapshotLimitBytes)
    Reply.Snapshot_ = std::move(Text);
  return Reply;
}

void ConfigSyncService::appendToChangeLog(const SnapshotPtr &Next) {
  if (ReplyBeingApplied_ && !ReplyBeingApplied_->Changes_.empty()) {
    std::uint64_t Revision =
        Next->Revision_ - ReplyBeingApplied_->Changes_.size();
    for (const std::string &Change : ReplyBeingApplied_->Changes_)
      ChangeLog_.append(++Revision, Change);
    return;
  }
  const ConfigPublisher::Publication &Published = Publisher_->lastPublication();
  if (Published.Revision_ == Next->Revision_ &&
      Next->Revision_ == PreviousSnapshot_->Revision_ + 1) {
    Digest_ = Published.Digest_;
    DigestRevision_ = Published.Revision_;
    ChangeLog_.append(Published.Revision_,
                      encodeChangeSet(Published.Difference_));
    return;
  }
  if (Next->Revision_ != PreviousSnapshot_->Revision_ + 1) {
    ChangeLog_.clear();
    return;
  }
  ChangeSet Change = computeDiff(PreviousSnapshot_->Objects_, Next->Objects_);
  ChangeLog_.append(Next->Revision_, encodeChangeSet(Change));
}

void ConfigSyncService::onRevisionChanged(const SnapshotPtr &Now) {
  appendToChangeLog(Now);
  PreviousSnapshot_ = Now;
  Follower_.advanceTo(Now->Revision_);
  Evidence_.advanceTo(Now->Revision_);
  logEvent(LogLevel::Info, "config_in_force", {{"revision", Now->Revision_}});
  Members_->sendHeartbeatsNow(ReplyBeingApplied_ == nullptr);
}

ConfirmationReply
ConfigSyncService::localConfirmation(std::uint64_t Revision) const {
  ConfirmationReply Reply;
  bool IsHeldHere = State_->current()->Revision_ >= Revision;
  (IsHeldHere ? Reply.Confirmed_ : Reply.Unconfirmed_).push_back(Settings_.Vm_);
  for (const auto &[VmName, Known] : Members_->members()) {
    if (Known.DataCentre_ != Settings_.DataCentre_)
      continue;
    bool HasRevision = Known.Revision_ >= Revision && Members_->isAlive(VmName);
    (HasRevision ? Reply.Confirmed_ : Reply.Unconfirmed_).push_back(VmName);
  }
  return Reply;
}

void ConfigSyncService::fillHeartbeat(HeartbeatMessage &Message,
                                      TimePoint Now) const {
  Message.Revision_ = Follower_.heldRevision();
  Message.CanReportOutage_ = Follower_.hasReadHead();
  if (Evidence_.confirmedAt())
    Message.EvidenceAge_ = (Now - *Evidence_.confirmedAt()).count();
  if (OwnOutageTime_)
    Message.OutageAge_ = (Now - *OwnOutageTime_).count();
}

void ConfigSyncService::onHeartbeat(const AcceptedHeartbeat &Received) {
  const HeartbeatMessage &Message = Received.Message_;
  Follower_.updatePeer(Received.Name_, Message.Revision_);
  if (Received.SentAfter_ && Message.EvidenceAge_ >= 0)
    Evidence_.add(Message.Revision_,
                  *Received.SentAfter_ - maxAge(Message.EvidenceAge_));
  recordOutageStatement(Received);
  if (Message.Revision_ > Follower_.heldRevision() &&
      !std::exchange(CatchingUp_, true))
    spawn(Executor_, catchUp());
}

void ConfigSyncService::recordOutageStatement(
    const AcceptedHeartbeat &Received) {
  const HeartbeatMessage &Message = Received.Message_;
  std::optional<OutageDetector::Statement> Statement;
  if (Message.DataCentre_ == Settings_.DataCentre_) {
    if (Received.SentAfter_ && !Message.PlatformReachable_ &&
        Message.CanReportOutage_)
      Statement =
          OutageDetector::Statement{Message.Revision_, *Received.SentAfter_};
    Outage_.updateVm(Received.Name_, Statement);
    return;
  }
  if (Received.SentAfter_ && Message.OutageAge_ >= 0)
    Statement = OutageDetector::Statement{
        Message.Revision_, *Received.SentAfter_ - maxAge(Message.OutageAge_)};
  Outage_.updateDataCentre(Message.DataCentre_, Statement);
}

void ConfigSyncService::evaluateOutage(TimePoint Now) {
  std::vector<std::string> Local;
  std::set<std::string> Remote;
  for (const auto &[VmName, Known] : Members_->members()) {
    if (Known.DataCentre_ == Settings_.DataCentre_)
      Local.push_back(VmName);
    else
      Remote.insert(Known.DataCentre_);
  }
  std::optional<TimePoint> Self;
  if (!Platform_->reachable() && Follower_.hasReadHead())
    Self = Now;
  OwnOutageTime_ = Outage_.ownOutageTime(Local, Follower_.heldRevision(), Self);
  std::vector<std::string> Others(Remote.begin(), Remote.end());
  if (auto At = Outage_.globalOutageTime(OwnOutageTime_, Others,
                                         Follower_.heldRevision()))
    Evidence_.add(Follower_.heldRevision(), *At);
}

} // namespace anvil
