#include "process/fleet/control_program.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "common/start_timeline.hpp"
#include "connection/stop_signal.hpp"

namespace hatchfork::fleet {

using connection::Awaitable;
using connection::monotonicNow;

namespace {

constexpr Duration kMaintenanceInterval = fromMillis(250);
constexpr Duration kFreshnessInterval = fromMillis(300);
/// Changes closer together than this reach subscribers in one update; far below the time in which they must be known.
constexpr Duration kPushInterval = fromMillis(100);
/// After this long a control process has heard of every store that runs.
constexpr Duration kStoresKnownAfter = std::chrono::seconds(3);
/// The store group forms once no new store has been heard of for this long.
constexpr Duration kStoresSettledAfter = fromMillis(600);
/// After this long it forms with fewer stores than wanted.
constexpr Duration kFormAnywayAfter = std::chrono::seconds(5);
/// A control process sends its release four times a second.
constexpr Duration kOldReleaseSilence = std::chrono::seconds(3);
constexpr Duration kLeadershipHandOverTime = fromMillis(1500);
constexpr std::size_t kMostControlVoters = 7;
constexpr std::size_t kFewestVoters = 3;
constexpr std::string_view kControlsFile = "controls";
constexpr std::string_view kStoresFile = "stores";

}  // namespace

ControlProgram::ControlProgram(FleetSettings settings, std::string settings_file,
                               std::unique_ptr<const Dialect> dialect)
    : settings_(std::move(settings)),
      settings_file_(std::move(settings_file)),
      dialect_(std::move(dialect)),
      engines_(settings_.engine_beat),
      links_(context_, settings_.control_port),
      push_timer_(context_) {}

ControlProgram::~ControlProgram() = default;

Status ControlProgram::start() {
  started_at_ = monotonicNow();
  GroupHostOptions options;
  options.group = kConfigurationGroup;
  options.self = settings_.self();
  options.data_folder = settings_.data_folder;
  options.formation_members = settings_.seeds;
  options.may_form = settings_.first_start;
  options.most_voters = kMostControlVoters;
  auto make_machine = [this] { return std::make_unique<FleetState>([this] { pushSoon(); }); };
  auto adopt_machine = [this](consensus::StateMachine& machine) {
    state_ = static_cast<FleetState*>(&machine);
    if (feed_) feed_->setState(*state_);
  };
  auto send = [this](const ReplicaId& to, const FleetMessage& message) { return links_.send(to, message); };
  group_ = std::make_unique<GroupHost>(context_, options, make_machine, adopt_machine, send);
  const Status group_started = group_->start();
  if (!isOk(group_started)) return group_started;
  feed_ = std::make_unique<FeedServer>(*state_, directory_);
  group_->setProgressHandler([this] { proveWhenLed(); });
  controls_.insert(settings_.seeds.begin(), settings_.seeds.end());
  for (const ReplicaId& control : recall<std::vector<ReplicaId>>(kControlsFile)) controls_.insert(control);
  directory_.recall(started_at_, recall<std::vector<StoreAddress>>(kStoresFile));
  updateContacts();

  auto on_frame = [this](const std::string& body, const ConnectionPtr& from) { onFrame(body, from); };
  auto on_close = [this](const ConnectionPtr& closed) { feed_->unsubscribe(closed); };
  frame_server_ = std::make_unique<connection::FrameServer>(context_, settings_.controlEndpoint(settings_.self()),
                                                            on_frame, on_close);
  const Status frames = frame_server_->start();
  if (!isOk(frames)) return frames;
  noteStartStep("listening");

  metrics_ =
      std::make_unique<MetricsServer>(context_, settings_, [this](metrics::MetricsPage& page) { fillMetrics(page); });
  const Status measuring = metrics_->start();
  if (!isOk(measuring)) return measuring;

  registrar_ =
      std::make_unique<EngineRegistrar>(context_, [this](std::string command, EngineRegistrar::OutcomeHandler done) {
        group_->propose(std::move(command), kProposalTimeout, std::move(done));
      });
  OperatorApiContext api{*dialect_,
                         *group_,
                         directory_,
                         engines_,
                         *registrar_,
                         settings_.tolerated_losses,
                         settings_.zones,
                         [this]() -> const FleetState& { return *state_; },
                         [this] { return monotonicNow() > started_at_ + kStoresKnownAfter; },
                         [this] { return !has_old_peers_; }};
  operators_ = std::make_unique<OperatorApi>(std::move(api));
  connection::HttpServerOptions http_options;
  http_options.listen = settings_.operators;
  auto handler = [this](const connection::HttpRequest& request, connection::ResponseWriter& writer) {
    return operators_->handle(request, writer);
  };
  http_server_ = std::make_unique<connection::HttpServer>(
      context_, std::vector<connection::asio::io_context*>{&context_}, http_options, handler);
  return http_server_->start();
}

Status ControlProgram::run() {
  const Status started = start();
  if (!isOk(started)) return started;
  logEvent(LogLevel::kInfo, "control_started",
           {{"address", settings_.address},
            {"zone", settings_.zone.value},
            {"operators", toString(settings_.operators)},
            {"first_start", settings_.first_start}});
  connection::asio::co_spawn(context_, maintenanceLoop(), connection::asio::detached);
  connection::asio::co_spawn(context_, freshnessLoop(), connection::asio::detached);
  connection::asio::co_spawn(context_, stopOnSignal(), connection::asio::detached);
  connection::asio::co_spawn(context_, reloadOnSignal(), connection::asio::detached);
  context_.run();
  logEvent(LogLevel::kInfo, "control_stopped");
  return okStatus();
}

void ControlProgram::onFrame(const std::string& body, const ConnectionPtr& from) {
  const Result<std::optional<FleetMessage>> message = frames_.read(body);
  if (!isOk(message)) {
    logEvent(LogLevel::kWarning, "frame_refused", {{"cause", describe(errorOf(message))}});
    from->close();
    return;
  }
  if (!valueOf(message)) return;
  const FleetMessage& decoded = *valueOf(message);
  if (const auto* group = std::get_if<GroupFrame>(&decoded)) {
    take(*group);
    links_.noteUp(group->from);
  } else if (const auto* proposal = std::get_if<ProposalFrame>(&decoded)) {
    take(*proposal);
  } else if (const auto* reply = std::get_if<ProposalReplyFrame>(&decoded)) {
    take(*reply);
  } else if (const auto* directory = std::get_if<DirectoryFrame>(&decoded)) {
    take(*directory);
  } else if (const auto* subscription = std::get_if<SubscribeFrame>(&decoded)) {
    const Instant now = monotonicNow();
    for (const StorePresence& presence : subscription->store) directory_.hear(now, presence);
    feed_->subscribe(now, *subscription, from);
  }
}

void ControlProgram::take(const DirectoryFrame& frame) {
  const Instant now = monotonicNow();
  directory_.hearOf(now, frame.stores);
  engines_.hearOf(now, frame.engines);
  releases_.note(frame.from, frame.release);
  if (frame.release < kEngineBuildRelease) old_release_seen_at_ = now;
  if (controls_.insert(frame.from).second) updateContacts();
}

std::vector<ReplicaId> ControlProgram::knownControls() const {
  return std::vector<ReplicaId>(controls_.begin(), controls_.end());
}

ReleaseNumber ControlProgram::leastControlRelease() const {
  std::vector<ReplicaId> others = knownControls();
  std::erase(others, settings_.self());
  return std::min(kThisRelease, releases_.lowestOf(others));
}

/// Replicas of an older release drop the builds from their state, so that all builds are committed anew after the last
/// one was replaced.
void ControlProgram::noteOldReleases(Instant now) {
  const bool has_old_peers = old_release_seen_at_ != Instant::min() && now < old_release_seen_at_ + kOldReleaseSilence;
  if (has_old_peers == has_old_peers_) return;
  has_old_peers_ = has_old_peers;
  if (!has_old_peers) engines_.confirmBuilds();
  logEvent(LogLevel::kInfo, "engine_builds_kept", {{"kept", !has_old_peers}});
}

void ControlProgram::updateContacts() {
  const std::vector<ReplicaId> known = knownControls();
  group_->setContacts(known, known.size());
  feed_->setControls(known);
  rememberControls();
}

void ControlProgram::rememberControls() {
  remember(kControlsFile, encodeStruct(knownControls()));
}

void ControlProgram::rememberStores(Instant now) {
  if (now < started_at_ + kStoresKnownAfter) return;
  const std::vector<StoreAddress> known = directory_.addresses();
  if (known.empty() || known == remembered_stores_) return;
  remembered_stores_ = known;
  remember(kStoresFile, encodeStruct(known));
}

void ControlProgram::remember(std::string_view file, const std::string& bytes) const {
  PosixDisk disk(settings_.data_folder, [](const std::function<void()>&) {});
  const Status written = disk.replace(std::string(file), bytes);
  if (isOk(written)) return;
  logEvent(LogLevel::kWarning, "addresses_not_remembered", {{"file", file}, {"error", describe(errorOf(written))}});
}

template <class Addresses>
Addresses ControlProgram::recall(std::string_view file) const {
  PosixDisk disk(settings_.data_folder, [](const std::function<void()>&) {});
  const Result<std::string> bytes = disk.read(std::string(file));
  if (!isOk(bytes)) return {};
  Result<Addresses> addresses = decodeStruct<Addresses>(valueOf(bytes));
  return isOk(addresses) ? valueOf(std::move(addresses)) : Addresses();
}

void ControlProgram::shareDirectory(Instant now) {
  std::set<ReplicaId> peers = controls_;
  for (const consensus::Member& member : group_->status().membership.members) peers.insert(member.id);
  if (peers.size() > controls_.size()) {
    controls_ = peers;
    updateContacts();
  }
  const DirectoryFrame frame{settings_.self(), directory_.heardDirectly(now), engines_.takeHeard()};
  for (const ReplicaId& peer : peers) {
    if (peer != settings_.self()) links_.send(peer, frame);
  }
}

/// The control group decides once which stores form the store group, so that no two groups can ever form.
void ControlProgram::formStoreGroup(Instant now) {
  if (forming_stores_ || !state_->storeGroup().members.empty() || !group_->isConfirmedLeader()) return;
  const std::size_t wanted = std::max<std::size_t>(kFewestVoters, 2 * settings_.tolerated_losses + 1);
  const std::size_t known = directory_.stores().size();
  const bool settled = now > directory_.newestAt() + kStoresSettledAfter;
  const bool enough = known >= wanted || (known > 0 && now > started_at_ + kFormAnywayAfter);
  if (!settled || !enough) return;
  const consensus::Membership members = chooseStoreGroup(directory_.stores(), wanted);
  forming_stores_ = true;
  group_->propose(encodeTagged(FleetCommand(FormStoreGroup{members})), fromMillis(2000),
                  [this, count = members.members.size()](const ProposalOutcome& outcome) {
                    forming_stores_ = false;
                    logEvent(LogLevel::kInfo, "store_group_formed",
                             {{"stores", count}, {"committed", outcome.result == ProposalResult::kApplied}});
                  });
}

void ControlProgram::noteStoreMembers() {
  const std::vector<ReplicaId> members = directory_.groupMembers();
  if (noting_members_ || members.empty() || members == state_->storeMembers()) return;
  if (!group_->isConfirmedLeader()) return;
  noting_members_ = true;
  const std::uint64_t term = directory_.groupTerm();
  group_->propose(
      encodeTagged(FleetCommand(NoteStoreMembers{term, members})), fromMillis(2000),
      [this, term, count = members.size()](const ProposalOutcome& outcome) {
        noting_members_ = false;
        logEvent(LogLevel::kInfo, "store_members_noted", {{"stores", count}, {"term", term}, {"reply", outcome.reply}});
      });
}

/// Looked at many times a second: a leadership that was lost for a moment, as in a suspension, counts anew.
void ControlProgram::noteLeading(Instant now) {
  const bool leading = group_->isConfirmedLeader();
  if (leading && !was_leading_) leading_since_ = now;
  was_leading_ = leading;
}

void ControlProgram::forgetSilentEngines(Instant now) {
  if (!was_leading_) return;
  const std::vector<EngineId> silent = engines_.silent(now, leading_since_, *state_);
  if (silent.empty()) return;
  for (const EngineId& engine : silent) {
    logEvent(LogLevel::kInfo, "engine_forgotten", {{"engine", engine.value}, {"cause", "silent"}});
  }
  group_->propose(encodeTagged(FleetCommand(ForgetEngines{silent})), fromMillis(2000), [](const ProposalOutcome&) {});
}

Awaitable<void> ControlProgram::maintenanceLoop() {
  while (true) {
    co_await connection::sleepFor(kMaintenanceInterval);
    const Instant now = monotonicNow();
    directory_.expire(now);
    links_.dropUnused(now);
    shareDirectory(now);
    formStoreGroup(now);
    noteStoreMembers();
    rememberStores(now);
    noteLeading(now);
    noteOldReleases(now);
    if (now < next_silence_check_) continue;
    next_silence_check_ = now + settings_.engine_beat;
    engines_.expire(now);
    forgetSilentEngines(now);
  }
}

void ControlProgram::pushSoon() {
  if (std::exchange(push_armed_, true)) return;
  const Instant now = monotonicNow();
  push_timer_.expires_after(std::max(Duration::zero(), pushed_at_ + kPushInterval - now));
  push_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    push_armed_ = false;
    pushed_at_ = monotonicNow();
    if (feed_) feed_->push(pushed_at_);
  });
}

