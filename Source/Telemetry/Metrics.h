#ifndef ANVIL_TELEMETRY_METRICS_H
#define ANVIL_TELEMETRY_METRICS_H

#include "Kernel/Clock.h"
#include "Kernel/ServiceRegistry.h"

#include <map>
#include <memory>
#include <string>

namespace anvil {

/// The labels of one time series.
using MetricLabels = std::map<std::string, std::string>;

/// The daemon's counters, gauges and histograms, served on the metrics page.
class Metrics : public Service {
public:
  static constexpr std::string_view Name = "metrics";

  Metrics();
  ~Metrics() override;

  std::string_view serviceName() const override { return Name; }

  /// Adds to a counter. The counter is created on first use.
  void count(const std::string &Counter, const MetricLabels &Labels = {},
             double Amount = 1);

  /// Sets a gauge. The gauge is created on first use.
  void gauge(const std::string &Gauge, const MetricLabels &Labels,
             double Value);

  /// Adds a duration to a histogram in seconds.
  void observe(const std::string &Histogram, const MetricLabels &Labels,
               Duration Span);

  /// Returns all series in the Prometheus text format.
  std::string page() const;

private:
  struct Backend;
  std::unique_ptr<Backend> Backend_;
};

} // namespace anvil

#endif // ANVIL_TELEMETRY_METRICS_H
