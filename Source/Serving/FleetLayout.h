#ifndef ANVIL_SERVING_FLEETLAYOUT_H
#define ANVIL_SERVING_FLEETLAYOUT_H

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace anvil {

/// One datagram to a VM, which passes it on to the `Onward_` VMs that follow it
/// in its data centre.
struct SpreadHop {
  std::string Vm_;
  std::size_t Onward_ = 0;
};

/// Which VMs hear each other directly. In a small fleet all do. In a larger one
/// only those of a data centre do, and what goes to another data centre is sent
/// to few VMs there that pass it on, so that a VM's messages grow with its data
/// centre and not with the fleet, and few bytes go between data centres.
class FleetLayout {
public:
  FleetLayout(std::string Self, std::string DataCentre)
      : Self_(std::move(Self)), DataCentre_(std::move(DataCentre)) {}

  /// Takes over the other VMs, each with its data centre.
  void setVms(const std::map<std::string, std::string> &Others);

  /// Whether data centres hear of each other by summaries only.
  bool isSplit() const { return IsSplit_; }

  /// The VMs that this VM tells its news, in the order of their names.
  const std::vector<std::string> &neighbours() const { return Neighbours_; }

  /// The datagrams that bring a message of `Bytes` to the neighbours: one to
  /// each, or in a large fleet, where the message is large, to few that pass it
  /// on.
  std::vector<SpreadHop> near(std::size_t Bytes) const;

  /// The datagrams that bring a message of `Bytes` to the VMs of all other data
  /// centres; none in a small fleet. `Random` in [0, 1) chooses the VMs that
  /// pass it on.
  std::vector<SpreadHop> abroad(std::size_t Bytes, double Random) const;

  /// The VMs to which this VM passes on a datagram that came with `Onward`.
  std::vector<std::string> onward(std::size_t Onward) const;

private:
  std::string Self_;
  std::string DataCentre_;
  bool IsSplit_ = false;
  std::vector<std::string> Neighbours_;
  /// The VMs of each other data centre, in the order of their names.
  std::map<std::string, std::vector<std::string>> Abroad_;
};

} // namespace anvil

#endif // ANVIL_SERVING_FLEETLAYOUT_H
