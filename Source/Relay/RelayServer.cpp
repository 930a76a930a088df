#include "Relay/RelayServer.h"

#include "Http/BoundAddress.h"
#include "Http/MessageFraming.h"
#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Http/TunnelFrame.h"
#include "Kernel/EnumNames.h"
#include "Objects/Digest.h"
#include "Telemetry/Log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <set>
#include <utility>

namespace anvil {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// The maximum size of a request to relay, and the time for it to arrive.
static constexpr std::uint32_t HeadLimitBytes = 4096;
static constexpr Duration HeadTime = std::chrono::seconds(1);

/// The maximum number of connections that haven't asked for a target yet.
static constexpr std::size_t MaxPending = 64;

/// The maximum number of questions that are being answered.
static constexpr std::size_t MaxQuestions = 64;

/// The buffer for each direction.
static constexpr std::size_t BufferBytes = 16 * 1024;

/// The pause after a failed accept. Without it, a process that has run out of
/// descriptors would spin.
static constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(10);

/// How often connections without any bytes are looked for.
static constexpr Duration IdleCheckPeriod = std::chrono::seconds(5);

/// A pair of connections.
struct RelayServer::Tunnel {
  Tunnel(tcp::socket Asker, tcp::socket Target, RelayRequest Request)
      : Asker_(std::move(Asker)), Target_(std::move(Target)),
        Request_(std::move(Request)) {}

  /// Closes both sides. Unless the target's end has been passed on, the asking
  /// VM's is reset.
  void close() {
    error_code Ignored;
    Asker_.close(Ignored);
    Target_.close(Ignored);
  }

  /// Sets whether the end of the asking VM's connection is a reset, also if
  /// this process ends.
  void setEndIsReset(bool IsReset) {
    error_code Ignored;
    Asker_.set_option(asio::socket_base::linger(IsReset, 0), Ignored);
  }

  tcp::socket Asker_;
  tcp::socket Target_;
  RelayRequest Request_;
  TimePoint OpenedAt_ = BootClock::now();
  TimePoint ActiveAt_ = OpenedAt_;
  std::uint64_t BytesToTarget_ = 0;
  std::uint64_t BytesToAsker_ = 0;
  /// The connections still being read.
  int Readers_ = 2;
  /// Whether bytes are being sent to the asking VM, and whether it is to be
  /// told afterwards that it may send no further request.
  bool IsSending_ = false;
  bool IsRetireDue_ = false;
};

struct RelayServer::Core : std::enable_shared_from_this<RelayServer::Core> {
  Core(asio::any_io_executor Executor, RelayServerOptions Options,
       std::shared_ptr<Metrics> Counts, ResolveHook Resolve,
       ConfirmHook Confirm, AnswerHook Answer, NoticeHook Notice)
      : Executor_(std::move(Executor)), Acceptor_(Executor_),
        AcceptTimer_(Executor_), Options_(std::move(Options)),
        Counts_(std::move(Counts)), Resolve_(std::move(Resolve)),
        Confirm_(std::move(Confirm)), Answer_(std::move(Answer)),
        Notice_(std::move(Notice)) {}

  asio::awaitable<void> accept();
  asio::awaitable<void> serve(tcp::socket Asker);
  Resolution resolve(const std::optional<RelayRequest> &Request);
  asio::awaitable<void> refuse(beast::tcp_stream &Asker, RelayDenial Denial,
                               const std::optional<RelayRequest> &Request);
  asio::awaitable<void> answer(beast::tcp_stream &Asker, RelayRequest Request,
                               Endpoint Address);
  asio::awaitable<void> acceptNotice(beast::tcp_stream &Sender,
                                     RelayNotice Notice);
  asio::awaitable<void> sendHead(beast::tcp_stream &To, HttpReply Reply);
  asio::awaitable<void> open(tcp::socket Asker, tcp::socket Target,
                             RelayRequest Request, std::string Finding);
  asio::awaitable<void> pass(std::shared_ptr<Tunnel> Pair, bool ToTarget);
  void end(const std::shared_ptr<Tunnel> &Pair);
  /// Records that what was sent to the asking VM has been written.
  void endSend(Tunnel &Pair);
  void retire(Tunnel &Pair);
  void closeIdle(TimePoint Now);

