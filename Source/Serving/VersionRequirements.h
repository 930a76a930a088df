#ifndef ANVIL_SERVING_VERSIONREQUIREMENTS_H
#define ANVIL_SERVING_VERSIONREQUIREMENTS_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// The adapter versions that the operator has published, and from when older
/// ones may no longer be used.
class VersionRequirements {
public:
  /// `Grace` is how long after its publication a version need not be in place
  /// yet, and `MaxStart` how long after it a request that was sent before may
  /// still start on an older one. `DrainTime` is how long before the end of
  /// `Grace` no request is sent to an older one any more, so that few runs are
  /// left when it is replaced.
  VersionRequirements(Duration Grace, Duration MaxStart,
                      Duration DrainTime = Duration::zero())
      : Grace_(Grace), MaxStart_(MaxStart), DrainTime_(DrainTime) {}

  /// Records a published version. `NotBefore` is a time at which it was
  /// certainly not published yet; without one it may have been published long
  /// ago, as after a start. True when the version is new.
  bool recordVersion(const std::string &Model, const std::string &Adapter,
                     std::uint64_t Version, std::optional<TimePoint> NotBefore);

  /// The newest version; zero when none was published.
  std::uint64_t newest(const std::string &Model,
                       const std::string &Adapter) const;

  /// The oldest version on which a request may start; zero when any may.
  std::uint64_t required(const std::string &Model, const std::string &Adapter,
                         TimePoint Now) const;

  /// By when this version is to be replaced; nothing while it is the newest.
  std::optional<TimePoint> outdatedFrom(const std::string &Model,
                                        const std::string &Adapter,
                                        std::uint64_t Version) const;

  /// Until when a request that was sent with this version may wait at its
  /// target for its start; nothing while it is the newest.
  std::optional<TimePoint> waitLimit(const std::string &Model,
                                     const std::string &Adapter,
                                     std::uint64_t Version) const;

  /// How long a request may wait at a target before it starts, if its version
  /// is to be allowed then even where a newer one is published right after it
  /// was sent.
  Duration maxWaitAtTarget() const { return Grace_; }

private:
  struct PublishedVersion {
    std::uint64_t Version_ = 0;
    TimePoint RequiredFrom_{};
  };

  const std::vector<PublishedVersion> *find(const std::string &Model,
                                            const std::string &Adapter) const;

  Duration Grace_;
  Duration MaxStart_;
  Duration DrainTime_;
  /// Versions in order, by model and adapter.
  std::map<std::string, std::map<std::string, std::vector<PublishedVersion>>>
      Published_;
};

} // namespace anvil

#endif // ANVIL_SERVING_VERSIONREQUIREMENTS_H
