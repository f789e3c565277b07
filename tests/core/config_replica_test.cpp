// Tests the distribution of the configuration among nodes, and that proposals are never applied
// twice.
#include "process/config_replica.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <memory>

#include "base/hash.h"
#include "base/rng.h"
#include "process/config_proposer.h"

namespace arbutus {
namespace {

std::string content_of(int i) {
  return std::string(2000, 'a') + "change " + std::to_string(i) + std::string(2000, 'z');
}

config_head head_of(std::uint64_t version, const std::string& content) {
  config_head head{version, content_hash(content), {}};
  for (std::uint64_t v = version; v > 0 && head.proposals.size() < 32; --v) {
    head.proposals.emplace_back("p" + std::to_string(v));
  }
  return head;
}

// Simulated nodes with a table and an object store in virtual time. Results of calls to these
// stores arrive after `latency`; the table may lose replies to reads.
class fake_fleet {
 public:
  explicit fake_fleet(std::size_t nodes, std::uint64_t seed = 1) : random_(seed) {
    for (std::size_t i = 0; i < nodes; ++i) {
      add();
    }
  }

  void add() {
    const node_id id{"n" + std::to_string(10 + ids.size())};
    ids.push_back(id);
    replicas[id] = std::make_unique<config_replica>(id, random_());
  }

  config_replica& at(std::size_t i) { return *replicas.at(ids.at(i)); }

  // Stores a configuration as if a proposal had been accepted through the table.
  void accept(std::uint64_t version, const std::string& content) {
    objects[content_hash(content)] = content;
    row = {head_of(version, content), row.row_version + 1};
  }

  void run_for(duration d) {
    for (const time_point end = now + d; now < end;) {
      now += 50ms;
      step();
    }
  }

  template <class Predicate>
  duration run_until(Predicate done, duration at_most) {
    const time_point begin = now;
    while (!done() && now - begin < at_most) {
      run_for(50ms);
    }
    return now - begin;
  }

  bool all_have(std::uint64_t version, const std::string& content) {
    return std::ranges::all_of(replicas, [&](const auto& entry) {
      return entry.second->in_force().version == version && entry.second->content() == content;
    });
  }

  time_point now{100s};
  duration latency = 5ms;
  duration link_latency = 5ms;
  double lost_replies = 0.0;
  bool table_up = true;
  bool objects_up = true;
  bool links_up = true;
  head_row row;
  std::map<std::string, std::string> objects;
  std::vector<node_id> ids;
  std::map<node_id, std::unique_ptr<config_replica>> replicas;
  std::size_t head_reads = 0;
  std::size_t head_writes = 0;
  std::size_t peer_bytes = 0;
  std::size_t object_bytes = 0;
  std::vector<std::string> notices;

 private:
  using result = std::function<config_effects(config_replica&)>;

  void step() {
    for (const node_id& id : ids) {
      config_replica& r = *replicas.at(id);
      carry_out(id, r.tick(ids, now));
      const auto phase = static_cast<duration::rep>(stable_hash(id.str()) % 20) * 50ms;
      if (links_up && (now.time_since_epoch() + phase) % 1s == 0s) {
        send_heartbeats(id);
      }
    }
    std::deque<std::tuple<time_point, node_id, result>> due;
    due.swap(pending_);
    for (auto& [when, to, apply_to] : due) {
      if (when > now) {
        pending_.emplace_back(when, to, std::move(apply_to));
      } else {
        carry_out(to, apply_to(*replicas.at(to)));
      }
    }
    for (const auto& [id, r] : replicas) {
      EXPECT_GE(r->in_force().version, newest_[id]) << "a version went back on " << id;
      newest_[id] = r->in_force().version;
    }
  }

  void send_heartbeats(const node_id& from) {
    const config_in_force& have = replicas.at(from)->in_force();
    for (const node_id& to : ids) {
      if (to != from) {
        pass_on(to, [=, this, version = have.version, hash = have.hash](config_replica& r) {
          return r.peer_reported(from, version, hash, now);
        });
      }
    }
  }

  void reply(const node_id& to, result r) {
    pending_.emplace_back(now + latency, to, std::move(r));
  }

  void pass_on(const node_id& to, result r) {
    pending_.emplace_back(now + link_latency, to, std::move(r));
  }

  void carry_out(const node_id& id, const config_effects& requested) {
    for (const config_effect& requested_effect : requested) {
      std::visit([&](const auto& w) { carry(id, w); }, requested_effect);
    }
  }

