#include "Http/HttpServer.h"

#include "Http/BoundAddress.h"
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
#include <utility>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// The pause after a failed accept. Without it, a process that has run out of
/// descriptors would spin.
static constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(10);

/// The fraction of the maximum of connections that may be open beyond it until
/// displaced ones have ended.
static constexpr std::size_t SpareDivisor = 16;

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
  void move(ServerConnection &Client, ConnectionList &To);
  void add(tcp::socket Socket);
  void remove(const std::shared_ptr<ServerConnection> &Client);
  /// Makes room for a new connection: ends the one that has been idle longest.
  /// Without idle ones, the request that has been arriving longest gives way.
  void makeRoom();
  /// Whether no connection may be accepted until some have ended.
  bool isFull() const;

  asio::any_io_executor Executor_;
  tcp::acceptor Acceptor_;
  asio::steady_timer AcceptTimer_;
  HttpServerLimits Limits_;
  Handler Handle_;
  MalformedHook Malformed_;
  std::set<std::shared_ptr<ServerConnection>> Connections_;
  /// The connections that are idle and not yet ended, longest first.
  ConnectionList Idle_;
  /// The connections on which a request arrives and has not given way, longest
  /// first.
  ConnectionList Arriving_;
  /// All other connections.
  ConnectionList Others_;
  std::size_t Running_ = 0;
  /// The number of connections that end to make room for others.
  std::size_t Displaced_ = 0;
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

void HttpServer::Core::move(ServerConnection &Client, ConnectionList &To) {
  To.splice(To.end(), *Client.List_, Client.Place_);
  Client.List_ = &To;
}

void HttpServer::Core::makeRoom() {
  bool HasIdle = !Idle_.empty();
  ConnectionList &From = HasIdle ? Idle_ : Arriving_;
  if (From.empty())
    return;
  ServerConnection &Client = *From.front();
  move(Client, Others_);
  if (!std::exchange(Client.Displaced_, true))
    ++Displaced_;
  if (HasIdle)
    Client.end(ConnectionEnding::WhenIdle);
  else
    Client.giveWay();
}

void HttpServer::Core::add(tcp::socket Socket) {
  if (Connections_.size() - Displaced_ >= Limits_.Connections_)
    makeRoom();
  auto Client = std::make_shared<ServerConnection>(std::move(Socket), Limits_);
  Client->end(Ending_);
  Connections_.insert(Client);
  Client->List_ = &Idle_;
  Client->Place_ = Idle_.insert(Idle_.end(), Client.get());
  spawn(Executor_, serve(std::move(Client)));
}

void HttpServer::Core::remove(const std::shared_ptr<ServerConnection> &Client) {
  Client->List_->erase(Client->Place_);
  Displaced_ -= Client->Displaced_ ? 1 : 0;
  Connections_.erase(Client);
}

bool HttpServer::Core::isFull() const {
  std::size_t Spare = Limits_.Connections_ / SpareDivisor + 1;
  return Connections_.size() >= Spare &&
         Connections_.size() - Spare >= Limits_.Connections_;
}

asio::awaitable<void> HttpServer::Core::accept() {
  auto Self = shared_from_this();
  while (Ending_ != ConnectionEnding::WhenIdle) {
    if (isFull()) {
      co_await pauseFor(AcceptTimer_, AcceptRetryDelay);
      continue;
    }
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
    add(std::move(Socket));
  }
}

asio::awaitable<std::optional<HttpRequest>>
HttpServer::Core::read(ServerConnection &Client) {
  ReadOutcome Outcome = co_await readRequest(Client, Limits_);
  if (auto *Request = std::get_if<HttpRequest>(&Outcome))
    co_return std::move(*Request);
  Client.releaseRequest();
  move(Client, Others_);
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
    move(*Client, Arriving_);
    ++Running_;
    auto Request = co_await read(*Client);
    move(*Client, Others_);
    bool IsHandled = Request && !Destroyed_;
    if (IsHandled) {
      HttpExchange Exchange(*Client, std::move(*Request));
      Client->Phase_ = ConnectionPhase::Handling;
      Client->watchForDisconnect();
      co_await Handle_(Exchange);
      Client->DisconnectHandler_ = {};
      Client->UnreadHandler_ = {};
    }
    Client->releaseRequest();
    --Running_;
    Client->Phase_ = ConnectionPhase::Idle;
    if (!IsHandled || !Client->KeepAlive_ || !Client->isOpen())
      break;
    if (!Client->Displaced_)
      move(*Client, Idle_);
    // The only operation still pending is the wait for a disconnect.
    error_code Ignored;
    Client->Stream_.socket().cancel(Ignored);
  }
  move(*Client, Others_);
  bool AnnouncedClose = !Client->KeepAlive_ && Client->isOpen();
  if (AnnouncedClose)
    co_await Client->linger();
  Client->close();
  remove(Client);
}

HttpReply plainRejection(int Status, std::string_view Reason) {
  return {Status, {{"Content-Type", "text/plain"}}, std::string(Reason) + "\n"};
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
