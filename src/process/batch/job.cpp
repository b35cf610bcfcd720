#include "process/batch/job.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <limits>

namespace hatchfork::batch {
namespace {

Error refused(ErrorKind kind, std::string message, std::string remedy) {
  return Error{kind, std::move(message), std::move(remedy), Executed::kNo, {}};
}

/// Digest of a part's text and of the piece boundaries, so that moving a boundary changes the digest.
std::string digestOf(std::string_view text, const std::vector<std::uint32_t>& ends) {
  const XXH128_hash_t ends_hash = XXH3_128bits(ends.data(), ends.size() * sizeof(std::uint32_t));
  const XXH128_hash_t hash = XXH3_128bits_withSeed(text.data(), text.size(), ends_hash.low64 ^ ends_hash.high64);
  return fmt::format("{:016x}{:016x}{:016x}", hash.high64, hash.low64, ends_hash.low64);
}

std::size_t bytesOf(const std::vector<Item>& items) {
  std::size_t bytes = 0;
  for (const Item& item : items) bytes += item.custom_id.size() + item.body.size();
  return bytes;
}

void countEnd(JobCounts& counts, ItemState state) {
  if (state == ItemState::kCompleted) ++counts.completed;
  if (state == ItemState::kFailed) ++counts.failed;
  if (state == ItemState::kCancelled) ++counts.cancelled;
  if (state == ItemState::kOutcomeUnknown) ++counts.outcome_unknown;
}

std::uint32_t endedItems(const JobCounts& counts) {
  return counts.completed + counts.failed + counts.cancelled + counts.outcome_unknown;
}

}  // namespace

std::string_view Job::Part::piece(std::size_t number) const {
  const std::uint32_t begin = number == 0 ? 0 : ends[number - 1];
  return std::string_view(text).substr(begin, ends[number] - begin);
}

std::string_view Job::Part::name(std::uint32_t item) const {
  return piece(has_bodies ? std::size_t{item} * 2 : item);
}

void Job::Part::dropBodies() {
  std::string names;
  std::vector<std::uint32_t> name_ends;
  name_ends.reserve(items);
  for (std::uint32_t item = 0; item < items; ++item) {
    names.append(name(item));
    name_ends.push_back(static_cast<std::uint32_t>(names.size()));
  }
  names.shrink_to_fit();
  text = std::move(names);
  ends = std::move(name_ends);
  has_bodies = false;
}

Job::Job(JobId id, JobNumber number, JobSpec spec, WallMillis created_at)
    : id_(std::move(id)), number_(number), spec_(std::move(spec)), created_at_(created_at) {}

JobStatus Job::status() const {
  JobStatus status;
  status.job = id_;
  status.spec = spec_;
  status.state = state_;
  status.parts = static_cast<std::uint32_t>(parts_.size());
  status.counts = counts_;
  status.created_at = created_at_;
  status.finished_at = finished_at_;
  return status;
}

ItemIndex Job::nextPending(ItemIndex from) const {
  ItemIndex index = from;
  while (index < itemCount() && records_[index].state != ItemState::kPending) ++index;
  return std::min(index, itemCount());
}

const Job::Part& Job::partOf(ItemIndex index) const {
  const auto after = std::upper_bound(part_firsts_.begin(), part_firsts_.end(), index);
  return parts_.at(static_cast<std::uint32_t>(after - part_firsts_.begin() - 1));
}

Job::Part& Job::partOf(ItemIndex index) {
  return const_cast<Part&>(std::as_const(*this).partOf(index));
}

Item Job::item(ItemIndex index) const {
  const Part& part = partOf(index);
  const std::uint32_t within = index - part.first;
  Item item;
  item.custom_id = part.name(within);
  if (part.has_bodies) item.body = part.piece(std::size_t{within} * 2 + 1);
  return item;
}

ItemResult Job::result(ItemIndex index) const {
  const Part& part = partOf(index);
  const ItemRecord& record = records_[index];
  return ItemResult{index, std::string(part.name(index - part.first)), record.state,
                    std::string(results_.view(record.result))};
}

std::size_t Job::memoryBytes() const {
  std::size_t bytes = sizeof(Job) + results_.capacityBytes() + records_.capacity() * sizeof(ItemRecord);
  for (const auto& [number, part] : parts_) {
    bytes += sizeof(Part) + part.text.capacity() + part.digest.capacity();
    bytes += part.ends.capacity() * sizeof(std::uint32_t);
  }
  return bytes + started_.size() * (sizeof(StartRecord) + sizeof(ItemIndex));
}

Status Job::checkNewPart(std::uint32_t part, const std::vector<Item>& items, std::size_t bytes) const {
  if (cancelled_) return refused(ErrorKind::kCancelled, id_.value + " was cancelled", "create a new job");
  if (state_ != JobState::kReceiving) {
    return refused(ErrorKind::kConflict, id_.value + " is sealed and accepts no further parts",
                   "put the items into a new job");
  }
  if (part >= kMaxPartsPerJob) {
    return refused(ErrorKind::kTooLarge, fmt::format("part number {} is above the limit", part),
                   fmt::format("number parts from 0 to {}", kMaxPartsPerJob - 1));
  }
  if (received_items_ + items.size() > kMaxItemsPerJob) {
    return refused(ErrorKind::kTooLarge, fmt::format("the job would contain more than {} items", kMaxItemsPerJob),
                   "split the items over several jobs");
  }
  if (received_bytes_ + bytes > kMaxBytesPerJob) {
    return refused(ErrorKind::kTooLarge, fmt::format("the job would contain more than {} bytes", kMaxBytesPerJob),
                   "split the items over several jobs");
  }
  return okStatus();
}

Status Job::addPart(std::uint32_t part, const std::vector<Item>& items) {
  const std::size_t bytes = bytesOf(items);
  if (bytes > kMaxBytesPerJob) {
    return refused(ErrorKind::kTooLarge, "the part is above the byte limit of a job", "split it into smaller parts");
  }
  Part received;
  received.items = static_cast<std::uint32_t>(items.size());
  received.open = received.items;
  received.text.reserve(bytes);
  received.ends.reserve(items.size() * 2);
  for (const Item& item : items) {
    received.text.append(item.custom_id);
    received.ends.push_back(static_cast<std::uint32_t>(received.text.size()));
    received.text.append(item.body);
    received.ends.push_back(static_cast<std::uint32_t>(received.text.size()));
  }
  received.digest = digestOf(received.text, received.ends);

  const auto known = parts_.find(part);
  if (known != parts_.end()) {
    if (known->second.digest == received.digest) return okStatus();
    return refused(ErrorKind::kConflict, fmt::format("part {} was already received with different content", part),
                   "resend the same items, or use another part number");
  }
  Status checked = checkNewPart(part, items, bytes);
  if (!isOk(checked)) return checked;
  received_items_ += items.size();
  received_bytes_ += bytes;
  parts_.emplace(part, std::move(received));
  return okStatus();
}

Status Job::seal(std::uint32_t parts, std::uint64_t seal_sequence, WallMillis now) {
  const bool sealed = seal_sequence_ != 0;
  if (sealed && parts == parts_.size()) return okStatus();
  if (sealed) {
    return refused(ErrorKind::kConflict, fmt::format("{} was sealed with {} parts", id_.value, parts_.size()),
                   "put further items into a new job");
  }
  if (cancelled_) return refused(ErrorKind::kCancelled, id_.value + " was cancelled", "create a new job");
  for (std::uint32_t part = 0; part < parts && part < kMaxPartsPerJob; ++part) {
    if (parts_.contains(part)) continue;
    return refused(ErrorKind::kConflict, fmt::format("part {} of {} is missing", part, parts),
                   "send the missing part, then seal again");
  }
  if (parts != parts_.size()) {
    return refused(ErrorKind::kConflict, fmt::format("{} parts were received, not {}", parts_.size(), parts),
                   "seal with the number of parts that were sent");
  }
  seal_sequence_ = seal_sequence;
  state_ = JobState::kRunning;
  ItemIndex next = 0;
  for (auto& [number, part] : parts_) {
    part.first = next;
    part_firsts_.push_back(next);
    next += part.items;
  }
  records_.resize(next);
  counts_.total = next;
  finishIfDone(now);
  return okStatus();
}

void Job::cancel(WallMillis now) {
  if (cancelled_ || state_ == JobState::kFinished) return;
  cancelled_ = true;
  if (state_ == JobState::kReceiving) {
    // The job was not sealed, so no item was accepted: drops the parts and their digests.
    parts_.clear();
    state_ = JobState::kFinished;
    finished_at_ = now;
    return;
  }
  state_ = JobState::kCancelling;
  for (ItemIndex index = 0; index < itemCount(); ++index) {
    if (records_[index].state == ItemState::kPending) end(index, ItemState::kCancelled, {});
  }
  finishIfDone(now);
}

bool Job::start(ItemIndex index, const StartRecord& record) {
  if (!spec_.unrepeatable || index >= itemCount()) return false;
  const ItemState state = records_[index].state;
  if (state == ItemState::kStarted) return started_.at(index) == record;
  if (state != ItemState::kPending) return false;
  records_[index].state = ItemState::kStarted;
  started_.emplace(index, record);
  return true;
}

bool Job::outcomeCounts(const ItemOutcome& outcome, const GatewayId& gateway, std::uint64_t session) const {
  if (outcome.index >= itemCount() || !isTerminal(outcome.state)) return false;
  const ItemState state = records_[outcome.index].state;
  if (isTerminal(state)) return false;
  if (spec_.unrepeatable) {
    if (state != ItemState::kStarted) return false;
    return started_.at(outcome.index) == StartRecord{gateway, session, outcome.attempt};
  }
  // A repeatable item can always run again, and is cancelled only by the cancellation of the job.
  return outcome.state == ItemState::kCompleted || outcome.state == ItemState::kFailed;
}

bool Job::complete(const ItemOutcome& outcome, const GatewayId& gateway, std::uint64_t session, WallMillis now) {
  if (!outcomeCounts(outcome, gateway, session)) return false;
  started_.erase(outcome.index);
  end(outcome.index, outcome.state, outcome.result);
  finishIfDone(now);
  return true;
}

void Job::end(ItemIndex index, ItemState state, std::string_view result) {
  ItemRecord& record = records_[index];
  record.state = state;
  record.result = results_.append(result);
  countEnd(counts_, state);
  Part& part = partOf(index);
  --part.open;
  if (part.open == 0) part.dropBodies();
}

void Job::finishIfDone(WallMillis now) {
  if (endedItems(counts_) != counts_.total) return;
  state_ = JobState::kFinished;
  finished_at_ = now;
}

}  // namespace hatchfork::batch
