#include "Http/RequestReader.h"

#include "Http/MessageFraming.h"
#include "Http/ReceivedBody.h"
#include "Http/ServerConnection.h"
#include "Kernel/EnumNames.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
#include <string_view>

namespace anvil {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

/// The maximum number of header fields of a request, its trailer included. Each
/// takes far more memory than the few bytes it can have on the wire.
static constexpr std::size_t MaxFields = 256;

/// The memory of a header field besides its text, in bytes.
static constexpr std::size_t FieldBytes = 160;

namespace {

/// A body type for Beast's parser that passes the parts to a `ReceivedBody`.
struct BoundedBody {
  // NOLINTBEGIN(readability-identifier-naming): Beast requires these names.
  using value_type = ReceivedBody *;

  class reader {
    // NOLINTEND(readability-identifier-naming)
  public:
    template <bool IsRequest, class Fields>
    reader(http::header<IsRequest, Fields> &, value_type &Body) : Body_(Body) {}

    void init(const boost::optional<std::uint64_t> &, error_code &Cause) {
      Cause = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers &Parts, error_code &Cause) {
      Cause = {};
      std::size_t Size = 0;
      for (auto Part : beast::buffers_range_ref(Parts)) {
        std::string_view Text(static_cast<const char *>(Part.data()),
                              Part.size());
        if (!isOk(Body_->append(Text)))
          Cause = asio::error::no_memory;
        Size += Part.size();
      }
      return Size;
    }

    void finish(error_code &Cause) { Cause = {}; }

