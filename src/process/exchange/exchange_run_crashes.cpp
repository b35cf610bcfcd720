#include <utility>

#include "process/exchange/exchange_run.hpp"

// What the end of an attempt tells about its engine, and what an answer tells about the request's prompt.
namespace hatchfork::exchange {

using connection::Awaitable;
using connection::monotonicNow;
using request::EngineVerdict;

Awaitable<void> ExchangeRun::probeEngine() {
  EngineId engine = engine_;
  connection::Endpoint endpoint = engine_endpoint_;
  engine_state_ = co_await context_.engines.probe(std::move(engine), std::move(endpoint));
}

Awaitable<bool> ExchangeRun::hasCrashedAfterClose() {
  co_await probeEngine();
  const bool has_ended = engine_state_ == connection::EngineReachability::kEnded;
  // An engine that leaves as planned ends once its last answer is whole.
  if (!has_ended || !context_.selector.isServing(engine_)) co_return false;
  cause_ = "closed by an engine that has ended";
  closed_by_engine_ = true;
  verdict_ = EngineVerdict::kFailed;
  co_return true;
}

/// The caller may retry the same content at any gateway, so the crash is recorded before the caller gets an answer.
void ExchangeRun::noteEngineCrash() {
  if (engine_state_ != connection::EngineReachability::kEnded) return;
  const bool has_read_prompt = events_ > events_before_;
  const request::CrashSubjects subjects = has_read_prompt ? request::CrashSubjects(fingerprint_) : crashSubjects();
  context_.crashes.noteCrash(monotonicNow(), attempt_began_at_, subjects, engine_, engine_incarnation_);
}

void ExchangeRun::noteAnswerBegun() {
  const bool shares_parts = query_.prompt.parts.size() > 1;
  if (!shares_parts) return;
  if (!answering_prompt_) answering_prompt_.emplace(context_.answering_prompts, query_.service, query_.prompt);
  if (!context_.crashes.isQuiet()) context_.crashes.noteAnswerBegun(monotonicNow(), crashSubjects().parts);
}

}  // namespace hatchfork::exchange
