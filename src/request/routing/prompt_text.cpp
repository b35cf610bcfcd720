#include "request/routing/prompt_text.hpp"

namespace hatchfork::request {
namespace {

Error malformed(std::string message) {
  return Error{ErrorKind::kInvalidArgument,
               std::move(message),
               "send a string in `prompt`, or `messages` with a string `role` and `content` each",
               Executed::kNo,
               {}};
}

Result<std::string> messagesText(const nlohmann::json& messages) {
  if (!messages.is_array() || messages.empty()) return malformed("`messages` is not a list with an entry");
  std::string text;
  for (const nlohmann::json& message : messages) {
    const bool complete = message.is_object() && message.contains("role") && message.contains("content") &&
                          message["role"].is_string() && message["content"].is_string();
    if (!complete) return malformed("an entry of `messages` lacks its role or content");
    text += message["role"].get_ref<const std::string&>() + ": ";
    text += message["content"].get_ref<const std::string&>() + "\n";
  }
  return text;
}

}  // namespace

Result<std::string> promptText(const nlohmann::json& body) {
  if (!body.is_object()) return malformed("the body is not a JSON object");
  if (body.contains("messages")) return messagesText(body["messages"]);
  if (!body.contains("prompt") || !body["prompt"].is_string()) return malformed("the body has no prompt");
  return body["prompt"].get<std::string>();
}

}  // namespace hatchfork::request
