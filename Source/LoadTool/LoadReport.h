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

/// How one customer fared.
struct CustomerReport {
  std::string Customer_;
  std::int64_t Sent_ = 0;
  std::int64_t Answered_ = 0;
  std::int64_t Refused_ = 0;
  /// Refused although one ideal bucket for the fleet would have admitted them.
  std::int64_t RefusedWithinRate_ = 0;
  /// Tokens of whole answers a second.
  double Goodput_ = 0;
  /// Whole answers over the requests within the rate; one is all of them.
  double Served_ = 0;
  double FirstTokenP50Ms_ = 0;
  double FirstTokenP95Ms_ = 0;
  double FirstTokenP99Ms_ = 0;
};

/// One second of a run.
struct SecondReport {
  std::int64_t Answered_ = 0;
  std::int64_t Refused_ = 0;
  double FirstTokenP95Ms_ = 0;
};

/// A refusal that takes longer was held back or foreseen too late.
inline constexpr Duration LateRefusal = std::chrono::seconds(1);

/// The figures of a run.
struct LoadReport {
  std::string Scenario_;
  std::int64_t Seed_ = 0;
  std::vector<CustomerReport> Customers_;
  /// The customer with the least `Served_`.
  std::string WorstServed_;
  CustomerReport Total_;
  std::map<std::string, std::int64_t> RefusalsByCause_;
  /// Refusals that came only after `LateRefusal`.
  std::int64_t LateRefusals_ = 0;
  std::int64_t NotSent_ = 0;
  std::int64_t Loads_ = 0;
  std::int64_t Unloads_ = 0;
  std::int64_t EvictedWhileServing_ = 0;
  /// Requests whose first token took longer than a load takes, and the time
  /// they waited in all, in seconds.
  std::int64_t Stalls_ = 0;
  double StallSeconds_ = 0;
  /// Mean requests in a running batch over the engines' slots.
  double BatchEfficiency_ = 0;
  std::vector<SecondReport> Seconds_;
};

/// Works out the figures.
LoadReport makeReport(const Scenario &Run, const RequestLog &Log,
                      const std::vector<EngineUsage> &Engines);

/// The report as JSON.
std::string encodeReport(const LoadReport &Report);

/// The report as lines for people.
std::string reportText(const LoadReport &Report);

} // namespace anvil

#endif // ANVIL_LOADTOOL_LOADREPORT_H
