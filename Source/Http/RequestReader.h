#ifndef ANVIL_HTTP_REQUESTREADER_H
#define ANVIL_HTTP_REQUESTREADER_H

#include "Http/HttpMessage.h"
#include "Http/HttpServerLimits.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <variant>

namespace anvil {

class ServerConnection;

/// Why a request could not be read.
struct RequestRejection {
  /// The status of the response; zero if the caller ended the connection and
  /// gets none.
  int Status_ = 0;
  std::string Reason_;
};

using ReadOutcome = std::variant<HttpRequest, RequestRejection>;

/// Reads one request, of which the first bytes have arrived, within the limits.
/// It counts in the budget until `ServerConnection::releaseRequest`.
boost::asio::awaitable<ReadOutcome> readRequest(ServerConnection &Client,
                                                const HttpServerLimits &Limits);

} // namespace anvil

#endif // ANVIL_HTTP_REQUESTREADER_H
