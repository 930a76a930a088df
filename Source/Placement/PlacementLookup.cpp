#include "Placement/PlacementLookup.h"

namespace anvil {

Endpoint endpointOf(const Target &Destination) {
  return {Destination.Address_, static_cast<std::uint16_t>(Destination.Port_)};
}

std::string weightsOf(const ConfigSnapshot &Snapshot, const AdapterRef &Ref) {
  const Adapter *Found = Snapshot.Objects_.find<Adapter>(Ref.Adapter_);
  if (Found)
    for (const AdapterVersion &Version : Found->Versions_)
      if (Version.Name_ == Ref.Version_)
        return Version.Weights_;
  return "";
}

} // namespace anvil