  void carry(const node_id& id, const fetch_config_head&) {
    ++head_reads;
    outcome<head_row> r = unknown{"down"};
    if (table_up && random_.unit() >= lost_replies) {
      r = row;
    }
    reply(id, [=, this](config_replica& c) { return c.head_read(r, now); });
  }

  void carry(const node_id& id, const fetch_object& w) {
    outcome<std::string> r = unknown{"down"};
    if (objects_up) {
      const auto found = objects.find(w.name);
      r = refused{"none"};
      if (found != objects.end()) {
        object_bytes += found->second.size();
        r = found->second;
      }
    }
    reply(id, [=, this](config_replica& c) { return c.object_read(w.name, r, now); });
  }

  void carry(const node_id& id, const restore_object& w) {
    outcome<std::monostate> r = unknown{"down"};
    if (objects_up) {
      objects[w.name] = w.content;
      r = std::monostate{};
    }
    reply(id, [=, this](config_replica& c) { return c.object_stored(r, now); });
  }

  void carry(const node_id& id, const repair_head& w) {
    outcome<std::uint64_t> r = unknown{"down"};
    ++head_writes;
    if (table_up) {
      r = refused{"version"};
      if (row.row_version == w.expected_row_version) {
        row = {w.head, row.row_version + 1};
        r = row.row_version;
      }
    }
    reply(id, [=, this](config_replica& c) { return c.head_written(r, now); });
  }

  void carry(const node_id& id, const send_peer_message& w) {
    if (!links_up || !replicas.contains(w.to)) {
      return;
    }
    std::visit([&](const auto& m) { peer_bytes += encode(gossip_message{m}).size(); }, w.message);
    pass_on(w.to, [=, this](config_replica& c) {
      if (const auto* request = std::get_if<config_request>(&w.message)) {
        return c.peer_requested(id, *request);
      }
      return c.peer_sent(id, std::get<config_content>(w.message), now);
    });
  }

  void carry(const node_id&, const operator_notice& w) { notices.push_back(w.text); }
  void carry(const node_id& id, const publish_configuration&) {
    if (links_up) {
      send_heartbeats(id);
    }
  }

