#ifndef ANVIL_LOADTOOL_LOADREPORT_H
#define ANVIL_LOADTOOL_LOADREPORT_H

#include "LoadTool/EngineUsage.h"
#include "LoadTool/RequestLog.h"
#include "LoadTool/Scenario.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvil {

/// The results of one customer.
struct CustomerReport {
  std::string Customer_;
  std::int64_t Sent_ = 0;
  std::int64_t Answered_ = 0;
  std::int64_t Refused_ = 0;
  /// Refused although a single token bucket for the whole fleet would have
  /// admitted them.
  std::int64_t RefusedWithinRate_ = 0;
  /// Tokens of complete responses per second.
  double Goodput_ = 0;
  /// Complete responses divided by requests, both counted within the rate; 1 if
  /// no request was within the rate.
  double Served_ = 0;
  double FirstTokenP50Ms_ = 0;
  double FirstTokenP95Ms_ = 0;
  double FirstTokenP99Ms_ = 0;
};

/// The results of one second of a run.
struct SecondReport {
  std::int64_t Answered_ = 0;
  std::int64_t Refused_ = 0;
  double FirstTokenP95Ms_ = 0;
};

/// A refusal that takes longer counts as late: the request was queued too long
/// or the refusal should have been predicted earlier.
inline constexpr Duration LateRefusal = std::chrono::seconds(1);

/// The results of a run.
struct LoadReport {
  std::string Scenario_;
  std::int64_t Seed_ = 0;
  std::vector<CustomerReport> Customers_;
  /// The customer with the lowest `Served_`.
  std::string WorstServed_;
  CustomerReport Total_;
  std::map<std::string, std::int64_t> RefusalsByCause_;
  /// Refusals that took longer than `LateRefusal`.
  std::int64_t LateRefusals_ = 0;
  std::int64_t NotSent_ = 0;
  std::int64_t Loads_ = 0;
  std::int64_t Unloads_ = 0;
  std::int64_t EvictedWhileServing_ = 0;
  /// Requests whose first token took longer than an adapter load, and their
  /// total time to the first token, in seconds.
  std::int64_t Stalls_ = 0;
  double StallSeconds_ = 0;
  /// Mean batch size of busy engines divided by the slots of an engine.
  double BatchEfficiency_ = 0;
  std::vector<SecondReport> Seconds_;
};

/// Computes the report of a run.
LoadReport makeReport(const Scenario &Run, const RequestLog &Log,
                      const std::vector<EngineUsage> &Engines);

/// Formats the report as JSON.
std::string encodeReport(const LoadReport &Report);

/// Formats the report as text.
std::string reportText(const LoadReport &Report);

} // namespace anvil

#endif // ANVIL_LOADTOOL_LOADREPORT_H
