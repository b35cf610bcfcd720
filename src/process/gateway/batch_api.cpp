#include "process/gateway/batch_api.hpp"

#include <fmt/format.h>

#include <charconv>
#include <optional>
#include <set>
#include <utility>

#include "common/codec.hpp"
#include "process/batch/job.hpp"
#include "process/gateway/batch_routing.hpp"
#include "process/gateway/caller_request.hpp"

namespace hatchfork::gateway {

using connection::Awaitable;
using connection::errorResponse;
using connection::HttpRequest;
using connection::HttpResponse;
using connection::jsonResponse;

namespace {

constexpr std::string_view kPrefix = "/v1/batches/";
constexpr Duration kCommandTimeout = fromMillis(10000);
constexpr std::size_t kMostItemsPerPart = 1000;
constexpr std::size_t kMostBytesPerPart = 512u << 10;
constexpr std::uint32_t kResultsPerRead = 2000;

Error invalid(std::string message, std::string remedy) {
  return Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy), Executed::kNo, {}};
}

template <class T>
std::optional<T> parseNumber(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// The parts of "/v1/batches/{id}/{action}/{argument}".
struct BatchPath {
  JobId job;
  std::string action;
  std::string argument;
};

BatchPath parsePath(std::string_view path) {
  path.remove_prefix(kPrefix.size());
  BatchPath parsed;
  std::string* parts[] = {&parsed.job.value, &parsed.action, &parsed.argument};
  for (std::string* part : parts) {
    const std::size_t slash = std::min(path.find('/'), path.size());
    *part = std::string(path.substr(0, slash));
    path.remove_prefix(std::min(slash + 1, path.size()));
  }
  return parsed;
}

nlohmann::json statusToJson(const batch::JobStatus& status) {
  nlohmann::json json{{"id", status.job},
                      {"object", "batch"},
                      {"model", status.spec.service},
                      {"status", status.state},
                      {"parts", status.parts},
                      {"request_counts", status.counts},
                      {"created_at_ms", status.created_at}};
  if (status.finished_at != 0) json["finished_at_ms"] = status.finished_at;
  return json;
}

std::string resultLine(const batch::ItemResult& result) {
  nlohmann::json line{{"index", result.index}, {"custom_id", result.custom_id}, {"state", result.state}};
  line["response"] = nullptr;
  line["error"] = nullptr;
  const nlohmann::json body = nlohmann::json::parse(result.result, nullptr, false);
  const bool completed = result.state == batch::ItemState::kCompleted;
  if (completed) line["response"] = nlohmann::json{{"status_code", 200}, {"body", body}};
  if (!completed && !body.is_discarded()) line["error"] = body;
  return line.dump() + "\n";
}

HttpResponse unexpectedReply() {
  return errorResponse(
      Error{ErrorKind::kInternal, "unexpected reply of control", "report this", Executed::kUnknown, {}});
}

/// Refuses items that ask for more tokens than the policy allows, and names the first one.
Status checkTokens(const std::vector<batch::Item>& items, std::uint32_t max_tokens) {
  if (max_tokens == 0) return okStatus();
  for (const batch::Item& item : items) {
    std::string body = item.body;
    const Status checked = limitTokens(body, max_tokens);
    if (isOk(checked)) continue;
    Error error = errorOf(checked);
    error.message = "item " + item.custom_id + ": " + error.message;
    return error;
  }
  return okStatus();
}

Error noSuchResource(const HttpRequest& request) {
  return Error{ErrorKind::kNotFound,
               "no such resource: " + request.method + " " + request.path,
               "see the batch interface in the README",
               Executed::kNo,
               {}};
}

}  // namespace

