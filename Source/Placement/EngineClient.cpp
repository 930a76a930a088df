#include "Placement/EngineClient.h"

#include "Http/HttpConnection.h"

namespace anvil {

namespace asio = boost::asio;

asio::awaitable<Status> EngineClient::order(HttpRequest Request,
                                            Duration Timeout) {
  auto Reply = co_await fetch(Engine_, std::move(Request), Timeout);
  if (!isOk(Reply))
    co_return errorOf(Reply);
  co_return decodeOrderReply(valueOf(Reply));
}

asio::awaitable<Status> EngineClient::load(AdapterRef Adapter,
                                           std::string Weights,
                                           std::uint64_t FencingToken,
                                           Duration Timeout) {
  co_return co_await order(encodeLoadOrder(Adapter, Weights, FencingToken),
                           Timeout);
}

asio::awaitable<Status> EngineClient::unload(AdapterRef Adapter,
                                             std::uint64_t FencingToken,
                                             Duration Timeout) {
  co_return co_await order(encodeUnloadOrder(Adapter, FencingToken), Timeout);
}

asio::awaitable<Result<EngineStatus>> EngineClient::status(Duration Timeout) {
  HttpRequest Request{"GET", "/status", {}, {}};
  auto Reply = co_await fetch(Engine_, std::move(Request), Timeout);
  if (!isOk(Reply))
    co_return errorOf(Reply);
  if (valueOf(Reply).Status_ != 200)
    co_return Error{ErrorCode::Unavailable, Engine_.text(),
                    "returned no status", ""};
  co_return decodeEngineStatus(valueOf(Reply).Body_);
}

} // namespace anvil
