#ifndef ANVIL_PLACEMENT_ENGINECLIENT_H
#define ANVIL_PLACEMENT_ENGINECLIENT_H

#include "Http/Endpoint.h"
#include "Kernel/Clock.h"
#include "Placement/EngineCodec.h"

#include <boost/asio/awaitable.hpp>

namespace anvil {

/// Sends orders and status requests to one engine. An order that times out may
/// still take effect later.
class EngineClient {
public:
  explicit EngineClient(Endpoint Engine) : Engine_(std::move(Engine)) {}

  boost::asio::awaitable<Status> load(AdapterRef Adapter, std::string Weights,
                                      std::uint64_t FencingToken,
                                      Duration Timeout);
  boost::asio::awaitable<Status>
  unload(AdapterRef Adapter, std::uint64_t FencingToken, Duration Timeout);
  boost::asio::awaitable<Result<EngineStatus>> status(Duration Timeout);

private:
  boost::asio::awaitable<Status> order(HttpRequest Request, Duration Timeout);

  Endpoint Engine_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_ENGINECLIENT_H
