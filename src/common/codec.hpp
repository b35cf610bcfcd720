#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

#include "common/result.hpp"

namespace hatchfork {

/// JSON <-> CBOR at the borders of the process. All decoders turn malformed input into `ErrorKind::kProtocol`.
std::string encodeCbor(const nlohmann::json& json);
Result<nlohmann::json> decodeCbor(std::string_view bytes);
/// Parses JSON text; malformed text is `ErrorKind::kInvalidArgument`.
Result<nlohmann::json> parseJsonText(std::string_view text);
Error protocolError(std::string message);

/// Encodes a struct that has `to_json` (usually by NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT) as CBOR.
template <class T>
std::string encodeStruct(const T& value) {
  return encodeCbor(nlohmann::json(value));
}

/// Converts JSON into a struct; wrong types and missing fields become `ErrorKind::kProtocol`.
template <class T>
Result<T> structFromJson(const nlohmann::json& json) {
  try {
    return json.get<T>();
  } catch (const nlohmann::json::exception& exception) {
    return protocolError(exception.what());
  }
}

template <class T>
Result<T> decodeStruct(std::string_view bytes) {
  Result<nlohmann::json> json = decodeCbor(bytes);
  if (!isOk(json)) return errorOf(json);
  return structFromJson<T>(valueOf(json));
}

/// A variant whose alternatives each have `static constexpr std::string_view kKind`, as {"k": kind, "b": body}.
template <class... Alternatives>
nlohmann::json taggedToJson(const std::variant<Alternatives...>& value) {
  return std::visit(
      [](const auto& alternative) {
        using Alternative = std::decay_t<decltype(alternative)>;
        nlohmann::json json = nlohmann::json::object();
        json["k"] = std::string(Alternative::kKind);
        json["b"] = alternative;
        return json;
      },
      value);
}

namespace detail {

template <class Variant, class Alternative>
bool assignIfKind(Variant& out, const std::string& kind, const nlohmann::json& body) {
  if (kind != Alternative::kKind) return false;
  out = body.template get<Alternative>();
  return true;
}

template <class Variant>
struct TaggedReader;

template <class... Alternatives>
struct TaggedReader<std::variant<Alternatives...>> {
  using Variant = std::variant<Alternatives...>;
  static Result<Variant> read(const nlohmann::json& json) {
    try {
      const std::string kind = json.at("k").template get<std::string>();
      const nlohmann::json& body = json.at("b");
      Variant out;
      const bool known = (assignIfKind<Variant, Alternatives>(out, kind, body) || ...);
      if (!known) return protocolError("unknown message kind " + kind);
      return out;
    } catch (const nlohmann::json::exception& exception) {
      return protocolError(exception.what());
    }
  }
};

}  // namespace detail

template <class Variant>
Result<Variant> taggedFromJson(const nlohmann::json& json) {
  return detail::TaggedReader<Variant>::read(json);
}

template <class Variant>
std::string encodeTagged(const Variant& value) {
  return encodeCbor(taggedToJson(value));
}

template <class Variant>
Result<Variant> decodeTagged(std::string_view bytes) {
  Result<nlohmann::json> json = decodeCbor(bytes);
  if (!isOk(json)) return errorOf(json);
  return taggedFromJson<Variant>(valueOf(json));
}

void to_json(nlohmann::json& json, const Error& error);
void from_json(const nlohmann::json& json, Error& error);

}  // namespace hatchfork
