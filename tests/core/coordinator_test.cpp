// A few coordinators together, and each fault that the system has to bear, alone and in pairs.
// Invariants are checked by the fake world after every step.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "fake_world.h"
#include "process/row_keeper.h"

namespace arbutus::testing {
namespace {

using ::testing::IsEmpty;
using ::testing::Not;

// Long enough for the nodes to agree, order, load and be observed.
constexpr duration patience = 30s;

// A world whose replicas all serve and whose row is at rest.
class coordination : public ::testing::Test {
 protected:
  void bring_up(world_options o = {}) {
    world_.emplace(o);
    replicas_ = o.replicas;
    ASSERT_TRUE(world_->run_until([&] { return world_->all_serve(replicas_); }, patience));
    world_->run_for(3s);
    row_ = world_->row_in_table();
    ASSERT_EQ(row_.replicas.size(), replicas_);
    for (const replica_plan& r : row_.replicas) {
      ASSERT_EQ(r.standbys.size(), o.standbys_per_replica);
    }
  }
  void TearDown() override { EXPECT_THAT(world_->violations, IsEmpty()); }

  [[nodiscard]] bool all_serve() const { return world_->all_serve(replicas_); }
  [[nodiscard]] bool serve_within(duration d) {
    return world_->run_until([&] { return all_serve(); }, d);
  }
  [[nodiscard]] duration time_until(const std::function<bool()>& condition) {
    const time_point start = world_->now();
    EXPECT_TRUE(world_->run_until(condition, patience));
    return world_->now() - start;
  }
  [[nodiscard]] duration time_to_no_route(const replica_id& id) {
    return time_until([&] { return !world_->routed_anywhere(id); });
  }
  // Loses a route, then has all again.
  [[nodiscard]] bool recovers(duration d = patience) {
    return world_->run_until([&] { return !all_serve(); }, 5s) && serve_within(d);
  }
  [[nodiscard]] std::uint64_t activations() {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < world_->node_count(); ++i) {
      sum += world_->node(i).status(world_->now()).counters.activations;
    }
    return sum;
  }

  std::optional<fake_world> world_;
  std::size_t replicas_{};
  assignment row_;  // at rest
};

TEST_F(coordination, brings_replicas_up_from_nothing) {
  bring_up();
  EXPECT_EQ(world_->table.writes_refused, 0U);
}

TEST_F(coordination, leaves_the_row_alone_at_rest) {
  bring_up();
  world_->run_for(60s);
  EXPECT_EQ(world_->row_in_table(), row_);
}

// Symptom: requests are sent to a replica that lacks a machine and never come back.
// Sequence: a member goes dark; no connection is refused, probes just get no answer.
// Cause: nothing tells the nodes; only the age of their evidence can.
TEST_F(coordination, member_dies) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  world_->kill(r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 2500ms);
  EXPECT_TRUE(serve_within(patience));
  EXPECT_EQ(activations(), 0U);
}

// Symptom: one dead machine keeps a replica dark for as long as the table is out.
// Sequence: the table goes down, then a member dies; later the table comes back.
// Cause: a new composition seems to need a row, which cannot be written.
TEST_F(coordination, member_dies_while_the_table_is_down) {
  bring_up();
  world_->table.up = false;
  world_->run_for(5s);
  const replica_plan& r = row_.replicas.front();
  world_->kill(r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 2500ms);
  EXPECT_TRUE(serve_within(patience));
  EXPECT_GT(activations(), 0U);

  // When the table is back, the row takes over what serves, without disturbing it.
  world_->table.up = true;
  const bool entered = world_->run_until(
      [&] {
        const assignment now = world_->row_in_table();
        return now.version > row_.version && now.find(r.id)->members != r.members;
      },
      patience);
  EXPECT_TRUE(entered);
  EXPECT_TRUE(all_serve());
  world_->run_for(5s);
  EXPECT_TRUE(all_serve());
}

