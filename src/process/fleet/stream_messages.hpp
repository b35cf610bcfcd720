#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "request/exchange/stream_record.hpp"

/// Frames between gateways and the stores that keep records of streams. Arrays without field names: while a service
/// runs several builds, there are two for each stream. Sent only to stores of `kEngineBuildRelease` and later.
namespace hatchfork::fleet {

/// A stream that has begun at a gateway.
struct StreamNote {
  request::StreamRecord record;
  /// Time for which its caller may still resume it.
  std::int64_t lifetime_ms = 0;
};
inline void to_json(nlohmann::json& json, const StreamNote& note) {
  json = nlohmann::json::array({note.record.stream, note.record.service, note.record.build, note.lifetime_ms});
}
inline void from_json(const nlohmann::json& json, StreamNote& note) {
  json.at(0).get_to(note.record.stream);
  json.at(1).get_to(note.record.service);
  json.at(2).get_to(note.record.build);
  json.at(3).get_to(note.lifetime_ms);
}

struct StreamNotesFrame {
  static constexpr std::string_view kKind = "sn";
  std::vector<StreamNote> notes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StreamNotesFrame, notes)

/// Which build began this stream?
struct StreamQuestionFrame {
  static constexpr std::string_view kKind = "sq";
  /// Unique on its connection.
  std::uint64_t number = 0;
  request::StreamKey stream;
  ServiceId service;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StreamQuestionFrame, number, stream, service)

struct StreamAnswerFrame {
  static constexpr std::string_view kKind = "sa";
  std::uint64_t number = 0;
  bool is_recorded = false;
  EngineBuild build;
  /// True if the store is certain that no engine of the service has run another build within the lifetime of a stream.
  bool has_one_build = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StreamAnswerFrame, number, is_recorded, build, has_one_build)

}  // namespace hatchfork::fleet
