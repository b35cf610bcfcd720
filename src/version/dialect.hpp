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

/// Interface of the platforms that hatchfork runs on, which differ in the names of headers, the paths of calls and the
/// formats of documents. An implementation only translates; it makes no decisions and keeps no state.
namespace hatchfork {

/// Names of the header fields of requests and responses.
struct HeaderNames {
  /// Identifies one attempt of a caller; echoed in the engine's response.
  std::string request_id;
  /// Remaining time of the caller's or the gateway's deadline, in milliseconds.
  std::string remaining_ms;
  /// Engine that the request is sent to; any other engine declines the request.
  std::string expected_engine;
  /// Version of the weights that a caller asks for; an engine with another one declines the request, with the same
  /// status as an engine that is not the expected one.
  std::string expected_weights;
  /// Marks the response of an engine that did not run the request.
  std::string not_executed;
  /// Authenticates a response as sent by the engine itself.
  std::string answer_seal;
  /// "running,waiting,slots" of the responding engine.
  std::string engine_load;
  /// Parts of the prompt as "identifier:tokens", joined by commas.
  std::string prompt_parts;
  /// "prompt tokens,maximum output tokens".
  std::string token_usage;
  /// Last event that the caller received; a resumed stream continues after it.
  std::string last_event_id;
  /// Request whose answer brought the first event of a stream that the caller resumes.
  std::string resumed_request;
  /// Longest time that a read may wait for new data (long polling), in milliseconds.
  std::string wait_ms;
  /// Tenant that the request belongs to, sent to the engine.
  std::string tenant;
};

// Calls of operators and engines to the control plane.
struct PutDocumentCall {};
struct GetDocumentCall {};
struct EngineHeartbeatCall {
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
/// Stops sending requests to the engines of the zone.
struct StartEvacuationCall {
  ZoneId zone;
};
struct EndEvacuationCall {
  ZoneId zone;
};
struct UnknownCall {};
using ControlCall = std::variant<UnknownCall, PutDocumentCall, GetDocumentCall, EngineHeartbeatCall, EngineGoneCall,
                                 StartRetirementCall, GetRetirementCall, StartEvacuationCall, EndEvacuationCall>;

// Calls of job owners to a gateway, other than the submission.
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

/// One page of a job's list of results.
struct ResultsPage {
  std::uint64_t total = 0;
  /// Position at which the next page begins.
  std::uint64_t next = 0;
  std::vector<ItemResult> results;
};

/// Translates between the platform's formats and the program's types. Stateless; may be used on any thread.
class Dialect {
 public:
  virtual ~Dialect() = default;

  virtual const HeaderNames& headers() const = 0;
  /// Path of the readiness check of a gateway.
  virtual std::string_view readinessPath() const = 0;

  /// Parses a complete document of routes; returns `kInvalidArgument` if the document is not valid.
  virtual Result<std::shared_ptr<const RouteTable>> parseRoutes(std::string_view document) const = 0;

  virtual ControlCall controlCall(std::string_view method, std::string_view target) const = 0;
  virtual Result<EngineHeartbeat> parseHeartbeat(const EngineId& engine, std::string_view body) const = 0;
  virtual std::string heartbeatResponse() const = 0;
  virtual std::string retirementAnswer(bool complete) const = 0;

  virtual JobCall jobCall(std::string_view method, std::string_view target) const = 0;
  /// Parses a submission; fills only its identifier and items.
  virtual Result<JobSubmission> parseJob(std::string_view body) const = 0;
  virtual std::string resultsAnswer(const ResultsPage& page) const = 0;
};

}  // namespace hatchfork
