#include "Entry/FleetLink.h"

#include "Telemetry/Log.h"

#include <algorithm>
#include <array>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

/// How often news go out in a small fleet.
static constexpr Duration LeastPeriod = std::chrono::milliseconds(100);

/// What each other VM adds to the period, so that a VM's cost of control stays
/// the same in a larger fleet.
static constexpr Duration PeriodPerPeer = std::chrono::milliseconds(12);

/// The longest datagram of IPv4, in bytes.
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
      Socket_(std::make_unique<Socket>(Executor)) {}

FleetLink::~FleetLink() = default;

Status FleetLink::start() {
  error_code Cause;
  auto Address = asio::ip::make_address(Settings_.Listen_.Address_, Cause);
  udp::endpoint Local(Address,
                      static_cast<std::uint16_t>(Settings_.Listen_.PeerPort_));
  if (!Cause)
    Socket_->Udp_.open(Local.protocol(), Cause);
  if (!Cause)
    Socket_->Udp_.bind(Local, Cause);
  if (Cause)
    return Error{ErrorCode::Unavailable, "listen.peer_port",
                 "can't be bound: " + Cause.message(), "choose a free port"};
  Socket_->Udp_.non_blocking(true, Cause);
  receive();
  schedule();
  return std::monostate{};
}

void FleetLink::stop() {
  News_.cancel();
  error_code Ignored;
  Socket_->Udp_.close(Ignored);
}

std::uint16_t FleetLink::port() const {
  error_code Ignored;
  return Socket_->Udp_.local_endpoint(Ignored).port();
}

void FleetLink::setPeers(const std::map<std::string, Endpoint> &Peers) {
  Peers_.clear();
  for (const auto &[Vm, Where] : Peers) {
    error_code Cause;
    auto Address = asio::ip::make_address(Where.Address_, Cause);
    if (!Cause)
      Peers_.emplace(Vm, Peer{Where, udp::endpoint(Address, Where.Port_)});
  }
}

std::optional<Endpoint> FleetLink::addressOf(const std::string &Vm) const {
  auto Found = Peers_.find(Vm);
  if (Found == Peers_.end())
    return std::nullopt;
  return Found->second.Where_;
}

void FleetLink::receive() {
  Socket_->Udp_.async_receive_from(
      asio::buffer(Socket_->Buffer_), Socket_->From_,
      [this](error_code Cause, std::size_t Size) {
        if (Cause == asio::error::operation_aborted)
          return;
        if (!Cause) {
          auto Message = decodeFleetMessage(
              std::string_view(Socket_->Buffer_.data(), Size));
          if (isOk(Message))
            Received_.fire(valueOf(Message));
          else
            logEvent(LogLevel::Warning, "datagram_unreadable",
                     {{"from", Socket_->From_.address().to_string()},
                      {"bytes", Size}});
        }
        receive();
      });
}

void FleetLink::sendBytes(const Peer &To, const std::string &Bytes) {
  // A datagram that doesn't fit the socket's buffer counts as lost.
  error_code Ignored;
  Socket_->Udp_.send_to(asio::buffer(Bytes), To.Socket_, 0, Ignored);
}

void FleetLink::send(const std::string &Vm, const FleetMessage &Message) {
  sendToGroup({Vm}, Message);
}

void FleetLink::sendToGroup(const std::vector<std::string> &Vms,
                            const FleetMessage &Message) {
  std::string Bytes = encodeFleetMessage(Message);
  for (const std::string &Vm : Vms)
    if (auto Found = Peers_.find(Vm); Found != Peers_.end())
      sendBytes(Found->second, Bytes);
}

void FleetLink::sendToAll(const FleetMessage &Message) {
  std::string Bytes = encodeFleetMessage(Message);
  for (const auto &[Vm, Where] : Peers_)
    sendBytes(Where, Bytes);
}

void FleetLink::sendNews() {
  if (Compose_ && !Peers_.empty())
    sendToAll(Compose_());
}

void FleetLink::schedule() {
  Duration Period = std::max<Duration>(
      LeastPeriod, PeriodPerPeer * static_cast<int>(Peers_.size()));
  News_ = Timers_.once(BootClock::now() + Period, [this](TimePoint) {
    sendNews();
    schedule();
  });
}

} // namespace anvil
