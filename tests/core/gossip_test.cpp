// Tests the encoding of gossip messages between nodes: no field is lost, no observation becomes
// newer, damaged messages are refused, and heartbeats stay small.
#include "process/gossip.h"

#include <gtest/gtest.h>

#include "base/rng.h"

namespace arbutus {
namespace {

engine_report report(int i) {
  engine_report r;
  r.vm = vm_id{"vm" + std::to_string(i)};
  r.incarnation = 0x12345678U + static_cast<unsigned>(i);
  r.replica = replica_id{"dispatch-llm-3"};
  r.fencing_generation = {41, 2, 5};
  r.model_version = "2026-03";
  r.state = engine_state::ready;
  r.slots = 16;
  r.running = 7;
  r.queued = 3;
  return r;
}

heartbeat idle_heartbeat() {
  heartbeat h;
  h.from = node_id{"hall-a-1"};
  h.stamp = {0x7a3b19c2, 86'400, 86'399, 412ms, 0x19c2};
  h.config_version = 7'600;
  h.assignment_version = 1'234;
  h.table_reachable = true;
  h.informed = true;
  return h;
}

heartbeat full_heartbeat() {
  heartbeat h = idle_heartbeat();
  h.config_hash = "00112233445566778899aabbccddeeff";
  h.draining = true;
  h.unresponsive = {node_id{"hall-a-2"}};
  h.observations.push_back({4, 800ms, report(4), std::nullopt});
  h.observations.push_back({5, 16ms, std::nullopt, std::nullopt});
  h.observations.push_back({200, 1600ms, std::nullopt, target_load{1, 2, 3, 255}});
  h.failures.push_back({vm_id{"vm9"}, 400ms, 77, 2});
  h.activations.push_back({replica_id{"r"}, {9, 1, 1}, {vm_id{"a"}, vm_id{"b"}}});
  h.usage.push_back({workspace_id{"odtok"}, 12.25});
  h.draining_replicas_in_use.push_back(replica_id{"dispatch-llm/1"});
  return h;
}

std::vector<gossip_message> one_of_each() {
  const config_head head{9, "beef", {proposal_id{"p9"}, proposal_id{"p8"}}};
  return {idle_heartbeat(),
          full_heartbeat(),
          config_request{"beef", "cafe"},
          config_content{head, "cafe", 100, 20, std::string("\x00\xff\x80 bytes", 10)},
          assignment_push{std::string("\xff\x00row", 5)},
          lost_notice{idle_heartbeat().stamp, {vm_id{"vm9"}, 400ms, 77, 2}},
          leaving_notice{vm_id{"vm1"}, 5},
          summary{idle_heartbeat().stamp,
                  data_centre_id{"hall-b"},
                  7,
                  "beef",
                  {{model_id{"m"}, 40, 120ms}}}};
}

gossip_message decoded(const std::string& bytes) {
  const auto result = decode_gossip(node_id{"hall-a-1"}, bytes);
  EXPECT_TRUE(is_ok(result));
  return is_ok(result) ? std::get<gossip_message>(result) : gossip_message{};
}

TEST(Gossip, RoundTrips) {
  for (const gossip_message& m : one_of_each()) {
    EXPECT_EQ(decoded(encode(m)), m) << "kind " << m.index();
  }
}

TEST(Gossip, RoundingNeverMakesAnythingFresher) {
  heartbeat h = idle_heartbeat();
  h.stamp.echo_hold_time = 411'999us;
  h.observations.push_back({1, 801'001us, std::nullopt, std::nullopt});
  h.observations.push_back({2, -5s, std::nullopt, std::nullopt});
  const auto back = std::get<heartbeat>(decoded(encode(h)));
  EXPECT_LE(back.stamp.echo_hold_time, h.stamp.echo_hold_time);
  EXPECT_GE(back.observations.at(0).age, h.observations.at(0).age);
  EXPECT_LE(back.observations.at(0).age, 810ms);
  EXPECT_EQ(back.observations.at(1).age, duration::zero());
}

TEST(Gossip, LoadIsQuantised) {
  engine_report r = report(1);
  r.running = 300;
  r.kv_used = 0.456;
  r.tokens_per_second = 33.0;
  engine_report shown = report(1);
  apply(quantise_load(r), shown);
  EXPECT_EQ(shown.running, 255U);
  EXPECT_NEAR(shown.kv_used, 0.456, 0.005);
  EXPECT_NEAR(shown.tokens_per_second, 33.0, 33.0 * 0.045);
  EXPECT_EQ(quantise_load(shown), quantise_load(r));
}

// Guards against heartbeats that exceed the limit on control traffic, of which they are nearly all.
TEST(Gossip, HeartbeatsAreSmall) {
  EXPECT_LT(encode(gossip_message{idle_heartbeat()}).size(), 40U);
  heartbeat busy = idle_heartbeat();
  for (std::uint32_t slot = 0; slot < 8; ++slot) {
    busy.observations.push_back({slot, 120ms * slot, std::nullopt, target_load{7, 130, 55, 71}});
  }
  EXPECT_LT(encode(gossip_message{busy}).size(), 110U);
}

// Guards against a crash or invalid state after truncated or altered bytes, if the decoder does not
// check lengths, types or enumerators.
TEST(Gossip, DamageIsRefusedNotThrown) {
  rng random(7);
  for (const gossip_message& m : one_of_each()) {
    const std::string whole = encode(m);
    for (std::size_t size = 0; size < whole.size() && size < 20; ++size) {
      EXPECT_FALSE(is_ok(decode_gossip(node_id{"x"}, whole.substr(0, size))));
    }
    for (int round = 0; round < 4000; ++round) {
      std::string bytes = whole;
      for (std::uint64_t changes = 1 + random.below(4); changes > 0; --changes) {
        bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
      }
      const auto result = decode_gossip(node_id{"x"}, bytes);
      EXPECT_FALSE(std::holds_alternative<unknown>(result));
    }
  }
}

// Guards against a stack overflow: the library's reader recurses for each nested array, and a peer
// may send a megabyte of array headers.
TEST(Gossip, DeepNestingIsRefused) {
  EXPECT_FALSE(is_ok(decode_gossip(node_id{"x"}, std::string(1 << 20, '\x91'))));
  std::string maps;
  for (int i = 0; i < 1 << 19; ++i) {
    maps += "\x81\x01";
  }
  EXPECT_FALSE(is_ok(decode_gossip(node_id{"x"}, maps)));
}

TEST(Gossip, NegativeAndHugeNumbersAreRefused) {
  std::string bytes = encode(gossip_message{config_content{{9, "h", {}}, "", 1, 2, "x"}});
  ASSERT_TRUE(is_ok(decode_gossip(node_id{"x"}, bytes)));
  bytes[2] = '\xff';  // -1 as the version of the message format
  EXPECT_FALSE(is_ok(decode_gossip(node_id{"x"}, bytes)));
}

}  // namespace
}  // namespace arbutus
