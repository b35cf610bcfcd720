#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/codec.hpp"
#include "process/consensus/replicated_group.hpp"
#include "version/batch_submission.hpp"
#include "version/engine_record.hpp"

/// Samples of formats that cross processes or restarts, and values that several of them hold.
namespace hatchfork::recorded {

struct Sample {
  std::string name;
  /// As the release that this is compiled with writes it.
  std::string bytes;
  /// Reads bytes of any release and gives what was read as that release's own encoding would hold it.
  std::function<Result<nlohmann::json>(std::string_view bytes)> reread;
};

template <class Variant>
Result<nlohmann::json> rereadTagged(std::string_view bytes) {
  const Result<Variant> value = decodeTagged<Variant>(bytes);
  if (!isOk(value)) return errorOf(value);
  return taggedToJson(valueOf(value));
}

template <class Struct>
Result<nlohmann::json> rereadStruct(std::string_view bytes) {
  const Result<Struct> value = decodeStruct<Struct>(bytes);
  if (!isOk(value)) return errorOf(value);
  return nlohmann::json(valueOf(value));
}

template <class Machine>
Result<nlohmann::json> rereadState(std::string_view bytes) {
  Machine machine;
  const Status restored = machine.restore(bytes);
  if (!isOk(restored)) return errorOf(restored);
  return decodeCbor(machine.snapshot());
}

inline consensus::Membership membership() {
  consensus::Member voter;
  voter.id = ReplicaId("10.0.0.1");
  voter.incarnation = 77;
  consensus::Member learner;
  learner.id = ReplicaId("10.0.0.2");
  learner.incarnation = 78;
  learner.voter = false;
  consensus::Membership membership;
  membership.members = {voter, learner};
  return membership;
}

inline EngineRecord engine(const std::string& name) {
  EngineRecord engine;
  engine.id = EngineId(name);
  engine.service = ServiceId("llm");
  engine.address = "10.1.0.1:" + std::to_string(9000 + name.size());
  engine.zone = ZoneId("z1");
  engine.slots = 8;
  engine.leaving = true;
  engine.born = 1700000000123;
  engine.cold_ms = 400;
  return engine;
}

inline OpaqueItem item(const std::string& name) {
  ItemHeader header;
  header.name = "X-Token-Usage";
  header.value = "3,4";
  OpaqueItem item;
  item.id = name;
  item.target = "/batch/" + name;
  item.headers = {header};
  item.body = "body of " + name;
  item.tokens = 7;
  return item;
}

inline JobSubmission job() {
  JobSubmission job;
  job.id = JobId("job-1");
  job.tenant = TenantId("crew");
  job.host = "shift.example";
  job.path = "/batch/new";
  job.submitted_at = 1700000000456;
  job.configuration_version = 4;
  job.items = {item("item-1"), item("item-22")};
  return job;
}

inline WaitingLimit waitingLimit() {
  WaitingLimit limit;
  limit.host = "shift.example";
  limit.prefix = "/batch/";
  limit.most_tokens = 1000;
  limit.tenant = TenantId("crew");
  return limit;
}

/// Values of each alternative of a variant, by name.
template <class Variant>
class Samples {
 public:
  explicit Samples(std::string group) : group_(std::move(group)) {}

  template <class Alternative>
  void add(const Alternative& value) {
    samples_.push_back({group_ + "." + std::string(Alternative::kKind), encodeTagged(Variant(value)),
                        [](std::string_view bytes) { return rereadTagged<Variant>(bytes); }});
  }
  void moveTo(std::vector<Sample>& all) {
    for (Sample& sample : samples_) all.push_back(std::move(sample));
  }

 private:
  std::string group_;
  std::vector<Sample> samples_;
};

}  // namespace hatchfork::recorded
