#include "LoadTool/LoadReport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace anvil {

using nlohmann::json;

/// A first token later than this is attributed to an adapter load: the users'
/// engines load an adapter in a quarter of a second.
static constexpr Duration StallThreshold = std::chrono::milliseconds(250);

static double percentileMs(std::vector<Duration> Values, double Quantile) {
  if (Values.empty())
    return 0;
  auto Last = static_cast<double>(Values.size() - 1);
  auto Index = static_cast<std::ptrdiff_t>(std::ceil(Last * Quantile));
  std::ranges::nth_element(Values, Values.begin() + Index);
  return toSeconds(Values[static_cast<std::size_t>(Index)]) * 1000;
}

static bool isAnswered(const RequestRecord &Record) {
  return Record.Cause_.empty();
}

static CustomerReport
summarize(std::string Name, const std::vector<const RequestRecord *> &Records,
          double Seconds) {
  CustomerReport Report;
  Report.Customer_ = std::move(Name);
  std::int64_t WithinRate = 0;
  std::int64_t AnsweredWithinRate = 0;
  double Tokens = 0;
  std::vector<Duration> FirstTokenTimes;
  for (const RequestRecord *Record : Records) {
    ++Report.Sent_;
    WithinRate += Record->WithinRate_;
    if (isAnswered(*Record)) {
      ++Report.Answered_;
      AnsweredWithinRate += Record->WithinRate_;
      Tokens += Record->UsedTokens_;
      FirstTokenTimes.push_back(Record->FirstToken_);
    } else {
      ++Report.Refused_;
      Report.RefusedWithinRate_ += Record->WithinRate_;
    }
  }
  Report.Goodput_ = Seconds > 0 ? Tokens / Seconds : 0;
  Report.Served_ = WithinRate > 0 ? static_cast<double>(AnsweredWithinRate) /
                                        static_cast<double>(WithinRate)
                                  : 1;
  Report.FirstTokenP50Ms_ = percentileMs(FirstTokenTimes, 0.50);
  Report.FirstTokenP95Ms_ = percentileMs(FirstTokenTimes, 0.95);
  Report.FirstTokenP99Ms_ = percentileMs(FirstTokenTimes, 0.99);
  return Report;
}

static void addSeconds(const Scenario &Run, const RequestLog &Log,
                       LoadReport &Report) {
  std::vector<std::vector<Duration>> FirstTokenTimes;
  auto Count = static_cast<std::size_t>(std::ceil(Run.DurationSeconds_));
  FirstTokenTimes.resize(Count);
  Report.Seconds_.resize(Count);
  for (const RequestRecord &Record : Log.Records_) {
    auto Second = static_cast<std::size_t>(toSeconds(Record.Arrived_));
    if (Second >= Count)
      continue;
    if (isAnswered(Record)) {
      ++Report.Seconds_[Second].Answered_;
      FirstTokenTimes[Second].push_back(Record.FirstToken_);
    } else {
      ++Report.Seconds_[Second].Refused_;
    }
  }
  for (std::size_t Second = 0; Second < Count; ++Second)
    Report.Seconds_[Second].FirstTokenP95Ms_ =
        percentileMs(std::move(FirstTokenTimes[Second]), 0.95);
}

static void addEngines(const Scenario &Run,
                       const std::vector<EngineUsage> &Engines,
                       LoadReport &Report) {
  double BusySeconds = 0;
  double RunSeconds = 0;
  for (const EngineUsage &Usage : Engines) {
    Report.Loads_ += Usage.Loads_;
    Report.Unloads_ += Usage.Unloads_;
    Report.EvictedWhileServing_ += Usage.EvictedWhileServing_;
    BusySeconds += Usage.BusySeconds_;
    RunSeconds += Usage.RunSeconds_;
  }
  if (BusySeconds > 0)
    Report.BatchEfficiency_ =
        RunSeconds / BusySeconds / static_cast<double>(Run.EngineSlots_);
}

