// Observations of targets: how soon nodes notice changes, and which messages they must ignore.
#include "process/observations.h"

#include <gtest/gtest.h>

#include "core/fake_data_centre.h"
#include "process/permission.h"

namespace arbutus {
namespace {

using test::fake_data_centre;
using test::fake_node;
constexpr auto working = target_condition::working;
constexpr auto suspect = target_condition::suspect;
constexpr auto lost = target_condition::lost;
constexpr auto leaving = target_condition::leaving;

const vm_id vm{"vm1"};
const node_id self{"a"};
const node_id peer{"b"};
constexpr time_point start{100s};

engine_report report(std::uint64_t incarnation = 5) {
  engine_report r;
  r.vm = vm;
  r.incarnation = incarnation;
  r.state = engine_state::ready;
  return r;
}

observation_table make() {
  observation_table t(self);
  t.set_targets({vm});
  t.set_own_targets({vm}, start);
  return t;
}

heartbeat heartbeat_with_report(const engine_report& r, duration age) {
  heartbeat message;
  message.from = peer;
  message.observations.push_back({1, age, r, std::nullopt});
  return message;
}

heartbeat heartbeat_with_failure(const node_id& from, duration age, std::uint32_t count = 1) {
  heartbeat message;
  message.from = from;
  message.failures.push_back({vm, age, 5, count});
  return message;
}

receive_result composed(time_point at) {
  return {false, at, 1};
}

bool fail_probe(observation_table& t, time_point sent_at) {
  return t.on_probe_result({vm, sent_at, unknown{"timeout"}}, sent_at + 500ms);
}

// ---- order of messages ----

// Guards against an outdated role that appears current, if an older report is reordered or arrives
// late through a peer and the last message to arrive is used as the newest.
TEST(Observations, AnOldMessageNeverReplacesNewerKnowledge) {
  observation_table t = make();
  t.on_probe_result({vm, start + 2s, report(6)}, start + 2s);
  t.merge(heartbeat_with_report(report(6), 500ms), composed(start + 1s), start + 3s);
  EXPECT_EQ(t.latest(vm)->at, start + 2s);
  EXPECT_FALSE(t.on_probe_result({vm, start + 1s, report(6)}, start + 4s));
  EXPECT_EQ(t.latest(vm)->at, start + 2s);
}

// Guards against requests to a restarted engine that has lost its role, if late messages of peers
// with reports of its previous process replace those of the new one.
TEST(Observations, ARestartedEngineNeverFallsBackToItsFormerProcess) {
  observation_table t = make();
  t.on_probe_result({vm, start, report(6)}, start);
  t.on_probe_result({vm, start + 1s, report(3)}, start + 1s);
  t.merge(heartbeat_with_report(report(6), 0ms), composed(start + 2s), start + 2s);
  EXPECT_EQ(t.latest(vm)->report.incarnation, 3U);
  t.merge(heartbeat_with_failure(peer, 0ms), composed(start + 3s), start + 3s);
  EXPECT_EQ(t.condition(vm, start + 3s), suspect);
}

TEST(Observations, AFailureOfTheFormerProcessSaysNothing) {
  observation_table t = make();
  t.on_probe_result({vm, start, report(5)}, start);
  t.on_probe_result({vm, start + 1s, report(9)}, start + 1s);
  t.merge(heartbeat_with_failure(peer, 0ms), composed(start + 2s), start + 2s);
  EXPECT_EQ(t.condition(vm, start + 2s), working);
}

// Guards against routing to a dead target, if a peer is paused for 30 s between composing and
// sending a message and its age is not bounded, also where there is no echo.
TEST(Observations, AMessageWithoutAnAgeBoundRenewsNothing) {
  observation_table t = make();
  t.merge(heartbeat_with_report(report(), 100ms), {false, std::nullopt, 0}, start);
  EXPECT_EQ(t.latest(vm), nullptr);
  t.merge(heartbeat_with_report(report(), 100ms), composed(start), start + 30s);
  ASSERT_NE(t.latest(vm), nullptr);
  EXPECT_LE(t.latest(vm)->at, start - 100ms);
  EXPECT_EQ(t.condition(vm, start + 30s), target_condition::unknown);
}

// ---- conditions ----

TEST(Observations, OneFailureMakesSuspectTwoProbersMakeLost) {
  observation_table t = make();
  t.on_probe_result({vm, start, report()}, start);
  EXPECT_EQ(t.condition(vm, start), working);
  EXPECT_TRUE(fail_probe(t, start + 1s)) << "peers should be notified of it";
  EXPECT_EQ(t.condition(vm, start + 2s), suspect);
  t.merge(heartbeat_with_failure(peer, 0ms), composed(start + 1200ms), start + 2s);
  EXPECT_EQ(t.condition(vm, start + 2s), lost);
}

TEST(Observations, OneProberAloneNeedsTheSuspicionTime) {
  observation_table t = make();
  t.on_probe_result({vm, start, report()}, start);
  fail_probe(t, start + 1s);
  fail_probe(t, start + 2s);
  EXPECT_EQ(t.condition(vm, start + 2500ms), suspect);
  fail_probe(t, start + 3s);
  EXPECT_EQ(t.condition(vm, start + 3500ms), lost);
}

TEST(Observations, ARefusedConnectionIsSuspectAtOnceAndProbedOutOfTurn) {
  observation_table t = make();
  t.on_probe_result({vm, start, report()}, start);
  (void)t.next_probes(start);
  t.on_probe_result({vm, start, report()}, start);
  EXPECT_TRUE(t.on_connection_error(vm, start + 300ms));
  EXPECT_FALSE(t.on_connection_error(vm, start + 310ms)) << "reported only once";
  EXPECT_EQ(t.condition(vm, start + 310ms), suspect);
  EXPECT_EQ(t.next_probes(start + 600ms).size(), 1U);
  // Connection errors alone, even those of a second node, do not make a target lost.
  t.merge(heartbeat_with_failure(peer, 0ms, 0), composed(start + 400ms), start + 600ms);
  EXPECT_EQ(t.condition(vm, start + 610ms), suspect);
  t.on_probe_result({vm, start + 600ms, report()}, start + 610ms);
  EXPECT_EQ(t.condition(vm, start + 610ms), working);
}

// Guards against using the only standby for a working head instead of a failed member while the
// table is unavailable: when a member fails, the head cuts the requests of two nodes, and each
// reports its connection error to the other. If these were treated as failed probes, the head would
// be lost.
TEST(Observations, CutRequestsOfTwoNodesDoNotMakeATargetLost) {
  observation_table t = make();
  t.on_probe_result({vm, start, report()}, start);
  observation_table other(peer);
  other.set_targets({vm});
  other.merge(heartbeat_with_report(report(), 0ms), composed(start), start);
  ASSERT_TRUE(other.on_connection_error(vm, start + 300ms));
  ASSERT_TRUE(t.on_connection_error(vm, start + 300ms));
  const auto reported = other.failure_of(vm, start + 310ms);
  ASSERT_TRUE(reported);
  heartbeat message;
  message.from = peer;
  message.failures.push_back(*reported);
  t.merge(message, composed(start + 310ms), start + 320ms);
  EXPECT_EQ(t.condition(vm, start + 330ms), suspect);
  t.on_probe_result({vm, start + 400ms, report()}, start + 410ms);
  EXPECT_EQ(t.condition(vm, start + 410ms), working);
}

// Guards against a node that never uses a target again after one failed connection: if it is not
// one of the target's probers, it has to probe the target to notice that its link works again.
TEST(Observations, ATargetThatOthersProbeIsProbedAfterAnOwnError) {
  observation_table t(self);
  t.set_targets({vm});
  t.merge(heartbeat_with_report(report(), 0ms), composed(start), start);
  t.on_connection_error(vm, start + 1s);
  t.merge(heartbeat_with_report(report(), 0ms), composed(start + 2s), start + 2s);
  EXPECT_EQ(t.condition(vm, start + 2s), suspect) << "suspect by this node's own link";
  (void)t.next_probes(start + 2s);
  ASSERT_EQ(t.next_probes(start + 3s).size() + t.next_probes(start + 4s).size(), 1U);
  t.on_probe_result({vm, start + 3s, report()}, start + 3s);
  EXPECT_EQ(t.condition(vm, start + 3s), working);
}

TEST(Observations, ErrorsOfManyTargetsAtOnceDoNotFlood) {
  observation_table t(self);
  std::vector<vm_id> vms;
  for (int i = 0; i < 60; ++i) {
    vms.emplace_back("v" + std::to_string(i));
  }
  t.set_targets(vms);
  (void)t.next_probes(start);
  for (const vm_id& id : vms) {
    t.on_connection_error(id, start + 10s);
  }
  std::size_t probes = 0;
  for (int i = 0; i < 20; ++i) {
    probes += t.next_probes(start + 10s + i * 50ms).size();
  }
  EXPECT_GE(probes, 4U);
  EXPECT_LE(probes, 8U);
}

// Guards against a working target that is repeatedly lost and recovers: a node with a bad link
// reports failures, the other prober successes, which due to the phase of its heartbeats are always
// somewhat older. The failures must not be treated as consecutive.
TEST(Observations, FailuresWithSuccessesBetweenDoNotPersist) {
  observation_table t = make();
  for (int i = 0; i < 10; ++i) {
    const time_point now = start + i * 1s;
    heartbeat message = heartbeat_with_report(report(), 900ms);
    message.from = node_id{"c"};
    t.merge(heartbeat_with_failure(peer, 500ms, static_cast<std::uint32_t>(i + 1)), composed(now),
            now);
    t.merge(message, composed(now + 300ms), now + 300ms);
    EXPECT_NE(t.condition(vm, now), lost) << i;
  }
  EXPECT_EQ(t.condition(vm, start + 9s), working) << "the peer's failure reports are refuted";
}

TEST(Observations, AnotherEngineAtTheAddressIsAFailure) {
  observation_table t = make();
  engine_report other = report();
  other.vm = vm_id{"vm2"};
  t.on_probe_result({vm, start, other}, start);
  EXPECT_EQ(t.condition(vm, start), suspect);
}

TEST(Observations, LeavingLastsForTheProcessOrUntilTheListSaysOtherwise) {
  observation_table t = make();
  t.on_probe_result({vm, start, report()}, start);
  EXPECT_TRUE(t.mark_leaving(vm, 5));
  EXPECT_FALSE(t.mark_leaving(vm, 5)) << "no change; otherwise notices would go round forever";
  t.on_probe_result({vm, start + 1s, report()}, start + 1s);
  EXPECT_EQ(t.condition(vm, start + 1s), leaving);
  t.on_probe_result({vm, start + 2s, report(6)}, start + 2s);
  EXPECT_EQ(t.condition(vm, start + 2s), working);
  EXPECT_FALSE(t.mark_leaving(vm, 5)) << "a notice of the former process";
  EXPECT_TRUE(t.mark_leaving(vm, 0));
  t.on_probe_result({vm, start + 3s, report(7)}, start + 3s);
  EXPECT_EQ(t.condition(vm, start + 3s), leaving);
  t.clear_leaving(vm);
  EXPECT_EQ(t.condition(vm, start + 3s), working);
}

TEST(Observations, AFlappingTargetRecoversLaterEachTime) {
  observation_table t = make();
  std::vector<duration> waits;
  time_point now = start;
  for (int flap = 0; flap < 4; ++flap) {
    t.on_probe_result({vm, now, report()}, now);
    fail_probe(t, now + 1s);
    fail_probe(t, now + 3500ms);
    now += 4s;
    ASSERT_EQ(t.condition(vm, now), lost);
    const time_point back = now;
    while (t.condition(vm, now) != working) {
      t.on_probe_result({vm, now, report()}, now);
      now += 250ms;
    }
    waits.push_back(now - back);
  }
  EXPECT_LE(waits[0], 1500ms);
  EXPECT_GT(waits[1], waits[0]);
  EXPECT_GT(waits[3], 4s);
  EXPECT_LT(waits[3], 15s);
}

// Guards against losing all replicas simultaneously after a node was paused for 20 s: all its
// probes have timed out and all observations are old, but the targets have not failed.
TEST(Observations, AfterAnOwnPauseNothingIsLostOnlyUnknown) {
  fake_data_centre dc(3, 12, 1);
  dc.run_for(4s);
  fake_node& n = dc.node(0);
  n.paused = true;
  dc.run_for(20s);
  n.paused = false;
  n.changes.clear();
  dc.run_for(3s);
  for (const condition_change& c : n.changes) {
    EXPECT_TRUE(c.to == target_condition::unknown || c.to == working) << c.vm;
  }
  for (const vm_id& id : dc.vms()) {
    EXPECT_EQ(n.observations->condition(id, dc.now), working);
  }
}

TEST(Observations, ProbesThatEndedInAnOwnPauseSayNothing) {
  observation_table t = make();
  t.on_probe_result({vm, start, report()}, start);
  t.on_resumed(start + 2s);
  EXPECT_EQ(t.condition(vm, start + 2s), target_condition::unknown)
      << "recent, but from before the pause";
  EXPECT_FALSE(t.on_probe_result({vm, start + 100ms, unknown{"timeout"}}, start + 2s));
  EXPECT_EQ(t.condition(vm, start + 2s), target_condition::unknown);
  t.on_probe_result({vm, start + 2s, report()}, start + 2s);
  EXPECT_EQ(t.condition(vm, start + 2s), working);
}

TEST(Observations, StragglersAreFewAndNeverAll) {
  observation_table t(self);
  std::vector<vm_id> vms;
  std::map<vm_id, model_id> models;
  for (int i = 0; i < 8; ++i) {
    vms.emplace_back("v" + std::to_string(i));
    models[vms.back()] = model_id{"m"};
  }
  t.set_targets(vms);
  t.set_models(models);
  const auto rate = [&](int i, double tokens, time_point now) {
    engine_report r = report();
    r.vm = vms[static_cast<std::size_t>(i)];
    r.tokens_per_second = tokens;
    t.on_probe_result({r.vm, now, r}, now);
  };
  for (int i = 0; i < 8; ++i) {
    rate(i, i == 3 ? 10.0 : 30.0, start);
  }
  EXPECT_EQ(t.stragglers(start), std::set<vm_id>{vms[3]});
  for (int i = 0; i < 8; ++i) {
    rate(i, i < 3 ? 1.0 + i : 30.0, start + 1s);
  }
  EXPECT_EQ(t.stragglers(start + 1s), (std::set<vm_id>{vms[0], vms[1]}));
  for (int i = 0; i < 8; ++i) {
    rate(i, 1.0, start + 2s);
  }
  EXPECT_TRUE(t.stragglers(start + 2s).empty());
}

// ---- several nodes ----

// Guards against a node that learns too late of a dead target that other nodes probe.
TEST(Observations, ADeadTargetIsKnownEverywhereInTime) {
  duration worst{};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    fake_data_centre dc(21, 81, seed);
    dc.run_for(4s + 50ms * static_cast<int>(seed));
    const vm_id dead = dc.vm(seed);
    dc.target(dead).up = false;
    const auto known_to_all = [&] {
      return std::ranges::all_of(dc.ids(), [&, i = std::size_t{0}](const node_id&) mutable {
        return dc.node(i++).observations->condition(dead, dc.now) != working;
      });
    };
    worst = std::max(worst, dc.run_until(known_to_all, 10s));
    dc.run_for(2s);
    for (std::size_t i = 0; i < 21; ++i) {
      EXPECT_EQ(dc.node(i).observations->condition(dead, dc.now), lost) << "seed " << seed;
    }
  }
  EXPECT_LT(worst, 2s);
  RecordProperty("worst_ms", static_cast<int>(to_milliseconds(worst)));
}

// Guards against working targets that repeatedly become suspect at all nodes because one node has a
// bad link to them: its refuted reports must be ignored.
TEST(Observations, ReportsOfANodeWithABadLinkAreSoonIgnored) {
  fake_data_centre dc(6, 12, 3);
  dc.run_for(4s);
  for (const vm_id& id : dc.vms()) {
    dc.cut_target(dc.ids()[0], id);
  }
  dc.run_for(10s);
  dc.node(1).changes.clear();
  dc.run_for(10s);
  EXPECT_EQ(dc.node(1).changes.size(), 0U);
  for (const vm_id& id : dc.vms()) {
    EXPECT_EQ(dc.node(1).observations->condition(id, dc.now), working);
  }
  dc.restore_target_links();
  dc.run_for(3s);
  for (const vm_id& id : dc.vms()) {
    EXPECT_EQ(dc.node(0).observations->condition(id, dc.now), working);
  }
}

TEST(Observations, ProbesKeepToTheBudgetAndReachEachTargetEverySecond) {
  fake_data_centre dc(21, 81, 4);
  dc.run_for(5s);
  for (std::size_t i = 0; i < 21; ++i) {
    dc.node(i).probes = 0;
  }
  dc.run_for(20s);
  std::size_t total = 0;
  for (std::size_t i = 0; i < 21; ++i) {
    EXPECT_LE(dc.node(i).probes, 20 * 8U + 3);
    total += dc.node(i).probes;
  }
  EXPECT_GE(total, 20 * 81 * 3 / 2U);
  // An unreachable fabric domain with a third of the targets does not raise the rate of probes
  // much.
  for (std::size_t i = 0; i < 27; ++i) {
    dc.target(dc.vm(i)).up = false;
  }
  for (std::size_t i = 0; i < 21; ++i) {
    dc.node(i).probes = 0;
  }
  dc.run_for(10s);
  for (std::size_t i = 0; i < 21; ++i) {
    EXPECT_LE(dc.node(i).probes, 10 * 12U + 7);
  }
}

// Guards against working replicas that are not routed to, occasionally with few nodes for many
// targets, or permanently after most nodes have failed: if a node has more targets than its probe
// budget covers in time, permission expires between two probes of a member.
TEST(Observations, FewNodesStillSeeEachTargetWithinThePermissionTime) {
  for (const auto& [nodes, targets] : {std::pair{2, 19}, {6, 81}, {1, 81}}) {
    fake_data_centre dc(static_cast<std::size_t>(nodes), static_cast<std::size_t>(targets), 4);
    dc.run_for(10s);
    duration oldest{};
    for (int step = 0; step < 200; ++step) {
      dc.run_for(100ms);
      for (std::size_t i = 0; i < static_cast<std::size_t>(nodes); ++i) {
        for (const vm_id& id : dc.vms()) {
          const observation* seen = dc.node(i).observations->latest(id);
          ASSERT_NE(seen, nullptr);
          oldest = std::max(oldest, dc.now - seen->at);
        }
      }
    }
    EXPECT_LE(oldest, permission_validity) << nodes << " nodes, " << targets << " targets";
  }
}

void change_something(fake_data_centre& dc, rng& random) {
  const vm_id id = dc.vm(random.below(dc.vms().size()));
  engine_report& r = dc.target(id).report;
  switch (random.below(4)) {
    case 0:
      ++r.incarnation;
      break;
    case 1:
      r.replica = replica_id{"r" + std::to_string(random.below(3))};
      break;
    case 2:
      ++r.fencing_generation.row;
      break;
    default:
      r.running = static_cast<std::uint32_t>(random.below(8));
      break;
  }
  dc.record_report(id);
}

// Whether the target gave this report, ignoring the load, at some time not before `seen.at`.
bool was_reported(const test::fake_target& t, const observation& seen, time_point now) {
  const auto fixed = [](engine_report r) {
    apply(target_load{}, r);
    return r;
  };
  for (std::size_t i = 0; i < t.history.size(); ++i) {
    const time_point until = i + 1 < t.history.size() ? t.history[i + 1].first : now;
    if (until >= seen.at && fixed(t.history[i].second) == fixed(seen.report)) {
      return true;
    }
  }
  return false;
}

// Guards against an observation with a role that the target did not have at that time, caused by a
// short form decoded with the wrong full form or by an age that is too low. Combines lost,
// repeated, reordered and late messages with restarts and pauses of nodes.
TEST(Observations, EachObservationWasReportedNoEarlierThanItsTime) {
  std::size_t checked = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    rng random(seed);
    fake_data_centre dc(3, 4, seed);
    dc.drop_probability = 0.3 * random.unit();
    dc.repeat_probability = 0.2;
    dc.jitter = from_seconds(5.0 * random.unit() * random.unit());
    for (int i = 0; i < 120; ++i) {
      dc.run_for(random.jitter(800ms));
      change_something(dc, random);
      if (random.below(15) == 0) {
        dc.start(dc.ids()[random.below(3)]);
      }
      if (random.below(10) == 0) {
        dc.node(0).paused = !dc.node(0).paused;
      }
      for (std::size_t k = 0; k < 3; ++k) {
        for (const vm_id& id : dc.vms()) {
          const observation* seen = dc.node(k).observations->latest(id);
          if (seen != nullptr) {
            ++checked;
            ASSERT_TRUE(was_reported(dc.target(id), *seen, dc.now)) << id << " at node " << k;
          }
        }
      }
    }
  }
  EXPECT_GT(checked, 10'000U);
}

// Guards against heartbeats that carry unchanged observations in full: without changes, nearly all
// are sent in short form.
TEST(Observations, IdleHeartbeatsAreShort) {
  fake_data_centre dc(21, 81, 5);
  dc.run_for(5s);
  dc.bytes = dc.messages = 0;
  dc.run_for(10s);
  EXPECT_LT(dc.bytes / dc.messages, 60U);
}

}  // namespace
}  // namespace arbutus
