#include "process/node/admin_api.hpp"

#include <algorithm>
#include <charconv>

#include "common/log.hpp"
#include "connection/awaited.hpp"
#include "process/node/admin_json.hpp"
#include "version/access_rights.hpp"
#include "version/configuration_diff.hpp"

namespace hatchfork::node {

using connection::Awaitable;
using connection::errorResponse;
using connection::HttpRequest;
using connection::HttpResponse;
using connection::jsonResponse;
using connection::monotonicNow;

namespace {

constexpr std::size_t kMostHistoryEntries = 500;
constexpr std::size_t kDefaultAuditEntries = 100;
constexpr std::size_t kMostAuditEntries = 4000;
constexpr std::string_view kGroupsPrefix = "/v1/groups/";
constexpr std::string_view kMembershipSuffix = "/membership";

Error badRequest(std::string message, std::string remedy) {
  return Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy), Executed::kNo, {}};
}

Error noSuchResource(const HttpRequest& request) {
  return Error{ErrorKind::kNotFound,
               "no such resource: " + request.method + " " + request.path,
               "see docs/operations, or use hatchfork ctl",
               Executed::kNo,
               {}};
}

template <class T>
std::optional<T> parseNumber(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// A query parameter that must be a number where it is given.
template <class T>
Result<T> readNumber(const HttpRequest& request, std::string_view name, T otherwise) {
  const std::string_view text = request.queryValue(name);
  if (text.empty()) return otherwise;
  const std::optional<T> number = parseNumber<T>(text);
  if (number) return *number;
  return badRequest("the query parameter " + std::string(name) + " is no number", "give a whole number from 0");
}

bool isLocalRead(const HttpRequest& request) {
  return request.method == "GET" && (request.path == "/v1/status" || request.path == "/v1/jobs");
}

}  // namespace

AdminApi::AdminApi(const ControlSettings& settings, control::ControlService& service, std::function<void()> flush)
    : settings_(settings), service_(service), flush_(std::move(flush)) {}

Awaitable<void> AdminApi::handle(const HttpRequest& request, connection::ResponseWriter& writer) {
  HttpResponse response = co_await respond(request);
  co_await writer.send(std::move(response));
}

Awaitable<HttpResponse> AdminApi::respond(const HttpRequest& request) {
  if (request.path == "/healthz") co_return jsonResponse(200, R"({"status":"ok"})");
  if (request.path == "/readyz") {
    co_return jsonResponse(ready_ ? 200 : 503, ready_ ? R"({"status":"ready"})" : R"({"status":"stopping"})");
  }
  if (request.path == "/metrics") {
    HttpResponse response;
    response.headers.push_back(connection::HttpHeader{"Content-Type", "text/plain; version=0.0.4"});
    response.body = controlMetrics(service_);
    co_return response;
  }
  if (isLocalRead(request)) co_return localResponse(request);
  // Rights are judged by the newest configuration: a key that was taken away opens nothing here.
  const Status fresh = co_await awaitFresh();
  if (!isOk(fresh)) co_return errorResponse(errorOf(fresh));
  co_return co_await respondFresh(request);
}

/// Answers without a quorum, for the hour in which there is none.
HttpResponse AdminApi::localResponse(const HttpRequest& request) const {
  const Result<AdminCaller> caller = authenticateAdmin(configuration(), request);
  if (!isOk(caller)) return errorResponse(errorOf(caller));
  const std::optional<Error> refused = requireRole(valueOf(caller), TenantRole::kOperator);
  if (refused) return errorResponse(*refused);
  if (request.path == "/v1/status") {
    return jsonResponse(200, statusToJson(settings_, service_, monotonicNow()).dump());
  }
  return jsonResponse(200, nlohmann::json{{"jobs", service_.runningJobs()}}.dump());
}

Awaitable<HttpResponse> AdminApi::respondFresh(const HttpRequest& request) {
  const Result<AdminCaller> found = authenticateAdmin(configuration(), request);
  if (!isOk(found)) co_return errorResponse(errorOf(found));
  const AdminCaller& caller = valueOf(found);
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  if (is_get && request.path == "/v1/config") co_return configurationResponse(request, caller);
  // The state machine judges each edit by the caller's role.
  if (is_post && request.path == "/v1/config/changes") co_return co_await applyChange(request, caller);
  const std::optional<Error> refused = requireRole(caller, TenantRole::kOperator);
  if (refused) co_return errorResponse(*refused);
  if (is_post && request.path == "/v1/audit/actions") co_return co_await recordAction(request, caller);
  const bool is_membership = request.path.starts_with(kGroupsPrefix) && request.path.ends_with(kMembershipSuffix);
  if (is_post && is_membership) co_return co_await changeMembership(request, caller);
  if (!is_get) co_return errorResponse(noSuchResource(request));
  co_return readResponse(request);
}

