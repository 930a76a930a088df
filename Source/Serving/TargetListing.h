#ifndef ANVIL_SERVING_TARGETLISTING_H
#define ANVIL_SERVING_TARGETLISTING_H

#include "Serving/Target.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvil {

/// Changes of the platform's list of targets over the last seconds.
struct ListingChanges {
  std::vector<RegisteredTarget> Entries_;
  std::vector<std::string> Removed_;

  std::size_t size() const { return Entries_.size() + Removed_.size(); }

  /// Whether the changes fit into one datagram.
  bool fitsDatagram() const;
};

/// The platform's list of targets as last known to this VM, read by itself or
/// kept up to date by changes that another VM read. A digest shows whether two
/// VMs have the same list. It excludes what changes all the time, such as the
/// adapters that engines hold and their order counts.
class TargetListing {
public:
  /// How long a change is repeated to other VMs, so that lost datagrams do not
  /// matter.
  static constexpr Duration ChangeMemory = std::chrono::seconds(3);

  /// Replaces the whole list.
  void replace(const std::vector<RegisteredTarget> &Entries, TimePoint Now);

  /// Applies another VM's changes if they result in the list with `Digest`;
  /// otherwise returns false and changes nothing.
  bool applyChanges(const ListingChanges &Changes, std::uint64_t Digest,
                    TimePoint Now);

  /// The changes that are still repeated to other VMs.
  ListingChanges recentChanges(TimePoint Now) const;

  std::uint64_t digest() const;

  /// The whole list.
  std::vector<RegisteredTarget> entries() const;

private:
  std::map<std::string, RegisteredTarget> Entries_;
  /// When entries changed or were removed, by target.
  std::map<std::string, TimePoint> ChangedAt_;
  bool HasRead_ = false;
};

} // namespace anvil

#endif // ANVIL_SERVING_TARGETLISTING_H
