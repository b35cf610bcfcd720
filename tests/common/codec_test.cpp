#include "common/codec.hpp"

#include <catch2/catch.hpp>

#include "common/json_bounds.hpp"
#include "process/control/control_messages.hpp"

namespace hatchfork {
namespace {

TEST_CASE("a control request survives encoding", "[codec]") {
  control::LeaseItemsRequest request;
  request.gateway = GatewayId("gateway-1");
  request.session = 7;
  request.wanted = {control::WantedItems{ServiceId("timesheet"), 20}};
  const std::string bytes = encodeTagged(control::ControlRequest(request));
  const Result<control::ControlRequest> decoded = decodeTagged<control::ControlRequest>(bytes);
  REQUIRE(isOk(decoded));
  const auto& back = std::get<control::LeaseItemsRequest>(valueOf(decoded));
  CHECK(back.gateway == request.gateway);
  CHECK(back.session == 7);
  CHECK(back.wanted == request.wanted);
}

TEST_CASE("unknown kinds, wrong types and truncated bytes are protocol errors", "[codec]") {
  const std::string unknown = encodeCbor(nlohmann::json{{"k", "no_such_kind"}, {"b", nlohmann::json::object()}});
  const std::string wrong_type = encodeCbor(nlohmann::json{{"k", "get_job"}, {"b", {{"job", 5}}}});
  const std::string whole = encodeTagged(control::ControlRequest(control::GetJobRequest{}));
  for (const std::string& bytes : {unknown, wrong_type, whole.substr(0, whole.size() - 1), std::string()}) {
    const Result<control::ControlRequest> decoded = decodeTagged<control::ControlRequest>(bytes);
    REQUIRE_FALSE(isOk(decoded));
    CHECK(errorOf(decoded).kind == ErrorKind::kProtocol);
  }
}

// Guards against bodies within all limits of length whose trees take more memory than the process has.
TEST_CASE("JSON text of too many values, or of too many in one another, is refused without building its tree",
          "[codec]") {
  const std::string deep = std::string(2u << 20, '[') + std::string(2u << 20, ']');
  std::string long_list = "[1";
  while (long_list.size() < (4u << 20)) long_list += ",1";
  long_list += "]";
  for (const std::string& text : {deep, long_list, deep.substr(0, 3u << 20)}) {
    const Result<nlohmann::json> parsed = parseJsonText(text);
    REQUIRE_FALSE(isOk(parsed));
    CHECK(errorOf(parsed).kind == ErrorKind::kInvalidArgument);
  }
}

TEST_CASE("JSON text with brackets and quotes in its strings, and of an ordinary depth, is parsed", "[codec]") {
  const std::string text = R"({"a\\":"[[[\"[{,,","b":[)" + std::string(90, '[') + std::string(90, ']') + R"(,"\\"]})";
  const Result<nlohmann::json> parsed = parseJsonText(text);
  REQUIRE(isOk(parsed));
  CHECK(valueOf(parsed).at("b").at(1) == "\\");
  std::string brackets = "\"";
  for (std::size_t i = 0; i < 2 * kMaxJsonValues; ++i) brackets += "[,";
  REQUIRE(isOk(parseJsonText(brackets + "\"")));
}

TEST_CASE("an error survives encoding with its promise and its retry time", "[codec]") {
  const Error error{ErrorKind::kOverloaded, "full", "retry", Executed::kNo, fromMillis(250)};
  const Error back = nlohmann::json(error).get<Error>();
  CHECK(back.kind == ErrorKind::kOverloaded);
  CHECK(back.executed == Executed::kNo);
  CHECK(back.retry_after == fromMillis(250));
}

}  // namespace
}  // namespace hatchfork
