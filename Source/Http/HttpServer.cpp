#include "Http/HttpServer.h"

#include "Http/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
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

/// The bytes that are asked for at the start of a request.
static constexpr std::size_t FirstReadBytes = 4096;

/// The answers that a connection gives at the most once its end is asked for.
static constexpr std::size_t MostAnswersSinceEnd = 32;

/// How often reads are cancelled that have gone on beyond their limit.
static constexpr Duration CancelPeriod = std::chrono::milliseconds(50);

/// How long a caller may take to close its side after the last answer.
static constexpr Duration LingerTime = std::chrono::seconds(1);

/// How far a connection is with a request.
enum class Phase { Idle, Reading, Handling, Lingering };

/// When a connection ends that its caller would keep; later values go further.
enum class Ending { None, AfterAnswer, WhenIdle };

/// The connection that an exchange belongs to. Only the coroutine that serves
/// it closes it, or the handler in it: a connection that another party closed
/// could hold a request that was taken from the socket before.
struct HttpExchange::State : std::enable_shared_from_this<HttpExchange::State> {
  explicit State(tcp::socket Socket)
      : Stream_(std::move(Socket)), ReadTimer_(Stream_.get_executor()) {}

  void close() {
    IsClosed_ = true;
    error_code Ignored;
    Stream_.socket().close(Ignored);
  }

  /// Stops the reads that follow once `Time` is over, until `clearReadLimit`.
  /// The limits of Beast's streams would close the socket.
  void limitRead(Duration Time) {
    ++ReadLimit_;
    cancelReadsAfter(Time);
  }

  void cancelReadsAfter(Duration Time) {
    ReadTimer_.expires_after(Time);
    ReadTimer_.async_wait(
        [Self = shared_from_this(), Limit = ReadLimit_](error_code Cause) {
          if (Cause || Limit != Self->ReadLimit_)
            return;
          Self->ReadTimedOut_ = true;
          Self->Stream_.cancel();
          // A read between two of its steps isn't reached by a cancel.
          Self->cancelReadsAfter(CancelPeriod);
        });
  }

  void clearReadLimit() {
    ++ReadLimit_;
    ReadTimedOut_ = false;
    ReadTimer_.cancel();
  }

  /// Asks for the end; an idle connection stops waiting for a request.
  void end(Ending When) {
    Ending_ = std::max(Ending_, When);
    if (Ending_ == Ending::WhenIdle && Phase_ == Phase::Idle)
      Stream_.cancel();
  }

  /// Whether bytes of a next request are here.
  bool hasInput() {
    error_code Cause;
    return Buffer_.size() > 0 || Stream_.socket().available(Cause) > 0;
  }

  /// Settles with an answer's head whether another request may follow it.
  bool settleKeepAlive() {
    if (Ending_ == Ending::None)
      return KeepAlive_;
    if (!hasInput() || ++AnswersSinceEnd_ >= MostAnswersSinceEnd)
      KeepAlive_ = false;
    return KeepAlive_;
  }

  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;
  asio::steady_timer ReadTimer_;
  /// The number of the latest limit, as an earlier one may still call.
  std::uint64_t ReadLimit_ = 0;
  bool ReadTimedOut_ = false;
  Phase Phase_ = Phase::Idle;
  Ending Ending_ = Ending::None;
  std::size_t AnswersSinceEnd_ = 0;
  bool KeepAlive_ = true;
  bool CallerGone_ = false;
  bool IsClosed_ = false;
  std::string Tag_;
  std::function<void()> GoneCall_;
};

struct HttpServer::Core : std::enable_shared_from_this<HttpServer::Core> {
  using Connection = HttpExchange::State;

  Core(asio::any_io_executor Executor, HttpServerLimits Limits, Handler Handle)
      : Executor_(std::move(Executor)), Acceptor_(Executor_), Limits_(Limits),
        Handle_(std::move(Handle)) {}