HttpResponse AdminApi::readResponse(const HttpRequest& request) const {
  if (request.path == "/v1/config/history") return historyResponse(request);
  if (request.path == "/v1/config/diff") return diffResponse(request);
  if (request.path == "/v1/audit") {
    const Result<std::size_t> most = readNumber<std::size_t>(request, "most", kDefaultAuditEntries);
    if (!isOk(most)) return errorResponse(errorOf(most));
    const std::size_t shown = std::min(valueOf(most), kMostAuditEntries);
    return jsonResponse(200, auditToJson(service_.configuration(), shown).dump());
  }
  return errorResponse(noSuchResource(request));
}

Awaitable<Status> AdminApi::awaitFresh() {
  connection::Awaited<Status> fresh(co_await connection::asio::this_coro::executor);
  service_.readFresh(monotonicNow(), kConfigurationGroup, fresh.handler());
  flush_();
  co_return co_await fresh.wait();
}

Awaitable<control::ControlReply> AdminApi::propose(control::ControlRequest request) {
  connection::Awaited<control::ControlReply> reply(co_await connection::asio::this_coro::executor);
  service_.handle(monotonicNow(), kConfigurationGroup, std::move(request), reply.handler());
  flush_();
  co_return co_await reply.wait();
}

Awaitable<HttpResponse> AdminApi::applyChange(const HttpRequest& request, const AdminCaller& caller) {
  const Result<nlohmann::json> json = parseJsonText(request.body);
  if (!isOk(json)) co_return errorResponse(errorOf(json));
  Result<ConfigurationChange> change = structFromJson<ConfigurationChange>(valueOf(json));
  if (!isOk(change)) {
    co_return errorResponse(badRequest("the body is no configuration change: " + errorOf(change).message,
                                       "send change_id, base_revision and edits"));
  }
  if (valueOf(change).change_id.empty()) {
    co_return errorResponse(badRequest("change_id is empty", "choose a new identifier and keep it when resending"));
  }
  valueOf(change).tenant = caller.tenant;
  valueOf(change).proposed_at = connection::wallNow();
  control::ControlRequest apply = control::ApplyChangeRequest{std::move(valueOf(change))};
  const control::ControlReply answer = co_await propose(std::move(apply));
  // From here on every gateway either renews its lease, and then holds this revision, or its lease runs out.
  const bool accepted = std::holds_alternative<control::ApplyChangeReply>(answer);
  if (accepted && request.queryValue("wait") == "true") co_await connection::sleepFor(settings_.configuration_lease);
  co_return replyResponse(answer);
}

Awaitable<HttpResponse> AdminApi::recordAction(const HttpRequest& request, const AdminCaller& caller) {
  const Result<nlohmann::json> json = parseJsonText(request.body);
  if (!isOk(json)) co_return errorResponse(errorOf(json));
  Result<AdminAction> action = structFromJson<AdminAction>(valueOf(json));
  const bool complete = isOk(action) && !valueOf(action).id.empty() && !valueOf(action).description.empty();
  if (!complete) {
    co_return errorResponse(badRequest("the body is no administrative act", "send id, author, reason, description"));
  }
  valueOf(action).tenant = caller.tenant;
  valueOf(action).at = connection::wallNow();
  control::ControlRequest record = control::RecordActionRequest{std::move(valueOf(action))};
  const control::ControlReply answer = co_await propose(std::move(record));
  co_return replyResponse(answer);
}

bool AdminApi::isActionRecorded(const ChangeId& id, const AdminCaller& caller) const {
  const auto& actions = service_.configuration().actions();
  return std::any_of(actions.begin(), actions.end(),
                     [&](const AdminAction& action) { return action.id == id && action.tenant == caller.tenant; });
}

