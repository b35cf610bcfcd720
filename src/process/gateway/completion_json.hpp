#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "common/error.hpp"

namespace hatchfork::gateway {

/// The parts of an answer that its JSON forms share.
struct CompletionHead {
  std::string id;
  std::string model;
  bool is_chat = false;
};

struct CompletionUsage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
};

/// One server-sent event with one token.
std::string tokenEvent(const CompletionHead& head, std::uint32_t index, const std::string& text);
/// The closing event with the finish reason, then the end mark.
std::string finishEvents(const CompletionHead& head, const std::string& finish_reason, const CompletionUsage& usage);
/// The event that tells a caller whose stream has begun that the rest will not come. No end mark follows.
std::string errorEvent(const Error& error);
/// The whole answer as one JSON object.
nlohmann::json wholeCompletion(const CompletionHead& head, const std::string& text, const std::string& finish_reason,
                               const CompletionUsage& usage);

}  // namespace hatchfork::gateway
