// Tests what makes two requests the same one.
#include "request/request_fingerprint.h"

#include <gtest/gtest.h>

#include <set>

namespace arbutus {
namespace {

const workspace_id desk{"desk"};
const model_id model{"m"};
const model_id other_model{"n"};
const model_id no_model;

TEST(RequestFingerprint, RepetitionsAreTheSameRequest) {
  const request_content content{"POST", "a.example", "/card/1?x=1", model, "body"};
  EXPECT_EQ(fingerprint_of(desk, content), fingerprint_of(desk, content));
}

// Guards against a sound request that is refused since one with the same path and body, but for
// another service or with another method, ends its targets.
TEST(RequestFingerprint, RequestsThatDifferInOnePartAreOthers) {
  std::set<request_fingerprint> all;
  all.insert(fingerprint_of(desk, {"POST", "a.example", "/card/1", model, "body"}));
  all.insert(fingerprint_of(desk, {"GET", "a.example", "/card/1", model, "body"}));
  all.insert(fingerprint_of(desk, {"POST", "b.example", "/card/1", model, "body"}));
  all.insert(fingerprint_of(desk, {"POST", "a.example", "/card/2", model, "body"}));
  all.insert(fingerprint_of(desk, {"POST", "a.example", "/card/1", other_model, "body"}));
  all.insert(fingerprint_of(desk, {"POST", "a.example", "/card/1", model, ""}));
  all.insert(
      fingerprint_of(workspace_id{"night"}, {"POST", "a.example", "/card/1", model, "body"}));
  EXPECT_EQ(all.size(), 7U);
}

// Guards against parts that run into each other.
TEST(RequestFingerprint, PartsDoNotRunTogether) {
  EXPECT_NE(fingerprint_of(desk, {"POST", "a.example", "/card/1", model, "body"}),
            fingerprint_of(desk, {"POST", "a.example/card", "/1", model, "body"}));
  EXPECT_NE(fingerprint_of(desk, {"POST", "a.example", "/card/1", no_model, "mbody"}),
            fingerprint_of(desk, {"POST", "a.example", "/card/1", model, "body"}));
}

}  // namespace
}  // namespace arbutus
