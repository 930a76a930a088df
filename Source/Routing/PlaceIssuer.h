#ifndef ANVIL_ROUTING_PLACEISSUER_H
#define ANVIL_ROUTING_PLACEISSUER_H

#include "Kernel/Clock.h"
#include "Routing/PermitIssuer.h"
#include "Routing/PlaceTypes.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvil {

/// A VM's request for a place, with what the issuer knows of the target itself.
struct PlaceQuery {
  std::string Vm_;
  /// The number of the request; a VM's numbers rise.
  std::uint64_t Serial_ = 0;
  std::string Target_;
  std::int64_t Incarnation_ = 0;
  PlaceNeed Need_;
  /// The requests of all VMs at the target by the issuer's view of the fleet,
  /// which is old by some reports.
  int SeenRunning_ = 0;
  /// Whether the target has started again lately.
  bool IsRestarted_ = false;
};

/// The end of a VM's use of a place.
struct PlaceRelease {
  std::string Vm_;
  std::uint64_t Serial_ = 0;
  std::string Target_;
  std::int64_t Incarnation_ = 0;
  /// Whether the target rejected the request for want of room.
  bool WasRejected_ = false;
  PlacesInUse InUse_;
};

/// Issues the places at targets that fall over when they must reject too many
/// requests, to all VMs: at most as many as are known to fit. How many may wait
/// besides those that run isn't known, so a rejection lowers the number, and
/// the rejections that a target survives in a second are an allowance of all
/// VMs together.
class PlaceIssuer {
public:
  /// Decides on one request. `Share` is the share of the target's VMs that may
  /// request places from this issuer. A majority has all places; fewer have
  /// their share, since others may have another issuer.
  PermitDecision decide(const PlaceQuery &Query, double Share, TimePoint Now);

  /// Frees a place. Returns the VM that waits longest and should ask again now,
  /// if there is one.
  std::optional<std::string> release(const PlaceRelease &Release,
                                     TimePoint Now);

  /// As `PermitIssuer::recordActivity`. After an interruption another issuer
  /// may have granted places, so what is known of them is dropped.
  void recordActivity(Duration Period, TimePoint Now);

  /// The number of places in use, and that may be in use.
  int inUse(const std::string &Target) const;
  int limitOf(const std::string &Target) const;

private:
  struct Place {
    TimePoint GrantedAt_{};
    TimePoint ExpiresAt_{};
  };
  struct KnownVm {
    std::uint64_t LastSerial_ = 0;
    std::map<std::uint64_t, Place> Places_;
    /// Since when it waits, and when it was denied last; not set without a
    /// denied request.
    TimePoint WaitsSince_{};
    TimePoint DeniedAt_{};
  };
  struct KnownTarget {
    std::int64_t Incarnation_ = 0;
    std::map<std::string, KnownVm> Vms_;
    /// When this issuer first heard of the incarnation.
    TimePoint Since_{};
    double Slots_ = 1;
    /// The places at present, which grow with each request that is served up to
    /// those that fit, and the most that are ever tried.
    double Limit_ = 1;
    double Fitting_ = 1;
    double MaxFitting_ = 1;
    TimePoint FittingChangedAt_{};
    std::deque<TimePoint> Rejections_;
    Duration MeanUse_{};
    TimePoint LastRequestAt_{};
  };

  static int count(const KnownTarget &Known);
  KnownTarget *find(const std::string &Target, std::int64_t Incarnation);
  KnownTarget &knownTarget(const PlaceQuery &Query, TimePoint Now);
  static void applyInUse(KnownVm &Vm, std::uint64_t Serial,
                         const PlacesInUse &InUse, Duration Lasts,
                         TimePoint Now);
  static PermitDecision deny(KnownTarget &Known, KnownVm &Vm, TimePoint Now);
  /// The VM that waits longest; it is told once.
  static std::optional<std::string> takeWaiting(KnownTarget &Known,
                                                TimePoint Now);
  void prune(TimePoint Now);

  std::map<std::string, KnownTarget> Targets_;
  TimePoint NextPrune_{};
  IssuerActivity Activity_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_PLACEISSUER_H
