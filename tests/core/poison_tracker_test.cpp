// Tests the poison tracker in virtual time: strikes against requests whose targets crashed, and
// quarantines.
#include "process/poison_tracker.h"

#include <gtest/gtest.h>

#include "poison_simulation.h"
#include "process/poison_exchange.h"
#include "process/poison_wire.h"

namespace arbutus::testing_support {
namespace {

constexpr time_point start{1000s};
const request_fingerprint poison{workspace_id{"desk"}, 42};
const request_fingerprint bystander{workspace_id{"desk"}, 7};

target_id target(int i) {
  return target_id{"i-" + std::to_string(i)};
}

// The strike of a request at target `i`: one a second, each run sent after the previous target had
// ended.
poison_strike strike_at(int i) {
  return {target(i), start + i * 1s, start + i * 1s + 300ms};
}

void add_strikes(poison_tracker& tracker, const request_fingerprint& fingerprint, int from,
                 int to) {
  for (int i = from; i < to; ++i) {
    tracker.run_sent(strike_at(i).sent_at, target(i));
    tracker.record_strike(fingerprint, strike_at(i));
  }
}

TEST(PoisonTracker, QuarantinesAfterFourSequentialCrashes) {
  poison_tracker tracker;
  add_strikes(tracker, poison, 0, 3);
  EXPECT_TRUE(tracker.evaluate(start + 10s).empty());
  add_strikes(tracker, poison, 3, 4);
  const auto decisions = tracker.evaluate(start + 10s);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions.front().targets.size(), 4U);
  EXPECT_TRUE(tracker.is_quarantined(poison));
  EXPECT_GT(tracker.quarantine_remaining(start + 10s, poison), std::optional<duration>(3000s));
}

// Guards against a quarantine before the strikes of other nodes have arrived.
TEST(PoisonTracker, WaitsForStrikesOfOtherNodes) {
  poison_tracker tracker;
  add_strikes(tracker, poison, 0, 4);
  const time_point last_end = strike_at(3).ended_at;
  EXPECT_TRUE(tracker.evaluate(last_end + 100ms).empty());
  EXPECT_TRUE(tracker.held_until(last_end + 100ms, poison));
  EXPECT_FALSE(tracker.held_until(last_end + 1s, poison));
  EXPECT_EQ(tracker.evaluate(last_end + 1s).size(), 1U);
}

// Guards against the quarantine of a harmless request that has many concurrent runs when a rack
// fails.
TEST(PoisonTracker, CrashesUnderConcurrentRunsAreOneEvent) {
  poison_tracker tracker;
  for (int i = 0; i < 8; ++i) {
    tracker.record_strike(poison, {target(i), start, start + 300ms + i * 1ms});
  }
  EXPECT_TRUE(tracker.evaluate(start + 10s).empty());
}

// Guards against several crashes being counted as one: a target may be back before the list of
// targets reports its new incarnation.
TEST(PoisonTracker, CrashesUnderAStaleTargetIdCountSeparately) {
  poison_tracker tracker;
  tracker.run_sent(start, target(0));
  for (int i = 0; i < 4; ++i) {
    const poison_strike strike{target(0), start + i * 1s, start + i * 1s + 300ms};
    EXPECT_TRUE(tracker.record_strike(poison, strike));
    EXPECT_FALSE(tracker.record_strike(
        poison, {strike.target, strike.sent_at + 1ms, strike.ended_at + 1ms}));
  }
  EXPECT_EQ(tracker.evaluate(start + 10s).size(), 1U);
}

// Guards against the quarantine of a harmless request that was repeatedly sent along with a poison
// request.
TEST(PoisonTracker, BystanderOfManyCrashesIsNotQuarantined) {
  poison_tracker tracker;
  add_strikes(tracker, poison, 0, 5);
  add_strikes(tracker, bystander, 0, 4);
  const auto decisions = tracker.evaluate(start + 10s);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions.front().fingerprint, poison);
  // Crashes that are attributed to the poison request no longer count against the bystander.
  EXPECT_TRUE(tracker.all().at(bystander).strikes.empty());
}

// Guards against two requests that are always sent together and are never quarantined.
TEST(PoisonTracker, InseparableSuspectsAreQuarantinedEventually) {
  poison_tracker tracker;
  add_strikes(tracker, poison, 0, 7);
  add_strikes(tracker, bystander, 0, 7);
  EXPECT_TRUE(tracker.evaluate(start + 20s).empty());
  add_strikes(tracker, poison, 7, 8);
  add_strikes(tracker, bystander, 7, 8);
  EXPECT_FALSE(tracker.evaluate(start + 20s).empty());
}

