#include "Entry/FleetLink.h"

#include "Entry/RandomFraction.h"
#include "Http/BoundAddress.h"
#include "Serving/UpdateSchedule.h"
#include "Telemetry/Log.h"

#include <algorithm>
#include <array>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

/// The minimum period at which a VM sends the summary of its data centre.
static constexpr Duration MinSummaryPeriod = std::chrono::milliseconds(400);

/// The maximum number of datagrams that are handled in one turn of the event
/// loop. Under load a turn takes long, and datagrams arrive in each.
static constexpr std::size_t MaxDatagramsPerTurn = 64;

/// The maximum payload of an IPv4 datagram, in bytes.
static constexpr std::size_t DatagramBytes = 65507;

struct FleetLink::Socket {
  explicit Socket(const asio::any_io_executor &Executor) : Udp_(Executor) {}

  udp::socket Udp_;
  udp::endpoint From_;
  std::array<char, DatagramBytes> Buffer_{};
};

FleetLink::FleetLink(asio::any_io_executor Executor,
                     const EntrySettings &Settings, TimerService &Timers)
    : Settings_(Settings), Timers_(Timers),
      Socket_(std::make_unique<Socket>(Executor)),
      Topology_(Settings.holderName(), Settings.DataCentre_) {}

FleetLink::~FleetLink() = default;

Status FleetLink::claimResources() {
  if (Socket_->Udp_.is_open())
    return std::monostate{};
  error_code Cause;
  auto Address = asio::ip::make_address(Settings_.Listen_.Address_, Cause);
  udp::endpoint Local(Address,
                      static_cast<std::uint16_t>(Settings_.Listen_.PeerPort_));
  if (!Cause)
    Socket_->Udp_.open(Local.protocol(), Cause);
  if (!Cause)
    Socket_->Udp_.bind(Local, Cause);
  if (!Cause)
    Socket_->Udp_.non_blocking(true, Cause);
  if (!Cause)
    return std::monostate{};
  error_code Ignored;
  Socket_->Udp_.close(Ignored);
  return bindError("listen.peer_port", Cause);
}

Status FleetLink::start() {
  Status Bound = claimResources();
  if (!isOk(Bound))
    return Bound;
  receive();
  scheduleUpdate();
  scheduleSummary();
  return std::monostate{};
}

void FleetLink::stop() {
  UpdateTimer_.cancel();
  SummaryTimer_.cancel();
  error_code Ignored;
  Socket_->Udp_.close(Ignored);
}

std::uint16_t FleetLink::port() const {
  error_code Ignored;
  return Socket_->Udp_.local_endpoint(Ignored).port();
}

void FleetLink::setPeers(const std::map<std::string, PeerLocation> &Peers) {
  Peers_.clear();
  for (const auto &[Vm, Location] : Peers)
    storePeer(Vm, Location);
  updateTopology();
}

void FleetLink::addPeer(const std::string &Vm, const PeerLocation &Location) {
  storePeer(Vm, Location);
  updateTopology();
}

void FleetLink::storePeer(const std::string &Vm, const PeerLocation &Location) {
  error_code Cause;
  auto Address = asio::ip::make_address(Location.Endpoint_.Address_, Cause);
  if (!Cause)
    Peers_.insert_or_assign(
        Vm, Peer{Location, udp::endpoint(Address, Location.Endpoint_.Port_)});
}

void FleetLink::updateTopology() {
  std::map<std::string, std::string> DataCentres;
  for (const auto &[Vm, Known] : Peers_)
    DataCentres.emplace(Vm, Known.Location_.DataCentre_);
  Topology_.setVms(DataCentres);
}

std::optional<Endpoint> FleetLink::addressOf(const std::string &Vm) const {
  auto Found = Peers_.find(Vm);
  if (Found == Peers_.end())
    return std::nullopt;
  return Found->second.Location_.Endpoint_;
}

std::optional<FleetLink::PeerLocation>
FleetLink::locationOf(const std::string &Vm) const {
  auto Found = Peers_.find(Vm);
  if (Found == Peers_.end())
    return std::nullopt;
  return Found->second.Location_;
}

void FleetLink::forEachPeer(
    const std::function<void(const std::string &, const PeerLocation &)> &Visit)
    const {
  for (const auto &[Vm, Known] : Peers_)
    Visit(Vm, Known.Location_);
}

