#ifndef ANVIL_ENTRY_STOREREADRELAY_H
#define ANVIL_ENTRY_STOREREADRELAY_H

#include "Entry/EngineOwnershipService.h"
#include "Entry/FleetLink.h"
#include "Entry/FleetState.h"
#include "Entry/PlanExchange.h"
#include "Entry/PlanService.h"
#include "Entry/TargetListService.h"
#include "Kernel/ServiceRegistry.h"
#include "Serving/RemoteClock.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// Sends what one VM of a group has read from the store to the others, so that
/// they need not read it too. A small fleet is one group; in a larger one each
/// data centre is a group, so that the notices stay inside it.
class StoreReadRelay : public Service {
public:
  static constexpr std::string_view Name = "reading_relay";

  StoreReadRelay(const EntrySettings &Settings, std::string Incarnation,
                 const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  Status start() override;

private:
  /// Drops the clocks of VMs that are no longer peers.
  void dropClocks();
  std::size_t readRank(std::string_view Topic) const;
  void receive(const FleetMessage &Message);
  /// Converts a time of another VM's clock to local time; nothing until that
  /// VM has replied to a clock request, which this sends.
  std::optional<TimePoint> localTimeOf(const VmClock &Clock, Duration At,
                                       TimePoint Now);
  VmClock ownClock() const;
  /// Records the era of another VM's notice. Returns whether its versions and
  /// digests are comparable with those of this VM.
  bool adoptEra(std::uint64_t Era);

  std::string Self_;
  std::string Incarnation_;
  std::shared_ptr<FleetLink> Link_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<PlanService> Plans_;
  std::shared_ptr<TargetListService> Targets_;
  std::shared_ptr<EngineOwnershipService> Owners_;
  std::shared_ptr<PlanExchange> Exchange_;
  std::shared_ptr<platform::StoreClient> Store_;
  std::map<VmClock, RemoteClock> Clocks_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_STOREREADRELAY_H