TEST(PoisonTracker, SuccessfulRunClearsTheRequest) {
  poison_tracker tracker;
  add_strikes(tracker, poison, 0, 3);
  EXPECT_TRUE(tracker.clear(start + 3s, poison));
  EXPECT_TRUE(tracker.all().at(poison).strikes.empty());
  // Engines crash while they run a request that succeeded a moment ago.
  add_strikes(tracker, poison, 4, 40);
  EXPECT_TRUE(tracker.evaluate(start + 50s).empty());
  // A request that no longer succeeds, for example after a change of the engines, is still
  // detected.
  add_strikes(tracker, poison, 64, 68);
  EXPECT_EQ(tracker.evaluate(start + 80s).size(), 1U);
}

// Guards against a quarantine that stays in force after a successful run.
TEST(PoisonTracker, SuccessfulRunReleasesAQuarantine) {
  poison_tracker tracker;
  add_strikes(tracker, poison, 0, 4);
  tracker.evaluate(start + 10s);
  EXPECT_TRUE(tracker.clear(start + 11s, poison));
  EXPECT_FALSE(tracker.is_quarantined(poison));
}

TEST(PoisonTracker, StrikesCountAgainAfterOperatorRelease) {
  poison_tracker tracker;
  add_strikes(tracker, poison, 0, 4);
  tracker.evaluate(start + 10s);
  EXPECT_TRUE(tracker.release(start + 10s, poison));
  EXPECT_FALSE(tracker.is_quarantined(poison));
  add_strikes(tracker, poison, 11, 15);
  EXPECT_EQ(tracker.evaluate(start + 20s).size(), 1U);
}

// Guards against strikes of another node that arrive after the run that cleared the request.
TEST(PoisonTracker, StrikesBeforeASuccessfulRunDoNotCount) {
  poison_tracker other;
  add_strikes(other, poison, 0, 4);
  poison_tracker tracker;
  tracker.clear(start + 5s, poison);
  std::uint64_t after = 0;
  for (const poison_row& row : other.changed_since(start + 5s, after, 10)) {
    tracker.merge_row(start + 5s, row);
  }
  EXPECT_TRUE(tracker.evaluate(start + 20s).empty());
}

// Guards against quarantines while many targets end for unrelated reasons.
TEST(PoisonTracker, ManyUnrelatedCrashesPreventQuarantine) {
  poison_tracker tracker;
  add_strikes(tracker, poison, 0, 4);
  for (int i = 100; i < 140; ++i) {
    const time_point end = start + (i - 100) * 100ms;
    tracker.record_strike({workspace_id{"desk"}, static_cast<std::uint64_t>(i)},
                          {target(i), end - 1s, end});
  }
  EXPECT_TRUE(tracker.evaluate(start + 10s).empty());
}

TEST(PoisonTracker, QuarantineIsPerWorkspace) {
  poison_tracker tracker;
  add_strikes(tracker, poison, 0, 4);
  tracker.evaluate(start + 10s);
  EXPECT_FALSE(tracker.is_quarantined({workspace_id{"clerks"}, poison.hash}));
}

// Guards against a caller who floods the tracker and so evicts a poison request, its own or that of
// another workspace.
TEST(PoisonTracker, FloodOfRequestsEvictsNoSuspect) {
  poison_tracker tracker;
  add_strikes(tracker, poison, 0, 2);
  const request_fingerprint other{workspace_id{"clerks"}, 1};
  add_strikes(tracker, other, 0, 1);
  for (std::uint64_t i = 0; i < 5000; ++i) {
    tracker.record_strike({workspace_id{"desk"}, 1000 + i}, strike_at(50));
  }
  EXPECT_LE(tracker.all().size(), 130U);
  EXPECT_EQ(tracker.all().at(poison).strikes.size(), 2U);
  EXPECT_EQ(tracker.all().at(other).strikes.size(), 1U);
}

TEST(PoisonTracker, QuarantineExpires) {
  poison_tracker tracker;
  add_strikes(tracker, poison, 0, 4);
  tracker.evaluate(start + 10s);
  tracker.set_stored(poison, true);
  tracker.evaluate(start + 3700s);
  EXPECT_FALSE(tracker.is_quarantined(poison));
  EXPECT_EQ(tracker.pending_store_changes().to_remove.size(), 1U);
}

