#include "Standins/FaultProxy.h"

#include "Http/Spawn.h"

#include <nlohmann/json.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

/// How often a link with a limited rate forwards bytes.
static constexpr Duration PacePeriod = std::chrono::milliseconds(50);

/// Size of the forwarding buffer, in bytes.
static constexpr std::size_t BufferBytes = 16 * 1024;

namespace {

/// The fault that a link applies to its connections. A cut discards what is
/// sent, as a network partition does; when it ends, connections that lost bytes
/// are reset.
enum class LinkMode {
  Pass,
  Cut,
  CutToTarget,
  CutToClient,
  Freeze,
  Reset,
  DropReply,
};

constexpr std::pair<LinkMode, std::string_view> LinkModeNames[] = {
    {LinkMode::Pass, "pass"},
    {LinkMode::Cut, "cut"},
    {LinkMode::CutToTarget, "cut_to_target"},
    {LinkMode::CutToClient, "cut_to_client"},
    {LinkMode::Freeze, "freeze"},
    {LinkMode::Reset, "reset"},
    {LinkMode::DropReply, "drop_answer"},
};

} // namespace

struct FaultProxy::Session {
  explicit Session(tcp::socket Client)
      : Client_(std::move(Client)), Target_(Client_.get_executor()) {}

  /// Resets both sides (RST instead of an orderly close).
  void reset() {
    error_code Ignored;
    for (tcp::socket *Side : {&Client_, &Target_}) {
      Side->set_option(asio::socket_base::linger(true, 0), Ignored);
      Side->close(Ignored);
    }
  }

  tcp::socket Client_;
  tcp::socket Target_;
  bool LostBytes_ = false;
};

struct FaultProxy::Link {
  explicit Link(const asio::any_io_executor &Executor)
      : Acceptor_(Executor), Changed_(Executor) {
    Changed_.expires_at(asio::steady_timer::time_point::max());
  }

  bool discards(bool ToTarget) const {
    return Mode_ == LinkMode::Cut ||
           Mode_ == (ToTarget ? LinkMode::CutToTarget : LinkMode::CutToClient);
  }

  /// Waits until the link is no longer frozen.
  asio::awaitable<void> waitWhileFrozen() {
    error_code Ignored;
    while (Mode_ == LinkMode::Freeze)
      co_await Changed_.async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
  }

  void setMode(LinkMode Mode) {
    Mode_ = Mode;
    for (const auto &Pair : Sessions_)
      if (Mode == LinkMode::Reset || Pair->LostBytes_)
        Pair->reset();
    Changed_.cancel();
  }

  tcp::acceptor Acceptor_;
  asio::steady_timer Changed_;
  Endpoint Target_;
  LinkMode Mode_ = LinkMode::Pass;
  Duration Delay_{0};
  std::int64_t BytesPerSecond_ = 0;
  std::set<std::shared_ptr<Session>> Sessions_;
};

FaultProxy::FaultProxy(asio::any_io_executor Executor,
                       const std::vector<std::string> &Links)
    : Executor_(Executor),
      Server_(Executor, HttpServerLimits{},
              [this](HttpExchange &Exchange) -> asio::awaitable<void> {
                co_await Exchange.respond(control(Exchange.request()));
              }) {
  for (const std::string &Name : Links)
    Links_[Name] = std::make_shared<Link>(Executor);
}

FaultProxy::~FaultProxy() = default;

Status FaultProxy::listen() {
  tcp::endpoint Any(asio::ip::address_v4::loopback(), 0);
  for (auto &[Name, Owner] : Links_) {
    error_code Cause;
    Owner->Acceptor_.open(tcp::v4(), Cause);
    if (!Cause)
      Owner->Acceptor_.bind(Any, Cause);
    if (!Cause)
      Owner->Acceptor_.listen(asio::socket_base::max_listen_connections, Cause);
    if (Cause)
      return Error{ErrorCode::Unavailable, Name, Cause.message(), ""};
    spawn(Executor_, accept(Owner));
  }
  return Server_.listen({"127.0.0.1", 0});
}

std::map<std::string, std::uint16_t> FaultProxy::ports() const {
  std::map<std::string, std::uint16_t> Ports{{"admin", Server_.port()}};
  for (const auto &[Name, Owner] : Links_)
    Ports[Name] = Owner->Acceptor_.local_endpoint().port();
  return Ports;
}