Result<std::vector<batch::Item>> parseItemLines(std::string_view text) {
  std::vector<batch::Item> items;
  std::set<std::string> names;
  std::size_t line_number = 0;
  while (!text.empty()) {
    ++line_number;
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.find_first_not_of(" \t\r") == std::string_view::npos) continue;
    Result<nlohmann::json> parsed = parseJsonText(line);
    const nlohmann::json json = isOk(parsed) ? std::move(valueOf(parsed)) : nlohmann::json();
    const bool well_formed = json.is_object() && json.contains("custom_id") && json.at("custom_id").is_string() &&
                             json.contains("body") && json.at("body").is_object();
    const std::string where = fmt::format("line {}", line_number);
    if (!well_formed) {
      return invalid(where + " is no object with custom_id and body",
                     "send one {\"custom_id\": ..., \"body\": {...}} a line");
    }
    batch::Item item;
    item.custom_id = json.at("custom_id").get<std::string>();
    const Result<std::string> prompt = promptOfBody(json.at("body"), json.at("body").contains("messages"));
    if (!isOk(prompt)) return invalid(where + ": " + errorOf(prompt).message, errorOf(prompt).remedy);
    if (!names.insert(item.custom_id).second) {
      return invalid(where + " repeats the custom_id " + item.custom_id, "give each item a name of its own");
    }
    item.body = json.at("body").dump();
    items.push_back(std::move(item));
  }
  if (items.empty()) return invalid("the body has no items", "send at least one JSON line");
  return items;
}

BatchApi::BatchApi(TrafficState& traffic, connection::ControlClient& control, std::uint32_t batch_groups,
                   SealedHandler on_sealed)
    : traffic_(traffic), control_(control), batch_groups_(batch_groups), on_sealed_(std::move(on_sealed)) {}

Awaitable<HttpResponse> BatchApi::respond(const HttpRequest& request) {
  const GatewayVersionPtr version = traffic_.versionPtr();
  if (!version || !traffic_.leaseInForce(connection::monotonicNow())) {
    co_return errorResponse(Error{ErrorKind::kConfigurationStale,
                                  "this gateway cannot show that its configuration is the newest",
                                  "ask another gateway, or come back later", Executed::kNo, fromMillis(1000)});
  }
  const Result<const Tenant*> found = authenticate(*version, request);
  if (!isOk(found)) co_return errorResponse(errorOf(found));
  const Tenant& tenant = *valueOf(found);
  const bool is_post = request.method == "POST";
  if (is_post && request.path == "/v1/batches") co_return co_await create(request, tenant);
  if (!request.path.starts_with(kPrefix)) co_return errorResponse(noSuchResource(request));
  const BatchPath path = parsePath(request.path);
  const std::optional<GroupId> group = batch::groupOfJob(path.job);
  if (!group || *group > batch_groups_) {
    co_return errorResponse(Error{ErrorKind::kNotFound,
                                  "no job is named " + path.job.value,
                                  "use the id from the answer to POST /v1/batches",
                                  Executed::kNo,
                                  {}});
  }
  if (is_post && path.action == "parts") {
    const std::optional<std::uint32_t> part = parseNumber<std::uint32_t>(path.argument);
    if (!part) co_return errorResponse(invalid("the part number is no number", "POST to .../parts/0 and so on"));
    co_return co_await addPart(request, tenant, path.job, *part);
  }
  if (is_post && path.action == "seal") {
    const std::optional<std::uint32_t> parts = parseNumber<std::uint32_t>(request.queryValue("parts"));
    if (!parts) co_return errorResponse(invalid("parts is missing or no number", "POST to .../seal?parts=N"));
    co_return co_await seal(path.job, tenant, *parts);
  }
  if (is_post && path.action == "cancel") {
    control::CancelJobRequest cancel{path.job, tenant.id, connection::wallNow()};
    co_return co_await callForJob(*group, control::ControlRequest(std::move(cancel)));
  }
  const bool is_get = request.method == "GET";
  if (is_get && path.action.empty()) {
    control::GetJobRequest get{path.job, tenant.id};
    co_return co_await callForJob(*group, control::ControlRequest(std::move(get)));
  }
  if (is_get && path.action == "results") {
    const ItemIndex from = parseNumber<ItemIndex>(request.queryValue("from")).value_or(0);
    co_return co_await results(path.job, tenant, from);
  }
  co_return errorResponse(noSuchResource(request));
}

Awaitable<HttpResponse> BatchApi::callForJob(GroupId group, control::ControlRequest request) {
  const control::ControlReply reply = co_await control_.callFrom(group, std::move(request), kCommandTimeout);
  if (const auto* refused = std::get_if<control::ErrorReply>(&reply)) co_return errorResponse(refused->error);
  const auto* job = std::get_if<control::JobReply>(&reply);
  if (job == nullptr) co_return unexpectedReply();
  co_return jsonResponse(200, statusToJson(job->status).dump());
}

