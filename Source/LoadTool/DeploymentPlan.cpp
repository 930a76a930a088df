#include "LoadTool/DeploymentPlan.h"

#include "Http/Endpoint.h"
#include "Objects/Digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace anvil {

using nlohmann::json;

/// Output tokens and prompt bytes of each request.
static constexpr std::int64_t RequestTokens = 16;
static constexpr std::int64_t PromptBytes = 48;

std::int64_t DeploymentPlan::engineCount() const {
  std::int64_t Count = 0;
  for (const EnginePool &Pool : Pools_)
    Count += Pool.Engines_;
  return Count;
}

/// Two large customers and three small ones. At 24 requests per second in
/// total, each uses about half of its rate.
static std::vector<PlannedCustomer>
planCustomers(const std::vector<std::string> &Names) {
  return {{Names[0], 0.46, 600, 2400},
          {Names[1], 0.30, 400, 1600},
          {Names[2], 0.12, 160, 640},
          {Names[3], 0.08, 110, 440},
          {Names[4], 0.04, 60, 240}};
}

std::optional<DeploymentPlan> findPlan(std::string_view Name) {
  DeploymentPlan Plan;
  Plan.Name_ = Name;
  Plan.Adapters_ = 3000;
  if (Name == "lonestar") {
    Plan.DataCentres_ = {"central-1", "central-2", "central-3"};
    Plan.Pools_ = {{"briefing", 18}, {"app", 3}};
    Plan.Customers_ =
        planCustomers({"drivers-app", "fleet-app", "austin", "dallas", "waco"});
    Plan.LoadsPerSecond_ = 5;
    Plan.ConcurrentLoads_ = 2;
    Plan.InTransit_ = 16;
    return Plan;
  }
  if (Name == "serenas") {
    Plan.DataCentres_ = {"bilbao", "santander", "oviedo", "pamplona"};
    Plan.Pools_ = {{"planning", 9}, {"booking", 4}};
    Plan.Customers_ =
        planCustomers({"families", "movers", "charity", "parish", "garcia"});
    Plan.LoadsPerSecond_ = 3;
    Plan.ConcurrentLoads_ = 1;
    Plan.InTransit_ = 8;
    return Plan;
  }
  return std::nullopt;
}

std::string plannedSecret(const DeploymentPlan &Plan,
                          const PlannedCustomer &Planned) {
  return "load-" + sha256Hex(Plan.Name_ + "/" + Planned.Name_).substr(0, 32);
}

static void addFleet(const DeploymentPlan &Plan,
                     const std::vector<std::string> &Engines,
                     ChangeSet &Change) {
  for (const std::string &Name : Plan.DataCentres_)
    Change.Put_.push_back(DataCentre{Name});
  Change.Put_.push_back(BaseModel{"base", 1, 512});
  Change.Put_.push_back(WeightStore{"store", Plan.LoadsPerSecond_,
                                    Plan.ConcurrentLoads_, Plan.InTransit_});
  std::size_t EngineIndex = 0;
  for (const EnginePool &Pool : Plan.Pools_) {
    for (std::int64_t Index = 0; Index < Pool.Engines_; ++Index) {
      auto Address = std::get<Endpoint>(parseEndpoint(Engines.at(EngineIndex)));
      Target Engine;
      Engine.Name_ = Pool.Name_ + "-" + std::to_string(Index);
      Engine.DataCentre_ =
          Plan.DataCentres_[EngineIndex % Plan.DataCentres_.size()];
      Engine.Address_ = Address.Address_;
      Engine.Port_ = Address.Port_;
      Engine.BaseModel_ = "base";
      Engine.Pool_ = Pool.Name_;
      Engine.Slots_ = Plan.EngineSlots_;
      Engine.AdapterSlots_ = Plan.AdapterSlots_;
      Change.Put_.push_back(std::move(Engine));
      ++EngineIndex;
    }
  }
}

