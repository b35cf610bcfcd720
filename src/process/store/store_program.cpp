#include "process/store/store_program.hpp"

#include <malloc.h>

#include <algorithm>
#include <random>
#include <utility>

#include "common/log.hpp"
#include "common/start_timeline.hpp"
#include "connection/stop_signal.hpp"
#include "process/memory/process_memory.hpp"
#include "process/store/group_contacts.hpp"
#include "process/store/group_releases.hpp"

namespace hatchfork::store {

using connection::Awaitable;
using connection::monotonicNow;
using fleet::FleetMessage;
using fleet::ProposalOutcome;
using fleet::ProposalResult;

namespace {

/// All stores form a single group.
constexpr GroupId kStoreGroup = 1;
constexpr Duration kTickInterval = fromMillis(50);
/// Delay of starts of waiting items, so that the reports and changes of a moment share one pass over the queue.
constexpr Duration kStartDelay = fromMillis(10);
constexpr Duration kLeadershipTransferTimeout = fromMillis(1500);
/// A stopping store waits this long for the next leader to store the answers of engines to its runs.
constexpr Duration kAnswerHandoverTimeout = fromMillis(1500);
/// Bounds the memory of runs: each run has a request, a text and buffers.
constexpr std::size_t kRunsPerMegabyte = 2;
/// Streams that are recorded here, of some 300 bytes each.
constexpr std::size_t kMaxStreams = 20000;
constexpr Duration kTrimInterval = std::chrono::seconds(1);
constexpr std::size_t kMinVoters = 3;
/// Heartbeat interval and election timeout. Heartbeats of a store under load may be late by 200 ms, and a series of
/// elections costs more than a slow election.
constexpr consensus::Timing kStoreTiming{fromMillis(75), fromMillis(300)};

}  // namespace

StoreProgram::StoreProgram(fleet::FleetSettings settings, std::string settings_file,
                           std::unique_ptr<const Dialect> dialect)
    : settings_(std::move(settings)),
      settings_file_(std::move(settings_file)),
      dialect_(std::move(dialect)),
      links_(context_, settings_.store_port),
      crashes_(settings_.name, connection::wallNow()),
      crash_relay_(crashes_,
                   [this](const ReplicaId& to, const FleetMessage& message) { return links_.send(to, message); }),
      crash_timer_(context_),
      start_timer_(context_),
      memory_(settings_.memory_mb),
      aggregator_(settings_.self(), engine_keys_,
                  [this](const ReplicaId& to, const fleet::LoadTotalsFrame& totals) { links_.send(to, totals); }),
      own_load_(
          settings_.name, settings_.zone, engine_keys_,
          [this](const ReplicaId& to, const fleet::LoadReportFrame& report) { return sendLoadReport(to, report); }),
      placement_(
          std::random_device()(), settings_.zone, [this](const EngineId& engine) { requestPreemption(engine); },
          settings_.load),
      rate_limits_(settings_.rate_limits),
      streams_(kMaxStreams) {
  own_load_.setKind(fleet::LoadKind::kBackground);
  placement_.setAnswerHandler([this](const void* connection, const fleet::PlacementAnswer& answer) {
    const auto link = placement_links_.find(connection);
    // A disconnected gateway sends its request to another store, or chooses an engine itself.
    if (link != placement_links_.end()) link->second->send(encodeTagged(FleetMessage(answer)));
  });
  crashes_.setNewsHandler([this] { scheduleCrashReport(); });
  crash_relay_.setNewsHandler([this] { scheduleCrashReport(); });
  links_.setFrameHandler([this](const std::string& body) { onReturnedFrame(body); });
}

StoreProgram::~StoreProgram() = default;

Status StoreProgram::start() {
  memory::returnLargeBuffers();
  connection::FrameConnection::setOutboxLimit(memory_.quota(memory::MemoryConsumer::kOutboxes));
  JobExecutorOptions executor_options;
  executor_options.self = settings_.self();
  executor_options.zone = settings_.zone;
  executor_options.regions = settings_.zones;
  executor_options.seed = std::random_device()();
  executor_options.load = settings_.load;
  executor_options.max_running =
      std::min<std::size_t>(executor_options.max_running, settings_.memory_mb * kRunsPerMegabyte);
  auto propose_command = [this](JobCommand command, std::function<void(bool)> done) {
    group_->propose(encodeTagged(command), kProposalTimeout, [done = std::move(done)](const ProposalOutcome& outcome) {
      done(outcome.result == ProposalResult::kApplied);
    });
  };
  auto send_run = [this](const ReplicaId& to, const FleetMessage& message) { return sendToStore(to, message); };
  executor_ = std::make_unique<JobExecutor>(executor_options, *dialect_, propose_command, send_run, crashes_);
  executor_->setStartScheduler([this] { scheduleStart(); });
  auto report = [this](const ReplicaId& leader, const FleetMessage& news) { sendToStore(leader, news); };
  runner_ = std::make_unique<ItemRunner>(context_, *dialect_, settings_.self(), report);
  crashes_.setServingCheck([this](const EngineId& engine) { return executor_->isServing(engine); });

  fleet::GroupHostOptions options;
  options.group = kStoreGroup;
  options.timing = kStoreTiming;
  options.self = settings_.self();
  options.data_folder = settings_.data_folder;
  options.max_log_bytes =
      memory_.quota(memory::MemoryConsumer::kLog) + memory_.quota(memory::MemoryConsumer::kRequests);
  options.most_voters = std::max<std::size_t>(kMinVoters, 2 * settings_.tolerated_losses + 1);
  auto make_machine = [this] { return std::make_unique<JobState>([this](const JobId& job) { noteChange(job); }); };
  auto adopt_machine = [this](consensus::StateMachine& machine) {
    state_ = static_cast<JobState*>(&machine);
    kept_crashes_applied_ = 0;
    executor_->setState(*state_);
  };
  auto send = [this](const ReplicaId& to, const FleetMessage& message) { return links_.send(to, message); };
  group_ = std::make_unique<fleet::GroupHost>(context_, options, make_machine, adopt_machine, send);
  const Status group_started = group_->start();
  if (!isOk(group_started)) return group_started;
  group_->setProgressHandler([this] { updateLeadership(); });
  recoverCrashes(monotonicNow());

  auto on_close = [this](const ConnectionPtr& closed) {
    placement_.drop(monotonicNow(), closed.get());
    placement_links_.erase(closed.get());
    crash_relay_.drop(closed.get());
  };
  auto on_frame = [this](const std::string& body, const ConnectionPtr& from) { onFrame(body, from); };
  frame_server_ = std::make_unique<connection::FrameServer>(context_, settings_.storeEndpoint(settings_.self()),
                                                            on_frame, on_close);
  const Status frames = frame_server_->start();
  if (!isOk(frames)) return frames;
  noteStartStep("listening");

  metrics_ = std::make_unique<fleet::MetricsServer>(context_, settings_,
                                                    [this](metrics::MetricsPage& page) { fillMetrics(page); });
  const Status measuring = metrics_->start();
  if (!isOk(measuring)) return measuring;

  fleet::FeedClientOptions feed_options{settings_.name, settings_.control_port, settings_.seeds};
  auto on_view = [this](const fleet::FleetView& view, const fleet::FleetChange& change) { onView(view, change); };
  feed_ =
      std::make_unique<fleet::FeedClient>(context_, feed_options, *dialect_, on_view, [this] { return presence(); });
  feed_->start();
  return okStatus();
}

Status StoreProgram::run() {
  const Status started = start();
  if (!isOk(started)) return started;
  logEvent(LogLevel::kInfo, "store_started", {{"address", settings_.address}, {"zone", settings_.zone.value}});
  connection::asio::co_spawn(context_, tickLoop(), connection::asio::detached);
  connection::asio::co_spawn(context_, stopOnSignal(), connection::asio::detached);
  connection::asio::co_spawn(context_, reloadOnSignal(), connection::asio::detached);
  context_.run();
  logEvent(LogLevel::kInfo, "store_stopped");
  return okStatus();
}

std::vector<fleet::StorePresence> StoreProgram::presence() const {
  const consensus::GroupStatus status = group_->status();
  fleet::StorePresence presence;
  presence.node = settings_.name;
  presence.address = settings_.self();
  presence.zone = settings_.zone;
  presence.incarnation = status.incarnation;
  presence.formed = status.joined;
  presence.release = kThisRelease;
  if (group_->isConfirmedLeader() && status.membership_committed) {
    presence.membership = status.membership;
    presence.term = status.term;
  }
  return {presence};
}

void StoreProgram::onView(const fleet::FleetView& view, const fleet::FleetChange& change) {
  const Instant now = monotonicNow();
  if (change.directory) applyDirectory(now, view);
  if (change.routes) {
    updateRateLimits(view);
    placement_.setServices(view.routes->services());
  }
  if (!change.engines.isEmpty()) {
    engine_keys_.take(change.engines);
    placement_.takeEngines(now, change.engines);
  }
  executor_->takeView(now, view, change);
}

void StoreProgram::applyDirectory(Instant now, const fleet::FleetView& view) {
  group_->setContacts(groupContacts(view), view.stores.size());
  group_->setRetiring(std::set<ReplicaId>(view.retiring.begin(), view.retiring.end()));
  if (!view.store_group.members.empty()) group_->formWith(view.store_group);
  aggregator_.setStores(view.stores);
  crash_relay_.setAggregators(aggregator_.peers());
  own_load_.setStores(view.stores);
  updateRateLimits(view);
  placement_.setEvacuated(now, view.evacuated.zones);
}

Result<std::optional<FleetMessage>> StoreProgram::readFrame(const std::string& body) {
  const fleet::HandlerWatch::Timer timer(handlers_, "decode");
  return frames_.read(body);
}

void StoreProgram::onFrame(const std::string& body, const ConnectionPtr& from) {
  const Result<std::optional<FleetMessage>> message = readFrame(body);
  if (!isOk(message)) {
    logEvent(LogLevel::kWarning, "frame_refused", {{"cause", describe(errorOf(message))}});
    from->close();
    return;
  }
  if (!valueOf(message)) return;
  const FleetMessage& decoded = *valueOf(message);
  const fleet::HandlerWatch::Timer timer(handlers_, std::visit([](const auto& body) { return body.kKind; }, decoded));
  dispatch(decoded, from);
}

void StoreProgram::dispatch(const FleetMessage& decoded, const ConnectionPtr& from) {
  if (const auto* group = std::get_if<fleet::GroupFrame>(&decoded)) {
    group_->receive(*group);
    links_.noteUp(group->from);
  } else if (const auto* proposal = std::get_if<fleet::ProposalFrame>(&decoded)) {
    group_->receive(*proposal);
  } else if (const auto* reply = std::get_if<fleet::ProposalReplyFrame>(&decoded)) {
    group_->receive(*reply);
  } else if (const auto* request = std::get_if<fleet::StoreRequestFrame>(&decoded)) {
    onRequest(*request, from);
  } else if (const auto* load = std::get_if<fleet::LoadReportFrame>(&decoded)) {
    onLoadReport(*load, from);
  } else if (const auto* totals = std::get_if<fleet::LoadTotalsFrame>(&decoded)) {
    aggregator_.take(monotonicNow(), *totals);
  } else if (const auto* background = std::get_if<fleet::BackgroundLoadFrame>(&decoded)) {
    onBackgroundLoad(*background);
  } else if (const auto* wanted = std::get_if<fleet::GiveWayFrame>(&decoded)) {
    executor_->preemptAt(wanted->engine);
  } else if (const auto* placement = std::get_if<fleet::PlacementQuestion>(&decoded)) {
    if (placement->terms) placement_links_[from.get()] = from;
    from->send(encodeTagged(FleetMessage(placement_.take(monotonicNow(), *placement, from.get()))));
  } else if (const auto* notes = std::get_if<fleet::PlacementNotes>(&decoded)) {
    placement_.take(monotonicNow(), *notes, from.get());
  } else if (const auto* question = std::get_if<fleet::CreditQuestionFrame>(&decoded)) {
    onCreditQuestion(*question, from);
  } else if (const auto* streams = std::get_if<fleet::StreamNotesFrame>(&decoded)) {
    onStreamNotes(*streams);
  } else if (const auto* stream = std::get_if<fleet::StreamQuestionFrame>(&decoded)) {
    onStreamQuestion(*stream, from);
  } else if (const auto* crashes = std::get_if<fleet::CrashNotesFrame>(&decoded)) {
    const CrashRelay::Receiver receiver{from.get(), [from](const std::string& frame) { from->send(frame); }};
    crash_relay_.take(monotonicNow(), *crashes, receiver);
  } else if (const auto* order = std::get_if<fleet::RunOrder>(&decoded)) {
    if (!stopping_) runner_->take(*order);
  } else if (const auto* lease = std::get_if<fleet::RunLease>(&decoded)) {
    runner_->take(*lease);
  } else if (const auto* report = std::get_if<fleet::RunReport>(&decoded)) {
    executor_->take(*report);
  } else if (const auto* offer = std::get_if<fleet::RunOffer>(&decoded)) {
    executor_->take(*offer);
  } else if (const auto* summaries = std::get_if<fleet::RunSummaries>(&decoded)) {
    executor_->take(*summaries);
  } else if (const auto* texts = std::get_if<fleet::RunTexts>(&decoded)) {
    executor_->take(*texts);
  }
}

bool StoreProgram::sendToStore(const ReplicaId& to, const FleetMessage& message) {
  if (to != settings_.self()) return links_.send(to, message);
  // Posted, so that neither the runner nor the executor is called back during its own call.
  connection::asio::post(context_, [this, message] {
    if (const auto* order = std::get_if<fleet::RunOrder>(&message)) runner_->take(*order);
    if (const auto* lease = std::get_if<fleet::RunLease>(&message)) runner_->take(*lease);
    if (const auto* report = std::get_if<fleet::RunReport>(&message)) executor_->take(*report);
    if (const auto* offer = std::get_if<fleet::RunOffer>(&message)) executor_->take(*offer);
    if (const auto* summaries = std::get_if<fleet::RunSummaries>(&message)) executor_->take(*summaries);
    if (const auto* texts = std::get_if<fleet::RunTexts>(&message)) executor_->take(*texts);
  });
  return true;
}

void StoreProgram::updateLeadership() {
  const Instant now = monotonicNow();
  if (group_->isLeader() && !state_->keepsEnds()) {
    executor_->noteStoresKeepEnds(canKeepEnds());
  }
  group_->setLeastRelease(state_->keepsEnds() ? kKeptEndRelease : kUnknownRelease);
  if (group_->isConfirmedLeader()) confirmed_at_ = now;
  executor_->noteConfirmed(confirmed_at_);
  // A leader that is briefly not confirmed by a quorum continues; the group ends its leadership if that lasts.
  const bool same_leadership = executor_->isLeading() && group_->isLeader() && group_->term() == executor_->term();
  executor_->setLeading(!stopping_ && (confirmed_at_ == now || same_leadership), group_->term());
}

bool StoreProgram::canKeepEnds() const {
  std::vector<ReplicaId> members;
  for (const consensus::Member& member : group_->status().membership.members) {
    if (member.id != settings_.self()) members.push_back(member.id);
  }
  return allKeepEnds(feed_->view().stores, members);
}

void StoreProgram::scheduleStart() {
  start_timer_.expires_after(kStartDelay);
  start_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    const fleet::HandlerWatch::Timer timer(handlers_, "start_waiting");
    executor_->startWaiting();
  });
}

