#ifndef ANVIL_ENTRY_REACHSERVICE_H
#define ANVIL_ENTRY_REACHSERVICE_H

#include "Entry/FleetLink.h"
#include "Entry/FleetState.h"
#include "Entry/TargetAddress.h"
#include "Entry/TargetListService.h"
#include "Entry/TargetProbe.h"
#include "Http/ConnectionPool.h"
#include "Http/WaitList.h"
#include "Kernel/Hook.h"
#include "Kernel/ServiceRegistry.h"
#include "Kernel/TimerService.h"
#include "Relay/RelayChoice.h"
#include "Relay/RelayServer.h"
#include "Relay/TargetReach.h"
#include "Routing/BackOffs.h"
#include "Settings/EntrySettings.h"
#include "Telemetry/Metrics.h"
#include "platform/EngineControl.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// Keeps targets in reach that this VM can't connect to, by connections that
/// other VMs relay, and relays those of other VMs. There is one hop at most: a
/// VM relays only to targets that it reaches by its own connections.
class ReachService : public Service {
public:
  static constexpr std::string_view Name = "reach";

  ReachService(boost::asio::any_io_executor Executor,
               const EntrySettings &Settings, TimerService &Timers,
               const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  Status claimResources() override { return Server_.bind(address()); }
  Status start() override;
  void stop() override { Server_.close(); }

  /// How other VMs ask this one to relay. The key is for VMs only.
  std::uint16_t relayPort() const { return Server_.port(); }
  const std::string &relayKey() const { return Key_; }

  ReachState stateOf(const std::string &Target,
                     std::int64_t Incarnation) const {
    return Reach_.stateOf(Target, Incarnation);
  }

  /// Records that a target can't be connected to. Asks other VMs in the
  /// background, and tries again until the target is connected to or no longer
  /// listed.
  void recordLost(const TargetAddress &Lost);

  /// Does the same, and waits for the answer of the other VMs. False if the
  /// target can't be reached through any of them, as after a crash.
  boost::asio::awaitable<bool> isReachedElsewhere(const TargetAddress &Lost);

  /// Checks in the background whether a target can still be connected to, after
  /// its machine has acknowledged nothing for a while.
  void suspect(const TargetAddress &Silent);

  /// The request for which a connection through another VM is used.
  struct TunnelUse {
    std::string RequestId_;
    /// Whether the connection must lead to the target's listed incarnation for
    /// certain, as far as the target states it.
    bool IsConfirmed_ = false;
    /// Whether it can't be sent again if the connection turns out to be closed.
    bool IsOnce_ = false;
  };

  /// An idle connection through another VM; one that isn't open if there is
  /// none.
  HttpConnection idleTunnel(const TargetAddress &Target, const TunnelUse &Use);

  /// Opens a connection through another VM. False if none relays it; other VMs
  /// are then asked again in the background.
  boost::asio::awaitable<bool> openTunnel(HttpConnection &Connection,
                                          const TargetAddress &Target,
                                          const TunnelUse &Use);

  /// Asks other VMs, one after the other, whether the process of a target lives
  /// that this one doesn't reach. A VM of an earlier release opens `Connection`
  /// to the target instead. Nothing if it does, or if no VM can tell.
  boost::asio::awaitable<std::optional<ProbeResult>>
  askOthersForSign(HttpConnection &Connection, const TargetAddress &Target,
                   const TunnelUse &Use, RelayQuestion Question);

  /// Keeps a connection through another VM for further requests.
  void returnTunnel(const Endpoint &Target, HttpConnection Used, Duration Keep);

  /// Records that a target wants nothing for `Time` from the VM that brought it
  /// a request: from this one if there is no route, else from the one that
  /// relays, which is told.
  void recordBackOff(const TargetAddress &Target, const RelayedRoute *Route,
                     Duration Time, TimePoint Now);

  /// For how long a target gets no requests of this VM, since it wants none
  /// from any VM that would bring them; zero if it may.
  Duration backOffOf(const std::string &Target, std::int64_t Incarnation,
                     TimePoint Now) const;

  /// Relays no further connections of other VMs.
  void beginDrain() { Server_.beginDrain(); }

  /// The number of other VMs' connections that are relayed now.
  std::size_t relayedConnections() const { return Server_.openTunnels(); }

  /// Fired when a target is lost, and when it is connected to again.
  Hook<const TargetAddress &> Lost_;
  Hook<const TargetAddress &> Regained_;

  /// Fired periodically, for checks whether sent requests were received.
  Hook<TimePoint> CheckDue_;

private:
  Endpoint address() const;
  RelayServer::Resolution resolve(const RelayRequest &Request) const;
  std::vector<RelayCandidate> candidates(TimePoint Now) const;
  /// Asks other VMs for a connection to a target, one after the other. Nothing
  /// if one is open, else the refusal that says most: that the target is
  /// reached but wants no requests for some time, or another one.
  boost::asio::awaitable<std::optional<RelayDenial>>
  askOthers(HttpConnection &Connection, const TargetAddress &Target,
            const TunnelUse &Use);
  /// Asks a VM. Nothing if the connection is open.
  boost::asio::awaitable<std::optional<RelayDenial>>
  askVm(HttpConnection &Connection, const std::string &Vm,
        const TargetAddress &Target, const TunnelUse &Use);
  /// The VMs to ask, in order.
  std::vector<std::string> order(const std::vector<RelayCandidate> &Candidates,
                                 TimePoint Now) const;
  /// Sends a request to relay. Returns the head of the response, after which
  /// the connection is open if it is reusable. Errors: not found, if the VM
  /// isn't known; those of `HttpConnection::openThrough`.
  boost::asio::awaitable<Result<HttpReplyHead>>
  sendTo(HttpConnection &Connection, const std::string &Vm,
         const TargetAddress &Target, const TunnelUse &Use,
         std::optional<RelayQuestion> Question);
  RelayDenial recordRefusal(const Result<HttpReplyHead> &Head,
                            const std::string &Vm, const TargetAddress &Target);
  /// Applies the notice of a VM whose connections this one relays.
  void applyNotice(const RelayNotice &Notice);
  /// Keeps to a back-off that a target told this VM, for itself and for the
  /// VMs whose connections it relays.
  void holdBack(const std::string &Target, std::int64_t Incarnation,
                Duration Time, std::string_view ToldBy, TimePoint Now);
  /// Tells a VM that relays what a target told it.
  boost::asio::awaitable<void> tellRelay(std::string Vm, TargetAddress Target,
                                         Duration Time);
  /// Asks a target which of its incarnations runs, for another VM.
  boost::asio::awaitable<std::string> confirm(RelayRequest Request,
                                              Endpoint Address);
  /// Finds out whether other VMs reach a lost target.
  boost::asio::awaitable<void> seek(TargetAddress Lost);
  void beginSeek(const TargetAddress &Lost);
  boost::asio::awaitable<void> watch(TargetAddress Lost);
  boost::asio::awaitable<void> check(TargetAddress Suspect);
  /// Checks the other targets, since this VM is cut off from one.
  void checkOthers(TimePoint Now);
  void regain(const TargetAddress &Found, HttpConnection Connection);
  bool isListed(const TargetAddress &Target) const;
  void showCounts();

  boost::asio::any_io_executor Executor_;
  const EntrySettings &Settings_;
  TimerService &Timers_;
  std::string Self_;
  std::string Key_;
  std::shared_ptr<FleetLink> Link_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<TargetListService> Targets_;
  std::shared_ptr<Metrics> Metrics_;
  TargetReach Reach_;
  /// Shared with connections, which may outlive this object.
  std::shared_ptr<RelayChoice> Choice_ = std::make_shared<RelayChoice>();
  ConnectionPool Tunnels_;
  /// The back-offs of this VM and of those that relay for it, and until when
  /// targets were refused by all of the latter for that reason.
  BackOffs BackOffs_;
  BackOffs RelayBackOffs_;
  platform::EngineControl Engines_;
  /// Answers the questions of other VMs.
  TargetProbe Probe_;
  RelayServer Server_;
  /// The targets about which other VMs are being asked, and those that are
  /// being checked.
  std::set<std::string> Sought_;
  std::set<std::string> Checked_;
  WaitList SeekEnded_;
  TimePoint NextCheckOfOthers_{};
  TimerService::Subscription CheckTimer_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_REACHSERVICE_H
