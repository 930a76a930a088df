#include "Http/HttpServer.h"

#include "Unit/PersistentCaller.h"
#include "Unit/SimpleResponses.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

#include <memory>

using namespace anvil;
namespace asio = boost::asio;

TEST_CASE("a caller that keeps sending can't delay the shutdown of a server") {
  constexpr std::size_t ManyRequests = 200;
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  std::size_t Handled = 0;
  HttpServer *ServerPtr = nullptr;
  std::unique_ptr<PersistentCaller> Caller;
  HttpServer Server(Loop.get_executor(), {},
                    [&](HttpExchange &Exchange) -> asio::awaitable<void> {
                      ++Handled;
                      ServerPtr->close();
                      if (Handled < ManyRequests)
                        Caller->send("/next");
                      co_await respondNoContent(Exchange);
                    });
  ServerPtr = &Server;
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  Server.beginDrain();
  Caller = std::make_unique<PersistentCaller>(Loop, Server.port());
  Caller->send("/first");
  while (Handled == 0 || Server.openConnections() > 0)
    Loop.run_one();
  CHECK(Handled < ManyRequests);
}
