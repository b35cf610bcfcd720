#include "process/exchange/stream_client.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "request/limits/limit_owner_choice.hpp"

namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;

namespace {

/// Number of stores that keep a record.
constexpr std::size_t kRecordCopies = 2;
/// A reachable store answers within about a millisecond.
constexpr Duration kAnswerTimeout = fromMillis(100);
/// Streams of one gateway that are recorded, of some 300 bytes each.
constexpr std::size_t kMaxStreams = 8192;
/// Records in one frame to a store that is connected again.
constexpr std::size_t kMaxNotesPerFrame = 256;

std::string_view nameOf(const StreamLookup& result) {
  if (std::holds_alternative<EngineBuild>(result)) return "recorded";
  if (std::holds_alternative<AnyBuild>(result)) return "one_build";
  return std::get<UnknownStream>(result).is_certain ? "not_recorded" : "stores_silent";
}

std::string buildOf(const StreamLookup& result) {
  const auto* build = std::get_if<EngineBuild>(&result);
  return build == nullptr ? std::string("-") : build->value;
}

}  // namespace

StreamClient::StreamClient(connection::asio::io_context& context, SendFunction send)
    : context_(context), send_(std::move(send)), streams_(kMaxStreams) {}

void StreamClient::setStores(Instant now, std::vector<ReplicaId> stores) {
  if (stores == stores_) return;
  stores_ = std::move(stores);
  for (const ReplicaId& store : stores_) onConnected(now, store);
}

void StreamClient::setMixedServices(Instant now, const std::set<ServiceId>& services) {
  if (services == mixed_services_) return;
  const std::set<ServiceId> before = std::exchange(mixed_services_, services);
  streams_.visit(now, [&](const request::StreamRecord& record, Instant expires_at) {
    const bool is_new = isMixed(record.service) && !before.contains(record.service);
    if (is_new) sendRecord(fleet::StreamNote{record, toMillis(expires_at - now)});
  });
}

void StreamClient::noteBegun(Instant now, request::StreamRecord record, Duration lifetime) {
  ++counters_.begun;
  const bool is_mixed = isMixed(record.service);
  if (is_mixed) sendRecord(fleet::StreamNote{record, toMillis(lifetime)});
  streams_.put(std::move(record), now + lifetime);
}

std::vector<ReplicaId> StreamClient::storesOf(const request::StreamKey& stream) const {
  std::vector<ReplicaId> remaining = stores_;
  std::vector<ReplicaId> ranked;
  while (!remaining.empty()) {
    ranked.push_back(request::rendezvousOwner(stream.value, remaining));
    std::erase(remaining, ranked.back());
  }
  return ranked;
}

void StreamClient::sendRecord(const fleet::StreamNote& note) {
  std::size_t sent = 0;
  for (const ReplicaId& store : storesOf(note.record.stream)) {
    if (sent >= kRecordCopies) break;
    if (send_(store, fleet::StreamNotesFrame{{note}})) ++sent;
  }
  counters_.records_sent += sent;
  if (sent > 0) return;
  logEvent(LogLevel::kWarning, "stream_not_recorded",
           {{"stream", note.record.stream.value}, {"build", note.record.build.value}, {"stores", stores_.size()}});
}

void StreamClient::onConnected(Instant now, const ReplicaId& store) {
  fleet::StreamNotesFrame frame;
  streams_.visit(now, [&](const request::StreamRecord& record, Instant expires_at) {
    if (!isMixed(record.service)) return;
    const std::vector<ReplicaId> ranked = storesOf(record.stream);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(kRecordCopies, ranked.size()));
    if (std::find(ranked.begin(), end, store) == end) return;
    frame.notes.push_back(fleet::StreamNote{record, toMillis(expires_at - now)});
    if (frame.notes.size() < kMaxNotesPerFrame) return;
    counters_.records_sent += frame.notes.size();
    send_(store, std::exchange(frame, {}));
  });
  if (frame.notes.empty()) return;
  counters_.records_sent += frame.notes.size();
  send_(store, std::move(frame));
}