// Symptom: a machine that was thought dead works for its replica again, beside its successor.
// Sequence: table down, a member is cut off and replaced by a standby, the member comes back.
// Cause: nobody could tell the member that it was replaced.
TEST_F(coordination, replaced_member_returns) {
  bring_up();
  world_->table.up = false;
  world_->run_for(5s);
  const replica_plan& r = row_.replicas.front();
  const vm_id gone = r.members.back();
  for (std::size_t i = 0; i < world_->node_count(); ++i) {
    world_->cut_target(i, gone);
  }
  EXPECT_TRUE(recovers());
  for (std::size_t i = 0; i < world_->node_count(); ++i) {
    world_->cut_target(i, gone, false);
  }
  EXPECT_TRUE(
      world_->run_until([&] { return world_->engine(gone).report.replica.empty(); }, patience));
  EXPECT_TRUE(all_serve());
}

// Symptom: a replica serves with a member whose memory is gone.
// Sequence: an engine process restarts between two probes and answers the next one.
// Cause: the VM never looked dead.
TEST_F(coordination, member_restarts_between_probes) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  world_->restart(r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 2500ms);
  EXPECT_TRUE(serve_within(patience));
}

// Symptom: requests pile up at a replica that stands still.
// Sequence: a member is paused for ten seconds and then goes on as if nothing had happened.
// Cause: it did not die, so nothing it holds was cleared.
TEST_F(coordination, member_pauses) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  world_->pause(r.members.front(), 10s);
  EXPECT_LT(time_to_no_route(r.id), 2500ms);
  world_->run_for(12s);
  EXPECT_TRUE(serve_within(patience));
}

// Symptom: a standby is used up for a member that works.
// Sequence: as below, while the table is down.
// Cause: a suspect is not lost.
TEST_F(coordination, hiccup_of_a_member_activates_nothing) {
  bring_up();
  world_->table.up = false;
  world_->run_for(5s);
  world_->pause(row_.replicas.front().members.front(), 1200ms);
  world_->run_for(10s);
  EXPECT_EQ(activations(), 0U);
  EXPECT_TRUE(all_serve());
}

// Symptom: whole replicas are moved because one probe took long.
// Sequence: a member stands still for less than a second.
// Cause: a straggler is not a loss.
TEST_F(coordination, hiccup_of_a_member_changes_no_row) {
  bring_up();
  world_->pause(row_.replicas.front().members.front(), 600ms);
  world_->run_for(10s);
  EXPECT_EQ(world_->row_in_table(), row_);
  EXPECT_TRUE(all_serve());
}

// Symptom: all replicas of a rack stay down although another rack has room.
// Sequence: every VM of one fabric domain goes dark at once.
// Cause: losses found one by one would be planned one by one.
TEST_F(coordination, fabric_domain_goes_dark) {
  bring_up({.vms = 8, .standbys_per_replica = 0, .spare_vms = 2});
  for (std::size_t i = 0; i < 4; ++i) {
    world_->kill(world_->vms()[i]);
  }
  EXPECT_TRUE(recovers());
}

// Symptom: a node that is cut off goes on sending to a replica that was taken apart.
// Sequence: a node loses peers, table and targets; meanwhile a member dies and is replaced.
// Cause: the node hears nothing, so nothing tells it to stop.
TEST_F(coordination, node_is_cut_off) {
  bring_up();
  world_->isolate(0);
  world_->cut_table(0);
  world_->cut_targets(0);
  world_->run_for(2500ms);
  EXPECT_THAT(world_->usable_routes(0), IsEmpty());
  const replica_plan& r = row_.replicas.front();
  world_->kill(r.members.back());
  world_->run_for(20s);
  EXPECT_THAT(world_->usable_routes(1).size(), replicas_);
  EXPECT_THAT(world_->usable_routes(2).size(), replicas_);
  world_->isolate(0, false);
  world_->cut_table(0, false);
  world_->cut_targets(0, false);
  EXPECT_TRUE(serve_within(patience));
}

// Symptom: a node that sees no target takes every replica apart.
// Sequence: a node loses its peers and its targets but not the table.
// Cause: its plan is right for what it sees, and the table accepts its write.
TEST_F(coordination, blind_node_with_the_table_proposes_nothing) {
  bring_up();
  world_->isolate(0);
  world_->cut_targets(0);
  world_->run_for(20s);
  EXPECT_EQ(world_->row_in_table(), row_);
}

