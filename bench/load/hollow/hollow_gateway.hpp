#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "process/control/configuration_watch.hpp"
#include "process/subscription/control_client.hpp"

namespace hatchfork::load {

struct HollowGatewayOptions {
  GatewayId name;
  ZoneId zone;
  std::vector<connection::ControlEndpoint> replicas;
  std::uint32_t batch_groups = 2;
  Duration renew_interval = fromMillis(500);
  /// How often each batch group is asked for items while there are none.
  Duration lease_poll_interval = fromMillis(500);
  std::vector<ServiceId> services;
};

/// The control side of a gateway without its traffic: real links, configuration lease and lease requests, no callers
/// and no engines. Many share one process and thread. Keep in a shared_ptr; `stop` before letting go.
class HollowGateway : public std::enable_shared_from_this<HollowGateway> {
 public:
  using RevisionHandler = std::function<void(Revision enforced)>;

  HollowGateway(connection::asio::io_context& context, HollowGatewayOptions options, RevisionHandler on_revision);

  void start();
  void stop();

  Revision enforced() const { return watch_.configuration() ? watch_.configuration()->revision : 0; }
  bool isFresh(Instant now) const { return watch_.isFresh(now); }
  std::uint64_t controlBytes() const { return client_.totalBytes(); }
  /// Longest time for which the lease had run out, seen by `sample` since `resetLapse`.
  Duration longestLapse() const { return longest_lapse_; }
  void sample(Instant now);
  void resetLapse() { longest_lapse_ = Duration::zero(); }

 private:
  connection::Awaitable<void> renewLoop();
  connection::Awaitable<void> leaseLoop(GroupId group);

  connection::asio::io_context& context_;
  HollowGatewayOptions options_;
  RevisionHandler on_revision_;
  std::uint64_t session_;
  connection::ControlClient client_;
  ConfigurationWatch watch_;
  Duration longest_lapse_{};
  bool stopped_ = false;
};

}  // namespace hatchfork::load