  private:
    value_type &Body_;
  };
};

using RequestParser = http::request_parser<BoundedBody>;

} // namespace

static std::size_t countFields(const RequestParser &Parser) {
  return std::distance(Parser.get().begin(), Parser.get().end());
}

/// Whether what the parser has just read are lines of a head or, with the last
/// chunk, of a trailer.
static bool consistsOfLines(const RequestParser &Parser, bool HeadOnly) {
  return HeadOnly || (Parser.chunked() && Parser.is_done());
}

/// Reads until the head, or else the whole request, has been parsed. The parser
/// itself limits a line of the head, but not their number.
static asio::awaitable<error_code> advance(ServerConnection &Client,
                                           RequestParser &Parser, bool HeadOnly,
                                           std::size_t MaxHeadBytes) {
  std::size_t HeadBytes = 0;
  std::size_t MinBytes = !HeadOnly && Parser.chunked() ? MinChunkedBytes : 1;
  while (HeadOnly ? !Parser.is_header_done() : !Parser.is_done()) {
    error_code Cause = http::error::need_more;
    if (Client.Buffer_.size() >= MinBytes) {
      std::size_t Used = Parser.put(Client.Buffer_.data(), Cause);
      if (consistsOfLines(Parser, HeadOnly) &&
          hasFoldedLine(
              {static_cast<const char *>(Client.Buffer_.data().data()), Used}))
        Cause = http::error::bad_line_ending;
      Client.Buffer_.consume(Used);
      HeadBytes += Used;
    }
    if (HeadOnly &&
        (HeadBytes > MaxHeadBytes || countFields(Parser) > MaxFields))
      Cause = http::error::header_limit;
    if (Cause == http::error::need_more)
      Cause = co_await Client.receive();
    if (Cause == asio::error::eof)
      Cause = Parser.got_some() ? http::error::partial_message
                                : http::error::end_of_stream;
    if (Cause)
      co_return Cause;
  }
  co_return error_code();
}

/// The memory of a parsed head.
static std::size_t headBytes(const RequestParser &Parser) {
  std::size_t Bytes = Parser.get().target().size();
  for (const auto &Field : Parser.get())
    Bytes += FieldBytes + Field.name_string().size() + Field.value().size();
  return Bytes;
}

static asio::awaitable<error_code> readHead(ServerConnection &Client,
                                            RequestParser &Parser,
                                            const HttpServerLimits &Limits) {
  Parser.header_limit(Limits.HeadBytes_);
  Parser.body_limit(Limits.BodyBytes_);
  Client.limitBuffer(Limits.HeadBytes_);
  Client.setReadTimeout(Limits.HeadTime_);
  error_code Cause = co_await advance(Client, Parser, true, Limits.HeadBytes_);
  if (Cause == http::error::buffer_overflow)
    Cause = http::error::header_limit;
  if (!Cause && !Client.countHead(headBytes(Parser)))
    Cause = asio::error::no_memory;
  co_return Cause;
}

static asio::awaitable<error_code> readBody(ServerConnection &Client,
                                            RequestParser &Parser,
                                            const HttpServerLimits &Limits,
                                            std::string &Text) {
  std::uint64_t MaxBytes = std::min(
      Parser.content_length().value_or(Limits.BodyBytes_), Limits.BodyBytes_);
  ReceivedBody Body({MaxBytes, Limits.Budget_},
                    [&Client] { Client.giveWay(); });
  Parser.get().body() = &Body;
  auto CheckExtensions = [](std::uint64_t, beast::string_view Extensions,
                            error_code &Cause) {
    if (hasControl({Extensions.data(), Extensions.size()}))
      Cause = http::error::bad_chunk_extension;
  };
  Parser.on_chunk_header(CheckExtensions);
  Client.clearReadTimeout();
  Client.setReadTimeout(Limits.BodyTime_);
  error_code Cause = co_await advance(Client, Parser, false, Limits.HeadBytes_);
  // The trailer's fields are among those of the head.
  if (!Cause && countFields(Parser) > MaxFields)
    Cause = http::error::header_limit;
  if (Cause)
    co_return Cause;
  auto Whole = Body.finish();
  if (!isOk(Whole))
    co_return asio::error::no_memory;
  Text = std::move(valueOf(Whole));
  Client.keepBodyShare(Body.takeShare());
  co_return Cause;
}

/// Why the head doesn't show where the request ends, if it doesn't.
static std::optional<FramingFault> findFramingFault(const RequestParser &Head) {
  auto Outcome = confirm(MessageFraming::of(Head).request(), Head);
  const auto *Fault = std::get_if<FramingFault>(&Outcome);
  return Fault ? std::optional(*Fault) : std::nullopt;
}

static RequestRejection rejectionFor(const FramingFault &Fault) {
  return {statusFor(Fault), std::string(enumName(Fault, FramingFaultNames))};
}

static RequestRejection rejectionFor(const error_code &Cause) {
  if (Cause == http::error::end_of_stream)
    return {};
  if (Cause == http::error::body_limit)
    return {413, Cause.message()};
  if (Cause == http::error::header_limit)
    return {431, Cause.message()};
  if (Cause == beast::error::timeout)
    return {408, Cause.message()};
  if (Cause == asio::error::no_memory)
    return {503, "no room for the request"};
  return {400, Cause.message()};
}

asio::awaitable<ReadOutcome> readRequest(ServerConnection &Client,
                                         const HttpServerLimits &Limits) {
  RequestParser Parser;
  HttpRequest Request;
  error_code Cause = co_await readHead(Client, Parser, Limits);
  auto Fault = Cause ? std::nullopt : findFramingFault(Parser);
  if (Fault) {
    Client.clearReadTimeout();
    co_return rejectionFor(*Fault);
  }
  if (!Cause && !Parser.is_done())
    Cause = co_await readBody(Client, Parser, Limits, Request.Body_);
  Client.clearReadTimeout();
  if (!Cause && !Client.retainRequest())
    Cause = asio::error::no_memory;
  if (Cause)
    co_return rejectionFor(Cause);
  const auto &Message = Parser.get();
  Client.KeepAlive_ = Message.keep_alive();
  Request.Method_ = std::string(Message.method_string());
  Request.Target_ = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers_.add(std::string(Field.name_string()),
                         std::string(Field.value()));
  co_return Request;
}

} // namespace anvil
