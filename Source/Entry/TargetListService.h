#ifndef ANVIL_ENTRY_TARGETLISTSERVICE_H
#define ANVIL_ENTRY_TARGETLISTSERVICE_H

#include "Kernel/Hook.h"
#include "Kernel/ServiceRegistry.h"
#include "Serving/ReadRotation.h"
#include "Serving/TargetListing.h"
#include "Serving/TargetRoster.h"
#include "Settings/EntrySettings.h"
#include "platform/StoreClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace anvil {

/// What another VM read of the target list.
struct TargetListUpdate {
  ListingChanges Changes_;
  std::uint64_t Digest_ = 0;
  /// For how long from now a missing entry may only have lapsed, for instance
  /// in an outage of the list, while its target still runs.
  Duration LapseRemaining_{};
};

/// Follows the platform's list of targets. While other VMs report what they
/// read, this VM reads the list only if it can't apply their changes.
class TargetListService : public Service {
public:
  static constexpr std::string_view Name = "target_list";

  TargetListService(boost::asio::any_io_executor Executor,
                    const EntrySettings &Settings,
                    std::shared_ptr<platform::StoreClient> Store);

  std::string_view serviceName() const override { return Name; }
  Status start() override;

  TargetRoster &roster() { return Roster_; }

  /// Sets the function that returns this VM's rank in the read rotation; rank
  /// 0 by default.
  void onReadRank(std::function<std::size_t()> Hook) {
    ReadRank_ = std::move(Hook);
  }

  /// Applies what another VM read of the list at `At` or later.
  void applyPeerRead(TimePoint At, const TargetListUpdate &Update);

  /// The recent changes of the list, for sending to other VMs.
  TargetListUpdate recentUpdate(TimePoint Now) const;

  /// Fired after each read by this VM, with the time of the request.
  Hook<TimePoint> ListRead_;

  /// Fired when the list was read here or by another VM, with the entries as
  /// the targets last wrote them.
  Hook<const std::vector<RegisteredTarget> &> Updated_;

  /// Fired when a target's state in the roster changes.
  Hook<const RosterChange &> Changed_;

private:
  boost::asio::awaitable<void> follow();
  bool isReadDue(TimePoint Now) const;
  void applyToRoster(const std::vector<RegisteredTarget> &Fresh, TimePoint Now);
  void reportChanges(const std::vector<RosterChange> &Changes);

  boost::asio::any_io_executor Executor_;
  const EntrySettings &Settings_;
  std::shared_ptr<platform::StoreClient> Store_;
  ReadRotation ReadRotation_;
  std::function<std::size_t()> ReadRank_ = [] { return std::size_t{0}; };
  TargetListing Listing_;
  TargetRoster Roster_;
  /// The latest time at which the list is known to have been as it is here.
  std::optional<TimePoint> ConfirmedAt_;
  /// Whether another VM's list differs in a way that its changes don't
  /// explain.
  bool IsOutOfSync_ = false;
};

} // namespace anvil

#endif // ANVIL_ENTRY_TARGETLISTSERVICE_H
