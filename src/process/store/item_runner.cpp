#include "process/store/item_runner.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "connection/event_stream.hpp"

namespace hatchfork::store {

using connection::AnswerPiece;
using connection::Awaitable;
using connection::EndOfAnswer;
using connection::EngineExchange;
using connection::EngineReachability;
using connection::ExchangeFailure;
using connection::ExchangeStart;
using connection::monotonicNow;
using fleet::RunEnd;
using request::EngineVerdict;

namespace {

/// Remaining time that is sent to the engine with each run.
constexpr Duration kRunTime = std::chrono::seconds(30);
/// A run without its first event for this long is aborted.
constexpr Duration kFirstEventTimeout = std::chrono::seconds(6);
/// A run without a further event for this long is aborted.
constexpr Duration kNextEventTimeout = std::chrono::seconds(3);
/// Runs are aborted after this long without a heartbeat of a leader, since no leader may still need them. Longer than
/// most changes of leader take, shorter than the time within which the runs of an ended job must stop.
constexpr Duration kLeaseDuration = fromMillis(2500);
/// A store without runs reports this often, on the heartbeats of its leader, so that orders name a recent report.
constexpr Duration kIdleReportInterval = fromMillis(900);
/// Maximum number of stops that are remembered for orders that have not arrived.
constexpr std::size_t kMaxEarlyStops = 2000;
/// Maximum number of answers in one report; the others follow once these are confirmed.
constexpr std::size_t kMaxAnswersPerReport = 200;
constexpr Duration kReportInterval = fromMillis(200);
/// A new leader gets reports for this long even if they are empty, because it waits for a report of each store.
constexpr Duration kNewLeaderReportTime = fromMillis(1500);
/// First events and ends are reported after this delay, so that those of the same moment share a report.
constexpr Duration kReportDelay = fromMillis(15);
/// Much more than an engine generates for one item.
constexpr std::size_t kLargestText = 4u << 20;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kServerError = 500;
constexpr unsigned kMisdirected = 421;

/// Time of the boot clock, which also counts the time for which the machine was suspended.
std::int64_t stampNow() {
  return toMillis(monotonicNow().time_since_epoch());
}

connection::Endpoint endpointOf(const fleet::RunOrder& order) {
  return connection::parseEndpoint(order.engine_address).value_or(connection::Endpoint{});
}

}  // namespace

ItemRunner::ItemRunner(connection::asio::io_context& context, const Dialect& dialect, ReplicaId self,
                       ReportFunction report)
    : context_(context),
      dialect_(dialect),
      self_(std::move(self)),
      report_(std::move(report)),
      engines_(context),
      last_tick_(monotonicNow()),
      report_timer_(context) {}

ItemRunner::~ItemRunner() {
  *alive_ = false;
}

void ItemRunner::setLeader(const ReplicaId& leader, std::uint64_t term, bool reads_summaries) {
  last_leader_contact_ = monotonicNow();
  if (term == term_ && leader == leader_) return;
  leader_ = leader;
  term_ = term;
  reports_until_ = last_leader_contact_ + kNewLeaderReportTime;
  offerRuns(reads_summaries);
  report();
}

void ItemRunner::take(fleet::RunOrder order) {
  if (order.term < term_) return;
  setLeader(order.from, order.term, order.reads_summaries);
  if (runs_.contains(order.number)) return;
  const auto stopped = std::find(early_stops_.begin(), early_stops_.end(), order.number);
  if (stopped != early_stops_.end()) return;
  if (isOutdated(order)) {
    refuseOutdated(order);
    return;
  }
  // Leaders of older releases name the stored progress even if they have dropped the text that begins with it.
  if (!order.has_text) {
    order.saved_event = 0;
    order.saved_chain = 0;
  }
  auto run = std::make_shared<Run>();
  run->news.number = order.number;
  run->has_text = order.has_text;
  if (order.last_event > 0) {
    run->position = request::StreamPosition(order.last_event, order.after_close, order.engine_build);
  }
  run->position.beginAnswer(order.engine_build);
  run->text = std::move(order.text);
  run->news.last_event = order.last_event;
  run->order = std::move(order);
  const std::vector<ItemHeader>& headers = run->order.item.headers;
  run->names_weights = std::any_of(headers.begin(), headers.end(), [this](const ItemHeader& header) {
    return connection::isSameHeader(header.name, dialect_.headers().expected_weights);
  });
  runs_.emplace(run->order.number, run);
  logEvent(LogLevel::kInfo, "item_run_begun",
           {{"job", run->order.job.value},
            {"request", run->order.item.id},
            {"run", run->order.number},
            {"engine", run->order.engine.value},
            {"leader", leader_.value},
            {"term", term_},
            {"since_tick_ms", toMillis(monotonicNow() - last_tick_)}});
  connection::asio::co_spawn(context_, this->run(run), connection::asio::detached);
}

bool ItemRunner::isOutdated(const fleet::RunOrder& order) {
  if (order.report_stamp == fleet::kUnstamped) return false;
  const std::int64_t age_ms = stampNow() - order.report_stamp;
  // A stamp of the future is that of a machine that has been started again since.
  return age_ms < 0 || age_ms > toMillis(kLeaseDuration);
}

void ItemRunner::refuseOutdated(const fleet::RunOrder& order) {
  logEvent(LogLevel::kWarning, "run_order_outdated",
           {{"job", order.job.value},
            {"request", order.item.id},
            {"run", order.number},
            {"leader", leader_.value},
            {"term", term_},
            {"age_ms", order.report_stamp == 0 ? -1 : stampNow() - order.report_stamp}});
  fleet::RunNews news;
  news.number = order.number;
  news.sequence = 1;
  news.ended = true;
  // Not declined: that would count as a decline of an engine for what the item asks for.
  news.end = RunEnd::kBroken;
  news.cause = "the order may be older than the lease";
  unreported_ends_.push_back(std::move(news));
  reportSoon();
}

void ItemRunner::take(const fleet::RunLease& lease) {
  if (lease.term < term_) return;
  setLeader(lease.from, lease.term, lease.reads_summaries);
  if (monotonicNow() >= last_report_at_ + kIdleReportInterval) report_due_ = true;
  for (const std::uint64_t number : lease.stopped) stop(number);
  removeConfirmedAnswers(lease.kept_answers);
  dropListedRuns(lease.listed);
  sendTexts(lease.wanted_texts);
}

void ItemRunner::stop(std::uint64_t number) {
  withheld_ends_.erase(number);
  const auto found = runs_.find(number);
  if (found == runs_.end()) {
    // It has ended, or its order has not arrived.
    early_stops_.push_back(number);
    if (early_stops_.size() > kMaxEarlyStops) early_stops_.pop_front();
    logEvent(LogLevel::kInfo, "run_stop_without_run", {{"run", number}, {"leader", leader_.value}, {"term", term_}});
    return;
  }
  const RunPtr run = found->second;
  run->stopped = true;
  runs_.erase(found);
  if (run->control && run->control->cancel) run->control->cancel();
}

void ItemRunner::stopAll() {
  for (const auto& [number, run] : std::exchange(runs_, {})) {
    run->stopped = true;
    if (run->control && run->control->cancel) run->control->cancel();
  }
  unreported_ends_.clear();
  withheld_ends_.clear();
}

void ItemRunner::abortAll() {
  for (const auto& [number, run] : runs_) {
    fleet::RunNews news = run->news;
    ++news.sequence;
    news.ended = true;
    news.end = RunEnd::kBroken;
    news.cause = "the store stops";
    unreported_ends_.push_back(std::move(news));
    run->stopped = true;
    if (run->control && run->control->cancel) run->control->cancel();
  }
  runs_.clear();
  report();
}

void ItemRunner::tick(Instant now) {
  last_tick_ = now;
  dropOldEndedRuns(now);
  dropOldAnswers(now);
  if (!hasReport(now)) return;
  const bool has_runs = !runs_.empty() || !unreported_ends_.empty() || !withheld_ends_.empty();
  if (has_runs && now > last_leader_contact_ + kLeaseDuration) {
    logEvent(LogLevel::kWarning, "run_lease_ended", {{"leader", leader_.value}, {"running", runs_.size()}});
    stopAll();
    return;
  }
  if (now >= next_report_) report();
}

void ItemRunner::reportSoon() {
  if (std::exchange(report_timer_armed_, true)) return;
  report_timer_.expires_after(kReportDelay);
  report_timer_.async_wait([this, alive = alive_](boost::system::error_code error) {
    if (error || !*alive) return;
    report_timer_armed_ = false;
    report();
  });
}

bool ItemRunner::hasReport(Instant now) const {
  return !runs_.empty() || !unreported_ends_.empty() || !withheld_ends_.empty() || !answers_.empty() || report_due_ ||
         now < reports_until_;
}

void ItemRunner::report() {
  if (!hasReport(monotonicNow())) return;
  last_report_at_ = monotonicNow();
  next_report_ = last_report_at_ + kReportInterval;
  report_due_ = false;
  fleet::RunReport report{self_, term_, std::exchange(unreported_ends_, {}), {}, {}, stampNow()};
  for (const UnconfirmedAnswer& entry : answers_) {
    if (report.answers.size() >= kMaxAnswersPerReport) break;
    report.answers.push_back(entry.answer);
  }
  report.running.assign(withheld_ends_.begin(), withheld_ends_.end());
  for (const auto& [number, run] : runs_) {
    report.running.push_back(number);
    if (run->is_withheld || !std::exchange(run->has_news, false)) continue;
    ++run->news.sequence;
    report.news.push_back(run->news);
    run->news.text.clear();
    run->news.events = 0;
    run->news.engine_slots = 0;
  }
  report_(leader_, fleet::FleetMessage(std::move(report)));
}

connection::EngineRequest ItemRunner::engineRequest(Run& run) const {
  const HeaderNames& names = dialect_.headers();
  fleet::RunOrder& order = run.order;
  connection::EngineRequest out;
  out.engine = order.engine;
  out.endpoint = endpointOf(order);
  out.method = "POST";
  out.target = order.item.target;
  out.headers.push_back({"Host", order.host});
  for (const ItemHeader& header : order.item.headers) out.headers.push_back({header.name, header.value});
  out.headers.push_back({names.request_id, order.item.id});
  out.headers.push_back({names.expected_engine, order.engine.value});
  out.headers.push_back({names.remaining_ms, std::to_string(toMillis(kRunTime))});
  if (order.last_event > 0) out.headers.push_back({names.last_event_id, std::to_string(order.last_event)});
  // Not needed here again: the leader has the body for a later run.
  out.body = std::exchange(order.item.body, {});
  out.echo_name = names.request_id;
  out.echo_value = order.item.id;
  return out;
}

Awaitable<void> ItemRunner::run(RunPtr run) {
  const std::shared_ptr<bool> alive = alive_;
  if (run->stopped) co_return;
  run->control = std::make_shared<connection::ExchangeControl>();
  run->control->may_send = [weak = std::weak_ptr<Run>(run)] {
    const RunPtr sent = weak.lock();
    return sent && !sent->stopped && !isOutdated(sent->order);
  };
  connection::EngineRequest sent = engineRequest(*run);
  ExchangeStart started = co_await engines_.open(std::move(sent), monotonicNow() + kFirstEventTimeout, run->control);
  if (!*alive) co_return;
  run->news.end = RunEnd::kBroken;
  if (auto* failure = std::get_if<ExchangeFailure>(&started)) {
    if (!failure->may_have_run && !failure->was_withheld) run->news.end = RunEnd::kDeclined;
    run->news.cause = failure->cause;
    run->news.verdict = failure->was_withheld ? EngineVerdict::kNeutral : EngineVerdict::kFailed;
  } else {
    auto exchange = std::move(std::get<std::unique_ptr<EngineExchange>>(started));
    noteLoad(*run, *exchange);
    co_await readAnswer(*run, *exchange);
    // This object may have been destroyed during the wait before, which the linter does not see.
    if (!*alive) co_return;  // cppcheck-suppress identicalConditionAfterEarlyExit
  }
  finish(run);
}

void ItemRunner::noteLoad(Run& run, EngineExchange& exchange) const {
  const auto load = request::parseEngineLoad(exchange.header(dialect_.headers().engine_load));
  if (!load) return;
  run.news.engine_running = load->running;
  run.news.engine_waiting = load->waiting;
  run.news.engine_slots = load->slots;
}

Awaitable<void> ItemRunner::readAnswer(Run& run, EngineExchange& exchange) {
  const std::shared_ptr<bool> alive = alive_;
  fleet::RunNews& news = run.news;
  const unsigned status = exchange.status();
  news.cause = fmt::format("status_{}", status);
  const bool declined = status == kMisdirected || !exchange.header(dialect_.headers().not_executed).empty();
  if (declined) {
    news.verdict = status == kMisdirected ? EngineVerdict::kGone : EngineVerdict::kDeclined;
    // The engine may be the expected one, with other weights.
    if (status == kMisdirected && run.names_weights) news.verdict = EngineVerdict::kNeutral;
    news.end = RunEnd::kDeclined;
  }
  if (!declined && status == kUnprocessable) news.end = RunEnd::kImpossible;
  if (!declined && status == kServerError) news.end = RunEnd::kFailed;
  if (declined || status / 100 != 2) co_return;
  connection::EventSplitter splitter;
  Instant next_event_by = monotonicNow() + kNextEventTimeout;
  while (true) {
    AnswerPiece piece = co_await exchange.read(next_event_by);
    if (!*alive || run.stopped) co_return;
    if (const auto* failure = std::get_if<ExchangeFailure>(&piece)) {
      news.cause = "stream: " + failure->cause;
      news.verdict = EngineVerdict::kFailed;
      co_return;
    }
    if (const auto* end = std::get_if<EndOfAnswer>(&piece)) {
      EngineReachability engine_state = EngineReachability::kUnknown;
      if (!end->framed) {
        EngineId engine = run.order.engine;
        connection::Endpoint endpoint = endpointOf(run.order);
        engine_state = co_await engines_.probe(std::move(engine), std::move(endpoint));
        if (!*alive || run.stopped) co_return;
      }
      takeEnd(run, end->framed, splitter.hasPartial(), engine_state);
      co_return;
    }
    const bool first = news.sequence == 0 && !run.has_news;
    splitter.append(std::get<std::string>(piece));
    const std::uint64_t events = run.events;
    bool is_sound = true;
    for (auto event = splitter.next(); event && is_sound; event = is_sound ? splitter.next() : std::nullopt) {
      is_sound = takeEvent(run, *event);
    }
    if (first && run.has_news) reportSoon();
    if (!is_sound || isUseless(run, splitter)) co_return;
    // Bytes that add nothing to the text give the engine no more time.
    if (run.events == events) continue;
    next_event_by = monotonicNow() + kNextEventTimeout;
    splitter.noteUseful();
  }
}

bool ItemRunner::isUseless(Run& run, const connection::EventSplitter& splitter) {
  const bool is_too_long = run.text.size() > kLargestText;
  if (!is_too_long && !splitter.isUseless()) return false;
  run.news.verdict = EngineVerdict::kFailed;
  run.news.cause = is_too_long ? "stream: a text without an end" : "stream: bytes without an event";
  // No run can end such a text, so the next one begins anew.
  if (is_too_long) run.news.last_event = 0;
  return true;
}

void ItemRunner::takeEnd(Run& run, bool is_framed, bool has_partial, EngineReachability engine_state) {
  fleet::RunNews& news = run.news;
  news.verdict = EngineVerdict::kFailed;
  news.cause = "stream: ended inside an event";
  if (has_partial) return;
  news.cause = "stream: closed by an engine that has ended";
  if (!is_framed && engine_state == EngineReachability::kEnded) return;
  const request::TextEnd end =
      run.position.judgeEnd(is_framed ? request::AnswerEnd::kFramed : request::AnswerEnd::kClosed);
  news.cause = end == request::TextEnd::kWhole ? "whole" : "stream: closed without its length";
  if (end == request::TextEnd::kBroken) return;
  news.verdict = EngineVerdict::kGood;
  news.end = end == request::TextEnd::kWhole ? RunEnd::kWhole : RunEnd::kClosed;
}

bool ItemRunner::takeEvent(Run& run, const connection::StreamEvent& event) {
  const request::EventPlace place = run.position.take(event.id, event.has_data);
  if (place == request::EventPlace::kRepeated || !event.has_data) return true;
  if (place != request::EventPlace::kNext) {
    run.news.verdict = EngineVerdict::kFailed;
    run.news.cause =
        place == request::EventPlace::kGap ? "stream: events are missing" : "stream: an event without an identifier";
    return false;
  }
  const std::string addition = (run.has_text ? "\n" : "") + event.data;
  run.news.text += addition;
  run.text += addition;
  run.has_text = true;
  run.has_news = true;
  ++run.news.events;
  ++run.events;
  run.news.last_event = run.position.canResume() ? run.position.last().value_or(0) : 0;
  return true;
}

void ItemRunner::finish(const RunPtr& run) {
  run->control.reset();
  if (run->stopped) return;
  runs_.erase(run->order.number);
  run->news.ended = true;
  ++run->news.sequence;
  retainAnswer(*run);
  retainEndedRun(*run);
  if (run->is_withheld) {
    withheld_ends_.insert(run->order.number);
    return;
  }
  unreported_ends_.push_back(std::move(run->news));
  reportSoon();
}

}  // namespace hatchfork::store
