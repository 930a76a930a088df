#include "LoadTool/EngineUsage.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <string>

namespace anvil {

using nlohmann::json;

static constexpr double MicrosPerSecond = 1e6;

Result<EngineUsage> readEngineUsage(std::string_view Records,
                                    std::int64_t FromUs) {
  json Events = json::parse(Records, nullptr, false);
  if (!Events.is_array())
    return Error{ErrorCode::Protocol, "engine records", "are not a list", ""};
  EngineUsage Usage;
  std::set<std::string> Running;
  std::int64_t LastUs = FromUs;
  for (const json &Event : Events) {
    std::int64_t AtUs = std::max(FromUs, Event.value("at_us", FromUs));
    double ElapsedSeconds =
        static_cast<double>(AtUs - LastUs) / MicrosPerSecond;
    Usage.RunSeconds_ += ElapsedSeconds * static_cast<double>(Running.size());
    Usage.BusySeconds_ += Running.empty() ? 0 : ElapsedSeconds;
    LastUs = AtUs;
    bool IsCounted = Event.value("at_us", FromUs) >= FromUs;
    std::string Kind = Event.value("event", "");
    std::string Id = Event.value("request_id", "");
    if (Kind == "run") {
      Running.insert(Id);
      Usage.Runs_ += IsCounted;
    } else if (Kind == "finished" || Kind == "cancelled") {
      Running.erase(Id);
    } else if (Kind == "evicted_while_serving") {
      Running.erase(Id);
      Usage.EvictedWhileServing_ += IsCounted;
    } else if (Kind == "crash") {
      Running.clear();
    } else if (Kind == "load" && Event.value("accepted", false)) {
      Usage.Loads_ += IsCounted;
    } else if (Kind == "unload" && Event.value("accepted", false)) {
      Usage.Unloads_ += IsCounted;
    }
  }
  return Usage;
}

} // namespace anvil
