#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

#include "common/ids.hpp"
#include "request/limits/rate_credit.hpp"

/// Frames between gateways and the stores that own tenants' rate limits. Arrays without field names: they are among the
/// most frequent frames. Fields are only ever added at the end: a process of an earlier release reads what it knows,
/// and what such a process leaves out stands for "none".
namespace hatchfork::fleet {

/// A gateway asks for credits.
struct CreditQuestionFrame {
  static constexpr std::string_view kKind = "cq";
  TenantId tenant;
  request::CreditRequest question;
};
inline void to_json(nlohmann::json& json, const CreditQuestionFrame& frame) {
  json = nlohmann::json::array({frame.tenant, frame.question.wanted});
  if (frame.question.asks.empty() && frame.question.arrivals <= 0) return;
  nlohmann::json asks = nlohmann::json::array();
  for (const request::CreditRequestEntry& ask : frame.question.asks) {
    asks.push_back({ask.content, ask.rank, ask.max_timely_wait.count(), ask.max_useful_wait.count(), ask.away.count()});
  }
  json.push_back(frame.question.arrivals);
  json.push_back(std::move(asks));
}
inline void from_json(const nlohmann::json& json, CreditQuestionFrame& frame) {
  json.at(0).get_to(frame.tenant);
  json.at(1).get_to(frame.question.wanted);
  constexpr std::size_t kArrivals = 2;
  constexpr std::size_t kAsks = 3;
  if (json.size() > kArrivals) json.at(kArrivals).get_to(frame.question.arrivals);
  if (json.size() <= kAsks) return;
  for (const nlohmann::json& ask : json.at(kAsks)) {
    frame.question.asks.push_back(request::CreditRequestEntry{
        ask.at(0).get<std::uint64_t>(), ask.at(1).get<std::uint32_t>(), Duration(ask.at(2).get<Duration::rep>()),
        Duration(ask.at(3).get<Duration::rep>()), Duration(ask.at(4).get<Duration::rep>())});
  }
}

/// The owner's answer. A store that does not own the limit, or does not know the tenant, says so and grants nothing.
struct CreditAnswerFrame {
  static constexpr std::string_view kKind = "ca";
  TenantId tenant;
  bool is_owner = false;
  request::CreditResponse answer;
};
inline void to_json(nlohmann::json& json, const CreditAnswerFrame& frame) {
  json = nlohmann::json::array({frame.tenant, frame.is_owner, frame.answer.granted, frame.answer.used_per_second,
                                frame.answer.level, frame.answer.wait.count()});
  if (!frame.answer.supports_scheduled_retries) return;
  nlohmann::json replies = nlohmann::json::array();
  for (const request::CreditDecision& reply : frame.answer.replies) {
    replies.push_back({reply.content, static_cast<std::uint8_t>(reply.outcome), reply.after.count()});
  }
  json.push_back(frame.answer.is_scarce);
  json.push_back(std::move(replies));
}
inline void from_json(const nlohmann::json& json, CreditAnswerFrame& frame) {
  json.at(0).get_to(frame.tenant);
  json.at(1).get_to(frame.is_owner);
  json.at(2).get_to(frame.answer.granted);
  json.at(3).get_to(frame.answer.used_per_second);
  json.at(4).get_to(frame.answer.level);
  frame.answer.wait = Duration(json.at(5).get<Duration::rep>());
  constexpr std::size_t kIsTight = 6;
  constexpr std::size_t kReplies = 7;
  if (json.size() <= kReplies) return;
  frame.answer.supports_scheduled_retries = true;
  json.at(kIsTight).get_to(frame.answer.is_scarce);
  for (const nlohmann::json& reply : json.at(kReplies)) {
    const auto outcome = reply.at(1).get<std::uint8_t>();
    // What a later release may add is a refusal for this one.
    const bool is_known = outcome <= static_cast<std::uint8_t>(request::CreditOutcome::kRetryUnreserved);
    frame.answer.replies.push_back(request::CreditDecision{
        reply.at(0).get<std::uint64_t>(),
        is_known ? static_cast<request::CreditOutcome>(outcome) : request::CreditOutcome::kRefused,
        Duration(reply.at(2).get<Duration::rep>())});
  }
}

}  // namespace hatchfork::fleet
