#include "process/fleet/frame_reader.hpp"

#include "common/log.hpp"

namespace hatchfork::fleet {
namespace {

constexpr std::size_t kMostLoggedKinds = 16;
constexpr std::size_t kLongestLoggedKind = 32;

template <class... Alternatives>
bool isKindOf(std::string_view kind, const std::variant<Alternatives...>*) {
  return ((kind == Alternatives::kKind) || ...);
}

/// The kind of a whole frame that is none of this release; nothing for a known kind, and for what is no frame at all.
std::optional<std::string> unknownKindOf(const nlohmann::json& json) {
  if (!json.is_object() || !json.contains("k") || !json.contains("b") || !json.at("k").is_string()) return std::nullopt;
  std::string kind = json.at("k").get<std::string>();
  if (isKindOf(kind, static_cast<const FleetMessage*>(nullptr))) return std::nullopt;
  return kind;
}

}  // namespace

Result<std::optional<FleetMessage>> FrameReader::read(std::string_view body) {
  const Result<nlohmann::json> json = decodeCbor(body);
  if (!isOk(json)) return errorOf(json);
  if (const std::optional<std::string> unknown = unknownKindOf(valueOf(json))) {
    passOver(*unknown);
    return std::optional<FleetMessage>();
  }
  Result<FleetMessage> message = taggedFromJson<FleetMessage>(valueOf(json));
  if (!isOk(message)) return errorOf(message);
  return std::optional<FleetMessage>(std::move(valueOf(message)));
}

void FrameReader::passOver(const std::string& kind) {
  ++passed_over_;
  if (logged_kinds_.size() >= kMostLoggedKinds || !logged_kinds_.insert(kind).second) return;
  logEvent(LogLevel::kWarning, "frame_passed_over",
           {{"kind", kind.substr(0, kLongestLoggedKind)}, {"cause", "unknown to this release"}});
}

}  // namespace hatchfork::fleet
