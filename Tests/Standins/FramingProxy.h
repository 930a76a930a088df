#ifndef ANVIL_TESTS_STANDINS_FRAMINGPROXY_H
#define ANVIL_TESTS_STANDINS_FRAMINGPROXY_H

#include "Standins/ConnectionListener.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <random>
#include <string>

namespace anvil {

/// The header in which the server behind a `FramingProxy` names the length of a
/// body that it sends in chunks.
inline constexpr const char *BodyLengthHeader = "Standin-Length";

/// Passes requests on to an HTTP server of the same process and sends each
/// sealed answer in chunks, with a length, or with neither, drawn from a seed.
/// Some parts of bodies are sent in two pieces.
class FramingProxy {
public:
  FramingProxy(const boost::asio::any_io_executor &Executor,
               std::uint64_t Seed);

  /// Listens at the address; the server must listen at the port of the loopback
  /// address.
  Status listen(const Endpoint &Address, std::uint16_t ServerPort);
  std::uint16_t port() const { return Listener_.port(); }

private:
  enum class Framing { Chunks, Length, UntilClose };
  struct Exchange;

  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket Caller);
  /// Passes on one request and its answer. Returns whether another one may
  /// follow.
  boost::asio::awaitable<bool> pass(Exchange &Open);
  boost::asio::awaitable<void> send(Exchange &Open, Framing Chosen,
                                    std::string Part);
  std::uint64_t draw(std::uint64_t Count) { return Random_() % Count; }

  ConnectionListener Listener_;
  std::uint16_t ServerPort_ = 0;
  std::mt19937_64 Random_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_FRAMINGPROXY_H
