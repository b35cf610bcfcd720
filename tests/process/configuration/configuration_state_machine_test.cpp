#include "process/configuration/configuration_state_machine.hpp"

#include <catch2/catch.hpp>

#include "tests/process/batch/property.hpp"

namespace hatchfork {
namespace {

using control::ControlReply;

ControlReply applyTo(ConfigurationStateMachine& machine, const ConfigurationChange& change) {
  const std::string command = encodeTagged(control::ControlRequest(control::ApplyChangeRequest{change}));
  return valueOf(decodeTagged<ControlReply>(machine.apply(1, command)));
}

ConfigurationChange putService(const std::string& id, Revision base, const std::string& service) {
  ConfigurationChange change;
  change.change_id = ChangeId(id);
  change.base_revision = base;
  change.author = "operator";
  change.reason = "test";
  Service value;
  value.id = ServiceId(service);
  change.edits.push_back(PutService{value});
  return change;
}

ErrorKind errorKindOf(const ControlReply& reply) {
  return std::get<control::ErrorReply>(reply).error.kind;
}

TEST_CASE("of two changes with the same base revision one is accepted and the other reports the current one",
          "[configuration]") {
  ConfigurationStateMachine machine;
  const ControlReply first = applyTo(machine, putService("a", 0, "timesheet"));
  const ControlReply second = applyTo(machine, putService("b", 0, "records"));
  CHECK(std::get<control::ApplyChangeReply>(first).revision == 1);
  const Error& error = std::get<control::ErrorReply>(second).error;
  CHECK(error.kind == ErrorKind::kConflict);
  CHECK(error.message.find("current revision is 1") != std::string::npos);
  CHECK(machine.configuration().services.size() == 1);
}

TEST_CASE("a resend gets its first answer after later changes and a restore", "[configuration]") {
  ConfigurationStateMachine machine;
  const ConfigurationChange won = putService("a", 0, "timesheet");
  const ConfigurationChange lost = putService("b", 0, "records");
  const std::string first_won = encodeTagged(applyTo(machine, won));
  const std::string first_lost = encodeTagged(applyTo(machine, lost));
  applyTo(machine, putService("c", 1, "third"));
  ConfigurationStateMachine restored;
  REQUIRE(isOk(restored.restore(machine.snapshot())));
  CHECK(restored.snapshot() == machine.snapshot());
  ConfigurationChange resent = won;
  resent.proposed_at = 77;
  CHECK(encodeTagged(applyTo(restored, resent)) == first_won);
  CHECK(encodeTagged(applyTo(restored, lost)) == first_lost);
  CHECK(restored.configuration().revision == 2);

  resent.reason = "another body";
  CHECK(errorKindOf(applyTo(restored, resent)) == ErrorKind::kInvalidArgument);
  CHECK(restored.snapshot() == machine.snapshot());
}

TEST_CASE("a refused change leaves the configuration as it was", "[configuration]") {
  ConfigurationStateMachine machine;
  ConfigurationChange change = putService("a", 0, "timesheet");
  change.edits.push_back(PutEngine{Engine{EngineId("e"), ServiceId("missing"), ZoneId("z"), "127.0.0.1", 80}});
  CHECK(errorKindOf(applyTo(machine, change)) == ErrorKind::kInvalidArgument);
  CHECK(machine.configuration().revision == 0);
  CHECK(machine.configuration().services.empty());
  CHECK(errorKindOf(applyTo(machine, putService("", 0, "timesheet"))) == ErrorKind::kInvalidArgument);
}

TEST_CASE("an edit is validated after the preceding edits of the same change", "[configuration]") {
  ConfigurationStateMachine machine;
  ConfigurationChange change = putService("a", 0, "timesheet");
  change.edits.push_back(PutEngine{Engine{EngineId("e"), ServiceId("timesheet"), ZoneId("z"), "127.0.0.1", 80}});
  REQUIRE(std::holds_alternative<control::ApplyChangeReply>(applyTo(machine, change)));

  ConfigurationChange remove;
  remove.base_revision = 1;
  remove.change_id = ChangeId("b");
  remove.edits = {RemoveService{ServiceId("timesheet")}};
  CHECK(errorKindOf(applyTo(machine, remove)) == ErrorKind::kInvalidArgument);
  remove.change_id = ChangeId("c");
  remove.edits = {RemoveEngine{EngineId("e")}, RemoveService{ServiceId("timesheet")}};
  CHECK(std::holds_alternative<control::ApplyChangeReply>(applyTo(machine, remove)));
  remove.change_id = ChangeId("d");
  remove.base_revision = 2;
  remove.edits = {PutPolicy{Policy{"p", ""}}, RemovePolicy{"p"}, PutService{Service{ServiceId("s"), {}, {}, 1, "p"}}};
  CHECK(errorKindOf(applyTo(machine, remove)) == ErrorKind::kInvalidArgument);
}

TEST_CASE("the retained history and the size of a delta are bounded", "[configuration]") {
  ConfigurationStateMachine machine;
  const Revision changes = kHistoryEntries + 5;
  for (Revision base = 0; base < changes; ++base) {
    applyTo(machine, putService("change-" + std::to_string(base), base, "service-" + std::to_string(base % 7)));
  }
  REQUIRE(machine.configuration().revision == changes);
  CHECK(machine.covers(changes));
  CHECK(machine.deltaSince(changes).edits.empty());
  CHECK(machine.deltaSince(changes - 3).edits.size() == 3);
  CHECK(machine.deltaSince(changes - 3).to_revision == changes);
  CHECK(machine.covers(5));
  CHECK_FALSE(machine.covers(4));
  CHECK_FALSE(machine.covers(changes + 1));

  // A watcher far behind catches up in several deltas of bounded size.
  Revision reached = 5;
  std::size_t edits = 0;
  while (reached < changes) {
    const ConfigurationDelta delta = machine.deltaSince(reached);
    REQUIRE(delta.to_revision > reached);
    CHECK(delta.current_revision == changes);
    CHECK(encodeStruct(delta).size() < 2 * kLargestDeltaBytes);
    edits += delta.edits.size();
    reached = delta.to_revision;
  }
  CHECK(edits == kHistoryEntries);

  CHECK(machine.history(0, 10).front().revision == 6);
  CHECK(machine.history(changes - 1, 10).size() == 2);
  CHECK(machine.history(changes + 1, 10).empty());
}

TEST_CASE("a damaged snapshot is refused and changes nothing", "[configuration]") {
  ConfigurationStateMachine machine;
  applyTo(machine, putService("a", 0, "timesheet"));
  const std::string before = machine.snapshot();
  CHECK_FALSE(isOk(machine.restore(before.substr(0, before.size() - 3))));
  CHECK_FALSE(isOk(machine.restore(encodeCbor({{"configuration", 3}}))));
  CHECK(machine.snapshot() == before);
}

TEST_CASE("resent, racing and restored changes: one accepted change per revision, first answers repeated",
          "[configuration][property]") {
  CHECK(testing::holds([] {
    ConfigurationStateMachine machine;
    std::map<std::string, std::string> first_answers;
    std::map<Revision, std::string> winners;
    for (int step = 0; step < 60; ++step) {
      const auto number = *rc::gen::inRange<int>(0, 25);
      const std::string id = "change-" + std::to_string(number);
      const ConfigurationChange change = putService(id, number / 3, "service-" + std::to_string(number));
      const ControlReply reply = applyTo(machine, change);
      const std::string bytes = encodeTagged(reply);
      RC_ASSERT(first_answers.try_emplace(id, bytes).first->second == bytes);
      if (const auto* won = std::get_if<control::ApplyChangeReply>(&reply)) {
        RC_ASSERT(winners.try_emplace(won->revision, id).first->second == id);
      }
      if (*rc::gen::inRange<int>(0, 10) > 0) continue;
      ConfigurationStateMachine restored;
      RC_ASSERT(isOk(restored.restore(machine.snapshot())));
      RC_ASSERT(restored.snapshot() == machine.snapshot());
      machine = std::move(restored);
    }
    RC_ASSERT(winners.size() == machine.configuration().revision);
  }));
}

TEST_CASE("past revisions within the retained history can be read, also after a restore", "[configuration]") {
  ConfigurationStateMachine machine;
  applyTo(machine, putService("a", 0, "first"));
  applyTo(machine, putService("b", 1, "second"));
  ConfigurationChange removal = putService("c", 2, "first");
  removal.edits = {RemoveService{ServiceId("first")}};
  applyTo(machine, removal);
  ConfigurationStateMachine restored;
  REQUIRE(isOk(restored.restore(machine.snapshot())));
  for (const ConfigurationStateMachine* reader : {&machine, &restored}) {
    CHECK(valueOf(reader->configurationAt(0)).services.empty());
    CHECK(valueOf(reader->configurationAt(1)).services.size() == 1);
    CHECK(valueOf(reader->configurationAt(2)).services.contains(ServiceId("first")));
    CHECK(valueOf(reader->configurationAt(2)).revision == 2);
    CHECK_FALSE(valueOf(reader->configurationAt(3)).services.contains(ServiceId("first")));
    CHECK(errorOf(reader->configurationAt(4)).kind == ErrorKind::kNotFound);
  }
}

TEST_CASE("rights are checked against the configuration that a change applies to", "[configuration]") {
  ConfigurationStateMachine machine;
  ConfigurationChange first = putService("a", 0, "timesheet");
  const std::string hash(64, 'a');
  first.edits.push_back(PutTenant{Tenant{TenantId("root"), TenantRole::kAdmin, {hash}, {}}});
  applyTo(machine, first);
  CHECK(errorKindOf(applyTo(machine, putService("b", 1, "records"))) == ErrorKind::kPermissionDenied);
  ConfigurationChange by_admin = putService("c", 1, "records");
  by_admin.tenant = TenantId("root");
  CHECK(std::get<control::ApplyChangeReply>(applyTo(machine, by_admin)).revision == 2);
  // The first change restricted administration to the new tenant; resent with the new key, it is still recognised.
  first.tenant = TenantId("root");
  CHECK(std::get<control::ApplyChangeReply>(applyTo(machine, first)).revision == 1);
}

TEST_CASE("administrative actions are recorded once each and survive a restore", "[configuration]") {
  ConfigurationStateMachine machine;
  const auto record = [&machine](const std::string& id) {
    const AdminAction action{ChangeId(id), 5, TenantId("ops"), "aida", "lost disk", "replace control-3"};
    machine.apply(1, encodeTagged(control::ControlRequest(control::RecordActionRequest{action})));
  };
  record("a");
  record("a");
  record("b");
  ConfigurationStateMachine restored;
  REQUIRE(isOk(restored.restore(machine.snapshot())));
  REQUIRE(restored.actions().size() == 2);
  CHECK(restored.actions().front().description == "replace control-3");
  CHECK(restored.configuration().revision == 0);
}

}  // namespace
}  // namespace hatchfork