TEST(PoisonTracker, RowsSurviveEncoding) {
  poison_tracker tracker;
  add_strikes(tracker, poison, 0, 4);
  tracker.evaluate(start + 10s);
  std::uint64_t after = 0;
  const auto rows = tracker.changed_since(start + 10s, after, 10);
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_EQ(after, tracker.position());
  const auto read = decode_poison_row(encode(rows.front()));
  ASSERT_TRUE(read);
  poison_tracker other;
  EXPECT_TRUE(other.merge_row(start + 10s, *read));
  EXPECT_TRUE(other.is_quarantined(poison));
  EXPECT_FALSE(decode_poison_row("\x96 damaged"));
}

// Guards against heartbeats that send poison rows again which the peer has, or never send lost ones
// again.
TEST(PoisonExchange, ResendsUntilAcknowledged) {
  poison_tracker tracker;
  add_strikes(tracker, poison, 0, 1);
  poison_exchange exchange("life-a");
  const node_id peer{"edge-2"};
  EXPECT_EQ(exchange.update_for(start, peer, tracker).rows.size(), 1U);
  EXPECT_TRUE(exchange.update_for(start + 200ms, peer, tracker).rows.empty());
  EXPECT_EQ(exchange.update_for(start + 1500ms, peer, tracker).rows.size(), 1U);
  exchange.acknowledged(peer, {"life-a", tracker.position()});
  EXPECT_TRUE(exchange.update_for(start + 4s, peer, tracker).rows.empty());
  // The peer has restarted and has no poison rows.
  exchange.acknowledged(peer, {});
  EXPECT_EQ(exchange.update_for(start + 6s, peer, tracker).rows.size(), 1U);
}

struct crash_pattern {
  const char* name;
  poison_simulation::fault fault;
};

bool is_multiple_of(const poison_simulation& w, duration d) {
  return (w.now().time_since_epoch() % d).count() == 0;
}

void end_random_heads(poison_simulation& w, double heads_per_s) {
  if (w.random().unit() < heads_per_s * to_seconds(poison_simulation::step)) {
    w.end_head(w.random_head());
  }
}

// Ends a random share of all heads simultaneously, once per `interval`.
void end_share_of_heads(poison_simulation& w, duration interval, double part) {
  if (!is_multiple_of(w, interval)) {
    return;
  }
  for (std::size_t i = 0; i < w.heads(); ++i) {
    if (w.random().unit() < part) {
      w.end_head(i);
    }
  }
}

void end_round_robin(poison_simulation& w) {
  constexpr duration interval = 400ms;
  if (is_multiple_of(w, interval)) {
    w.end_head(static_cast<std::size_t>(w.now().time_since_epoch() / interval) % w.heads());
  }
}

// A caller sends the same harmless request every second, and the head that runs it is often ended
// for other reasons.
void end_under_one_caller(poison_simulation& w) {
  constexpr std::uint64_t hash = 7;
  if (is_multiple_of(w, 1s)) {
    w.submit(w.random_node(), hash);
  }
  if (is_multiple_of(w, 500ms) && w.random().unit() < 0.5 && w.head_of(hash) < w.heads()) {
    w.end_head(w.head_of(hash));
  }
}

// Guards against the quarantine of harmless requests when many targets end for other reasons.
TEST(PoisonWorld, HarmlessRequestsAreNotQuarantinedWhenTargetsCrashByChance) {
  const std::vector<crash_pattern> patterns = {
      {"one a second", [](poison_simulation& w) { end_random_heads(w, 1); }},
      {"two a second", [](poison_simulation& w) { end_random_heads(w, 2); }},
      {"a third each second", [](poison_simulation& w) { end_share_of_heads(w, 1s, 0.33); }},
      {"half each four seconds", [](poison_simulation& w) { end_share_of_heads(w, 4s, 0.5); }},
      {"all each six seconds", [](poison_simulation& w) { end_share_of_heads(w, 6s, 1); }},
      {"by turns", end_round_robin},
      {"under one caller", end_under_one_caller}};
  for (const crash_pattern& s : patterns) {
    SCOPED_TRACE(s.name);
    poison_simulation w({});
    w.run(40s, s.fault);
    EXPECT_GT(w.ended_head_count, 10U);
    EXPECT_TRUE(w.quarantined_harmless.empty());
    EXPECT_EQ(w.refused_harmless_requests, 0U);
  }
}

