#include "LoadTool/Scenario.h"

#include "Http/Endpoint.h"
#include "Objects/FieldReader.h"
#include "Settings/SettingsFile.h"

#include <nlohmann/json.hpp>

namespace anvil {

static constexpr NumberRange NotNegative{0};
static constexpr NumberRange SecondsRange{0, 3600};
static constexpr NumberRange CountRange{1, 1000000};
/// Bounds the load that any scenario can generate.
static constexpr NumberRange RateRange{0, 5000};

static void visitFields(FieldReader &Fields, TrafficSource &Source) {
  Fields.field("customer", Source.Customer_, FieldPresence::Required);
  Fields.field("secret", Source.Secret_, FieldPresence::Required);
  Fields.field("path", Source.Path_);
  Fields.field("requests_per_second", Source.RequestsPerSecond_, RateRange,
               FieldPresence::Required);
  Fields.field("max_tokens", Source.MaxTokens_, CountRange);
  Fields.field("prompt_bytes", Source.PromptBytes_, CountRange);
  Fields.field("stream", Source.Stream_);
  Fields.field("servers", Source.Servers_);
  Fields.field("model", Source.Model_);
  Fields.field("surge_factor", Source.SurgeFactor_, NotNegative);
  Fields.field("surge_from_seconds", Source.SurgeFromSeconds_, SecondsRange);
  Fields.field("surge_to_seconds", Source.SurgeToSeconds_, SecondsRange);
}

static void visitFields(FieldReader &Fields, Entitlement &Limit) {
  Fields.field("customer", Limit.Customer_, FieldPresence::Required);
  Fields.field("rate_tokens_per_second", Limit.RateTokensPerSecond_,
               NotNegative, FieldPresence::Required);
  Fields.field("burst_tokens", Limit.BurstTokens_, NotNegative,
               FieldPresence::Required);
}

static void visitFields(FieldReader &Fields, ScheduledFault &Fault) {
  Fields.field("at_seconds", Fault.AtSeconds_, SecondsRange,
               FieldPresence::Required);
  Fields.field("server", Fault.Server_, FieldPresence::Required);
  Fields.field("path", Fault.Path_);
  Fields.field("body", Fault.Body_, FieldPresence::Required);
}

static void visitFields(FieldReader &Fields, Scenario &Run) {
  Fields.field("name", Run.Name_, FieldPresence::Required);
  Fields.field("seed", Run.Seed_);
  Fields.field("duration_seconds", Run.DurationSeconds_, SecondsRange);
  Fields.field("warmup_seconds", Run.WarmupSeconds_, SecondsRange);
  Fields.field("most_open", Run.MaxOpen_, CountRange);
  Fields.field("timeout_seconds", Run.TimeoutSeconds_, SecondsRange);
  Fields.field("vms", Run.Vms_, FieldPresence::Required);
  Fields.field("engines", Run.Engines_);
  Fields.field("engine_slots", Run.EngineSlots_, CountRange);
  Fields.field("adapter_prefix", Run.AdapterPrefix_);
  Fields.field("adapter_count", Run.AdapterCount_, CountRange);
  Fields.field("zipf_exponent", Run.ZipfExponent_, NotNegative);
  Fields.field("shift_at_seconds", Run.ShiftAtSeconds_, SecondsRange);
  Fields.records("sources", Run.Sources_, FieldPresence::Required);
  Fields.records("entitlements", Run.Entitlements_);
  Fields.records("faults", Run.Faults_);
}

static void checkServers(FieldReader &Fields, std::string_view Name,
                         const std::vector<std::string> &Servers) {
  for (const std::string &Server : Servers) {
    auto Parsed = parseEndpoint(Server);
    if (!isOk(Parsed))
      Fields.report(Name, Server + " " + errorOf(Parsed).Message_,
                    errorOf(Parsed).Action_);
  }
}

std::variant<Scenario, std::vector<Error>>
parseScenario(const std::string &Path, const std::string &Text) {
  auto Parsed = parseSettings(Path, Text);
  if (!isOk(Parsed))
    return std::vector<Error>{errorOf(Parsed)};
  std::vector<Error> Errors;
  Scenario Run;
  FieldReader Reader(valueOf(Parsed), "", Errors);
  visitFields(Reader, Run);
  Reader.reportUnknownFields();
  checkServers(Reader, "vms", Run.Vms_);
  checkServers(Reader, "engines", Run.Engines_);
  for (const TrafficSource &Source : Run.Sources_)
    checkServers(Reader, "sources.servers", Source.Servers_);
  for (const ScheduledFault &Fault : Run.Faults_)
    checkServers(Reader, "faults", {Fault.Server_});
  if (Run.Vms_.empty())
    Reader.report("vms", "is empty", "name at least one VM");
  if (Errors.empty())
    return Run;
  for (Error &Problem : Errors)
    Problem.Where_ = Path + ": " + Problem.Where_;
  return Errors;
}

} // namespace anvil
