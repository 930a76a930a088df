#include "Entry/OwnerRows.h"

#include "Kernel/BoundedJson.h"
#include "StoreEra/StoreEra.h"

#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace anvil {

using nlohmann::json;

static constexpr std::string_view EraPrefix = "era/";
static constexpr std::string_view VmPrefix = "vm/";
static constexpr std::string_view OwnerPrefix = "owner/";

/// The number of rows in one removal; each takes two of the entries that a call
/// may hold.
static constexpr std::size_t MaxRemovedRows = 50;

static std::string eraPrefix(std::uint64_t Era) {
  return Era == 0 ? std::string()
                  : std::string(EraPrefix) + std::to_string(Era) + "/";
}

std::string vmRowKey(const std::string &Vm, std::uint64_t Era) {
  return eraPrefix(Era) + std::string(VmPrefix) + Vm;
}

std::string ownerRowKey(const std::string &Target, std::uint64_t Era) {
  return eraPrefix(Era) + std::string(OwnerPrefix) + Target;
}

/// Splits the era off a key. Malformed eras count as zero.
static std::pair<std::uint64_t, std::string_view>
splitKey(std::string_view Key) {
  auto End = Key.starts_with(EraPrefix) ? Key.find('/', EraPrefix.size())
                                        : std::string_view::npos;
  if (End == std::string_view::npos)
    return {0, Key};
  auto Era =
      StoreEra::parse(Key.substr(EraPrefix.size(), End - EraPrefix.size()));
  return {Era.value_or(0), Key.substr(End + 1)};
}

std::string encodeVmRow(const VmRow &Row) {
  return json{
      {"incarnation", Row.Incarnation_},  {"data_centre", Row.DataCentre_},
      {"peer_address", Row.PeerAddress_}, {"renewals", Row.Renewals_},
      {"standby", Row.Standby_},          {"relay_port", Row.RelayPort_},
      {"relay_key", Row.RelayKey_}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string encodeOwnerRow(const OwnerRow &Row) {
  return json{{"vm", Row.Vm_}, {"fence", Row.Fence_}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
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

/// The port under `Name`; zero if there is none.
static std::uint16_t portOf(const json &Source, const char *Name) {
  std::uint64_t Number = countOf(Source, Name);
  constexpr std::uint64_t MaxPort = 65535;
  return static_cast<std::uint16_t>(Number <= MaxPort ? Number : 0);
}

static VmRow decodeVmRow(std::string_view Vm, const json &Value,
                         std::uint64_t Version) {
  return {std::string(Vm),
          textOf(Value, "incarnation"),
          textOf(Value, "data_centre"),
          textOf(Value, "peer_address"),
          countOf(Value, "renewals"),
          Version,
          flagOf(Value, "standby"),
          portOf(Value, "relay_port"),
          textOf(Value, "relay_key")};
}

ControlRows decodeControlRows(const std::vector<TableRow> &Rows,
                              std::uint64_t Era) {
  ControlRows Decoded;
  std::map<std::string, VmRow> Earlier;
  for (const TableRow &Row : Rows) {
    json Value = parseOrDiscard(Row.Value_);
    auto [RowEra, Key] = splitKey(Row.Key_);
    bool IsVm = Key.starts_with(VmPrefix);
    bool IsOwner = Key.starts_with(OwnerPrefix);
    if (!Value.is_object() || RowEra > Era || (!IsVm && !IsOwner))
      continue;
    std::string Name(Key.substr(IsVm ? VmPrefix.size() : OwnerPrefix.size()));
    if (RowEra < Era)
      Decoded.EarlierRows_.push_back(Row);
    if (IsVm) {
      VmRow Vm = decodeVmRow(Name, Value, Row.Version_);
      if (RowEra == Era)
        Decoded.Vms_.push_back(std::move(Vm));
      else
        Earlier[Name] = std::move(Vm);
    } else if (RowEra == Era) {
      Decoded.Owners_.push_back({std::move(Name), textOf(Value, "vm"),
                                 countOf(Value, "fence"), Row.Version_});
    }
  }
  for (const VmRow &Row : Decoded.Vms_)
    Earlier.erase(Row.Vm_);
  for (auto &[Name, Row] : Earlier)
    Decoded.EarlierVms_.push_back(std::move(Row));
  return Decoded;
}

TableTransaction claimTransaction(const OwnerClaim &Claim,
                                  const std::string &Self,
                                  std::uint64_t OwnRowVersion,
                                  std::uint64_t Era) {
  TableTransaction Change;
  std::string OwnerKey = ownerRowKey(Claim.Row_.Target_, Era);
  Change.Checks_.push_back({OwnerKey, Claim.ExpectedRow_});
  Change.Checks_.push_back({vmRowKey(Self, Era), OwnRowVersion});
  Change.Writes_.push_back({OwnerKey, encodeOwnerRow(Claim.Row_)});
  if (!Claim.ExpiredVm_.empty()) {
    std::string ExpiredKey = vmRowKey(Claim.ExpiredVm_, Era);
    Change.Checks_.push_back({ExpiredKey, Claim.ExpiredVmRow_});
    // Without its row the expired VM can't renew a lease that it may still
    // consider valid.
    if (Claim.ExpiredVmRow_ > 0)
      Change.Writes_.push_back({ExpiredKey, std::nullopt});
  }
  return Change;
}

TableTransaction removal(const std::vector<TableRow> &Rows) {
  TableTransaction Change;
  for (const TableRow &Row : Rows) {
    if (Change.Writes_.size() == MaxRemovedRows)
      break;
    Change.Checks_.push_back({Row.Key_, Row.Version_});
    Change.Writes_.push_back({Row.Key_, std::nullopt});
  }
  return Change;
}

} // namespace anvil
