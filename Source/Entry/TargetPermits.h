#ifndef ANVIL_ENTRY_TARGETPERMITS_H
#define ANVIL_ENTRY_TARGETPERMITS_H

#include "Entry/ColdTargets.h"
#include "Entry/FleetState.h"
#include "Kernel/ServiceRegistry.h"
#include "Routing/PermitIssuer.h"
#include "Settings/EntrySettings.h"
#include "Telemetry/Metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace anvil {

/// Tracks targets that are suspended for a while because no permit is
/// available, and enforces the rate limits that targets state and the rates
/// that cold targets take. For a target with either
/// each request needs a permit, which is valid for one request and a short
/// time. One VM hands out the permits for a target to all VMs that exchange
/// state updates directly; a VM that receives from no other VM hands out its
/// own permits from its share of the limit.
class TargetPermits : public Service {
public:
  static constexpr std::string_view Name = "target_permits";

  TargetPermits(const EntrySettings &Settings, const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  Status start() override;

  /// Whether requests to the target need a permit.
  bool needsPermit(const std::string &Target, std::int64_t Incarnation,
                   TimePoint Now) const;

  /// Whether a request may be sent at `Now` with a permit requested at
  /// `RequestedAt`; no time if it has none.
  bool maySend(const std::string &Target, std::int64_t Incarnation,
               std::optional<TimePoint> RequestedAt, TimePoint Now) const;

  /// How long a target stays suspended for lack of a permit; zero if it isn't.
  Duration suspendedFor(const std::string &Target, std::int64_t Incarnation,
                        TimePoint Now) const;

  /// Requests a permit and waits for the reply for some milliseconds. `Pause`
  /// is a timer of the caller that ends the wait if cancelled. Without a
  /// permit the target is suspended for a while.
  boost::asio::awaitable<bool> acquire(const std::string &Target,
                                       std::int64_t Incarnation,
                                       boost::asio::steady_timer &Pause);

private:
  /// A permit request that has no reply yet.
  struct Pending {
    boost::asio::steady_timer &Pause_;
    std::optional<PermitDecision> Decision_;
  };
  struct Suspension {
    std::int64_t Incarnation_ = 0;
    /// Until when no permit is available.
    TimePoint NoPermitUntil_{};
  };

  /// The query for a permit; nothing if the target needs none.
  std::optional<PermitQuery> queryFor(const std::string &Target,
                                      std::int64_t Incarnation,
                                      TimePoint Now) const;
  Suspension &suspensionOf(const std::string &Target, std::int64_t Incarnation,
                           TimePoint Now);
  void receive(const FleetMessage &Message);
  std::string managerOf(const std::string &Target, TimePoint Now) const;
  PermitDecision decide(const PermitQuery &Request, TimePoint Now);
  boost::asio::awaitable<std::optional<PermitDecision>>
  requestPermit(const std::string &Manager, const PermitQuery &Request,
                boost::asio::steady_timer &Pause);

  std::string Self_;
  std::shared_ptr<FleetLink> Link_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<ColdTargets> ColdTargets_;
  std::shared_ptr<Metrics> Metrics_;
  PermitIssuer PermitIssuer_;
  std::map<std::uint64_t, std::shared_ptr<Pending>> Pending_;
  std::map<std::string, Suspension> Suspensions_;
  /// Starts at a random number, so that a reply to an earlier incarnation of
  /// this VM matches no pending request.
  std::uint64_t LastSerial_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_TARGETPERMITS_H
