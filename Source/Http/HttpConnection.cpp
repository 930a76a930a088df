#include "Http/HttpConnection.h"

#include "Http/AcknowledgedBytes.h"
#include "Http/MessageFraming.h"
#include "Http/TunnelDecoder.h"
#include "Kernel/EnumNames.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <limits>
#include <memory>
#include <optional>

namespace anvil {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

/// The maximum size of a part of a body, in bytes.
static constexpr std::size_t PartBytes = 16 * 1024;

/// The maximum size of the head of a response, in bytes.
static constexpr std::uint32_t HeadLimitBytes = 64 * 1024;

/// The maximum number of header fields of a response, its trailer included.
/// Each takes far more memory than the few bytes it can have on the wire.
static constexpr std::ptrdiff_t MaxFields = 256;

/// The memory of a header field besides its text, in bytes.
static constexpr std::size_t FieldBytes = 160;

/// The maximum size of what has arrived and can't be parsed yet: a head, or the
/// size line or the trailer of chunks.
static constexpr std::size_t BufferLimitBytes = HeadLimitBytes;

/// The statuses of interim responses and of final ones. One beyond them isn't
/// a response in the protocol, nor is a change to another protocol, for which
/// nobody has asked.
static constexpr unsigned MinInterimStatus = 100;
static constexpr unsigned SwitchingProtocols = 101;
static constexpr unsigned MinFinalStatus = 200;
static constexpr unsigned MaxFinalStatus = 599;

/// The size of the first read of a head.
static constexpr std::size_t ReadBytes = 4096;

/// What the buffer of an idle connection may keep.
static constexpr std::size_t IdleBufferBytes = 4096;

struct HttpConnection::State {
  State(const asio::any_io_executor &Executor,
        std::shared_ptr<BufferBudget> Budget)
      : Stream_(Executor),
        Share_(std::move(Budget), [this] { closeSocket(); }) {}

  /// How many bytes the parser must be given at least. Later parts of a body
  /// aren't held back.
  std::size_t minBodyBytes() const {
    return Parser_->chunked() && !HasBodyBegun_ ? MinChunkedBytes : 1;
  }

