#ifndef ANVIL_LOADING_LOADPATIENCE_H
#define ANVIL_LOADING_LOADPATIENCE_H

#include "Kernel/Clock.h"
#include "Kernel/EnumNames.h"

#include <optional>
#include <string_view>

namespace anvil {

/// The loads of all engines from the weight store.
struct StoreQueue {
  /// The expected time of a load while the store isn't overloaded.
  Duration Load_{};
  /// Adapters in transit, and the number up to which they don't slow each
  /// other down.
  double InTransit_ = 0;
  double Limit_ = 1;
  /// Adapters whose load is not ordered yet.
  double Queued_ = 0;
};

/// The factor by which one more load in transit would take longer than usual;
/// below one while the limit is not reached.
double transitFactor(const StoreQueue &Queue);

/// The factor by which a load that is requested now takes longer than usual,
/// behind all loads that were requested before; at least one.
double loadFactor(const StoreQueue &Queue);

/// The time until a load that is requested now is expected to end, behind all
/// loads that were requested before.
Duration expectedLoadEnd(const StoreQueue &Queue);

/// What a request that needs an adapter knows about its load.
struct LoadOutlook {
  /// When the load is expected to end, if the engine's owner stated it.
  std::optional<Duration> ReadyIn_;
  /// Whether the load has been ordered.
  bool IsOrdered_ = false;
  StoreQueue Queue_;
  /// The time from the end of the load to the first byte of the answer.
  Duration ServeTime_{};
  /// The time until the request's deadline.
  Duration TimeLeft_{};
};

/// What a request does while its adapter isn't loaded.
enum class PatienceAction {
  /// Waits, and then chooses an engine again.
  Wait,
  /// Is refused, since the adapter can't be there in time.
  Refuse,
};

inline constexpr std::pair<PatienceAction, std::string_view>
    PatienceActionNames[] = {
        {PatienceAction::Wait, "wait"},
        {PatienceAction::Refuse, "refuse"},
};

struct PatienceDecision {
  PatienceAction Action_ = PatienceAction::Wait;
  /// When the adapter is expected to be loaded; the hint for a refused caller.
  Duration ExpectedIn_{};
};

/// Decides whether a request goes on waiting for its adapter: as long as the
/// load can end early enough for the caller to be served, also beyond the
/// latency target, since a late answer is worth more to the caller than none.
/// The request is refused as soon as it is certain that the load ends too late.
PatienceDecision decidePatience(const LoadOutlook &Outlook);

/// The sends of one request to engines that turned out to lack its adapter.
/// Each draws on the retry budget of the fleet, so the pauses between them grow
/// and their number is bounded.
class MissingAdapterPauses {
public:
  /// The maximum number of such sends. The pauses between them add up to more
  /// than five seconds, so that a request outlasts a store that stops briefly.
  static constexpr int MaxSends = 6;

  /// Records that an engine lacked the adapter. Returns the time for which the
  /// request isn't sent to that engine again, or nothing when it was sent too
  /// often or has too little time left.
  std::optional<Duration> recordMissing(Duration TimeLeft);

  int count() const { return Count_; }

private:
  int Count_ = 0;
};

} // namespace anvil

#endif // ANVIL_LOADING_LOADPATIENCE_H
