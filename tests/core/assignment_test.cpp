// Tests the assignment row: fencing generations, standby activations while the table is
// unavailable, invariants, encoding.
#include "version/assignment.h"

#include <gtest/gtest.h>

#include <bit>
#include <map>

#include "base/rng.h"

namespace arbutus {
namespace {

replica_plan make_replica(const std::string& name, std::size_t members, std::size_t standbys) {
  replica_plan r;
  r.id = replica_id{name};
  r.model = model_id{"llm"};
  r.model_version = "v1";
  for (std::size_t i = 0; i < members; ++i) {
    r.members.emplace_back(name + "-m" + std::to_string(i));
  }
  for (std::size_t i = 0; i < standbys; ++i) {
    r.standbys.emplace_back(name + "-s" + std::to_string(i));
  }
  r.fencing_generation = {3, 0, 0};
  return r;
}

assignment make_row() {
  assignment a;
  a.data_centre = data_centre_id{"hall-a"};
  a.version = 7;
  a.config_version = 18446744073709551615ULL;
  a.proposal = proposal_id{"p-1"};
  a.replicas = {make_replica("r1", 3, 2), make_replica("r2", 16, 0)};
  a.replicas[0].phase = replica_phase::draining;
  a.replicas[0].crosses_fabric_domains = true;
  a.replicas[1].fencing_generation = {6, 2, 0x80000001U};
  a.withdrawals = {{vm_id{"w1"}, replica_id{"r2"}, 7}};
  return a;
}

TEST(generation, text_round_trip) {
  const generation g{18446744073709551615ULL, 4294967295U, 0x80000001U};
  EXPECT_EQ(to_string(g), "18446744073709551615.4294967295.2147483649");
  EXPECT_EQ(parse_generation(to_string(g)), g);
  EXPECT_EQ(parse_generation("0.0.0"), generation{});
}

TEST(generation, refuses_other_spellings) {
  for (const char* text : {"", "1", "1.2", "1.2.", ".1.2", "1..2", "1.2.3.4", " 1.2.3", "1.2.3 ",
                           "+1.2.3", "-1.2.3", "01.2.3", "1.2.4294967296", "1.4294967296.0",
                           "18446744073709551616.0.0", "a.b.c", "1,2,3"}) {
    EXPECT_EQ(parse_generation(text), std::nullopt) << text;
  }
}

TEST(generation, order_is_row_then_step_then_lost) {
  EXPECT_LT((generation{1, 9, 9}), (generation{2, 0, 0}));
  EXPECT_LT((generation{2, 1, 8}), (generation{2, 2, 3}));
  EXPECT_LT((generation{2, 1, 4}), (generation{2, 1, 8}));
}

TEST(activate, replaces_in_place_by_first_usable_standby) {
  const replica_plan r = make_replica("r", 3, 2);
  const auto c = activate(r, 5, 0b01010);  // member 1 and standby 0 are lost
  ASSERT_TRUE(c);
  EXPECT_EQ(c->fencing_generation, (generation{5, 2, 0b01010}));
  EXPECT_EQ(c->members, (std::vector{r.members[0], r.standbys[1], r.members[2]}));
}

TEST(activate, nothing_lost_is_the_planned_composition) {
  const replica_plan r = make_replica("r", 3, 2);
  EXPECT_EQ(activate(r, 5, 0), planned_composition(r));
}

TEST(activate, refuses_what_it_cannot_do) {
  const replica_plan r = make_replica("r", 3, 1);
  EXPECT_FALSE(activate(r, 5, 0b0011));   // two members lost, but only one standby
  EXPECT_FALSE(activate(r, 5, 0b1001));   // the standby is lost, too
  EXPECT_FALSE(activate(r, 5, 0b10000));  // the mask names a position that no member or standby has
  EXPECT_FALSE(activate(r, 2, 0b0001));   // the row is older than the composition
  EXPECT_FALSE(activate(make_replica("r", 16, 17), 5, 1));
}

// Guards against a composition of a replica that depends on anything besides the row and the mask
// of lost VMs. Nodes that see different losses, or the same ones in another order, while the table
// is unavailable would then form different compositions under one token, and the targets, which
// compare tokens only, would obey both.
TEST(activate, equal_generations_mean_equal_compositions) {
  for (const std::size_t standbys : {0U, 1U, 3U}) {
    const replica_plan r = make_replica("r", 4, standbys);
    std::map<generation, std::vector<vm_id>> seen;
    for (lost_vm_mask lost = 0; lost < (1U << (4 + standbys)); ++lost) {
      const auto c = activate(r, 9, lost);
      if (!c) {
        continue;
      }
      EXPECT_EQ(c, activate(r, 9, lost));
      EXPECT_TRUE(seen.emplace(c->fencing_generation, c->members).second) << "token used twice";
      EXPECT_EQ(c->fencing_generation.step, static_cast<std::uint32_t>(std::popcount(lost)));
      for (std::size_t i = 0; i < 4; ++i) {
        const bool kept = (lost >> i & 1U) == 0;
        EXPECT_EQ(kept, c->members[i] == r.members[i]);
      }
    }
  }
}

TEST(activate, serves_all_thirty_two_positions) {
  const replica_plan r = make_replica("r", 16, 16);
  const auto c = activate(r, 4, 0x0000ffffU);
  ASSERT_TRUE(c);
  EXPECT_EQ(c->members, r.standbys);
}

TEST(invariants, valid_row_has_no_violation) {
  EXPECT_TRUE(check_invariants(make_row()).empty());
}

// Guards against a row that lists a VM twice: two replicas would be formed on it.
TEST(invariants, one_vm_in_two_places_is_a_violation) {
  const auto broken = [](auto change) {
    assignment a = make_row();
    change(a);
    return check_invariants(a).size();
  };
  EXPECT_EQ(broken([](assignment& a) { a.replicas[1].members[0] = a.replicas[0].members[0]; }), 1U);
  EXPECT_EQ(broken([](assignment& a) { a.replicas[1].members[0] = a.replicas[0].standbys[1]; }),
            1U);
  EXPECT_EQ(broken([](assignment& a) { a.replicas[0].members[1] = a.replicas[0].members[0]; }), 1U);
  EXPECT_EQ(broken([](assignment& a) { a.withdrawals[0].vm = a.replicas[0].standbys[0]; }), 1U);
  EXPECT_EQ(broken([](assignment& a) { a.withdrawals.push_back(a.withdrawals[0]); }), 1U);
}

TEST(invariants, other_violations) {
  const auto broken = [](auto change) {
    assignment a = make_row();
    change(a);
    return !check_invariants(a).empty();
  };
  EXPECT_TRUE(broken([](assignment& a) { a.replicas[1].id = a.replicas[0].id; }));
  EXPECT_TRUE(broken([](assignment& a) { a.replicas[0].members.clear(); }));
  EXPECT_TRUE(broken([](assignment& a) { a.replicas[0].fencing_generation.row = a.version + 1; }));
  EXPECT_TRUE(broken([](assignment& a) { a.replicas[1].fencing_generation.step = 1; }));
  EXPECT_TRUE(broken([](assignment& a) { a.withdrawals[0].since = a.version + 1; }));
  EXPECT_TRUE(broken([](assignment& a) { a.replicas[0] = make_replica("r9", 16, 17); }));
  EXPECT_TRUE(broken([](assignment& a) { a.replicas[0].standbys[0] = vm_id{}; }));
}

TEST(assignment_codec, round_trip) {
  const assignment a = make_row();
  const auto back = decode_assignment(encode(a));
  ASSERT_TRUE(is_ok(back));
  EXPECT_EQ(std::get<assignment>(back), a);
}

TEST(assignment_codec, empty_row_round_trip) {
  const auto back = decode_assignment(encode(assignment{}));
  ASSERT_TRUE(is_ok(back));
  EXPECT_EQ(std::get<assignment>(back), assignment{});
}

// Guards against a node that applies a part of a row, or crashes, when the bytes were truncated in
// transfer.
TEST(assignment_codec, refuses_truncated_bytes) {
  const std::string bytes = encode(make_row());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_FALSE(is_ok(decode_assignment(bytes.substr(0, length)))) << length;
  }
  EXPECT_FALSE(is_ok(decode_assignment(bytes + '\0')));
}

// Guards against a node that crashes or accepts an invalid row when bits were flipped. Bytes that
// still decode must be a valid row.
TEST(assignment_codec, survives_damaged_bytes) {
  const std::string bytes = encode(make_row());
  rng random(11);
  int refusals = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = bytes;
    for (std::uint64_t flips = 1 + random.below(3); flips > 0; --flips) {
      damaged[random.below(damaged.size())] ^= static_cast<char>(1U << random.below(8));
    }
    const auto back = decode_assignment(damaged);
    if (const auto* a = std::get_if<assignment>(&back)) {
      EXPECT_TRUE(check_invariants(*a).empty());
    } else {
      ++refusals;
    }
  }
  EXPECT_GT(refusals, 1000);
}

// Guards against a stack overflow: the parser recurses once per level, and each byte of this row
// opens one more list.
TEST(assignment_codec, refuses_deep_nesting) {
  EXPECT_FALSE(is_ok(decode_assignment(std::string(4'000'000, '\x91'))));
}

TEST(assignment_codec, refuses_a_row_with_a_vm_in_two_places) {
  assignment a = make_row();
  a.replicas[1].members[0] = a.replicas[0].members[0];
  EXPECT_FALSE(is_ok(decode_assignment(encode(a))));
}

}  // namespace
}  // namespace arbutus
