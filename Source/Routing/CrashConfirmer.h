#ifndef ANVIL_ROUTING_CRASHCONFIRMER_H
#define ANVIL_ROUTING_CRASHCONFIRMER_H

#include "Routing/CrashTracker.h"

#include <functional>
#include <string>
#include <vector>

namespace anvil {

/// What is known of a target's life by now.
enum class LifeSign {
  /// It lives on as before.
  Same,
  /// It is in another life or can't be reached.
  Ended,
};

/// Holds connections that broke under a request until it is known whether the
/// target crashed. What is not confirmed in time was an ordinary reset.
class CrashConfirmer {
public:
  /// A request whose target may have crashed under it.
  struct Doubt {
    TargetLife Life_;
    std::string Digest_;
    /// The adapter that the target held for the request.
    std::string Adapter_;
    TimePoint Until_{};
  };

  explicit CrashConfirmer(Duration Wait) : Wait_(Wait) {}

  void add(const std::string &Digest, TargetLife Life, std::string Adapter,
           TimePoint Now);

  /// Whether the digest waits for news of a crash.
  bool holds(const std::string &Digest) const;

  /// Gives the doubts whose life has ended, and drops those past their time.
  std::vector<Doubt> settle(const std::function<LifeSign(const Doubt &)> &Look,
                            TimePoint Now);

private:
  Duration Wait_;
  std::vector<Doubt> Doubts_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_CRASHCONFIRMER_H