Awaitable<StreamLookup> StreamClient::find(ResumedStream resumed, bool is_current) {
  const Instant began = monotonicNow();
  const bool is_mixed = isMixed(resumed.service);
  StreamLookup result = UnknownStream{};
  std::size_t asked = 0;
  const request::StreamRecord* record = streams_.find(began, resumed.stream);
  // A build says nothing about the engines of another service, which a split route may choose.
  if (record != nullptr && record->service == resumed.service) {
    result = record->build;
  } else {
    asked = stores_.size();
    PendingLookup pending{connection::Timer(context_), 0, UnknownStream{}};
    co_await askStores(resumed, pending);
    const bool may_be_mixed = isMixed(resumed.service);
    const bool knows_one_build = is_current || std::holds_alternative<AnyBuild>(pending.result);
    result = conclude(pending, asked, knows_one_build && !may_be_mixed);
  }
  count(result);
  logEvent(LogLevel::kInfo, "resumed_stream_looked_up",
           {{"request", resumed.request},
            {"stream", resumed.stream.value},
            {"service", resumed.service.value},
            {"mixed", is_mixed},
            {"current", is_current},
            {"outcome", nameOf(result)},
            {"build", buildOf(result)},
            {"stores_asked", asked},
            {"took_ms", toMillis(monotonicNow() - began)}});
  co_return result;
}

/// The builds that this gateway knows of don't tell by themselves: a stream may have begun at a build that has just
/// come, through a gateway that learned of it earlier. One of the stores that hold its record has to be among those
/// that answered.
StreamLookup StreamClient::conclude(const PendingLookup& pending, std::size_t asked, bool knows_one_build) {
  if (std::holds_alternative<EngineBuild>(pending.result)) return pending.result;
  const bool has_no_record = pending.answers_missing < std::min(kRecordCopies, asked) || asked == 0;
  if (has_no_record && knows_one_build) return AnyBuild{};
  return UnknownStream{asked > 0 && pending.answers_missing == 0};
}

/// All stores are asked: another gateway may have another list of stores, or may not have reached the first ones.
Awaitable<void> StreamClient::askStores(const ResumedStream& resumed, PendingLookup& pending) {
  const std::uint64_t number = ++last_number_;
  std::size_t unreachable = 0;
  for (const ReplicaId& store : stores_) {
    const bool sent = send_(store, fleet::StreamQuestionFrame{number, resumed.stream, resumed.service});
    ++(sent ? pending.answers_missing : unreachable);
  }
  ++counters_.questions;
  if (pending.answers_missing > 0) co_await awaitAnswers(number, pending);
  pending.answers_missing += unreachable;
}

Awaitable<void> StreamClient::awaitAnswers(std::uint64_t number, PendingLookup& pending) {
  pending_[number] = &pending;
  pending.timer.expires_after(kAnswerTimeout);
  boost::system::error_code ignored;
  co_await pending.timer.async_wait(connection::asio::redirect_error(connection::asio::use_awaitable, ignored));
  pending_.erase(number);
}

void StreamClient::take(const fleet::StreamAnswerFrame& answer) {
  const auto found = pending_.find(answer.number);
  if (found == pending_.end()) return;
  PendingLookup& pending = *found->second;
  --pending.answers_missing;
  if (answer.is_recorded) {
    pending.result = answer.build;
  } else if (answer.has_one_build && std::holds_alternative<UnknownStream>(pending.result)) {
    pending.result = AnyBuild{};
  }
  const bool is_decided = answer.is_recorded || pending.answers_missing == 0;
  if (!is_decided) return;
  pending_.erase(found);
  pending.timer.cancel();
}

void StreamClient::count(const StreamLookup& result) {
  if (std::holds_alternative<EngineBuild>(result)) {
    ++counters_.found;
  } else if (std::holds_alternative<AnyBuild>(result)) {
    ++counters_.any_build;
  } else {
    ++counters_.unknown;
  }
}

}  // namespace hatchfork::exchange
