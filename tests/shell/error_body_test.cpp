// Tests the error bodies that the HTTP server sends for requests that no handler answered.
#include "node/error_body.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace arbutus {
namespace {

std::string type_of(int status) {
  return nlohmann::json::parse(server_error_body(status, "x"))["error"]["type"];
}

TEST(ErrorBody, AnUnansweredRequestMayHaveRun) {
  // Guards against the answer "not_run" to a request that did run: a caller that sends a complete
  // request and then shuts down its sending side ends the call after it was forwarded.
  EXPECT_EQ(type_of(500), "unknown");
  EXPECT_EQ(type_of(400), "not_run");
  EXPECT_EQ(type_of(413), "not_run");
}

}  // namespace
}  // namespace arbutus
