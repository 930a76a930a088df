#include "Membership/MembershipService.h"

#include "Http/Pause.h"
#include "Http/Spawn.h"

#include "Membership/Rendezvous.h"
#include "Peer/PeerMessage.h"
#include "Telemetry/Log.h"

#include <algorithm>
#include <set>

namespace anvil {

namespace asio = boost::asio;

/// How often member states and pauses of this VM are checked.
static constexpr Duration TickPeriod = std::chrono::milliseconds(250);

/// The wildcard address of a VM that listens on all its addresses; peers can't
/// connect to it.
static constexpr std::string_view AnyAddress = "0.0.0.0";

/// The time for goodbye messages to be sent before the process exits.
static constexpr std::chrono::milliseconds GoodbyeFlushTime(100);

/// The key prefix for the choice of a data centre's representatives.
static constexpr std::string_view RepresentativeKey = "representative/";

static MemberTimeouts timeoutsOf(const MembershipSettings &Settings) {
  MemberTimeouts Timeouts;
  Timeouts.SuspectAfter_ = std::chrono::milliseconds(Settings.SuspectMs_);
  Timeouts.UnreachableAfter_ =
      std::chrono::milliseconds(Settings.UnreachableMs_);
  Timeouts.PauseThreshold_ =
      std::chrono::milliseconds(Settings.PauseThresholdMs_);
  return Timeouts;
}

MembershipService::MembershipService(asio::any_io_executor Executor,
                                     const DaemonSettings &Settings,
                                     std::string Incarnation,
                                     TimerService &Timers,
                                     std::shared_ptr<PlatformService> Platform,
                                     std::shared_ptr<PeerNetwork> Network)
    : Executor_(std::move(Executor)), Settings_(Settings),
      Incarnation_(std::move(Incarnation)), Timers_(Timers),
      Platform_(std::move(Platform)), Network_(std::move(Network)),
      Table_(Settings.Vm_, Incarnation_, timeoutsOf(Settings.Membership_),
             BootClock::now()) {}

std::vector<std::string> MembershipService::dependencies() const {
  return {std::string(PlatformService::Name), std::string(PeerNetwork::Name)};
}

Status MembershipService::start() {
  handlePeerNotices<HeartbeatMessage>(
      *Network_,
      [this](const std::string &From, const HeartbeatMessage &Message) {
        handleHeartbeat(From, Message);
      });
  handlePeerNotices<GoodbyeMessage>(
      *Network_,
      [this](const std::string &From, const GoodbyeMessage &Message) {
        if (!Table_.recordGoodbye(From, Message.Incarnation_))
          return;
        GoodbyeReceived_.fire(From, Message.Revision_);
        refreshMembers();
      });
  applyList({});
  TimePoint Now = BootClock::now();
  auto Read = [this](TimePoint) { spawn(Executor_, refresh()); };
  const MembershipSettings &Periods = Settings_.Membership_;
  RefreshTimer_ = Timers_.every(
      std::chrono::milliseconds(Periods.ListPeriodMs_), Now, Read);
  HeartbeatTimer_ =
      Timers_.every(std::chrono::milliseconds(Periods.HeartbeatMs_), Now,
                    [this](TimePoint) { sendHeartbeats(); });
  TickTimer_ = Timers_.every(TickPeriod, Now,
                             [this](TimePoint) { tick(BootClock::now()); });
  Read(Now);
  return std::monostate{};
}

void MembershipService::stop() {
  RefreshTimer_.cancel();
  HeartbeatTimer_.cancel();
  TickTimer_.cancel();
}

asio::awaitable<void> MembershipService::refresh() {
  auto Listed = co_await Platform_->listVms();
  if (!isOk(Listed))
    co_return;
  bool IsFirst = Members_.empty();
  applyList(valueOf(Listed));
  if (IsFirst)
    sendHeartbeatsNow(false);
}

void MembershipService::applyList(const std::vector<VmRecord> &Listed) {
  std::vector<MemberTable::ListedVm> List;
  for (const VmRecord &Vm : Listed) {
    auto Address = parseEndpoint(Vm.Address_);
    if (!isOk(Address) || Vm.Name_ == Settings_.Vm_)
      continue;
    Addresses_[Vm.Name_] = valueOf(Address);
    List.push_back({Vm.Name_, Vm.DataCentre_, Vm.State_ == VmState::Leaving});
  }
  // The settings take precedence over the platform's list: they give the
  // address at which this VM reaches a peer.
  for (const PeerSettings &Peer : Settings_.Peers_) {
    auto Address = parseEndpoint(Peer.Address_);
    if (!isOk(Address) || Peer.Name_ == Settings_.Vm_)
      continue;
    Addresses_[Peer.Name_] = valueOf(Address);
    bool IsListed = std::ranges::any_of(
        List, [&](const auto &Vm) { return Vm.Name_ == Peer.Name_; });
    if (!IsListed)
      List.push_back({Peer.Name_, Peer.DataCentre_, false});
  }
  Table_.adoptList(List, BootClock::now());
  refreshMembers();
}

void MembershipService::refreshMembers() {
  if (AppliedVersion_ == Table_.version())
    return;
  AppliedVersion_ = Table_.version();
  std::map<std::string, Member> Members;
  std::map<std::string, Endpoint> Endpoints;
  for (const auto &[VmName, Known] : Table_.entries()) {
    auto Address = Addresses_.find(VmName);
    if (Address == Addresses_.end())
      continue;
    Endpoints[VmName] = Address->second;
    Member &Current = Members[VmName];
    Current.Name_ = VmName;
    Current.DataCentre_ = Known.DataCentre_;
    Current.Address_ = Address->second;
    Current.State_ = Known.isLeaving() ? VmState::Leaving : VmState::Live;
    Current.Incarnation_ = Known.Incarnation_;
    Current.Revision_ = Revisions_[VmName];
  }
  Members_ = std::move(Members);
  Network_->setPeers(std::move(Endpoints));
  Changed_.fire();
}

void MembershipService::updateAddress(const std::string &From,
                                      const HeartbeatMessage &Message) {
  auto Address = parseEndpoint(Message.Address_);
  if (!isOk(Address) || valueOf(Address).Address_ == AnyAddress)
    return;
  bool IsInSettings = std::ranges::any_of(
      Settings_.Peers_, [&](const auto &Peer) { return Peer.Name_ == From; });
  // The platform's list has the current addresses. While it can't be read, a VM
  // that was replaced provides its new address by its heartbeat.
  bool IsReplaced = !Platform_->reachable() && !IsInSettings &&
                    incarnationOf(From) != Message.Incarnation_;
  if (Addresses_.contains(From) && !IsReplaced)
    return;
  Addresses_[From] = valueOf(Address);
  AppliedVersion_ = 0;
}

void MembershipService::handleHeartbeat(const std::string &From,
                                        const HeartbeatMessage &Message) {
  TimePoint Now = BootClock::now();
  // Messages that arrived while this VM was paused are applied after the pause
  // is detected.
  tick(Now);
  updateAddress(From, Message);
  ReceivedHeartbeat Received{From,
                             Message.DataCentre_,
                             Message.Incarnation_,
                             Message.Sequence_,
                             Message.Leaving_,
                             Message.Stamp_,
                             Message.EchoStamp_,
                             Message.EchoIncarnation_,
                             Message.EchoHeld_};
  HeartbeatResult Result = Table_.applyHeartbeat(Received, Now);
  if (Result.Accepted_) {
    if (Result.NewIncarnation_)
      Revisions_[From] = 0;
    Revisions_[From] = std::max(Revisions_[From], Message.Revision_);
  }
  refreshMembers();
  if (auto Known = Members_.find(From); Known != Members_.end())
    Known->second.Revision_ = Revisions_[From];
  if (Result.Accepted_)
    HeartbeatAccepted_.fire({From, Message, Result.SentAfter_, Now});
  // A VM of a remote data centre may receive heartbeats of this VM only as
  // replies, and a peer that can't prove the age of its heartbeats needs this
  // VM's stamp.
  bool IsRemote = Message.DataCentre_ != Settings_.DataCentre_;
  if (!Message.NoReply_ && (IsRemote || !Result.SentAfter_))
    sendHeartbeat(From, true, BootClock::now());
}

void MembershipService::tick(TimePoint Now) {
  auto Pause = Table_.tick(Now);
  refreshMembers();
  if (!Pause)
    return;
  logEvent(LogLevel::Warning, "vm_was_paused", {{"ms", toMillis(*Pause)}});
  Paused_.fire(*Pause);
}

void MembershipService::sendHeartbeat(const std::string &Peer, bool NoReply,
                                      TimePoint Now) {
  HeartbeatMessage Message;
  Message.Incarnation_ = Incarnation_;
  Message.Sequence_ = ++Sequence_;
  Message.DataCentre_ = Settings_.DataCentre_;
  Message.Address_ =
      Endpoint{Settings_.Listen_.Address_, Network_->port()}.text();
  Message.Stamp_ = Now.time_since_epoch().count();
  HeartbeatEcho Echo = Table_.echoFor(Peer, Now);
  Message.EchoStamp_ = Echo.Stamp_;
  Message.EchoIncarnation_ = Echo.Incarnation_;
  Message.EchoHeld_ = Echo.Held_;
  Message.Leaving_ = Leaving_;
  Message.NoReply_ = NoReply;
  Message.PlatformReachable_ = Platform_->reachable();
  if (FillHeartbeat_)
    FillHeartbeat_(Message, Now);
  notifyPeer(*Network_, Peer, Message);
}

void MembershipService::sendHeartbeats() {
  TimePoint Now = BootClock::now();
  tick(Now);
  for (const auto &[VmName, Known] : Members_)
    if (Known.DataCentre_ == Settings_.DataCentre_)
      sendHeartbeat(VmName, false, Now);
  ++Round_;
  if (!isRankedWithin(
          std::string(RepresentativeKey) + Settings_.DataCentre_,
          static_cast<std::size_t>(Settings_.Membership_.Representatives_)))
    return;
  // One representative per round; if one is unreachable, the next round uses
  // another.
  for (const std::string &Other : otherDataCentres()) {
    auto Representatives = representativesOf(Other);
    if (!Representatives.empty())
      sendHeartbeat(Representatives[Round_ % Representatives.size()], false,
                    Now);
  }
}

void MembershipService::sendHeartbeatsNow(bool Everywhere) {
  TimePoint Now = BootClock::now();
  for (const auto &[VmName, Known] : Members_)
    if (Known.DataCentre_ == Settings_.DataCentre_)
      sendHeartbeat(VmName, true, Now);
  auto Own = representativesOf(Settings_.DataCentre_);
  if (!Everywhere && std::ranges::count(Own, Settings_.Vm_) == 0)
    return;
  for (const std::string &Other : otherDataCentres())
    for (const std::string &Representative : representativesOf(Other))
      sendHeartbeat(Representative, true, Now);
}

void MembershipService::markLeaving() {
  if (std::exchange(Leaving_, true))
    return;
  sendHeartbeatsNow(true);
}

asio::awaitable<void> MembershipService::handOver() {
  markLeaving();
  GoodbyeMessage Goodbye;
  Goodbye.Incarnation_ = Incarnation_;
  Goodbye.Revision_ = LastRevision_ ? LastRevision_() : 0;
  for (const auto &[VmName, Known] : Members_)
    if (Known.DataCentre_ == Settings_.DataCentre_)
      notifyPeer(*Network_, VmName, Goodbye);
  // Lets the frames be sent before the process exits.
  co_await pauseFor(GoodbyeFlushTime);
}

std::vector<std::string> MembershipService::otherDataCentres() const {
  std::set<std::string> Names;
  for (const auto &[VmName, Known] : Members_)
    if (Known.DataCentre_ != Settings_.DataCentre_)
      Names.insert(Known.DataCentre_);
  return {Names.begin(), Names.end()};
}

std::vector<std::string>
MembershipService::representativesOf(const std::string &DataCentre) const {
  auto Ranked = rendezvousOrder(std::string(RepresentativeKey) + DataCentre,
                                liveVmsIn(DataCentre));
  auto Count = static_cast<std::size_t>(Settings_.Membership_.Representatives_);
  Ranked.resize(std::min(Ranked.size(), Count));
  return Ranked;
}

bool MembershipService::isRankedWithin(std::string_view Key,
                                       std::size_t Count) const {
  auto Ranked = rendezvousOrder(Key, liveVmsIn(Settings_.DataCentre_));
  auto Rank = std::ranges::find(Ranked, Settings_.Vm_) - Ranked.begin();
  return static_cast<std::size_t>(Rank) < std::min(Count, Ranked.size());
}

bool MembershipService::isAlive(const std::string &VmName) const {
  if (VmName == Settings_.Vm_)
    return true;
  const MemberTable::Entry *Known = Table_.find(VmName);
  if (!Known)
    return false;
  bool IsRemote = Known->DataCentre_ != Settings_.DataCentre_;
  return Known->isAlive() || (IsRemote && Known->Listed_);
}

bool MembershipService::hasRecentHeartbeat(const std::string &VmName) const {
  const MemberTable::Entry *Known = Table_.find(VmName);
  return Known && Known->isAlive();
}

bool MembershipService::isLeaving(const std::string &VmName) const {
  if (VmName == Settings_.Vm_)
    return Leaving_;
  const MemberTable::Entry *Known = Table_.find(VmName);
  return Known && Known->isLeaving();
}

std::string MembershipService::incarnationOf(const std::string &VmName) const {
  if (VmName == Settings_.Vm_)
    return Incarnation_;
  const MemberTable::Entry *Known = Table_.find(VmName);
  return Known ? Known->Incarnation_ : "";
}

std::vector<std::string>
MembershipService::liveVmsIn(const std::string &DataCentre) const {
  std::vector<std::string> Names;
  if (DataCentre == Settings_.DataCentre_ && !Leaving_)
    Names.push_back(Settings_.Vm_);
  for (const auto &[VmName, Known] : Members_)
    if (Known.DataCentre_ == DataCentre && Known.State_ == VmState::Live &&
        isAlive(VmName))
      Names.push_back(VmName);
  return Names;
}

} // namespace anvil
