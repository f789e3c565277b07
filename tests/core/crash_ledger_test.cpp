// Evidence against requests and verdicts on them, in virtual time.
#include "process/crash_ledger.h"

#include <gtest/gtest.h>

#include "poison_world.h"
#include "process/crash_exchange.h"
#include "process/crash_wire.h"

namespace arbutus::testing_support {
namespace {

constexpr time_point start{1000s};
const request_print culprit{workspace_id{"desk"}, 42};
const request_print bystander{workspace_id{"desk"}, 7};

target_id target(int i) {
  return target_id{"i-" + std::to_string(i)};
}

// The run of `print` that ended target `i`, a second after the one before.
crash_mark mark_at(int i) {
  return {target(i), start + i * 1s, start + i * 1s + 300ms};
}

void mark_in_order(crash_ledger& ledger, const request_print& print, int from, int to) {
  for (int i = from; i < to; ++i) {
    ledger.run_sent(mark_at(i).sent_at, target(i));
    ledger.mark(print, mark_at(i));
  }
}

TEST(CrashLedger, FourEndsOneAfterTheOtherMakeAVerdict) {
  crash_ledger ledger;
  mark_in_order(ledger, culprit, 0, 3);
  EXPECT_TRUE(ledger.judge(start + 10s).empty());
  mark_in_order(ledger, culprit, 3, 4);
  const auto verdicts = ledger.judge(start + 10s);
  ASSERT_EQ(verdicts.size(), 1U);
  EXPECT_EQ(verdicts.front().targets.size(), 4U);
  EXPECT_TRUE(ledger.is_convicted(culprit));
  EXPECT_GT(ledger.convicted_for(start + 10s, culprit), std::optional<duration>(3000s));
}

// Guards against evidence that is counted before other nodes have told theirs.
TEST(CrashLedger, WaitsForWhatOthersKnow) {
  crash_ledger ledger;
  mark_in_order(ledger, culprit, 0, 4);
  const time_point last_end = mark_at(3).ended_at;
  EXPECT_TRUE(ledger.judge(last_end + 100ms).empty());
  EXPECT_TRUE(ledger.held_until(last_end + 100ms, culprit));
  EXPECT_FALSE(ledger.held_until(last_end + 1s, culprit));
  EXPECT_EQ(ledger.judge(last_end + 1s).size(), 1U);
}

// Guards against a verdict on a request of which many run at once when a rack fails.
TEST(CrashLedger, TargetsThatEndUnderRunsOfOneTimeAreOneEvent) {
  crash_ledger ledger;
  for (int i = 0; i < 8; ++i) {
    ledger.mark(culprit, {target(i), start, start + 300ms + i * 1ms});
  }
  EXPECT_TRUE(ledger.judge(start + 10s).empty());
}

// Guards against ends that look like one, as the target is back before the list tells its new life.
TEST(CrashLedger, EndsOfATargetUnderItsEarlierNameAreSeveral) {
  crash_ledger ledger;
  ledger.run_sent(start, target(0));
  for (int i = 0; i < 4; ++i) {
    const crash_mark mark{target(0), start + i * 1s, start + i * 1s + 300ms};
    EXPECT_TRUE(ledger.mark(culprit, mark));
    EXPECT_FALSE(ledger.mark(culprit, {mark.target, mark.sent_at + 1ms, mark.ended_at + 1ms}));
  }
  EXPECT_EQ(ledger.judge(start + 10s).size(), 1U);
}

// Guards against a verdict on what was sent along with the culprit, twice and more.
TEST(CrashLedger, WhoSharesAllEndsWithAnotherIsNotTakenForIt) {
  crash_ledger ledger;
  mark_in_order(ledger, culprit, 0, 5);
  mark_in_order(ledger, bystander, 0, 4);
  const auto verdicts = ledger.judge(start + 10s);
  ASSERT_EQ(verdicts.size(), 1U);
  EXPECT_EQ(verdicts.front().print, culprit);
  // What the culprit explains is no evidence any more.
  EXPECT_TRUE(ledger.all().at(bystander).marks.empty());
}

// Guards against a pair that is always sent together and goes on for ever.
TEST(CrashLedger, InseparableSuspectsAreConvictedInTheEnd) {
  crash_ledger ledger;
  mark_in_order(ledger, culprit, 0, 7);
  mark_in_order(ledger, bystander, 0, 7);
  EXPECT_TRUE(ledger.judge(start + 20s).empty());
  mark_in_order(ledger, culprit, 7, 8);
  mark_in_order(ledger, bystander, 7, 8);
  EXPECT_FALSE(ledger.judge(start + 20s).empty());
}

TEST(CrashLedger, ARunThatEndsWellAcquits) {
  crash_ledger ledger;
  mark_in_order(ledger, culprit, 0, 3);
  EXPECT_TRUE(ledger.acquit(start + 3s, culprit));
  EXPECT_TRUE(ledger.all().at(culprit).marks.empty());
  // A caller whose engines are killed under what ran well a moment ago.
  mark_in_order(ledger, culprit, 4, 40);
  EXPECT_TRUE(ledger.judge(start + 50s).empty());
  // What runs well no longer, as after a change of the engines, is seen all the same.
  mark_in_order(ledger, culprit, 64, 68);
  EXPECT_EQ(ledger.judge(start + 80s).size(), 1U);
}

// Guards against a verdict that holds beside proof of the opposite.
TEST(CrashLedger, ARunThatEndsWellLiftsAVerdict) {
  crash_ledger ledger;
  mark_in_order(ledger, culprit, 0, 4);
  ledger.judge(start + 10s);
  EXPECT_TRUE(ledger.acquit(start + 11s, culprit));
  EXPECT_FALSE(ledger.is_convicted(culprit));
}

TEST(CrashLedger, AfterAnOperatorLiftedItEvidenceCountsAnew) {
  crash_ledger ledger;
  mark_in_order(ledger, culprit, 0, 4);
  ledger.judge(start + 10s);
  EXPECT_TRUE(ledger.lift(start + 10s, culprit));
  EXPECT_FALSE(ledger.is_convicted(culprit));
  mark_in_order(ledger, culprit, 11, 15);
  EXPECT_EQ(ledger.judge(start + 20s).size(), 1U);
}

// Guards against marks of another node that arrive after the run that acquits.
TEST(CrashLedger, MarksOfBeforeAGoodRunDoNotCount) {
  crash_ledger other;
  mark_in_order(other, culprit, 0, 4);
  crash_ledger ledger;
  ledger.acquit(start + 5s, culprit);
  std::uint64_t after = 0;
  for (const crash_row& row : other.changed_since(start + 5s, after, 10)) {
    ledger.take(start + 5s, row);
  }
  EXPECT_TRUE(ledger.judge(start + 20s).empty());
}

// Guards against verdicts on an evening when targets end for reasons of their own.
TEST(CrashLedger, ManyOtherEndsMakeAnAccidentOfIt) {
  crash_ledger ledger;
  mark_in_order(ledger, culprit, 0, 4);
  for (int i = 100; i < 140; ++i) {
    const time_point end = start + (i - 100) * 100ms;
    ledger.mark({workspace_id{"desk"}, static_cast<std::uint64_t>(i)}, {target(i), end - 1s, end});
  }
  EXPECT_TRUE(ledger.judge(start + 10s).empty());
}

TEST(CrashLedger, OneWorkspaceSaysNothingOfAnothers) {
  crash_ledger ledger;
  mark_in_order(ledger, culprit, 0, 4);
  ledger.judge(start + 10s);
  EXPECT_FALSE(ledger.is_convicted({workspace_id{"clerks"}, culprit.hash}));
}

// Guards against a caller who floods the ledger to free a culprit, or to push out another's.
TEST(CrashLedger, AFloodFreesNobody) {
  crash_ledger ledger;
  mark_in_order(ledger, culprit, 0, 2);
  const request_print other{workspace_id{"clerks"}, 1};
  mark_in_order(ledger, other, 0, 1);
  for (std::uint64_t i = 0; i < 5000; ++i) {
    ledger.mark({workspace_id{"desk"}, 1000 + i}, mark_at(50));
  }
  EXPECT_LE(ledger.all().size(), 130U);
  EXPECT_EQ(ledger.all().at(culprit).marks.size(), 2U);
  EXPECT_EQ(ledger.all().at(other).marks.size(), 1U);
}

TEST(CrashLedger, VerdictsLapse) {
  crash_ledger ledger;
  mark_in_order(ledger, culprit, 0, 4);
  ledger.judge(start + 10s);
  ledger.set_stored(culprit, true);
  ledger.judge(start + 3700s);
  EXPECT_FALSE(ledger.is_convicted(culprit));
  EXPECT_EQ(ledger.for_store().to_remove.size(), 1U);
}

TEST(CrashLedger, RowsPassAsBytes) {
  crash_ledger ledger;
  mark_in_order(ledger, culprit, 0, 4);
  ledger.judge(start + 10s);
  std::uint64_t after = 0;
  const auto rows = ledger.changed_since(start + 10s, after, 10);
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_EQ(after, ledger.position());
  const auto read = decode_crash_row(encode(rows.front()));
  ASSERT_TRUE(read);
  crash_ledger other;
  EXPECT_TRUE(other.take(start + 10s, *read));
  EXPECT_TRUE(other.is_convicted(culprit));
  EXPECT_FALSE(decode_crash_row("\x96 damaged"));
}

// Guards against beats that repeat what the peer has, or that never repeat what was lost.
TEST(CrashExchange, TellsAgainUntilAnswered) {
  crash_ledger ledger;
  mark_in_order(ledger, culprit, 0, 1);
  crash_exchange exchange("life-a");
  const node_id peer{"edge-2"};
  EXPECT_EQ(exchange.news_for(start, peer, ledger).rows.size(), 1U);
  EXPECT_TRUE(exchange.news_for(start + 200ms, peer, ledger).rows.empty());
  EXPECT_EQ(exchange.news_for(start + 1500ms, peer, ledger).rows.size(), 1U);
  exchange.acknowledged(peer, {"life-a", ledger.position()});
  EXPECT_TRUE(exchange.news_for(start + 4s, peer, ledger).rows.empty());
  // The peer has started again and knows nothing.
  exchange.acknowledged(peer, {});
  EXPECT_EQ(exchange.news_for(start + 6s, peer, ledger).rows.size(), 1U);
}

struct storm {
  const char* name;
  poison_world::fault fault;
};

bool is_every(const poison_world& w, duration d) {
  return (w.now().time_since_epoch() % d).count() == 0;
}

void end_by_chance(poison_world& w, double heads_per_s) {
  if (w.random().unit() < heads_per_s * to_seconds(poison_world::step)) {
    w.end_head(w.any_head());
  }
}

// Each `interval`, at one moment.
void end_a_part(poison_world& w, duration interval, double part) {
  if (!is_every(w, interval)) {
    return;
  }
  for (std::size_t i = 0; i < w.heads(); ++i) {
    if (w.random().unit() < part) {
      w.end_head(i);
    }
  }
}

void end_by_turns(poison_world& w) {
  constexpr duration turn = 400ms;
  if (is_every(w, turn)) {
    w.end_head(static_cast<std::size_t>(w.now().time_since_epoch() / turn) % w.heads());
  }
}

// A caller that asks the same again each second, and loses its engine half of the time.
void end_under_one_caller(poison_world& w) {
  constexpr std::uint64_t hash = 7;
  if (is_every(w, 1s)) {
    w.ask(w.any_node(), hash);
  }
  if (is_every(w, 500ms) && w.random().unit() < 0.5 && w.head_of(hash) < w.heads()) {
    w.end_head(w.head_of(hash));
  }
}

// Guards against false accusations: many ends, and no request that is guilty of any.
TEST(PoisonWorld, NobodyIsAccusedWhereTargetsEndByThemselves) {
  const std::vector<storm> storms = {
      {"one a second", [](poison_world& w) { end_by_chance(w, 1); }},
      {"two a second", [](poison_world& w) { end_by_chance(w, 2); }},
      {"a third each second", [](poison_world& w) { end_a_part(w, 1s, 0.33); }},
      {"half each four seconds", [](poison_world& w) { end_a_part(w, 4s, 0.5); }},
      {"all each six seconds", [](poison_world& w) { end_a_part(w, 6s, 1); }},
      {"by turns", end_by_turns},
      {"under one caller", end_under_one_caller}};
  for (const storm& s : storms) {
    SCOPED_TRACE(s.name);
    poison_world w({});
    w.run(40s, s.fault);
    EXPECT_GT(w.ended_heads, 10U);
    EXPECT_TRUE(w.accused_proper.empty());
    EXPECT_EQ(w.refused_proper, 0U);
  }
}

// Guards against culprits that are found too late: heads ended by each, under repeats at any node.
TEST(PoisonWorld, CulpritsEndFewHeads) {
  poison_world w({});
  w.culprits = {42, 43};
  w.run(40s, [](poison_world& world) {
    for (const std::uint64_t hash : world.culprits) {
      if (is_every(world, 3s)) {
        world.ask(world.any_node(), hash, true);
      }
    }
  });
  EXPECT_EQ(w.convicted_at.size(), 2U);
  EXPECT_EQ(w.refused_proper, 0U);
  for (const auto& [hash, heads] : w.ended_by) {
    EXPECT_LE(heads, 8U);
  }
}

// Guards against culprits that hide behind each other: each one's ends look like targets that end
// anyway to the evidence against the next.
TEST(PoisonWorld, ManyCulpritsAtOnceReachFewHeadsLate) {
  constexpr std::size_t late_visits_of_bound = 3;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    SCOPED_TRACE(seed);
    poison_world_settings settings;
    settings.seed = seed;
    poison_world w(settings);
    w.culprits = {42, 43, 44, 45, 46, 47};
    w.run(70s, [](poison_world& world) {
      for (const std::uint64_t hash : world.culprits) {
        if (is_every(world, 3s)) {
          world.ask(world.any_node(), hash, true);
        }
      }
    });
    for (const auto& [hash, visits] : w.late_visits) {
      EXPECT_LE(visits, late_visits_of_bound);
    }
  }
}

// Guards against false accusations where heads end faster than replicas form.
TEST(PoisonWorld, NobodyIsAccusedInABurstOfEnds) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SCOPED_TRACE(seed);
    poison_world_settings settings;
    settings.seed = seed;
    poison_world w(settings);
    w.run(60s, [](poison_world& world) {
      if (world.now().time_since_epoch() % 10s < 2s) {
        end_by_chance(world, 5);
      }
    });
    EXPECT_TRUE(w.accused_proper.empty());
  }
}

