#pragma once

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "connection/asio.hpp"
#include "connection/frame_server.hpp"
#include "connection/http_server.hpp"
#include "connection/suspension_watch.hpp"
#include "process/fleet/engine_watch.hpp"
#include "process/fleet/feed_server.hpp"
#include "process/fleet/fleet_settings.hpp"
#include "process/fleet/fleet_state.hpp"
#include "process/fleet/frame_reader.hpp"
#include "process/fleet/group_host.hpp"
#include "process/fleet/metrics_server.hpp"
#include "process/fleet/operator_api.hpp"
#include "process/fleet/peer_links.hpp"
#include "process/fleet/store_directory.hpp"
#include "version/dialect.hpp"
#include "version/release.hpp"

namespace hatchfork::fleet {

/// The control program of a fleet that forms itself: one replica of the control group, the calls of operators and
/// engines, and the feed for gateways and stores. All on one thread; only disk syncs run on another.
class ControlProgram {
 public:
  ControlProgram(FleetSettings settings, std::string settings_file, std::unique_ptr<const Dialect> dialect);
  ~ControlProgram();

  /// Runs until a planned stop has ended. Returns an error when the start failed.
  Status run();

 private:
  using ConnectionPtr = connection::FrameServer::ConnectionPtr;

  Status start();
  void onFrame(const std::string& body, const ConnectionPtr& from);
  void take(const GroupFrame& frame) { group_->receive(frame); }
  void take(const ProposalFrame& frame) { group_->receive(frame); }
  void take(const ProposalReplyFrame& frame) { group_->receive(frame); }
  void take(const DirectoryFrame& frame);
  std::vector<ReplicaId> knownControls() const;
  /// What all control processes can read, this one included.
  ReleaseNumber leastControlRelease() const;
  /// Keeps the addresses of control processes beside the log, since the seeds of the settings may be gone.
  void rememberControls();
  /// Keeps the addresses of stores likewise: after a loss of power gateways find them before the stores have told all
  /// control processes of themselves.
  void rememberStores(Instant now);
  void remember(std::string_view file, const std::string& bytes) const;
  template <class Addresses>
  Addresses recall(std::string_view file) const;
  void updateContacts();
  void shareDirectory(Instant now);
  void formStoreGroup(Instant now);
  /// Keeps the members of the store group in the committed state.
  void noteStoreMembers();
  void noteLeading(Instant now);
  void noteOldReleases(Instant now);
  void forgetSilentEngines(Instant now);
  /// Tells subscribers of changes, many together where they come in quick succession.
  void pushSoon();
  void proveFreshness();
  /// Subscribers wait for the first proof after a start or a change of leader.
  void proveWhenLed();
  void fillMetrics(metrics::MetricsPage& page) const;
  connection::Awaitable<void> maintenanceLoop();
  connection::Awaitable<void> freshnessLoop();
  connection::Awaitable<void> stopOnSignal();
  connection::Awaitable<void> reloadOnSignal();

  FleetSettings settings_;
  std::string settings_file_;
  std::unique_ptr<const Dialect> dialect_;
  connection::asio::io_context context_;
  FleetState* state_ = nullptr;
  StoreDirectory directory_;
  EngineWatch engines_;
  PeerLinks links_;
  FrameReader frames_;
  /// Of the other control processes, as they told.
  PeerReleases releases_;
  std::unique_ptr<GroupHost> group_;
  std::unique_ptr<FeedServer> feed_;
  std::unique_ptr<EngineRegistrar> registrar_;
  std::unique_ptr<OperatorApi> operators_;
  std::unique_ptr<connection::FrameServer> frame_server_;
  std::unique_ptr<connection::HttpServer> http_server_;
  std::unique_ptr<MetricsServer> metrics_;
  std::set<ReplicaId> controls_;
  std::vector<StoreAddress> remembered_stores_;
  connection::Timer push_timer_;
  bool push_armed_ = false;
  Instant pushed_at_{};
  Instant started_at_{};
  Instant leading_since_{};
  Instant next_silence_check_{};
  bool proving_ = false;
  bool has_proved_ = false;
  bool was_leading_ = false;
  /// Time of the last frame of a control process that drops the builds of engines, and whether that was recently.
  Instant old_release_seen_at_ = Instant::min();
  bool has_old_peers_ = false;
  bool forming_stores_ = false;
  bool noting_members_ = false;
  connection::SuspensionWatch suspensions_;
};

}  // namespace hatchfork::fleet
