#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "connection/asio.hpp"
#include "process/fleet/fleet_state.hpp"
#include "process/fleet/group_host.hpp"

namespace hatchfork::fleet {

/// Commits what engines tell of themselves, those of a moment together: while a fleet starts there are hundreds a
/// second, and an entry of the log for each costs every replica more than the engine in it. Belongs to one thread.
class EngineRegistrar {
 public:
  using OutcomeHandler = std::function<void(ProposalOutcome)>;
  using ProposeFunction = std::function<void(std::string command, OutcomeHandler done)>;

  EngineRegistrar(connection::asio::io_context& context, ProposeFunction propose)
      : timer_(context), propose_(std::move(propose)) {}

  /// `done` is called once, when the registration is committed or its outcome is as clear as it will be.
  void add(EngineRecord engine, OutcomeHandler done);

 private:
  void commit();

  connection::Timer timer_;
  ProposeFunction propose_;
  bool armed_ = false;
  RegisterEngines batch_;
  std::vector<OutcomeHandler> waiting_;
};

}  // namespace hatchfork::fleet
