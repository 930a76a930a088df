#ifndef ANVIL_ENTRY_ENGINEOWNERSHIPSERVICE_H
#define ANVIL_ENTRY_ENGINEOWNERSHIPSERVICE_H

#include "Entry/FleetLink.h"
#include "Entry/OwnerRows.h"
#include "Entry/PlanService.h"
#include "Entry/TargetListService.h"
#include "Kernel/ServiceRegistry.h"
#include "Serving/EngineController.h"
#include "Serving/TargetOwnership.h"
#include "Settings/EntrySettings.h"
#include "Telemetry/Metrics.h"
#include "platform/EngineControl.h"
#include "platform/StoreClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace anvil {

/// Manages this VM's ownership of engines: renews the VM's row in the store,
/// claims engines, and sends orders to the engines that the VM owns.
class EngineOwnershipService : public Service {
public:
  static constexpr std::string_view Name = "owner";

  EngineOwnershipService(boost::asio::any_io_executor Executor,
                         const EntrySettings &Settings, std::string Incarnation,
                         const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  Status start() override;
  void stop() override;

  const TargetOwnership &ownership() const { return Ownership_; }

  /// The name under which this VM holds leases and sends orders to engines.
  const std::string &self() const { return Self_; }

  /// Requests that an engine load an adapter. The request goes to the engine's
  /// owner, which may be this VM.
  void requestAdapter(const std::string &Engine, const std::string &Adapter,
                      std::uint64_t Version, const LoadDemand &Demand);

  /// Reports to an engine's owner that the engine refused an adapter which the
  /// fleet view listed as loaded. The owner then fetches a new report from the
  /// engine.
  void reportMissing(const std::string &Engine, const std::string &Adapter,
                     std::uint64_t Version, const LoadDemand &Demand);

  /// The inventories of the engines that this VM owns.
  std::map<std::string, EngineInventory> inventories() const;

  /// Fired after the rows of all VMs have been read.
  Hook<> RowsRead_;

private:
  /// The orders to an engine that have no response. Kept when the VM loses the
  /// engine, since they may be executed after it is claimed again.
  struct SentOrders {
    std::shared_ptr<UnansweredOrders> Unanswered_;
    std::uint64_t Fence_ = 0;
    std::int64_t Incarnation_ = 0;
  };

  /// An engine that this VM owns and sends orders to.
  struct OwnedEngine {
    OwnedEngine(const boost::asio::any_io_executor &Executor,
                EngineController Controller)
        : Controller_(std::move(Controller)), Wake_(Executor) {}

    EngineController Controller_;
    std::int64_t Incarnation_ = 0;
    boost::asio::steady_timer Wake_;
    bool Ended_ = false;
  };

  boost::asio::awaitable<void> maintainRows();
  /// Reads and writes rows as far as this round of `maintainRows` needs it.
  /// Returns whether this VM holds a lease that was just renewed.
  boost::asio::awaitable<bool> updateRows(std::uint64_t Round, bool JustRead);
  /// The number of rounds from one read of all VMs' rows to the next.
  std::uint64_t roundsPerRead() const;
  boost::asio::awaitable<bool> renew();
  boost::asio::awaitable<void> resolveRenewal();
  boost::asio::awaitable<void> readRows();
  boost::asio::awaitable<void> claimTargets();
  boost::asio::awaitable<void> removeExpiredVms();
  /// Removes the rows of earlier eras once they show nothing any more.
  boost::asio::awaitable<void> removeEarlierRows();
  void startEra(std::uint64_t Era);
  /// Sets the peers and the size of the fleet from the rows.
  void updatePeers(const ControlRows &Rows, TimePoint Now);
  boost::asio::awaitable<void> serveEngine(std::string Engine,
                                           std::shared_ptr<OwnedEngine> Owned);
  boost::asio::awaitable<void> sendOrder(const std::string &Engine,
                                         std::shared_ptr<OwnedEngine> Owned,
                                         const EngineOrder &Order,
                                         std::uint64_t Fence);
  boost::asio::awaitable<void> fetchReport(const std::string &Engine,
                                           std::shared_ptr<OwnedEngine> Owned);
  void updateEngines();
  /// The orders without a response to an engine that this VM owns.
  std::shared_ptr<UnansweredOrders> unansweredOrders(const OwnerRow &Row,
                                                     std::int64_t Incarnation,
                                                     TimePoint Now);
  /// Applies an engine's report. Returns whether it was current.
  bool adoptReport(const std::string &Engine, OwnedEngine &Owned,
                   const EngineReport &Report);
  /// Whether an engine gets no orders and no reports from it are fetched, since
  /// its data centre is evacuated. Its ownership is kept.
  bool isEvacuated(const std::string &Engine) const;
  void showEvacuations();
  void checkOrderCounts();
  /// The inventory of an engine; nothing while it is uncertain or this VM may
  /// not send orders to the engine.
  std::optional<EngineInventory> inventoryOf(const std::string &Engine,
                                             TimePoint Now) const;
  void broadcastInventory(const std::string &Engine);
  std::string ownerOf(const std::string &Engine) const;
  void sendToOwner(AdapterRequest Request, const LoadDemand &Demand);
  void receiveRequest(const AdapterRequest &Request);
  void recordUses(const RunningShares &Running);
  void receive(const FleetMessage &Message);
  /// The listed engines, each with its data centre.
  std::map<std::string, std::string> engines() const;
  const EnginePlan *enginePlanOf(const std::string &Engine) const;
  VmRow ownRow() const;
  /// Whether this VM should own targets, rather than be a standby.
  bool isLeaseCandidate(TimePoint Now) const;

  boost::asio::any_io_executor Executor_;
  const EntrySettings &Settings_;
  std::string Self_;
  std::string Incarnation_;
  std::shared_ptr<platform::StoreClient> Store_;
  std::shared_ptr<PlanService> Plans_;
  std::shared_ptr<TargetListService> Targets_;
  std::shared_ptr<FleetLink> Link_;
  std::shared_ptr<class FleetState> Fleet_;
  std::shared_ptr<class ReachService> Reach_;
  std::shared_ptr<Metrics> Metrics_;
  platform::EngineControl Control_;
  TargetOwnership Ownership_;
  std::map<std::string, std::shared_ptr<OwnedEngine>> Owned_;
  std::map<std::string, SentOrders> SentOrders_;
  TimePoint StartedAt_ = BootClock::now();
  boost::asio::steady_timer RoundTimer_;
  /// Rows of earlier eras, as last read.
  std::vector<TableRow> EarlierRows_;
  std::uint64_t Renewals_ = 0;
  std::uint64_t OwnRowVersion_ = 0;
  /// Whether the rows of the store's era were read.
  bool HasRead_ = false;
  /// Whether this VM owns no targets and renews its row only to show that it
  /// is alive.
  bool Standby_ = true;
  /// Whether the last write of the row succeeded.
  bool IsRowWritten_ = false;
  std::uint64_t RoundsSinceRead_ = 0;
  /// The number of loads that this VM has ordered.
  std::uint64_t LoadsOrdered_ = 0;
  bool Stopping_ = false;
};

} // namespace anvil

#endif // ANVIL_ENTRY_ENGINEOWNERSHIPSERVICE_H
