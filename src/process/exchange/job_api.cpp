#include "process/exchange/job_api.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "common/log.hpp"
#include "process/exchange/header_rules.hpp"

namespace hatchfork::exchange {

using connection::Awaitable;
using connection::HttpResponse;
using connection::monotonicNow;
using store::StoreReply;

namespace {

/// Timeouts for the answer of one store and for the whole call.
constexpr Duration kReadStoreTimeout = fromMillis(700);
constexpr Duration kReadTimeout = fromMillis(1500);
constexpr Duration kWriteStoreTimeout = fromMillis(2300);
constexpr Duration kWriteTimeout = JobApi::kLongestCall;
/// A healthy store answers within this time: it needs at most one commit or a freshness check.
constexpr Duration kHedgeDelay = fromMillis(160);
constexpr std::uint32_t kMaxWaitMs = 1000;
/// Time after which a submission that no store can have accepted is refused; a new leader is elected before the retry.
constexpr Duration kRefuseAfter = fromMillis(90);
constexpr Duration kRetryAfter = fromMillis(1200);
constexpr std::size_t kMaxItems = 1000;

HttpResponse refusal(ErrorKind kind, std::string message, std::string remedy, Executed executed) {
  HttpResponse response =
      connection::errorResponse(Error{kind, std::move(message), std::move(remedy), executed, std::nullopt});
  const bool may_come_back = response.status == 503 || response.status == 429;
  if (may_come_back) setRetryAfter(response, kRetryAfter);
  return response;
}

HttpResponse unconfirmed(const StoreReply& reply) {
  const auto* unavailable = std::get_if<store::UnavailableReply>(&reply);
  return refusal(
      ErrorKind::kUnavailable,
      "no store could give a confirmed answer: " + (unavailable != nullptr ? unavailable->cause : "other reply"),
      "retry the request", Executed::kNo);
}

HttpResponse overLimit(const Route& route, const store::OverLimitReply& reply) {
  const Duration come_back = fromMillis(reply.come_back_ms);
  const std::string message =
      fmt::format("{} tokens wait on route {}, {} more would exceed its limit of {}", reply.waiting_tokens, route.name,
                  reply.job_tokens, route.most_waiting_tokens);
  HttpResponse response = connection::errorResponse(
      Error{ErrorKind::kRateLimited, message, "resubmit the job after the time in Retry-After, or submit a smaller one",
            Executed::kNo, come_back});
  setRetryAfter(response, come_back);
  return response;
}

/// Sets the tenant header of an item to the submitter, replacing any value in the item, and removes the API key.
void nameTenant(std::vector<ItemHeader>& headers, std::string_view tenant_header, const TenantId& tenant) {
  if (tenant.empty()) return;
  std::erase_if(headers, [&](const ItemHeader& header) {
    return isSameHeader(header.name, tenant_header) || isSameHeader(header.name, kKeyHeader);
  });
  headers.push_back({std::string(tenant_header), tenant.value});
}

std::string_view nameOf(const StoreReply& reply) {
  return std::visit([](const auto& body) { return std::decay_t<decltype(body)>::kKind; }, reply);
}

}  // namespace

Awaitable<HttpResponse> JobApi::submit(const Route& route, std::uint64_t configuration_version, const TenantId& tenant,
                                       const connection::HttpRequest& request) {
  ++counters_.submitted;
  const Instant began = monotonicNow();
  const std::string id(request.header(dialect_.headers().request_id));
  Result<JobSubmission> parsed = dialect_.parseJob(request.body);
  if (!isOk(parsed)) co_return connection::errorResponse(errorOf(parsed));
  JobSubmission& job = valueOf(parsed);
  if (id.empty() || job.items.empty() || job.items.size() > kMaxItems) {
    co_return refusal(ErrorKind::kInvalidArgument, "the job has no identifier, no items or too many",
                      "send an identifier and the items of one job", Executed::kNo);
  }
  job.id = JobId(id);
  job.tenant = tenant;
  for (OpaqueItem& item : job.items) nameTenant(item.headers, dialect_.headers().tenant, tenant);
  const std::string_view host = request.header("Host");
  job.host = std::string(host.substr(0, host.rfind(':')));
  job.path = request.path;
  job.submitted_at = connection::wallNow();
  job.configuration_version = configuration_version;
  const std::size_t items = job.items.size();
  WaitingLimit limit{route.host, route.prefix, route.most_waiting_tokens, tenant};
  const store::StoreRequest submission = store::SubmitJobRequest{std::move(job), std::move(limit), attempts_()};
  const StoreCallLimits limits{began + kWriteTimeout, kWriteStoreTimeout, kHedgeDelay, began + kRefuseAfter};
  const StoreReply reply = co_await stores_.call(submission, limits);
  const auto* unavailable = std::get_if<store::UnavailableReply>(&reply);
  logEvent(LogLevel::kInfo, "job_submission",
           {{"request", id},
            {"tenant", tenant.value},
            {"route", route.name},
            {"version", configuration_version},
            {"items", items},
            {"outcome", nameOf(reply)},
            {"cause", unavailable != nullptr ? unavailable->cause : std::string("-")},
            {"after_ms", toMillis(monotonicNow() - began)}});
  if (std::holds_alternative<store::DoneReply>(reply)) {
    ++counters_.accepted;
    co_return connection::jsonResponse(202, "{}");
  }
  if (const auto* over = std::get_if<store::OverLimitReply>(&reply)) {
    ++counters_.over_limit;
    co_return overLimit(route, *over);
  }
  if (std::holds_alternative<store::UnknownReply>(reply)) {
    co_return refusal(ErrorKind::kConflict,
                      "another job has this identifier, or the job was ended before this submission of it",
                      "choose another identifier", Executed::kNo);
  }
  const bool may_apply = unavailable == nullptr || unavailable->may_apply;
  if (may_apply) {
    ++counters_.unclear;
    co_return refusal(ErrorKind::kDeadlineExceeded, "it is unknown whether the job was stored",
                      "resubmit the same job: it is accepted only once", Executed::kUnknown);
  }
  ++counters_.refused;
  co_return refusal(ErrorKind::kUnavailable, "no store could accept the job: " + unavailable->cause,
                    "resubmit the job after the time in Retry-After", Executed::kNo);
}

Awaitable<HttpResponse> JobApi::respond(const JobCall& call, const TenantId& tenant,
                                        const connection::HttpRequest& request) {
  ++counters_.reads;
  if (const auto* read = std::get_if<ReadResultsCall>(&call)) {
    const std::string_view text = request.header(dialect_.headers().wait_ms);
    std::uint32_t wait_ms = 0;
    std::from_chars(text.data(), text.data() + text.size(), wait_ms);
    co_return co_await readResults(*read, tenant, std::min(wait_ms, kMaxWaitMs));
  }
  if (const auto* item = std::get_if<ReadItemCall>(&call)) co_return co_await readItem(*item, tenant);
  if (const auto* end = std::get_if<EndJobCall>(&call)) co_return co_await endJob(*end, tenant);
  co_return refusal(ErrorKind::kNotFound, "no such call", "correct the path", Executed::kNo);
}

Awaitable<HttpResponse> JobApi::readResults(const ReadResultsCall& call, const TenantId& tenant,
                                            std::uint32_t wait_ms) {
  const Duration wait = fromMillis(wait_ms);
  const store::StoreRequest read = store::ReadResultsRequest{call.job, call.from, wait_ms, tenant};
  const Instant began = monotonicNow();
  const StoreCallLimits limits{began + kReadTimeout + wait, kReadStoreTimeout + wait, kHedgeDelay + wait,
                               began + kReadTimeout};
  StoreReply reply = co_await stores_.call(read, limits);
  if (auto* results = std::get_if<store::ResultsReply>(&reply)) {
    ResultsPage page;
    page.total = results->total;
    page.next = results->next;
    page.results = std::move(results->results);
    co_return connection::jsonResponse(200, dialect_.resultsAnswer(page));
  }
  logEvent(LogLevel::kInfo, "results_not_read",
           {{"job", call.job.value}, {"from", call.from}, {"outcome", nameOf(reply)}});
  if (std::holds_alternative<store::UnknownReply>(reply)) {
    co_return refusal(ErrorKind::kNotFound, "no such job", "correct the identifier", Executed::kNo);
  }
  co_return unconfirmed(reply);
}

Awaitable<HttpResponse> JobApi::readItem(const ReadItemCall& call, const TenantId& tenant) {
  const store::StoreRequest read = store::ReadItemRequest{call.job, call.item, tenant};
  const Instant began = monotonicNow();
  const StoreCallLimits limits{began + kReadTimeout, kReadStoreTimeout, kHedgeDelay, began + kReadTimeout};
  StoreReply reply = co_await stores_.call(read, limits);
  if (auto* item = std::get_if<store::ItemReply>(&reply)) {
    HttpResponse response;
    response.headers.push_back({"Content-Type", "application/octet-stream"});
    response.body = std::move(item->body);
    co_return response;
  }
  logEvent(LogLevel::kInfo, "item_not_read",
           {{"job", call.job.value}, {"request", call.item}, {"outcome", nameOf(reply)}});
  if (std::holds_alternative<store::UnknownReply>(reply)) {
    co_return refusal(ErrorKind::kNotFound, "no such item is open", "correct the identifier", Executed::kNo);
  }
  co_return unconfirmed(reply);
}

Awaitable<HttpResponse> JobApi::endJob(const EndJobCall& call, const TenantId& tenant) {
  const store::StoreRequest end = store::EndJobRequest{call.job, tenant};
  const Instant began = monotonicNow();
  const StoreCallLimits limits{began + kWriteTimeout, kWriteStoreTimeout, kHedgeDelay, began + kWriteTimeout};
  const StoreReply reply = co_await stores_.call(end, limits);
  logEvent(LogLevel::kInfo, "job_end", {{"job", call.job.value}, {"outcome", nameOf(reply)}});
  if (std::holds_alternative<store::DoneReply>(reply)) co_return connection::jsonResponse(200, "{}");
  if (std::holds_alternative<store::UnknownReply>(reply)) {
    co_return refusal(ErrorKind::kNotFound, "no such job", "correct the identifier", Executed::kNo);
  }
  co_return refusal(ErrorKind::kDeadlineExceeded, "it is unknown whether the job has ended", "repeat the request",
                    Executed::kUnknown);
}

}  // namespace hatchfork::exchange
