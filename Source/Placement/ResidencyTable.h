#ifndef ANVIL_PLACEMENT_RESIDENCYTABLE_H
#define ANVIL_PLACEMENT_RESIDENCYTABLE_H

#include "Placement/EngineCodec.h"
#include "Placement/PermitTypes.h"

#include <map>
#include <optional>

namespace anvil {

/// Where an adapter version stands on an engine, as its owner believes.
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

/// How loads and evictions are paced.
struct PlacementTerms {
  Duration DemandHalfLife_ = std::chrono::seconds(60);
  /// An adapter stays at least this long, but for urgent requests.
  Duration MinResidence_ = std::chrono::seconds(1);
  /// After this wait a request takes the place of an idle adapter that is worth
  /// more than its own.
  Duration Patience_ = std::chrono::milliseconds(300);
  /// By what factor a newcomer must be worth more to take a place at once.
  double ChallengeFactor_ = 1.5;
  Duration LoadBackoff_ = std::chrono::milliseconds(500);
  Duration MostBackoff_ = std::chrono::seconds(30);
  /// How long an order without an answer may still take effect.
  Duration LongestOrder_ = std::chrono::seconds(20);
};

/// What the owner keeps of one adapter version.
struct AdapterRecord {
  Residency State_ = Residency::Absent;
  std::int64_t Permits_ = 0;
  /// Requests that the engine last reported as running.
  std::int64_t Running_ = 0;
  /// When the latest status that showed it idle was asked for.
  TimePoint IdleSeen_{};
  /// When its last permit ended, or the owner took over.
  TimePoint LastUse_{};
  TimePoint ChangedAt_{};
  TimePoint LoadedAt_{};
  /// Before this no load is tried.
  TimePoint NotBefore_{};
  int Failures_ = 0;
  double Demand_ = 0;
  TimePoint DemandAt_{};
  Duration LoadTime_ = std::chrono::milliseconds(250);
  /// Gets no new permits, so that it can be evicted.
  bool Draining_ = false;
};

/// The adapter versions of one engine and what each is worth.
class ResidencyTable {
public:
  ResidencyTable(PlacementTerms Terms, TimePoint Now);

  AdapterRecord &record(const AdapterRef &Adapter);
  const AdapterRecord *find(const AdapterRef &Adapter) const;
  const std::map<AdapterRef, AdapterRecord> &all() const { return Records_; }

  /// Counts one request for the adapter.
  void noteDemand(const AdapterRef &Adapter, TimePoint Now);

  /// Requests of the recent past, halved every half-life.
  double demand(const AdapterRef &Adapter, TimePoint Now) const;

  /// What keeping it resident saves: demand times the time of a load.
  double value(const AdapterRef &Adapter, TimePoint Now) const;

  /// How many places are taken, those of loads under way included.
  std::int64_t placesTaken() const;

  /// Whether nobody uses the adapter and a status has confirmed it.
  static bool isIdle(const AdapterRecord &Known);

  /// The least valuable resident adapter that may go; `OnlyIdle` leaves out
  /// those in use.
  std::optional<AdapterRef> victim(TimePoint Now, bool OnlyIdle,
                                   bool AnyAge) const;

  /// Takes in what the engine reports, for adapters without an order since.
  void adopt(const EngineStatus &Status, TimePoint SentAt, TimePoint Now);

  /// Forgets all residency: a status asked for at `SentAt` shows that the
  /// engine restarted.
  void clearResidency(TimePoint SentAt);

  void loadStarted(const AdapterRef &Adapter, TimePoint Now);
  void loadEnded(const AdapterRef &Adapter, const Status &Ended, TimePoint Now);
  void unloadStarted(const AdapterRef &Adapter, TimePoint Now);
  void unloadEnded(const AdapterRef &Adapter, const Status &Ended,
                   TimePoint Now);

  /// The engine refused a request because it lacks the adapter.
  void noteMissing(const AdapterRef &Adapter, TimePoint Now);

  /// Lets orders without an answer lapse and forgets what is not used.
  void expire(TimePoint Now);

private:
  PlacementTerms Terms_;
  TimePoint Began_;
  std::map<AdapterRef, AdapterRecord> Records_;
};

/// Reads `adapter@version`.
AdapterRef adapterFromText(const std::string &Text);

} // namespace anvil

#endif // ANVIL_PLACEMENT_RESIDENCYTABLE_H
