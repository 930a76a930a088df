#ifndef ANVIL_HTTP_HTTPEXCHANGE_H
#define ANVIL_HTTP_HTTPEXCHANGE_H

#include "Http/HttpMessage.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace anvil {

class ServerConnection;

/// One request to the server and the way to answer it. An answer is either
/// whole (`respond`) or a stream (`startStream`, `write`, `finishStream`).
class HttpExchange {
public:
  HttpExchange(ServerConnection &Owner, HttpRequest Request);

  const HttpRequest &request() const { return Request_; }

  /// Sends a whole answer. False when the caller is gone.
  boost::asio::awaitable<bool> respond(HttpReply Reply);

  /// Sends the head of a streamed answer. False when the caller is gone.
  boost::asio::awaitable<bool> startStream(HttpReplyHead Head);

  /// Sends one piece of a streamed answer. False when the caller is gone.
  boost::asio::awaitable<bool> write(std::string_view Piece);

  /// Ends a streamed answer. False when the caller is gone.
  boost::asio::awaitable<bool> finishStream();

  /// Whether the head of an answer has been sent.
  bool answered() const { return Answered_; }

  /// Whether the caller closed its connection.
  bool callerGone() const;

  /// Whether this server closed the connection before the answer's end.
  bool closedByServer() const;

  /// Sets the function called once if the caller goes away before the end.
  void onCallerGone(std::function<void()> Call);

  /// Closes the connection at once, in the middle of an answer too. The caller
  /// counts as gone from then on.
  void abort();

  /// Marks the connection, for `HttpServer::closeTagged`. A later request's
  /// mark replaces it.
  void tag(std::string Mark);

  /// Makes the server close the connection after this answer.
  void closeAfterwards();

private:
  ServerConnection &Owner_;
  HttpRequest Request_;
  bool Answered_ = false;
};

} // namespace anvil

#endif // ANVIL_HTTP_HTTPEXCHANGE_H
