#include "common/codec.hpp"

#include <cstdint>
#include <utility>
#include <vector>

#include "common/json_bounds.hpp"

namespace hatchfork {

Error protocolError(std::string message) {
  return Error{
      ErrorKind::kProtocol, std::move(message), "check that both sides run the same release", Executed::kNo, {}};
}

std::string encodeCbor(const nlohmann::json& json) {
  std::string bytes;
  nlohmann::json::to_cbor(json, bytes);
  return bytes;
}

Result<nlohmann::json> decodeCbor(std::string_view bytes) {
  nlohmann::json json = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), /*strict=*/true,
                                                  /*allow_exceptions=*/false);
  if (json.is_discarded()) return protocolError("malformed CBOR");
  return json;
}

Result<nlohmann::json> parseJsonText(std::string_view text) {
  if (!isWithinJsonBounds(text)) {
    return Error{ErrorKind::kInvalidArgument,
                 "the body has too many JSON values, or too many in one another",
                 "split it, or send fewer values",
                 Executed::kNo,
                 {}};
  }
  nlohmann::json json = nlohmann::json::parse(text.begin(), text.end(), nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return Error{ErrorKind::kInvalidArgument,
                 "the body is not valid JSON",
                 "send one well-formed JSON value",
                 Executed::kNo,
                 {}};
  }
  return json;
}

void to_json(nlohmann::json& json, const Error& error) {
  json = nlohmann::json{{"kind", toString(error.kind)},
                        {"message", error.message},
                        {"remedy", error.remedy},
                        {"executed", toString(error.executed)}};
  if (error.retry_after) json["retry_after_ms"] = toMillis(*error.retry_after);
}

void from_json(const nlohmann::json& json, Error& error) {
  error.kind = errorKindFromString(json.at("kind").get<std::string>());
  json.at("message").get_to(error.message);
  error.remedy = json.value("remedy", "");
  error.executed = json.value("executed", "unknown") == "no" ? Executed::kNo : Executed::kUnknown;
  error.retry_after.reset();
  if (json.contains("retry_after_ms")) error.retry_after = fromMillis(json.at("retry_after_ms").get<std::int64_t>());
}

}  // namespace hatchfork