void ControlProgram::proveFreshness() {
  const Instant asked_at = monotonicNow();
  proving_ = true;
  group_->read([this, asked_at](bool fresh) {
    proving_ = false;
    if (!fresh) return;
    has_proved_ = true;
    feed_->proveFresh(monotonicNow(), asked_at);
  });
}

void ControlProgram::proveWhenLed() {
  // The first proof of a process is there before its first subscriber.
  const bool wanted = (feed_->subscribers() > 0 || !has_proved_) && !feed_->isFresh(monotonicNow());
  if (wanted && !proving_ && group_->leader()) proveFreshness();
}

void ControlProgram::fillMetrics(metrics::MetricsPage& page) const {
  fillGroupMetrics(page, group_->status());
  page.gauge("hatchfork_document_version", "Version of the document held here.",
             static_cast<double>(state_->documentVersion()));
  page.gauge("hatchfork_engines_known", "Engines that are registered.", static_cast<double>(state_->engines().size()));
  page.gauge("hatchfork_engines_revision", "Rises whenever the engines change.",
             static_cast<double>(state_->enginesRevision()));
  page.counter("hatchfork_engine_entries_refused_total", "Entries and beats that could not be read as an engine's.",
               static_cast<double>(operators_->entriesRefused()));
  for (const ZoneId& zone : state_->evacuated().zones) {
    page.gauge("hatchfork_zone_evacuated", "One for each zone whose engines are to get no work.", 1,
               {{"zone", zone.value}});
  }
  page.gauge("hatchfork_feed_subscribers", "Gateways and stores that are told by this process.",
             static_cast<double>(feed_->subscribers()));
  page.gauge("hatchfork_feed_fresh", "One while the state here is proved the newest.",
             feed_->isFresh(monotonicNow()) ? 1 : 0);
  fillReleaseMetrics(page, leastControlRelease(), frames_.passedOver());
  page.gauge("hatchfork_stores_known", "Stores heard of lately.", static_cast<double>(directory_.stores().size()));
}

