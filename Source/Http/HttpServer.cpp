#include "Http/HttpServer.h"

#include "Http/Pause.h"
#include "Http/RequestReader.h"
#include "Http/ServerConnection.h"
#include "Http/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// The pause after a failed accept. Without it, a process that has run out of
/// descriptors would spin.
static constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(10);

/// The server's state, shared with its coroutines, which may outlive the
/// server.
struct HttpServer::Core : std::enable_shared_from_this<HttpServer::Core> {
  Core(asio::any_io_executor Executor, HttpServerLimits Limits, Handler Handle)
      : Executor_(std::move(Executor)), Acceptor_(Executor_),
        AcceptTimer_(Executor_), Limits_(Limits), Handle_(std::move(Handle)) {}

  asio::awaitable<void> accept();
  asio::awaitable<void> serve(std::shared_ptr<ServerConnection> Client);
  asio::awaitable<std::optional<HttpRequest>> read(ServerConnection &Client);
  asio::awaitable<void> reject(ServerConnection &Client,
                               const RequestRejection &Why);
  void endAll(ConnectionEnding When);

  asio::any_io_executor Executor_;
  tcp::acceptor Acceptor_;
  asio::steady_timer AcceptTimer_;
  HttpServerLimits Limits_;
  Handler Handle_;
  MalformedHook Malformed_;
  std::set<std::shared_ptr<ServerConnection>> Connections_;
  std::size_t Running_ = 0;
  /// The initial state of new connections.
  ConnectionEnding Ending_ = ConnectionEnding::None;
  /// Whether the server was destroyed; the handler must not be called then,
  /// since its owner may be destroyed too.
  bool Destroyed_ = false;
};

void HttpServer::Core::endAll(ConnectionEnding When) {
  Ending_ = std::max(Ending_, When);
  for (const auto &Client : Connections_)
    Client->end(When);
}

asio::awaitable<void> HttpServer::Core::accept() {
  auto Self = shared_from_this();
  while (Ending_ != ConnectionEnding::WhenIdle) {
    error_code Cause;
    tcp::socket Socket = co_await Acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, Cause));
    if (Cause == asio::error::operation_aborted)
      co_return;
    if (Cause) {
      co_await pauseFor(AcceptTimer_, AcceptRetryDelay);
      continue;
    }
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    auto Client =
        std::make_shared<ServerConnection>(std::move(Socket), Limits_.Budget_);
    Client->end(Ending_);
    Connections_.insert(Client);
    spawn(Executor_, serve(std::move(Client)));
  }
}

asio::awaitable<std::optional<HttpRequest>>
HttpServer::Core::read(ServerConnection &Client) {
  ReadOutcome Outcome = co_await readRequest(Client, Limits_);
  if (auto *Request = std::get_if<HttpRequest>(&Outcome))
    co_return std::move(*Request);
  Client.releaseRequest();
  co_await reject(Client, std::get<RequestRejection>(Outcome));
  co_return std::nullopt;
}

asio::awaitable<void> HttpServer::Core::reject(ServerConnection &Client,
                                               const RequestRejection &Why) {
  if (Why.Status_ == 0 || !Malformed_ || Destroyed_)
    co_return;
  Client.KeepAlive_ = false;
  HttpExchange Exchange(Client, {});
  co_await Exchange.respond(Malformed_(Why.Status_, Why.Reason_));
}

asio::awaitable<void>
HttpServer::Core::serve(std::shared_ptr<ServerConnection> Client) {
  auto Self = shared_from_this();
  while (co_await Client->awaitRequest(Limits_.IdleTime_)) {
    Client->Phase_ = ConnectionPhase::Reading;
    ++Running_;
    auto Request = co_await read(*Client);
    bool IsHandled = Request && !Destroyed_;
    if (IsHandled) {
      HttpExchange Exchange(*Client, std::move(*Request));
      Client->Phase_ = ConnectionPhase::Handling;
      Client->watchForDisconnect();
      co_await Handle_(Exchange);
      Client->DisconnectHandler_ = {};
    }
    Client->releaseRequest();
    --Running_;
    Client->Phase_ = ConnectionPhase::Idle;
    if (!IsHandled || !Client->KeepAlive_ || !Client->isOpen())
      break;
    // The only operation still pending is the wait for a disconnect.
    error_code Ignored;
    Client->Stream_.socket().cancel(Ignored);
  }
  bool AnnouncedClose = !Client->KeepAlive_ && Client->isOpen();
  if (AnnouncedClose)
    co_await Client->linger();
  Client->close();
  Connections_.erase(Client);
}

HttpServer::HttpServer(asio::any_io_executor Executor, HttpServerLimits Limits,
                       Handler Handle)
    : Core_(std::make_shared<Core>(std::move(Executor), Limits,
                                   std::move(Handle))) {}

HttpServer::~HttpServer() {
  close();
  Core_->Destroyed_ = true;
}

void HttpServer::setMalformedHook(MalformedHook Hook) {
  Core_->Malformed_ = std::move(Hook);
}

void HttpServer::setLimits(HttpServerLimits Limits) { Core_->Limits_ = Limits; }

Status HttpServer::listen(const Endpoint &Address) {
  error_code Cause;
  auto Number = asio::ip::make_address(Address.Address_, Cause);
  tcp::endpoint Local(Number, Address.Port_);
  if (!Cause)
    Core_->Acceptor_.open(Local.protocol(), Cause);
  if (!Cause)
    Core_->Acceptor_.set_option(tcp::acceptor::reuse_address(true), Cause);
  if (!Cause)
    Core_->Acceptor_.bind(Local, Cause);
  if (!Cause)
    Core_->Acceptor_.listen(asio::socket_base::max_listen_connections, Cause);
  if (Cause)
    return Error{ErrorCode::Unavailable, Address.text(),
                 "can't listen: " + Cause.message(),
                 "choose a free port of this VM"};
  spawn(Core_->Executor_, Core_->accept());
  return std::monostate{};
}

std::uint16_t HttpServer::port() const {
  error_code Ignored;
  return Core_->Acceptor_.local_endpoint(Ignored).port();
}

void HttpServer::beginDrain() {
  Core_->endAll(ConnectionEnding::AfterResponse);
}

void HttpServer::closeTagged(
    const std::function<bool(const std::string &)> &IsEnded) {
  for (const auto &Client : Core_->Connections_) {
    if (!Client->Tag_.empty() && IsEnded(Client->Tag_))
      Client->end(ConnectionEnding::WhenIdle);
  }
}

ClosedConnections HttpServer::close() {
  error_code Ignored;
  Core_->Acceptor_.close(Ignored);
  Core_->AcceptTimer_.cancel();
  Core_->endAll(ConnectionEnding::WhenIdle);
  ClosedConnections Counts;
  Counts.BusyCount_ = Core_->Running_;
  Counts.IdleCount_ = Core_->Connections_.size() - Core_->Running_;
  return Counts;
}

std::size_t HttpServer::runningRequests() const { return Core_->Running_; }

std::size_t HttpServer::openConnections() const {
  return Core_->Connections_.size();
}

} // namespace anvil
