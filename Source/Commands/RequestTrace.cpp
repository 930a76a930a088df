#include "Commands/RequestTrace.h"

namespace anvil {

using nlohmann::json;

static constexpr std::pair<std::string_view, std::string_view> ReasonTexts[] = {
    {"no_target", "no target could run it: none was listed, reachable and, for "
                  "an adapter, held it or had an owner to load it"},
    {"no_connection", "the target could not be connected to"},
    {"not_received", "the target's machine acknowledged no part of it"},
    {"adapter_missing", "the engine did not hold the adapter in that version"},
    {"adapter_not_loaded", "no engine's owner answered the demand for its "
                           "adapter within the latency target"},
    {"adapter_too_late", "its adapter could not have been loaded in time"},
    {"target_refused", "the target refused to run it, most likely because it "
                       "was full"},
    {"target_failed", "the target ran it and answered with a failure"},
    {"connection_closed", "the target closed the connection without an answer"},
    {"timeout", "the target gave no answer in time"},
    {"protocol", "the target sent bytes that are no valid answer"},
    {"answer_cut", "the target's answer was truncated"},
    {"answer_too_long",
     "the target's answer did not end within the permitted size"},
    {"event_too_long",
     "an event of the target did not end within the permitted size"},
    {"places_full", "the targets fall over when they must reject too many "
                    "requests, and had as many as fit"},
    {"targets_closed", "the targets had reported limits or requested a pause"},
    {"stream_broken", "the target's stream was interrupted"},
    {"stream_incomplete", "the target's stream ended inside an event, or with "
                          "its connection before the first one"},
    {"not_sealed", "the answer did not come from the target itself"},
    {"vm_stopping", "the VM's time to stop ran out"},
    {"resume_failed", "the stream could not go on at another target"},
};

std::string_view explainReason(std::string_view Reason) {
  for (const auto &[Code, Text] : ReasonTexts)
    if (Code == Reason)
      return Text;
  return Reason;
}

void RequestTrace::read(std::istream &Log) {
  std::string Line;
  while (std::getline(Log, Line)) {
    auto Begin = Line.find('{');
    if (Begin == std::string::npos || Line.find(Id_) == std::string::npos)
      continue;
    json Parsed = json::parse(Line.substr(Begin), nullptr, false);
    if (!Parsed.is_object() || Parsed.value("request", "") != Id_)
      continue;
    auto Time = Parsed.value("time_ms", std::int64_t{0});
    Lines_.emplace(Time, std::move(Parsed));
  }
}

std::vector<json> RequestTrace::lines() const {
  std::vector<json> Sorted;
  for (const auto &[Time, Line] : Lines_)
    Sorted.push_back(Line);
  return Sorted;
}

/// Describes the failed attempts before the end, in log order.
static std::string failedAttemptsText(const std::vector<json> &Lines) {
  std::string Text;
  for (const json &Line : Lines)
    if (Line.value("event", "") == "try_failed")
      Text += "; at " + Line.value("target", "") + " " +
              std::string(explainReason(Line.value("reason", "")));
  return Text;
}

static std::string outcomeText(const json &End) {
  std::string Outcome = End.value("outcome", "");
  std::string Text = Outcome;
  int Status = End.value("status", 0);
  if (Status > 0)
    Text += " with status " + std::to_string(Status);
  Text += " by " + End.value("vm", "a VM") + " after " +
          std::to_string(End.value("took_ms", std::int64_t{0})) + " ms";
  std::string Reason = End.value("reason", "");
  if (!Reason.empty() && Outcome != "served")
    Text += ", because " + std::string(explainReason(Reason));
  std::string Through = End.value("through", "");
  if (!Through.empty())
    Text += "; it reached its target through " + Through + " (tunnel " +
            End.value("tunnel", "") + ")";
  auto Wait = End.value("adapter_wait_ms", std::int64_t{0});
  if (Wait > 0)
    Text += "; it waited " + std::to_string(Wait) + " ms for its adapter " +
            End.value("adapter", "");
  auto Gap = End.value("longest_gap_ms", std::int64_t{0});
  if (Gap > 0)
    Text +=
        "; the longest pause of its stream was " + std::to_string(Gap) + " ms";
  return Text;
}

std::string RequestTrace::summary() const {
  std::vector<json> Sorted = lines();
  if (Sorted.empty())
    return "request " + Id_ +
           " is in none of the logs: it was served without a failure, or its "
           "lines were dropped (see log_lines_dropped)";
  std::string Text = "request " + Id_ + " was ";
  const json &Last = Sorted.back();
  if (Last.value("event", "") == "request_refused")
    return Text + "refused with status " +
           std::to_string(Last.value("status", 0)) + " by " +
           Last.value("vm", "a VM") +
           " at its admission: " + Last.value("reason", "") + " (revision " +
           std::to_string(Last.value("revision", std::int64_t{0})) +
           ", confirmed " +
           std::to_string(Last.value("evidence_age_ms", std::int64_t{-1})) +
           " ms before)";
  if (Last.value("event", "") == "request_end")
    return Text + outcomeText(Last) + failedAttemptsText(Sorted);
  return Text + "still in progress at its last log line" +
         failedAttemptsText(Sorted);
}

} // namespace anvil