void StoreProgram::noteChange(const JobId& job) {
  changed_jobs_.insert(job);
  if (std::exchange(change_posted_, true)) return;
  connection::asio::post(context_, [this] {
    change_posted_ = false;
    const fleet::HandlerWatch::Timer timer(handlers_, "changed_jobs");
    for (const JobId& changed : std::exchange(changed_jobs_, {})) executor_->noteChange(changed);
    answerPendingReads(monotonicNow());
  });
}

/// After a restore, the count of listed tokens may be lower than at the last measurement.
void StoreProgram::measureDrainRate(Instant now) {
  const std::uint64_t listed = state_->listedTokens();
  if (listed > listed_tokens_) finished_tokens_.noteFinished(now, static_cast<double>(listed - listed_tokens_));
  listed_tokens_ = listed;
}

Awaitable<void> StoreProgram::tickLoop() {
  while (true) {
    const Instant due = monotonicNow() + kTickInterval;
    co_await connection::sleepFor(kTickInterval);
    handlers_.noteLateness(monotonicNow() - due);
    const fleet::HandlerWatch::Timer timer(handlers_, "tick");
    tick(monotonicNow());
  }
}

void StoreProgram::tick(Instant now) {
  suspensions_.look();
  watchMemory(now);
  updateLeadership();
  proposeCrashes(now);
  executor_->tick(now);
  runner_->tick(now);
  answerPendingReads(now);
  measureDrainRate(now);
  reportOwnLoad(now);
  aggregator_.tick(now);
  if (placement_.gateways() > 0) placement_.notePeerLoad(now, aggregator_.notPlacedHere());
  placement_.tick(now);
  links_.dropUnused(now);
  if (now < next_trim_) return;
  next_trim_ = now + kTrimInterval;
  handlers_.logPeriod(now);
  measureMemory();
  rate_limits_.expire(now);
  streams_.expire(now);
  placement_.expire(now);
  crash_relay_.tick(now);
  runner_->closeIdle([this](const EngineId& engine) { return executor_->knowsEngine(engine); });
  // Returns memory to the system that large messages have left free in the allocator.
  ::malloc_trim(0);
}

