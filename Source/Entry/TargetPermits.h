#ifndef ANVIL_ENTRY_TARGETPERMITS_H
#define ANVIL_ENTRY_TARGETPERMITS_H

#include "Entry/ColdTargets.h"
#include "Entry/FleetState.h"
#include "Entry/PlaceLease.h"
#include "Entry/TargetListService.h"
#include "Http/WaitList.h"
#include "Kernel/ServiceRegistry.h"
#include "Routing/PermitIssuer.h"
#include "Routing/PlaceIssuer.h"
#include "Settings/EntrySettings.h"
#include "Telemetry/Metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace anvil {

/// Tracks targets that are suspended for a while because no permit is
/// available, and enforces the rate limits that targets state and the rates
/// that cold targets take. For a target with either
/// each request needs a permit, which is valid for one request and a short
/// time. One VM hands out the permits for a target to all VMs that exchange
/// state updates directly; a VM that receives from no other VM hands out its
/// own permits from its share of the limit.
///
/// A request to a brittle target, which falls over when it must reject too
/// many, needs a place there until it has ended. The places of a target are
/// issued by one VM for the whole fleet: one of the target's data centre, where
/// VMs of different data centres don't hear of each other directly.
class TargetPermits : public Service,
                      public std::enable_shared_from_this<TargetPermits> {
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

  /// Requests what a request to the target needs, a permit, a place or both,
  /// and waits for the reply for some milliseconds. `Lasts` is the maximum time
  /// for which the request may take the place. `Pause` is a timer of the caller
  /// that ends the wait if cancelled. Returns the lease of the place, an empty
  /// one if none is needed; nothing if the request may not be sent, and the
  /// target is then suspended for a while.
  boost::asio::awaitable<std::optional<PlaceLease>>
  acquire(std::string Target, std::int64_t Incarnation, Duration Lasts,
          boost::asio::steady_timer &Pause);

  /// Whether a request of a rank may wait for places of a service's targets.
  /// The wait ends when the returned object is destroyed; null if too many of
  /// this VM wait, of which the less urgent ones are fewer.
  std::shared_ptr<void> joinQueue(const std::string &Service, int Rank);

  /// Waits until a place may be free, at most until `Until`.
  boost::asio::awaitable<void> awaitPlace(TimePoint Until) {
    return PlaceFreed_.waitUntil(Until);
  }

private:
  /// A permit request that has no reply yet.
  struct Pending {
    boost::asio::steady_timer &Pause_;
    std::string Target_;
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
  /// The VM that issues the places of a target.
  std::string placeIssuerOf(const std::string &Target, TimePoint Now) const;
  PermitDecision decide(const TargetPermitRequest &Request, TimePoint Now);
  PermitDecision decidePlace(const TargetPermitRequest &Request, TimePoint Now);
  boost::asio::awaitable<std::optional<PermitDecision>>
  requestPermit(std::string Manager, TargetPermitRequest Request,
                boost::asio::steady_timer &Pause);
  /// The rejections per second that a target survives; nothing if it isn't
  /// brittle.
  std::optional<double> survivedRejections(const std::string &Target) const;
  /// The place that a request to the target needs; without slots if none.
  PlaceNeed placeNeed(const std::string &Target, Duration Lasts) const;
  PlacesInUse placesInUse(const std::string &Target) const;
  PlaceLease holdPlace(const std::string &Target, std::int64_t Incarnation,
                       std::uint64_t Serial);
  void releasePlace(const std::string &Target, std::int64_t Incarnation,
                    std::uint64_t Serial, bool WasRejected);
  void applyRelease(const PlaceRelease &Release);
  void applyFreed(const std::string &Target, std::int64_t Incarnation);
  void recordReturn(const RosterChange &Change);

  std::string Self_;
  std::string DataCentre_;
  std::shared_ptr<FleetLink> Link_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<ColdTargets> ColdTargets_;
  std::shared_ptr<TargetListService> Targets_;
  std::shared_ptr<Metrics> Metrics_;
  PermitIssuer PermitIssuer_;
  PlaceIssuer PlaceIssuer_;
  /// The numbers of the requests whose places this VM holds, by target.
  std::map<std::string, std::set<std::uint64_t>> HeldPlaces_;
  /// The requests that wait for places, by service.
  std::map<std::string, std::shared_ptr<int>> Waiting_;
  WaitList PlaceFreed_;
  /// VMs of other data centres that left a request unanswered, and until when
  /// they aren't asked.
  std::map<std::string, TimePoint> Unanswered_;
  std::map<std::uint64_t, std::shared_ptr<Pending>> Pending_;
  std::map<std::string, Suspension> Suspensions_;
  /// Starts at a random number, so that a reply to an earlier incarnation of
  /// this VM matches no pending request.
  std::uint64_t LastSerial_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_TARGETPERMITS_H
