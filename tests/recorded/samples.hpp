#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/codec.hpp"
#include "process/consensus/messages.hpp"
#include "process/consensus/replica_record.hpp"
#include "process/consensus/snapshot_store.hpp"
#include "process/fleet/fleet_messages.hpp"
#include "process/fleet/fleet_state.hpp"
#include "process/store/job_state.hpp"
#include "process/store/store_messages.hpp"

/// One value of each format that crosses processes or restarts, as release 096a934 knew it: no field is named that came
/// later, so that this file also compiles there. `record.cpp` writes their bytes.
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

inline Result<nlohmann::json> rereadEnvelope(std::string_view bytes) {
  const Result<consensus::Envelope> value = consensus::decodeEnvelope(bytes);
  if (!isOk(value)) return errorOf(value);
  return decodeCbor(consensus::encodeEnvelope(valueOf(value)));
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

/// Fixed, since the sender's own release differs from release to release.
constexpr ReleaseNumber kSampleRelease = 1;

inline void addControlFrames(Samples<fleet::FleetMessage>& samples) {
  fleet::GroupFrame group;
  group.group = 1;
  group.from = ReplicaId("10.0.0.1");
  group.to = ReplicaId("10.0.0.2");
  group.body = "body";
  samples.add(group);
  fleet::ProposalFrame proposal;
  proposal.group = 1;
  proposal.from = ReplicaId("10.0.0.1");
  proposal.number = 5;
  proposal.command = "command";
  samples.add(proposal);
  fleet::ProposalReplyFrame reply;
  reply.group = 1;
  reply.number = 5;
  reply.result = fleet::ProposalResult::kApplied;
  reply.reply = "changed";
  samples.add(reply);
  fleet::StorePresence presence;
  presence.node = "store-1";
  presence.address = ReplicaId("10.0.0.1");
  presence.zone = ZoneId("z1");
  presence.incarnation = 77;
  presence.formed = true;
  presence.membership = membership();
  presence.term = 3;
  fleet::DirectoryFrame directory;
  directory.from = ReplicaId("10.0.0.3");
  directory.stores = {presence};
  directory.engines = {EngineId("i-1")};
  directory.release = kSampleRelease;
  samples.add(directory);
  fleet::SubscribeFrame subscribe;
  subscribe.node = "store-1";
  subscribe.document_version = 4;
  subscribe.engines_revision = 9;
  subscribe.store = {presence};
  subscribe.release = kSampleRelease;
  samples.add(subscribe);
  fleet::StoreAddress store;
  store.address = ReplicaId("10.0.0.1");
  store.zone = ZoneId("z1");
  fleet::DirectoryUpdate news;
  news.controls = {ReplicaId("10.0.0.3")};
  news.stores = {store};
  news.retiring = {ReplicaId("10.0.0.4")};
  news.store_group = membership();
  news.store_members = {ReplicaId("10.0.0.1")};
  news.evacuated.revision = 2;
  news.evacuated.zones = {ZoneId("z2")};
  news.tells_builds = true;
  news.mixed_services = {ServiceId("llm")};
  fleet::UpdateFrame update;
  update.document_version = 4;
  update.engines_revision = 9;
  update.document = "document";
  update.engines = {"changes"};
  update.directory = news;
  samples.add(update);
}

inline void addStoreFrames(Samples<fleet::FleetMessage>& samples) {
  fleet::StoreRequestFrame request;
  request.number = 6;
  request.request = "request";
  samples.add(request);
  fleet::StoreReplyFrame reply;
  reply.number = 6;
  reply.reply = "reply";
  samples.add(reply);
  fleet::CreditQuestionFrame credits;
  credits.tenant = TenantId("crew");
  credits.question.wanted = 2.5;
  samples.add(credits);
  fleet::CreditAnswerFrame granted;
  granted.tenant = TenantId("crew");
  granted.is_owner = true;
  granted.answer.granted = 2.5;
  granted.answer.used_per_second = 7.5;
  granted.answer.level = 0.25;
  granted.answer.wait = fromMillis(120);
  samples.add(granted);
  fleet::PlacementQuestion question;
  question.node = "gateway-1";
  question.zone = ZoneId("z1");
  question.number = 8;
  question.service = ServiceId("llm");
  question.prompt_tokens = 300;
  question.excluded = {EngineId("i-1")};
  question.zones = std::set<ZoneId>{ZoneId("z1")};
  samples.add(question);
  fleet::PlacementAnswer answer;
  answer.number = 8;
  answer.engine = EngineId("i-2");
  answer.expected_first_ms = 12.5;
  answer.running = 3.5;
  samples.add(answer);
  fleet::PlacedRequest placed;
  placed.number = 8;
  placed.engine = EngineId("i-2");
  placed.prompt_tokens = 300;
  placed.is_answering = true;
  fleet::EndedRequest ended;
  ended.number = 7;
  ended.verdict = request::EngineVerdict::kFailed;
  fleet::PlacementNotes notes;
  notes.node = "gateway-1";
  notes.is_whole = true;
  notes.present = {placed};
  notes.answering = {8};
  notes.ended = {ended};
  samples.add(notes);
}

inline void addStreamFrames(Samples<fleet::FleetMessage>& samples) {
  fleet::StreamNote note;
  note.record.stream = request::StreamKey("abcd");
  note.record.service = ServiceId("llm");
  note.record.build = EngineBuild("v1");
  note.lifetime_ms = 4000;
  fleet::StreamNotesFrame notes;
  notes.notes = {note};
  samples.add(notes);
  fleet::StreamQuestionFrame question;
  question.number = 4;
  question.stream = request::StreamKey("abcd");
  question.service = ServiceId("llm");
  samples.add(question);
  fleet::StreamAnswerFrame answer;
  answer.number = 4;
  answer.is_recorded = true;
  answer.build = EngineBuild("v1");
  answer.has_one_build = true;
  samples.add(answer);
}

inline void addLoadFrames(Samples<fleet::FleetMessage>& samples) {
  request::EngineShare share;
  share.engine = EngineId("i-2");
  share.in_flight = 3;
  share.unread_tokens = 900;
  share.avoid_ms = 32;
  fleet::LoadReportFrame report;
  report.node = "gateway-1";
  report.shares = {share};
  report.kind = fleet::LoadKind::kPlaced;
  samples.add(report);
  fleet::LoadTotalsFrame totals;
  totals.from = ReplicaId("10.0.0.1");
  totals.digest = "1234567";
  totals.background = "7654321";
  samples.add(totals);
  fleet::LoadDigestFrame digest;
  digest.from = ReplicaId("10.0.0.1");
  digest.is_whole = true;
  digest.digest = "1234567";
  samples.add(digest);
  fleet::BackgroundLoadFrame background;
  background.from = ReplicaId("10.0.0.1");
  background.term = 3;
  background.digest = "1234567";
  samples.add(background);
  fleet::GiveWayFrame give_way;
  give_way.engine = EngineId("i-2");
  samples.add(give_way);
  request::CrashRecord crash;
  crash.content = request::RequestFingerprint("abcd");
  crash.engine = EngineId("i-2");
  crash.age_ms = 100;
  crash.ran_ms = 50;
  request::CompleteAnswerRecord innocent;
  innocent.content = request::RequestFingerprint("ef01");
  innocent.age_ms = 60;
  fleet::SuspectRun run;
  run.node = "gateway-1";
  run.content = request::RequestFingerprint("abcd");
  run.engine = EngineId("i-2");
  run.crashes = 2;
  run.has_ended = true;
  run.number = 9;
  run.age_ms = 10;
  fleet::CrashNotesFrame notes;
  notes.crashes = {crash};
  notes.innocents = {innocent};
  notes.runs = {run};
  notes.is_hello = true;
  notes.wants_all = true;
  notes.is_relayed = true;
  notes.digest = 99;
  samples.add(notes);
}

inline void addRunFrames(Samples<fleet::FleetMessage>& samples) {
  fleet::RunOrder order;
  order.from = ReplicaId("10.0.0.1");
  order.term = 3;
  order.number = 11;
  order.job = JobId("job-1");
  order.item = item("item-1");
  order.host = "shift.example";
  order.tenant = TenantId("crew");
  order.engine = EngineId("i-2");
  order.engine_born = 1700000000123;
  order.engine_build = EngineBuild("v1");
  order.engine_address = "10.1.0.1:9000";
  order.last_event = 4;
  order.after_close = true;
  order.has_text = true;
  order.text = "text";
  order.chain = 10;
  order.saved_event = 2;
  order.saved_chain = 9;
  samples.add(order);
  fleet::RunLease lease;
  lease.from = ReplicaId("10.0.0.1");
  lease.term = 3;
  lease.stopped = {10};
  lease.kept_answers = {9};
  samples.add(lease);
  fleet::RunNews news;
  news.number = 11;
  news.sequence = 2;
  news.text = "more";
  news.last_event = 5;
  news.events = 1;
  news.ended = true;
  news.end = fleet::RunEnd::kWhole;
  news.verdict = request::EngineVerdict::kGood;
  news.cause = "cause";
  news.engine_running = 3;
  news.engine_waiting = 1;
  news.engine_slots = 8;
  fleet::ItemAnswer answer;
  answer.number = 9;
  answer.job = JobId("job-1");
  answer.item = "item-22";
  answer.end = fleet::RunEnd::kImpossible;
  fleet::RunReport report;
  report.from = ReplicaId("10.0.0.2");
  report.term = 3;
  report.news = {news};
  report.running = {11};
  report.answers = {answer};
  samples.add(report);
  fleet::OfferedRun offered;
  offered.number = 11;
  offered.sequence = 2;
  offered.job = JobId("job-1");
  offered.item = "item-1";
  offered.engine = EngineId("i-2");
  offered.chain = 10;
  offered.saved_event = 2;
  offered.saved_chain = 9;
  offered.text = "text";
  offered.has_text = true;
  offered.last_event = 5;
  offered.ended = true;
  offered.end = fleet::RunEnd::kYielded;
  offered.verdict = request::EngineVerdict::kDeclined;
  offered.cause = "cause";
  offered.build = EngineBuild("v1");
  fleet::RunOffer offer;
  offer.from = ReplicaId("10.0.0.2");
  offer.term = 4;
  offer.runs = {offered};
  samples.add(offer);
}

inline void addStoreCalls(std::vector<Sample>& all) {
  Samples<store::StoreRequest> requests("request");
  store::SubmitJobRequest submit;
  submit.job = job();
  submit.limit = waitingLimit();
  submit.attempt = 12;
  requests.add(submit);
  store::ReadResultsRequest results;
  results.job = JobId("job-1");
  results.from = 1;
  results.wait_ms = 50;
  results.tenant = TenantId("crew");
  requests.add(results);
  store::ReadItemRequest read_item;
  read_item.job = JobId("job-1");
  read_item.item = "item-1";
  read_item.tenant = TenantId("crew");
  requests.add(read_item);
  store::EndJobRequest end;
  end.job = JobId("job-1");
  end.tenant = TenantId("crew");
  requests.add(end);
  store::TrialRequest trial;
  trial.content = request::RequestFingerprint("content");
  trial.holder = "gateway-1/trial-7";
  requests.add(trial);
  requests.moveTo(all);

  Samples<store::StoreReply> replies("reply");
  replies.add(store::DoneReply{});
  ItemResult result;
  result.id = "item-1";
  result.outcome = ItemOutcome::kErrored;
  result.text = "text";
  store::ResultsReply list;
  list.total = 2;
  list.next = 1;
  list.results = {result};
  replies.add(list);
  store::ItemReply body;
  body.body = "body";
  replies.add(body);
  replies.add(store::UnknownReply{});
  store::UnavailableReply unavailable;
  unavailable.may_apply = true;
  unavailable.cause = "cause";
  replies.add(unavailable);
  store::OverLimitReply over_limit;
  over_limit.waiting_tokens = 900;
  over_limit.job_tokens = 200;
  over_limit.come_back_ms = 700;
  replies.add(over_limit);
  store::TrialReply trial_reply;
  trial_reply.is_granted = true;
  trial_reply.wait_ms = 40;
  replies.add(trial_reply);
  replies.moveTo(all);
}

/// Commands of the control group, in an order in which each one changes the state.
inline std::vector<fleet::FleetCommand> fleetCommands() {
  fleet::PutDocument document;
  document.version = 4;
  document.document = "document";
  fleet::RegisterEngine one;
  one.engine = engine("i-1");
  fleet::RegisterEngines more;
  more.engines = {engine("i-22"), engine("i-333"), engine("i-4444")};
  fleet::DepartEngine departed;
  departed.engine = EngineId("i-22");
  departed.received_at = 1700000000999;
  fleet::ForgetEngines forgotten;
  forgotten.engines = {EngineId("i-333")};
  fleet::FormStoreGroup stores;
  stores.members = membership();
  fleet::RetireStore retired;
  retired.node = "store-4";
  retired.address = ReplicaId("10.0.0.4");
  fleet::NoteStoreMembers members;
  members.term = 3;
  members.members = {ReplicaId("10.0.0.1")};
  fleet::SetZoneEvacuated evacuated;
  evacuated.zone = ZoneId("z2");
  evacuated.evacuated = true;
  return {document, one, more, departed, forgotten, stores, retired, members, evacuated};
}

/// Commands of the store group, in an order in which each one changes the state.
inline std::vector<store::JobCommand> jobCommands() {
  store::SubmitJob submit;
  submit.job = job();
  submit.limit = waitingLimit();
  submit.attempt = 12;
  store::SubmitJob dropped_later = submit;
  dropped_later.job.id = JobId("job-2");
  store::SubmitJob refused = submit;
  refused.job.id = JobId("job-3");
  refused.limit.most_tokens = 1;
  refused.attempt = 13;
  store::ItemProgress progress;
  progress.job = JobId("job-1");
  progress.item = "item-1";
  progress.last_event = 2;
  progress.chain = 9;
  progress.text = "kept";
  progress.failures = 1;
  progress.failed_runs = {8};
  progress.build = EngineBuild("v1");
  store::SaveProgress save;
  save.items = {progress};
  store::JobResult result;
  result.job = JobId("job-1");
  result.result.id = "item-22";
  result.result.outcome = ItemOutcome::kCompleted;
  result.result.text = "whole";
  store::ListResults list;
  list.results = {result};
  store::EndJob end;
  end.job = JobId("job-2");
  end.tenant = TenantId("crew");
  store::DropJobs drop;
  drop.jobs = {JobId("job-2")};
  store::StoredCrash crash;
  crash.content = request::RequestFingerprint("abcd");
  crash.engine = EngineId("i-2");
  crash.ended_at = 1700000000999;
  crash.ran_ms = 50;
  store::SaveCrashes crashes;
  crashes.crashes = {crash};
  crashes.cleared = {request::RequestFingerprint("cleared-content")};
  return {submit, dropped_later, refused, save, list, end, drop, crashes};
}

template <class Machine, class Command>
void addStateMachine(std::vector<Sample>& all, const std::string& name, const std::vector<Command>& commands) {
  Machine machine;
  int number = 0;
  for (const Command& command : commands) {
    const std::string bytes = encodeTagged(command);
    machine.apply(static_cast<consensus::LogIndex>(++number), bytes);
    all.push_back({name + "_command." + std::to_string(number), bytes,
                   [](std::string_view read) { return rereadTagged<Command>(read); }});
  }
  all.push_back({name + "_snapshot", machine.snapshot(), rereadState<Machine>});
}

inline void addConsensus(std::vector<Sample>& all) {
  const auto add = [&all](const std::string& name, const consensus::MessageBody& body) {
    consensus::Envelope envelope;
    envelope.from_incarnation = 77;
    envelope.to_incarnation = 78;
    envelope.term = 3;
    envelope.body = body;
    all.push_back({"consensus." + name, consensus::encodeEnvelope(envelope), rereadEnvelope});
  };
  consensus::Hello hello;
  hello.formed = true;
  hello.pinned = membership();
  hello.answer_wanted = true;
  add("hello", hello);
  consensus::VoteRequest vote;
  vote.candidate_term = 4;
  vote.last_index = 9;
  vote.last_term = 3;
  vote.pre_vote = true;
  vote.leadership_transfer = true;
  add("vote_request", vote);
  consensus::VoteReply vote_reply;
  vote_reply.candidate_term = 4;
  vote_reply.pre_vote = true;
  vote_reply.granted = true;
  add("vote_reply", vote_reply);
  consensus::Heartbeat heartbeat;
  heartbeat.round = 5;
  heartbeat.committed = 9;
  add("heartbeat", heartbeat);
  consensus::HeartbeatReply heartbeat_reply;
  heartbeat_reply.round = 5;
  add("heartbeat_reply", heartbeat_reply);
  consensus::LogEntry entry;
  entry.index = 9;
  entry.term = 3;
  entry.kind = consensus::EntryKind::kMembership;
  entry.payload = "payload";
  consensus::AppendRequest append;
  append.previous_index = 8;
  append.previous_term = 3;
  append.committed = 7;
  append.entries = {entry};
  add("append", append);
  consensus::AppendReply append_reply;
  append_reply.accepted = true;
  append_reply.index = 9;
  add("append_reply", append_reply);
  consensus::SnapshotChunk chunk;
  chunk.last_index = 9;
  chunk.last_term = 3;
  chunk.total_bytes = 100;
  chunk.offset = 10;
  chunk.data = "data";
  add("snapshot_chunk", chunk);
  consensus::SnapshotChunkReply chunk_reply;
  chunk_reply.last_index = 9;
  chunk_reply.next_offset = 14;
  add("snapshot_chunk_reply", chunk_reply);
  consensus::ReadIndexRequest read;
  read.number = 21;
  add("read_index", read);
  consensus::ReadIndexReply read_reply;
  read_reply.number = 21;
  read_reply.index = 9;
  add("read_index_reply", read_reply);
  add("timeout_now", consensus::TimeoutNow{});
  all.push_back({"log_entry", encodeStruct(entry), rereadStruct<consensus::LogEntry>});
  all.push_back({"membership", encodeStruct(membership()), rereadStruct<consensus::Membership>});
  consensus::SnapshotHeader header;
  header.index = 9;
  header.term = 3;
  header.membership = membership();
  all.push_back({"snapshot_header", encodeStruct(header), rereadStruct<consensus::SnapshotHeader>});
  consensus::ReplicaRecord record;
  record.incarnation = 77;
  record.boots = 2;
  record.term = 3;
  record.voted_for = ReplicaId("10.0.0.2");
  record.voted_for_incarnation = 78;
  record.joined = true;
  record.pinned = membership();
  record.may_form = false;
  all.push_back({"replica_record", encodeStruct(record), rereadStruct<consensus::ReplicaRecord>});
}

inline std::vector<Sample> allSamples() {
  std::vector<Sample> all;
  Samples<fleet::FleetMessage> frames("frame");
  addControlFrames(frames);
  addStoreFrames(frames);
  addStreamFrames(frames);
  addLoadFrames(frames);
  addRunFrames(frames);
  frames.moveTo(all);
  EngineChanges changes;
  changes.is_whole = true;
  changes.present = {engine("i-1")};
  changes.present.front().build = EngineBuild("v1");
  changes.removed = {EngineId("i-22")};
  all.push_back({"engine_changes", encodeStruct(changes), rereadStruct<EngineChanges>});
  addStoreCalls(all);
  addStateMachine<fleet::FleetState>(all, "fleet", fleetCommands());
  addStateMachine<store::JobState>(all, "jobs", jobCommands());
  addConsensus(all);
  return all;
}

}  // namespace hatchfork::recorded
