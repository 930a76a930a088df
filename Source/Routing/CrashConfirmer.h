#ifndef ANVIL_ROUTING_CRASHCONFIRMER_H
#define ANVIL_ROUTING_CRASHCONFIRMER_H

#include "Routing/CrashTracker.h"

#include <functional>
#include <string>
#include <vector>

namespace anvil {

/// Whether a target still runs in the incarnation that a request was sent to.
enum class IncarnationState {
  /// The target still runs in that incarnation.
  Unchanged,
  /// The target has a new incarnation or is unreachable.
  Ended,
};

/// Holds requests whose connection broke until it is known whether the target
/// crashed. A suspected crash that is not confirmed within the timeout counts
/// as an ordinary connection reset.
class CrashConfirmer {
public:
  /// A request whose connection broke, possibly because its target crashed.
  struct SuspectedCrash {
    TargetInstance Instance_;
    std::string Digest_;
    /// The adapter version that the target held for the request.
    std::string Adapter_;
    TimePoint ExpiresAt_{};
  };

  explicit CrashConfirmer(Duration Timeout) : Timeout_(Timeout) {}

  void add(const std::string &Digest, TargetInstance Instance,
           std::string Adapter, TimePoint Now);

  /// Whether a suspected crash with this digest is still unresolved.
  bool isPending(const std::string &Digest) const;

  /// Returns the suspected crashes whose incarnation has ended and drops those
  /// that have timed out.
  std::vector<SuspectedCrash> resolve(
      const std::function<IncarnationState(const SuspectedCrash &)> &StateOf,
      TimePoint Now);

private:
  Duration Timeout_;
  std::vector<SuspectedCrash> Pending_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_CRASHCONFIRMER_H