// Guards against late detection: a poison request that is repeated at any node ends few heads.
TEST(PoisonWorld, CulpritsCrashFewHeads) {
  poison_simulation w({});
  w.poison_hashes = {42, 43};
  w.run(40s, [](poison_simulation& simulation) {
    for (const std::uint64_t hash : simulation.poison_hashes) {
      if (is_multiple_of(simulation, 3s)) {
        simulation.submit(simulation.random_node(), hash, true);
      }
    }
  });
  EXPECT_EQ(w.quarantined_at.size(), 2U);
  EXPECT_EQ(w.refused_harmless_requests, 0U);
  for (const auto& [hash, heads] : w.heads_ended_by) {
    EXPECT_LE(heads, 8U);
  }
}

// Guards against poison requests that hide each other: the crashes of one raise the base rate of
// crashes by which the others are evaluated.
TEST(PoisonWorld, ManyCulpritsAtOnceReachFewHeadsLate) {
  constexpr std::size_t max_late_visits = 3;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SCOPED_TRACE(seed);
    poison_simulation_settings settings;
    settings.seed = seed;
    poison_simulation w(settings);
    w.poison_hashes = {42, 43, 44, 45, 46, 47};
    w.run(70s, [](poison_simulation& simulation) {
      for (const std::uint64_t hash : simulation.poison_hashes) {
        if (is_multiple_of(simulation, 3s)) {
          simulation.submit(simulation.random_node(), hash, true);
        }
      }
    });
    for (const auto& [hash, visits] : w.late_poison_submissions) {
      EXPECT_LE(visits, max_late_visits);
    }
  }
}

// Guards against the quarantine of harmless requests when heads end faster than replicas form.
TEST(PoisonWorld, NobodyIsAccusedInABurstOfEnds) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    poison_simulation_settings settings;
    settings.seed = seed;
    poison_simulation w(settings);
    w.run(60s, [](poison_simulation& simulation) {
      if (simulation.now().time_since_epoch() % 10s < 2s) {
        end_random_heads(simulation, 5);
      }
    });
    EXPECT_TRUE(w.quarantined_harmless.empty());
  }
}

// Guards against accusations that other seeds, other fleets and other crashes bring about: steady
// crashes, mass failures, and poison requests in whose company others are cut off.
TEST(PoisonWorld, NobodyIsAccusedInManyMixesOfCrashes) {
  struct mix {
    const char* name;
    std::size_t heads;
    std::size_t nodes;
    double requests_per_s;
    std::uint64_t poison_requests;
    duration poison_interval;
    std::function<void(poison_simulation&)> fault;
  };
  const auto none = [](poison_simulation&) {};
  const std::vector<mix> mixes = {
      {"four a second", 13, 6, 165, 0, 3s, [](poison_simulation& w) { end_random_heads(w, 4); }},
      {"a third twice a second", 13, 6, 165, 0, 3s,
       [](poison_simulation& w) { end_share_of_heads(w, 500ms, 0.33); }},
      {"bursts in a larger fleet", 40, 10, 500, 0, 3s,
       [](poison_simulation& w) {
         end_random_heads(w, w.now().time_since_epoch() % 10s < 2s ? 15 : 0);
       }},
      {"three poison requests", 13, 6, 165, 3, 1300ms, none},
      {"six poison requests", 13, 6, 165, 6, 2700ms, none},
      {"six poison requests beside crashes", 13, 6, 165, 6, 3s,
       [](poison_simulation& w) { end_random_heads(w, 1); }}};
  for (const mix& m : mixes) {
    for (std::uint64_t seed = 201; seed <= 204; ++seed) {
      SCOPED_TRACE(std::string(m.name) + ", seed " + std::to_string(seed));
      poison_simulation_settings settings;
      settings.heads = m.heads;
      settings.nodes = m.nodes;
      settings.requests_per_s = m.requests_per_s;
      settings.seed = seed;
      poison_simulation w(settings);
      for (std::uint64_t i = 0; i < m.poison_requests; ++i) {
        w.poison_hashes.insert(42 + i);
      }
      w.run(60s, [&m](poison_simulation& simulation) {
        for (const std::uint64_t hash : simulation.poison_hashes) {
          if (is_multiple_of(simulation, m.poison_interval)) {
            simulation.submit(simulation.random_node(), hash, true);
          }
        }
        m.fault(simulation);
      });
      EXPECT_TRUE(w.quarantined_harmless.empty());
      EXPECT_EQ(w.quarantined_at.size(), m.poison_requests);
    }
  }
}

