#include "common/log.hpp"
#include "process/memory/process_memory.hpp"
#include "process/store/store_program.hpp"

// Memory of this store: what its consumers hold, and what is refused for lack of it.
namespace hatchfork::store {

namespace {

/// Share of the limit from which on the use of memory is logged.
constexpr double kNearLimitShare = 0.7;
constexpr Duration kNearLimitLogInterval = fromMillis(500);
constexpr std::size_t kMegabyte = std::size_t{1} << 20;

}  // namespace

std::string_view StoreProgram::memoryRefusalCause(std::size_t bytes) const {
  using memory::MemoryConsumer;
  // Accepted jobs must still fit once they have their results.
  if (state_->expectedBytes() + bytes > memory_.quota(MemoryConsumer::kState)) return "full";
  // A job larger than the limit is accepted if no other submission is in progress.
  const bool is_alone = submission_bytes_ == 0;
  if (!is_alone && submission_bytes_ + bytes > memory_.quota(MemoryConsumer::kRequests)) return "too much under way";
  return {};
}

void StoreProgram::measureMemory() {
  using memory::MemoryConsumer;
  memory_.note(MemoryConsumer::kState, state_->memoryBytes());
  memory_.note(MemoryConsumer::kSnapshot, state_->snapshotBytesHeld());
  memory_.note(MemoryConsumer::kLog, group_->logBytesInMemory());
  memory_.note(MemoryConsumer::kRequests, submission_bytes_);
  memory_.note(MemoryConsumer::kOutboxes, connection::FrameConnection::outboxBytesOfProcess());
}

/// Logs the memory of the process beside that of each consumer, so that the log of a process that is ended for its
/// memory names the cause.
void StoreProgram::watchMemory(Instant now) {
  const std::size_t limit = settings_.memory_mb * kMegabyte;
  if (now < next_memory_log_ || memory::residentBytes() < kNearLimitShare * static_cast<double>(limit)) return;
  next_memory_log_ = now + kNearLimitLogInterval;
  measureMemory();
  using memory::MemoryConsumer;
  const memory::ProcessMemory process = memory::processMemory();
  logEvent(LogLevel::kWarning, "memory_near_limit",
           {{"limit", limit},
            {"resident", process.resident},
            {"allocated", process.allocated},
            {"free", process.free},
            {"state", memory_.held(MemoryConsumer::kState)},
            {"snapshot", memory_.held(MemoryConsumer::kSnapshot)},
            {"log", memory_.held(MemoryConsumer::kLog)},
            {"requests", memory_.held(MemoryConsumer::kRequests)},
            {"outboxes", memory_.held(MemoryConsumer::kOutboxes)},
            {"incoming", connection::FrameConnection::incomingBytesOfProcess()},
            {"proposals", group_->proposalsInFlight()},
            {"pending_reads", pending_reads_.size()},
            {"runs", runner_->running()},
            {"leading", executor_->isLeading()}});
}

void StoreProgram::fillMemoryMetrics(metrics::MetricsPage& page) const {
  using memory::MemoryConsumer;
  page.gauge("hatchfork_jobs_held", "Jobs that are kept.", static_cast<double>(state_->jobs().size()));
  page.gauge("hatchfork_held_bytes", "Bytes of bodies and texts in memory.", static_cast<double>(state_->heldBytes()));
  for (const MemoryConsumer consumer : {MemoryConsumer::kState, MemoryConsumer::kSnapshot, MemoryConsumer::kLog,
                                        MemoryConsumer::kRequests, MemoryConsumer::kOutboxes}) {
    const std::vector<metrics::Label> labels = {{"holder", std::string(memory::nameOf(consumer))}};
    page.gauge("hatchfork_memory_held_bytes", "Bytes that a holder has, as last counted.",
               static_cast<double>(memory_.held(consumer)), labels);
    page.gauge("hatchfork_memory_part_bytes", "Bytes that a holder may have.",
               static_cast<double>(memory_.quota(consumer)), labels);
  }
}

}  // namespace hatchfork::store
