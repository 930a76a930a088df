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

/// Frames to and from the other VMs, which go by their names. A reply that
/// comes after its request timed out is dropped.
class PeerNetwork : public Service {
public:
  static constexpr std::string_view Name = "peer_network";

  /// Gives the payload of the reply to a request, or the reason for none.
  using RequestHandler =
      std::function<boost::asio::awaitable<Result<std::string>>(
          std::string From, std::string Payload)>;

  /// Takes a message that has no reply.
  using NoticeHandler =
      std::function<void(const std::string &From, std::string Payload)>;

  PeerNetwork(boost::asio::any_io_executor Executor, std::string Self,
              Endpoint Listen, std::shared_ptr<Metrics> Counts);
  ~PeerNetwork() override;

  std::string_view serviceName() const override { return Name; }
  Status start() override;
  void stop() override;

  /// The port that other VMs connect to.
  std::uint16_t port() const;

  /// The name of this VM.
  const std::string &self() const;

  /// Says where the other VMs are. Connections to others are closed.
  void setPeers(std::map<std::string, Endpoint> Peers);

  /// The other VMs whose address is known.
  std::vector<std::string> peers() const;

  void onRequest(MessageType Type, RequestHandler Handler);
  void onNotice(MessageType Type, NoticeHandler Handler);

  /// Asks a VM and waits for its reply. Errors: not found (no such peer),
  /// unavailable (nothing was sent), timeout and connection closed (it may
  /// have been received), refused (the peer's own error).
  boost::asio::awaitable<Result<std::string>> request(std::string To,
                                                      MessageType Type,
                                                      std::string Payload,
                                                      Duration Timeout);

  /// Sends a message without reply; it may be lost.
  void notify(const std::string &To, MessageType Type, std::string Payload);

private:
  struct Core;
  std::shared_ptr<Core> Core_;
};

} // namespace anvil

#endif // ANVIL_PEER_PEERNETWORK_H
