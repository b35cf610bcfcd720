#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "process/store/placement_service.hpp"

// Requests that wait here for a place at an engine.
namespace hatchfork::store {

using request::EngineChoice;
using request::LineNumber;
using request::ZoneLine;

namespace {

/// Of the first ones in line so many are offered a place: some may not run in every zone, or at every engine.
constexpr std::size_t kOfferedAtOnce = 3;
/// A request enters if it is expected to wait for no more than this share of the time that it has left, since the wait
/// is an estimate: were it all used, most of a long line would be a little late. Who stands already may use it all.
constexpr double kSureShare = 0.8;
/// A detour that is worth a place, though the line is short.
constexpr double kWorthDetourMs = 10;
/// Where a busy engine frees a place within this share of the time that a request has left, its own queue moves on so
/// fast that a line gains nothing, and a wait for a better engine only costs.
constexpr double kFastQueueShare = 0.1;
/// Gateways whose requests stand here hear of it this often, so that they don't take this store for silent.
constexpr Duration kWordInterval = fromMillis(40);

request::Standing standingOf(Instant now, const fleet::PlacementQuestion& question) {
  const fleet::PlacementTerms& terms = *question.terms;
  request::Standing standing;
  standing.priority = terms.priority;
  standing.has_returned = terms.has_returned;
  standing.latest_start = now + fromMillis(terms.left_ms);
  standing.may_be_refused = terms.may_be_refused;
  return standing;
}

}  // namespace

bool PlacementService::usesLine(const fleet::PlacementQuestion& question) const {
  if (!features_.zone_line || !answer_ || !question.terms) return false;
  // A zone without engines of its own sees no place fall free.
  return selector_.isUneven(question.service) && selector_.engineCount(question.service, zone_) > 0;
}

double PlacementService::lineWaitMs(Instant now, const ServiceId& service, std::size_t ahead) const {
  const double freed = selector_.slotsFreedPerMs(now, service, zone_);
  return freed > 0 ? static_cast<double>(ahead + 1) / freed : 0;
}

std::optional<EngineChoice> PlacementService::freePlace(Instant now, const fleet::PlacementQuestion& question,
                                                        double wait_ms) {
  request::EngineQuery query = queryOf(question);
  query.needs_free_slot = true;
  const auto choose = [&](double most_detour_ms) {
    std::optional<EngineChoice> choice = selector_.choose(now, query);
    if (choice && choice->detour_ms > most_detour_ms) choice.reset();
    return choice;
  };
  // The way to another zone is dear, and a batch run that gives way is dearer: it runs again.
  const bool may_stay = !query.zones || query.zones->contains(zone_);
  query.spares_background = true;
  if (may_stay) query.zones = std::set<ZoneId>{zone_};
  if (std::optional<EngineChoice> near = choose(wait_ms)) return near;
  query.zones = question.zones;
  if (std::optional<EngineChoice> anywhere = choose(std::max(wait_ms, kWorthDetourMs))) return anywhere;
  query.spares_background = false;
  if (may_stay) query.zones = std::set<ZoneId>{zone_};
  return choose(wait_ms);
}

bool PlacementService::hasFastQueues(const fleet::PlacementQuestion& question) const {
  const std::optional<double> freed_every_ms = selector_.slotFreedIntervalMs(question.service);
  return freed_every_ms && *freed_every_ms < kFastQueueShare * static_cast<double>(question.terms->left_ms);
}

fleet::PlacementAnswer PlacementService::refusal(Instant now, const fleet::PlacementQuestion& question) const {
  fleet::PlacementAnswer answer;
  answer.number = question.number;
  const auto line = lines_.find(question.service);
  const std::size_t standing = line == lines_.end() ? 0 : line->second.size();
  answer.refused_for_ms = static_cast<std::int64_t>(lineWaitMs(now, question.service, standing));
  return answer;
}

fleet::PlacementAnswer PlacementService::placeOrLine(Instant now, Gateway& gateway,
                                                     const fleet::PlacementQuestion& question) {
  leaveLine(gateway, question.number);
  ZoneLine& line = lines_[question.service];
  const request::Standing standing = standingOf(now, question);
  const std::size_t ahead = line.ahead(standing);
  const double wait_ms = lineWaitMs(now, question.service, ahead);
  if (ahead == 0) {
    if (const auto choice = freePlace(now, question, wait_ms)) return placeAt(now, question, *choice);
    if (hasFastQueues(question)) return placeAnywhere(now, question);
  }
  if (standing.may_be_refused && wait_ms > kSureShare * static_cast<double>(question.terms->left_ms)) {
    ++counters_.refused;
    return refusal(now, question);
  }
  const LineNumber number = ++last_line_number_;
  if (selector_.engineCount(question.service) == 0 || !line.enter(now, number, standing)) {
    return placeAnywhere(now, question);
  }
  waiting_[number] = Waiting{question};
  gateway.standing[question.number] = number;
  gateway.told_at = now;
  ++counters_.stood;
  fleet::PlacementAnswer answer;
  answer.number = question.number;
  answer.position = static_cast<std::int64_t>(ahead);
  return answer;
}

void PlacementService::serveLines(Instant now) {
  for (auto& [service, line] : lines_) {
    if (line.isEmpty()) continue;
    while (serveOne(now, line)) continue;
    refuseLate(now, line);
  }
}

bool PlacementService::serveOne(Instant now, ZoneLine& line) {
  std::size_t ahead = 0;
  for (const LineNumber number : line.first(kOfferedAtOnce)) {
    const fleet::PlacementQuestion& question = waiting_.at(number).question;
    const Duration waited = line.waited(now, number);
    const double waited_ms = toSeconds(waited) * 1000;
    const double wait_ms = std::max(waited_ms, lineWaitMs(now, question.service, ahead++));
    const std::optional<EngineChoice> choice = freePlace(now, question, wait_ms);
    if (!choice) continue;
    line.noteServed(number);
    ++counters_.placed_from_line;
    counters_.line_wait.observe(waited);
    answerStanding(number, [&](const Waiting& one) { return placeAt(now, one.question, *choice); });
    return true;
  }
  return false;
}

void PlacementService::refuseLate(Instant now, ZoneLine& line) {
  const std::size_t before = line.size();
  std::map<LineNumber, bool> may_be_refused;
  for (const LineNumber number : line.late(now)) may_be_refused[number] = line.at(number).may_be_refused;
  for (const auto& [number, refused] : may_be_refused) {
    counters_.line_wait.observe(line.waited(now, number));
    line.leave(number);
    if (refused) ++counters_.refused_from_line;
    answerStanding(number, [&, is_refused = refused](const Waiting& one) {
      return is_refused ? refusal(now, one.question) : placeAnywhere(now, one.question);
    });
  }
  if (may_be_refused.empty()) return;
  logEvent(LogLevel::kInfo, "line_left_late",
           {{"requests", may_be_refused.size()}, {"standing_before", before}, {"zone", zone_.value}});
}

void PlacementService::answerStanding(LineNumber number,
                                      const std::function<fleet::PlacementAnswer(const Waiting&)>& answer) {
  const auto found = waiting_.find(number);
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  Gateway& gateway = gateways_.at(waiting.question.node);
  gateway.standing.erase(waiting.question.number);
  const fleet::PlacementAnswer told = answer(waiting);
  answer_(gateway.connection, told);
}

void PlacementService::leaveLine(Gateway& gateway, std::uint64_t number) {
  const auto standing = gateway.standing.find(number);
  if (standing == gateway.standing.end()) return;
  const auto waiting = waiting_.find(standing->second);
  lines_.at(waiting->second.question.service).leave(standing->second);
  waiting_.erase(waiting);
  gateway.standing.erase(standing);
  ++counters_.left_line;
}

void PlacementService::tick(Instant now) {
  serveLines(now);
  for (auto& [node, gateway] : gateways_) {
    if (gateway.standing.empty() || now < gateway.told_at + kWordInterval) continue;
    gateway.told_at = now;
    const auto& [number, in_line] = *gateway.standing.begin();
    fleet::PlacementAnswer word;
    word.number = number;
    const ZoneLine& line = lines_.at(waiting_.at(in_line).question.service);
    word.position = static_cast<std::int64_t>(line.aheadOf(in_line));
    answer_(gateway.connection, word);
  }
}

}  // namespace hatchfork::store
