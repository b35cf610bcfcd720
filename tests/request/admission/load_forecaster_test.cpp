#include "request/admission/load_forecaster.hpp"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>

using namespace hatchfork;
using namespace hatchfork::request;

namespace {

constexpr Duration kStep = fromMillis(50);

Instant at(double seconds) {
  return Instant{} + std::chrono::hours(1) + Duration(static_cast<Duration::rep>(seconds * 1e6));
}

/// Records a load between `from` and `to`; `load(second)` is the count in flight.
template <class Load>
void play(LoadForecaster& forecaster, double from, double to, const Load& load) {
  for (double second = from; second < to; second += toSeconds(kStep)) forecaster.note(at(second), load(second));
}

/// Low for 3.4 s, high for 2.4 s.
double steps(double second) {
  return std::fmod(second, 5.8) < 3.4 ? 60 : 300;
}

}  // namespace

TEST_CASE("a cycle of steps is detected, and its next rise is forecast at the right time", "[admission][wave]") {
  LoadForecaster forecaster;
  play(forecaster, 0, 20, steps);
  REQUIRE(forecaster.period().has_value());
  REQUIRE(std::abs(toMillis(*forecaster.period()) - 5800) <= 100);
  // 20 s is 2.6 s into the trough: the rise follows in 0.8 s.
  REQUIRE(forecaster.level() == 60);
  REQUIRE(forecaster.forecast().mostWithin(fromMillis(250)) == 60);
  REQUIRE(forecaster.forecast().mostWithin(fromMillis(500)) == 60);
  REQUIRE(forecaster.forecast().mostWithin(fromMillis(1500)) == 300);
  // At the start of the trough no rise follows for three seconds.
  play(forecaster, 20, 23.6, steps);
  REQUIRE(forecaster.level() == 60);
  REQUIRE(forecaster.forecast().mostWithin(fromMillis(2000)) == 60);
  REQUIRE(forecaster.forecast().mostWithin(fromMillis(5000)) == 300);
}

TEST_CASE("noise has no period, and may rise again as far as it recently did", "[admission][wave]") {
  std::mt19937_64 random(11);
  std::poisson_distribution<int> counts(200);
  LoadForecaster forecaster;
  play(forecaster, 0, 30, [&](double) { return counts(random); });
  REQUIRE_FALSE(forecaster.period().has_value());
  REQUIRE(forecaster.forecast().mostWithin(fromMillis(3000)) > 200);
  REQUIRE(forecaster.forecast().mostWithin(fromMillis(3000)) <= forecaster.peak());
}

TEST_CASE("no fast rise is forecast for a load that never rises fast", "[admission][wave]") {
  LoadForecaster forecaster;
  play(forecaster, 0, 20, [](double second) { return 100 + 5 * second; });
  REQUIRE_FALSE(forecaster.period().has_value());
  REQUIRE(forecaster.forecast().mostWithin(fromMillis(1000)) <= forecaster.level() + 6);
}

TEST_CASE("a surge above the predicted count suspends the period for a while", "[admission][wave]") {
  LoadForecaster forecaster;
  play(forecaster, 0, 23.6, steps);
  REQUIRE(forecaster.forecast().mostWithin(fromMillis(2000)) == 60);
  play(forecaster, 23.6, 23.8, [](double) { return 400; });
  REQUIRE_FALSE(forecaster.period().has_value());
  REQUIRE(forecaster.forecast().mostWithin(fromMillis(250)) == 400);
}

TEST_CASE("a cycle is no longer detected once it is over", "[admission][wave]") {
  LoadForecaster forecaster;
  play(forecaster, 0, 20, steps);
  play(forecaster, 20, 60, [](double) { return 60; });
  REQUIRE_FALSE(forecaster.period().has_value());
  REQUIRE(forecaster.forecast().mostWithin(fromMillis(8000)) == 60);
}

TEST_CASE("without any count the forecast is zero", "[admission][wave]") {
  const LoadForecaster forecaster;
  REQUIRE(forecaster.level() == 0);
  REQUIRE(forecaster.peak() == 0);
  REQUIRE_FALSE(forecaster.period().has_value());
  REQUIRE(forecaster.forecast().mostWithin(std::chrono::seconds(20)) == 0);
}

TEST_CASE("a forecast is never below the current count, nor above the highest recorded count", "[admission][wave]") {
  const bool holds = rc::check("bounds of a forecast", [] {
    const auto counts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500));
    LoadForecaster forecaster;
    double second = 0;
    for (const int count : counts) {
      second += 0.01 * *rc::gen::inRange(1, 30);
      forecaster.note(at(second), count);
      for (const double most : forecaster.forecast().most) RC_ASSERT(most <= forecaster.peak());
      RC_ASSERT(forecaster.forecast().mostWithin(Duration::zero()) >= forecaster.level());
    }
  });
  REQUIRE(holds);
}
