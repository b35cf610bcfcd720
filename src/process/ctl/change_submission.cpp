#include "process/ctl/change_submission.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <random>

#include "common/codec.hpp"

namespace hatchfork::ctl {
namespace {

/// A proposal takes up to 3 s to be given up; the wait for leases comes on top.
constexpr Duration kChangeTimeout = fromMillis(5000);
constexpr Duration kWaitTimeout = fromMillis(9000);

}  // namespace

void addChangeOptions(cxxopts::Options& options) {
  options.add_options()("change-id", "identifier of the change; send the same one again after a lost answer",
                        cxxopts::value<std::string>())("author", "who makes the change; default: the user's name",
                                                       cxxopts::value<std::string>())(
      "reason", "why the change is made", cxxopts::value<std::string>())(
      "wait", "return only once the change is in force on every gateway");
}

ChangeId drawChangeId() {
  std::random_device device;
  return ChangeId(fmt::format("ctl-{:08x}{:08x}{:08x}{:08x}", device(), device(), device(), device()));
}

std::string authorOf(const CommandContext& context) {
  if (context.has("author")) return context.text("author");
  const char* user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

void completeChange(const CommandContext& context, ConfigurationChange& change) {
  if (context.has("change-id")) change.change_id = ChangeId(context.text("change-id"));
  if (context.has("reason")) change.reason = context.text("reason");
  if (context.has("author") || change.author.empty()) change.author = authorOf(context);
  if (!change.change_id.empty()) return;
  change.change_id = drawChangeId();
  fmt::print(stderr, "change id: {}\n", change.change_id.value);
}

Result<Configuration> fetchConfiguration(ApiClient& client) {
  ApiCall call;
  call.target = "/v1/config";
  const Result<nlohmann::json> json = client.callJson(call);
  if (!isOk(json)) return errorOf(json);
  return structFromJson<Configuration>(valueOf(json));
}

Result<Revision> submitChange(const CommandContext& context, ApiClient& client, const ConfigurationChange& change) {
  ApiCall call;
  call.method = "POST";
  call.target = context.has("wait") ? "/v1/config/changes?wait=true" : "/v1/config/changes";
  call.body = nlohmann::json(change).dump();
  call.mutates = true;
  call.attempt_timeout = context.has("wait") ? kWaitTimeout : kChangeTimeout;
  const Result<nlohmann::json> answer = client.callJson(call);
  if (!isOk(answer)) return errorOf(answer);
  return valueOf(answer).value("revision", Revision{0});
}

CommandOutput acceptedOutput(const ConfigurationChange& change, Revision revision, bool waited) {
  CommandOutput output;
  const char* where = waited ? ", in force everywhere" : "";
  output.text = fmt::format("accepted as revision {}{} (change {})\n", revision, where, change.change_id.value);
  output.json = nlohmann::json{{"revision", revision}, {"change_id", change.change_id}, {"in_force", waited}};
  return output;
}

}  // namespace hatchfork::ctl