  asio::awaitable<void> accept();
  asio::awaitable<void> serve(std::shared_ptr<Connection> Peer);
  /// Waits for the first bytes of a request. False when there will be none.
  asio::awaitable<bool> awaitRequest(Connection &Peer);
  asio::awaitable<std::optional<HttpRequest>> read(Connection &Peer);
  /// Ends the sending side and reads on until the caller has closed its own. A
  /// socket that is closed with unread bytes resets the connection, which can
  /// take the last answer from the caller.
  asio::awaitable<void> linger(Connection &Peer);
  asio::awaitable<void> rejectMalformed(Connection &Peer, error_code Cause);
  void endAll(Ending When);

  asio::any_io_executor Executor_;
  tcp::acceptor Acceptor_;
  HttpServerLimits Limits_;
  Handler Handle_;
  MalformedHook Malformed_;
  std::set<std::shared_ptr<Connection>> Connections_;
  std::size_t Running_ = 0;
  /// What new connections begin with.
  Ending Ending_ = Ending::None;
  /// Whether the server is gone, and its handler's owner with it.
  bool Abandoned_ = false;
};

void HttpServer::Core::endAll(Ending When) {
  Ending_ = std::max(Ending_, When);
  for (const auto &Peer : Connections_)
    Peer->end(When);
}

HttpExchange::HttpExchange(State &Owner, HttpRequest Request)
    : Owner_(Owner), Request_(std::move(Request)) {}

static void copyHeaders(const HttpHeaders &From, http::fields &To) {
  for (const HttpHeader &Header : From)
    To.insert(Header.Name_, Header.Value_);
}

asio::awaitable<bool> HttpExchange::respond(HttpReply Reply) {
  Answered_ = true;
  http::response<http::string_body> Message;
  Message.version(11);
  Message.result(static_cast<unsigned>(Reply.Status_));
  copyHeaders(Reply.Headers_, Message);
  Message.body() = std::move(Reply.Body_);
  Message.keep_alive(Owner_.settleKeepAlive());
  Message.prepare_payload();
  error_code Cause;
  if (Request_.Method_ == "HEAD") {
    http::response_serializer<http::string_body> Serializer(Message);
    co_await http::async_write_header(
        Owner_.Stream_, Serializer,
        asio::redirect_error(asio::use_awaitable, Cause));
  } else {
    co_await http::async_write(
        Owner_.Stream_, Message,
        asio::redirect_error(asio::use_awaitable, Cause));
  }
  co_return !Cause;
}

asio::awaitable<bool> HttpExchange::startStream(HttpReplyHead Head) {
  Answered_ = true;
  http::response<http::empty_body> Message;
  Message.version(11);
  Message.result(static_cast<unsigned>(Head.Status_));
  copyHeaders(Head.Headers_, Message);
  Message.keep_alive(Owner_.settleKeepAlive());
  Message.chunked(true);
  http::response_serializer<http::empty_body> Serializer(Message);
  error_code Cause;
  co_await http::async_write_header(
      Owner_.Stream_, Serializer,
      asio::redirect_error(asio::use_awaitable, Cause));
  co_return !Cause;
}

asio::awaitable<bool> HttpExchange::write(std::string_view Piece) {
  if (Piece.empty() || Request_.Method_ == "HEAD")
    co_return true;
  error_code Cause;
  co_await asio::async_write(Owner_.Stream_,
                             http::make_chunk(asio::buffer(Piece)),
                             asio::redirect_error(asio::use_awaitable, Cause));
  co_return !Cause;
}

asio::awaitable<bool> HttpExchange::finishStream() {
  if (Request_.Method_ == "HEAD")
    co_return true;
  error_code Cause;
  co_await asio::async_write(Owner_.Stream_, http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, Cause));
  co_return !Cause;
}

bool HttpExchange::callerGone() const { return Owner_.CallerGone_; }

bool HttpExchange::closedByServer() const { return Owner_.IsClosed_; }

