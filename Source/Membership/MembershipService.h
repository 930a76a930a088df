#ifndef ANVIL_MEMBERSHIP_MEMBERSHIPSERVICE_H
#define ANVIL_MEMBERSHIP_MEMBERSHIPSERVICE_H

#include "Kernel/Hook.h"
#include "Kernel/TimerService.h"
#include "Membership/MemberMessages.h"
#include "Membership/MemberTable.h"
#include "Peer/PeerNetwork.h"
#include "Requests/HandOver.h"
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
  /// The life of its process; empty until it was heard.
  std::string Incarnation_;
  /// The highest revision that it said it holds.
  std::uint64_t Revision_ = 0;
};

/// A heartbeat that was accepted.
struct HeardHeartbeat {
  std::string Name_;
  const HeartbeatMessage &Message_;
  /// A moment before which it was certainly not sent; see `HeartbeatVerdict`.
  std::optional<TimePoint> SentAfter_;
  TimePoint Now_;
};

/// Knows the other VMs and which of them are alive. Inside the data centre all
/// VMs exchange heartbeats; to each other data centre a few representatives do.
class MembershipService : public Service, public HandOver {
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

  /// Every known VM but this one, dead ones too.
  const std::map<std::string, Member> &members() const { return Members_; }

  /// The names of the live VMs of a data centre, this one included; leaving
  /// ones are not among them. Of other data centres the platform's list is
  /// believed.
  std::vector<std::string> liveIn(const std::string &DataCentre) const;

  /// Whether a VM is alive, leaving or not. This one always is.
  bool isAlive(const std::string &VmName) const;

  /// Whether a VM was heard itself not long ago.
  bool wasHeard(const std::string &VmName) const;

  /// Whether a VM is about to stop.
  bool isLeaving(const std::string &VmName) const;

  /// The life of a VM's process; empty when it was never heard.
  std::string incarnationOf(const std::string &VmName) const;

  /// This process's own incarnation.
  const std::string &incarnation() const { return Incarnation_; }

  /// The VMs of a data centre that speak to other data centres.
  std::vector<std::string>
  representativesOf(const std::string &DataCentre) const;

  /// Whether this VM is among the first `Count` of its data centre for `Key`.
  bool isAmong(std::string_view Key, std::size_t Count) const;

  /// Sends heartbeats out of turn: to the data centre, and to the
  /// representatives of the others if this VM is one or `Everywhere`.
  void announce(bool Everywhere);

  /// Tells the peers that this VM takes no new part in anything. From then on
  /// it is not among the live ones of its data centre.
  void markLeaving();
  bool isLeavingItself() const { return Leaving_; }

  /// Says goodbye; the peers stop counting on this VM at once.
  boost::asio::awaitable<void> handOver() override;

  /// Sets what adds the parts of a heartbeat that others know.
  using FillHook = std::function<void(HeartbeatMessage &, TimePoint Now)>;
  void onFill(FillHook Hook) { Fill_ = std::move(Hook); }

  /// Sets what gives the revision that this VM's goodbye names: one that no
  /// publication through this VM will exceed.
  void onGoodbye(std::function<std::uint64_t()> Hook) {
    LastRevision_ = std::move(Hook);
  }

  /// Fired when a VM comes, goes, leaves or starts anew.
  Hook<> Changed_;

  /// Fired after this VM itself was paused, with the length of the pause.
  Hook<Duration> Paused_;

  /// Fired with each accepted heartbeat.
  Hook<const HeardHeartbeat &> Heard_;

  /// Fired when a VM says goodbye, with the last revision it held.
  Hook<const std::string &, std::uint64_t> Left_;

private:
  boost::asio::awaitable<void> refresh();
  void tick(TimePoint Now);
  void beat();
  void beatTo(const std::string &Peer, bool IsAnswer, TimePoint Now);
  void hear(const std::string &From, const HeartbeatMessage &Given);
  void learnAddress(const std::string &From, const HeartbeatMessage &Given);
  void adopt(const std::vector<VmRecord> &Listed);
  void update();
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
  FillHook Fill_;
  std::function<std::uint64_t()> LastRevision_;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Round_ = 0;
  std::uint64_t SeenVersion_ = 0;
  bool Leaving_ = false;
  TimerService::Subscription Refresh_;
  TimerService::Subscription Beat_;
  TimerService::Subscription Tick_;
};

} // namespace anvil

#endif // ANVIL_MEMBERSHIP_MEMBERSHIPSERVICE_H