  asio::any_io_executor Executor_;
  tcp::acceptor Acceptor_;
  asio::steady_timer AcceptTimer_;
  RelayServerOptions Options_;
  std::shared_ptr<Metrics> Counts_;
  ResolveHook Resolve_;
  ConfirmHook Confirm_;
  AnswerHook Answer_;
  NoticeHook Notice_;
  std::set<std::shared_ptr<Tunnel>> Tunnels_;
  /// Connections that are being opened, and requests that arrive.
  std::size_t Opening_ = 0;
  std::size_t Pending_ = 0;
  std::size_t Questions_ = 0;
  bool Draining_ = false;
  bool Closed_ = false;
  TimerService::Subscription IdleCheck_;
};

asio::awaitable<void> RelayServer::Core::accept() {
  auto Self = shared_from_this();
  while (!Closed_) {
    error_code Cause;
    tcp::socket Asker = co_await Acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, Cause));
    if (Cause == asio::error::operation_aborted)
      co_return;
    if (Cause) {
      co_await pauseFor(AcceptTimer_, AcceptRetryDelay);
      continue;
    }
    // One that is closed unread has failed without a byte sent to a target.
    if (Pending_ < MaxPending)
      spawn(Executor_, serve(std::move(Asker)));
  }
}

RelayServer::Resolution
RelayServer::Core::resolve(const std::optional<RelayRequest> &Request) {
  if (!Request)
    return RelayRefusal::Malformed;
  if (!equalInConstantTime(Request->Key_, Options_.Key_))
    return RelayRefusal::Forbidden;
  // A question takes no connection of another VM, and is answered soon.
  bool IsQuestion = Request->Question_ && Answer_;
  if (Closed_ || (Draining_ && !IsQuestion))
    return RelayRefusal::Stopping;
  bool IsFull = IsQuestion ? Questions_ >= MaxQuestions
                           : Tunnels_.size() + Opening_ >= Options_.MaxTunnels_;
  if (IsFull)
    return RelayRefusal::Full;
  return Resolve_(*Request);
}

/// Whether the head says that a body follows, or doesn't show where it ends.
/// Its bytes would go to the target.
static bool statesBody(const http::request_parser<http::empty_body> &Head) {
  FramingOutcome Stated = MessageFraming::of(Head).request();
  const auto *Body = std::get_if<StatedBody>(&Stated);
  return !Body || Body->Framing_ != BodyFraming::None;
}

asio::awaitable<void> RelayServer::Core::serve(tcp::socket Asker) {
  auto Self = shared_from_this();
  ++Pending_;
  error_code Cause;
  Asker.set_option(tcp::no_delay(true), Cause);
  beast::tcp_stream Stream(std::move(Asker));
  beast::flat_buffer Buffer(HeadLimitBytes);
  http::request_parser<http::empty_body> Parser;
  Parser.header_limit(HeadLimitBytes);
  Stream.expires_after(HeadTime);
  co_await http::async_read_header(
      Stream, Buffer, Parser, asio::redirect_error(asio::use_awaitable, Cause));
  --Pending_;
  if (Cause)
    co_return;
  if (statesBody(Parser))
    co_return co_await refuse(Stream, RelayRefusal::Malformed, std::nullopt);
  HttpHeaders Headers;
  for (const auto &Field : Parser.get())
    Headers.add(std::string(Field.name_string()), std::string(Field.value()));
  std::string Method(Parser.get().method_string());
  if (auto Notice = decodeRelayNotice(Method, Headers))
    co_return co_await acceptNotice(Stream, std::move(*Notice));
  auto Request = decodeRelayRequest(Method, Headers);
  // Bytes after the request can't be passed on before its answer.
  if (Buffer.size() > 0)
    Request.reset();
  Resolution Found = resolve(Request);
  if (const auto *Denial = std::get_if<RelayDenial>(&Found))
    co_return co_await refuse(Stream, *Denial, Request);
  const Endpoint Address = std::get<Endpoint>(Found);
  if (Request->Question_ && Answer_)
    co_return co_await answer(Stream, std::move(*Request), Address);
  beast::tcp_stream Target(Executor_);
  auto Number = asio::ip::make_address(Address.Address_, Cause);
  ++Opening_;
  if (!Cause) {
    Target.expires_after(Options_.ConnectTime_);
    co_await Target.async_connect(
        tcp::endpoint(Number, Address.Port_),
        asio::redirect_error(asio::use_awaitable, Cause));
  }
  if (Cause || Closed_) {
    --Opening_;
    co_return co_await refuse(Stream, RelayRefusal::Unreached, Request);
  }
  error_code Ignored;
  Target.socket().set_option(tcp::no_delay(true), Ignored);
  std::string Finding;
  if (Request->AsksIncarnation_)
    Finding = co_await Confirm_(*Request, Address);
  --Opening_;
  if (Closed_)
    co_return;
  co_await open(Stream.release_socket(), Target.release_socket(),
                std::move(*Request), std::move(Finding));
}