// Guards against a detection that costs more targets than it must: one poison request alone.
TEST(PoisonWorld, ALoneCulpritEndsAtMostSixHeads) {
  for (std::uint64_t seed = 201; seed <= 212; ++seed) {
    SCOPED_TRACE(seed);
    poison_simulation_settings settings;
    settings.seed = seed;
    poison_simulation w(settings);
    w.poison_hashes = {42};
    w.run(30s, [](poison_simulation& simulation) {
      if (is_multiple_of(simulation, 3s)) {
        simulation.submit(simulation.random_node(), 42, true);
      }
    });
    EXPECT_LE(w.heads_ended_by[42], 6U);
    EXPECT_TRUE(w.quarantined_harmless.empty());
  }
}

// Guards against a bound on crashes that holds only while all nodes are connected: each side of a
// partition needs its own strikes for a quarantine, but no more than that.
TEST(PoisonWorld, EachSideOfAPartitionNeedsItsOwnStrikes) {
  poison_simulation w({});
  w.poison_hashes = {42};
  w.cut_off = {0};
  const auto submit_repeatedly = [](poison_simulation& simulation) {
    if (is_multiple_of(simulation, 2s)) {
      simulation.submit(simulation.random_node(), 42, true);
    }
  };
  w.run(40s, submit_repeatedly);
  EXPECT_LE(w.heads_ended_by[42], 16U);
  w.cut_off = {};
  w.run(2s);
  const std::size_t before = w.heads_ended_by[42];
  w.run(20s, submit_repeatedly);
  EXPECT_EQ(w.heads_ended_by[42], before);
}

// Guards against quarantines that a node loses with its process: its hub sends them again.
TEST(PoisonWorld, RestartedNodeReceivesQuarantinesFromItsHub) {
  poison_simulation w({});
  w.poison_hashes = {42};
  w.run(12s, [](poison_simulation& simulation) {
    if (is_multiple_of(simulation, 2s)) {
      simulation.submit(simulation.random_node(), 42, true);
    }
  });
  const request_fingerprint fingerprint{workspace_id{"w2"}, 42};
  ASSERT_TRUE(w.tracker(1).is_quarantined(fingerprint));
  w.restart_node(1);
  w.run(2s);
  EXPECT_TRUE(w.tracker(1).is_quarantined(fingerprint));
}

struct block_mix {
  const char* name;
  std::size_t blocks;    // poison blocks
  duration interval;     // between requests with the same poison block
  std::size_t together;  // such requests at the same moment
  poison_simulation::fault fault;
};

constexpr std::uint64_t first_poison_block = 5000;
constexpr std::uint64_t poison_request = 42;

void no_fault(poison_simulation& /*w*/) {}

// Plays requests that end heads by a block of their prompts, no two alike, beside other faults.
void play_block_mix(poison_simulation& w, const block_mix& mix) {
  w.poison_hashes = {poison_request};
  for (std::size_t i = 0; i < mix.blocks; ++i) {
    w.poison_hashes.insert(first_poison_block + i);
  }
  constexpr duration quiet_time = 5s;
  w.run(quiet_time);
  w.run(std::max<duration>(40s, 7 * mix.interval), [&](poison_simulation& simulation) {
    mix.fault(simulation);
    const bool due = is_multiple_of(simulation, mix.interval);
    for (std::size_t i = 0; due && i < mix.blocks * mix.together; ++i) {
      const std::uint64_t block = i % mix.blocks;
      simulation.submit_with_poison_block(first_poison_block + block, block % 2 == 0);
    }
  });
}

poison_simulation_settings with_sends(std::size_t sends, std::uint64_t seed) {
  poison_simulation_settings settings;
  settings.seed = seed;
  settings.max_sends = sends;
  return settings;
}

void expect_few_late_sends(const std::vector<block_mix>& mixes, std::size_t sends_of_try) {
  constexpr std::size_t max_late_sends = 3;
  for (const block_mix& mix : mixes) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      SCOPED_TRACE(std::string(mix.name) + ", seed " + std::to_string(seed));
      poison_simulation w(with_sends(sends_of_try, seed));
      play_block_mix(w, mix);
      for (const auto& [block, sends] : w.late_poison_sends) {
        EXPECT_TRUE(block == poison_request || sends <= max_late_sends) << sends << " late";
      }
      EXPECT_TRUE(w.quarantined_harmless.empty());
      EXPECT_EQ(w.refused_harmless_requests, 0U);
    }
  }
}

