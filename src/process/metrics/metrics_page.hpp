#pragma once

#include <prometheus/histogram.h>
#include <prometheus/metric_family.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.hpp"

/// What a process tells of itself, as Prometheus text.
namespace hatchfork::metrics {

/// Times in milliseconds, in buckets from 1 ms to 20 s. Belongs to one thread.
class LatencyHistogram {
 public:
  LatencyHistogram();
  void observe(Duration duration);
  prometheus::ClientMetric collect() const { return histogram_->Collect(); }

 private:
  std::unique_ptr<prometheus::Histogram> histogram_;
};

struct Label {
  std::string name;
  std::string value;
};

/// Gathers the values of one moment.
class MetricsPage {
 public:
  void counter(const std::string& name, const std::string& help, double value, const std::vector<Label>& labels = {});
  void gauge(const std::string& name, const std::string& help, double value, const std::vector<Label>& labels = {});
  void histogram(const std::string& name, const std::string& help, const LatencyHistogram& values,
                 const std::vector<Label>& labels = {});
  std::string text() const;

 private:
  prometheus::MetricFamily& family(const std::string& name, const std::string& help, prometheus::MetricType type);

  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace hatchfork::metrics
