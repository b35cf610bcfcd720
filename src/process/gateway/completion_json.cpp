#include "process/gateway/completion_json.hpp"

#include "common/codec.hpp"

namespace hatchfork::gateway {
namespace {

nlohmann::json usageToJson(const CompletionUsage& usage) {
  return nlohmann::json{{"prompt_tokens", usage.prompt_tokens},
                        {"completion_tokens", usage.completion_tokens},
                        {"total_tokens", usage.prompt_tokens + usage.completion_tokens}};
}

nlohmann::json chunk(const CompletionHead& head, nlohmann::json choice) {
  choice["index"] = 0;
  nlohmann::json json{
      {"id", head.id}, {"object", head.is_chat ? "chat.completion.chunk" : "text_completion"}, {"model", head.model}};
  json["choices"] = nlohmann::json::array();
  json["choices"].push_back(std::move(choice));
  return json;
}

std::string event(const nlohmann::json& json) {
  return "data: " + json.dump() + "\n\n";
}

nlohmann::json choiceWithText(const CompletionHead& head, const std::string& text) {
  nlohmann::json choice = nlohmann::json::object();
  if (head.is_chat) {
    choice["delta"] = nlohmann::json{{"content", text}};
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = nullptr;
  return choice;
}

}  // namespace

std::string tokenEvent(const CompletionHead& head, std::uint32_t index, const std::string& text) {
  nlohmann::json json = chunk(head, choiceWithText(head, text));
  json["token_index"] = index;
  return event(json);
}

std::string finishEvents(const CompletionHead& head, const std::string& finish_reason, const CompletionUsage& usage) {
  nlohmann::json choice = choiceWithText(head, "");
  if (head.is_chat) choice["delta"] = nlohmann::json::object();
  choice["finish_reason"] = finish_reason;
  nlohmann::json json = chunk(head, std::move(choice));
  json["usage"] = usageToJson(usage);
  return event(json) + "data: [DONE]\n\n";
}

std::string errorEvent(const Error& error) {
  nlohmann::json json = nlohmann::json::object();
  json["error"] = error;
  return event(json);
}

nlohmann::json wholeCompletion(const CompletionHead& head, const std::string& text, const std::string& finish_reason,
                               const CompletionUsage& usage) {
  nlohmann::json choice{{"index", 0}, {"finish_reason", finish_reason}};
  if (head.is_chat) {
    choice["message"] = nlohmann::json{{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  nlohmann::json json{{"id", head.id},
                      {"object", head.is_chat ? "chat.completion" : "text_completion"},
                      {"model", head.model},
                      {"usage", usageToJson(usage)}};
  json["choices"] = nlohmann::json::array();
  json["choices"].push_back(std::move(choice));
  return json;
}

}  // namespace hatchfork::gateway