void FleetLink::receive() {
  Socket_->Udp_.async_receive_from(
      asio::buffer(Socket_->Buffer_), Socket_->From_,
      [this](error_code Cause, std::size_t Size) {
        if (Cause == asio::error::operation_aborted)
          return;
        if (!Cause) {
          dispatch(std::string_view(Socket_->Buffer_.data(), Size));
          receiveWaiting();
        }
        receive();
      });
}

void FleetLink::receiveWaiting() {
  for (std::size_t Count = 1; Count < MaxDatagramsPerTurn; ++Count) {
    error_code Cause;
    std::size_t Size = Socket_->Udp_.receive_from(
        asio::buffer(Socket_->Buffer_), Socket_->From_, 0, Cause);
    if (Cause)
      return;
    dispatch(std::string_view(Socket_->Buffer_.data(), Size));
  }
}

void FleetLink::dispatch(std::string_view Bytes) {
  auto Message = decodeFleetMessage(Bytes);
  if (!isOk(Message)) {
    logEvent(LogLevel::Warning, "datagram_unreadable",
             {{"from", Socket_->From_.address().to_string()},
              {"bytes", Bytes.size()}});
    return;
  }
  if (std::size_t Count = forwardCountOf(Bytes); Count > 0) {
    std::string Forwarded(Bytes);
    setForwardCount(Forwarded, 0);
    for (const std::string &Vm : Topology_.forwardTargets(Count))
      sendBytes(Vm, Forwarded);
  }
  Received_.fire(valueOf(Message));
}

void FleetLink::sendBytes(const std::string &Vm, const std::string &Bytes) {
  auto Found = Peers_.find(Vm);
  if (Found == Peers_.end())
    return;
  // A datagram that doesn't fit into the socket's buffer counts as lost.
  error_code Ignored;
  Socket_->Udp_.send_to(asio::buffer(Bytes), Found->second.Socket_, 0, Ignored);
}

void FleetLink::send(const std::string &Vm, const FleetMessage &Message) {
  sendToGroup({Vm}, Message);
}

void FleetLink::sendToGroup(const std::vector<std::string> &Vms,
                            const FleetMessage &Message) {
  std::string Bytes = encodeFleetMessage(Message);
  for (const std::string &Vm : Vms)
    sendBytes(Vm, Bytes);
}

void FleetLink::sendHops(const std::vector<ForwardingHop> &Hops,
                         std::string &Bytes) {
  for (const ForwardingHop &Hop : Hops) {
    setForwardCount(Bytes, Hop.Forwards_);
    sendBytes(Hop.Vm_, Bytes);
  }
}

void FleetLink::sendToPeers(const FleetMessage &Message) {
  std::string Bytes = encodeFleetMessage(Message);
  sendHops(Topology_.hopsToPeers(Bytes.size()), Bytes);
}

void FleetLink::sendToRemote(const FleetMessage &Message) {
  if (!Topology_.isSplit())
    return;
  std::string Bytes = encodeFleetMessage(Message);
  sendHops(Topology_.hopsToRemoteDataCentres(Bytes.size(), randomFraction()),
           Bytes);
}

void FleetLink::sendToAll(const FleetMessage &Message) {
  std::string Bytes = encodeFleetMessage(Message);
  sendHops(Topology_.hopsToPeers(Bytes.size()), Bytes);
  sendHops(Topology_.hopsToRemoteDataCentres(Bytes.size(), randomFraction()),
           Bytes);
}

Duration FleetLink::updatePeriod() const {
  return anvil::updatePeriod(Topology_.directPeers().size());
}

Duration FleetLink::summaryPeriod() const {
  return std::max(MinSummaryPeriod, updatePeriod());
}

void FleetLink::scheduleUpdate() {
  UpdateTimer_ =
      Timers_.once(BootClock::now() + updatePeriod(), [this](TimePoint) {
        if (ComposeUpdate_ && !Topology_.directPeers().empty())
          sendToPeers(ComposeUpdate_(updatePeriod()));
        UpdateDue_.fire(updatePeriod());
        scheduleUpdate();
      });
}

void FleetLink::scheduleSummary() {
  SummaryTimer_ =
      Timers_.once(BootClock::now() + summaryPeriod(), [this](TimePoint) {
        if (ComposeSummary_ && Topology_.isSplit())
          if (auto Update = ComposeSummary_(summaryPeriod()))
            sendToRemote(*Update);
        scheduleSummary();
      });
}

} // namespace anvil