asio::awaitable<void>
RelayServer::Core::refuse(beast::tcp_stream &Asker, RelayDenial Denial,
                          const std::optional<RelayRequest> &Request) {
  std::string_view Reason = enumName(Denial.Why_, RelayRefusalNames);
  Counts_->count("anvil_relay_refusals_total",
                 {{"reason", std::string(Reason)}});
  logEvent(LogLevel::Info, "relay_refused",
           {{"from", Request ? Request->Vm_ : ""},
            {"tunnel", Request ? Request->Tunnel_ : ""},
            {"request", Request ? Request->RequestId_ : ""},
            {"target", Request ? Request->Target_ : ""},
            {"reason", Reason},
            {"retry_ms", toMillis(Denial.RetryAfter_)},
            {"tunnels", Tunnels_.size()}});
  HttpReply Reply = encodeRelayRefusal(Denial);
  co_await sendHead(Asker, std::move(Reply));
}

asio::awaitable<void> RelayServer::Core::answer(beast::tcp_stream &Asker,
                                                RelayRequest Request,
                                                Endpoint Address) {
  TimePoint Since = BootClock::now();
  ++Questions_;
  auto Answer = co_await Answer_(Request, Address);
  --Questions_;
  if (!Answer)
    co_return co_await refuse(Asker, RelayRefusal::Unreached, Request);
  Counts_->count("anvil_relay_answers_total", {{"sign", Answer->Sign_}});
  logEvent(LogLevel::Info, "relay_answered",
           {{"from", Request.Vm_},
            {"request", Request.RequestId_},
            {"target", Request.Target_},
            {"sign", Answer->Sign_},
            {"took_ms", toMillis(BootClock::now() - Since)}});
  HttpReply Reply = encodeRelayAnswer(*Answer);
  co_await sendHead(Asker, std::move(Reply));
}

asio::awaitable<void> RelayServer::Core::acceptNotice(beast::tcp_stream &Sender,
                                                      RelayNotice Notice) {
  if (!equalInConstantTime(Notice.Key_, Options_.Key_))
    co_return co_await refuse(Sender, RelayRefusal::Forbidden, std::nullopt);
  Notice_(Notice);
  constexpr int NoContent = 204;
  HttpReply Reply{NoContent, {}, ""};
  co_await sendHead(Sender, std::move(Reply));
}

asio::awaitable<void> RelayServer::Core::sendHead(beast::tcp_stream &To,
                                                  HttpReply Reply) {
  http::response<http::empty_body> Message;
  Message.version(11);
  Message.result(static_cast<unsigned>(Reply.Status_));
  for (const HttpHeader &Header : Reply.Headers_)
    Message.insert(Header.Name_, Header.Value_);
  Message.keep_alive(false);
  if (Message.result() != http::status::no_content)
    Message.content_length(0);
  error_code Ignored;
  To.expires_after(HeadTime);
  co_await http::async_write(
      To, Message, asio::redirect_error(asio::use_awaitable, Ignored));
}

