#ifndef ANVIL_ENTRY_FLEETLINK_H
#define ANVIL_ENTRY_FLEETLINK_H

#include "Entry/FleetCodec.h"
#include "Http/Endpoint.h"
#include "Kernel/Hook.h"
#include "Kernel/ServiceRegistry.h"
#include "Kernel/TimerService.h"
#include "Settings/EntrySettings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// Datagrams between the VMs: news at a steady period, and wants and notices
/// at once. News are small and whole, so that lost ones don't matter; no
/// connection can fall silent.
class FleetLink : public Service {
public:
  static constexpr std::string_view Name = "fleet_link";

  FleetLink(boost::asio::any_io_executor Executor,
            const EntrySettings &Settings, TimerService &Timers);
  ~FleetLink() override;

  std::string_view serviceName() const override { return Name; }
  Status start() override;
  void stop() override;

  /// The UDP port in use.
  std::uint16_t port() const;

  /// Says where the other VMs are.
  void setPeers(const std::map<std::string, Endpoint> &Peers);

  /// Where a VM takes datagrams; nothing when it is not known.
  std::optional<Endpoint> addressOf(const std::string &Vm) const;

  /// Sends to one VM; nothing when its address is not known.
  void send(const std::string &Vm, const FleetMessage &Message);

  /// Sends to some VMs.
  void sendToGroup(const std::vector<std::string> &Vms,
                   const FleetMessage &Message);

  /// Sends to all other VMs.
  void sendToAll(const FleetMessage &Message);

  /// Sets what composes this VM's news.
  void onCompose(std::function<VmNews()> Hook) { Compose_ = std::move(Hook); }

  /// Fired with each message that came.
  Hook<const FleetMessage &> Received_;

private:
  struct Socket;
  void receive();
  /// Where a VM is, and the same as the socket takes it.
  struct Peer {
    Endpoint Where_;
    boost::asio::ip::udp::endpoint Socket_;
  };
  void sendBytes(const Peer &To, const std::string &Bytes);
  void sendNews();
  void schedule();

  const EntrySettings &Settings_;
  TimerService &Timers_;
  std::unique_ptr<Socket> Socket_;
  std::map<std::string, Peer> Peers_;
  std::function<VmNews()> Compose_;
  TimerService::Subscription News_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_FLEETLINK_H
