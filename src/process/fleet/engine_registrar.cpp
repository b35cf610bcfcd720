#include "process/fleet/engine_registrar.hpp"

#include <utility>

namespace hatchfork::fleet {
namespace {

/// Registrations that are closer together than this are one entry of the log; far below the second in which an engine
/// wants its answer.
constexpr Duration kCollectFor = fromMillis(20);
/// Engines of one entry.
constexpr std::size_t kMostTogether = 256;

}  // namespace

void EngineRegistrar::add(EngineRecord engine, OutcomeHandler done) {
  batch_.engines.push_back(std::move(engine));
  waiting_.push_back(std::move(done));
  if (batch_.engines.size() >= kMostTogether) {
    commit();
    return;
  }
  if (std::exchange(armed_, true)) return;
  timer_.expires_after(kCollectFor);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    armed_ = false;
    commit();
  });
}

void EngineRegistrar::commit() {
  if (batch_.engines.empty()) return;
  const RegisterEngines batch = std::exchange(batch_, {});
  auto handlers = std::exchange(waiting_, {});
  propose_(encodeTagged(FleetCommand(batch)), [handlers = std::move(handlers)](const ProposalOutcome& outcome) {
    for (const OutcomeHandler& handler : handlers) handler(outcome);
  });
}

}  // namespace hatchfork::fleet