asio::awaitable<void> RelayServer::Core::open(tcp::socket Asker,
                                              tcp::socket Target,
                                              RelayRequest Request,
                                              std::string Finding) {
  http::response<http::empty_body> Message;
  Message.version(11);
  Message.result(http::status::ok);
  if (!Finding.empty())
    Message.insert(std::string(RelayFindingHeader), Finding);
  if (Request.AsksFrames_)
    Message.insert(std::string(TunnelFramingHeader),
                   std::string(TunnelFramingVersion));
  auto Pair = std::make_shared<Tunnel>(std::move(Asker), std::move(Target),
                                       std::move(Request));
  error_code Cause;
  Pair->Asker_.set_option(asio::socket_base::keep_alive(true), Cause);
  Pair->setEndIsReset(true);
  // The asking VM knows of the tunnel as soon as it has the answer, so from
  // then on word for its target must find it.
  Tunnels_.insert(Pair);
  Pair->IsSending_ = true;
  co_await http::async_write(Pair->Asker_, Message,
                             asio::redirect_error(asio::use_awaitable, Cause));
  if (Cause) {
    Pair->close();
    Tunnels_.erase(Pair);
    co_return;
  }
  endSend(*Pair);
  Counts_->count("anvil_relayed_connections_total");
  Counts_->gauge("anvil_relay_tunnels", {},
                 static_cast<double>(Tunnels_.size()));
  logEvent(LogLevel::Info, "relay_opened",
           {{"from", Pair->Request_.Vm_},
            {"tunnel", Pair->Request_.Tunnel_},
            {"request", Pair->Request_.RequestId_},
            {"target", Pair->Request_.Target_},
            {"tunnels", Tunnels_.size()}});
  spawn(Executor_, pass(Pair, true));
  spawn(Executor_, pass(Pair, false));
}

asio::awaitable<void> RelayServer::Core::pass(std::shared_ptr<Tunnel> Pair,
                                              bool ToTarget) {
  auto Self = shared_from_this();
  tcp::socket &From = ToTarget ? Pair->Asker_ : Pair->Target_;
  tcp::socket &To = ToTarget ? Pair->Target_ : Pair->Asker_;
  std::uint64_t &Bytes = ToTarget ? Pair->BytesToTarget_ : Pair->BytesToAsker_;
  bool IsFramed = !ToTarget && Pair->Request_.AsksFrames_;
  std::array<char, TunnelFrameHeadBytes> FrameHead{};
  std::size_t HeadBytes = IsFramed ? TunnelFrameHeadBytes : 0;
  std::array<char, BufferBytes> Buffer;
  error_code ReadCause;
  error_code WriteCause;
  while (!ReadCause && !WriteCause) {
    std::size_t Read = co_await From.async_read_some(
        asio::buffer(Buffer),
        asio::redirect_error(asio::use_awaitable, ReadCause));
    if (Read == 0)
      continue;
    Pair->ActiveAt_ = BootClock::now();
    Bytes += Read;
    FrameHead = encodeTunnelFrameHead(TunnelFrame::Data, Read);
    std::array<asio::const_buffer, 2> Parts{
        asio::buffer(FrameHead.data(), HeadBytes),
        asio::buffer(Buffer.data(), Read)};
    if (!ToTarget)
      Pair->IsSending_ = true;
    co_await asio::async_write(
        To, Parts, asio::redirect_error(asio::use_awaitable, WriteCause));
    if (!ToTarget && !WriteCause)
      endSend(*Pair);
  }
  bool IsOrderlyEnd = ReadCause == asio::error::eof && !WriteCause;
  // What the target sent may have no length and end with its connection, so
  // only its orderly end may look like one.
  if (!ToTarget && IsOrderlyEnd) {
    Pair->IsSending_ = true;
    FrameHead = encodeTunnelFrameHead(TunnelFrame::End, 0);
    co_await asio::async_write(
        To, asio::buffer(FrameHead.data(), HeadBytes),
        asio::redirect_error(asio::use_awaitable, WriteCause));
    Pair->setEndIsReset(false);
    error_code Ignored;
    Pair->Asker_.shutdown(tcp::socket::shutdown_send, Ignored);
  } else {
    Pair->close();
  }
  if (--Pair->Readers_ == 0)
    end(Pair);
}

