#include "Settings/EntrySettings.h"

#include "Http/Endpoint.h"
#include "Objects/FieldReader.h"
#include "Settings/SettingsFile.h"

#include <nlohmann/json.hpp>

namespace anvil {

static constexpr NumberRange PortRange{0, 65535};
static constexpr NumberRange MillisRange{1, 3600000};

/// The value of `mode` that selects entry mode.
static constexpr std::string_view EntryMode = "entry";

static void visitFields(FieldReader &Fields, EntryListenSettings &Listen) {
  Fields.field("callers", Listen.CallerAddress_, FieldPresence::Required);
  Fields.field("ready", Listen.ReadyAddress_, FieldPresence::Required);
  Fields.field("address", Listen.Address_, FieldPresence::Required);
  Fields.field("peer_port", Listen.PeerPort_, PortRange,
               FieldPresence::Required);
  Fields.field("relay_port", Listen.RelayPort_, PortRange);
  Fields.field("metrics_port", Listen.MetricsPort_, PortRange);
}

static void visitFields(FieldReader &Fields, EntryStoreSettings &Store) {
  Fields.field("address", Store.Address_, FieldPresence::Required);
  Fields.field("timeout_ms", Store.TimeoutMs_, MillisRange);
  Fields.field("watch_ms", Store.WatchTimeoutMs_, {100, 30000});
  Fields.field("target_list_ms", Store.TargetListPeriodMs_, {50, 60000});
  Fields.field("renew_ms", Store.RenewPeriodMs_, {200, 60000});
  Fields.field("writes_per_s", Store.WritesPerSecond_, {1, 1e7});
  Fields.field("reads_per_s", Store.ReadsPerSecond_, {1, 1e7});
}

static void visitFields(FieldReader &Fields, PlatformBoundSettings &Bounds) {
  Fields.field("key_withdrawal_ms", Bounds.KeyWithdrawalMs_, MillisRange);
  Fields.field("config_apply_ms", Bounds.ConfigApplyMs_, MillisRange);
  Fields.field("adapter_version_ms", Bounds.AdapterVersionMs_, MillisRange);
  Fields.field("order_handover_ms", Bounds.OrderHandoverMs_, MillisRange);
  Fields.field("stop_s", Bounds.StopTimeoutS_, {0.1, 3600});
  Fields.field("retry_ratio", Bounds.RetryRatio_, {0, 10});
  Fields.field("retry_extra", Bounds.RetryExtra_, {0, 1000000});
  Fields.field("retry_window_s", Bounds.RetryWindowS_, {1, 3600});
  Fields.field("quota_window_s", Bounds.QuotaWindowS_, {1, 3600});
  Fields.field("quota_overage", Bounds.QuotaOverage_, {0, 10});
  Fields.field("quota_slack", Bounds.QuotaSlack_, {0, 1e9});
}

static void visitFields(FieldReader &Fields, EntrySettings &Settings) {
  Fields.field("mode", Settings.Mode_, FieldPresence::Required);
  Fields.field("vm", Settings.Vm_, FieldPresence::Required);
  Fields.field("data_centre", Settings.DataCentre_, FieldPresence::Required);
  Fields.field("log_level", Settings.LogLevel_);
  Fields.choice("dispatch_policy", Settings.DispatchPolicy_,
                DispatchPolicyNames);
  Fields.field("memory_mb", Settings.MemoryMb_, {64, 1000000});
  Fields.field("transit_limit", Settings.TransitLimit_, {0, 100000});
  Fields.field("bootstrap", Settings.Bootstrap_);
  Fields.field("prefill_tokens_per_ms", Settings.PrefillTokensPerMs_,
               {0.1, 100000});
  Fields.record("listen", Settings.Listen_, FieldPresence::Required);
  Fields.record("store", Settings.Store_, FieldPresence::Required);
  Fields.record("bounds", Settings.Bounds_);
}

static void checkEndpoint(FieldReader &Fields, std::string_view Name,
                          const std::string &Text) {
  auto Parsed = parseEndpoint(Text);
  if (!Text.empty() && !isOk(Parsed))
    Fields.report(Name, errorOf(Parsed).Message_, errorOf(Parsed).Action_);
}

std::variant<EntrySettings, std::vector<Error>>
parseEntrySettings(const std::string &Path, const std::string &Text) {
  auto Parsed = parseSettings(Path, Text);
  if (!isOk(Parsed))
    return std::vector<Error>{errorOf(Parsed)};
  std::vector<Error> Errors;
  EntrySettings Settings;
  FieldReader Reader(valueOf(Parsed), "", Errors);
  visitFields(Reader, Settings);
  Reader.reportUnknownFields();
  checkEndpoint(Reader, "listen.callers", Settings.Listen_.CallerAddress_);
  checkEndpoint(Reader, "listen.ready", Settings.Listen_.ReadyAddress_);
  checkEndpoint(Reader, "store.address", Settings.Store_.Address_);
  std::int64_t LongestPollMs =
      Settings.Store_.WatchTimeoutMs_ + Settings.Store_.TimeoutMs_;
  if (Settings.Bounds_.KeyWithdrawalMs_ <= LongestPollMs)
    Reader.report("bounds.key_withdrawal_ms",
                  "is not longer than the longest wait for changes",
                  "lower the sum of store.watch_ms and store.timeout_ms");
  if (Errors.empty())
    return Settings;
  for (Error &Problem : Errors)
    Problem.Where_ = Path + ": " + Problem.Where_;
  return Errors;
}

bool selectsEntryMode(const std::string &Path, const std::string &Text) {
  auto Parsed = parseSettings(Path, Text);
  if (!isOk(Parsed) || !valueOf(Parsed).is_object())
    return false;
  auto Mode = valueOf(Parsed).find("mode");
  return Mode != valueOf(Parsed).end() && Mode->is_string() &&
         Mode->get<std::string>() == EntryMode;
}

} // namespace anvil