  rng random_;
  std::deque<std::tuple<time_point, node_id, result>> pending_;
  std::map<node_id, std::uint64_t> newest_;
};

// ---- distribution to all nodes ----

TEST(ConfigReplica, IsInForceEverywhereInTimeWithFewReaders) {
  fake_fleet fleet(21);
  fleet.accept(1, content_of(1));
  fleet.run_for(15s);
  ASSERT_TRUE(fleet.all_have(1, content_of(1)));
  fleet.head_reads = 0;
  fleet.run_for(20s);
  EXPECT_LT(fleet.head_reads, 120U) << "2 readers at 1 s, 19 nodes at 7.5 to 10 s";
  fleet.accept(2, content_of(2));
  const auto took = fleet.run_until([&] { return fleet.all_have(2, content_of(2)); }, 20s);
  EXPECT_LT(took, 3s);
}

TEST(ConfigReplica, IsInForceInTimeWithASlowTableThatLosesReplies) {
  std::vector<duration> times;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    fake_fleet fleet(6, seed);
    fleet.accept(1, content_of(1));
    fleet.run_for(14s + seed * 50ms);
    fleet.latency = 400ms;
    fleet.lost_replies = 0.2;
    fleet.accept(2, content_of(2));
    times.push_back(fleet.run_until([&] { return fleet.all_have(2, content_of(2)); }, 20s));
  }
  std::ranges::sort(times);
  RecordProperty("p50_ms", static_cast<int>(to_milliseconds(times[100])));
  RecordProperty("p99_ms", static_cast<int>(to_milliseconds(times[198])));
  EXPECT_LT(times[198], 3s);
}

// Guards against sending whole inventories to other nodes: an inventory is large and changes every
// few seconds, so whole copies would exceed the traffic budget.
TEST(ConfigReplica, PeersAndStoreProvidePatches) {
  fake_fleet fleet(6);
  fleet.accept(1, content_of(1));
  fleet.run_for(15s);
  fleet.peer_bytes = fleet.object_bytes = 0;
  config_content patch = make_patch(content_of(1), content_of(2));
  fleet.objects[patch_object_name(patch.head.hash, patch.base_hash)] = encode_patch(patch);
  fleet.accept(2, content_of(2));
  fleet.run_for(5s);
  ASSERT_TRUE(fleet.all_have(2, content_of(2)));
  EXPECT_LT(fleet.object_bytes, 500U);
  EXPECT_LT(fleet.peer_bytes, 6 * 2 * 500U);
}

TEST(ConfigReplica, ANewNodeLearnsFromPeersWhileThePlatformIsUnavailable) {
  fake_fleet fleet(3);
  fleet.accept(4, content_of(4));
  fleet.run_for(15s);
  fleet.table_up = fleet.objects_up = false;
  fleet.add();
  fleet.run_for(3s);
  EXPECT_TRUE(fleet.all_have(4, content_of(4)));
}

// Guards against a new node that keeps an old configuration: it first contacts peers that were
// partitioned and have an old one, then a peer with the newest, but keeps the first answer.
TEST(ConfigReplica, ANewNodeThatMeetsOldPeersFirstEndsWithTheNewest) {
  config_replica fresh(node_id{"fresh"}, 2);
  const time_point now{100s};
  const auto deliver = [&](config_replica& r, std::uint64_t version, int i) {
    config_content c = patch_without_base(content_of(i));
    c.head = head_of(version, content_of(i));
    (void)r.peer_reported(node_id{"x"}, version, c.head.hash, now);
    (void)r.peer_sent(node_id{"x"}, c, now);
  };
  deliver(fresh, 3, 3);
  EXPECT_EQ(fresh.in_force().version, 3U);
  deliver(fresh, 7, 7);
  EXPECT_EQ(fresh.in_force().version, 7U);
  deliver(fresh, 5, 5);
  EXPECT_EQ(fresh.in_force().version, 7U);
  EXPECT_EQ(fresh.content(), content_of(7));
}

// Guards against a node that is stuck on an old version because a peer reports a version whose
// content no node has, or sends content that does not match its hash.
TEST(ConfigReplica, FalseVersionsAndWrongContentAreIgnored) {
  fake_fleet fleet(2);
  fleet.accept(1, content_of(1));
  fleet.run_for(3s);
  config_replica& r = fleet.at(0);
  const node_id liar{"liar"};
  for (std::uint64_t v = 1000; v < 1020; ++v) {
    (void)r.peer_reported(liar, v, "no such content", fleet.now);
  }
  config_content wrong = patch_without_base(content_of(9));
  wrong.head = head_of(1019, "other");
  (void)r.peer_sent(liar, wrong, fleet.now);
  EXPECT_EQ(r.in_force().version, 1U);
  fleet.accept(2, content_of(2));
  fleet.run_for(15s);
  EXPECT_TRUE(fleet.all_have(2, content_of(2)));
}

// ---- a restored table ----

// Guards against an accepted configuration that is reverted when the platform restores its table
// from an old copy and nodes adopt the head in the table regardless of the version in force.
TEST(ConfigReplica, ARestoredTableIsRepairedAndNoNodeReverts) {
  fake_fleet fleet(6);
  fleet.accept(3, content_of(3));
  const head_row copy = fleet.row;
  fleet.run_for(15s);
  fleet.accept(60, content_of(60));
  fleet.run_for(15s);
  fleet.row = {copy.head, 1};
  fleet.objects.clear();
  fleet.run_for(4s);
  ASSERT_TRUE(fleet.row.head);
  EXPECT_EQ(fleet.row.head->version, 60U);
  EXPECT_EQ(fleet.row.head->proposals.size(), 32U);
  EXPECT_EQ(fleet.objects[content_hash(content_of(60))], content_of(60));
  EXPECT_LE(fleet.head_writes, 2U) << "each reader at most once";
  EXPECT_FALSE(fleet.notices.empty());
  fleet.add();
  fleet.run_for(3s);
  EXPECT_TRUE(fleet.all_have(60, content_of(60)));
  fleet.row = {};
  fleet.run_for(4s);
  EXPECT_EQ(fleet.row.head->version, 60U) << "also when the row is gone";
}

// Guards against an accepted change that is lost silently: the table is restored, an operator's
// change is accepted on the old copy before any node reads it, and the repair overwrites the change
// like an old head.
TEST(ConfigReplica, AChangeAcceptedOnAnOldCopyGetsTheHighestVersion) {
  fake_fleet fleet(6);
  fleet.accept(8, content_of(8));
  fleet.run_for(15s);
  config_head forked = head_of(5, content_of(5));
  forked.version = 6;
  forked.hash = content_hash(content_of(66));
  forked.proposals.insert(forked.proposals.begin(), proposal_id{"on the old copy"});
  fleet.objects[forked.hash] = content_of(66);
  fleet.row = {forked, 1};
  fleet.run_for(6s);
  EXPECT_TRUE(fleet.all_have(9, content_of(66)));
  EXPECT_EQ(fleet.row.head->version, 9U);
  EXPECT_FALSE(fleet.notices.empty());
}

// Guards against a proposer that applies its change again after its reply was lost: the table is
// restored, and the node that repairs the head has its configuration from the object store, without
// proposal ids, so that the repaired head lists none.
TEST(ConfigReplica, AHeadIsNotRepairedWithoutItsProposalIds) {
  config_replica r(node_id{"n"}, 1);
  const time_point now{100s};
  const node_id holder{"holder"};
  const std::string hash = content_hash(content_of(7));
  (void)r.peer_reported(holder, 7, hash, now);
  (void)r.object_read(hash, content_of(7), now);
  ASSERT_EQ(r.in_force().version, 7U);
  (void)r.peer_reported(holder, 7, hash, now);
  (void)r.tick({node_id{"n"}}, now);
  const head_row old{head_of(2, content_of(2)), 5};
  const config_effects first = r.head_read(old, now);
  EXPECT_EQ(first, (config_effects{send_peer_message{holder, config_request{hash, hash}}}));
  config_content names = make_patch(content_of(7), content_of(7));
  names.head = head_of(7, content_of(7));
  (void)r.peer_sent(holder, names, now);
  (void)r.head_read(old, now + 1s);
  const config_effects write = r.object_stored(std::monostate{}, now + 1s);
  EXPECT_EQ(write, (config_effects{repair_head{names.head, 5}}));
}

TEST(ConfigReplica, OfTwoHeadsWithOneVersionAllChooseTheSame) {
  const std::string one = content_of(1);
  const std::string two = content_of(2);
  std::vector<std::string> chosen;
  for (const bool swap : {false, true}) {
    config_replica r(node_id{"n"}, 1);
    for (const std::string& content : {swap ? two : one, swap ? one : two}) {
      config_content c = patch_without_base(content);
      c.head = head_of(6, content);
      (void)r.peer_sent(node_id{"x"}, c, time_point{100s});
    }
    chosen.push_back(r.in_force().hash);
  }
  EXPECT_EQ(chosen[0], chosen[1]);
}

// ---- patches ----

TEST(ConfigPatch, FitsItsBaseOnly) {
  rng random(3);
  for (int i = 0; i < 300; ++i) {
    std::string base(random.below(40), 'x');
    std::string content(random.below(40), 'x');
    for (std::string* text : {&base, &content}) {
      for (char& c : *text) {
        c = static_cast<char>('a' + random.below(2));
      }
    }
    const config_content patch = make_patch(base, content);
    EXPECT_EQ(apply_patch(base, patch), content);
    if (base != content) {
      EXPECT_FALSE(apply_patch(content, patch));
    }
    config_content damaged = patch;
    damaged.prefix_bytes += 1'000'000;
    EXPECT_FALSE(apply_patch(base, damaged));
  }
  EXPECT_FALSE(is_ok(decode_patch("nonsense")));
}

// ---- proposals ----

// Fake table that proposers of configuration changes write to. It loses requests and replies, and
// executes some writes late.
struct fake_table {
  head_row row;
  rng random{1};
  double lost = 0.0;
  std::map<std::string, int> accepted;  // how often each proposal was accepted, by proposal id
  std::deque<write_config_head> late;

