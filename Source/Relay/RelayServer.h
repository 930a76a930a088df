#ifndef ANVIL_RELAY_RELAYSERVER_H
#define ANVIL_RELAY_RELAYSERVER_H

#include "Http/Endpoint.h"
#include "Kernel/TimerService.h"
#include "Relay/RelayNotice.h"
#include "Relay/RelayRequest.h"
#include "Telemetry/Metrics.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace anvil {

/// What a `RelayServer` may use.
struct RelayServerOptions {
  /// The key that other VMs must send.
  std::string Key_;
  /// The maximum number of connections that are relayed at a time.
  std::size_t MaxTunnels_ = 256;
  /// The time within which a target must accept a connection.
  Duration ConnectTime_ = std::chrono::milliseconds(250);
  /// The time after which a connection without any bytes is closed.
  Duration IdleTime_ = std::chrono::seconds(60);
};

/// Connects other VMs to targets that they don't reach themselves, and passes
/// the bytes of both sides on unchanged. It holds back no byte and keeps no
/// more than one buffer for each direction, so that a slow reader slows the
/// sender. The orderly end of a target's connection is stated in a frame, or as
/// such to VMs that don't ask for frames; any other end resets the other VM's
/// connection. Once the other VM closes, the target's connection is closed.
class RelayServer {
public:
  /// The address of a target, or why it isn't relayed to.
  using Resolution = std::variant<Endpoint, RelayDenial>;
  using ResolveHook = std::function<Resolution(const RelayRequest &)>;

  /// Asks the target at an address which of its incarnations runs, and returns
  /// the name of its answer for `RelayFindingHeader`.
  using ConfirmHook = std::function<boost::asio::awaitable<std::string>(
      const RelayRequest &, const Endpoint &)>;

  /// Asks the target at an address what another VM wants to know. Nothing if it
  /// can't be connected to.
  using AnswerHook =
      std::function<boost::asio::awaitable<std::optional<RelayAnswer>>(
          const RelayRequest &, const Endpoint &)>;

  using NoticeHook = std::function<void(const RelayNotice &)>;

  /// `Resolve` is called for requests with the right key, `Confirm` for those
  /// that ask for the incarnation, `Answer` for questions, `Notice` for the
  /// notices of other VMs with the right key. Without `Answer`, a connection is
  /// opened for questions, too, as by earlier releases.
  RelayServer(boost::asio::any_io_executor Executor, TimerService &Timers,
              RelayServerOptions Options, std::shared_ptr<Metrics> Counts,
              ResolveHook Resolve, ConfirmHook Confirm, AnswerHook Answer,
              NoticeHook Notice);
  ~RelayServer();
  RelayServer(const RelayServer &) = delete;
  RelayServer &operator=(const RelayServer &) = delete;

  /// As those of `HttpServer`.
  Status bind(const Endpoint &Address);
  Status listen(const Endpoint &Address);
  std::uint16_t port() const;

  /// Relays no further connections; those that are open go on, and questions
  /// are answered.
  void beginDrain();

  /// Tells the other VMs to send no further requests on the connections to a
  /// target's incarnation. VMs of earlier releases, which ask for no frames,
  /// aren't told.
  void retire(const std::string &Target, std::int64_t Incarnation);

  /// Stops accepting and closes all connections.
  void close();

  /// The number of connections that are relayed now or being opened.
  std::size_t openTunnels() const;

private:
  struct Core;
  struct Tunnel;
  std::shared_ptr<Core> Core_;
};

} // namespace anvil

#endif // ANVIL_RELAY_RELAYSERVER_H
