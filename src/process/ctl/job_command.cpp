#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>

#include "common/sha256.hpp"
#include "process/ctl/change_file.hpp"
#include "process/ctl/commands.hpp"
#include "process/ctl/job_client.hpp"
#include "process/ctl/text_table.hpp"

namespace hatchfork::ctl {
namespace {

constexpr Duration kFollowInterval = fromMillis(1000);
constexpr std::size_t kKeyDigits = 32;
/// Parts of a job from which on the upload shows its progress.
constexpr std::size_t kPartsOfLongUpload = 5;

/// One line that is rewritten in place on a terminal, and written anew elsewhere.
void showProgress(const std::string& line, bool last) {
  const bool terminal = isatty(STDERR_FILENO) == 1;
  const char* begin = terminal ? "\r\033[K" : "";
  const char* end = terminal && !last ? "" : "\n";
  fmt::print(stderr, "{}{}{}", begin, line, end);
  std::fflush(stderr);
}

CommandOutput jobOutput(const nlohmann::json& job) {
  const JobProgress progress = progressOfJob(job, connection::wallNow());
  const nlohmann::json counts = job.value("request_counts", nlohmann::json::object());
  CommandOutput output;
  output.text =
      fmt::format("{} {} {}", job.value("id", ""), job.value("status", ""), progressBar(progress.done, progress.total));
  if (progress.remaining && !isFinished(job)) output.text += ", " + describeRemaining(progress) + " left";
  output.text += "\n";
  for (const char* state : {"completed", "failed", "cancelled", "outcome_unknown"}) {
    output.text += fmt::format("  {:<16} {}\n", state, counts.value(state, 0));
  }
  output.json = job;
  return output;
}

/// Shows the job's progress until it has finished.
CommandResult follow(JobClient& jobs, ApiClient& api, const std::string& name) {
  std::string shown;
  while (true) {
    const Result<nlohmann::json> job = jobs.status(name);
    if (!isOk(job)) return errorOf(job);
    const bool finished = isFinished(valueOf(job));
    const JobProgress progress = progressOfJob(valueOf(job), connection::wallNow());
    const std::string bar = progressBar(progress.done, progress.total);
    if (bar != shown || finished) {
      const std::string left = finished ? "finished" : describeRemaining(progress) + " left";
      showProgress(fmt::format("{} {}", bar, left), finished);
    }
    shown = bar;
    if (finished) return jobOutput(valueOf(job));
    api.sleep(kFollowInterval);
  }
}

std::variant<JobSubmission, UsageError> readSubmission(const CommandContext& context) {
  JobSubmission submission;
  submission.model = context.text("model");
  if (submission.model.empty()) return UsageError{"give the model with --model"};
  if (submission.model.find_first_of(" &#?%+") != std::string::npos) {
    return UsageError{"a model's name with a space or one of &#?%+ cannot be sent in a query"};
  }
  const Result<std::string> text = readWholeFile(context.text("items"));
  if (!isOk(text)) return UsageError{describe(errorOf(text))};
  submission.parts = splitIntoParts(valueOf(text), PartLimits{});
  if (submission.parts.empty()) return UsageError{context.text("items") + " holds no items"};
  submission.idempotency_key = context.text("idempotency-key");
  if (submission.idempotency_key.empty()) {
    submission.idempotency_key = "ctl-" + sha256Hex(submission.model + "\n" + valueOf(text)).substr(0, kKeyDigits);
  }
  submission.unrepeatable = context.has("unrepeatable");
  if (context.has("deadline")) submission.deadline_ms = context.arguments["deadline"].as<std::uint64_t>() * 1000;
  return submission;
}

CommandResult runSubmit(const CommandContext& context) {
  std::variant<JobSubmission, UsageError> read = readSubmission(context);
  if (const auto* wrong = std::get_if<UsageError>(&read)) return *wrong;
  const JobSubmission& submission = std::get<JobSubmission>(read);
  ApiClient api(context.common);
  JobClient jobs(api);
  const std::size_t parts = submission.parts.size();
  const auto on_part = [parts](std::size_t sent) {
    if (parts >= kPartsOfLongUpload) showProgress("parts sent: " + progressBar(sent, parts), sent == parts);
  };
  const Result<nlohmann::json> job = jobs.submit(submission, on_part);
  if (!isOk(job)) return errorOf(job);
  if (context.has("follow")) return follow(jobs, api, valueOf(job).value("id", ""));
  CommandOutput output = jobOutput(valueOf(job));
  output.json["idempotency_key"] = submission.idempotency_key;
  output.text += fmt::format("  {:<16} {}\n", "idempotency key", submission.idempotency_key);
  return output;
}

CommandResult runStatus(const CommandContext& context) {
  ApiClient api(context.common);
  JobClient jobs(api);
  if (context.has("follow")) return follow(jobs, api, context.text("job"));
  const Result<nlohmann::json> job = jobs.status(context.text("job"));
  if (!isOk(job)) return errorOf(job);
  return jobOutput(valueOf(job));
}

CommandResult runCancel(const CommandContext& context) {
  ApiClient api(context.common);
  JobClient jobs(api);
  const Result<nlohmann::json> job = jobs.cancel(context.text("job"));
  if (!isOk(job)) return errorOf(job);
  return jobOutput(valueOf(job));
}

/// Writes result lines, in the JSON form as the elements of one array.
class ResultWriter {
 public:
  ResultWriter(std::FILE* stream, OutputFormat format) : stream_(stream), format_(format) {
    if (format_ == OutputFormat::kJson) fmt::print(stream_, "{{\"results\":[");
  }