Awaitable<HttpResponse> AdminApi::changeMembership(const HttpRequest& request, const AdminCaller& caller) {
  std::string_view number = std::string_view(request.path).substr(kGroupsPrefix.size());
  number.remove_suffix(kMembershipSuffix.size());
  const std::optional<GroupId> group = parseNumber<GroupId>(number);
  const Result<nlohmann::json> json = parseJsonText(request.body);
  if (!group || !isOk(json) || !valueOf(json).is_object()) {
    co_return errorResponse(badRequest("the path or the body is malformed",
                                       "POST {\"members\":[...],\"action\":\"ID\"} to /v1/groups/N/membership"));
  }
  const Result<consensus::Membership> target = structFromJson<consensus::Membership>(valueOf(json));
  if (!isOk(target)) co_return errorResponse(errorOf(target));
  const nlohmann::json action = valueOf(json).value("action", nlohmann::json());
  const bool recorded = action.is_string() && isActionRecorded(ChangeId(action.get<std::string>()), caller);
  if (!recorded) {
    co_return errorResponse(badRequest("the act is not recorded in the audit",
                                       "POST it to /v1/audit/actions first, and name its id as action"));
  }
  logEvent(LogLevel::kInfo, "membership_change_asked",
           {{"group", *group}, {"tenant", caller.tenant.value}, {"action", action.get<std::string>()}});
  connection::Awaited<control::ControlReply> reply(co_await connection::asio::this_coro::executor);
  service_.changeMembership(monotonicNow(), *group, valueOf(target), reply.handler());
  flush_();
  const control::ControlReply answer = co_await reply.wait();
  co_return replyResponse(answer);
}

HttpResponse AdminApi::replyResponse(const control::ControlReply& reply) const {
  if (const auto* applied = std::get_if<control::ApplyChangeReply>(&reply)) {
    return jsonResponse(200, nlohmann::json{{"revision", applied->revision}}.dump());
  }
  const auto* refused = std::get_if<control::ErrorReply>(&reply);
  if (refused == nullptr)
    return errorResponse(Error{ErrorKind::kInternal, "unexpected reply", "report this", Executed::kUnknown, {}});
  HttpResponse response = errorResponse(refused->error);
  const auto leader = std::find_if(settings_.admin_endpoints.begin(), settings_.admin_endpoints.end(),
                                   [&](const auto& entry) { return entry.replica == refused->leader; });
  if (leader == settings_.admin_endpoints.end()) return response;
  nlohmann::json body{{"error", refused->error}};
  body["error"]["leader_address"] = toString(leader->endpoint);
  response.body = body.dump();
  return response;
}

HttpResponse AdminApi::configurationResponse(const HttpRequest& request, const AdminCaller& caller) const {
  const Result<Revision> revision = readNumber<Revision>(request, "revision", configuration().revision);
  if (!isOk(revision)) return errorResponse(errorOf(revision));
  const Result<Configuration> found = service_.configuration().configurationAt(valueOf(revision));
  if (!isOk(found)) return errorResponse(errorOf(found));
  const Configuration& shown = valueOf(found);
  if (caller.role != TenantRole::kTeam) return jsonResponse(200, nlohmann::json(shown).dump());
  const Tenant* team = shown.tenants.find(caller.tenant);
  if (team == nullptr) return errorResponse(noSuchResource(request));
  return jsonResponse(200, nlohmann::json(visibleToTeam(shown, *team)).dump());
}

HttpResponse AdminApi::historyResponse(const HttpRequest& request) const {
  const Result<std::size_t> asked = readNumber<std::size_t>(request, "most", kMostHistoryEntries);
  if (!isOk(asked)) return errorResponse(errorOf(asked));
  const std::size_t most = std::min(valueOf(asked), kMostHistoryEntries);
  const Revision newest = configuration().revision;
  const Revision last_page = newest < most ? 0 : newest - most + 1;
  const Result<Revision> from = readNumber<Revision>(request, "from", last_page);
  if (!isOk(from)) return errorResponse(errorOf(from));
  const nlohmann::json entries = service_.configuration().history(valueOf(from), most);
  return jsonResponse(200, nlohmann::json{{"revision", newest}, {"changes", entries}}.dump());
}

HttpResponse AdminApi::diffResponse(const HttpRequest& request) const {
  const std::optional<Revision> from = parseNumber<Revision>(request.queryValue("from"));
  if (!from) return errorResponse(badRequest("from is missing or no number", "GET /v1/config/diff?from=N&to=N"));
  const Result<Revision> to = readNumber<Revision>(request, "to", configuration().revision);
  if (!isOk(to)) return errorResponse(errorOf(to));
  const Result<Configuration> before = service_.configuration().configurationAt(*from);
  if (!isOk(before)) return errorResponse(errorOf(before));
  const Result<Configuration> after = service_.configuration().configurationAt(valueOf(to));
  if (!isOk(after)) return errorResponse(errorOf(after));
  const nlohmann::json differences = compareConfigurations(valueOf(before), valueOf(after));
  return jsonResponse(200, nlohmann::json{{"from", *from}, {"to", valueOf(to)}, {"differences", differences}}.dump());
}

}  // namespace hatchfork::node
