#ifndef ANVIL_ROUTING_OUTLIEREJECTOR_H
#define ANVIL_ROUTING_OUTLIEREJECTOR_H

#include "Kernel/Clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace anvil {

/// When targets are ejected and for how long.
struct EjectionOptions {
  /// Failures in a row that eject a target.
  int Failures_ = 5;
  Duration LeastTime_ = std::chrono::seconds(1);
  Duration MostTime_ = std::chrono::seconds(60);
  /// The most of a group that is ejected at once.
  double MostShare_ = 0.5;
};

/// Whether a target gets requests.
enum class EjectionState {
  Serving,
  /// Its time is over: one request may try it.
  MayProbe,
  Ejected,
};

/// Takes targets out that fail request after request. After a growing time one
/// live request probes the target; its success brings the target back.
class OutlierEjector {
public:
  explicit OutlierEjector(EjectionOptions Options) : Options_(Options) {}

  EjectionState state(const std::string &Target, TimePoint Now) const;

  /// Notes that a request is sent there; it is the probe when one is due.
  void noteBegan(const std::string &Target, TimePoint Now);

  /// Notes a request that ended without telling anything of the target.
  void noteNeutral(const std::string &Target);

  void noteSuccess(const std::string &Target);

  /// Notes a failure of a target of the group. True when it ejects the target.
  bool noteFailure(const std::string &Target, const std::string &Group,
                   std::size_t GroupSize, TimePoint Now);

  /// The targets of a group that are ejected.
  std::size_t ejected(const std::string &Group) const;

private:
  struct Health {
    std::string Group_;
    int Failures_ = 0;
    int Ejections_ = 0;
    bool Ejected_ = false;
    bool Probing_ = false;
    TimePoint Until_{};
  };

  EjectionOptions Options_;
  std::map<std::string, Health> Targets_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_OUTLIEREJECTOR_H
