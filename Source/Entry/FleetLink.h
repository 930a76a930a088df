#ifndef ANVIL_ENTRY_FLEETLINK_H
#define ANVIL_ENTRY_FLEETLINK_H

#include "Entry/FleetCodec.h"
#include "Http/Endpoint.h"
#include "Kernel/Hook.h"
#include "Kernel/ServiceRegistry.h"
#include "Kernel/TimerService.h"
#include "Serving/FleetLayout.h"
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

/// Datagrams between the VMs: news at a steady period, and wants and notices
/// at once. News are small and whole, so that lost ones don't matter; no
/// connection can fall silent. Passes on what VMs of other data centres send
/// for this one.
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

  /// Another VM's place.
  struct PeerLocation {
    Endpoint Endpoint_;
    std::string DataCentre_;
  };

  /// Says where the other VMs are, or one more of them.
  void setPeers(const std::map<std::string, PeerLocation> &Peers);
  void addPeer(const std::string &Vm, const PeerLocation &Location);

  const FleetLayout &layout() const { return Layout_; }

  /// Where a VM takes datagrams; nothing when it is not known.
  std::optional<Endpoint> addressOf(const std::string &Vm) const;

  /// Sends to one VM; nothing when its address is not known.
  void send(const std::string &Vm, const FleetMessage &Message);

  /// Sends to some VMs.
  void sendToGroup(const std::vector<std::string> &Vms,
                   const FleetMessage &Message);

  /// Sends to the VMs that hear this one directly.
  void sendToPeers(const FleetMessage &Message);

  /// Sends to the VMs of other data centres, in a fleet in which these don't
  /// hear this one directly.
  void sendToRemote(const FleetMessage &Message);

  /// Sends to all other VMs.
  void sendToAll(const FleetMessage &Message);

  /// Sets what composes this VM's news, which are due again after the period
  /// given.
  void onComposeUpdate(std::function<VmNews(Duration Period)> Hook) {
    ComposeUpdate_ = std::move(Hook);
  }

  /// Sets what composes the news of this VM's data centre; nothing while other
  /// VMs tell them.
  void onComposeSummary(
      std::function<std::optional<DataCentreNews>(Duration Period)> Hook) {
    ComposeSummary_ = std::move(Hook);
  }

  /// Fired with each message that came.
  Hook<const FleetMessage &> Received_;

private:
  struct Socket;
  /// A VM's place, and its address as the socket takes it.
  struct Peer {
    PeerLocation Location_;
    boost::asio::ip::udp::endpoint Socket_;
  };
  void storePeer(const std::string &Vm, const PeerLocation &Location);
  void updateLayout();
  void receive();
  void dispatch(std::string_view Bytes);
  void sendBytes(const std::string &Vm, const std::string &Bytes);
  void sendHops(const std::vector<SpreadHop> &Hops, std::string &Bytes);
  Duration updatePeriod() const;
  Duration summaryPeriod() const;
  void scheduleUpdate();
  void scheduleSummary();

  const EntrySettings &Settings_;
  TimerService &Timers_;
  std::unique_ptr<Socket> Socket_;
  std::map<std::string, Peer> Peers_;
  FleetLayout Layout_;
  std::function<VmNews(Duration)> ComposeUpdate_;
  std::function<std::optional<DataCentreNews>(Duration)> ComposeSummary_;
  TimerService::Subscription UpdateTimer_;
  TimerService::Subscription SummaryTimer_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_FLEETLINK_H
