#include "Integration/RelayingVm.h"

#include "Entry/FleetCodec.h"
#include "Entry/OwnerRows.h"
#include "Telemetry/Log.h"

#include <boost/asio/post.hpp>

#include <chrono>
#include <future>
#include <stdexcept>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::udp;

static constexpr std::string_view Name = "vm-2@127.0.0.1";

static constexpr std::string_view RelayKey = "the-relay-key";

/// How often a state update is sent.
static constexpr Millis UpdatePeriod{50};

RelayingVm::RelayingVm(const SingleVm &Other, std::uint16_t TargetPort,
                       bool IsEarlierRelease)
    : Updates_(Loop_, udp::endpoint(asio::ip::address_v4::loopback(), 0)),
      Other_(asio::ip::make_address(Other.address()), Other.port("peer")),
      TargetPort_(TargetPort) {
  startLogging("vm-2", "error");
  RelayServerOptions Options;
  Options.Key_ = RelayKey;
  auto Resolve =
      [this](const RelayRequest &Request) -> RelayServer::Resolution {
    ++Asked_;
    if (!IsReaching_)
      return RelayRefusal::Unreached;
    if (IsRefusing_ && !Request.Question_)
      return RelayRefusal::Unlisted;
    return Endpoint{"127.0.0.1", TargetPort_};
  };
  auto Confirm = [](const RelayRequest &,
                    const Endpoint &) -> asio::awaitable<std::string> {
    co_return "same";
  };
  auto Answer = [this](const RelayRequest &Request, const Endpoint &Address)
      -> asio::awaitable<std::optional<RelayAnswer>> {
    return Probe_.answer(Request, Address);
  };
  Server_ = std::make_unique<RelayServer>(
      Loop_.get_executor(), Timers_, std::move(Options),
      std::make_shared<Metrics>(), std::move(Resolve), std::move(Confirm),
      IsEarlierRelease ? RelayServer::AnswerHook() : Answer,
      [this](const RelayNotice &Notice) { BackOff_ = Notice.BackOff_; });
  if (!isOk(Server_->listen({"127.0.0.1", 0})))
    throw std::runtime_error("the relay can't listen");
  VmRow Row;
  Row.Incarnation_ = "life-2";
  Row.DataCentre_ = "north";
  Row.PeerAddress_ =
      "127.0.0.1:" + std::to_string(Updates_.local_endpoint().port());
  Row.RelayPort_ = Server_->port();
  Row.RelayKey_ = RelayKey;
  sendJson(Other.storePort(), "PUT", "/row",
           {{"Table", "anvil"},
            {"Key", vmRowKey(std::string(Name), 0)},
            {"Value", encodeVmRow(Row)}});
  Thread_ = std::thread([this] { Loop_.run(); });
  Sender_ = std::thread([this] { sendUpdates(); });
}

RelayingVm::~RelayingVm() {
  IsEnding_ = true;
  Sender_.join();
  asio::post(Loop_, [this] {
    Server_.reset();
    Loop_.stop();
  });
  Thread_.join();
}

std::size_t RelayingVm::openTunnels() {
  std::promise<std::size_t> Count;
  asio::post(Loop_, [&] { Count.set_value(Server_->openTunnels()); });
  return Count.get_future().get();
}

void RelayingVm::sendUpdates() {
  VmStateUpdate Update;
  Update.Vm_ = Name;
  Update.Incarnation_ = "life-2";
  Update.DataCentre_ = "north";
  Update.PeerAddress_ =
      "127.0.0.1:" + std::to_string(Updates_.local_endpoint().port());
  Update.Period_ = UpdatePeriod;
  while (!IsEnding_) {
    ++Update.Sequence_;
    boost::system::error_code Ignored;
    Updates_.send_to(asio::buffer(encodeFleetMessage(Update)), Other_, 0,
                     Ignored);
    std::this_thread::sleep_for(UpdatePeriod);
  }
}

} // namespace anvil
