#pragma once

#include <vector>

#include "process/fleet/fleet_state.hpp"
#include "process/store/job_state.hpp"
#include "process/store/store_messages.hpp"
#include "tests/recorded/sample.hpp"

/// Samples of requests to stores, of the commands of the replicated groups, and of the states that these give.
namespace hatchfork::recorded {

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
  store::DropJobs begin_to_keep;
  begin_to_keep.jobs = {JobId("job-5")};
  begin_to_keep.begins_to_keep_ends = true;
  begin_to_keep.ends_through = 3;
  store::EndJob end_before;
  end_before.job = JobId("job-4");
  end_before.tenant = TenantId("crew");
  return {submit, dropped_later, refused, save, list, end, drop, crashes, begin_to_keep, end_before};
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

}  // namespace hatchfork::recorded
