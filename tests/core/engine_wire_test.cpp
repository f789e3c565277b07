// Tests the encoding of targets' reports and nodes' orders: round trips, and numbers out of range.
#include "process/engine_wire.h"

#include <gtest/gtest.h>

#include <string>

namespace arbutus {
namespace {

engine_report some_report() {
  engine_report r;
  r.vm = vm_id{"a"};
  r.incarnation = 18446744073709551615ULL;
  r.replica = replica_id{"r"};
  r.fencing_generation = {3, 1, 2};
  r.model_version = "1";
  r.state = engine_state::ready;
  r.leaving = true;
  r.running = 4;
  r.queued = 4294967295U;
  r.slots = 8;
  r.tokens_per_second = 30.5;
  r.kv_used = 0.25;
  return r;
}

order some_order() {
  order o;
  o.kind = order_kind::drain;
  o.vm = vm_id{"a"};
  o.target = {replica_id{"r"}, {3, 1, 2}, {vm_id{"a"}, vm_id{"b"}}};
  o.model = model_id{"m"};
  o.model_version = "1";
  o.expected_incarnation = 7;
  o.validity_period = 1500ms;
  return o;
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from << " not in " << text;
  return text.replace(at, from.size(), to);
}

TEST(engine_wire, reports_and_orders_round_trip) {
  EXPECT_TRUE(std::get<engine_report>(decode_report(encode(some_report()))) == some_report());
  const order decoded = std::get<order>(decode_order(encode(some_order())));
  EXPECT_EQ(encode(decoded), encode(some_order()));
  EXPECT_TRUE(decoded.target == some_order().target);
  EXPECT_EQ(decoded.validity_period, 1500ms);
}

// Guards against a broken target that looks idle and attracts all requests: it reports a number
// that does not fit the field, and the conversion truncates it or is undefined.
TEST(engine_wire, numbers_that_do_not_fit_are_refused) {
  const std::string report = encode(some_report());
  for (const std::string number : {"-20.5", "-1", "4.0", "1e30", "4294967296", "\"4\"", "null"}) {
    EXPECT_FALSE(is_ok(decode_report(replaced(report, "\"run\":4", "\"run\":" + number))))
        << number;
  }
  EXPECT_FALSE(is_ok(decode_report(replaced(report, "\"st\":2", "\"st\":5"))));
  EXPECT_FALSE(is_ok(decode_report(replaced(report, "\"st\":2", "\"st\":4294967296"))));
  const std::string text = encode(some_order());
  EXPECT_FALSE(is_ok(decode_order(replaced(text, "\"inc\":7", "\"inc\":-7"))));
  EXPECT_FALSE(is_ok(decode_order(replaced(text, "1500000", "1.5e300"))));
}

TEST(engine_wire, every_truncation_is_refused) {
  const std::string report = encode(some_report());
  for (std::size_t length = 0; length < report.size(); ++length) {
    EXPECT_FALSE(is_ok(decode_report(report.substr(0, length)))) << length;
  }
}

// Guards against the promise "not run" by an error of an engine that does not state it.
TEST(engine_wire, only_the_statement_itself_says_not_run) {
  EXPECT_TRUE(states_not_run(R"({"error":{"type":"not_run","message":"queue full"}})"));
  for (const std::string body :
       {"", "not_run", "\"not_run\"", "[]", "{}", R"({"type":"not_run"})", R"({"error":"not_run"})",
        R"({"error":{}})", R"({"error":{"type":"unknown"}})", R"({"error":{"type":["not_run"]}})",
        R"({"error":{"type":"not_run"})"}) {
    EXPECT_FALSE(states_not_run(body)) << body;
  }
}

}  // namespace
}  // namespace arbutus
