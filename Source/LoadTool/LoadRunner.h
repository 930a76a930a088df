#ifndef ANVIL_LOADTOOL_LOADRUNNER_H
#define ANVIL_LOADTOOL_LOADRUNNER_H

#include "Http/HttpConnection.h"
#include "LoadTool/EngineUsage.h"
#include "LoadTool/RequestLog.h"
#include "LoadTool/Scenario.h"
#include "LoadTool/ZipfSampler.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <random>
#include <vector>

namespace anvil {

/// Runs a scenario as an open-loop load generator: sends each request at its
/// scheduled time, regardless of outstanding responses, and records its
/// outcome.
class LoadRunner {
public:
  explicit LoadRunner(Scenario Run);

  /// Runs the scenario to completion, then reads the engines' records.
  void run();

  const RequestLog &log() const { return Log_; }
  const std::vector<EngineUsage> &engines() const { return Engines_; }

private:
  boost::asio::awaitable<void> generate(const TrafficSource &Source,
                                        std::uint64_t Seed);
  boost::asio::awaitable<void> send(const TrafficSource &Source,
                                    std::string Model, Endpoint Vm,
                                    Duration Arrived);
  boost::asio::awaitable<void> receive(HttpConnection &Connection,
                                       HttpRequest Request, bool IsStream,
                                       RequestRecord &Record);
  boost::asio::awaitable<void> inject(ScheduledFault Fault);
  boost::asio::awaitable<void> readEngineRecords();
  std::string drawModel(std::mt19937_64 &Random, Duration Elapsed) const;
  Duration elapsed() const;

  Scenario Run_;
  ZipfSampler Popularity_;
  ReferenceQuota Reference_;
  /// Tokens used by the last complete response of each customer.
  std::map<std::string, double> TypicalUse_;
  RequestLog Log_;
  std::vector<EngineUsage> Engines_;
  std::int64_t Open_ = 0;
  TimePoint Started_{};
  boost::asio::io_context Loop_;
};

} // namespace anvil

#endif // ANVIL_LOADTOOL_LOADRUNNER_H