void HttpExchange::onCallerGone(std::function<void()> Call) {
  Owner_.GoneCall_ = std::move(Call);
}

void HttpExchange::abort() {
  Owner_.KeepAlive_ = false;
  Owner_.CallerGone_ = true;
  Owner_.close();
}

void HttpExchange::tag(std::string Mark) { Owner_.Tag_ = std::move(Mark); }

void HttpExchange::closeAfterwards() { Owner_.KeepAlive_ = false; }

/// Notices that a caller closes its connection while its request runs. More
/// input is a pipelined request, which waits in the socket for its turn.
static void watchCaller(std::shared_ptr<HttpExchange::State> Peer) {
  auto &Socket = Peer->Stream_.socket();
  Socket.async_wait(tcp::socket::wait_read, [Peer](error_code Cause) {
    if (Cause || Peer->Phase_ != Phase::Handling)
      return;
    char Byte = 0;
    error_code Problem;
    Peer->Stream_.socket().receive(asio::buffer(&Byte, 1),
                                   tcp::socket::message_peek, Problem);
    if (!Problem)
      return;
    Peer->CallerGone_ = true;
    if (auto Call = std::exchange(Peer->GoneCall_, {}))
      Call();
  });
}

asio::awaitable<void> HttpServer::Core::accept() {
  auto Self = shared_from_this();
  while (Ending_ != Ending::WhenIdle) {
    error_code Cause;
    tcp::socket Socket = co_await Acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, Cause));
    if (Cause == asio::error::operation_aborted)
      co_return;
    if (Cause)
      continue;
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    auto Peer = std::make_shared<Connection>(std::move(Socket));
    Peer->end(Ending_);
    Connections_.insert(Peer);
    spawn(Executor_, serve(std::move(Peer)));
  }
}

/// Takes empty lines away, which may stand before a request.
static void dropEmptyLines(beast::flat_buffer &Buffer) {
  auto Text = [&] {
    return std::string_view(static_cast<const char *>(Buffer.data().data()),
                            Buffer.size());
  };
  while (Text().starts_with("\r\n"))
    Buffer.consume(2);
}

asio::awaitable<bool> HttpServer::Core::awaitRequest(Connection &Peer) {
  Peer.limitRead(Limits_.IdleTime_);
  error_code Cause;
  dropEmptyLines(Peer.Buffer_);
  while (!Cause && Peer.Buffer_.size() == 0) {
    // A request may have come just as the wait was ended.
    bool IsEnded = Peer.Ending_ == Ending::WhenIdle || Peer.ReadTimedOut_;
    if (IsEnded && !Peer.hasInput())
      break;
    std::size_t Read = co_await Peer.Stream_.async_read_some(
        Peer.Buffer_.prepare(FirstReadBytes),
        asio::redirect_error(asio::use_awaitable, Cause));
    Peer.Buffer_.commit(Read);
    dropEmptyLines(Peer.Buffer_);
    if (Cause == asio::error::operation_aborted)
      Cause = {};
  }
  Peer.clearReadLimit();
  co_return Peer.Buffer_.size() > 0;
}

asio::awaitable<std::optional<HttpRequest>>
HttpServer::Core::read(Connection &Peer) {
  error_code Cause;
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(Limits_.HeadBytes_);
  Parser.body_limit(Limits_.BodyBytes_);
  Peer.limitRead(Limits_.RequestTime_);
  co_await http::async_read(Peer.Stream_, Peer.Buffer_, Parser,
                            asio::redirect_error(asio::use_awaitable, Cause));
  if (Cause && Peer.ReadTimedOut_)
    Cause = beast::error::timeout;
  Peer.clearReadLimit();
  if (Cause) {
    co_await rejectMalformed(Peer, Cause);
    co_return std::nullopt;
  }
  auto Message = Parser.release();
  Peer.KeepAlive_ = Message.keep_alive();
  HttpRequest Request;
  Request.Method_ = std::string(Message.method_string());
  Request.Target_ = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers_.add(std::string(Field.name_string()),
                         std::string(Field.value()));
  Request.Body_ = std::move(Message.body());
  co_return Request;
}

