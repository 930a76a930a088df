#ifndef ANVIL_CONFIG_CONFIGSPREAD_H
#define ANVIL_CONFIG_CONFIGSPREAD_H

#include "Config/BackgroundWorker.h"
#include "Config/ConfigFollower.h"
#include "Config/ConfigLog.h"
#include "Config/ConfigMessages.h"
#include "Config/ConfigPublisher.h"
#include "Config/ConfigState.h"
#include "Config/FreshnessEvidence.h"
#include "Config/OutageQuorum.h"
#include "Kernel/TimerService.h"
#include "Membership/MembershipService.h"
#include "Requests/HandOver.h"
#include "Settings/DaemonSettings.h"
#include "TableService/PlatformService.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <optional>
#include <string>

namespace anvil {

/// Keeps this VM's configuration current: a few VMs read the head from the
/// platform, the others pull what they lack from peers, and all of them gather
/// evidence of how fresh their revision is.
class ConfigSpread : public Service, public HandOver {
public:
  static constexpr std::string_view Name = "config_spread";

  ConfigSpread(boost::asio::any_io_executor Executor,
               const DaemonSettings &Settings, TimerService &Timers,
               std::shared_ptr<PlatformService> Platform,
               std::shared_ptr<ConfigPublisher> Publisher,
               std::shared_ptr<ConfigState> State,
               std::shared_ptr<MembershipService> Members,
               std::shared_ptr<PeerNetwork> Network);

  std::string_view serviceName() const override { return Name; }
  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

  /// Ends publishing through this VM, so that its goodbye can be believed.
  boost::asio::awaitable<void> handOver() override;

  /// The latest moment at which this VM's revision was certainly in force.
  std::optional<TimePoint> evidenceAt() const { return Evidence_.at(); }

  /// The VMs of this data centre by whether they hold a revision.
  ConfirmationReply confirmationHere(std::uint64_t Revision) const;

private:
  void tick(TimePoint Now);
  void hear(const HeardHeartbeat &Heard);
  void noteOutage(const HeardHeartbeat &Heard);
  void judgeOutage(TimePoint Now);
  void changed(const SnapshotPtr &Now);
  void logChange(const SnapshotPtr &Next);
  void fill(HeartbeatMessage &Message, TimePoint Now) const;
  bool shouldPoll(TimePoint Now) const;
  const std::string &digest();
  std::string choosePeer();
  ConfigPullReply answerPull(const ConfigPullMessage &Asked);
  boost::asio::awaitable<void> poll();
  boost::asio::awaitable<void> follow();
  boost::asio::awaitable<void> loadHead();
  boost::asio::awaitable<bool> pullFrom(std::string Peer);
  boost::asio::awaitable<bool> take(ConfigPullReply Given);

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::shared_ptr<PlatformService> Platform_;
  std::shared_ptr<ConfigPublisher> Publisher_;
  std::shared_ptr<ConfigState> State_;
  std::shared_ptr<MembershipService> Members_;
  std::shared_ptr<PeerNetwork> Network_;
  ConfigFollower Follower_;
  FreshnessEvidence Evidence_;
  OutageQuorum Outage_;
  ConfigLog Log_;
  SnapshotPtr Last_;
  /// The head as last read; its object's name ends with the set's digest.
  std::optional<ConfigHead> Head_;
  std::optional<TimePoint> OutageAt_;
  /// The peer's answer that is being taken over.
  const ConfigPullReply *Taking_ = nullptr;
  std::string Digest_;
  std::uint64_t DigestRevision_ = 0;
  std::uint64_t PullTries_ = 0;
  bool Polling_ = false;
  bool Following_ = false;
  TimerService::Subscription Period_;
  BackgroundWorker Worker_;
};

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGSPREAD_H
