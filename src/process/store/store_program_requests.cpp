#include <fmt/format.h>

#include <utility>

#include "common/log.hpp"
#include "process/store/group_releases.hpp"
#include "process/store/store_program.hpp"

// Requests of gateways, and the replies.
namespace hatchfork::store {

using connection::monotonicNow;
using fleet::FleetMessage;
using fleet::ProposalOutcome;
using fleet::ProposalResult;

namespace {

constexpr std::size_t kMaxResultBytes = 700u << 10;
/// Large requests are submissions. Without a leader they are refused before they are decoded, which takes milliseconds.
constexpr std::size_t kLargeRequestBytes = 64 * 1024;

StoreReply replyOf(const ProposalOutcome& outcome) {
  const bool is_unknown = outcome.reply == kApplyUnknown || outcome.reply == kApplyEndedBefore;
  if (outcome.result == ProposalResult::kApplied && is_unknown) return UnknownReply{};
  if (outcome.result == ProposalResult::kApplied) return DoneReply{};
  if (outcome.result == ProposalResult::kNotRun && outcome.reply == fleet::kLogFull) {
    return UnavailableReply{false, "the leader's log is full", /*is_final=*/true};
  }
  const bool may_apply = outcome.result == ProposalResult::kUnknown;
  return UnavailableReply{may_apply, may_apply ? "no quorum in time" : "no leader"};
}

/// What the group made of a proposal, for logs.
std::string_view nameOf(const ProposalOutcome& outcome) {
  if (outcome.result == ProposalResult::kApplied) return outcome.reply;
  return outcome.result == ProposalResult::kUnknown ? "may_be_applied" : "not_applied";
}

}  // namespace

void StoreProgram::onRequest(const fleet::StoreRequestFrame& frame, const ConnectionPtr& from) {
  auto reply = [from, number = frame.number](const StoreReply& body) {
    from->send(encodeTagged(FleetMessage(fleet::StoreReplyFrame{number, encodeTagged(body)})));
  };
  if (frame.request.size() >= kLargeRequestBytes && !group_->leader()) {
    reply(UnavailableReply{false, "no leader"});
    return;
  }
  Result<StoreRequest> request = decodeTagged<StoreRequest>(frame.request);
  if (!isOk(request)) {
    reply(UnavailableReply{false, "malformed request"});
    return;
  }
  std::visit([&](auto& body) { serve(std::move(body), reply); }, valueOf(request));
}

void StoreProgram::serve(SubmitJobRequest request, ReplyFunction reply) {
  const JobId id = request.job.id;
  const std::size_t items = request.job.items.size();
  if (const StoredJob* job = state_->find(id)) {
    // The job is applied here and therefore committed: a repeated submission needs no second entry.
    const bool is_own = job->isVisibleTo(request.job.tenant);
    reply(is_own ? StoreReply(DoneReply{}) : StoreReply(UnknownReply{}));
    return;
  }
  if (state_->keptEnds().contains(id, request.job.tenant)) {
    logEvent(LogLevel::kInfo, "job_submitted",
             {{"job", id.value},
              {"items", items},
              {"kept", false},
              {"outcome", kApplyEndedBefore},
              {"age_ms", connection::wallNow() - request.job.submitted_at}});
    reply(UnknownReply{});
    return;
  }
  const std::size_t body_bytes = bodyBytesOf(request.job);
  const bool is_under_way = submissions_.contains(id);
  const std::string_view refusal_cause = is_under_way ? std::string_view() : memoryRefusalCause(body_bytes);
  if (!refusal_cause.empty()) {
    logEvent(LogLevel::kWarning, "job_refused",
             {{"job", id.value},
              {"cause", refusal_cause},
              {"bytes", body_bytes},
              {"held", state_->memoryBytes()},
              {"expected", state_->expectedBytes()},
              {"under_way", submission_bytes_}});
    reply(UnavailableReply{false, std::string(refusal_cause)});
    return;
  }
  const WaitingLimit limit = request.limit;
  const std::uint64_t tokens = tokensOf(request.job);
  // Copies of a submission under way, and resends of its caller, share its entry in the log.
  std::string subject = fmt::format("job {}/{}", request.job.tenant.value, id.value);
  SubmitJob command{std::move(request.job), std::move(request.limit), request.attempt};
  if (submissions_[id]++ == 0) submission_bytes_ += body_bytes;
  const WallMillis received_at = command.job.submitted_at;
  auto done = [this, id, items, limit, tokens, body_bytes, received_at,
               reply = std::move(reply)](const ProposalOutcome& outcome) {
    const auto under_way = submissions_.find(id);
    if (--under_way->second == 0) {
      submissions_.erase(under_way);
      submission_bytes_ -= body_bytes;
    }
    const bool applied = outcome.result == ProposalResult::kApplied;
    const bool over_limit = applied && outcome.reply == kApplyOverLimit;
    if (over_limit) ++over_limit_jobs_;
    logEvent(LogLevel::kInfo, "job_submitted",
             {{"job", id.value},
              {"items", items},
              {"tokens", tokens},
              {"kept", applied && !over_limit && outcome.reply != kApplyEndedBefore},
              {"over_limit", over_limit},
              {"outcome", nameOf(outcome)},
              {"age_ms", connection::wallNow() - received_at}});
    reply(over_limit ? overLimitReply(limit, tokens) : replyOf(outcome));
  };
  group_->propose(encodeTagged(JobCommand(std::move(command))), kProposalTimeout, std::move(done), std::move(subject));
}

/// Derives the time until the job fits from the rate at which tokens are finished.
StoreReply StoreProgram::overLimitReply(const WaitingLimit& limit, std::uint64_t job_tokens) const {
  const std::uint64_t waiting = state_->waitingTokens(limit);
  const std::uint64_t wanted = waiting + job_tokens;
  const std::uint64_t excess = wanted - std::min(wanted, limit.most_tokens);
  const Duration until_room = finished_tokens_.timeToDrain(monotonicNow(), excess);
  return OverLimitReply{waiting, job_tokens, static_cast<std::uint32_t>(toMillis(until_room))};
}

void StoreProgram::serve(EndJobRequest request, ReplyFunction reply) {
  const JobId id = request.job;
  auto done = [this, id, reply = std::move(reply)](const ProposalOutcome& outcome) {
    const bool is_forgotten = outcome.result == ProposalResult::kApplied && outcome.reply == kApplyNoJob;
    const bool can_be_kept = !anyForgetsEnds(feed_->view().stores);
    const StoreReply answer = is_forgotten && can_be_kept
                                  ? StoreReply(UnavailableReply{false, "the group does not keep ends yet"})
                                  : replyOf(outcome);
    logEvent(LogLevel::kInfo, "job_ended",
             {{"job", id.value}, {"kept", std::holds_alternative<DoneReply>(answer)}, {"outcome", nameOf(outcome)}});
    reply(answer);
  };
  EndJob command{id, request.tenant};
  group_->propose(encodeTagged(JobCommand(std::move(command))), kProposalTimeout, std::move(done));
}

/// Granted only once a quorum has confirmed the leadership, so that no two leaders grant a lease at the same time.
void StoreProgram::serve(TrialRequest request, ReplyFunction reply) {
  if (!executor_->isLeading()) {
    reply(UnavailableReply{false, "not the leader"});
    return;
  }
  if (request.is_unused) {
    executor_->endUnusedTrial(request.content, request.holder);
    reply(TrialReply{});
    return;
  }
  auto answer = [this, request]() -> StoreReply {
    if (!executor_->isLeading()) return UnavailableReply{false, "not the leader"};
    const Duration wait = executor_->requestTrial(monotonicNow(), request.content, request.holder);
    return TrialReply{wait == Duration::zero(), toMillis(wait)};
  };
  answerFresh(answer, std::move(reply));
}

void StoreProgram::answerFresh(std::function<StoreReply()> answer, ReplyFunction reply) {
  group_->read([answer = std::move(answer), reply = std::move(reply)](bool fresh) {
    reply(fresh ? answer() : StoreReply(UnavailableReply{false, "no quorum has confirmed a fresh read"}));
  });
}

void StoreProgram::serve(ReadResultsRequest request, ReplyFunction reply) {
  group_->read([this, request = std::move(request), reply = std::move(reply)](bool fresh) {
    if (!fresh) {
      reply(UnavailableReply{false, "no quorum has confirmed a fresh read"});
      return;
    }
    const StoredJob* job = state_->find(request.job);
    if (job == nullptr || !job->isVisibleTo(request.tenant)) {
      reply(UnknownReply{});
      return;
    }
    const bool has_result = request.from < job->results.size();
    if (has_result || request.wait_ms == 0 || job->isFinished()) {
      reply(resultsFrom(*job, request.from, kMaxResultBytes));
      return;
    }
    pending_reads_.push_back(PendingRead{request, monotonicNow() + fromMillis(request.wait_ms), reply});
  });
}

void StoreProgram::serve(ReadItemRequest request, ReplyFunction reply) {
  auto answer = [this, request]() -> StoreReply {
    const StoredJob* job = state_->find(request.job);
    if (job == nullptr || !job->isVisibleTo(request.tenant)) return UnknownReply{};
    const auto open = job->open_items.find(request.item);
    if (open == job->open_items.end()) return UnknownReply{};
    return ItemReply{job->submission.items[open->second].body};
  };
  answerFresh(answer, std::move(reply));
}

void StoreProgram::answerPendingReads(Instant now) {
  std::vector<PendingRead> due;
  for (auto pending = pending_reads_.begin(); pending != pending_reads_.end();) {
    const StoredJob* job = state_->find(pending->request.job);
    const bool has_result = job != nullptr && (pending->request.from < job->results.size() || job->isFinished());
    if (has_result || now >= pending->deadline || job == nullptr) {
      due.push_back(std::move(*pending));
      pending = pending_reads_.erase(pending);
    } else {
      ++pending;
    }
  }
  for (const PendingRead& pending : due) {
    const StoredJob* job = state_->find(pending.request.job);
    if (job == nullptr) {
      pending.reply(UnavailableReply{false, "the job is being replaced"});
    } else {
      pending.reply(resultsFrom(*job, pending.request.from, kMaxResultBytes));
    }
  }
}

}  // namespace hatchfork::store
