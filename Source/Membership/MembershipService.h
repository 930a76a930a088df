#ifndef ANVIL_MEMBERSHIP_MEMBERSHIPSERVICE_H
#define ANVIL_MEMBERSHIP_MEMBERSHIPSERVICE_H

#include "Kernel/Hook.h"
#include "Kernel/TimerService.h"
#include "Membership/MemberMessages.h"
#include "Membership/MemberTable.h"
#include "Peer/PeerNetwork.h"
#include "Requests/HandoverParticipant.h"
#include "Settings/DaemonSettings.h"
#include "TableService/PlatformService.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// Another VM as this one knows it.
struct Member {
  std::string Name_;
  std::string DataCentre_;
  Endpoint Address_;
  VmState State_ = VmState::Live;
  /// The incarnation of its process; empty until a heartbeat was received.
  std::string Incarnation_;
  /// The highest revision that it reported to hold.
  std::uint64_t Revision_ = 0;
};

/// An accepted heartbeat.
struct AcceptedHeartbeat {
  std::string Name_;
  const HeartbeatMessage &Message_;
  /// A time before which it was certainly not sent; see `HeartbeatResult`.
  std::optional<TimePoint> SentAfter_;
  TimePoint Now_;
};

/// Tracks the other VMs and which of them are alive. Within the data centre all
/// VMs exchange heartbeats; a few representatives exchange them with each
/// remote data centre.
class MembershipService : public Service, public HandoverParticipant {
public:
  static constexpr std::string_view Name = "membership";

  MembershipService(boost::asio::any_io_executor Executor,
                    const DaemonSettings &Settings, std::string Incarnation,
                    TimerService &Timers,
                    std::shared_ptr<PlatformService> Platform,
                    std::shared_ptr<PeerNetwork> Network);

  std::string_view serviceName() const override { return Name; }
  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

  /// Every known VM except this one, including unreachable ones.
  const std::map<std::string, Member> &members() const { return Members_; }

  /// The names of the live VMs of a data centre, including this one but no
  /// leaving ones. VMs of remote data centres also count as alive if the
  /// platform's list has them.
  std::vector<std::string> liveVmsIn(const std::string &DataCentre) const;

  /// Whether a VM is alive, leaving or not. Always true for this VM.
  bool isAlive(const std::string &VmName) const;

  /// Whether this VM has received a recent heartbeat from the VM itself.
  bool hasRecentHeartbeat(const std::string &VmName) const;

  /// Whether a VM is about to shut down.
  bool isLeaving(const std::string &VmName) const;

  /// The incarnation of a VM's process; empty when no heartbeat was received.
  std::string incarnationOf(const std::string &VmName) const;

  /// The incarnation of this process.
  const std::string &incarnation() const { return Incarnation_; }

  /// The VMs of a data centre that exchange heartbeats with remote data
  /// centres.
  std::vector<std::string>
  representativesOf(const std::string &DataCentre) const;

  /// Whether this VM is among the first `Count` of its data centre in the
  /// rendezvous order of `Key`.
  bool isRankedWithin(std::string_view Key, std::size_t Count) const;

  /// Sends heartbeats immediately: to the data centre, and to the
  /// representatives of the remote ones if this VM is a representative or
  /// `Everywhere` is set.
  void sendHeartbeatsNow(bool Everywhere);

  /// Notifies the peers that this VM takes on no new work. From then on it is
  /// not among the live VMs of its data centre.
  void markLeaving();
  bool isSelfLeaving() const { return Leaving_; }

  /// Sends a goodbye; the peers stop relying on this VM at once.
  boost::asio::awaitable<void> handOver() override;

  /// Sets the callback that fills the heartbeat fields of other components.
  using HeartbeatFiller =
      std::function<void(HeartbeatMessage &, TimePoint Now)>;
  void setHeartbeatFiller(HeartbeatFiller Hook) {
    FillHeartbeat_ = std::move(Hook);
  }

  /// Sets the callback that returns the revision for this VM's goodbye: one
  /// that no publication through this VM will exceed.
  void setLastRevisionProvider(std::function<std::uint64_t()> Hook) {
    LastRevision_ = std::move(Hook);
  }

  /// Fired when a VM is added, removed, starts to leave, restarts or changes
  /// state.
  Hook<> Changed_;

  /// Fired after this VM itself was paused, with the length of the pause.
  Hook<Duration> Paused_;

  /// Fired with each accepted heartbeat.
  Hook<const AcceptedHeartbeat &> HeartbeatAccepted_;

  /// Fired when a VM says goodbye, with the last revision it held.
  Hook<const std::string &, std::uint64_t> GoodbyeReceived_;

private:
  boost::asio::awaitable<void> refresh();
  void tick(TimePoint Now);
  void sendHeartbeats();
  void sendHeartbeat(const std::string &Peer, bool NoReply, TimePoint Now);
  void handleHeartbeat(const std::string &From,
                       const HeartbeatMessage &Message);
  void updateAddress(const std::string &From, const HeartbeatMessage &Message);
  void applyList(const std::vector<VmRecord> &Listed);
  void refreshMembers();
  std::vector<std::string> otherDataCentres() const;

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  std::string Incarnation_;
  TimerService &Timers_;
  std::shared_ptr<PlatformService> Platform_;
  std::shared_ptr<PeerNetwork> Network_;
  MemberTable Table_;
  std::map<std::string, Endpoint> Addresses_;
  std::map<std::string, std::uint64_t> Revisions_;
  std::map<std::string, Member> Members_;
  HeartbeatFiller FillHeartbeat_;
  std::function<std::uint64_t()> LastRevision_;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Round_ = 0;
  std::uint64_t AppliedVersion_ = 0;
  bool Leaving_ = false;
  TimerService::Subscription RefreshTimer_;
  TimerService::Subscription HeartbeatTimer_;
  TimerService::Subscription TickTimer_;
};

} // namespace anvil

#endif // ANVIL_MEMBERSHIP_MEMBERSHIPSERVICE_H
