#include "process/batch/batch_state_machine.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace hatchfork::batch {
namespace {

using control::ControlReply;

constexpr std::size_t kMaxIdempotencyKeyBytes = 256;

ControlReply refused(ErrorKind kind, std::string message, std::string remedy) {
  return control::ErrorReply{Error{kind, std::move(message), std::move(remedy), Executed::kNo, {}}, {}};
}

ControlReply refused(Error error) {
  return control::ErrorReply{std::move(error), {}};
}

ControlReply unknownJob(const JobId& job) {
  return refused(ErrorKind::kNotFound, "unknown job " + job.value, "check the job identifier and the API key");
}

}  // namespace

/// Dispatches each command to its handler; rejects queries and commands of other groups.
struct BatchStateMachine::Applier {
  BatchStateMachine& machine;

  ControlReply operator()(const control::CreateJobRequest& request) const { return machine.create(request); }
  ControlReply operator()(const control::AddPartRequest& request) const { return machine.addPart(request); }
  ControlReply operator()(const control::SealJobRequest& request) const { return machine.seal(request); }
  ControlReply operator()(const control::CancelJobRequest& request) const { return machine.cancel(request); }
  ControlReply operator()(const control::StartItemsRequest& request) const { return machine.start(request); }
  ControlReply operator()(const control::CompleteItemsRequest& request) const { return machine.complete(request); }
  ControlReply operator()(const control::ClaimRunRequest& request) const {
    Result<bool> granted = machine.claims_.claim(request);
    if (!isOk(granted)) return refused(errorOf(granted));
    return control::ClaimRunReply{valueOf(granted)};
  }
  template <class Other>
  ControlReply operator()(const Other&) const {
    return refused(ErrorKind::kProtocol, std::string(Other::kKind) + " is not a command of a batch group",
                   "check that both sides run the same release");
  }
};

std::string BatchStateMachine::apply(consensus::LogIndex, std::string_view command) {
  const Result<control::ControlRequest> request = decodeTagged<control::ControlRequest>(command);
  if (!isOk(request)) return encodeTagged(refused(errorOf(request)));
  return encodeTagged(std::visit(Applier{*this}, valueOf(request)));
}

Job* BatchStateMachine::mutableJob(const JobId& id) {
  return const_cast<Job*>(std::as_const(*this).findJob(id));
}

const Job* BatchStateMachine::findJob(const JobId& id) const {
  if (groupOfJob(id) != group_) return nullptr;
  return findJob(*numberOfJob(id));
}

const Job* BatchStateMachine::findJob(JobNumber number) const {
  const auto found = jobs_.find(number);
  return found == jobs_.end() ? nullptr : &found->second;
}

ControlReply BatchStateMachine::create(const control::CreateJobRequest& request) {
  const JobSpec& spec = request.spec;
  if (spec.tenant.empty() || spec.idempotency_key.empty() || spec.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return refused(ErrorKind::kInvalidArgument, "a job needs a tenant and an idempotency key of 1 to 256 bytes",
                   "send an Idempotency-Key header");
  }
  latest_time_ = std::max(latest_time_, request.now);
  const auto [named, is_new] = by_name_.try_emplace(JobName{spec.tenant, spec.idempotency_key}, last_number_ + 1);
  if (!is_new) {
    const Job& job = jobs_.at(named->second);
    JobSpec same = spec;
    same.deadline = job.spec().deadline;
    if (job.spec() == same) return control::JobReply{job.status()};
    return refused(ErrorKind::kConflict,
                   "the idempotency key was used for " + job.id().value + " with different settings",
                   "resend the original settings, or use a new idempotency key");
  }
  ++last_number_;
  const Job& job =
      jobs_.emplace(last_number_, Job(makeJobId(group_, last_number_), last_number_, spec, latest_time_)).first->second;
  return control::JobReply{job.status()};
}

ControlReply BatchStateMachine::addPart(const control::AddPartRequest& request) {
  Job* job = mutableJob(request.job);
  if (job == nullptr) return unknownJob(request.job);
  const Status added = job->addPart(request.part, request.items);
  if (!isOk(added)) return refused(errorOf(added));
  return control::JobReply{job->status()};
}

ControlReply BatchStateMachine::seal(const control::SealJobRequest& request) {
  Job* job = mutableJob(request.job);
  if (job == nullptr) return unknownJob(request.job);
  const bool was_sealed = job->sealSequence() != 0;
  const Status sealed = job->seal(request.parts, last_seal_sequence_ + 1, latest_time_);
  if (!isOk(sealed)) return refused(errorOf(sealed));
  if (!was_sealed) ++last_seal_sequence_;
  index(*job);
  return control::JobReply{job->status()};
}

ControlReply BatchStateMachine::cancel(const control::CancelJobRequest& request) {
  Job* job = mutableJob(request.job);
  if (job == nullptr || job->spec().tenant != request.tenant) return unknownJob(request.job);
  latest_time_ = std::max(latest_time_, request.now);
  job->cancel(latest_time_);
  index(*job);
  return control::JobReply{job->status()};
}

