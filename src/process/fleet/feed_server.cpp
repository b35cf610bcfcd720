#include "process/fleet/feed_server.hpp"

#include <algorithm>

#include "common/log.hpp"

namespace hatchfork::fleet {
namespace {

/// A proof of freshness counts for this long from when it was asked for.
constexpr Duration kProofLifetime = fromMillis(700);

}  // namespace

void FeedServer::subscribe(Instant now, const SubscribeFrame& frame, const ConnectionPtr& from) {
  const bool is_new = !subscribers_.contains(from);
  if (!is_new) return;
  logEvent(LogLevel::kInfo, "subscriber_joined",
           {{"subscriber", frame.node},
            {"document_version", frame.document_version},
            {"engines_revision", frame.engines_revision},
            {"fresh", isFresh(now)}});
  const Held claimed{frame.document_version, frame.engines_revision, 0};
  Held& held = subscribers_.emplace(from, claimed).first->second;
  if (!isFresh(now)) return;
  refreshDirectory();
  update(from, held);
}

void FeedServer::unsubscribe(const ConnectionPtr& connection) {
  subscribers_.erase(connection);
}

void FeedServer::proveFresh(Instant now, Instant asked_at) {
  const bool was_fresh = isFresh(now);
  fresh_until_ = std::max(fresh_until_, asked_at + kProofLifetime);
  if (!was_fresh) logEvent(LogLevel::kInfo, "feed_fresh", {{"document_version", state_->documentVersion()}});
  push(now);
}

void FeedServer::push(Instant now) {
  if (!isFresh(now)) return;
  refreshDirectory();
  for (auto& [connection, held] : subscribers_) update(connection, held);
}

const std::string& FeedServer::encodedUpdate(const Held& held) {
  if (encoded_to_ != newest()) {
    encoded_.clear();
    encoded_to_ = newest();
  }
  const auto [entry, is_first] = encoded_.try_emplace(held);
  if (is_first) entry->second = encodeTagged(FleetMessage(updateFor(held)));
  return entry->second;
}

void FeedServer::update(const ConnectionPtr& connection, Held& held) {
  connection->send(encodedUpdate(held));
  held.document_version = std::max(held.document_version, state_->documentVersion());
  held.engines_revision = std::max(held.engines_revision, state_->enginesRevision());
  held.directory_revision = directory_revision_;
}

void FeedServer::refreshDirectory() {
  DirectoryUpdate now{controls_,          stores_.addresses(), {}, state_->storeGroup(), stores_.groupMembers(),
                      state_->evacuated()};
  // After a start no leader of the stores has been heard yet; what was committed is the newest there is.
  if (now.store_members.empty()) now.store_members = state_->storeMembers();
  for (const auto& [node, address] : state_->retiring()) now.retiring.push_back(address);
  if (now == directory_) return;
  directory_ = std::move(now);
  ++directory_revision_;
}

UpdateFrame FeedServer::updateFor(const Held& held) const {
  UpdateFrame frame;
  frame.document_version = state_->documentVersion();
  frame.engines_revision = state_->enginesRevision();
  if (frame.document_version > held.document_version) frame.document = state_->document();
  if (frame.engines_revision > held.engines_revision) frame.engines = engineUpdate(held.engines_revision);
  if (directory_revision_ != held.directory_revision) frame.directory = directory_;
  return frame;
}

EngineUpdate FeedServer::engineUpdate(std::uint64_t since) const {
  EngineUpdate update;
  const std::optional<std::set<EngineId>> changed = state_->enginesChangedSince(since);
  update.is_whole = !changed;
  if (!changed) {
    for (const auto& [id, engine] : state_->engines()) update.present.push_back(engine);
    return update;
  }
  for (const EngineId& id : *changed) {
    const auto engine = state_->engines().find(id);
    if (engine == state_->engines().end()) {
      update.removed.push_back(id);
    } else {
      update.present.push_back(engine->second);
    }
  }
  return update;
}

}  // namespace hatchfork::fleet