Awaitable<HttpResponse> BatchApi::create(const HttpRequest& request, const Tenant& tenant) {
  control::CreateJobRequest create;
  create.spec.tenant = tenant.id;
  create.spec.idempotency_key = std::string(request.header("Idempotency-Key"));
  create.spec.unrepeatable = request.header("X-Hatchfork-Unrepeatable") == "true";
  create.now = connection::wallNow();
  if (create.spec.idempotency_key.empty()) {
    co_return errorResponse(
        invalid("a batch needs an Idempotency-Key", "send a key of your own, and the same one whenever you resend"));
  }
  const std::string_view deadline = request.header("X-Hatchfork-Deadline-Ms");
  if (!deadline.empty()) {
    const std::optional<std::int64_t> milliseconds = parseNumber<std::int64_t>(deadline);
    if (!milliseconds || *milliseconds < 1) {
      co_return errorResponse(invalid("X-Hatchfork-Deadline-Ms is no number", "give milliseconds from now"));
    }
    create.spec.deadline = create.now + *milliseconds;
  }
  const Result<const Service*> service =
      traffic_.version()->serviceFor(tenant, std::string(request.queryValue("model")));
  if (!isOk(service)) co_return errorResponse(errorOf(service));
  create.spec.service = valueOf(service)->id;
  const bool sealed = request.queryValue("sealed") != "false";
  Result<std::vector<batch::Item>> items = std::vector<batch::Item>();
  if (sealed || !request.body.empty()) items = parseItemLines(request.body);
  if (!isOk(items)) co_return errorResponse(errorOf(items));
  const Result<PolicyUrgency> urgency = urgencyOf(request);
  if (!isOk(urgency)) co_return errorResponse(errorOf(urgency));
  const Status admitted = co_await admitJob(create.spec, valueOf(urgency), valueOf(items));
  if (!isOk(admitted)) co_return errorResponse(errorOf(admitted));
  const GroupId group = groupOfKey(tenant.id, create.spec.idempotency_key, batch_groups_);
  const control::ControlReply reply =
      co_await control_.callFrom(group, control::ControlRequest(std::move(create)), kCommandTimeout);
  if (const auto* refused = std::get_if<control::ErrorReply>(&reply)) co_return errorResponse(refused->error);
  const auto* created = std::get_if<control::JobReply>(&reply);
  if (created == nullptr) co_return unexpectedReply();
  const JobId job = created->status.job;
  const Result<std::uint32_t> parts = co_await sendParts(group, job, std::move(valueOf(items)));
  if (!isOk(parts)) co_return errorResponse(errorOf(parts));
  if (sealed) co_return co_await seal(job, tenant, valueOf(parts));
  control::GetJobRequest get{job, tenant.id};
  co_return co_await callForJob(group, control::ControlRequest(std::move(get)));
}

Status BatchApi::askPolicy(const batch::JobSpec& spec, PolicyUrgency urgency, const std::vector<batch::Item>& items) {
  const Configuration& configuration = traffic_.version()->configuration();
  const Tenant* tenant = configuration.tenants.find(spec.tenant);
  const auto service = configuration.services.find(spec.service);
  if (tenant == nullptr || service == configuration.services.end()) return okStatus();
  const Result<PolicyDecision> decision =
      traffic_.policies().admit(*tenant, service->second, WorkKind::kBatch, urgency);
  if (!isOk(decision)) return errorOf(decision);
  return checkTokens(items, valueOf(decision).limits.max_tokens);
}

Awaitable<Status> BatchApi::admitJob(const batch::JobSpec& spec, PolicyUrgency urgency,
                                     const std::vector<batch::Item>& items) {
  const Status asked = askPolicy(spec, urgency, items);
  if (isOk(asked)) co_return asked;
  const GroupId group = groupOfKey(spec.tenant, spec.idempotency_key, batch_groups_);
  control::FindJobRequest find{spec.tenant, spec.idempotency_key};
  const control::ControlReply known =
      co_await control_.callFrom(group, control::ControlRequest(std::move(find)), kCommandTimeout);
  if (std::holds_alternative<control::JobReply>(known)) co_return okStatus();
  const auto* refused = std::get_if<control::ErrorReply>(&known);
  const bool is_new = refused != nullptr && refused->error.kind == ErrorKind::kNotFound;
  if (is_new || refused == nullptr) co_return asked;
  // Not known whether it is a resend of an accepted job: then nothing may be said of the policy.
  co_return refused->error;
}

