#ifndef ANVIL_PEER_MESSAGETYPE_H
#define ANVIL_PEER_MESSAGETYPE_H

#include <cstdint>
#include <string_view>
#include <utility>

namespace anvil {

/// The types of the messages between VMs. A number is never reused for another
/// type, so that VMs of two releases can interoperate.
enum class MessageType : std::uint16_t {
  Hello = 1,
  Heartbeat = 10,
  Goodbye = 11,
  ConfigPull = 20,
  ConfigEvidence = 21,
  ConfigConfirmation = 22,
  QuotaBalanceRequest = 30,
  QuotaShareRenewal = 31,
  QuotaHandover = 32,
  QuotaPromise = 33,
  PermitRequest = 40,
  PermitRelease = 41,
  PermitInventory = 42,
  TargetReport = 43,
  OwnershipHandover = 44,
  StoreBudget = 45,
  LeaseRenewal = 46,
  CrashSuspect = 50,
  QuarantineClear = 51,
  ClaimLookup = 60,
};

inline constexpr std::pair<MessageType, std::string_view> MessageTypeNames[] = {
    {MessageType::Hello, "hello"},
    {MessageType::Heartbeat, "heartbeat"},
    {MessageType::Goodbye, "goodbye"},
    {MessageType::ConfigPull, "config_pull"},
    {MessageType::ConfigEvidence, "config_evidence"},
    {MessageType::ConfigConfirmation, "config_confirmation"},
    {MessageType::QuotaBalanceRequest, "quota_balance_request"},
    {MessageType::QuotaShareRenewal, "quota_share_renewal"},
    {MessageType::QuotaHandover, "quota_handover"},
    {MessageType::QuotaPromise, "quota_promise"},
    {MessageType::PermitRequest, "permit_request"},
    {MessageType::PermitRelease, "permit_release"},
    {MessageType::PermitInventory, "permit_inventory"},
    {MessageType::TargetReport, "target_report"},
    {MessageType::OwnershipHandover, "ownership_handover"},
    {MessageType::StoreBudget, "store_budget"},
    {MessageType::LeaseRenewal, "lease_renewal"},
    {MessageType::CrashSuspect, "crash_suspect"},
    {MessageType::QuarantineClear, "quarantine_clear"},
    {MessageType::ClaimLookup, "claim_lookup"},
};

/// The name of a message type; "unknown" for an undefined number.
constexpr std::string_view messageTypeName(MessageType Type) {
  for (const auto &[Known, Name] : MessageTypeNames)
    if (Known == Type)
      return Name;
  return "unknown";
}

} // namespace anvil

#endif // ANVIL_PEER_MESSAGETYPE_H
