#include "process/configuration/configuration_state_machine.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <utility>

#include "common/sha256.hpp"
#include "version/access_rights.hpp"
#include "version/configuration_diff.hpp"

namespace hatchfork {
namespace {

using control::ControlReply;

Error refused(ErrorKind kind, std::string message, std::string remedy) {
  return Error{kind, std::move(message), std::move(remedy), Executed::kNo, {}};
}

/// Returns the SHA-256 of the requested change. The time of the proposal and the tenant are excluded because the
/// replica that receives the change sets them: a resend may reach another replica, or may arrive after the change
/// itself registered the API key of its sender.
std::string digestOf(const ConfigurationChange& change) {
  ConfigurationChange content = change;
  content.proposed_at = 0;
  content.tenant = TenantId();
  return sha256Hex(encodeStruct(content));
}

}  // namespace

std::string ConfigurationStateMachine::apply(consensus::LogIndex, std::string_view command) {
  const Result<control::ControlRequest> request = decodeTagged<control::ControlRequest>(command);
  if (!isOk(request)) return encodeTagged(ControlReply(control::ErrorReply{errorOf(request), {}}));
  if (const auto* record = std::get_if<control::RecordActionRequest>(&valueOf(request))) {
    recordAction(record->action);
    return encodeTagged(ControlReply(control::ApplyChangeReply{configuration_.revision}));
  }
  const auto* change = std::get_if<control::ApplyChangeRequest>(&valueOf(request));
  if (change == nullptr) {
    const Error unexpected = protocolError("not a command of the configuration group");
    return encodeTagged(ControlReply(control::ErrorReply{unexpected, {}}));
  }
  return encodeTagged(applyChange(change->change));
}

ControlReply ConfigurationStateMachine::applyChange(const ConfigurationChange& change) {
  if (change.change_id.empty()) {
    return replyOf(refused(ErrorKind::kInvalidArgument, "the change has no identifier",
                           "set a change identifier and reuse it when the change is resent"));
  }
  std::string digest = digestOf(change);
  const auto known = answers_.find(change.change_id);
  if (known != answers_.end()) {
    if (known->second.digest == digest) return replyOf(known->second.answer);
    return replyOf(refused(ErrorKind::kInvalidArgument,
                           "change " + change.change_id.value + " was sent before with other content",
                           "use a new change identifier for different content"));
  }
  RecordedAnswer answer{std::move(digest), decide(change)};
  const ControlReply reply = replyOf(answer.answer);
  recordAnswer(change.change_id, std::move(answer));
  return reply;
}

ConfigurationStateMachine::Answer ConfigurationStateMachine::decide(const ConfigurationChange& change) {
  if (change.base_revision != configuration_.revision) {
    return refused(ErrorKind::kConflict,
                   fmt::format("the change is based on revision {}, the current revision is {}", change.base_revision,
                               configuration_.revision),
                   "read the current configuration and submit a new change based on it");
  }
  const Status allowed = checkEditRights(configuration_, change.tenant, change.edits);
  if (!isOk(allowed)) return errorOf(allowed);
  const Status checked = checkEdits(configuration_, change.edits);
  if (!isOk(checked)) return errorOf(checked);
  RetainedChange retained;
  retained.undo = inverseOf(configuration_, change.edits);
  applyEdits(configuration_, change.edits, configuration_.revision + 1);
  retained.entry = HistoryEntry{configuration_.revision, change};
  retain(std::move(retained));
  return configuration_.revision;
}

void ConfigurationStateMachine::retain(RetainedChange retained) {
  retained.bytes = encodeStruct(retained.entry.change).size() + encodeCbor(editsToJson(retained.undo)).size();
  history_bytes_ += retained.bytes;
  history_.push_back(std::move(retained));
  while (history_.size() > kHistoryEntries || (history_.size() > 1 && history_bytes_ > kHistoryBytes)) {
    history_bytes_ -= history_.front().bytes;
    history_.pop_front();
  }
}

void ConfigurationStateMachine::recordAction(const AdminAction& action) {
  const bool known = std::any_of(actions_.begin(), actions_.end(),
                                 [&](const AdminAction& recorded) { return recorded.id == action.id; });
  if (known) return;
  actions_.push_back(action);
  if (actions_.size() > kKeptActions) actions_.pop_front();
}

void ConfigurationStateMachine::recordAnswer(const ChangeId& id, RecordedAnswer answer) {
  answers_.emplace(id, std::move(answer));
  answer_order_.push_back(id);
  if (answer_order_.size() <= kRememberedAnswers) return;
  answers_.erase(answer_order_.front());
  answer_order_.pop_front();
}

ControlReply ConfigurationStateMachine::replyOf(const Answer& answer) {
  if (const Error* error = std::get_if<Error>(&answer)) return control::ErrorReply{*error, {}};
  return control::ApplyChangeReply{std::get<Revision>(answer)};
}

bool ConfigurationStateMachine::covers(Revision from) const {
  if (from == configuration_.revision) return true;
  return !history_.empty() && from < configuration_.revision && history_.front().entry.revision <= from + 1;
}

ConfigurationDelta ConfigurationStateMachine::deltaSince(Revision from) const {
  ConfigurationDelta delta;
  delta.from_revision = from;
  delta.to_revision = from;
  delta.current_revision = configuration_.revision;
  if (!covers(from) || from == configuration_.revision) return delta;
  std::size_t bytes = 0;
  for (std::size_t position = from + 1 - history_.front().entry.revision; position < history_.size(); ++position) {
    const RetainedChange& retained = history_[position];
    const bool full = !delta.edits.empty() && bytes + retained.bytes > kLargestDeltaBytes;
    if (full) break;
    bytes += retained.bytes;
    const std::vector<ConfigurationEdit>& edits = retained.entry.change.edits;
    delta.edits.insert(delta.edits.end(), edits.begin(), edits.end());
    delta.to_revision = retained.entry.revision;
  }
  return delta;
}

std::vector<HistoryEntry> ConfigurationStateMachine::history(Revision from, std::size_t most) const {
  std::vector<HistoryEntry> entries;
  if (history_.empty()) return entries;
  const Revision oldest = history_.front().entry.revision;
  for (std::size_t position = std::max(from, oldest) - oldest; position < history_.size(); ++position) {
    if (entries.size() == most) break;
    entries.push_back(history_[position].entry);
  }
  return entries;
}

Result<Configuration> ConfigurationStateMachine::configurationAt(Revision revision) const {
  const Revision oldest = history_.empty() ? configuration_.revision : history_.front().entry.revision - 1;
  if (revision > configuration_.revision || revision < oldest) {
    return refused(ErrorKind::kNotFound, fmt::format("revision {} does not exist or is no longer retained", revision),
                   fmt::format("request a revision from {} to {}", oldest, configuration_.revision));
  }
  Configuration past = configuration_;
  for (auto retained = history_.rbegin(); retained != history_.rend() && retained->entry.revision > revision;
       ++retained) {
    applyEdits(past, retained->undo, retained->entry.revision - 1);
  }
  return past;
}

std::string ConfigurationStateMachine::snapshot() const {
  nlohmann::json json = {{"configuration", configuration_}, {"actions", actions_}};
  json["history"] = nlohmann::json::array();
  for (const RetainedChange& retained : history_) {
    json["history"].push_back(
        {{"entry", retained.entry}, {"undo", editsToJson(retained.undo)}, {"bytes", retained.bytes}});
  }
  json["answers"] = nlohmann::json::array();
  for (const ChangeId& id : answer_order_) {
    const RecordedAnswer& answer = answers_.at(id);
    json["answers"].push_back({{"id", id}, {"digest", answer.digest}, {"reply", taggedToJson(replyOf(answer.answer))}});
  }
  return encodeCbor(json);
}

Status ConfigurationStateMachine::restore(std::string_view bytes) {
  const Result<nlohmann::json> decoded = decodeCbor(bytes);
  if (!isOk(decoded)) return errorOf(decoded);
  const nlohmann::json& json = valueOf(decoded);
  try {
    ConfigurationStateMachine restored;
    json.at("configuration").get_to(restored.configuration_);
    json.at("actions").get_to(restored.actions_);
    for (const nlohmann::json& element : json.at("history")) {
      RetainedChange retained{element.at("entry").get<HistoryEntry>(), editsFromJson(element.at("undo")),
                              element.at("bytes").get<std::size_t>()};
      restored.history_bytes_ += retained.bytes;
      restored.history_.push_back(std::move(retained));
    }
    for (const nlohmann::json& element : json.at("answers")) {
      const Result<ControlReply> reply = taggedFromJson<ControlReply>(element.at("reply"));
      if (!isOk(reply)) return errorOf(reply);
      Answer answer = Revision{0};
      if (const auto* error = std::get_if<control::ErrorReply>(&valueOf(reply))) answer = error->error;
      if (const auto* applied = std::get_if<control::ApplyChangeReply>(&valueOf(reply))) answer = applied->revision;
      restored.recordAnswer(element.at("id").get<ChangeId>(),
                            {element.at("digest").get<std::string>(), std::move(answer)});
    }
    *this = std::move(restored);
    return okStatus();
  } catch (const std::exception& exception) {
    return refused(ErrorKind::kStorageCorrupt, std::string("corrupt configuration snapshot: ") + exception.what(),
                   "delete the data directory of the replica and let it rejoin the group");
  }
}

}  // namespace hatchfork
