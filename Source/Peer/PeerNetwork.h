#ifndef ANVIL_PEER_PEERNETWORK_H
#define ANVIL_PEER_PEERNETWORK_H

#include "Http/Endpoint.h"
#include "Kernel/Clock.h"
#include "Kernel/ServiceRegistry.h"
#include "Peer/FrameCodec.h"
#include "Telemetry/Metrics.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace anvil {

/// Sends messages to the other VMs and dispatches those received. VMs are
/// addressed by name. A reply that arrives after its request timed out is
/// dropped.
class PeerNetwork : public Service {
public:
  static constexpr std::string_view Name = "peer_network";

  /// Handles a request: returns the payload of the reply, or an error.
  using RequestHandler =
      std::function<boost::asio::awaitable<Result<std::string>>(
          std::string From, std::string Payload)>;

  /// Handles a notice, a message without reply.
  using NoticeHandler =
      std::function<void(const std::string &From, std::string Payload)>;

  PeerNetwork(boost::asio::any_io_executor Executor, std::string Self,
              Endpoint Listen, std::shared_ptr<Metrics> Counts);
  ~PeerNetwork() override;

  std::string_view serviceName() const override { return Name; }
  Status claimResources() override;
  Status start() override;
  void stop() override;

  /// The port on which this VM listens.
  std::uint16_t port() const;

  /// The name of this VM.
  const std::string &self() const;

  /// Sets the addresses of the other VMs. Closes the connections to VMs that
  /// are not listed or have moved.
  void setPeers(std::map<std::string, Endpoint> Peers);

  /// The names of the other VMs with a known address.
  std::vector<std::string> peers() const;

  void onRequest(MessageType Type, RequestHandler Handler);
  void onNotice(MessageType Type, NoticeHandler Handler);

  /// Sends a request to a VM and waits for its reply. Errors: not found (no
  /// such peer), unavailable (nothing was sent), timeout and connection closed
  /// (the peer may have received it), refused (an error reported by the peer).
  boost::asio::awaitable<Result<std::string>> request(std::string To,
                                                      MessageType Type,
                                                      std::string Payload,
                                                      Duration Timeout);

  /// Sends a notice, which may be lost.
  void notify(const std::string &To, MessageType Type, std::string Payload);

private:
  struct Core;
  std::shared_ptr<Core> Core_;
};

} // namespace anvil

#endif // ANVIL_PEER_PEERNETWORK_H
