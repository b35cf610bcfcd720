#include <cstring>
#include <stdexcept>

#include "process/batch/job.hpp"

/// Snapshot encoding of a job: item records and piece ends as byte strings of fixed-size little-endian fields, so that
/// a snapshot costs no JSON value per item. Written and read on little-endian machines only.
namespace hatchfork::batch {
namespace {

using Json = nlohmann::json;

/// The fixed-size fields of one item record in the snapshot.
struct PackedRecord {
  std::uint32_t chunk = 0;
  std::uint32_t offset = 0;
  std::uint32_t size = 0;
  std::uint32_t state = 0;
};

template <class Field>
Json packedBytes(const std::vector<Field>& fields) {
  Json::binary_t::container_type bytes(fields.size() * sizeof(Field));
  if (!bytes.empty()) std::memcpy(bytes.data(), fields.data(), bytes.size());
  return Json::binary(std::move(bytes));
}

template <class Field>
std::vector<Field> unpackedBytes(const Json& json) {
  const Json::binary_t& bytes = json.get_binary();
  if (bytes.size() % sizeof(Field) != 0) throw std::out_of_range("packed fields are truncated");
  std::vector<Field> fields(bytes.size() / sizeof(Field));
  if (!fields.empty()) std::memcpy(fields.data(), bytes.data(), bytes.size());
  return fields;
}

Json textBytes(const std::string& text) {
  return Json::binary(Json::binary_t::container_type(text.begin(), text.end()));
}

std::string bytesText(const Json& json) {
  const Json::binary_t& bytes = json.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

}  // namespace

Json Job::toSnapshot() const {
  Json json = {{"id", id_},
               {"number", number_},
               {"spec", spec_},
               {"state", state_},
               {"cancelled", cancelled_},
               {"seal_sequence", seal_sequence_},
               {"created_at", created_at_},
               {"finished_at", finished_at_},
               {"counts", counts_}};
  json["parts"] = Json::array();
  for (const auto& [number, part] : parts_) {
    json["parts"].push_back({{"number", number},
                             {"digest", part.digest},
                             {"text", textBytes(part.text)},
                             {"ends", packedBytes(part.ends)},
                             {"has_bodies", part.has_bodies},
                             {"first", part.first},
                             {"items", part.items},
                             {"open", part.open}});
  }
  std::vector<PackedRecord> packed;
  packed.reserve(records_.size());
  for (const ItemRecord& record : records_) {
    packed.push_back(
        {record.result.chunk, record.result.offset, record.result.size, static_cast<std::uint32_t>(record.state)});
  }
  json["records"] = packedBytes(packed);
  json["results"] = Json::array();
  for (const std::string& chunk : results_.chunks()) json["results"].push_back(textBytes(chunk));
  json["started"] = Json::array();
  for (const auto& [index, record] : started_) json["started"].push_back({{"index", index}, {"record", record}});
  return json;
}

Job Job::fromSnapshot(const Json& json) {
  Job job(json.at("id").get<JobId>(), json.at("number").get<JobNumber>(), json.at("spec").get<JobSpec>(),
          json.at("created_at").get<WallMillis>());
  json.at("state").get_to(job.state_);
  json.at("cancelled").get_to(job.cancelled_);
  json.at("seal_sequence").get_to(job.seal_sequence_);
  json.at("finished_at").get_to(job.finished_at_);
  json.at("counts").get_to(job.counts_);
  for (const Json& element : json.at("parts")) {
    Part part;
    element.at("digest").get_to(part.digest);
    part.text = bytesText(element.at("text"));
    part.ends = unpackedBytes<std::uint32_t>(element.at("ends"));
    element.at("has_bodies").get_to(part.has_bodies);
    element.at("first").get_to(part.first);
    element.at("items").get_to(part.items);
    element.at("open").get_to(part.open);
    const std::size_t pieces = std::size_t{part.items} * (part.has_bodies ? 2 : 1);
    const std::size_t last_end = part.ends.empty() ? 0 : part.ends.back();
    if (part.ends.size() != pieces || last_end != part.text.size())
      throw std::out_of_range("part text and piece ends do not match");
    job.received_items_ += part.items;
    job.received_bytes_ += part.text.size();
    if (job.seal_sequence_ != 0) job.part_firsts_.push_back(part.first);
    job.parts_.emplace(element.at("number").get<std::uint32_t>(), std::move(part));
  }
  for (const PackedRecord& packed : unpackedBytes<PackedRecord>(json.at("records"))) {
    if (packed.state > static_cast<std::uint32_t>(ItemState::kOutcomeUnknown))
      throw std::out_of_range("unknown item state");
    job.records_.push_back(
        {ArenaSlice{packed.chunk, packed.offset, packed.size}, static_cast<ItemState>(packed.state)});
  }
  std::vector<std::string> chunks;
  for (const Json& chunk : json.at("results")) chunks.push_back(bytesText(chunk));
  job.results_.assign(std::move(chunks));
  for (const Json& element : json.at("started")) {
    job.started_.emplace(element.at("index").get<ItemIndex>(), element.at("record").get<StartRecord>());
  }
  return job;
}

}  // namespace hatchfork::batch
