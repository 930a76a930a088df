#include "Http/HttpServer.h"

#include "Http/BoundAddress.h"
#include "Http/Pause.h"
#include "Http/ServerConnection.h"
#include "Http/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace anvil {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
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
  asio::awaitable<void> rejectMalformed(ServerConnection &Client,
                                        error_code Cause);
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
    auto Client = std::make_shared<ServerConnection>(std::move(Socket));
    Client->end(Ending_);
    Connections_.insert(Client);
    spawn(Executor_, serve(std::move(Client)));
  }
}

asio::awaitable<std::optional<HttpRequest>>
HttpServer::Core::read(ServerConnection &Client) {
  error_code Cause;
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(Limits_.HeadBytes_);
  Parser.body_limit(Limits_.BodyBytes_);
  Client.setReadTimeout(Limits_.HeadTime_);
  co_await http::async_read_header(
      Client.Stream_, Client.Buffer_, Parser,
      asio::redirect_error(asio::use_awaitable, Cause));
  if (!Cause && !Parser.is_done()) {
    Client.clearReadTimeout();
    Client.setReadTimeout(Limits_.BodyTime_);
    co_await http::async_read(Client.Stream_, Client.Buffer_, Parser,
                              asio::redirect_error(asio::use_awaitable, Cause));
  }
  if (Cause && Client.readTimedOut())
    Cause = beast::error::timeout;
  Client.clearReadTimeout();
  if (Cause) {
    co_await rejectMalformed(Client, Cause);
    co_return std::nullopt;
  }
  auto Message = Parser.release();
  Client.KeepAlive_ = Message.keep_alive();
  HttpRequest Request;
  Request.Method_ = std::string(Message.method_string());
  Request.Target_ = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers_.add(std::string(Field.name_string()),
                         std::string(Field.value()));
  Request.Body_ = std::move(Message.body());
  co_return Request;
}

asio::awaitable<void>
HttpServer::Core::rejectMalformed(ServerConnection &Client, error_code Cause) {
  if (Cause == http::error::end_of_stream || !Malformed_ || Destroyed_)
    co_return;
  int Status = 400;
  if (Cause == http::error::body_limit)
    Status = 413;
  else if (Cause == http::error::header_limit)
    Status = 431;
  else if (Cause == beast::error::timeout)
    Status = 408;
  Client.KeepAlive_ = false;
  HttpExchange Exchange(Client, {});
  co_await Exchange.respond(Malformed_(Status, Cause.message()));
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

Status HttpServer::bind(const Endpoint &Address) {
  return bindAcceptor(Core_->Acceptor_, Address);
}

Status HttpServer::listen(const Endpoint &Address) {
  Status Listening = listenAt(Core_->Acceptor_, Address);
  if (!isOk(Listening))
    return Listening;
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
