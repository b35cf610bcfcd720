#include <fmt/format.h>

#include <charconv>

#include "process/batch/job.hpp"

namespace hatchfork::batch {
namespace {

constexpr std::string_view kPrefix = "job-";

struct ParsedJobId {
  GroupId group = 0;
  JobNumber number = 0;
};

template <class Number>
bool readNumber(std::string_view text, Number& out) {
  const std::from_chars_result read = std::from_chars(text.data(), text.data() + text.size(), out);
  return read.ec == std::errc() && read.ptr == text.data() + text.size();
}

std::optional<ParsedJobId> parseJobId(const JobId& job) {
  const std::string_view text = job.value;
  if (!text.starts_with(kPrefix)) return std::nullopt;
  const std::size_t dash = text.find('-', kPrefix.size());
  if (dash == std::string_view::npos) return std::nullopt;
  ParsedJobId parsed;
  const bool group_read = readNumber(text.substr(kPrefix.size(), dash - kPrefix.size()), parsed.group);
  const bool number_read = readNumber(text.substr(dash + 1), parsed.number);
  if (!group_read || !number_read) return std::nullopt;
  // Only the canonical form is a valid identifier: no leading zeros.
  if (makeJobId(parsed.group, parsed.number) != job) return std::nullopt;
  return parsed;
}

}  // namespace

JobId makeJobId(GroupId group, JobNumber number) {
  return JobId(fmt::format("job-{}-{}", group, number));
}

std::optional<GroupId> groupOfJob(const JobId& job) {
  const std::optional<ParsedJobId> parsed = parseJobId(job);
  if (!parsed) return std::nullopt;
  return parsed->group;
}

std::optional<JobNumber> numberOfJob(const JobId& job) {
  const std::optional<ParsedJobId> parsed = parseJobId(job);
  if (!parsed) return std::nullopt;
  return parsed->number;
}

}  // namespace hatchfork::batch