  void closeSocket() {
    Open_ = false;
    error_code Ignored;
    Stream_.socket().close(Ignored);
    Route_.reset();
  }

  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_{BufferLimitBytes};
  BufferShare Share_;
  std::optional<http::response_parser<http::buffer_body>> Parser_;
  std::string Server_;
  CarriedRequests Carried_;
  std::optional<std::int64_t> ServerIncarnation_;
  std::unique_ptr<RelayedRoute> Route_;
  /// Whether another server passes the bytes on, and the frames in which they
  /// come if it sends them so.
  bool IsThroughProxy_ = false;
  std::optional<TunnelDecoder> Frames_;
  bool HasLargeParts_ = false;
  /// Whether the parser has been given bytes of the current body.
  bool HasBodyBegun_ = false;
  bool Open_ = false;
  bool RequestSent_ = false;
};

HttpConnection::HttpConnection() = default;
HttpConnection::HttpConnection(std::shared_ptr<BufferBudget> Budget)
    : Budget_(std::move(Budget)) {}
HttpConnection::~HttpConnection() = default;
HttpConnection::HttpConnection(HttpConnection &&) noexcept = default;
HttpConnection &HttpConnection::operator=(HttpConnection &&) noexcept = default;

static std::ptrdiff_t
fieldCount(const http::response_parser<http::buffer_body> &Parser) {
  return std::distance(Parser.get().begin(), Parser.get().end());
}

/// The memory of a parsed head.
static std::size_t
headMemory(const http::response_parser<http::buffer_body> &Parser) {
  std::size_t Bytes = 0;
  for (const auto &Field : Parser.get())
    Bytes += FieldBytes + Field.name_string().size() + Field.value().size();
  return Bytes;
}

/// The framing that the head of a response states, or why it shows none.
static FramingOutcome
statedBody(const http::response_parser<http::buffer_body> &Head,
           bool MayHaveBody) {
  auto Outcome =
      MessageFraming::of(Head).response(Head.get().result_int(), MayHaveBody);
  // Nothing is read of a body that there isn't.
  return Head.is_done() ? Outcome : confirm(Outcome, Head);
}

static Error networkError(const std::string &Server, const error_code &Cause) {
  if (Cause == beast::error::timeout)
    return {ErrorCode::Timeout, Server, "no response before the timeout", ""};
  if (Cause == http::error::header_limit ||
      Cause == http::error::buffer_overflow)
    return {ErrorCode::TooLarge, Server, "sent a head or framing without end",
            ""};
  bool IsParse = Cause.category() ==
                     http::make_error_code(http::error::bad_field).category() &&
                 Cause != http::error::end_of_stream &&
                 Cause != http::error::partial_message;
  if (IsParse)
    return {ErrorCode::Protocol, Server, Cause.message(), ""};
  return {ErrorCode::ConnectionClosed, Server, Cause.message(), ""};
}

asio::awaitable<Status> HttpConnection::open(const Endpoint &Server,
                                             Duration Timeout) {
  State_ = std::make_unique<State>(co_await asio::this_coro::executor, Budget_);
  State_->Server_ = Server.text();
  error_code Cause;
  auto Address = asio::ip::make_address(Server.Address_, Cause);
  if (!Cause) {
    State_->Stream_.expires_after(Timeout);
    co_await State_->Stream_.async_connect(
        asio::ip::tcp::endpoint(Address, Server.Port_),
        asio::redirect_error(asio::use_awaitable, Cause));
  }
  if (Cause == beast::error::timeout)
    co_return Error{ErrorCode::Timeout, State_->Server_,
                    "could not connect before the timeout", ""};
  if (Cause)
    co_return Error{ErrorCode::Unavailable, State_->Server_, Cause.message(),
                    ""};
  error_code Ignored;
  State_->Stream_.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
  State_->Open_ = true;
  co_return std::monostate{};
}

asio::awaitable<Result<HttpReplyHead>>
HttpConnection::openThrough(const Endpoint &Proxy, const HttpRequest &Connect,
                            const Endpoint &Server, Duration Timeout) {
  TimePoint Deadline = BootClock::now() + Timeout;
  Status Opened = co_await open(Proxy, Timeout);
  if (!isOk(Opened))
    co_return errorOf(Opened);
  auto Head = co_await exchange(Connect, Deadline - BootClock::now());
  if (!isOk(Head))
    co_return Head;
  constexpr int Established = 200;
  if (valueOf(Head).Status_ != Established) {
    close();
    co_return Head;
  }
  // A server says nothing before it has a request, so no bytes are buffered.
  State_->Parser_.reset();
  State_->IsThroughProxy_ = true;
  if (valueOf(Head).Headers_.find(TunnelFramingHeader) == TunnelFramingVersion)
    State_->Frames_.emplace();
  State_->RequestSent_ = false;
  State_->Server_ = Server.text();
  co_return Head;
}

const RelayedRoute *HttpConnection::route() const {
  return State_ ? State_->Route_.get() : nullptr;
}

void HttpConnection::setRoute(std::unique_ptr<RelayedRoute> Route) {
  State_->Route_ = std::move(Route);
}

std::optional<std::uint64_t> HttpConnection::acknowledgedBytes() const {
  if (!State_ || !State_->Open_)
    return std::nullopt;
  std::uint64_t Bytes =
      anvil::acknowledgedBytes(State_->Stream_.socket().native_handle());
  if (Bytes == 0)
    return std::nullopt;
  return Bytes;
}

asio::awaitable<Result<HttpReplyHead>>
HttpConnection::exchange(const HttpRequest &Request, std::string_view Body,
                         Duration Timeout) {
  // The body is not copied: the connection may wait long for the response.
  http::request<http::span_body<const char>> Message;
  Message.method_string(Request.Method_);
  Message.target(Request.Target_);
  Message.version(11);
  if (!Request.Headers_.find("Host"))
    Message.set(http::field::host, State_->Server_);
  for (const HttpHeader &Header : Request.Headers_)
    Message.insert(Header.Name_, Header.Value_);
  Message.body() = {Body.data(), Body.size()};
  // Unlike `prepare_payload`, this throws for no method.
  bool NamesLength = !Body.empty() || Message.method() == http::verb::options ||
                     Message.method() == http::verb::post ||
                     Message.method() == http::verb::put;
  if (NamesLength)
    Message.content_length(Body.size());

  State_->RequestSent_ = true;
  State_->Stream_.expires_after(Timeout);
  error_code Cause;
  co_await http::async_write(State_->Stream_, Message,
                             asio::redirect_error(asio::use_awaitable, Cause));
  if (Cause) {
    close();
    co_return networkError(State_->Server_, Cause);
  }
  co_return co_await readHead(Request.Method_ != "HEAD");
}

asio::awaitable<Result<HttpReplyHead>>
HttpConnection::readNextResponse(Duration Timeout) {
  State_->Stream_.expires_after(Timeout);
  co_return co_await readHead(true);
}

asio::awaitable<Result<HttpReplyHead>> HttpConnection::readHead(bool HasBody) {
  std::size_t HeadBytes = 0;
  while (true) {
    Status Parsed = co_await parseHead(HasBody, HeadBytes);
    if (!isOk(Parsed))
      co_return errorOf(Parsed);
    unsigned Code = State_->Parser_->get().result_int();
    // Interim responses come before the final one.
    bool IsInterim = Code >= MinInterimStatus && Code < MinFinalStatus &&
                     Code != SwitchingProtocols;
    if (IsInterim)
      continue;
    if (Code >= MinFinalStatus && Code <= MaxFinalStatus)
      co_return takeHead();
    close();
    co_return Error{ErrorCode::Protocol, State_->Server_,
                    "sent the status " + std::to_string(Code), ""};
  }
}

asio::awaitable<Status> HttpConnection::parseHead(bool HasBody,
                                                  std::size_t &HeadBytes) {
  State_->Parser_.emplace();
  State_->HasBodyBegun_ = false;
  State_->Parser_->header_limit(HeadLimitBytes);
  // Callers limit the size themselves as they read the parts.
  State_->Parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  State_->Parser_->skip(!HasBody);
  // The parser itself limits a line of the head, but not their number.
  error_code Cause;
  while (!Cause && !State_->Parser_->is_header_done()) {
    Cause = http::error::need_more;
    if (State_->Buffer_.size() > 0) {
      std::size_t Used = State_->Parser_->put(State_->Buffer_.data(), Cause);
      if (hasFoldedLine(
              {static_cast<const char *>(State_->Buffer_.data().data()), Used}))
        Cause = http::error::bad_line_ending;
      State_->Buffer_.consume(Used);
      HeadBytes += Used;
    }
    bool Fits = HeadBytes <= HeadLimitBytes && fitsLimits();
    if (!Fits)
      co_return tooManyFields();
    if (Cause == http::error::need_more)
      Cause = co_await receive();
    if (Cause == asio::error::eof)
      Cause = State_->Parser_->got_some() ? http::error::partial_message
                                          : http::error::end_of_stream;
  }
  if (Cause) {
    close();
    co_return networkError(State_->Server_, Cause);
  }
  FramingOutcome Stated = statedBody(*State_->Parser_, HasBody);
  if (const auto *Fault = std::get_if<FramingFault>(&Stated)) {
    close();
    co_return Error{ErrorCode::Protocol, State_->Server_,
                    std::string(enumName(*Fault, FramingFaultNames)), ""};
  }
  co_return std::monostate{};
}

asio::awaitable<error_code> HttpConnection::receive() {
  beast::flat_buffer &Buffer = State_->Buffer_;
  std::optional<TunnelDecoder> &Frames = State_->Frames_;
  std::size_t Room = BufferLimitBytes - Buffer.size();
  if (Room == 0)
    co_return http::error::buffer_overflow;
  std::size_t Size =
      std::min(Room, std::max(ReadBytes, Buffer.capacity() - Buffer.size()));
  // A frame's head may arrive without any byte of the server.
  std::size_t Received = 0;
  while (Received == 0) {
    if (Frames && Frames->hasEnded())
      co_return asio::error::eof;
    error_code Cause;
    auto Prepared = Buffer.prepare(Size);
    std::size_t Read = co_await State_->Stream_.async_read_some(
        Prepared, asio::redirect_error(asio::use_awaitable, Cause));
    // The end of the connection shows only that of the relay.
    if (Cause == asio::error::eof && State_->IsThroughProxy_)
      co_return asio::error::connection_reset;
    if (Cause)
      co_return Cause;
    auto Decoded =
        Frames ? Frames->decode(static_cast<char *>(Prepared.data()), Read)
               : std::optional(Read);
    if (!Decoded)
      co_return http::error::bad_chunk;
    Received = *Decoded;
  }
  Buffer.commit(Received);
  co_return error_code();
}

Result<HttpReplyHead> HttpConnection::takeHead() {
  if (!fitsLimits())
    return tooManyFields();
  HttpReplyHead Head;
  const auto &Response = State_->Parser_->get();
  Head.Status_ = static_cast<int>(Response.result_int());
  for (const auto &Field : Response)
    Head.Headers_.add(std::string(Field.name_string()),
                      std::string(Field.value()));
  return Head;
}

Error HttpConnection::tooManyFields() const {
  return {ErrorCode::TooLarge, State_->Server_,
          "sent too many headers, or there is no memory for them", ""};
}

bool HttpConnection::countBuffers() {
  std::size_t Bytes = State_->Buffer_.capacity();
  // The head is copied to the caller's reply.
  if (State_->Parser_)
    Bytes += 2 * headMemory(*State_->Parser_);
  return State_->Share_.resize(Bytes);
}

bool HttpConnection::fitsLimits() {
  bool Fits = fieldCount(*State_->Parser_) <= MaxFields && countBuffers();
  if (!Fits) {
    State_->Parser_.reset();
    close();
  }
  return Fits;
}

std::size_t HttpConnection::reservePart() {
  auto Remaining = State_->Parser_->content_length_remaining();
  if (!State_->HasLargeParts_ || !Remaining || *Remaining <= PartBytes)
    return PartBytes;
  auto Size = static_cast<std::size_t>(
      std::min<std::uint64_t>(*Remaining, BufferLimitBytes));
  State_->Buffer_.reserve(Size);
  return Size;
}

asio::awaitable<Result<std::string>>
HttpConnection::readPart(Duration Timeout) {
  TimePoint Deadline = BootClock::now() + Timeout;
  while (State_->Parser_ && !State_->Parser_->is_done()) {
    auto &Parser = *State_->Parser_;
    // The stream's own timer never fires while bytes keep arriving.
    Duration Left = Deadline - BootClock::now();
    if (Left <= Duration::zero()) {
      close();
      co_return networkError(State_->Server_, beast::error::timeout);
    }
    std::size_t Size = reservePart();
    auto Piece = std::make_unique_for_overwrite<char[]>(Size);
    Parser.get().body().data = Piece.get();
    Parser.get().body().size = Size;
    error_code Cause = http::error::need_more;
    if (State_->Buffer_.size() >= State_->minBodyBytes()) {
      State_->HasBodyBegun_ = true;
      State_->Buffer_.consume(Parser.put(State_->Buffer_.data(), Cause));
    }
    if (Cause == http::error::need_more) {
      State_->Stream_.expires_after(Left);
      Cause = co_await receive();
      if (Cause == asio::error::eof) {
        Cause = {};
        Parser.put_eof(Cause);
      }
    }
    if (Cause == http::error::need_buffer)
      Cause = {};
    if (Cause) {
      close();
      co_return networkError(State_->Server_, Cause);
    }
    std::size_t Read = Size - Parser.get().body().size;
    if (!fitsLimits())
      break;
    if (Read > 0)
      co_return std::string(Piece.get(), Read);
  }
  if (!State_->Parser_)
    co_return tooManyFields();
  State_->Stream_.expires_never();
  co_return std::string();
}

asio::awaitable<Status> HttpConnection::readBody(ReceivedBody &Body,
                                                 TimePoint Deadline,
                                                 Duration Silence) {
  if (auto Length = State_->Parser_->content_length())
    Body.expect(*Length);
  while (true) {
    auto Part =
        co_await readPart(std::min(Deadline - BootClock::now(), Silence));
    if (!isOk(Part))
      co_return errorOf(Part);
    if (valueOf(Part).empty())
      co_return std::monostate{};
    Status Appended = Body.append(valueOf(Part));
    if (!isOk(Appended)) {
      close();
      co_return Appended;
    }
  }
}

void HttpConnection::readLargeParts() { State_->HasLargeParts_ = true; }

void HttpConnection::releaseBuffers() {
  if (!State_ || State_->Buffer_.capacity() <= IdleBufferBytes)
    return;
  State_->Buffer_.shrink_to_fit();
  countBuffers();
}

BodyFraming HttpConnection::framing() const {
  if (!State_ || !State_->Parser_ || !State_->Parser_->is_header_done())
    return BodyFraming::None;
  const auto &Parser = *State_->Parser_;
  if (Parser.chunked())
    return BodyFraming::Chunks;
  if (Parser.need_eof())
    return BodyFraming::UntilClose;
  return Parser.content_length().value_or(0) > 0 ? BodyFraming::Length
                                                 : BodyFraming::None;
}

std::optional<std::int64_t> HttpConnection::serverIncarnation() const {
  return State_->ServerIncarnation_;
}

void HttpConnection::setServerIncarnation(std::int64_t Incarnation) {
  State_->ServerIncarnation_ = Incarnation;
}

CarriedRequests &HttpConnection::carried() { return State_->Carried_; }

const CarriedRequests &HttpConnection::carried() const {
  return State_->Carried_;
}

bool HttpConnection::requestSent() const {
  return State_ && State_->RequestSent_;
}

bool HttpConnection::reusable() const {
  if (!State_ || !State_->Open_)
    return false;
  if (!State_->Parser_)
    return !State_->RequestSent_;
  return State_->Parser_->is_done() && State_->Parser_->keep_alive();
}

bool HttpConnection::isIdle() const {
  if (!reusable() || State_->Buffer_.size() > 0)
    return false;
  if (State_->Frames_ && !State_->Frames_->takesRequests())
    return false;
  auto &Socket = State_->Stream_.socket();
  error_code Cause;
  Socket.non_blocking(true, Cause);
  char Byte = 0;
  Socket.receive(asio::buffer(&Byte, 1), asio::socket_base::message_peek,
                 Cause);
  return Cause == asio::error::would_block;
}

void HttpConnection::close() {
  if (!State_)
    return;
  State_->closeSocket();
}

asio::awaitable<Result<HttpReply>> readReply(HttpConnection &Connection,
                                             const HttpRequest &Request,
                                             ReplyTimes Times,
                                             ReceiveLimits Limits) {
  TimePoint Deadline = BootClock::now() + Times.Whole_;
  Connection.readLargeParts();
  auto Head = co_await Connection.exchange(Request, Times.Head_);
  if (!isOk(Head))
    co_return errorOf(Head);
  ReceivedBody Body(Limits, [&Connection] { Connection.close(); });
  Status Read = co_await Connection.readBody(Body, Deadline, Times.Silence_);
  if (!isOk(Read)) {
    Error Cut = errorOf(Read);
    Cut.Message_ +=
        ", after " + std::to_string(Body.size()) + " bytes of the body";
    co_return Cut;
  }
  auto Whole = Body.finish();
  if (!isOk(Whole))
    co_return errorOf(Whole);
  co_return HttpReply{valueOf(Head).Status_, std::move(valueOf(Head).Headers_),
                      std::move(valueOf(Whole))};
}

asio::awaitable<Result<HttpReply>> fetch(Endpoint Server, HttpRequest Request,
                                         Duration Timeout,
                                         ReceiveLimits Limits) {
  co_return co_await fetch(std::move(Server), std::move(Request),
                           ReplyTimes::within(Timeout), std::move(Limits));
}

asio::awaitable<Result<HttpReply>> fetch(Endpoint Server, HttpRequest Request,
                                         ReplyTimes Times,
                                         ReceiveLimits Limits) {
  TimePoint StartedAt = BootClock::now();
  HttpConnection Connection(Limits.Budget_);
  Status Opened = co_await Connection.open(Server, Times.Head_);
  if (!isOk(Opened))
    co_return errorOf(Opened);
  Times = Times.after(BootClock::now() - StartedAt);
  co_return co_await readReply(Connection, Request, Times, std::move(Limits));
}

} // namespace anvil