LoadReport makeReport(const Scenario &Run, const RequestLog &Log,
                      const std::vector<EngineUsage> &Engines) {
  LoadReport Report;
  Report.Scenario_ = Run.Name_;
  Report.Seed_ = Run.Seed_;
  Report.NotSent_ = Log.NotSent_;
  double Seconds = Run.DurationSeconds_ - Run.WarmupSeconds_;
  std::vector<const RequestRecord *> All;
  std::map<std::string, std::vector<const RequestRecord *>> ByCustomer;
  for (const RequestRecord &Record : Log.Records_) {
    if (toSeconds(Record.Arrived_) < Run.WarmupSeconds_)
      continue;
    All.push_back(&Record);
    ByCustomer[Record.Customer_].push_back(&Record);
    if (!isAnswered(Record)) {
      ++Report.RefusalsByCause_[Record.Cause_];
      Report.LateRefusals_ += Record.Taken_ > LateRefusal;
    } else if (Record.FirstToken_ > StallThreshold) {
      ++Report.Stalls_;
      Report.StallSeconds_ += toSeconds(Record.FirstToken_);
    }
  }
  Report.Total_ = summarize("all", All, Seconds);
  double LowestServed = 2;
  for (const auto &[Name, Records] : ByCustomer) {
    Report.Customers_.push_back(summarize(Name, Records, Seconds));
    if (Report.Customers_.back().Served_ < LowestServed) {
      LowestServed = Report.Customers_.back().Served_;
      Report.WorstServed_ = Name;
    }
  }
  addSeconds(Run, Log, Report);
  addEngines(Run, Engines, Report);
  return Report;
}

static json customerJson(const CustomerReport &Given) {
  return {{"customer", Given.Customer_},
          {"sent", Given.Sent_},
          {"answered", Given.Answered_},
          {"refused", Given.Refused_},
          {"refused_within_rate", Given.RefusedWithinRate_},
          {"goodput_tokens_per_second", Given.Goodput_},
          {"served", Given.Served_},
          {"first_token_p50_ms", Given.FirstTokenP50Ms_},
          {"first_token_p95_ms", Given.FirstTokenP95Ms_},
          {"first_token_p99_ms", Given.FirstTokenP99Ms_}};
}

std::string encodeReport(const LoadReport &Report) {
  json Customers = json::array();
  for (const CustomerReport &Given : Report.Customers_)
    Customers.push_back(customerJson(Given));
  json Seconds = json::array();
  for (const SecondReport &Given : Report.Seconds_)
    Seconds.push_back({{"answered", Given.Answered_},
                       {"refused", Given.Refused_},
                       {"first_token_p95_ms", Given.FirstTokenP95Ms_}});
  return json{{"scenario", Report.Scenario_},
              {"seed", Report.Seed_},
              {"total", customerJson(Report.Total_)},
              {"customers", Customers},
              {"worst_served", Report.WorstServed_},
              {"refusals", Report.RefusalsByCause_},
              {"late_refusals", Report.LateRefusals_},
              {"not_sent", Report.NotSent_},
              {"loads", Report.Loads_},
              {"unloads", Report.Unloads_},
              {"evicted_while_serving", Report.EvictedWhileServing_},
              {"stalls", Report.Stalls_},
              {"stall_seconds", Report.StallSeconds_},
              {"batch_efficiency", Report.BatchEfficiency_},
              {"seconds", Seconds}}
      .dump(2);
}

/// Prints one row of the table. Times have one decimal, because gateways add
/// little latency.
static void printCustomer(std::ostream &Out, const CustomerReport &Given) {
  Out << std::left << std::setw(12) << Given.Customer_ << std::right
      << std::setw(7) << Given.Sent_ << std::setw(9) << Given.Answered_
      << std::setw(8) << Given.Refused_ << std::setw(9)
      << Given.RefusedWithinRate_ << std::setw(9) << std::fixed
      << std::setprecision(3) << Given.Served_ << std::setprecision(0)
      << std::setw(10) << Given.Goodput_ << std::setprecision(1) << std::setw(8)
      << Given.FirstTokenP50Ms_ << std::setw(8) << Given.FirstTokenP95Ms_
      << std::setw(8) << Given.FirstTokenP99Ms_ << "\n";
}

std::string reportText(const LoadReport &Report) {
  std::ostringstream Out;
  Out << Report.Scenario_ << ", seed " << Report.Seed_ << "\n"
      << "customer       sent answered refused in-rate   served  tokens/s"
         "  p50 ms  p95 ms  p99 ms\n";
  for (const CustomerReport &Given : Report.Customers_)
    printCustomer(Out, Given);
  printCustomer(Out, Report.Total_);
  Out << "worst served " << Report.WorstServed_ << "; loads " << Report.Loads_
      << ", unloads " << Report.Unloads_ << ", evicted while serving "
      << Report.EvictedWhileServing_ << "; stalls " << Report.Stalls_ << " ("
      << std::setprecision(1) << Report.StallSeconds_
      << " s); batch efficiency " << std::setprecision(3)
      << Report.BatchEfficiency_ << "; refused late " << Report.LateRefusals_
      << "; not sent " << Report.NotSent_ << "\n";
  for (const auto &[Cause, Count] : Report.RefusalsByCause_)
    Out << "  " << Cause << " " << Count << "\n";
  return Out.str();
}

} // namespace anvil