Awaitable<void> StoreProgram::stopOnSignal() {
  co_await connection::awaitStopSignal();
  logEvent(LogLevel::kInfo, "planned_stop_started", {{"running", executor_->running()}});
  stopping_ = true;
  updateLeadership();
  runner_->abortAll();
  group_->transferLeadership();
  const Instant give_up = monotonicNow() + kLeadershipTransferTimeout;
  while (group_->isConfirmedLeader() && monotonicNow() < give_up) co_await connection::sleepFor(fromMillis(20));
  // Leaves time to send the answers that the first entries of the new leader release.
  co_await connection::sleepFor(fromMillis(100));
  const Instant answers_until = monotonicNow() + kAnswerHandoverTimeout;
  while (runner_->unconfirmedAnswers() > 0 && monotonicNow() < answers_until)
    co_await connection::sleepFor(fromMillis(20));
  context_.stop();
}

Awaitable<void> StoreProgram::reloadOnSignal() {
  while (true) {
    co_await connection::awaitReloadSignal();
    const Result<fleet::FleetSettings> settings = fleet::readFleetSettings(settings_file_, fleet::ProcessRole::kStore);
    if (!isOk(settings)) {
      logEvent(LogLevel::kError, "reload_refused", {{"error", describe(errorOf(settings))}});
      continue;
    }
    feed_->addSeeds(valueOf(settings).seeds);
    logEvent(LogLevel::kInfo, "settings_reloaded", {{"file", settings_file_}});
  }
}

}  // namespace hatchfork::store
