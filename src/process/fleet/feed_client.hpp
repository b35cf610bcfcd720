#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "connection/asio.hpp"
#include "connection/frame_connection.hpp"
#include "process/fleet/fleet_messages.hpp"
#include "process/fleet/frame_reader.hpp"
#include "version/dialect.hpp"
#include "version/route_table.hpp"

namespace hatchfork::fleet {

/// The fleet's state as a subscriber holds it, but for the engines: of these only what changed is told, since a list of
/// all of them costs each process a walk for each change. A later view never holds an older document or older evacuated
/// zones.
struct FleetView {
  std::shared_ptr<const RouteTable> routes;
  std::uint64_t engines_revision = 0;
  std::vector<StoreAddress> stores;
  std::vector<ReplicaId> retiring;
  consensus::Membership store_group;
  /// Stores that hold the jobs now; none before they are known.
  std::vector<ReplicaId> store_members;
  EvacuatedZones evacuated;
  /// Services whose engines run several builds, or have done so within the lifetime of a stream.
  std::set<ServiceId> mixed_services;
};

/// How a view differs from the one before.
struct FleetChange {
  bool routes = false;
  /// Stores, their group or evacuated zones.
  bool directory = false;
  EngineChanges engines;

  bool isEmpty() const { return !routes && !directory && engines.isEmpty(); }
};

/// What all of them can read, this process included.
ReleaseNumber leastReleaseOf(const std::vector<StoreAddress>& stores);
/// Their releases, as far as the control process knows.
PeerReleases releasesOf(const std::vector<StoreAddress>& stores);
/// The addresses alone.
std::vector<ReplicaId> addressesOf(const std::vector<StoreAddress>& stores);

struct FeedClientOptions {
  std::string node;
  std::uint16_t control_port = 0;
  std::vector<ReplicaId> seeds;
};

/// Keeps a subscription to the feed of one control process and turns to another one when that falls silent, since
/// silence means that it can't prove its freshness. Belongs to one thread.
class FeedClient {
 public:
  /// Called for each proof of freshness, also where nothing has changed.
  using ViewHandler = std::function<void(const FleetView& view, const FleetChange& change)>;
  /// What a store tells of itself; empty for gateways.
  using PresenceSource = std::function<std::vector<StorePresence>()>;

  FeedClient(connection::asio::io_context& context, FeedClientOptions options, const Dialect& dialect,
             ViewHandler on_view, PresenceSource presence);

  void start();
  void addSeeds(const std::vector<ReplicaId>& seeds);
  const FleetView& view() const { return view_; }
  /// Frames of a kind that this release does not know.
  std::uint64_t framesPassedOver() const { return frames_.passedOver(); }
  /// When the newest proof of freshness arrived; the least instant before the first one.
  Instant provedAt() const { return proved_at_; }
  /// True if every build that another process may already use for streams is in the view; see
  /// `SelectorLimits::build_settle_time`.
  bool hasCurrentBuilds(Instant now) const;

 private:
  connection::Awaitable<void> run();
  connection::Awaitable<void> subscribeAt(ReplicaId control);
  connection::Awaitable<std::shared_ptr<connection::FrameConnection>> connect(const ReplicaId& control);
  void onFrame(const std::string& body);
  void take(UpdateFrame& frame);
  /// False if the document can't be read.
  bool takeDocument(std::uint64_t version, const std::string& document);
  /// False if the engines can't be read; then the view stays as it is.
  bool readEngines(const UpdateFrame& frame, EngineChanges& engines) const;
  void takeDirectory(DirectoryUpdate update);
  void takeEvacuated(EvacuatedZones evacuated);
  void takeMixedServices(const std::vector<ServiceId>& services);
  std::string subscription() const;
  std::vector<ReplicaId> order();

  connection::asio::io_context& context_;
  FeedClientOptions options_;
  const Dialect& dialect_;
  ViewHandler on_view_;
  PresenceSource presence_;
  FleetView view_;
  FrameReader frames_;
  std::set<ReplicaId> controls_;
  Instant proved_at_ = Instant::min();
  /// How long a try to connect may take, and the next pause of the search; short until no process was found for a
  /// while.
  Duration connect_patience_;
  Duration round_pause_;
  /// Where the search for a control process goes on.
  std::size_t turn_ = 0;
};

}  // namespace hatchfork::fleet
