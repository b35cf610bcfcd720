#include "process/metrics/metrics_page.hpp"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace hatchfork::metrics {
namespace {

prometheus::Histogram::BucketBoundaries boundaries() {
  return {1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 1000, 2000, 5000, 10000, 20000};
}

void addLabels(prometheus::ClientMetric& metric, const std::vector<Label>& labels) {
  for (const Label& label : labels) {
    prometheus::ClientMetric::Label added;
    added.name = label.name;
    added.value = label.value;
    metric.label.push_back(std::move(added));
  }
}

}  // namespace

LatencyHistogram::LatencyHistogram() : histogram_(std::make_unique<prometheus::Histogram>(boundaries())) {}

void LatencyHistogram::observe(Duration duration) {
  histogram_->Observe(toSeconds(duration) * 1000);
}

prometheus::MetricFamily& MetricsPage::family(const std::string& name, const std::string& help,
                                              prometheus::MetricType type) {
  const auto found = std::find_if(families_.begin(), families_.end(),
                                  [&](const prometheus::MetricFamily& family) { return family.name == name; });
  if (found != families_.end()) return *found;
  prometheus::MetricFamily made;
  made.name = name;
  made.help = help;
  made.type = type;
  families_.push_back(std::move(made));
  return families_.back();
}

void MetricsPage::counter(const std::string& name, const std::string& help, double value,
                          const std::vector<Label>& labels) {
  prometheus::ClientMetric metric;
  metric.counter.value = value;
  addLabels(metric, labels);
  family(name, help, prometheus::MetricType::Counter).metric.push_back(std::move(metric));
}

void MetricsPage::gauge(const std::string& name, const std::string& help, double value,
                        const std::vector<Label>& labels) {
  prometheus::ClientMetric metric;
  metric.gauge.value = value;
  addLabels(metric, labels);
  family(name, help, prometheus::MetricType::Gauge).metric.push_back(std::move(metric));
}

void MetricsPage::histogram(const std::string& name, const std::string& help, const LatencyHistogram& values,
                            const std::vector<Label>& labels) {
  prometheus::ClientMetric metric = values.collect();
  addLabels(metric, labels);
  family(name, help, prometheus::MetricType::Histogram).metric.push_back(std::move(metric));
}

std::string MetricsPage::text() const {
  return prometheus::TextSerializer().Serialize(families_);
}

}  // namespace hatchfork::metrics
