// Tests of standby activation: the bit mask of lost members, and which node starts an activation
// and when.
#include "capacity/activation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <set>

namespace arbutus {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::IsEmpty;

const replica_id r{"r"};
const std::vector<node_id> nodes{node_id{"n0"}, node_id{"n1"}, node_id{"n2"}};

assignment make_row() {
  assignment a;
  a.version = 7;
  replica_plan p;
  p.id = r;
  p.members = {vm_id{"a"}, vm_id{"b"}};
  p.standbys = {vm_id{"s"}, vm_id{"t"}};
  p.fencing_generation = {.row = 3, .step = 0, .lost = 0};
  a.replicas = {p};
  return a;
}

class standby_activation : public ::testing::Test {
 protected:
  standby_activation() { first_.rebase(row_); }
  // The node with this rank in the order in which nodes activate standbys of the replica; rank 0
  // acts immediately.
  static node_id ranked(std::size_t rank) {
    for (const node_id& n : nodes) {
      if (rank_of("activate/" + r.str(), n, nodes) == rank) {
        return n;
      }
    }
    return {};
  }
  activation_context context(bool allowed = true) {
    return {.row = row_,
            .live_nodes = nodes,
            .is_lost = [this](const vm_id& vm) { return lost_.contains(vm); },
            .superseding_mask = [this](const replica_plan&) { return superseding_mask_; },
            .activation_allowed = allowed};
  }
  [[nodiscard]] const replica_plan& plan() const { return row_.replicas.front(); }

  assignment row_ = make_row();
  std::set<vm_id> lost_;
  std::optional<lost_vm_mask> superseding_mask_;
  activation first_{ranked(0)};
  time_point now_{1s};
};

TEST_F(standby_activation, replaces_a_lost_member_by_the_first_standby) {
  EXPECT_THAT(first_.tick(now_, context()), IsEmpty());
  lost_ = {vm_id{"b"}};
  EXPECT_THAT(first_.tick(now_, context()), ElementsAre(r));
  const composition c = first_.composition_in_force(plan());
  EXPECT_EQ(c.fencing_generation, (generation{7, 1, 0b0010}));
  EXPECT_THAT(c.members, ElementsAre(vm_id{"a"}, vm_id{"s"}));
}

TEST_F(standby_activation, skips_standbys_that_are_lost_too) {
  lost_ = {vm_id{"b"}, vm_id{"s"}};
  EXPECT_THAT(first_.tick(now_, context()), ElementsAre(r));
  EXPECT_EQ(first_.composition_in_force(plan()).fencing_generation, (generation{7, 2, 0b0110}));
  EXPECT_THAT(first_.composition_in_force(plan()).members, ElementsAre(vm_id{"a"}, vm_id{"t"}));
}

TEST_F(standby_activation, does_nothing_when_standbys_do_not_suffice) {
  lost_ = {vm_id{"a"}, vm_id{"b"}, vm_id{"t"}};
  EXPECT_THAT(first_.tick(now_, context()), IsEmpty());
  EXPECT_EQ(first_.composition_in_force(plan()), planned_composition(plan()));
}

TEST_F(standby_activation, does_nothing_while_the_table_can_be_written) {
  lost_ = {vm_id{"b"}};
  EXPECT_THAT(first_.tick(now_, context(false)), IsEmpty());
}

// Guards against two nodes repairing a replica in different ways when both detect the loss at the
// same time and neither knows of the other's repair.
TEST_F(standby_activation, others_wait_for_their_rank) {
  activation second{ranked(1)};
  second.rebase(row_);
  lost_ = {vm_id{"b"}};
  EXPECT_THAT(second.tick(now_, context()), IsEmpty());
  EXPECT_EQ(second.next_tick(), now_ + activation_rank_delay);
  EXPECT_THAT(second.tick(now_ + activation_rank_delay - 1ms, context()), IsEmpty());
  EXPECT_THAT(second.tick(now_ + activation_rank_delay, context()), ElementsAre(r));
}

TEST_F(standby_activation, follows_the_greatest_generation_of_this_row) {
  EXPECT_TRUE(first_.adopt(row_, r, {7, 1, 0b0010}));
  EXPECT_FALSE(first_.adopt(row_, r, {7, 1, 0b0001})) << "smaller";
  EXPECT_FALSE(first_.adopt(row_, r, {6, 2, 0b0011})) << "of an older row";
  EXPECT_FALSE(first_.adopt(row_, r, {7, 2, 0b0111})) << "step and mask differ";
  EXPECT_TRUE(first_.adopt(row_, r, {7, 2, 0b0011}));
  EXPECT_THAT(first_.composition_in_force(plan()).members, ElementsAre(vm_id{"s"}, vm_id{"t"}));
}

TEST_F(standby_activation, adds_own_losses_to_what_it_follows) {
  EXPECT_TRUE(first_.adopt(row_, r, {7, 1, 0b0001}));
  lost_ = {vm_id{"b"}};  // VM "a" has returned meanwhile
  EXPECT_THAT(first_.tick(now_, context()), ElementsAre(r));
  EXPECT_EQ(first_.composition_in_force(plan()).fencing_generation, (generation{7, 2, 0b0011}));
}

TEST_F(standby_activation, a_new_row_discards_activations) {
  lost_ = {vm_id{"b"}};
  EXPECT_THAT(first_.tick(now_, context()), ElementsAre(r));
  row_.version = 8;
  first_.rebase(row_);
  EXPECT_EQ(first_.composition_in_force(plan()), planned_composition(plan()));
  EXPECT_FALSE(first_.adopt(row_, r, {7, 1, 0b0010}));
}

// Guards against targets that refuse all orders of the current row. They obey an activation of
// row 6 that the writer of row 7 did not know, so their generation is greater than the row's.
TEST_F(standby_activation, supersedes_an_activation_of_an_older_row) {
  superseding_mask_ = 0b0010;
  EXPECT_THAT(first_.tick(now_, context()), ElementsAre(r));
  EXPECT_EQ(first_.composition_in_force(plan()).fencing_generation, (generation{7, 1, 0b0010}));
}

TEST_F(standby_activation, leaves_draining_replicas_alone) {
  row_.replicas.front().phase = replica_phase::draining;
  lost_ = {vm_id{"b"}};
  EXPECT_THAT(first_.tick(now_, context()), IsEmpty());
}

}  // namespace
}  // namespace arbutus
