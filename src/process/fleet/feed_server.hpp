#pragma once

#include <functional>
#include <map>

#include "connection/frame_server.hpp"
#include "process/fleet/build_history.hpp"
#include "process/fleet/fleet_messages.hpp"
#include "process/fleet/fleet_state.hpp"
#include "process/fleet/store_directory.hpp"

namespace hatchfork::fleet {

/// Tells gateways and stores of the fleet's state: everything they lack when they subscribe, changes afterwards, and a
/// proof of freshness several times a second. Subscribers that lack the same share one encoded update, so that a change
/// costs its own size once, and a send for each subscriber. Sends nothing while this replica can't prove that it holds
/// the newest state, so that subscribers notice and turn to another one. Belongs to one thread.
class FeedServer {
 public:
  using ConnectionPtr = connection::FrameServer::ConnectionPtr;

  FeedServer(const FleetState& state, const StoreDirectory& stores) : state_(&state), stores_(stores) {}
  /// The replica was opened anew, with another state object.
  void setState(const FleetState& state) {
    state_ = &state;
    encoded_.clear();
    whole_list_.clear();
    for (auto& [connection, held] : subscribers_) held.late_builds = 0;
  }

  void subscribe(Instant now, const SubscribeFrame& frame, const ConnectionPtr& from);
  void unsubscribe(const ConnectionPtr& connection);
  /// A read index at `asked_at` has been answered: the state here is at least as new as that.
  void proveFresh(Instant now, Instant asked_at);
  /// The state has changed; subscribers are told if freshness is proved.
  void push(Instant now);
  bool isFresh(Instant now) const { return now < fresh_until_; }
  void setControls(std::vector<ReplicaId> controls) { controls_ = std::move(controls); }
  std::size_t subscribers() const { return subscribers_.size(); }

 private:
  /// What one subscriber holds or has been sent.
  struct Held {
    std::uint64_t document_version = 0;
    std::uint64_t engines_revision = 0;
    /// Zero: no directory yet.
    std::uint64_t directory_revision = 0;
    /// Of this process: see `FleetState::lateBuilds`.
    std::uint64_t late_builds = 0;
    auto operator<=>(const Held&) const = default;
  };
  /// Encodes what a subscriber that holds this lacks, or takes what was encoded for another one.
  const std::string& encodedUpdate(Held held);
  void update(const ConnectionPtr& connection, Held& held);
  /// What this process holds now.
  Held newest() const {
    return Held{state_->documentVersion(), state_->enginesRevision(), directory_revision_, state_->lateBuilds()};
  }
  UpdateFrame updateFor(const Held& held);
  /// The engines that a subscriber that holds this lacks.
  std::vector<std::string> encodedEngines(const Held& held);
  EngineChanges changesOf(const std::set<EngineId>& engines) const;
  /// Encodes the list of all engines anew where too much has changed since it was.
  void refreshWholeList();
  /// Notes whether the directory has changed.
  void refreshDirectory(Instant now);

  const FleetState* state_;
  const StoreDirectory& stores_;
  std::vector<ReplicaId> controls_;
  std::map<ConnectionPtr, Held> subscribers_;
  BuildHistory builds_;
  DirectoryUpdate directory_;
  std::uint64_t directory_revision_ = 1;
  /// Encoded updates to `encoded_to_`, by what their receivers hold.
  std::map<Held, std::string> encoded_;
  Held encoded_to_;
  /// The list of all engines at a revision, for subscribers that lack more than is remembered: after a loss of
  /// power all of them come at once, and encoding it for each would hold the thread up.
  std::string whole_list_;
  std::uint64_t whole_list_revision_ = 0;
  Instant fresh_until_{};
};

}  // namespace hatchfork::fleet