ChangeSet planChange(const DeploymentPlan &Plan,
                     const std::vector<std::string> &Engines) {
  ChangeSet Change;
  Change.SubmitId_ = "load-" + Plan.Name_;
  addFleet(Plan, Engines, Change);
  for (const PlannedCustomer &Planned : Plan.Customers_) {
    Customer Owner;
    Owner.Name_ = Planned.Name_;
    Owner.RateTokensPerSecond_ = Planned.RateTokensPerSecond_;
    Owner.BurstTokens_ = Planned.BurstTokens_;
    Change.Put_.push_back(std::move(Owner));
    Key Secret;
    Secret.Name_ = Planned.Name_ + "-load";
    Secret.Customer_ = Planned.Name_;
    Secret.Sha256_ = sha256Hex(plannedSecret(Plan, Planned));
    Change.Put_.push_back(std::move(Secret));
  }
  for (std::int64_t Index = 0; Index < Plan.Adapters_; ++Index) {
    Adapter Planned;
    Planned.Name_ = "adapter-" + std::to_string(Index);
    Planned.BaseModel_ = "base";
    Planned.Versions_.push_back({"1", Planned.Name_ + "/1"});
    Planned.CurrentVersion_ = "1";
    Change.Put_.push_back(std::move(Planned));
  }
  Change.Put_.push_back(RequestClass{"high", 20, 5000});
  Change.Put_.push_back(RequestClass{"low", 10, 5000});
  // The first pool is behind the plain path, the second behind /app.
  Route Main;
  Main.Name_ = "main";
  Main.PathPrefix_ = "/v1";
  Main.Pool_ = Plan.Pools_[0].Name_;
  Main.RequestClass_ = "high";
  Main.DeadlineMs_ = 10000;
  Change.Put_.push_back(Main);
  return Change;
}

std::string planScenario(const DeploymentPlan &Plan, std::string_view Kind,
                         double RequestsPerSecond, double Seconds,
                         const std::vector<std::string> &Vms,
                         const std::vector<std::string> &Engines,
                         const std::string &Platform) {
  json Sources = json::array();
  json Entitlements = json::array();
  for (const PlannedCustomer &Planned : Plan.Customers_) {
    json Source{
        {"customer", Planned.Name_},
        {"secret", plannedSecret(Plan, Planned)},
        {"requests_per_second", RequestsPerSecond * Planned.TrafficShare_},
        {"max_tokens", RequestTokens},
        {"prompt_bytes", PromptBytes}};
    bool IsLargest = &Planned == &Plan.Customers_.front();
    if (Kind == "overload" && IsLargest) {
      Source["surge_factor"] = 5;
      Source["surge_from_seconds"] = Seconds * 6 / 10;
      Source["surge_to_seconds"] = Seconds * 8 / 10;
    }
    Sources.push_back(std::move(Source));
    Entitlements.push_back(
        {{"customer", Planned.Name_},
         {"rate_tokens_per_second", Planned.RateTokensPerSecond_},
         {"burst_tokens", Planned.BurstTokens_}});
  }
  json Run{{"name", Plan.Name_ + " " + std::string(Kind)},
           {"seed", 20261203},
           {"duration_seconds", Seconds},
           {"warmup_seconds", Seconds / 2},
           {"vms", Vms},
           {"engines", Engines},
           {"engine_slots", Plan.EngineSlots_},
           {"adapter_count", Plan.Adapters_},
           {"zipf_exponent", 1.3},
           {"sources", Sources},
           {"entitlements", Entitlements}};
  if (Kind == "shift")
    Run["shift_at_seconds"] = Seconds * 6 / 10;
  if (Kind == "outage")
    Run["faults"] = {{{"at_seconds", Seconds * 6 / 10},
                      {"server", Platform},
                      {"body", json{{"down", true}}.dump()}},
                     {{"at_seconds", Seconds * 8 / 10},
                      {"server", Platform},
                      {"body", json{{"down", false}}.dump()}}};
  return Run.dump(2);
}

} // namespace anvil
