#include "Serving/FleetTopology.h"

#include <algorithm>

namespace anvil {

/// The maximum number of VMs that all exchange messages directly, whatever
/// their data centres.
static constexpr std::size_t MaxUnsplitVms = 16;

/// The maximum number of bytes that one VM forwards of one message: about 25 ms
/// on a link of 20 Mbit/s, during which callers' responses wait.
static constexpr std::size_t MaxForwardedBytes = 64 * 1024;

void FleetTopology::setVms(const std::map<std::string, std::string> &Others) {
  Vms_ = Others.size() + 1;
  Rank_ = static_cast<std::size_t>(std::ranges::count_if(
      Others, [&](const auto &Other) { return Other.first < Self_; }));
  IsSplit_ = Vms_ > MaxUnsplitVms;
  Peers_.clear();
  RemoteVms_.clear();
  for (const auto &[Vm, DataCentre] : Others)
    if (!IsSplit_ || DataCentre == DataCentre_)
      Peers_.push_back(Vm);
    else
      RemoteVms_[DataCentre].push_back(Vm);
}

/// The number of VMs that one datagram reaches, those to which it is forwarded
/// included.
static std::size_t vmsPerDatagram(std::size_t Bytes) {
  return 1 + std::clamp<std::size_t>(
                 MaxForwardedBytes / std::max<std::size_t>(1, Bytes), 1, 100);
}

std::vector<ForwardingHop> FleetTopology::hopsToPeers(std::size_t Bytes) const {
  std::vector<ForwardingHop> Hops;
  bool IsForwarded = IsSplit_ && Bytes * Peers_.size() > MaxForwardedBytes;
  if (!IsForwarded) {
    for (const std::string &Vm : Peers_)
      Hops.push_back({Vm, 0});
    return Hops;
  }
  std::size_t PerDatagram = vmsPerDatagram(Bytes);
  // Starting after this VM in the ring, so that no VM forwards the message back
  // to it.
  std::vector<std::string> Ring = forwardTargets(Peers_.size());
  for (std::size_t Offset = 0; Offset < Ring.size(); Offset += PerDatagram)
    Hops.push_back(
        {Ring[Offset], std::min(PerDatagram, Ring.size() - Offset) - 1});
  return Hops;
}

std::vector<ForwardingHop>
FleetTopology::hopsToRemoteDataCentres(std::size_t Bytes, double Random) const {
  std::vector<ForwardingHop> Hops;
  std::size_t PerDatagram = vmsPerDatagram(Bytes);
  for (const auto &[DataCentre, Vms] : RemoteVms_) {
    auto First =
        static_cast<std::size_t>(Random * static_cast<double>(Vms.size()));
    for (std::size_t Offset = 0; Offset < Vms.size(); Offset += PerDatagram)
      Hops.push_back({Vms[(First + Offset) % Vms.size()],
                      std::min(PerDatagram, Vms.size() - Offset) - 1});
  }
  return Hops;
}

std::vector<std::string>
FleetTopology::forwardTargets(std::size_t Forwards) const {
  std::vector<std::string> Next;
  if (!IsSplit_)
    return Next;
  auto First = std::ranges::upper_bound(Peers_, Self_);
  auto Start = static_cast<std::size_t>(First - Peers_.begin());
  for (std::size_t Step = 0; Step < std::min(Forwards, Peers_.size()); ++Step)
    Next.push_back(Peers_[(Start + Step) % Peers_.size()]);
  return Next;
}

} // namespace anvil
