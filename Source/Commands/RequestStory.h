#ifndef ANVIL_COMMANDS_REQUESTSTORY_H
#define ANVIL_COMMANDS_REQUESTSTORY_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// The log lines of one request, from any number of VMs.
class RequestStory {
public:
  explicit RequestStory(std::string RequestId) : Id_(std::move(RequestId)) {}

  /// Takes the request's lines out of a log. What stands before a line's JSON,
  /// and lines that are no JSON, are passed over.
  void read(std::istream &Log);

  /// The lines in the order of their time.
  std::vector<nlohmann::json> lines() const;

  /// One sentence that says how the request ended and why.
  std::string summary() const;

private:
  std::string Id_;
  /// By time, then in the order of their reading.
  std::multimap<std::int64_t, nlohmann::json> Lines_;
};

/// What a reason of the log means, in plain words.
std::string_view explainReason(std::string_view Reason);

} // namespace anvil

#endif // ANVIL_COMMANDS_REQUESTSTORY_H