// Symptom: a replica that serves is taken apart.
// Sequence: a node loses its peers and one member, but not the table.
// Cause: as above; here most targets are in sight.
TEST_F(coordination, node_without_a_majority_waits) {
  bring_up();
  world_->isolate(0);
  world_->cut_target(0, row_.replicas.front().members.back());
  world_->run_for(9s);
  EXPECT_EQ(world_->row_in_table(), row_);
}

// Symptom: a data centre whose entry VMs mostly died repairs nothing any more.
// Sequence: two of three nodes die, then a member.
// Cause: the last one waits for a majority that is gone.
TEST_F(coordination, last_node_goes_on_with_the_table) {
  bring_up();
  world_->kill_node(1);
  world_->kill_node(2);
  world_->run_for(1s);
  world_->kill(row_.replicas.front().members.back());
  EXPECT_TRUE(recovers(60s));
}

// Symptom: a member that was replaced long ago is formed again.
// Sequence: a node is cut off from peers and table; the row changes; the replaced VM restarts and
// knows no token.
// Cause: to the node it is a member that has lost its order.
TEST_F(coordination, node_with_an_unconfirmed_row_orders_nothing) {
  bring_up();
  world_->isolate(0);
  world_->cut_table(0);
  const vm_id replaced = row_.replicas.front().members.back();
  world_->kill(replaced);
  world_->run_for(15s);
  const auto orders = [&] { return world_->node(0).status(world_->now()).counters.orders_sent; };
  const std::uint64_t before = orders();
  world_->start(replaced);
  world_->run_for(15s);
  EXPECT_EQ(orders(), before);
}

// Symptom: targets refuse every order of the row, which looks right.
// Sequence: two nodes without the table replace a member that only they have lost; the third
// writes a row for another reason without having heard of it.
// Cause: what the targets obey is newer than what the row laid down.
TEST_F(coordination, row_that_missed_an_activation_supersedes_it) {
  bring_up();
  const vm_id member = row_.replicas.front().members.back();
  for (const std::size_t i : {1U, 2U}) {
    world_->cut_table(i);
    world_->cut_target(i, member);
    world_->cut(0, i);
    world_->cut(i, 0);
  }
  world_->apply_rules([](rules& r) { r.models.front().placements.front().replicas = 1; });
  world_->run_for(14s);
  EXPECT_GT(activations(), 0U);
  EXPECT_GT(world_->row_in_table().version, row_.version);
  for (const std::size_t i : {1U, 2U}) {
    world_->cut_table(i, false);
    world_->cut_target(i, member, false);
    world_->cut(0, i, false);
    world_->cut(i, 0, false);
  }
  replicas_ = 1;
  world_->run_for(10s);
  EXPECT_TRUE(serve_within(patience));
}

// Symptom: two compositions of one replica fight.
// Sequence: the table is down; a minority node is cut off from its peers, not from the targets,
// and loses sight of a member that the others still reach.
// Cause: it would activate a standby alone.
TEST_F(coordination, minority_activates_nothing) {
  bring_up();
  world_->table.up = false;
  world_->run_for(5s);
  world_->isolate(0);
  world_->cut_target(0, row_.replicas.front().members.back());
  world_->run_for(20s);
  EXPECT_EQ(activations(), 0U);
  EXPECT_EQ(world_->usable_routes(1).size(), replicas_);
}

// Symptom: a repair that waits for the table takes as long as the table is slow.
// Sequence: each call to the table takes three seconds, then a member dies.
// Cause: a slow table fails no call early.
TEST_F(coordination, member_dies_while_the_table_is_slow) {
  bring_up();
  world_->table.latency = 3s;
  world_->run_for(5s);
  world_->kill(row_.replicas.front().members.back());
  EXPECT_TRUE(recovers());
  world_->table.latency = 4ms;
  world_->run_for(10s);
  EXPECT_TRUE(all_serve());
}

