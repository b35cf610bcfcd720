#include "request/crash/request_fingerprint.hpp"

#include <catch2/catch.hpp>

using namespace hatchfork::request;

TEST_CASE("equal requests have equal fingerprints, and any different part changes the fingerprint", "[crash]") {
  const RequestContent content{"10.0.0.1", "POST", "a.example", "/x/1", "body"};
  const RequestFingerprint first = fingerprintOf(content);
  REQUIRE(first == fingerprintOf({"10.0.0.1", "POST", "a.example", "/x/1", "body"}));
  REQUIRE(first.value.size() == 32);
  REQUIRE(first != fingerprintOf({"10.0.0.2", "POST", "a.example", "/x/1", "body"}));
  REQUIRE(first != fingerprintOf({"10.0.0.1", "GET", "a.example", "/x/1", "body"}));
  REQUIRE(first != fingerprintOf({"10.0.0.1", "POST", "b.example", "/x/1", "body"}));
  REQUIRE(first != fingerprintOf({"10.0.0.1", "POST", "a.example", "/x/2", "body"}));
  REQUIRE(first != fingerprintOf({"10.0.0.1", "POST", "a.example", "/x/1", "Body"}));
}

TEST_CASE("the boundaries between the parts of a request change the fingerprint", "[crash]") {
  REQUIRE(fingerprintOf({"", "POST", "a", "/x", "1y"}) != fingerprintOf({"", "POST", "a", "/x1", "y"}));
}
