#ifndef ANVIL_REQUESTS_HANDOVER_H
#define ANVIL_REQUESTS_HANDOVER_H

#include <boost/asio/awaitable.hpp>

namespace anvil {

/// A service that holds something for the whole system, such as leases or
/// balances, and passes it on when its VM stops in good order.
class HandOver {
public:
  virtual ~HandOver() = default;

  /// Passes on what this VM holds. Called once, after new requests are no
  /// longer expected and before the last running ones have ended; it must end
  /// within a second or two, also when nobody can be reached.
  virtual boost::asio::awaitable<void> handOver() = 0;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_HANDOVER_H
