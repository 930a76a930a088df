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

/// How often silences and pauses are looked at.
static constexpr Duration TickPeriod = std::chrono::milliseconds(250);

/// The address of a VM that listens on all of its own; it leads nowhere.
static constexpr std::string_view AnyAddress = "0.0.0.0";

/// The time that a goodbye is given to leave this VM.
static constexpr std::chrono::milliseconds GoodbyeTime(100);

/// The key by which the representatives of a data centre are chosen.
static constexpr std::string_view RepresentativeKey = "representative/";

static MemberLimits limitsOf(const MembershipSettings &Given) {
  MemberLimits Limits;
  Limits.SuspectAfter_ = std::chrono::milliseconds(Given.SuspectMs_);
  Limits.GoneAfter_ = std::chrono::milliseconds(Given.GoneMs_);
  Limits.PauseBound_ = std::chrono::milliseconds(Given.PauseMs_);
  return Limits;
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
      Table_(Settings.Vm_, Incarnation_, limitsOf(Settings.Membership_),
             BootClock::now()) {}

std::vector<std::string> MembershipService::dependencies() const {
  return {std::string(PlatformService::Name), std::string(PeerNetwork::Name)};
}

Status MembershipService::start() {
  listenToPeers<HeartbeatMessage>(
      *Network_, [this](const std::string &From,
                        const HeartbeatMessage &Given) { hear(From, Given); });
  listenToPeers<GoodbyeMessage>(
      *Network_, [this](const std::string &From, const GoodbyeMessage &Given) {
        if (!Table_.goodbye(From, Given.Incarnation_))
          return;
        Left_.fire(From, Given.Revision_);
        update();
      });
  adopt({});
  TimePoint Now = BootClock::now();
  auto Read = [this](TimePoint) { spawn(Executor_, refresh()); };
  const MembershipSettings &Periods = Settings_.Membership_;
  Refresh_ =
      Timers_.every(std::chrono::milliseconds(Periods.ListMs_), Now, Read);
  Beat_ = Timers_.every(std::chrono::milliseconds(Periods.HeartbeatMs_), Now,
                        [this](TimePoint) { beat(); });
  Tick_ = Timers_.every(TickPeriod, Now,
                        [this](TimePoint) { tick(BootClock::now()); });
  Read(Now);
  return std::monostate{};
}

void MembershipService::stop() {
  Refresh_.cancel();
  Beat_.cancel();
  Tick_.cancel();
}

asio::awaitable<void> MembershipService::refresh() {
  auto Listed = co_await Platform_->listVms();
  if (!isOk(Listed))
    co_return;
  bool IsFirst = Members_.empty();
  adopt(valueOf(Listed));
  if (IsFirst)
    announce(false);
}

void MembershipService::adopt(const std::vector<VmRecord> &Listed) {
  std::vector<MemberTable::Listed> List;
  for (const VmRecord &Vm : Listed) {
    auto Address = parseEndpoint(Vm.Address_);
    if (!isOk(Address) || Vm.Name_ == Settings_.Vm_)
      continue;
    Addresses_[Vm.Name_] = valueOf(Address);
    List.push_back({Vm.Name_, Vm.DataCentre_, Vm.State_ == VmState::Leaving});
  }
  // The settings know better how this VM reaches a peer.
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
  update();
}

void MembershipService::update() {
  if (SeenVersion_ == Table_.version())
    return;
  SeenVersion_ = Table_.version();
  std::map<std::string, Member> Members;
  std::map<std::string, Endpoint> Reached;
  for (const auto &[VmName, Known] : Table_.entries()) {
    auto Address = Addresses_.find(VmName);
    if (Address == Addresses_.end())
      continue;
    Reached[VmName] = Address->second;
    Member &Told = Members[VmName];
    Told.Name_ = VmName;
    Told.DataCentre_ = Known.DataCentre_;
    Told.Address_ = Address->second;
    Told.State_ = Known.isLeaving() ? VmState::Leaving : VmState::Live;
    Told.Incarnation_ = Known.Incarnation_;
    Told.Revision_ = Revisions_[VmName];
  }
  Members_ = std::move(Members);
  Network_->setPeers(std::move(Reached));
  Changed_.fire();
}

void MembershipService::learnAddress(const std::string &From,
                                     const HeartbeatMessage &Given) {
  auto Address = parseEndpoint(Given.Address_);
  if (!isOk(Address) || valueOf(Address).Address_ == AnyAddress)
    return;
  bool IsInSettings = std::ranges::any_of(
      Settings_.Peers_, [&](const auto &Peer) { return Peer.Name_ == From; });
  // The list knows where a VM is, but while it can't be read a VM that was
  // replaced has to say so itself.
  bool IsReplaced = !Platform_->reachable() && !IsInSettings &&
                    incarnationOf(From) != Given.Incarnation_;
  if (Addresses_.contains(From) && !IsReplaced)
    return;
  Addresses_[From] = valueOf(Address);
  SeenVersion_ = 0;
}

void MembershipService::hear(const std::string &From,
                             const HeartbeatMessage &Given) {
  TimePoint Now = BootClock::now();
  // What came in while this VM slept is judged after the pause is noticed.
  tick(Now);
  learnAddress(From, Given);
  HeartbeatSeen Seen{From,
                     Given.DataCentre_,
                     Given.Incarnation_,
                     Given.Sequence_,
                     Given.Leaving_,
                     Given.Stamp_,
                     Given.EchoStamp_,
                     Given.EchoIncarnation_,
                     Given.EchoHeld_};
  HeartbeatVerdict Verdict = Table_.heartbeat(Seen, Now);
  if (Verdict.Accepted_) {
    if (Verdict.NewIncarnation_)
      Revisions_[From] = 0;
    Revisions_[From] = std::max(Revisions_[From], Given.Revision_);
  }
  update();
  if (auto Known = Members_.find(From); Known != Members_.end())
    Known->second.Revision_ = Revisions_[From];
  if (Verdict.Accepted_)
    Heard_.fire({From, Given, Verdict.SentAfter_, Now});
  // Another data centre hears from this VM only by its answer, and a peer that
  // can't prove how new its heartbeats are needs this VM's stamp.
  bool IsFar = Given.DataCentre_ != Settings_.DataCentre_;
  if (!Given.Answer_ && (IsFar || !Verdict.SentAfter_))
    beatTo(From, true, BootClock::now());
}

void MembershipService::tick(TimePoint Now) {
  auto Pause = Table_.tick(Now);
  update();
  if (!Pause)
    return;
  logEvent(LogLevel::Warning, "vm_was_paused", {{"ms", toMillis(*Pause)}});
  Paused_.fire(*Pause);
}

void MembershipService::beatTo(const std::string &Peer, bool IsAnswer,
                               TimePoint Now) {
  HeartbeatMessage Message;
  Message.Incarnation_ = Incarnation_;
  Message.Sequence_ = ++Sequence_;
  Message.DataCentre_ = Settings_.DataCentre_;
  Message.Address_ =
      Endpoint{Settings_.Listen_.Address_, Network_->port()}.text();
  Message.Stamp_ = Now.time_since_epoch().count();
  EchoOf Echo = Table_.echoFor(Peer, Now);
  Message.EchoStamp_ = Echo.Stamp_;
  Message.EchoIncarnation_ = Echo.Incarnation_;
  Message.EchoHeld_ = Echo.Held_;
  Message.Leaving_ = Leaving_;
  Message.Answer_ = IsAnswer;
  Message.PlatformReachable_ = Platform_->reachable();
  if (Fill_)
    Fill_(Message, Now);
  notifyPeer(*Network_, Peer, Message);
}

void MembershipService::beat() {
  TimePoint Now = BootClock::now();
  tick(Now);
  for (const auto &[VmName, Known] : Members_)
    if (Known.DataCentre_ == Settings_.DataCentre_)
      beatTo(VmName, false, Now);
  ++Round_;
  if (!isAmong(
          std::string(RepresentativeKey) + Settings_.DataCentre_,
          static_cast<std::size_t>(Settings_.Membership_.Representatives_)))
    return;
  // One representative a round; if one is dead the next round finds another.
  for (const std::string &Other : otherDataCentres()) {
    auto Spokesmen = representativesOf(Other);
    if (!Spokesmen.empty())
      beatTo(Spokesmen[Round_ % Spokesmen.size()], false, Now);
  }
}

void MembershipService::announce(bool Everywhere) {
  TimePoint Now = BootClock::now();
  for (const auto &[VmName, Known] : Members_)
    if (Known.DataCentre_ == Settings_.DataCentre_)
      beatTo(VmName, true, Now);
  auto Own = representativesOf(Settings_.DataCentre_);
  if (!Everywhere && std::ranges::count(Own, Settings_.Vm_) == 0)
    return;
  for (const std::string &Other : otherDataCentres())
    for (const std::string &Spokesman : representativesOf(Other))
      beatTo(Spokesman, true, Now);
}

void MembershipService::markLeaving() {
  if (std::exchange(Leaving_, true))
    return;
  announce(true);
}

asio::awaitable<void> MembershipService::handOver() {
  markLeaving();
  GoodbyeMessage Last;
  Last.Incarnation_ = Incarnation_;
  Last.Revision_ = LastRevision_ ? LastRevision_() : 0;
  for (const auto &[VmName, Known] : Members_)
    if (Known.DataCentre_ == Settings_.DataCentre_)
      notifyPeer(*Network_, VmName, Last);
  // The frames leave before the process does.
  co_await pauseFor(GoodbyeTime);
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
  auto Order = rendezvousOrder(std::string(RepresentativeKey) + DataCentre,
                               liveIn(DataCentre));
  auto Count = static_cast<std::size_t>(Settings_.Membership_.Representatives_);
  Order.resize(std::min(Order.size(), Count));
  return Order;
}

bool MembershipService::isAmong(std::string_view Key, std::size_t Count) const {
  auto Order = rendezvousOrder(Key, liveIn(Settings_.DataCentre_));
  auto Place = std::ranges::find(Order, Settings_.Vm_) - Order.begin();
  return static_cast<std::size_t>(Place) < std::min(Count, Order.size());
}

bool MembershipService::isAlive(const std::string &VmName) const {
  if (VmName == Settings_.Vm_)
    return true;
  const MemberTable::Entry *Known = Table_.find(VmName);
  if (!Known)
    return false;
  bool IsFar = Known->DataCentre_ != Settings_.DataCentre_;
  return Known->isAlive() || (IsFar && Known->Listed_);
}

bool MembershipService::wasHeard(const std::string &VmName) const {
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
MembershipService::liveIn(const std::string &DataCentre) const {
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
