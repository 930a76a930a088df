#include "Standins/FramingProxy.h"

#include "Http/Pause.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <chrono>

namespace anvil {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// One in so many parts is sent in two pieces, with a pause of at most this
/// time in milliseconds.
static constexpr std::uint64_t SplitRatio = 6;
static constexpr std::uint64_t MaxPauseMs = 60;

struct FramingProxy::Exchange {
  explicit Exchange(tcp::socket Caller)
      : Caller_(std::move(Caller)), Server_(Caller_.get_executor()) {}

  /// Resets the caller's connection (RST instead of an orderly close).
  void reset() {
    error_code Ignored;
    Caller_.set_option(asio::socket_base::linger(true, 0), Ignored);
    Caller_.close(Ignored);
  }

  tcp::socket Caller_;
  tcp::socket Server_;
  beast::flat_buffer FromCaller_;
  beast::flat_buffer FromServer_;
  error_code Cause_;
};

FramingProxy::FramingProxy(const asio::any_io_executor &Executor,
                           std::uint64_t Seed)
    : Listener_(
          Executor,
          [this](tcp::socket Caller) { return serve(std::move(Caller)); }),
      Random_(Seed) {}

Status FramingProxy::listen(const Endpoint &Address, std::uint16_t ServerPort) {
  ServerPort_ = ServerPort;
  return Listener_.listen(Address);
}

asio::awaitable<void> FramingProxy::serve(tcp::socket Caller) {
  Exchange Open(std::move(Caller));
  auto Token = asio::redirect_error(asio::use_awaitable, Open.Cause_);
  tcp::endpoint Server(asio::ip::address_v4::loopback(), ServerPort_);
  co_await Open.Server_.async_connect(Server, Token);
  bool MayFollow = !Open.Cause_;
  error_code Ignored;
  Open.Server_.set_option(tcp::no_delay(true), Ignored);
  while (MayFollow)
    MayFollow = co_await pass(Open);
}

asio::awaitable<bool> FramingProxy::pass(Exchange &Open) {
  auto Token = asio::redirect_error(asio::use_awaitable, Open.Cause_);
  http::request<http::string_body> Request;
  co_await http::async_read(Open.Caller_, Open.FromCaller_, Request, Token);
  if (Open.Cause_)
    co_return false;
  co_await http::async_write(Open.Server_, Request, Token);
  http::response_parser<http::string_body> Parser;
  if (!Open.Cause_)
    co_await http::async_read_header(Open.Server_, Open.FromServer_, Parser,
                                     Token);
  http::response<http::empty_body> Head(Parser.get().base());
  std::string Length(Head[http::field::content_length]);
  if (Length.empty())
    Length = std::string(Head[BodyLengthHeader]);
  bool IsSealed = Head.find("X-Server-Seal") != Head.end();
  Framing Chosen = IsSealed ? static_cast<Framing>(draw(3)) : Framing::Length;
  Head.erase(BodyLengthHeader);
  Head.chunked(Chosen == Framing::Chunks);
  if (Chosen == Framing::Length)
    Head.set(http::field::content_length, Length);
  http::response_serializer<http::empty_body> Serializer(Head);
  if (!Open.Cause_)
    co_await http::async_write_header(Open.Caller_, Serializer, Token);
  while (!Open.Cause_ && !Parser.is_done()) {
    co_await http::async_read_some(Open.Server_, Open.FromServer_, Parser,
                                   Token);
    std::string Part = std::move(Parser.get().body());
    Parser.get().body().clear();
    if (!Open.Cause_ && !Part.empty())
      co_await send(Open, Chosen, std::move(Part));
  }
  if (!Open.Cause_ && Chosen == Framing::Chunks)
    co_await asio::async_write(Open.Caller_, http::make_chunk_last(), Token);
  if (Open.Cause_)
    Open.reset();
  co_return !Open.Cause_ && Chosen != Framing::UntilClose;
}

asio::awaitable<void> FramingProxy::send(Exchange &Open, Framing Chosen,
                                         std::string Part) {
  auto Token = asio::redirect_error(asio::use_awaitable, Open.Cause_);
  std::string Rest;
  if (draw(SplitRatio) == 0) {
    Rest = Part.substr(Part.size() / 2);
    Part.resize(Part.size() / 2);
  }
  while (!Open.Cause_ && !Part.empty()) {
    if (Chosen == Framing::Chunks)
      co_await asio::async_write(Open.Caller_,
                                 http::make_chunk(asio::buffer(Part)), Token);
    else
      co_await asio::async_write(Open.Caller_, asio::buffer(Part), Token);
    Part = std::move(Rest);
    Rest.clear();
    if (!Part.empty())
      co_await pauseFor(std::chrono::milliseconds(draw(MaxPauseMs + 1)));
  }
}

} // namespace anvil