// Guards against a bound that holds only while nodes hear each other: each side of a cut needs its
// own evidence, and no more.
TEST(PoisonWorld, EachSideOfACutNeedsItsOwnEvidence) {
  poison_world w({});
  w.culprits = {42};
  w.cut_off = {0};
  const auto visit_everywhere = [](poison_world& world) {
    if (is_every(world, 2s)) {
      world.ask(world.any_node(), 42, true);
    }
  };
  w.run(40s, visit_everywhere);
  EXPECT_LE(w.ended_by[42], 16U);
  w.cut_off = {};
  w.run(2s);
  const std::size_t before = w.ended_by[42];
  w.run(20s, visit_everywhere);
  EXPECT_EQ(w.ended_by[42], before);
}

// Guards against a node that forgets with its process: its hub tells it again.
TEST(PoisonWorld, ANodeThatStartsAgainIsTold) {
  poison_world w({});
  w.culprits = {42};
  w.run(12s, [](poison_world& world) {
    if (is_every(world, 2s)) {
      world.ask(world.any_node(), 42, true);
    }
  });
  const request_print print{workspace_id{"w2"}, 42};
  ASSERT_TRUE(w.ledger(1).is_convicted(print));
  w.forget_all(1);
  w.run(2s);
  EXPECT_TRUE(w.ledger(1).is_convicted(print));
}

}  // namespace
}  // namespace arbutus::testing_support
