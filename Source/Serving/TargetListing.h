#ifndef ANVIL_SERVING_TARGETLISTING_H
#define ANVIL_SERVING_TARGETLISTING_H

#include "Serving/Target.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvil {

/// What changed in the platform's list of targets over the last seconds.
struct ListingChanges {
  std::vector<RegisteredTarget> Entries_;
  std::vector<std::string> Removed_;

  std::size_t size() const { return Entries_.size() + Removed_.size(); }

  /// Whether the changes are few enough to be handed on in one datagram.
  bool fitsNotice() const;
};

/// The platform's list of targets as this VM last knew it, read by itself or
/// kept up to date by changes that another VM read. A digest tells whether two
/// VMs know the same list. What changes all the time, such as the adapters that
/// engines hold and their counts of orders, is no part of the digest.
class TargetListing {
public:
  /// For how long a change is handed on, so that lost datagrams don't matter.
  static constexpr Duration ChangeMemory = std::chrono::seconds(3);

  /// Takes over the whole list.
  void replace(const std::vector<RegisteredTarget> &Entries, TimePoint Now);

  /// Takes over another VM's changes if they lead to the list with `Digest`;
  /// false when they don't, and nothing has changed then.
  bool adopt(const ListingChanges &Changes, std::uint64_t Digest,
             TimePoint Now);

  /// The changes that are still handed on.
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