// Symptom: one need is written twice, the second write undoing work under the first.
// Sequence: a write takes effect, its reply is lost, the proposer tries again.
// Cause: no answer is not a failure.
TEST_F(coordination, reply_to_a_write_is_lost) {
  bring_up();
  const std::uint64_t before = world_->table.writes_won;
  world_->table.lose_write_replies = 1;
  world_->kill(row_.replicas.front().members.back());
  EXPECT_TRUE(recovers());
  world_->run_for(5s);
  // One for the repair; others may follow to reserve a new standby or return a withdrawn VM.
  EXPECT_LE(world_->table.writes_won - before, 3U);
}

// Symptom: the row goes back in time: VMs belong to replicas they left, under tokens used before.
// Sequence: a member dies and is replaced, then the platform restores the table from an old copy.
// Cause: to a reader the old row looks like any row.
TEST_F(coordination, table_is_restored_from_an_old_copy) {
  bring_up();
  const auto old_copy = world_->table.rows;
  world_->kill(row_.replicas.front().members.back());
  world_->run_for(15s);
  const assignment newest = world_->row_in_table();
  ASSERT_GT(newest.version, row_.version);
  world_->table.rows = old_copy;
  EXPECT_TRUE(
      world_->run_until([&] { return world_->row_in_table().version > newest.version; }, patience));
  EXPECT_EQ(world_->row_in_table().replicas, newest.replicas);
  EXPECT_TRUE(all_serve());
}

// Symptom: as above, but nobody is left who remembers.
// Sequence: the table is restored from an old copy while all nodes are replaced.
// Cause: only the targets know that newer orders were given.
TEST_F(coordination, table_is_restored_while_all_nodes_restart) {
  bring_up();
  const auto old_copy = world_->table.rows;
  const vm_id dead = row_.replicas.front().members.back();
  world_->kill(dead);
  world_->run_for(15s);
  const std::uint64_t newest = world_->row_in_table().version;
  world_->table.rows = old_copy;
  for (std::size_t i = 0; i < world_->node_count(); ++i) {
    world_->kill_node(i);
    world_->start_node(i);
  }
  EXPECT_TRUE(world_->run_until([&] { return world_->row_in_table().version > newest; }, patience));
  EXPECT_TRUE(recovers());
}

// Symptom: a node that was paused sends orders decided long ago.
// Sequence: a node is paused right after a member died; the others repair; it goes on.
// Cause: a paused process does not know that it was paused.
TEST_F(coordination, deciding_node_is_paused) {
  for (std::size_t paused = 0; paused < 3; ++paused) {
    SCOPED_TRACE(paused);
    bring_up({.checks_tokens = false});
    world_->kill(row_.replicas.front().members.back());
    world_->run_for(1700ms);  // found lost by about now
    world_->pause_node(paused, 15s);
    world_->run_for(18s);
    EXPECT_TRUE(serve_within(patience));
    EXPECT_THAT(world_->violations, IsEmpty());
  }
}

// Symptom: a target that ignores tokens is called back to a replica that it left.
// Sequence: a node decides on an order and is paused before its connection stands; meanwhile the
// VM gets a newer order; the node goes on where it stood.
// Cause: as above; the target does not compare the two orders.
TEST_F(coordination, paused_node_holds_its_order_back) {
  bring_up({.checks_tokens = false});
  world_->connect_time = 50ms;
  const replica_plan& r = row_.replicas.front();
  world_->restart(r.members.front());  // to be formed again
  const auto sent = [&](std::size_t i) {
    return world_->node(i).status(world_->now()).counters.orders_sent;
  };
  std::vector<std::uint64_t> before{sent(0), sent(1), sent(2)};
  std::size_t sender = 0;
  ASSERT_TRUE(world_->run_until(
      [&] {
        for (sender = 0; sender < 3; ++sender) {
          if (sent(sender) > before[sender]) {
            return true;
          }
        }
        return false;
      },
      patience));
  world_->pause_node(sender, 20s);
  world_->kill(r.members.back());  // the replica gets a newer composition
  world_->run_for(25s);
  EXPECT_EQ(world_->overtaken_orders, 0U);
  EXPECT_TRUE(serve_within(patience));
}