Awaitable<void> ControlProgram::freshnessLoop() {
  while (true) {
    if (feed_->subscribers() > 0) proveFreshness();
    co_await connection::sleepFor(kFreshnessInterval);
    suspensions_.look();
  }
}

Awaitable<void> ControlProgram::stopOnSignal() {
  co_await connection::awaitStopSignal();
  logEvent(LogLevel::kInfo, "planned_stop_started");
  http_server_->startDraining();
  group_->transferLeadership();
  const Instant give_up = monotonicNow() + kLeadershipHandOverTime;
  while (group_->isConfirmedLeader() && monotonicNow() < give_up) co_await connection::sleepFor(fromMillis(20));
  http_server_->stopAccepting();
  while (http_server_->openConnections() > 0 && monotonicNow() < give_up) {
    co_await connection::sleepFor(fromMillis(20));
  }
  context_.stop();
}

Awaitable<void> ControlProgram::reloadOnSignal() {
  while (true) {
    co_await connection::awaitReloadSignal();
    Result<FleetSettings> settings = readFleetSettings(settings_file_, ProcessRole::kControl);
    if (!isOk(settings)) {
      logEvent(LogLevel::kError, "reload_refused", {{"error", describe(errorOf(settings))}});
      continue;
    }
    controls_.insert(valueOf(settings).seeds.begin(), valueOf(settings).seeds.end());
    updateContacts();
    logEvent(LogLevel::kInfo, "settings_reloaded",
             {{"file", settings_file_}, {"seeds", valueOf(settings).seeds.size()}});
  }
}

}  // namespace hatchfork::fleet
