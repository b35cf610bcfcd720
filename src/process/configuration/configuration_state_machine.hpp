#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "process/consensus/state_machine.hpp"
#include "process/control/control_messages.hpp"
#include "version/configuration.hpp"
#include "version/configuration_transfer.hpp"

namespace hatchfork {

/// Maximum number of accepted changes retained for deltas and for the change history.
constexpr std::size_t kHistoryEntries = 2000;
/// Maximum encoded size of the retained changes in bytes. The oldest are evicted first; the newest is always retained.
constexpr std::size_t kHistoryBytes = 16u << 20;
/// Maximum encoded size of the edits in one delta, in bytes. A larger single change is sent whole.
constexpr std::size_t kLargestDeltaBytes = 256u << 10;
/// Maximum number of answers retained to deduplicate resent changes: two weeks at 1,400 changes a day.
constexpr std::size_t kRememberedAnswers = 20'000;
/// Maximum number of administrative actions retained for the audit.
constexpr std::size_t kKeptActions = 2000;

/// An accepted change and the revision that it created.
struct HistoryEntry {
  Revision revision = 0;
  ConfigurationChange change;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HistoryEntry, revision, change)

/// The configuration as a replicated state machine. Commands: `ApplyChangeRequest` and `RecordActionRequest`; replies:
/// `ApplyChangeReply` or `ErrorReply`. The rights of the change's tenant are checked against the
/// configuration that the change applies to. A change is accepted only if its base revision is the current revision. A
/// resent change (same identifier and content) receives its first answer, accepted or rejected, for as long as the
/// answer is retained; the same identifier with other content fails with `kInvalidArgument`. Policy sources are not
/// compiled here: the proposer checks them. Threading: control thread only.
class ConfigurationStateMachine : public consensus::StateMachine {
 public:
  std::string apply(consensus::LogIndex index, std::string_view command) override;
  std::string snapshot() const override;
  Status restore(std::string_view bytes) override;

  const Configuration& configuration() const { return configuration_; }
  /// True if the retained changes reach back to `from`, so that a watcher at `from` can be updated by deltas.
  bool covers(Revision from) const;
  /// Returns the next edits for a watcher at `from`: whole changes up to `kLargestDeltaBytes`, and at least one. Empty
  /// if `from` is current or not covered.
  ConfigurationDelta deltaSince(Revision from) const;
  /// Returns at most `most` accepted changes by ascending revision, starting at `from` or at the oldest one retained.
  std::vector<HistoryEntry> history(Revision from, std::size_t most) const;
  /// Returns the configuration as of `revision`, or `kNotFound` if the revision does not exist yet or is older than the
  /// retained history.
  Result<Configuration> configurationAt(Revision revision) const;
  /// Recorded administrative actions, oldest first.
  const std::deque<AdminAction>& actions() const { return actions_; }

 private:
  /// The first answer to a change: the revision created, or the error.
  using Answer = std::variant<Revision, Error>;

  struct RecordedAnswer {
    std::string digest;
    Answer answer;
  };

  struct RetainedChange {
    HistoryEntry entry;
    /// Edits that revert the change; used by `configurationAt`.
    std::vector<ConfigurationEdit> undo;
    std::size_t bytes = 0;
  };

  control::ControlReply applyChange(const ConfigurationChange& change);
  Answer decide(const ConfigurationChange& change);
  void retain(RetainedChange retained);
  void recordAction(const AdminAction& action);
  void recordAnswer(const ChangeId& id, RecordedAnswer answer);
  static control::ControlReply replyOf(const Answer& answer);

  Configuration configuration_;
  std::deque<RetainedChange> history_;
  std::size_t history_bytes_ = 0;
  std::map<ChangeId, RecordedAnswer> answers_;
  /// Identifiers in `answers_`, oldest first.
  std::deque<ChangeId> answer_order_;
  std::deque<AdminAction> actions_;
};

}  // namespace hatchfork
