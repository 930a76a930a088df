#include "Http/HttpExchange.h"

#include "Http/ServerConnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace anvil {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

HttpExchange::HttpExchange(ServerConnection &Owner, HttpRequest Request)
    : Owner_(Owner), Request_(std::move(Request)) {}

static void copyHeaders(const HttpHeaders &From, http::fields &To) {
  for (const HttpHeader &Header : From)
    To.insert(Header.Name_, Header.Value_);
}

bool HttpExchange::beginResponse() {
  // A second head would become part of the first response's body.
  if (std::exchange(ResponseStarted_, true)) {
    abort();
    return false;
  }
  return true;
}

asio::awaitable<bool> HttpExchange::respond(HttpReply Reply) {
  if (!beginResponse())
    co_return false;
  http::response<http::string_body> Message;
  Message.version(11);
  Message.result(static_cast<unsigned>(Reply.Status_));
  copyHeaders(Reply.Headers_, Message);
  Message.body() = std::move(Reply.Body_);
  Message.keep_alive(Owner_.decideKeepAlive());
  Message.prepare_payload();
  error_code Cause;
  Owner_.beginWrite();
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
  Owner_.endWrite();
  co_return !Cause;
}

asio::awaitable<bool> HttpExchange::startStream(HttpReplyHead Head) {
  if (!beginResponse())
    co_return false;
  http::response<http::empty_body> Message;
  Message.version(11);
  Message.result(static_cast<unsigned>(Head.Status_));
  copyHeaders(Head.Headers_, Message);
  Message.keep_alive(Owner_.decideKeepAlive());
  Message.chunked(true);
  http::response_serializer<http::empty_body> Serializer(Message);
  error_code Cause;
  Owner_.beginWrite();
  co_await http::async_write_header(
      Owner_.Stream_, Serializer,
      asio::redirect_error(asio::use_awaitable, Cause));
  Owner_.endWrite();
  co_return !Cause;
}

asio::awaitable<bool> HttpExchange::write(std::string_view Piece) {
  if (Piece.empty() || Request_.Method_ == "HEAD")
    co_return true;
  error_code Cause;
  Owner_.beginWrite();
  co_await asio::async_write(Owner_.Stream_,
                             http::make_chunk(asio::buffer(Piece)),
                             asio::redirect_error(asio::use_awaitable, Cause));
  Owner_.endWrite();
  co_return !Cause;
}

asio::awaitable<bool> HttpExchange::finishStream() {
  if (Request_.Method_ == "HEAD")
    co_return true;
  error_code Cause;
  Owner_.beginWrite();
  co_await asio::async_write(Owner_.Stream_, http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, Cause));
  Owner_.endWrite();
  co_return !Cause;
}

bool HttpExchange::callerDisconnected() const {
  return Owner_.CallerDisconnected_;
}

bool HttpExchange::closedByServer() const { return !Owner_.isOpen(); }

void HttpExchange::setDisconnectHandler(std::function<void()> Call) {
  Owner_.DisconnectHandler_ = std::move(Call);
}

void HttpExchange::setUnreadHandler(std::function<void()> Call) {
  Owner_.UnreadHandler_ = std::move(Call);
}

void HttpExchange::giveWayIfUnread() { Owner_.giveWayIfUnread(); }

void HttpExchange::abort() {
  Owner_.KeepAlive_ = false;
  Owner_.CallerDisconnected_ = true;
  Owner_.close();
}

void HttpExchange::tag(std::string Tag) { Owner_.Tag_ = std::move(Tag); }

void HttpExchange::closeAfterResponse() { Owner_.KeepAlive_ = false; }

} // namespace anvil
