#include "Telemetry/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace anvil {

struct Metrics::Backend {
  prometheus::Registry Registry_;
  std::map<std::string, prometheus::Family<prometheus::Counter> *> Counters_;
  std::map<std::string, prometheus::Family<prometheus::Gauge> *> Gauges_;
  std::map<std::string, prometheus::Family<prometheus::Histogram> *>
      Histograms_;
};

/// Upper bounds of the histogram buckets, in seconds.
static const prometheus::Histogram::BucketBoundaries DurationBuckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,    0.32,  0.5,   1,     2,    5,    10,   30};

Metrics::Metrics() : Backend_(std::make_unique<Backend>()) {}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &Counter, const MetricLabels &Labels,
                    double Amount) {
  auto &Family = Backend_->Counters_[Counter];
  if (!Family)
    Family =
        &prometheus::BuildCounter().Name(Counter).Register(Backend_->Registry_);
  Family->Add(Labels).Increment(Amount);
}

void Metrics::gauge(const std::string &Gauge, const MetricLabels &Labels,
                    double Value) {
  auto &Family = Backend_->Gauges_[Gauge];
  if (!Family)
    Family =
        &prometheus::BuildGauge().Name(Gauge).Register(Backend_->Registry_);
  Family->Add(Labels).Set(Value);
}

void Metrics::observe(const std::string &Histogram, const MetricLabels &Labels,
                      Duration Span) {
  auto &Family = Backend_->Histograms_[Histogram];
  if (!Family)
    Family = &prometheus::BuildHistogram().Name(Histogram).Register(
        Backend_->Registry_);
  Family->Add(Labels, DurationBuckets).Observe(toSeconds(Span));
}

std::string Metrics::page() const {
  return prometheus::TextSerializer().Serialize(Backend_->Registry_.Collect());
}

} // namespace anvil
