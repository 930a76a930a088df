#include "Serving/FleetLayout.h"

#include <algorithm>

namespace anvil {

/// The maximum number of VMs that all exchange messages directly, whatever
/// their data centres.
static constexpr std::size_t SmallFleet = 16;

/// The maximum number of bytes that one VM forwards of one message: about 25 ms
/// on a link of 20 Mbit/s, during which callers' responses wait.
static constexpr std::size_t MostOnwardBytes = 64 * 1024;

void FleetLayout::setVms(const std::map<std::string, std::string> &Others) {
  IsSplit_ = Others.size() + 1 > SmallFleet;
  Neighbours_.clear();
  Abroad_.clear();
  for (const auto &[Vm, DataCentre] : Others)
    if (!IsSplit_ || DataCentre == DataCentre_)
      Neighbours_.push_back(Vm);
    else
      Abroad_[DataCentre].push_back(Vm);
}

/// The number of VMs that one datagram reaches, those to which it is forwarded
/// included.
static std::size_t reachOf(std::size_t Bytes) {
  return 1 + std::clamp<std::size_t>(
                 MostOnwardBytes / std::max<std::size_t>(1, Bytes), 1, 100);
}

std::vector<SpreadHop> FleetLayout::near(std::size_t Bytes) const {
  std::vector<SpreadHop> Hops;
  bool IsPassedOn = IsSplit_ && Bytes * Neighbours_.size() > MostOnwardBytes;
  if (!IsPassedOn) {
    for (const std::string &Vm : Neighbours_)
      Hops.push_back({Vm, 0});
    return Hops;
  }
  std::size_t Reach = reachOf(Bytes);
  // Starting after this VM in the ring, so that no VM forwards the message back
  // to it.
  std::vector<std::string> Ring = onward(Neighbours_.size());
  for (std::size_t Done = 0; Done < Ring.size(); Done += Reach)
    Hops.push_back({Ring[Done], std::min(Reach, Ring.size() - Done) - 1});
  return Hops;
}

std::vector<SpreadHop> FleetLayout::abroad(std::size_t Bytes,
                                           double Random) const {
  std::vector<SpreadHop> Hops;
  std::size_t Reach = reachOf(Bytes);
  for (const auto &[DataCentre, Vms] : Abroad_) {
    auto First =
        static_cast<std::size_t>(Random * static_cast<double>(Vms.size()));
    for (std::size_t Done = 0; Done < Vms.size(); Done += Reach)
      Hops.push_back({Vms[(First + Done) % Vms.size()],
                      std::min(Reach, Vms.size() - Done) - 1});
  }
  return Hops;
}

std::vector<std::string> FleetLayout::onward(std::size_t Onward) const {
  std::vector<std::string> Next;
  if (!IsSplit_)
    return Next;
  auto First = std::ranges::upper_bound(Neighbours_, Self_);
  auto Start = static_cast<std::size_t>(First - Neighbours_.begin());
  for (std::size_t Step = 0; Step < std::min(Onward, Neighbours_.size());
       ++Step)
    Next.push_back(Neighbours_[(Start + Step) % Neighbours_.size()]);
  return Next;
}

} // namespace anvil
