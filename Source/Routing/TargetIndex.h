#ifndef ANVIL_ROUTING_TARGETINDEX_H
#define ANVIL_ROUTING_TARGETINDEX_H

#include "Requests/RequestContext.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvil {

/// The part of a target's configuration that routing uses.
struct TargetEntry {
  std::string Name_;
  std::string DataCentre_;
  std::int64_t Slots_ = 1;
  std::int64_t AdapterSlots_ = 1;
};

/// Targets that can serve the same requests.
struct TargetGroup {
  std::string Name_;
  /// The targets by data centre.
  std::map<std::string, std::vector<TargetEntry>> Members_;
  std::size_t Size_ = 0;
};

/// The targets of one configuration revision grouped by what they serve. Built
/// once per revision instead of per request; leaving targets are left out.
class TargetIndex {
public:
  explicit TargetIndex(const ConfigSnapshot &Snapshot);

  std::uint64_t revision() const { return Revision_; }

  /// The targets that can serve the request, or null.
  const TargetGroup *find(const RequestContext &Request) const;

  /// The group of a target; null when it is unknown or leaving.
  const TargetGroup *groupOf(const std::string &Target) const;

private:
  std::uint64_t Revision_;
  std::map<std::string, TargetGroup> Groups_;
  std::map<std::string, std::string> GroupNames_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_TARGETINDEX_H
