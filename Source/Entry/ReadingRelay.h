#ifndef ANVIL_ENTRY_READINGRELAY_H
#define ANVIL_ENTRY_READINGRELAY_H

#include "Entry/FleetLink.h"
#include "Entry/FleetState.h"
#include "Entry/OwnerService.h"
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

/// Tells the VMs of a group what one of them has read from the store, so that
/// the others need not read it too. A small fleet is one group; in a larger
/// one each data centre is, so that the notices stay there.
class ReadingRelay : public Service {
public:
  static constexpr std::string_view Name = "reading_relay";

  ReadingRelay(const EntrySettings &Settings, std::string Incarnation,
               const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  Status start() override;

private:
  /// Drops the clocks of VMs that have gone.
  void dropClocks();
  std::size_t readRank(std::string_view Topic) const;
  void receive(const FleetMessage &Message);
  /// The local moment of a time of another VM's clock; nothing before that VM
  /// has answered a question, which is asked then.
  std::optional<TimePoint> dateOf(const VmClock &Clock, Duration At,
                                  TimePoint Now);
  VmClock ownClock() const;

  std::string Self_;
  std::string Incarnation_;
  std::shared_ptr<FleetLink> Link_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<PlanService> Plans_;
  std::shared_ptr<TargetListService> Targets_;
  std::shared_ptr<OwnerService> Owners_;
  std::shared_ptr<PlanExchange> Exchange_;
  std::map<VmClock, RemoteClock> Clocks_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_READINGRELAY_H
