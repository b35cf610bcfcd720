#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/result.hpp"
#include "version/batch_submission.hpp"
#include "version/engine_record.hpp"
#include "version/route_table.hpp"

/// What differs between the platforms that hatchfork runs on: names of headers, paths of calls and formats of
/// documents. An implementation only translates; it decides nothing and keeps no state.
namespace hatchfork {

/// Names of the header fields of requests and answers.
struct HeaderNames {
  /// Identifies one try of a caller; echoed in the engine's answer.
  std::string request_id;
  /// Milliseconds that the caller or the gateway will still wait.
  std::string remaining_ms;
  /// The engine that a request is meant for; any other declines it.
  std::string expected_engine;
  /// Marks an engine's answer to a request that it did not run.
  std::string not_executed;
  /// Proves that an answer is an engine's own.
  std::string answer_seal;
  /// "running,waiting,slots" of the answering engine.
  std::string engine_load;
  /// Parts of the prompt as "identifier:tokens", joined by commas.
  std::string prompt_parts;
  /// "prompt tokens,most tokens out".
  std::string token_usage;
  /// Event after which a stream goes on.
  std::string last_event_id;
  /// How long a read may be held.
  std::string wait_ms;
  /// Tells an engine which tenant a request belongs to.
  std::string tenant;
};

// Calls of operators and engines to the control plane.
struct PutDocumentCall {};
struct GetDocumentCall {};
struct EngineBeatCall {
  EngineId engine;
};
struct EngineGoneCall {
  EngineId engine;
};
struct StartRetirementCall {
  std::string node;
};
struct GetRetirementCall {
  std::string node;
};
/// Nothing more is to be sent to the engines of the zone.
struct StartEvacuationCall {
  ZoneId zone;
};
struct EndEvacuationCall {
  ZoneId zone;
};
struct UnknownCall {};
using ControlCall = std::variant<UnknownCall, PutDocumentCall, GetDocumentCall, EngineBeatCall, EngineGoneCall,
                                 StartRetirementCall, GetRetirementCall, StartEvacuationCall, EndEvacuationCall>;

// Calls of job owners to a gateway, besides the submission.
struct ReadResultsCall {
  JobId job;
  std::uint64_t from = 0;
};
struct ReadItemCall {
  JobId job;
  std::string item;
};
struct EndJobCall {
  JobId job;
};
using JobCall = std::variant<UnknownCall, ReadResultsCall, ReadItemCall, EndJobCall>;

/// Part of a job's list of results.
struct ResultsPage {
  std::uint64_t total = 0;
  std::uint64_t next = 0;
  std::vector<ItemResult> results;
};

/// Stateless; may be used on any thread.
class Dialect {
 public:
  virtual ~Dialect() = default;

  virtual const HeaderNames& headers() const = 0;
  /// Path that tells whether a gateway is ready.
  virtual std::string_view readinessPath() const = 0;

  /// Reads a whole document of routes; `kInvalidArgument` for a document that is not valid.
  virtual Result<std::shared_ptr<const RouteTable>> parseRoutes(std::string_view document) const = 0;

  virtual ControlCall controlCall(std::string_view method, std::string_view target) const = 0;
  virtual Result<EngineBeat> parseBeat(const EngineId& engine, std::string_view body) const = 0;
  virtual std::string beatAnswer() const = 0;
  virtual std::string retirementAnswer(bool complete) const = 0;

  virtual JobCall jobCall(std::string_view method, std::string_view target) const = 0;
  /// Fills identifier and items of a submission.
  virtual Result<JobSubmission> parseJob(std::string_view body) const = 0;
  virtual std::string resultsAnswer(const ResultsPage& page) const = 0;
};

}  // namespace hatchfork
