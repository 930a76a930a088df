#include "Standins/ServiceStandin.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace anvil {

namespace asio = boost::asio;
using nlohmann::json;

ServiceStandin::ServiceStandin(asio::any_io_executor Executor)
    : Server_(std::move(Executor), HttpServerLimits{},
              [this](HttpExchange &Exchange) { return handle(Exchange); }) {}

asio::awaitable<void> ServiceStandin::handle(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  if (Request.path() == "/records") {
    co_await Exchange.respond(jsonReply(200, Records_.text()));
    co_return;
  }
  if (Request.path() == "/control") {
    json Body = json::parse(Request.Body_, nullptr, false);
    DelayMs_ = Body.value("delay_ms", DelayMs_);
    DropReplies_ = Body.value("drop_answers", DropReplies_);
    co_await Exchange.respond(jsonReply(200, "{}"));
    co_return;
  }
  std::int64_t Number = ++Calls_;
  Records_.add("call", {{"number", Number},
                        {"method", Request.Method_},
                        {"target", Request.Target_},
                        {"headers", headersToJson(Request)},
                        {"body", Request.Body_}});
  if (DelayMs_ > 0) {
    asio::steady_timer Timer(co_await asio::this_coro::executor,
                             std::chrono::milliseconds(DelayMs_));
    co_await Timer.async_wait(asio::use_awaitable);
  }
  if (DropReplies_ > 0) {
    --DropReplies_;
    Exchange.abort();
    co_return;
  }
  HttpReply Reply =
      jsonReply(200, json{{"number", Number}, {"echo", Request.Body_}}.dump());
  if (auto Id = Request.Headers_.find("X-Request-Id"))
    Reply.Headers_.add("X-Request-Id", *Id);
  co_await Exchange.respond(std::move(Reply));
}

} // namespace anvil
