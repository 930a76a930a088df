#include "Relay/RelayPlace.h"

#include "Telemetry/Log.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <future>
#include <stdexcept>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

static constexpr std::string_view Key = "the-key";

/// The id of the only target that is relayed to.
static constexpr std::string_view KnownTarget = "target-1";

RelayPlace::RelayPlace(RelayServerOptions Options)
    : Target_(Sockets_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      TargetPort_(Target_.local_endpoint().port()),
      Work_(asio::make_work_guard(Loop_)) {
  startLogging("vm-2", "error");
  Options.Key_ = Key;
  auto Resolve =
      [this](const RelayRequest &Request) -> RelayServer::Resolution {
    if (Request.Target_ != KnownTarget)
      return RelayRefusal::Unlisted;
    return Endpoint{"127.0.0.1", TargetPort_};
  };
  auto Confirm = [](const RelayRequest &,
                    const Endpoint &) -> asio::awaitable<std::string> {
    co_return "same";
  };
  auto Answer =
      [this](const RelayRequest &Request,
             const Endpoint &) -> asio::awaitable<std::optional<RelayAnswer>> {
    Questions_.push_back(*Request.Question_);
    co_return Answer_;
  };
  Server_ = std::make_unique<RelayServer>(
      Loop_.get_executor(), Timers_, std::move(Options),
      std::make_shared<Metrics>(), std::move(Resolve), std::move(Confirm),
      std::move(Answer),
      [this](const RelayNotice &Notice) { Notices_.push_back(Notice); });
  if (!isOk(Server_->listen({"127.0.0.1", 0})))
    throw std::runtime_error("the relay can't listen");
  Port_ = Server_->port();
  Thread_ = std::thread([this] { Loop_.run(); });
}

RelayPlace::~RelayPlace() {
  run([this](RelayServer &) { Server_.reset(); });
  Loop_.stop();
  Thread_.join();
}

RelayRequest RelayPlace::validRequest() {
  return {std::string(Key),         "vm-1", "tunnel-1", "request-1",
          std::string(KnownTarget), 7,      false,      false};
}

std::pair<tcp::socket, std::string>
RelayPlace::ask(const RelayRequest &Request) {
  tcp::socket Asker(Sockets_);
  Asker.connect({asio::ip::address_v4::loopback(), Port_});
  asio::write(Asker, asio::buffer(requestText(encodeRelayRequest(Request))));
  std::string Answer;
  error_code Ignored;
  asio::read_until(Asker, asio::dynamic_buffer(Answer), "\r\n\r\n", Ignored);
  return {std::move(Asker), std::move(Answer)};
}

RelayedPair RelayPlace::open() {
  auto [Asker, Answer] = ask(validRequest());
  if (!Answer.starts_with("HTTP/1.1 200"))
    throw std::runtime_error("not relayed: " + Answer);
  return {std::move(Asker), acceptAtTarget()};
}

void RelayPlace::run(const std::function<void(RelayServer &)> &Call) {
  std::promise<void> Done;
  asio::post(Loop_, [&] {
    if (Server_)
      Call(*Server_);
    Done.set_value();
  });
  Done.get_future().wait();
}

std::size_t RelayPlace::openTunnels() {
  std::size_t Count = 0;
  run([&](RelayServer &Server) { Count = Server.openTunnels(); });
  return Count;
}

std::string readToEnd(tcp::socket &From, bool &IsReset) {
  std::string Text;
  error_code Cause;
  asio::read(From, asio::dynamic_buffer(Text), Cause);
  IsReset = Cause != asio::error::eof;
  return Text;
}

std::string readBytes(tcp::socket &From, std::size_t Size) {
  std::string Text(Size, '\0');
  error_code Ignored;
  Text.resize(asio::read(From, asio::buffer(Text), Ignored));
  return Text;
}

bool holdsSoon(const std::function<bool()> &Condition) {
  for (int Try = 0; Try < 1000; ++Try) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

} // namespace anvil
