#include "Membership/MembershipService.h"

#include "Http/Spawn.h"

#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

/// How often the platform's list of VMs is read.
static constexpr Duration ListPeriod = std::chrono::seconds(2);

MembershipService::MembershipService(asio::any_io_executor Executor,
                                     const DaemonSettings &Settings,
                                     TimerService &Timers,
                                     std::shared_ptr<PlatformService> Platform,
                                     std::shared_ptr<PeerNetwork> Network)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      Platform_(std::move(Platform)), Network_(std::move(Network)) {}

std::vector<std::string> MembershipService::dependencies() const {
  return {std::string(PlatformService::Name), std::string(PeerNetwork::Name)};
}

Status MembershipService::start() {
  adopt({});
  auto Run = [this](TimePoint) { spawn(Executor_, refresh()); };
  Refresh_ = Timers_.every(ListPeriod, BootClock::now(), Run);
  Run({});
  return std::monostate{};
}

void MembershipService::stop() { Refresh_.cancel(); }

asio::awaitable<void> MembershipService::refresh() {
  auto Listed = co_await Platform_->listVms();
  if (isOk(Listed))
    adopt(valueOf(Listed));
}

void MembershipService::adopt(const std::vector<VmRecord> &Listed) {
  std::map<std::string, Member> Members;
  for (const VmRecord &Vm : Listed) {
    auto Address = parseEndpoint(Vm.Address_);
    if (isOk(Address) && Vm.Name_ != Settings_.Vm_)
      Members[Vm.Name_] = {Vm.Name_, Vm.DataCentre_, valueOf(Address),
                           Vm.State_};
  }
  // The settings know better how this VM reaches a peer.
  for (const PeerSettings &Peer : Settings_.Peers_) {
    auto Address = parseEndpoint(Peer.Address_);
    if (!isOk(Address) || Peer.Name_ == Settings_.Vm_)
      continue;
    Member &Known = Members[Peer.Name_];
    Known.Name_ = Peer.Name_;
    Known.DataCentre_ = Peer.DataCentre_;
    Known.Address_ = valueOf(Address);
  }
  std::map<std::string, Endpoint> Addresses;
  for (const auto &[Name, Known] : Members)
    Addresses[Name] = Known.Address_;
  Members_ = std::move(Members);
  Network_->setPeers(std::move(Addresses));
}

std::vector<std::string>
MembershipService::liveIn(const std::string &DataCentre) const {
  std::vector<std::string> Names;
  if (DataCentre == Settings_.DataCentre_)
    Names.push_back(Settings_.Vm_);
  for (const auto &[Name, Known] : Members_)
    if (Known.DataCentre_ == DataCentre && Known.State_ == VmState::Live)
      Names.push_back(Name);
  return Names;
}

} // namespace anvil
