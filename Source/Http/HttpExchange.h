#ifndef ANVIL_HTTP_HTTPEXCHANGE_H
#define ANVIL_HTTP_HTTPEXCHANGE_H

#include "Http/HttpMessage.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace anvil {

class ServerConnection;

/// One request to the server and the means to respond to it. A response is sent
/// either whole (`respond`) or as a stream (`startStream`, `write`,
/// `finishStream`). A second response closes the connection instead.
class HttpExchange {
public:
  HttpExchange(ServerConnection &Owner, HttpRequest Request);

  const HttpRequest &request() const { return Request_; }

  /// Sends a whole response. False if the connection failed.
  boost::asio::awaitable<bool> respond(HttpReply Reply);

  /// Sends the head of a streamed response. False if the connection failed.
  boost::asio::awaitable<bool> startStream(HttpReplyHead Head);

  /// Sends one chunk of a streamed response. False if the connection failed.
  boost::asio::awaitable<bool> write(std::string_view Piece);

  /// Ends a streamed response. False if the connection failed.
  boost::asio::awaitable<bool> finishStream();

  /// Whether sending a response has started.
  bool responseStarted() const { return ResponseStarted_; }

  /// Whether the caller closed the connection, or `abort` did.
  bool callerDisconnected() const;

  /// Whether this server has closed the connection.
  bool closedByServer() const;

  /// Sets the function that is called once if the caller disconnects before the
  /// request has ended.
  void setDisconnectHandler(std::function<void()> Call);

  /// Sets the function that is called while the caller doesn't read a response,
  /// until the request has ended.
  void setUnreadHandler(std::function<void()> Call);

  /// Closes the connection if the caller doesn't read the response, or as soon
  /// as it doesn't.
  void giveWayIfUnread();

  /// Closes the connection at once, even in the middle of a response. The
  /// caller counts as disconnected from then on.
  void abort();

  /// Tags the connection, for `HttpServer::closeTagged`. Replaces the tag of an
  /// earlier request.
  void tag(std::string Tag);

  /// Makes the server close the connection after this response.
  void closeAfterResponse();

private:
  /// Whether no response has begun yet; otherwise aborts.
  bool beginResponse();

  ServerConnection &Owner_;
  HttpRequest Request_;
  bool ResponseStarted_ = false;
};

} // namespace anvil

#endif // ANVIL_HTTP_HTTPEXCHANGE_H
