#ifndef ANVIL_ROUTING_BACKOFFS_H
#define ANVIL_ROUTING_BACKOFFS_H

#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace anvil {

/// The times for which targets want no requests from certain VMs. A target
/// tells the VM whose connection brought the request, and it holds for all that
/// this VM brings: its own requests and those that it relays.
class BackOffs {
public:
  /// Records that a target's incarnation wants nothing from a VM until `Until`.
  /// True if that is later than known by more than some milliseconds: several
  /// requests that were under way are refused together.
  bool record(const std::string &Vm, const std::string &Target,
              std::int64_t Incarnation, TimePoint Until, TimePoint Now);

  /// How long the VM may send nothing; zero if it may.
  Duration remaining(const std::string &Vm, const std::string &Target,
                     std::int64_t Incarnation, TimePoint Now) const;

  std::size_t size() const { return Known_.size(); }

private:
  struct Entry {
    std::int64_t Incarnation_ = 0;
    TimePoint Until_{};
  };

  /// By target and VM.
  std::map<std::pair<std::string, std::string>, Entry> Known_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_BACKOFFS_H