HttpReply FaultProxy::control(const HttpRequest &Request) {
  json Body = json::parse(Request.Body_, nullptr, false);
  auto Found =
      Body.is_object() ? Links_.find(Body.value("link", "")) : Links_.end();
  if (Found == Links_.end())
    return jsonReply(404, R"({"error": "no such link"})");
  Link &Owner = *Found->second;
  if (Body.contains("target")) {
    auto Target = parseEndpoint(Body["target"].get<std::string>());
    if (!isOk(Target))
      return jsonReply(400, R"({"error": "bad target"})");
    Owner.Target_ = valueOf(Target);
  }
  Owner.Delay_ = std::chrono::milliseconds(Body.value("delay_ms", 0));
  Owner.BytesPerSecond_ = Body.value("bytes_per_s", std::int64_t{0});
  if (!Body.contains("mode"))
    return jsonReply(200, "{}");
  for (const auto &[Mode, Name] : LinkModeNames)
    if (Body["mode"] == Name) {
      Owner.setMode(Mode);
      return jsonReply(200, "{}");
    }
  return jsonReply(400, R"({"error": "no such mode"})");
}

asio::awaitable<void> FaultProxy::accept(std::shared_ptr<Link> Owner) {
  while (true) {
    error_code Cause;
    tcp::socket Client = co_await Owner->Acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, Cause));
    if (Cause)
      co_return;
    auto Pair = std::make_shared<Session>(std::move(Client));
    if (Owner->Mode_ == LinkMode::Reset) {
      Pair->reset();
      continue;
    }
    Owner->Sessions_.insert(Pair);
    spawn(Pair->Client_.get_executor(), run(Owner, Pair));
  }
}

asio::awaitable<void> FaultProxy::run(std::shared_ptr<Link> Owner,
                                      std::shared_ptr<Session> Pair) {
  co_await Owner->waitWhileFrozen();
  error_code Cause;
  if (Owner->Mode_ == LinkMode::Cut) {
    // The target never receives this connection.
    Pair->LostBytes_ = true;
  } else {
    tcp::endpoint Target(asio::ip::make_address(Owner->Target_.Address_, Cause),
                         Owner->Target_.Port_);
    if (!Cause)
      co_await Pair->Target_.async_connect(
          Target, asio::redirect_error(asio::use_awaitable, Cause));
  }
  if (Cause) {
    Pair->reset();
    Owner->Sessions_.erase(Pair);
    co_return;
  }
  error_code Ignored;
  Pair->Client_.set_option(tcp::no_delay(true), Ignored);
  if (Pair->Target_.is_open()) {
    Pair->Target_.set_option(tcp::no_delay(true), Ignored);
    spawn(Pair->Client_.get_executor(), pump(Owner, Pair, false));
  }
  co_await pump(Owner, Pair, true);
}

asio::awaitable<void> FaultProxy::forward(Link &Owner, Session &Pair,
                                          bool ToTarget, std::string Bytes) {
  if (Owner.Delay_ > Duration(0)) {
    asio::steady_timer Timer(Pair.Client_.get_executor(), Owner.Delay_);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  co_await Owner.waitWhileFrozen();
  if (Pair.LostBytes_ || Owner.discards(ToTarget)) {
    Pair.LostBytes_ = true;
    co_return;
  }
  if (Owner.Mode_ == LinkMode::DropReply && !ToTarget) {
    Owner.Mode_ = LinkMode::Pass;
    Pair.reset();
    co_return;
  }
  tcp::socket &To = ToTarget ? Pair.Target_ : Pair.Client_;
  error_code Cause;
  while (!Bytes.empty() && !Cause) {
    std::size_t Size = Bytes.size();
    if (Owner.BytesPerSecond_ > 0) {
      auto PerPeriod = static_cast<std::size_t>(
          static_cast<double>(Owner.BytesPerSecond_) * toSeconds(PacePeriod));
      Size = std::min(Size, std::max<std::size_t>(1, PerPeriod));
      asio::steady_timer Timer(Pair.Client_.get_executor(), PacePeriod);
      co_await Timer.async_wait(asio::use_awaitable);
    }
    co_await asio::async_write(
        To, asio::buffer(Bytes.data(), Size),
        asio::redirect_error(asio::use_awaitable, Cause));
    Bytes.erase(0, Size);
  }
}

asio::awaitable<void> FaultProxy::pump(std::shared_ptr<Link> Owner,
                                       std::shared_ptr<Session> Pair,
                                       bool ToTarget) {
  tcp::socket &From = ToTarget ? Pair->Client_ : Pair->Target_;
  std::array<char, BufferBytes> Buffer;
  error_code Cause;
  while (!Cause) {
    std::size_t Read = co_await From.async_read_some(
        asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Cause));
    if (Read > 0)
      co_await forward(*Owner, *Pair, ToTarget,
                       std::string(Buffer.data(), Read));
  }
  co_await Owner->waitWhileFrozen();
  // A cut also hides the end of a connection; the reset follows when it ends.
  if (Owner->discards(ToTarget)) {
    Pair->LostBytes_ = true;
    co_return;
  }
  error_code Ignored;
  Pair->Client_.close(Ignored);
  Pair->Target_.close(Ignored);
  Owner->Sessions_.erase(Pair);
}

} // namespace anvil
