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

/// Plays a load from `from` on; `load(second)` is the count in flight.
template <class Load>
void play(LoadForecaster& wave, double from, double to, const Load& load) {
  for (double second = from; second < to; second += toSeconds(kStep)) wave.note(at(second), load(second));
}

/// Low for 3.4 s, high for 2.4 s.
double steps(double second) {
  return std::fmod(second, 5.8) < 3.4 ? 60 : 300;
}

}  // namespace

TEST_CASE("a wave of steps is found, and its next rise is expected when it comes", "[admission][wave]") {
  LoadForecaster wave;
  play(wave, 0, 20, steps);
  REQUIRE(wave.period().has_value());
  REQUIRE(std::abs(toMillis(*wave.period()) - 5800) <= 100);
  // At 20 s it is 2.6 s into the trough: 0.8 s more until the rise.
  REQUIRE(wave.level() == 60);
  REQUIRE(wave.forecast().mostWithin(fromMillis(250)) == 60);
  REQUIRE(wave.forecast().mostWithin(fromMillis(500)) == 60);
  REQUIRE(wave.forecast().mostWithin(fromMillis(1500)) == 300);
  // At the begin of the trough nothing comes for three seconds.
  play(wave, 20, 23.6, steps);
  REQUIRE(wave.level() == 60);
  REQUIRE(wave.forecast().mostWithin(fromMillis(2000)) == 60);
  REQUIRE(wave.forecast().mostWithin(fromMillis(5000)) == 300);
}

TEST_CASE("noise has no period, and may rise again as it did lately", "[admission][wave]") {
  std::mt19937_64 random(11);
  std::poisson_distribution<int> counts(200);
  LoadForecaster wave;
  play(wave, 0, 30, [&](double) { return counts(random); });
  REQUIRE_FALSE(wave.period().has_value());
  REQUIRE(wave.forecast().mostWithin(fromMillis(3000)) > 200);
  REQUIRE(wave.forecast().mostWithin(fromMillis(3000)) <= wave.peak());
}

TEST_CASE("a load that never rises fast is not expected to", "[admission][wave]") {
  LoadForecaster wave;
  play(wave, 0, 20, [](double second) { return 100 + 5 * second; });
  REQUIRE_FALSE(wave.period().has_value());
  REQUIRE(wave.forecast().mostWithin(fromMillis(1000)) <= wave.level() + 6);
}

TEST_CASE("a surge against what the period told takes it out of trust for a while", "[admission][wave]") {
  LoadForecaster wave;
  play(wave, 0, 23.6, steps);
  REQUIRE(wave.forecast().mostWithin(fromMillis(2000)) == 60);
  play(wave, 23.6, 23.8, [](double) { return 400; });
  REQUIRE_FALSE(wave.period().has_value());
  REQUIRE(wave.forecast().mostWithin(fromMillis(250)) == 400);
}

TEST_CASE("a wave is forgotten once it is over", "[admission][wave]") {
  LoadForecaster wave;
  play(wave, 0, 20, steps);
  play(wave, 20, 60, [](double) { return 60; });
  REQUIRE_FALSE(wave.period().has_value());
  REQUIRE(wave.forecast().mostWithin(fromMillis(8000)) == 60);
}

TEST_CASE("without any count nothing is expected", "[admission][wave]") {
  const LoadForecaster wave;
  REQUIRE(wave.level() == 0);
  REQUIRE(wave.peak() == 0);
  REQUIRE_FALSE(wave.period().has_value());
  REQUIRE(wave.forecast().mostWithin(std::chrono::seconds(20)) == 0);
}

TEST_CASE("a forecast is never below what is in flight now, nor above the most that was kept", "[admission][wave]") {
  const bool holds = rc::check("bounds of a forecast", [] {
    const auto counts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500));
    LoadForecaster wave;
    double second = 0;
    for (const int count : counts) {
      second += 0.01 * *rc::gen::inRange(1, 30);
      wave.note(at(second), count);
      for (const double most : wave.forecast().most) RC_ASSERT(most <= wave.peak());
      RC_ASSERT(wave.forecast().mostWithin(Duration::zero()) >= wave.level());
    }
  });
  REQUIRE(holds);
}
