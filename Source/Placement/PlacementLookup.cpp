#include "Placement/PlacementLookup.h"

namespace anvil {

Endpoint endpointOf(const Target &Where) {
  return {Where.Address_, static_cast<std::uint16_t>(Where.Port_)};
}

std::string weightsOf(const ConfigSnapshot &Snapshot, const AdapterRef &Ref) {
  const Adapter *Known = Snapshot.Objects_.find<Adapter>(Ref.Adapter_);
  if (Known)
    for (const AdapterVersion &Version : Known->Versions_)
      if (Version.Name_ == Ref.Version_)
        return Version.Weights_;
  return "";
}

} // namespace anvil
