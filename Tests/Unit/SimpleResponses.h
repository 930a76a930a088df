#ifndef ANVIL_TESTS_UNIT_SIMPLERESPONSES_H
#define ANVIL_TESTS_UNIT_SIMPLERESPONSES_H

#include "Http/HttpExchange.h"

#include <string_view>
#include <utility>

namespace anvil {

/// Responds to a request with 204.
inline boost::asio::awaitable<void> respondNoContent(HttpExchange &Exchange) {
  HttpReply Reply;
  Reply.Status_ = 204;
  co_await Exchange.respond(std::move(Reply));
}

/// Builds a response with a status and no body, for malformed requests.
inline HttpReply respondStatusOnly(int Status, std::string_view) {
  HttpReply Reply;
  Reply.Status_ = Status;
  return Reply;
}

} // namespace anvil

#endif // ANVIL_TESTS_UNIT_SIMPLERESPONSES_H