void RelayServer::Core::end(const std::shared_ptr<Tunnel> &Pair) {
  Tunnels_.erase(Pair);
  Counts_->gauge("anvil_relay_tunnels", {},
                 static_cast<double>(Tunnels_.size()));
  Counts_->count("anvil_relayed_bytes_total", {{"to", "target"}},
                 static_cast<double>(Pair->BytesToTarget_));
  Counts_->count("anvil_relayed_bytes_total", {{"to", "vm"}},
                 static_cast<double>(Pair->BytesToAsker_));
  logEvent(LogLevel::Debug, "relay_closed",
           {{"from", Pair->Request_.Vm_},
            {"tunnel", Pair->Request_.Tunnel_},
            {"target", Pair->Request_.Target_},
            {"to_target_bytes", Pair->BytesToTarget_},
            {"to_vm_bytes", Pair->BytesToAsker_},
            {"lasted_ms", toMillis(BootClock::now() - Pair->OpenedAt_)}});
}

void RelayServer::Core::endSend(Tunnel &Pair) {
  Pair.IsSending_ = false;
  if (std::exchange(Pair.IsRetireDue_, false))
    retire(Pair);
}

void RelayServer::Core::retire(Tunnel &Pair) {
  if (!Pair.Request_.AsksFrames_)
    return;
  if (Pair.IsSending_) {
    Pair.IsRetireDue_ = true;
    return;
  }
  auto Head = encodeTunnelFrameHead(TunnelFrame::Retire, 0);
  error_code Cause;
  Pair.Asker_.non_blocking(true, Cause);
  std::size_t Sent = Pair.Asker_.write_some(asio::buffer(Head), Cause);
  // A VM that doesn't read has an answer under way, which this ends.
  if (Cause || Sent < Head.size())
    Pair.close();
}

void RelayServer::Core::closeIdle(TimePoint Now) {
  for (const auto &Pair : Tunnels_)
    if (Pair->ActiveAt_ + Options_.IdleTime_ <= Now)
      Pair->close();
}

RelayServer::RelayServer(asio::any_io_executor Executor, TimerService &Timers,
                         RelayServerOptions Options,
                         std::shared_ptr<Metrics> Counts, ResolveHook Resolve,
                         ConfirmHook Confirm, AnswerHook Answer,
                         NoticeHook Notice)
    : Core_(std::make_shared<Core>(std::move(Executor), std::move(Options),
                                   std::move(Counts), std::move(Resolve),
                                   std::move(Confirm), std::move(Answer),
                                   std::move(Notice))) {
  Core_->IdleCheck_ =
      Timers.every(IdleCheckPeriod, BootClock::now(),
                   [this](TimePoint Now) { Core_->closeIdle(Now); });
}

RelayServer::~RelayServer() { close(); }

Status RelayServer::bind(const Endpoint &Address) {
  return bindAcceptor(Core_->Acceptor_, Address);
}

Status RelayServer::listen(const Endpoint &Address) {
  Status Listening = listenAt(Core_->Acceptor_, Address);
  if (!isOk(Listening))
    return Listening;
  spawn(Core_->Executor_, Core_->accept());
  return std::monostate{};
}

std::uint16_t RelayServer::port() const {
  error_code Ignored;
  return Core_->Acceptor_.local_endpoint(Ignored).port();
}

void RelayServer::beginDrain() { Core_->Draining_ = true; }

void RelayServer::retire(const std::string &Target, std::int64_t Incarnation) {
  for (const auto &Pair : Core_->Tunnels_)
    if (Pair->Request_.Target_ == Target &&
        Pair->Request_.Incarnation_ == Incarnation)
      Core_->retire(*Pair);
}

void RelayServer::close() {
  Core_->Closed_ = true;
  Core_->IdleCheck_.cancel();
  error_code Ignored;
  Core_->Acceptor_.close(Ignored);
  Core_->AcceptTimer_.cancel();
  for (const auto &Pair : Core_->Tunnels_)
    Pair->close();
}

std::size_t RelayServer::openTunnels() const {
  return Core_->Tunnels_.size() + Core_->Opening_;
}

} // namespace anvil
