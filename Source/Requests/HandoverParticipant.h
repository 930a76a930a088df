#ifndef ANVIL_REQUESTS_HANDOVERPARTICIPANT_H
#define ANVIL_REQUESTS_HANDOVERPARTICIPANT_H

#include <boost/asio/awaitable.hpp>

namespace anvil {

/// Interface of services that hold system-wide state, such as leases or
/// balances, and transfer it to other VMs when their own VM shuts down in an
/// orderly way.
class HandoverParticipant {
public:
  virtual ~HandoverParticipant() = default;

  /// Transfers what this VM holds. Called once, when no new requests are
  /// expected but the last running ones may not have ended; it must finish
  /// within a second or two, even if no other VM is reachable.
  virtual boost::asio::awaitable<void> handOver() = 0;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_HANDOVERPARTICIPANT_H
