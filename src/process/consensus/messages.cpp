#include "process/consensus/messages.hpp"

namespace hatchfork::consensus {

std::string encodeEnvelope(const Envelope& envelope) {
  nlohmann::json json = taggedToJson(envelope.body);
  json["f"] = envelope.from_incarnation;
  json["t"] = envelope.to_incarnation;
  json["n"] = envelope.term;
  return encodeCbor(json);
}

Result<Envelope> decodeEnvelope(std::string_view bytes) {
  const Result<nlohmann::json> json = decodeCbor(bytes);
  if (!isOk(json)) return errorOf(json);
  const Result<MessageBody> body = taggedFromJson<MessageBody>(valueOf(json));
  if (!isOk(body)) return errorOf(body);
  Envelope envelope;
  envelope.body = valueOf(body);
  try {
    valueOf(json).at("f").get_to(envelope.from_incarnation);
    valueOf(json).at("t").get_to(envelope.to_incarnation);
    valueOf(json).at("n").get_to(envelope.term);
  } catch (const nlohmann::json::exception& exception) {
    return protocolError(exception.what());
  }
  return envelope;
}

}  // namespace hatchfork::consensus
