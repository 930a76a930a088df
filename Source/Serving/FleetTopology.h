#ifndef ANVIL_SERVING_FLEETTOPOLOGY_H
#define ANVIL_SERVING_FLEETTOPOLOGY_H

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace anvil {

/// A datagram to a VM, which forwards it to the `Forwards_` VMs that follow it
/// in its data centre.
struct ForwardingHop {
  std::string Vm_;
  std::size_t Forwards_ = 0;
};

/// Decides which VMs exchange messages directly. In a small fleet all do. In a
/// larger one only those of the same data centre do; a message to another data
/// centre is sent to few VMs there, which forward it. A VM's messages thus grow
/// with its data centre and not with the fleet, and few bytes are sent between
/// data centres.
class FleetTopology {
public:
  FleetTopology(std::string Self, std::string DataCentre)
      : Self_(std::move(Self)), DataCentre_(std::move(DataCentre)) {}

  /// Sets the other VMs, each with its data centre.
  void setVms(const std::map<std::string, std::string> &Others);

  /// Whether data centres exchange summaries only.
  bool isSplit() const { return IsSplit_; }

  /// The number of all VMs, and this VM's rank among them by name, from zero.
  std::size_t vms() const { return Vms_; }
  std::size_t rank() const { return Rank_; }

  /// The VMs to which this VM sends its state updates, ordered by name.
  const std::vector<std::string> &directPeers() const { return Peers_; }

  /// The datagrams that deliver a message of `Bytes` to the peers: one to each,
  /// or, for a large message in a large fleet, to few that forward it.
  std::vector<ForwardingHop> hopsToPeers(std::size_t Bytes) const;

  /// The datagrams that deliver a message of `Bytes` to the VMs of all remote
  /// data centres; none in a small fleet. `Random` in [0, 1) chooses the VMs
  /// that forward it.
  std::vector<ForwardingHop> hopsToRemoteDataCentres(std::size_t Bytes,
                                                     double Random) const;

  /// The VMs to which this VM forwards a datagram that arrived with `Forwards`.
  std::vector<std::string> forwardTargets(std::size_t Forwards) const;

private:
  std::string Self_;
  std::string DataCentre_;
  bool IsSplit_ = false;
  std::size_t Vms_ = 1;
  std::size_t Rank_ = 0;
  std::vector<std::string> Peers_;
  /// The VMs of each remote data centre, ordered by name.
  std::map<std::string, std::vector<std::string>> RemoteVms_;
};

} // namespace anvil

#endif // ANVIL_SERVING_FLEETTOPOLOGY_H
