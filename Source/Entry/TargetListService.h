#ifndef ANVIL_ENTRY_TARGETLISTSERVICE_H
#define ANVIL_ENTRY_TARGETLISTSERVICE_H

#include "Kernel/Hook.h"
#include "Kernel/ServiceRegistry.h"
#include "Serving/ReadingTurn.h"
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

/// What another VM read of the list of targets.
struct TargetListUpdate {
  ListingChanges Changes_;
  std::uint64_t Digest_ = 0;
  /// For how long missing entries may only have lapsed.
  Duration LapseLeft_{};
};

/// Follows the platform's list of targets. Where another VM tells what it read,
/// this one reads the list only if it can't follow.
class TargetListService : public Service {
public:
  static constexpr std::string_view Name = "target_list";

  TargetListService(boost::asio::any_io_executor Executor,
                    const EntrySettings &Settings,
                    std::shared_ptr<platform::StoreClient> Store);

  std::string_view serviceName() const override { return Name; }
  Status start() override;

  TargetRoster &roster() { return Roster_; }

  /// Sets what says this VM's place in line for reading; first by default.
  void onReadRank(std::function<std::size_t()> Hook) {
    ReadRank_ = std::move(Hook);
  }

  /// Another VM read the list at `At` or later.
  void applyPeerRead(TimePoint At, const TargetListUpdate &Update);

  /// What this VM would tell others of the list.
  TargetListUpdate recentUpdate(TimePoint Now) const;

  /// Fired after each reading of this VM, with the moment it asked.
  Hook<TimePoint> Read_;

  /// Fired when the list was read here or elsewhere, with the entries that are
  /// as the targets wrote them last.
  Hook<const std::vector<RegisteredTarget> &> Updated_;

  /// Fired when what is believed of a target changes.
  Hook<const RosterChange &> Changed_;

private:
  boost::asio::awaitable<void> follow();
  bool isReadDue(TimePoint Now) const;
  void applyToRoster(const std::vector<RegisteredTarget> &Fresh, TimePoint Now);

  boost::asio::any_io_executor Executor_;
  const EntrySettings &Settings_;
  std::shared_ptr<platform::StoreClient> Store_;
  ReadingTurn ReadRotation_;
  std::function<std::size_t()> ReadRank_ = [] { return std::size_t{0}; };
  TargetListing Listing_;
  TargetRoster Roster_;
  /// A moment at which the list was as known here.
  std::optional<TimePoint> ConfirmedAt_;
  /// Another VM's list differs in a way that its changes don't explain.
  bool IsOutOfSync_ = false;
};

} // namespace anvil

#endif // ANVIL_ENTRY_TARGETLISTSERVICE_H
