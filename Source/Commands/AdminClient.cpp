#include "Commands/AdminClient.h"

#include "Http/HttpConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>

namespace anvil {

namespace asio = boost::asio;

AdminClient::AdminClient(Endpoint Server, std::string Token, Duration Timeout)
    : Server_(std::move(Server)), Token_(std::move(Token)), Timeout_(Timeout) {}

Result<HttpReply> AdminClient::get(const std::string &Target) {
  return call({"GET", Target, {}, {}});
}

Result<HttpReply> AdminClient::post(const std::string &Target,
                                    const std::string &Body) {
  return call({"POST", Target, {{"Content-Type", "application/json"}}, Body});
}

Result<HttpReply> AdminClient::call(HttpRequest Request) {
  if (!Token_.empty())
    Request.Headers_.add("Authorization", "Bearer " + Token_);
  asio::io_context Loop;
  std::optional<Result<HttpReply>> Reply;
  asio::co_spawn(Loop, fetch(Server_, std::move(Request), Timeout_),
                 [&](std::exception_ptr Thrown, Result<HttpReply> Given) {
                   if (!Thrown)
                     Reply = std::move(Given);
                 });
  Loop.run();
  if (!Reply)
    return Error{ErrorCode::ConnectionClosed, Server_.text(), "gave no answer",
                 ""};
  return *Reply;
}

} // namespace anvil
