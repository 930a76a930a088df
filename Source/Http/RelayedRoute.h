#ifndef ANVIL_HTTP_RELAYEDROUTE_H
#define ANVIL_HTTP_RELAYEDROUTE_H

#include <functional>
#include <string>
#include <utility>

namespace anvil {

/// The route of a connection that another VM relays. Destroyed when the
/// connection is closed.
class RelayedRoute {
public:
  /// `OnEnd` is called on destruction.
  RelayedRoute(std::string Vm, std::string Tunnel, std::function<void()> OnEnd)
      : Vm_(std::move(Vm)), Tunnel_(std::move(Tunnel)),
        OnEnd_(std::move(OnEnd)) {}
  ~RelayedRoute() { OnEnd_(); }
  RelayedRoute(const RelayedRoute &) = delete;
  RelayedRoute &operator=(const RelayedRoute &) = delete;

  /// The VM that relays.
  const std::string &vm() const { return Vm_; }

  /// The name of the connection in the logs of both VMs.
  const std::string &tunnel() const { return Tunnel_; }

private:
  std::string Vm_;
  std::string Tunnel_;
  std::function<void()> OnEnd_;
};

} // namespace anvil

#endif // ANVIL_HTTP_RELAYEDROUTE_H