  bool write(const write_config_head& w) {
    if (row.row_version != w.expected_row_version) {
      return false;
    }
    row = {w.head, row.row_version + 1};
    ++accepted[w.head.proposals.front().str()];
    return true;
  }

  outcome<std::uint64_t> answer(const write_config_head& w) {
    const double sample = random.unit();
    if (sample < lost / 3) {
      return unknown{"lost before"};
    }
    if (sample < 2 * lost / 3) {
      late.push_back(w);
      return unknown{"on its way"};
    }
    const bool done = write(w);
    if (sample < lost) {
      return unknown{"reply lost"};
    }
    return done ? outcome<std::uint64_t>{row.row_version} : refused{"version"};
  }

  outcome<head_row> read() {
    return random.unit() < lost ? outcome<head_row>{unknown{"lost"}} : outcome<head_row>{row};
  }
};

proposal_step carry(config_proposer& p, fake_table& table, const proposal_step& step) {
  return match(
      step, [&](const put_config_content&) { return p.put_result(std::monostate{}); },
      [&](const write_config_head& w) { return p.write_result(table.answer(w)); },
      [&](const read_config_head&) { return p.read_result(table.read()); },
      [&](const proposal_unresolved&) { return p.read_back(); },
      [&](const auto& done) { return proposal_step{done}; });
}

bool finished(const proposal_step& step) {
  return std::holds_alternative<proposal_accepted>(step) ||
         std::holds_alternative<proposal_conflict>(step) ||
         std::holds_alternative<proposal_failed>(step);
}

proposal_step run(config_proposer& p, fake_table& table) {
  proposal_step step = p.start();
  for (int i = 0; i < 100 && !finished(step); ++i) {
    step = carry(p, table, step);
  }
  return step;
}

TEST(ConfigProposer, IsAcceptedOnTheCurrentVersionOnly) {
  fake_table table;
  config_proposer first(proposal_id{"p1"}, "one", 0, 0);
  EXPECT_EQ(std::get<proposal_accepted>(run(first, table)).version, 1U);
  config_proposer second(proposal_id{"p2"}, "two", 1, 1, "one");
  EXPECT_EQ(std::get<proposal_accepted>(run(second, table)).version, 2U);
  EXPECT_EQ(table.row.head->proposals.size(), 2U);
  config_proposer late(proposal_id{"p3"}, "three", 1, 1);
  EXPECT_EQ(std::get<proposal_conflict>(run(late, table)).current->version, 2U);
  // The table was restored from an old copy: the proposer knows a newer version and does not write.
  config_proposer proposer(proposal_id{"p4"}, "four", 2, 5);
  EXPECT_EQ(std::get<proposal_conflict>(run(proposer, table)).current->version, 2U);
}

// Guards against a change that is reported as failed, made again, and so undoes a later one: the
// write takes effect, its reply is lost, another proposal is accepted, and the missing answer is
// treated as a refusal.
TEST(ConfigProposer, FindsItsProposalBelowALaterOneWhenItsReplyWasLost) {
  fake_table table;
  config_proposer mine(proposal_id{"mine"}, "one", 0, 0);
  proposal_step step = mine.start();
  step = mine.read_result(table.row);
  step = mine.put_result(std::monostate{});
  ASSERT_TRUE(table.write(std::get<write_config_head>(step)));
  step = mine.write_result(unknown{"reply lost"});
  config_proposer other(proposal_id{"other"}, "two", 1, 1);
  ASSERT_TRUE(std::holds_alternative<proposal_accepted>(run(other, table)));
  step = mine.read_result(table.row);
  EXPECT_EQ(std::get<proposal_accepted>(step).version, 1U);
  EXPECT_EQ(table.row.head->hash, content_hash("two"));
}

TEST(ConfigProposer, FailsOnlyWhenNothingWasWritten) {
  config_proposer p(proposal_id{"p"}, "one", 0, 0);
  (void)p.start();
  EXPECT_TRUE(std::holds_alternative<proposal_failed>(p.read_result(unknown{"down"})));
  config_proposer q(proposal_id{"q"}, "one", 0, 0);
  (void)q.start();
  (void)q.read_result(head_row{});
  EXPECT_TRUE(std::holds_alternative<write_config_head>(q.put_result(std::monostate{})));
  EXPECT_TRUE(std::holds_alternative<read_config_head>(q.write_result(unknown{"down"})));
  EXPECT_TRUE(std::holds_alternative<proposal_unresolved>(q.read_result(unknown{"down"})));
}

// Guards against a change that is applied twice, or reported as accepted although it is not. Three
// operators propose concurrently while replies are lost and writes arrive late; the failure occurs
// if a write is repeated without its condition.
TEST(ConfigProposer, RacesWithLostAndLateWritesNeverApplyTwice) {
  std::size_t decided = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    fake_table table;
    table.random = rng(seed);
    table.lost = 0.6;
    std::vector<config_proposer> racers;
    std::vector<proposal_step> steps;
    for (int i = 0; i < 3; ++i) {
      const std::string name = "p" + std::to_string(i);
      racers.emplace_back(proposal_id{name}, name, 0, 0);
      steps.push_back(racers.back().start());
    }
    for (int i = 0; i < 300; ++i) {
      const std::size_t k = table.random.below(3);
      steps[k] = carry(racers[k], table, steps[k]);
      if (!table.late.empty() && table.random.below(3) == 0) {
        (void)table.write(table.late.front());
        table.late.pop_front();
      }
    }
    while (!table.late.empty()) {
      (void)table.write(table.late.front());
      table.late.pop_front();
    }
    // All three proposals have the same base version, so at most one is accepted.
    EXPECT_LE(table.row.row_version, 1U);
    for (std::size_t k = 0; k < 3; ++k) {
      const int times = table.accepted["p" + std::to_string(k)];
      EXPECT_LE(times, 1);
      decided += finished(steps[k]) ? 1 : 0;
      if (std::holds_alternative<proposal_accepted>(steps[k])) {
        EXPECT_EQ(times, 1);
      } else if (finished(steps[k])) {
        EXPECT_EQ(times, 0);
      }
    }
  }
  EXPECT_GT(decided, 1000U);
}

}  // namespace
}  // namespace arbutus
