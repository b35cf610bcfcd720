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
  Subscriber subscriber;
  subscriber.document_version = frame.document_version;
  subscriber.engines_revision = frame.engines_revision;
  subscriber.has_engines = frame.engines_revision > 0;
  logEvent(LogLevel::kInfo, "subscriber_joined",
           {{"subscriber", frame.node},
            {"document_version", frame.document_version},
            {"engines_revision", frame.engines_revision},
            {"fresh", isFresh(now)}});
  Subscriber& entry = subscribers_.emplace(from, subscriber).first->second;
  if (isFresh(now)) update(from, entry);
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
  for (auto& [connection, subscriber] : subscribers_) update(connection, subscriber);
}

void FeedServer::update(const ConnectionPtr& connection, Subscriber& subscriber) {
  const std::string bytes = encodeTagged(FleetMessage(updateFor(subscriber)));
  subscriber.document_version = std::max(subscriber.document_version, state_->documentVersion());
  subscriber.engines_revision = std::max(subscriber.engines_revision, state_->enginesRevision());
  subscriber.has_engines = true;
  connection->send(bytes);
}

UpdateFrame FeedServer::updateFor(const Subscriber& subscriber) const {
  UpdateFrame frame;
  frame.document_version = state_->documentVersion();
  if (frame.document_version > subscriber.document_version) frame.document = state_->document();
  frame.engines_revision = state_->enginesRevision();
  frame.has_engines = !subscriber.has_engines || frame.engines_revision > subscriber.engines_revision;
  if (frame.has_engines) {
    for (const auto& [id, engine] : state_->engines()) frame.engines.push_back(engine);
  }
  frame.controls = controls_;
  frame.stores = directory_.addresses();
  for (const auto& [node, address] : state_->retiring()) frame.retiring.push_back(address);
  frame.store_group = state_->storeGroup();
  return frame;
}

}  // namespace hatchfork::fleet