  void write(std::string lines) {
    if (format_ == OutputFormat::kJson) {
      if (!lines.empty()) lines.pop_back();
      std::replace(lines.begin(), lines.end(), '\n', ',');
      if (!lines.empty() && wrote_) lines.insert(lines.begin(), ',');
    }
    wrote_ = wrote_ || !lines.empty();
    std::fwrite(lines.data(), 1, lines.size(), stream_);
  }

  void finish(std::uint32_t next, std::uint32_t total) {
    if (format_ == OutputFormat::kJson) fmt::print(stream_, "],\"next\":{},\"total\":{}}}\n", next, total);
  }

 private:
  std::FILE* stream_;
  OutputFormat format_;
  bool wrote_ = false;
};

CommandResult writeResults(const CommandContext& context, std::FILE* stream) {
  ApiClient api(context.common);
  JobClient jobs(api);
  std::uint32_t next = context.arguments["from"].as<std::uint32_t>();
  std::optional<ResultWriter> writer;
  while (true) {
    const Result<ResultPage> page = jobs.results(context.text("job"), next);
    if (!isOk(page)) return errorOf(page);
    if (!writer) writer.emplace(stream, context.common.output);
    writer->write(valueOf(page).lines);
    const bool end = valueOf(page).next == next || valueOf(page).next >= valueOf(page).total;
    next = valueOf(page).next;
    if (!end) continue;
    writer->finish(next, valueOf(page).total);
    if (next < valueOf(page).total) {
      fmt::print(stderr, "items below {} of {} have ended; go on later with --from {}\n", next, valueOf(page).total,
                 next);
    }
    return CommandOutput{};
  }
}

CommandResult runResults(const CommandContext& context) {
  if (!context.has("file")) return writeResults(context, stdout);
  const std::string path = context.text("file");
  std::FILE* stream = std::fopen(path.c_str(), "wb");
  if (stream == nullptr) return UsageError{"the file " + path + " cannot be written"};
  CommandResult result = writeResults(context, stream);
  const bool whole = std::fclose(stream) == 0;
  if (whole || std::holds_alternative<Error>(result)) return result;
  return Error{ErrorKind::kStorageFailed,
               path + " could not be written whole",
               "free space and run it again",
               Executed::kNo,
               {}};
}

Command makeCommand(const std::string& word, const std::string& description) {
  Command command;
  command.name = "job " + word;
  command.description = description;
  command.server_kind = ServerKind::kGateway;
  command.positional = {"job"};
  command.required = 1;
  return command;
}

Command submitCommand() {
  Command command = makeCommand("submit", "submits a batch job from a file of JSON Lines");
  command.positional = {"items"};
  command.add_options = [](cxxopts::Options& options) {
    options.add_options()("model", "service that runs the items", cxxopts::value<std::string>())(
        "idempotency-key", "names the job; default: made from model and content, so that the same file is the same job",
        cxxopts::value<std::string>())("unrepeatable", "run each item at most once")(
        "deadline", "seconds by which the job should be finished", cxxopts::value<std::uint64_t>())(
        "follow", "show the progress until the job has finished");
  };
  command.run = runSubmit;
  return command;
}

Command statusCommand() {
  Command command = makeCommand("status", "shows how far a job has come");
  command.add_options = [](cxxopts::Options& options) {
    options.add_options()("follow", "show the progress until the job has finished");
  };
  command.run = runStatus;
  return command;
}

Command resultsCommand() {
  Command command = makeCommand("results", "prints the results of a job's ended items as JSON Lines");
  command.add_options = [](cxxopts::Options& options) {
    options.add_options()("from", "index of the first item", cxxopts::value<std::uint32_t>()->default_value("0"))(
        "file", "file to write to; default: standard output", cxxopts::value<std::string>());
  };
  command.run = runResults;
  return command;
}

}  // namespace

std::vector<Command> jobCommands() {
  Command cancel = makeCommand("cancel", "stops a job: items that have not ended end as cancelled");
  cancel.run = runCancel;
  return {submitCommand(), statusCommand(), resultsCommand(), cancel};
}

}  // namespace hatchfork::ctl