// Guards against the quarantine of a system prompt that is first used while heads end.
TEST(PoisonWorld, SystemPromptThatIsNewWhileTargetsCrashIsNotQuarantined) {
  const std::vector<crash_pattern> patterns = {
      {"two a second", [](poison_simulation& w) { end_random_heads(w, 2); }},
      {"four a second", [](poison_simulation& w) { end_random_heads(w, 4); }},
      {"a third twice a second", [](poison_simulation& w) { end_share_of_heads(w, 500ms, 0.33); }},
      {"all each four seconds", [](poison_simulation& w) { end_share_of_heads(w, 4s, 1); }},
      {"by turns", end_round_robin}};
  for (const crash_pattern& pattern : patterns) {
    for (const double share : {0.3, 0.03, 0.005}) {
      for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(std::string(pattern.name) + ", share " + std::to_string(share) + ", seed " +
                     std::to_string(seed));
        poison_simulation_settings settings;
        settings.seed = seed;
        poison_simulation w(settings);
        w.run(10s, pattern.fault);
        w.use_new_system_prompt(77, share);
        w.run(15s, pattern.fault);
        EXPECT_TRUE(w.quarantined_harmless.empty());
        EXPECT_EQ(w.refused_harmless_requests, 0U);
      }
    }
  }
}

const std::vector<block_mix>& block_mixes() {
  static const std::vector<block_mix> mixes = {
      {"one a second", 1, 1s, 1, no_fault},
      {"two a second", 1, 500ms, 1, no_fault},
      {"four a second", 1, 250ms, 1, no_fault},
      {"six at a moment", 1, 4s, 6, no_fault},
      {"two blocks", 2, 1s, 1, no_fault},
      {"beside one end a second", 1, 1s, 1, [](poison_simulation& w) { end_random_heads(w, 1); }},
      {"beside a third at once", 1, 1s, 1,
       [](poison_simulation& w) { end_share_of_heads(w, 5s, 0.33); }},
      {"beside a poison request", 1, 1s, 1, [](poison_simulation& w) {
         if (is_multiple_of(w, 3s)) {
           w.submit(w.random_node(), poison_request, true);
         }
       }}};
  return mixes;
}

// Guards against requests that end their targets by a block of the prompt, each of them new, where
// routes allow two sends.
TEST(PoisonWorld, PoisonBlockOfRequestsThatAreSentTwiceReachesFewHeads) {
  expect_few_late_sends(block_mixes(), 2);
}

// Guards against the same where routes allow three sends, and beside rare and many blocks.
TEST(PoisonWorld, PoisonBlockOfNewRequestsReachesFewHeads) {
  std::vector<block_mix> mixes = block_mixes();
  mixes.push_back({"one in 20 s", 1, 20s, 1, no_fault});
  mixes.push_back({"three blocks", 3, 1s, 1, no_fault});
  expect_few_late_sends(mixes, 3);
}

// Guards against poison blocks that come too seldom for the strikes of one request to suffice.
TEST(PoisonWorld, RarePoisonBlockReachesFewHeads) {
  expect_few_late_sends({{"one in 20 s", 1, 20s, 1, no_fault}}, 2);
}

// Guards against poison blocks that hide each other: most heads are down, so that sound requests
// are cut off as often.
TEST(PoisonWorld, ThreePoisonBlocksAtOnceReachFewHeads) {
  expect_few_late_sends({{"three blocks", 3, 1s, 1, no_fault}}, 2);
}

// Guards against late detection where one or two requests a second bring the block.
TEST(PoisonWorld, PoisonBlockEndsSevenHeadsAtMost) {
  constexpr std::size_t max_heads = 7;
  for (const std::size_t sends : {2, 3}) {
    for (const duration interval : {1000ms, 500ms}) {
      for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(std::to_string(sends) + " sends, each " +
                     std::to_string(to_milliseconds(interval)) + " ms, seed " +
                     std::to_string(seed));
        poison_simulation w(with_sends(sends, seed));
        play_block_mix(w, {"", 1, interval, 1, no_fault});
        EXPECT_LE(w.heads_ended_by[first_poison_block], max_heads);
      }
    }
  }
}

}  // namespace
}  // namespace arbutus::testing_support
