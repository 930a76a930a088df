#ifndef ANVIL_COMMANDS_REQUESTTRACE_H
#define ANVIL_COMMANDS_REQUESTTRACE_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// Collects the log lines of one request from the logs of any number of VMs and
/// summarizes how the request ended. Used by `anvilctl explain`.
class RequestTrace {
public:
  explicit RequestTrace(std::string RequestId) : Id_(std::move(RequestId)) {}

  /// Adds the request's lines from a log. Ignores text before the JSON of a
  /// line and lines that are not JSON.
  void read(std::istream &Log);

  /// Returns the lines in time order.
  std::vector<nlohmann::json> lines() const;

  /// Returns one sentence on how the request ended and why.
  std::string summary() const;

private:
  std::string Id_;
  /// Sorted by time; lines with the same time keep the order of reading.
  std::multimap<std::int64_t, nlohmann::json> Lines_;
};

/// Returns a description of a reason code used in logs, or the code itself if
/// it is unknown.
std::string_view explainReason(std::string_view Reason);

} // namespace anvil

#endif // ANVIL_COMMANDS_REQUESTTRACE_H