ControlReply BatchStateMachine::start(const control::StartItemsRequest& request) {
  Job* job = mutableJob(request.job);
  if (job == nullptr) return unknownJob(request.job);
  if (!job->spec().unrepeatable || request.items.size() != request.attempts.size()) {
    return refused(ErrorKind::kInvalidArgument,
                   "starting items requires an unrepeatable job and one attempt number per item",
                   "check that both sides run the same release");
  }
  control::StartItemsReply reply;
  for (std::size_t position = 0; position < request.items.size(); ++position) {
    const StartRecord record{request.gateway, request.session, request.attempts[position]};
    if (job->start(request.items[position], record)) reply.granted.push_back(request.items[position]);
  }
  index(*job);
  return reply;
}

ControlReply BatchStateMachine::complete(const control::CompleteItemsRequest& request) {
  Job* job = mutableJob(request.job);
  if (job == nullptr) return unknownJob(request.job);
  latest_time_ = std::max(latest_time_, request.now);
  for (const ItemOutcome& outcome : request.outcomes) {
    job->complete(outcome, request.gateway, request.session, latest_time_);
  }
  index(*job);
  return control::CompleteItemsReply{job->state()};
}

void BatchStateMachine::index(const Job& job) {
  const bool running = job.sealSequence() != 0 && job.state() != JobState::kFinished;
  if (running) {
    running_.emplace(job.sealSequence(), job.number());
  } else {
    running_.erase(job.sealSequence());
  }
  if (job.started().empty()) {
    with_started_.erase(job.number());
  } else {
    with_started_.insert(job.number());
  }
}

ControlReply BatchStateMachine::getJob(const control::GetJobRequest& request) const {
  const Job* job = findJob(request.job);
  if (job == nullptr || job->spec().tenant != request.tenant) return unknownJob(request.job);
  return control::JobReply{job->status()};
}

ControlReply BatchStateMachine::findNamedJob(const control::FindJobRequest& request) const {
  const auto found = by_name_.find(JobName{request.tenant, request.idempotency_key});
  if (found != by_name_.end()) return control::JobReply{findJob(found->second)->status()};
  return control::ErrorReply{
      Error{ErrorKind::kNotFound, "no job has this idempotency key", "submit the job", Executed::kNo, {}}, {}};
}

ControlReply BatchStateMachine::getResults(const control::GetResultsRequest& request) const {
  const Job* job = findJob(request.job);
  if (job == nullptr || job->spec().tenant != request.tenant) return unknownJob(request.job);
  if (job->state() == JobState::kReceiving) {
    return refused(ErrorKind::kConflict, job->id().value + " is not sealed yet", "seal the job, then read its results");
  }
  control::ResultsReply reply;
  reply.total = job->itemCount();
  reply.next = std::min(request.from, reply.total);
  const std::uint32_t most = request.most == 0 ? kMaxResultsPerPage : std::min(request.most, kMaxResultsPerPage);
  std::size_t bytes = 0;
  while (reply.next < reply.total && reply.results.size() < most && bytes < kMaxResultBytesPerPage) {
    if (!isTerminal(job->itemState(reply.next))) break;
    reply.results.push_back(job->result(reply.next));
    bytes += reply.results.back().result.size();
    ++reply.next;
  }
  return reply;
}

std::vector<const Job*> BatchStateMachine::runningJobsAfter(std::uint64_t sequence) const {
  std::vector<const Job*> jobs;
  for (auto entry = running_.upper_bound(sequence); entry != running_.end(); ++entry) {
    jobs.push_back(findJob(entry->second));
  }
  return jobs;
}

std::vector<const Job*> BatchStateMachine::jobsWithStartedItems() const {
  std::vector<const Job*> jobs;
  for (const JobNumber number : with_started_) jobs.push_back(findJob(number));
  return jobs;
}

std::size_t BatchStateMachine::memoryBytes() const {
  std::size_t bytes = 0;
  for (const auto& [number, job] : jobs_) bytes += job.memoryBytes();
  return bytes;
}

std::string BatchStateMachine::snapshot() const {
  nlohmann::json json = {{"last_number", last_number_},
                         {"last_seal_sequence", last_seal_sequence_},
                         {"latest_time", latest_time_},
                         {"claims", claims_.toSnapshot()}};
  json["jobs"] = nlohmann::json::array();
  for (const auto& [number, job] : jobs_) json["jobs"].push_back(job.toSnapshot());
  return encodeCbor(json);
}

Status BatchStateMachine::restore(std::string_view bytes) {
  const Result<nlohmann::json> decoded = decodeCbor(bytes);
  if (!isOk(decoded)) return errorOf(decoded);
  const nlohmann::json& json = valueOf(decoded);
  try {
    BatchStateMachine restored(group_);
    json.at("last_number").get_to(restored.last_number_);
    json.at("last_seal_sequence").get_to(restored.last_seal_sequence_);
    json.at("latest_time").get_to(restored.latest_time_);
    restored.claims_ = RunClaims::fromSnapshot(json.at("claims"));
    for (const nlohmann::json& element : json.at("jobs")) {
      Job job = Job::fromSnapshot(element);
      restored.by_name_.emplace(JobName{job.spec().tenant, job.spec().idempotency_key}, job.number());
      restored.index(job);
      restored.jobs_.emplace(job.number(), std::move(job));
    }
    *this = std::move(restored);
    return okStatus();
  } catch (const std::exception& exception) {
    return Error{ErrorKind::kStorageCorrupt,
                 std::string("corrupt batch snapshot: ") + exception.what(),
                 "delete the data directory of the replica and let it rejoin the group",
                 Executed::kNo,
                 {}};
  }
}

}  // namespace hatchfork::batch