// Symptom: targets that ignore tokens are thrown back to an old row.
// Sequence: the table is restored from an old copy while all nodes are replaced.
// Cause: a new node would believe the table before it has heard the targets.
TEST_F(coordination, new_nodes_listen_before_they_order) {
  bring_up({.checks_tokens = false});
  const auto old_copy = world_->table.rows;
  world_->kill(row_.replicas.front().members.back());
  world_->run_for(15s);
  world_->table.rows = old_copy;
  for (std::size_t i = 0; i < world_->node_count(); ++i) {
    world_->kill_node(i);
    world_->start_node(i);
  }
  world_->run_for(30s);
  EXPECT_EQ(world_->overtaken_orders, 0U);
}

// Symptom: a VM that is about to be taken away gets new requests until it is gone.
// Sequence: the target itself says that it is leaving.
// Cause: only its prober sees that.
TEST_F(coordination, target_leaves_by_its_own_report) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  world_->set_leaving(r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 2s);
}

// Sequence: as above, by the platform's list.
TEST_F(coordination, target_leaves_by_the_list) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  for (const vm_id& vm : world_->vms()) {
    world_->listed.push_back({vm, vm == r.members.back()});
  }
  // From the moment that a node knows: the news must not wait for heartbeats or for the row.
  const auto known = [&] {
    for (std::size_t i = 0; i < world_->node_count(); ++i) {
      if (world_->usable_routes(i).size() < replicas_) {
        return true;
      }
    }
    return false;
  };
  ASSERT_TRUE(world_->run_until(known, patience));
  EXPECT_LT(time_to_no_route(r.id), 50ms);
}

// Symptom: a planned stop cuts answers off.
// Sequence: the rules want one replica less while both run requests.
// Cause: the replica would be taken out of the row at once.
TEST_F(coordination, drain_waits_for_running_requests) {
  bring_up();
  for (const replica_plan& r : row_.replicas) {
    world_->engine(r.members.front()).report.running = 3;
  }
  world_->apply_rules([](rules& r) { r.models.front().placements.front().replicas = 1; });
  replica_id stopping;
  const bool draining = world_->run_until(
      [&] {
        for (const replica_plan& r : world_->row_in_table().replicas) {
          if (r.phase == replica_phase::draining) {
            stopping = r.id;
          }
        }
        return !stopping.empty();
      },
      patience);
  ASSERT_TRUE(draining);
  EXPECT_LT(time_to_no_route(stopping), 2s);
  world_->run_for(20s);
  EXPECT_NE(world_->row_in_table().find(stopping), nullptr) << "still runs three requests";
  world_->engine(row_.find(stopping)->members.front()).report.running = 0;
  EXPECT_TRUE(world_->run_until([&] { return world_->row_in_table().find(stopping) == nullptr; },
                                patience));
}

// Symptom: an answer that a node is still passing on breaks off when its replica is stopped.
// Sequence: as above, but the engine is done already; the node is not.
// Cause: the engine's own report cannot tell.
TEST_F(coordination, drain_waits_for_every_node) {
  bring_up();
  for (const replica_plan& r : row_.replicas) {
    world_->node(2).report_in_flight(r.id, r.gen, 1);
  }
  world_->apply_rules([](rules& r) { r.models.front().placements.front().replicas = 1; });
  world_->run_for(20s);
  EXPECT_EQ(world_->row_in_table().replicas.size(), 2U);
  for (const replica_plan& r : row_.replicas) {
    world_->node(2).report_in_flight(r.id, r.gen, 0);
  }
  EXPECT_TRUE(
      world_->run_until([&] { return world_->row_in_table().replicas.size() == 1; }, patience));
}

// Symptom: a node that starts during an outage can serve nobody.
// Sequence: the table is down; a node is replaced.
// Cause: the row is only in the table and in its peers.
TEST_F(coordination, node_starts_while_the_table_is_down) {
  bring_up();
  world_->table.up = false;
  world_->run_for(5s);
  world_->kill_node(1);
  world_->run_for(5s);
  world_->start_node(1);
  EXPECT_TRUE(serve_within(patience));
}

