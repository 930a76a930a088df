#ifndef ANVIL_CONFIG_CONFIGSYNCSERVICE_H
#define ANVIL_CONFIG_CONFIGSYNCSERVICE_H

#include "Config/BackgroundWorker.h"
#include "Config/ConfigFollower.h"
#include "Config/ConfigLog.h"
#include "Config/ConfigMessages.h"
#include "Config/ConfigPublisher.h"
#include "Config/ConfigState.h"
#include "Config/FreshnessEvidence.h"
#include "Config/OutageDetector.h"
#include "Kernel/TimerService.h"
#include "Membership/MembershipService.h"
#include "Requests/HandoverParticipant.h"
#include "Settings/DaemonSettings.h"
#include "TableService/PlatformService.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <optional>
#include <string>

namespace anvil {

/// Keeps this VM's configuration up to date. A few VMs of a data centre poll
/// the head on the platform and the others pull missing revisions from peers.
/// Every VM collects evidence of how fresh its revision is.
class ConfigSyncService : public Service, public HandoverParticipant {
public:
  static constexpr std::string_view Name = "config_spread";

  ConfigSyncService(boost::asio::any_io_executor Executor,
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

  /// Refuses further publications, so that the revision in this VM's goodbye
  /// message is final.
  boost::asio::awaitable<void> handOver() override;

  /// The latest time at which this VM's revision was certainly in force.
  std::optional<TimePoint> confirmedAt() const {
    return Evidence_.confirmedAt();
  }

  /// The VMs of this data centre, grouped by whether they hold a revision.
  ConfirmationReply localConfirmation(std::uint64_t Revision) const;

private:
  void tick(TimePoint Now);
  void onHeartbeat(const AcceptedHeartbeat &Received);
  void recordOutageStatement(const AcceptedHeartbeat &Received);
  void evaluateOutage(TimePoint Now);
  void onRevisionChanged(const SnapshotPtr &Now);
  void appendToChangeLog(const SnapshotPtr &Next);
  void fillHeartbeat(HeartbeatMessage &Message, TimePoint Now) const;
  bool shouldPoll(TimePoint Now) const;
  const std::string &currentDigest();
  std::string choosePeer();
  ConfigPullReply handlePull(const ConfigPullRequest &Request);
  boost::asio::awaitable<void> poll();
  boost::asio::awaitable<void> catchUp();
  boost::asio::awaitable<void> loadHead();
  boost::asio::awaitable<bool> pullFrom(std::string Peer);
  boost::asio::awaitable<bool> applyReply(ConfigPullReply Reply);

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
  OutageDetector Outage_;
  ConfigLog ChangeLog_;
  SnapshotPtr PreviousSnapshot_;
  /// The head as last read. Its object name ends with the start of the set's
  /// digest.
  std::optional<ConfigHead> Head_;
  std::optional<TimePoint> OwnOutageTime_;
  /// The peer's reply that is being applied.
  const ConfigPullReply *ReplyBeingApplied_ = nullptr;
  std::string Digest_;
  std::uint64_t DigestRevision_ = 0;
  std::uint64_t PullAttempts_ = 0;
  bool Polling_ = false;
  bool CatchingUp_ = false;
  TimerService::Subscription PollTimer_;
  BackgroundWorker Worker_;
};

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGSYNCSERVICE_H