asio::awaitable<void> HttpServer::Core::rejectMalformed(Connection &Peer,
                                                        error_code Cause) {
  if (Cause == http::error::end_of_stream || !Malformed_ || Abandoned_)
    co_return;
  int Status = 400;
  if (Cause == http::error::body_limit)
    Status = 413;
  else if (Cause == http::error::header_limit)
    Status = 431;
  else if (Cause == beast::error::timeout)
    Status = 408;
  Peer.KeepAlive_ = false;
  HttpExchange Exchange(Peer, {});
  co_await Exchange.respond(Malformed_(Status, Cause.message()));
}

asio::awaitable<void> HttpServer::Core::linger(Connection &Peer) {
  Peer.Phase_ = Phase::Lingering;
  error_code Cause;
  Peer.Stream_.socket().cancel(Cause);
  Peer.Stream_.socket().shutdown(tcp::socket::shutdown_send, Cause);
  Peer.limitRead(LingerTime);
  while (!Cause && !Peer.ReadTimedOut_) {
    Peer.Buffer_.clear();
    co_await Peer.Stream_.async_read_some(
        Peer.Buffer_.prepare(FirstReadBytes),
        asio::redirect_error(asio::use_awaitable, Cause));
  }
  Peer.clearReadLimit();
}

asio::awaitable<void>
HttpServer::Core::serve(std::shared_ptr<Connection> Peer) {
  auto Self = shared_from_this();
  while (co_await awaitRequest(*Peer)) {
    Peer->Phase_ = Phase::Reading;
    ++Running_;
    auto Request = co_await read(*Peer);
    bool IsHandled = Request && !Abandoned_;
    if (IsHandled) {
      HttpExchange Exchange(*Peer, std::move(*Request));
      Peer->Phase_ = Phase::Handling;
      watchCaller(Peer);
      co_await Handle_(Exchange);
      Peer->GoneCall_ = {};
    }
    --Running_;
    Peer->Phase_ = Phase::Idle;
    if (!IsHandled || !Peer->KeepAlive_ || !Peer->Stream_.socket().is_open())
      break;
    // Only the watch for the caller's leaving is still pending here.
    error_code Ignored;
    Peer->Stream_.socket().cancel(Ignored);
  }
  bool AnnouncedClose = !Peer->KeepAlive_ && Peer->Stream_.socket().is_open();
  if (AnnouncedClose)
    co_await linger(*Peer);
  Peer->close();
  Connections_.erase(Peer);
}

HttpServer::HttpServer(asio::any_io_executor Executor, HttpServerLimits Limits,
                       Handler Handle)
    : Core_(std::make_shared<Core>(std::move(Executor), Limits,
                                   std::move(Handle))) {}

HttpServer::~HttpServer() {
  close();
  Core_->Abandoned_ = true;
}

void HttpServer::onMalformed(MalformedHook Hook) {
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

void HttpServer::beginDrain() { Core_->endAll(Ending::AfterAnswer); }

void HttpServer::closeTagged(
    const std::function<bool(const std::string &)> &IsEnded) {
  for (const auto &Peer : Core_->Connections_) {
    if (!Peer->Tag_.empty() && IsEnded(Peer->Tag_))
      Peer->end(Ending::WhenIdle);
  }
}

ClosedConnections HttpServer::close() {
  error_code Ignored;
  Core_->Acceptor_.close(Ignored);
  Core_->endAll(Ending::WhenIdle);
  ClosedConnections Counts;
  Counts.Kept_ = Core_->Running_;
  Counts.Closed_ = Core_->Connections_.size() - Core_->Running_;
  return Counts;
}

std::size_t HttpServer::runningRequests() const { return Core_->Running_; }

std::size_t HttpServer::openConnections() const {
  return Core_->Connections_.size();
}

} // namespace anvil