// Symptom: a node that was replaced never routes to some replica again.
// Sequence: it is replaced while cut off; its new process echoes a message that a peer composed for
// the old one; the peer takes that as proof that what the old one had been told is known.
// Cause: the short form of an observation stands for an earlier message.
TEST_F(coordination, replaced_node_learns_everything_anew) {
  for (const std::uint64_t seed : {4, 6, 8}) {  // which message crosses which is chance
    SCOPED_TRACE(seed);
    bring_up({.vms = 8, .standbys_per_replica = 0, .seed = seed});
    rng random{seed};
    for (int i = 0; i < 6; ++i) {
      world_->isolate(0);
      world_->run_for(12s);
      world_->kill_node(0);
      world_->start_node(0);
      world_->run_for(1s + random.jitter(5s));
      world_->isolate(0, false);
      world_->run_for(10s);  // what it saw itself while cut off lapses
      EXPECT_TRUE(all_serve()) << "restart " << i;
    }
  }
}

// ---- pairs ----

// Sequence: the table is down, and two members of one replica with two standbys die in turn.
TEST_F(coordination, two_members_die_while_the_table_is_down) {
  bring_up({.vms = 8, .fabric_domains = 1, .standbys_per_replica = 2});
  world_->table.up = false;
  world_->run_for(5s);
  const replica_plan& r = row_.replicas.front();
  world_->kill(r.members.front());
  world_->run_for(4s);
  world_->kill(r.members.back());
  EXPECT_TRUE(recovers());
}

// Sequence: a member dies and its standby dies while it loads; the table is down.
TEST_F(coordination, standby_dies_while_it_loads) {
  bring_up({.vms = 8, .fabric_domains = 1, .standbys_per_replica = 2});
  world_->table.up = false;
  world_->run_for(5s);
  const replica_plan& r = row_.replicas.front();
  world_->kill(r.members.front());
  ASSERT_TRUE(world_->run_until(
      [&] { return !world_->engine(r.standbys.front()).report.replica.empty(); }, patience));
  world_->kill(r.standbys.front());
  EXPECT_TRUE(recovers());
}

// Sequence: a fabric domain goes dark while replies to writes are lost and a node is paused.
TEST_F(coordination, fabric_domain_goes_dark_with_lost_replies_and_a_paused_node) {
  bring_up({.vms = 8, .standbys_per_replica = 0, .spare_vms = 2});
  world_->table.lose_write_replies = 2;
  world_->pause_node(0, 8s);
  for (std::size_t i = 0; i < 4; ++i) {
    world_->kill(world_->vms()[i]);
  }
  world_->run_for(10s);
  EXPECT_TRUE(serve_within(patience));
}

// Sequence: a member dies while the table is down; the only node that repairs dies, too.
TEST_F(coordination, repairing_node_dies) {
  bring_up({.nodes = 5});
  world_->table.up = false;
  world_->run_for(5s);
  world_->kill(row_.replicas.front().members.back());
  ASSERT_TRUE(world_->run_until([&] { return activations() > 0; }, patience));
  for (std::size_t i = 0; i < world_->node_count(); ++i) {
    if (world_->node(i).status(world_->now()).counters.activations > 0) {
      world_->kill_node(i);
      break;
    }
  }
  EXPECT_TRUE(serve_within(patience));
}

// Sequence: targets ignore fencing tokens; a member dies, then each node in turn is cut off.
TEST_F(coordination, targets_without_token_check_and_partitions) {
  bring_up({.checks_tokens = false});
  world_->kill(row_.replicas.front().members.back());
  for (std::size_t i = 0; i < world_->node_count(); ++i) {
    world_->isolate(i);
    world_->run_for(6s);
    world_->isolate(i, false);
    world_->run_for(2s);
  }
  EXPECT_TRUE(serve_within(patience));
}

// Sequence: messages get lost all the time, and one link works in one direction only.
TEST_F(coordination, lossy_and_one_way_links) {
  bring_up();
  world_->drop = 0.05;
  world_->cut(0, 1);
  world_->run_for(30s);
  world_->kill(row_.replicas.front().members.back());
  EXPECT_TRUE(recovers());
}

}  // namespace
}  // namespace arbutus::testing
