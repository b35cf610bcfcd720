#include "request/admission/credit_request.hpp"

#include <xxhash.h>

#include <algorithm>

namespace hatchfork::request {
namespace {

/// Part of its objective that a request may wait before it is run: the rest is for its engine and the ways there.
constexpr int kObjectiveParts = 2;
/// Part of its time that a request waits for a late answer: beyond it, too little is left to run it.
constexpr int kLeftParts = 2;
/// Callers let themselves be sent away for a third of the time that they still wait.
constexpr int kAwayParts = 3;
/// Kept from that, so that the time told is one that the caller keeps to.
constexpr Duration kAwayMargin = fromMillis(10);

}  // namespace

CreditRequestEntry creditRequestFor(Duration objective, Duration left, Duration caller_left) {
  CreditRequestEntry ask;
  ask.max_useful_wait = std::max(Duration::zero(), left / kLeftParts);
  ask.max_timely_wait = std::min(objective / kObjectiveParts, ask.max_useful_wait);
  ask.away = std::max(Duration::zero(), caller_left / kAwayParts - kAwayMargin);
  return ask;
}

std::uint64_t contentHash(const RequestContent& content) {
  std::uint64_t number = 0;
  for (const std::string_view part : {content.caller, content.method, content.host, content.target, content.body}) {
    number = XXH3_64bits_withSeed(part.data(), part.size(), number + part.size());
  }
  return number;
}

}  // namespace hatchfork::request
