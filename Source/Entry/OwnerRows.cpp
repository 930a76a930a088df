#include "Entry/OwnerRows.h"

#include <nlohmann/json.hpp>

namespace anvil {

using nlohmann::json;

static constexpr std::string_view VmPrefix = "vm/";
static constexpr std::string_view OwnerPrefix = "owner/";

std::string vmRowKey(const std::string &Vm) {
  return std::string(VmPrefix) + Vm;
}

std::string ownerRowKey(const std::string &Target) {
  return std::string(OwnerPrefix) + Target;
}

std::string encodeVmRow(const VmRow &Row) {
  return json{{"incarnation", Row.Incarnation_},
              {"data_centre", Row.DataCentre_},
              {"peer_address", Row.PeerAddress_},
              {"renewals", Row.Renewals_},
              {"standby", Row.Standby_}}
      .dump();
}

std::string encodeOwnerRow(const OwnerRow &Row) {
  return json{{"vm", Row.Vm_}, {"fence", Row.Fence_}}.dump();
}

static bool flagOf(const json &Source, const char *Name) {
  auto Found = Source.find(Name);
  return Found != Source.end() && Found->is_boolean() && Found->get<bool>();
}

/// The unsigned number under `Name`; zero if there is none.
static std::uint64_t countOf(const json &Source, const char *Name) {
  auto Found = Source.find(Name);
  bool IsCount = Found != Source.end() && Found->is_number_unsigned();
  return IsCount ? Found->get<std::uint64_t>() : 0;
}

static std::string textOf(const json &Source, const char *Name) {
  auto Found = Source.find(Name);
  bool IsText = Found != Source.end() && Found->is_string();
  return IsText ? Found->get<std::string>() : std::string();
}

ControlRows decodeControlRows(const std::vector<TableRow> &Rows) {
  ControlRows Decoded;
  for (const TableRow &Row : Rows) {
    json Value = json::parse(Row.Value_, nullptr, false);
    if (!Value.is_object())
      continue;
    if (Row.Key_.starts_with(VmPrefix))
      Decoded.Vms_.push_back(
          {Row.Key_.substr(VmPrefix.size()), textOf(Value, "incarnation"),
           textOf(Value, "data_centre"), textOf(Value, "peer_address"),
           countOf(Value, "renewals"), Row.Version_, flagOf(Value, "standby")});
    else if (Row.Key_.starts_with(OwnerPrefix))
      Decoded.Owners_.push_back({Row.Key_.substr(OwnerPrefix.size()),
                                 textOf(Value, "vm"), countOf(Value, "fence"),
                                 Row.Version_});
  }
  return Decoded;
}

TableTransaction claimTransaction(const OwnerClaim &Claim,
                                  const std::string &Self,
                                  std::uint64_t OwnRowVersion) {
  TableTransaction Change;
  std::string OwnerKey = ownerRowKey(Claim.Row_.Target_);
  Change.Checks_.push_back({OwnerKey, Claim.ExpectedRow_});
  Change.Checks_.push_back({vmRowKey(Self), OwnRowVersion});
  Change.Writes_.push_back({OwnerKey, encodeOwnerRow(Claim.Row_)});
  if (!Claim.ExpiredVm_.empty()) {
    std::string ExpiredKey = vmRowKey(Claim.ExpiredVm_);
    Change.Checks_.push_back({ExpiredKey, Claim.ExpiredVmRow_});
    // Without its row the expired VM can't renew a lease that it may still
    // consider valid.
    if (Claim.ExpiredVmRow_ > 0)
      Change.Writes_.push_back({ExpiredKey, std::nullopt});
  }
  return Change;
}

} // namespace anvil
