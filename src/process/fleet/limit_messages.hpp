#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

#include "common/ids.hpp"
#include "request/limits/rate_credit.hpp"

/// Frames between gateways and the stores that own tenants' rate limits. Arrays without field names: they are among the
/// most frequent frames.
namespace hatchfork::fleet {

/// A gateway asks for credits.
struct CreditQuestionFrame {
  static constexpr std::string_view kKind = "cq";
  TenantId tenant;
  request::CreditQuestion question;
};
inline void to_json(nlohmann::json& json, const CreditQuestionFrame& frame) {
  json = nlohmann::json::array({frame.tenant, frame.question.wanted});
}
inline void from_json(const nlohmann::json& json, CreditQuestionFrame& frame) {
  json.at(0).get_to(frame.tenant);
  json.at(1).get_to(frame.question.wanted);
}

/// The owner's answer. A store that does not own the limit, or does not know the tenant, says so and grants nothing.
struct CreditAnswerFrame {
  static constexpr std::string_view kKind = "ca";
  TenantId tenant;
  bool is_owner = false;
  request::CreditAnswer answer;
};
inline void to_json(nlohmann::json& json, const CreditAnswerFrame& frame) {
  json = nlohmann::json::array({frame.tenant, frame.is_owner, frame.answer.granted, frame.answer.used_per_second,
                                frame.answer.level, frame.answer.wait.count()});
}
inline void from_json(const nlohmann::json& json, CreditAnswerFrame& frame) {
  json.at(0).get_to(frame.tenant);
  json.at(1).get_to(frame.is_owner);
  json.at(2).get_to(frame.answer.granted);
  json.at(3).get_to(frame.answer.used_per_second);
  json.at(4).get_to(frame.answer.level);
  frame.answer.wait = Duration(json.at(5).get<Duration::rep>());
}

}  // namespace hatchfork::fleet
