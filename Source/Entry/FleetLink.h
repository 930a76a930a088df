#ifndef ANVIL_ENTRY_FLEETLINK_H
#define ANVIL_ENTRY_FLEETLINK_H

#include "Entry/FleetCodec.h"
#include "Http/Endpoint.h"
#include "Kernel/Hook.h"
#include "Kernel/ServiceRegistry.h"
#include "Kernel/TimerService.h"
#include "Serving/FleetTopology.h"
#include "Settings/EntrySettings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// Exchanges datagrams with the other VMs over UDP: state updates at a steady
/// period, requests and notices at once. Each update is small and complete, so
/// a lost one does no harm, and there is no connection that could fail
/// unnoticed. Forwards messages from other data centres to VMs of its own data
/// centre.
class FleetLink : public Service {
public:
  static constexpr std::string_view Name = "fleet_link";

  FleetLink(boost::asio::any_io_executor Executor,
            const EntrySettings &Settings, TimerService &Timers);
  ~FleetLink() override;

  std::string_view serviceName() const override { return Name; }
  Status claimResources() override;
  Status start() override;
  void stop() override;

  /// The UDP port in use.
  std::uint16_t port() const;

  /// The address and data centre of another VM, and how it is asked to relay
  /// connections: its TCP port for that, zero if unknown, and its key.
  struct PeerLocation {
    Endpoint Endpoint_;
    std::string DataCentre_;
    std::uint16_t RelayPort_ = 0;
    std::string RelayKey_{};
  };

  /// Sets the locations of the other VMs, or adds one.
  void setPeers(const std::map<std::string, PeerLocation> &Peers);
  void addPeer(const std::string &Vm, const PeerLocation &Location);

  const FleetTopology &topology() const { return Topology_; }

  /// The address at which a VM receives datagrams; nothing if unknown.
  std::optional<Endpoint> addressOf(const std::string &Vm) const;

  /// The location of a VM; nothing if unknown.
  std::optional<PeerLocation> locationOf(const std::string &Vm) const;

  /// Calls `Visit` for each known VM.
  void forEachPeer(
      const std::function<void(const std::string &, const PeerLocation &)>
          &Visit) const;

  /// Sends to one VM; does nothing if its address is unknown.
  void send(const std::string &Vm, const FleetMessage &Message);

  void sendToGroup(const std::vector<std::string> &Vms,
                   const FleetMessage &Message);

  /// Sends to the VMs that receive directly from this one.
  void sendToPeers(const FleetMessage &Message);

  /// Sends to the VMs of other data centres, in a fleet in which they don't
  /// receive directly from this one.
  void sendToRemote(const FleetMessage &Message);

  /// Sends to all other VMs.
  void sendToAll(const FleetMessage &Message);

  /// Sets the function that composes this VM's state update. The next one is
  /// due after the given period.
  void onComposeUpdate(std::function<VmStateUpdate(Duration Period)> Hook) {
    ComposeUpdate_ = std::move(Hook);
  }

  /// Sets the function that composes the summary of this VM's data centre; it
  /// returns nothing while other VMs send the summary.
  void onComposeSummary(
      std::function<std::optional<DataCentreSummary>(Duration Period)> Hook) {
    ComposeSummary_ = std::move(Hook);
  }

  /// Fired with each received message.
  Hook<const FleetMessage &> Received_;

  /// Fired every update period, with its length, also while there is no other
  /// VM to send updates to.
  Hook<Duration> UpdateDue_;

private:
  struct Socket;
  /// A VM's location, and its address in the form that the socket uses.
  struct Peer {
    PeerLocation Location_;
    boost::asio::ip::udp::endpoint Socket_;
  };
  void storePeer(const std::string &Vm, const PeerLocation &Location);
  void updateTopology();
  void receive();
  /// Handles the datagrams that have already arrived.
  void receiveWaiting();
  void dispatch(std::string_view Bytes);
  void sendBytes(const std::string &Vm, const std::string &Bytes);
  void sendHops(const std::vector<ForwardingHop> &Hops, std::string &Bytes);
  Duration updatePeriod() const;
  Duration summaryPeriod() const;
  void scheduleUpdate();
  void scheduleSummary();

  const EntrySettings &Settings_;
  TimerService &Timers_;
  std::unique_ptr<Socket> Socket_;
  std::map<std::string, Peer> Peers_;
  FleetTopology Topology_;
  std::function<VmStateUpdate(Duration)> ComposeUpdate_;
  std::function<std::optional<DataCentreSummary>(Duration)> ComposeSummary_;
  TimerService::Subscription UpdateTimer_;
  TimerService::Subscription SummaryTimer_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_FLEETLINK_H
