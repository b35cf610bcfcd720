#include "process/fleet/feed_server.hpp"

#include <algorithm>

#include "common/log.hpp"
#include "common/start_timeline.hpp"

namespace hatchfork::fleet {
namespace {

/// A proof of freshness counts for this long from when it was asked for.
constexpr Duration kProofLifetime = fromMillis(700);
/// The encoded list of all engines is used until so many of them have changed.
constexpr double kMostChangedShare = 0.1;

}  // namespace

void FeedServer::subscribe(Instant now, const SubscribeFrame& frame, const ConnectionPtr& from) {
  const bool is_new = !subscribers_.contains(from);
  if (!is_new) return;
  logEvent(LogLevel::kInfo, "subscriber_joined",
           {{"subscriber", frame.node},
            {"document_version", frame.document_version},
            {"engines_revision", frame.engines_revision},
            {"fresh", isFresh(now)}});
  noteStartStep("first_subscriber");
  const Held claimed{frame.document_version, frame.engines_revision, 0, 0};
  Held& held = subscribers_.emplace(from, claimed).first->second;
  if (!isFresh(now)) return;
  refreshDirectory(now);
  update(from, held);
}

void FeedServer::unsubscribe(const ConnectionPtr& connection) {
  subscribers_.erase(connection);
}

void FeedServer::proveFresh(Instant now, Instant asked_at) {
  const bool was_fresh = isFresh(now);
  noteStartStep("feed_fresh");
  fresh_until_ = std::max(fresh_until_, asked_at + kProofLifetime);
  if (!was_fresh) logEvent(LogLevel::kInfo, "feed_fresh", {{"document_version", state_->documentVersion()}});
  push(now);
}

void FeedServer::push(Instant now) {
  if (!isFresh(now)) return;
  refreshDirectory(now);
  for (auto& [connection, held] : subscribers_) update(connection, held);
}

const std::string& FeedServer::encodedUpdate(Held held) {
  // All that lack more than is remembered are told the same.
  const bool lacks_some = held.engines_revision < state_->enginesRevision();
  if (lacks_some && !state_->remembersChangesSince(held.engines_revision)) held.engines_revision = 0;
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
  held.late_builds = state_->lateBuilds();
}

void FeedServer::refreshDirectory(Instant now) {
  DirectoryUpdate next{controls_,           stores_.addresses(),   {}, state_->storeGroup(), stores_.groupMembers(),
                       state_->evacuated(), /*tells_builds=*/true, {}};
  // After a start no leader of the stores has been heard yet; what was committed is the newest there is.
  if (next.store_members.empty()) next.store_members = state_->storeMembers();
  for (const auto& [node, address] : state_->retiring()) next.retiring.push_back(address);
  builds_.take(now, *state_);
  next.mixed_services = builds_.mixedServices(now);
  if (next == directory_) return;
  directory_ = std::move(next);
  ++directory_revision_;
}

UpdateFrame FeedServer::updateFor(const Held& held) {
  UpdateFrame frame;
  frame.document_version = state_->documentVersion();
  frame.engines_revision = state_->enginesRevision();
  if (frame.document_version > held.document_version) frame.document = state_->document();
  const bool lacks_engines = frame.engines_revision > held.engines_revision || state_->lateBuilds() > held.late_builds;
  if (lacks_engines) frame.engines = encodedEngines(held);
  if (directory_revision_ != held.directory_revision) frame.directory = directory_;
  return frame;
}

std::vector<std::string> FeedServer::encodedEngines(const Held& held) {
  std::set<EngineId> late = state_->lateBuildsSince(held.late_builds);
  if (auto changed = state_->enginesChangedSince(held.engines_revision)) {
    changed->merge(late);
    return {encodeStruct(changesOf(*changed))};
  }
  refreshWholeList();
  std::vector<std::string> encoded{whole_list_};
  auto changed = state_->enginesChangedSince(whole_list_revision_);
  if (changed) late.merge(*changed);
  if (!late.empty()) encoded.push_back(encodeStruct(changesOf(late)));
  return encoded;
}

void FeedServer::refreshWholeList() {
  const auto changed = state_->enginesChangedSince(whole_list_revision_);
  const bool is_recent =
      changed && changed->size() <= kMostChangedShare * static_cast<double>(state_->engines().size());
  if (!whole_list_.empty() && is_recent) return;
  EngineChanges whole;
  whole.is_whole = true;
  whole.present.reserve(state_->engines().size());
  for (const auto& [id, engine] : state_->engines()) whole.present.push_back(engine);
  whole_list_ = encodeStruct(whole);
  whole_list_revision_ = state_->enginesRevision();
}

EngineChanges FeedServer::changesOf(const std::set<EngineId>& engines) const {
  EngineChanges changes;
  for (const EngineId& id : engines) {
    const auto engine = state_->engines().find(id);
    if (engine == state_->engines().end()) {
      changes.removed.push_back(id);
    } else {
      changes.present.push_back(engine->second);
    }
  }
  return changes;
}

}  // namespace hatchfork::fleet
