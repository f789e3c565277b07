// What the server says of requests that no handler answered.
#include "node/error_body.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace arbutus {
namespace {

std::string type_of(int status) {
  return nlohmann::json::parse(server_error_body(status, "x"))["error"]["type"];
}

TEST(ErrorBody, ARequestThatNobodyAnsweredMayHaveRun) {
  // Symptom: a caller is told that its request did not run, and it had. Sequence: the caller sends
  // a whole request and shuts its sending side; that ends the call after it was passed on. Cause:
  // every error of the server itself was called "not_run", this one too.
  EXPECT_EQ(type_of(500), "unknown");
  EXPECT_EQ(type_of(400), "not_run");
  EXPECT_EQ(type_of(413), "not_run");
}

}  // namespace
}  // namespace arbutus