Awaitable<Result<std::uint32_t>> BatchApi::sendParts(GroupId group, JobId job, std::vector<batch::Item> items) {
  std::uint32_t part = 0;
  std::size_t next = 0;
  while (next < items.size()) {
    control::AddPartRequest add;
    add.job = job;
    add.part = part++;
    std::size_t bytes = 0;
    while (next < items.size() && add.items.size() < kMostItemsPerPart && bytes < kMostBytesPerPart) {
      bytes += items[next].body.size() + items[next].custom_id.size();
      add.items.push_back(std::move(items[next++]));
    }
    const control::ControlReply reply =
        co_await control_.callFrom(group, control::ControlRequest(std::move(add)), kCommandTimeout);
    if (const auto* refused = std::get_if<control::ErrorReply>(&reply)) co_return refused->error;
  }
  co_return part;
}

Awaitable<HttpResponse> BatchApi::addPart(const HttpRequest& request, const Tenant& tenant, JobId job,
                                          std::uint32_t part) {
  Result<std::vector<batch::Item>> items = parseItemLines(request.body);
  if (!isOk(items)) co_return errorResponse(errorOf(items));
  const GroupId group = *batch::groupOfJob(job);
  // Shows that the job is the tenant's own before anything is added to it.
  control::GetJobRequest get{job, tenant.id};
  const control::ControlReply owned = co_await control_.callFrom(group, control::ControlRequest(get), kCommandTimeout);
  if (const auto* refused = std::get_if<control::ErrorReply>(&owned)) co_return errorResponse(refused->error);
  const auto* known = std::get_if<control::JobReply>(&owned);
  if (known == nullptr) co_return unexpectedReply();
  if (known->status.state == batch::JobState::kReceiving) {
    const PolicyDecision advice = traffic_.policies().advise(tenant.id, known->status.spec.service, WorkKind::kBatch);
    const Status tokens = checkTokens(valueOf(items), advice.limits.max_tokens);
    if (!isOk(tokens)) co_return errorResponse(errorOf(tokens));
  }
  control::AddPartRequest add{job, part, std::move(valueOf(items))};
  co_return co_await callForJob(group, control::ControlRequest(std::move(add)));
}

Awaitable<HttpResponse> BatchApi::seal(JobId job, const Tenant& tenant, std::uint32_t parts) {
  const GroupId group = *batch::groupOfJob(job);
  control::GetJobRequest get{job, tenant.id};
  const control::ControlReply owned = co_await control_.callFrom(group, control::ControlRequest(get), kCommandTimeout);
  if (const auto* refused = std::get_if<control::ErrorReply>(&owned)) co_return errorResponse(refused->error);
  control::SealJobRequest seal_request{job, parts};
  HttpResponse response = co_await callForJob(group, control::ControlRequest(std::move(seal_request)));
  if (response.status == 200) on_sealed_(group);
  co_return response;
}

Awaitable<HttpResponse> BatchApi::results(JobId job, const Tenant& tenant, ItemIndex from) {
  control::GetResultsRequest get;
  get.job = job;
  get.tenant = tenant.id;
  get.from = from;
  get.most = kResultsPerRead;
  const GroupId group = *batch::groupOfJob(job);
  const control::ControlReply reply =
      co_await control_.callFrom(group, control::ControlRequest(std::move(get)), kCommandTimeout);
  if (const auto* refused = std::get_if<control::ErrorReply>(&reply)) co_return errorResponse(refused->error);
  const auto* page = std::get_if<control::ResultsReply>(&reply);
  if (page == nullptr) co_return unexpectedReply();
  HttpResponse response;
  response.headers.push_back(connection::HttpHeader{"Content-Type", "application/jsonl"});
  response.headers.push_back(connection::HttpHeader{"X-Hatchfork-Next", std::to_string(page->next)});
  response.headers.push_back(connection::HttpHeader{"X-Hatchfork-Total", std::to_string(page->total)});
  for (const batch::ItemResult& result : page->results) response.body += resultLine(result);
  co_return response;
}

}  // namespace hatchfork::gateway
