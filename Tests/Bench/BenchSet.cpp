#include "Bench/BenchSet.h"

#include "Objects/Digest.h"

namespace anvil {

std::string benchSecret(std::int64_t Customer) {
  return "secret-" + std::to_string(Customer);
}

ConfigSnapshot makeBenchSet(const BenchSize &Size) {
  ConfigSnapshot Snapshot;
  Snapshot.Revision_ = 1;
  ObjectSet &Objects = Snapshot.Objects_;
  Objects.put(DataCentre{"central"});
  Objects.put(BaseModel{"base"});
  Objects.put(RequestClass{"class"});
  Route MainRoute;
  MainRoute.Name_ = "main";
  MainRoute.PathPrefix_ = "/v1";
  MainRoute.RequestClass_ = "class";
  Objects.put(MainRoute);
  for (std::int64_t Index = 0; Index < Size.Adapters_; ++Index) {
    Adapter Created;
    Created.Name_ = "adapter-" + std::to_string(Index);
    Created.BaseModel_ = "base";
    Created.Versions_.push_back({"1", Created.Name_ + "/1"});
    Created.Versions_.push_back({"2", Created.Name_ + "/2"});
    Created.CurrentVersion_ = "2";
    Objects.put(std::move(Created));
  }
  for (std::int64_t Index = 0; Index < Size.Targets_; ++Index) {
    Target Created;
    Created.Name_ = "engine-" + std::to_string(Index);
    Created.DataCentre_ = "central";
    Created.BaseModel_ = "base";
    Created.Address_ = "127.0.0.1";
    Created.Port_ = 1;
    Objects.put(std::move(Created));
  }
  for (std::int64_t Index = 0; Index < Size.Customers_; ++Index) {
    Customer Owner;
    Owner.Name_ = "customer-" + std::to_string(Index);
    Owner.RateTokensPerSecond_ = 1000;
    Owner.BurstTokens_ = 10000;
    Objects.put(Owner);
    Key Secret;
    Secret.Name_ = "key-" + std::to_string(Index);
    Secret.Customer_ = Owner.Name_;
    Secret.Sha256_ = sha256Hex(benchSecret(Index));
    Objects.put(std::move(Secret));
  }
  return Snapshot;
}

} // namespace anvil
