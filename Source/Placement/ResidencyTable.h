#ifndef ANVIL_PLACEMENT_RESIDENCYTABLE_H
#define ANVIL_PLACEMENT_RESIDENCYTABLE_H

#include "Placement/EngineCodec.h"
#include "Placement/PermitTypes.h"

#include <map>
#include <optional>

namespace anvil {

/// The state of an adapter version on an engine, in the engine's owner's view.
enum class Residency {
  Absent,
  Loading,
  Resident,
  Unloading,
  /// An order timed out and may still take effect.
  Uncertain,
};

inline constexpr std::pair<Residency, std::string_view> ResidencyNames[] = {
    {Residency::Absent, "absent"},       {Residency::Loading, "loading"},
    {Residency::Resident, "resident"},   {Residency::Unloading, "unloading"},
    {Residency::Uncertain, "uncertain"},
};

/// Parameters of loads and evictions.
struct PlacementTerms {
  Duration DemandHalfLife_ = std::chrono::seconds(60);
  /// An adapter stays resident at least this long, except for urgent requests.
  Duration MinResidence_ = std::chrono::seconds(1);
  /// After this wait a request's adapter replaces an idle adapter even if that
  /// one has a higher value.
  Duration EvictionWait_ = std::chrono::milliseconds(300);
  /// The factor by which a new adapter's value must exceed that of an idle one
  /// to replace it at once.
  double DisplacementFactor_ = 1.5;
  Duration LoadBackoff_ = std::chrono::milliseconds(500);
  Duration MaxBackoff_ = std::chrono::seconds(30);
  /// How long an order without a reply may still take effect.
  Duration MaxOrderTime_ = std::chrono::seconds(20);
};

/// The owner's record of one adapter version.
struct AdapterRecord {
  Residency State_ = Residency::Absent;
  std::int64_t Permits_ = 0;
  /// Requests that the engine last reported as running.
  std::int64_t Running_ = 0;
  /// When the latest status that showed it idle was requested.
  TimePoint IdleConfirmedAt_{};
  /// When its last permit ended, or when the owner started.
  TimePoint LastUse_{};
  TimePoint ChangedAt_{};
  TimePoint LoadedAt_{};
  /// No load is attempted before this time.
  TimePoint NotBefore_{};
  int Failures_ = 0;
  double Demand_ = 0;
  TimePoint DemandAt_{};
  Duration LoadTime_ = std::chrono::milliseconds(250);
  /// Whether it gets no new permits, so that it can be evicted.
  bool Draining_ = false;
};

/// Tracks the adapter versions of one engine: their state, use, demand and
/// value.
class ResidencyTable {
public:
  ResidencyTable(PlacementTerms Terms, TimePoint Now);

  AdapterRecord &record(const AdapterRef &Adapter);
  const AdapterRecord *find(const AdapterRef &Adapter) const;
  const std::map<AdapterRef, AdapterRecord> &all() const { return Records_; }

  /// Counts one request for the adapter.
  void recordDemand(const AdapterRef &Adapter, TimePoint Now);

  /// The number of recent requests, halved every half-life.
  double demand(const AdapterRef &Adapter, TimePoint Now) const;

  /// The value of keeping it resident: demand times load time.
  double value(const AdapterRef &Adapter, TimePoint Now) const;

  /// The number of adapter slots in use, including those of loads under way.
  std::int64_t usedAdapterSlots() const;

  /// Whether the adapter is unused and a status has confirmed it.
  static bool isIdle(const AdapterRecord &Record);

  /// The resident adapter of least value that may be evicted; `OnlyIdle` leaves
  /// out those in use, `AnyAge` ignores the minimum residence.
  std::optional<AdapterRef> evictionCandidate(TimePoint Now, bool OnlyIdle,
                                              bool AnyAge) const;

  /// Applies the engine's status to adapters that had no order since it was
  /// requested.
  void adopt(const EngineStatus &Status, TimePoint SentAt, TimePoint Now);

  /// Clears the residency of all adapters: a status requested at `SentAt` shows
  /// that the engine restarted.
  void clearResidency(TimePoint SentAt);

  void loadStarted(const AdapterRef &Adapter, TimePoint Now);
  void loadEnded(const AdapterRef &Adapter, const Status &OrderStatus,
                 TimePoint Now);
  void unloadStarted(const AdapterRef &Adapter, TimePoint Now);
  void unloadEnded(const AdapterRef &Adapter, const Status &OrderStatus,
                   TimePoint Now);

  /// Records that the engine refused a request because it lacks the adapter.
  void recordMissing(const AdapterRef &Adapter, TimePoint Now);

  /// Expires orders without a reply and removes records of unused adapters.
  void expire(TimePoint Now);

private:
  PlacementTerms Terms_;
  TimePoint CreatedAt_;
  std::map<AdapterRef, AdapterRecord> Records_;
};

/// Parses `adapter@version`.
AdapterRef adapterFromText(const std::string &Text);

} // namespace anvil

#endif // ANVIL_PLACEMENT_RESIDENCYTABLE_H
