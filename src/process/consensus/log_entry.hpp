#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "process/consensus/state_machine.hpp"

namespace hatchfork::consensus {

enum class EntryKind : std::uint8_t {
  /// A command of the state machine.
  kCommand,
  /// The empty entry that a new leader appends; once it is committed, so are all entries of earlier terms before it.
  kLeadership,
  /// An encoded `Membership`, in force from the moment it is appended.
  kMembership,
};
NLOHMANN_JSON_SERIALIZE_ENUM(EntryKind,
                             {{EntryKind::kCommand, 0}, {EntryKind::kLeadership, 1}, {EntryKind::kMembership, 2}})

struct LogEntry {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kCommand;
  std::string payload;
  bool operator==(const LogEntry&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogEntry, index, term, kind, payload)

}  // namespace hatchfork::consensus
