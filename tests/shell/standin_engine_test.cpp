// Tests of stand-in engines, single and as members of a replica, in virtual time.
#include <gtest/gtest.h>

#include <memory>

#include "standin/engine_standin.h"
#include "standin/expected_answer.h"

namespace arbutus::standin {
namespace {

const model_id dispatch{"dispatch-llm"};
const replica_id r1{"r1"};

engine_settings quick_settings() {
  engine_settings s;
  s.group_join_time = 1s;
  s.default_profile.weight_bytes = 1000;
  s.default_profile.batch.slots = 2;
  s.default_profile.batch.tokens_per_second = 10;
  s.default_profile.batch.prefill_tokens_per_second = 1e9;
  s.default_profile.batch.slowdown_when_full = 0;
  s.counts_runs_by_request = true;
  return s;
}

class standin_engine : public testing::Test {
 protected:
  engine_standin& add(const char* name, const engine_settings& settings = quick_settings()) {
    engines.push_back(std::make_unique<engine_standin>(fabric, vm_id{name}, settings));
    return *engines.back();
  }

  order make_order(order_kind kind, const engine_standin& e, generation fencing_generation) {
    order o;
    o.kind = kind;
    o.vm = e.vm();
    o.target = {r1, fencing_generation, members};
    o.model = dispatch;
    o.model_version = "1";
    return o;
  }
  bool apply(engine_standin& e, order_kind kind, generation fencing_generation) {
    return e.apply(now, make_order(kind, e, fencing_generation), now).accepted;
  }

  // Forms the replica of all engines and waits until it is ready.
  void form_group(generation fencing_generation = {7, 0, 0}) {
    for (const auto& e : engines) {
      ASSERT_TRUE(apply(*e, order_kind::form, fencing_generation));
    }
    now += 10s;
  }
  void add_group(const engine_settings& settings = quick_settings()) {
    for (const char* name : {"a1", "a2", "a3"}) {
      members.emplace_back(name);
      add(name, settings);
    }
    form_group();
  }
  engine_standin& head() { return *engines.front(); }

  generation_request make_request(const char* id, std::uint32_t tokens = 10) {
    generation_request r;
    r.id = request_id{id};
    r.model = dispatch;
    r.prompt = std::string("prompt of ") + id;
    r.max_tokens = tokens;
    return r;
  }
  batch_handle submit(const generation_request& r) {
    const auto submitted = head().submit(now, r);
    EXPECT_TRUE(std::holds_alternative<batch_handle>(submitted));
    const auto* handle = std::get_if<batch_handle>(&submitted);
    return handle == nullptr ? 0 : *handle;
  }
  int refusal_status(engine_standin& e, const generation_request& r) {
    const auto submitted = e.submit(now, r);
    const auto* refusal = std::get_if<not_run>(&submitted);
    return refusal == nullptr ? 0 : refusal->status;
  }

  static std::string text_of(const stream_step& step) {
    std::string text;
    for (const standin_token& t : step.tokens) {
      text += t.text;
    }
    return text;
  }
  std::string expected(const generation_request& r) {
    return expected_answer(r.model, r.prompt, r.max_tokens);
  }

  time_point now{100s};
  engine_fabric fabric{weight_standin{1000.0}};
  std::vector<vm_id> members;
  std::vector<std::unique_ptr<engine_standin>> engines;
};

TEST_F(standin_engine, loads_at_the_shared_rate_and_is_then_ready) {
  members = {vm_id{"a1"}, vm_id{"a2"}};
  engine_standin& first = add("a1");
  engine_standin& second = add("a2");
  EXPECT_EQ(first.report(now).state, engine_state::idle);
  apply(first, order_kind::form, {7, 0, 0});
  apply(second, order_kind::form, {7, 0, 0});
  now += 2s;
  EXPECT_EQ(first.report(now).state, engine_state::ready);
  EXPECT_EQ(second.report(now).state, engine_state::loading);
  EXPECT_EQ(refusal_status(first, make_request("q")), 503);
  now += 1s;
  EXPECT_EQ(second.report(now).state, engine_state::ready);
  EXPECT_EQ(refusal_status(first, make_request("q")), 0);
}

TEST_F(standin_engine, answers_as_expected_token_by_token) {
  add_group();
  const generation_request r = make_request("q", 10);
  const batch_handle h = submit(r);
  stream_step step = head().take(now, h, false);
  EXPECT_TRUE(step.tokens.empty());
  ASSERT_TRUE(step.next_at);
  now = *step.next_at;
  step = head().take(now, h, false);
  EXPECT_EQ(text_of(step), answer_token(answer_seed(r.model, r.prompt), 0));
  std::string text = text_of(step);
  now += 1s;
  step = head().take(now, h, false);
  EXPECT_EQ(step.state, stream_state::finished);
  EXPECT_EQ(text + text_of(step), expected(r));
  EXPECT_EQ(head().counters().completed, 1U);
}

TEST_F(standin_engine, resumes_after_the_tokens_the_caller_has) {
  add_group();
  generation_request r = make_request("q", 10);
  r.resume_offset = 7;
  const batch_handle h = submit(r);
  now += 1s;
  const stream_step step = head().take(now, h, true);
  ASSERT_EQ(step.tokens.size(), 3U);
  EXPECT_EQ(step.tokens.front().offset, 7U);
  EXPECT_EQ(expected_answer(r.model, r.prompt, 7) + text_of(step), expected(r));
}

TEST_F(standin_engine, runs_by_priority_and_slows_with_the_batch) {
  engine_settings settings = quick_settings();
  settings.default_profile.batch.slowdown_when_full = 1.0;
  add_group(settings);
  const batch_handle a = submit(make_request("a", 10));
  const batch_handle b = submit(make_request("b", 10));
  generation_request urgent = make_request("urgent", 10);
  generation_request batch = make_request("batch", 10);
  batch.priority = 1;
  const batch_handle later = submit(batch);
  const batch_handle sooner = submit(urgent);
  now += 1s;
  EXPECT_EQ(head().take(now, a, false).tokens.size(), 5U);
  EXPECT_EQ(head().report(now).queued, 2U);
  now += 1s;
  EXPECT_EQ(head().take(now, b, true).state, stream_state::finished);
  now += 1s;
  EXPECT_EQ(head().take(now, sooner, false).tokens.size(), 5U);
  EXPECT_EQ(head().take(now, later, false).tokens.size(), 5U);
  EXPECT_EQ(head().report(now).queued, 0U);
}

TEST_F(standin_engine, queues_by_priority) {
  add_group();
  submit(make_request("a", 10));
  submit(make_request("b", 20));
  generation_request batch = make_request("batch", 10);
  batch.priority = 1;
  const batch_handle later = submit(batch);
  const batch_handle sooner = submit(make_request("urgent", 20));
  now += 1500ms;
  EXPECT_EQ(head().take(now, sooner, false).tokens.size(), 5U);
  EXPECT_TRUE(head().take(now, later, false).tokens.empty());
}

// A replica fails with any one of its members: when another member's process dies, the requests on
// the head are cut and new ones are refused.
TEST_F(standin_engine, cuts_all_requests_when_a_member_dies) {
  add_group();
  const batch_handle running = submit(make_request("a", 100));
  submit(make_request("b", 100));
  const batch_handle queued = submit(make_request("c", 100));
  now += 1s;
  engines[2]->kill(now);
  EXPECT_EQ(head().take(now, running, false).state, stream_state::cut);
  EXPECT_EQ(head().take(now, queued, false).state, stream_state::cut);
  EXPECT_EQ(refusal_status(head(), make_request("d")), 503);
  EXPECT_EQ(head().counters().cut, 3U);
  EXPECT_EQ(head().runs(request_id{"d"}), 0U);
}

TEST_F(standin_engine, serves_again_once_the_member_is_back_in_the_group) {
  add_group();
  engines[2]->restart(now);
  EXPECT_EQ(engines[2]->report(now).incarnation, 2U);
  EXPECT_EQ(engines[2]->report(now).state, engine_state::idle);
  EXPECT_EQ(refusal_status(head(), make_request("a")), 503);
  apply(*engines[2], order_kind::form, {7, 0, 0});
  now += 2s;
  EXPECT_EQ(refusal_status(head(), make_request("b")), 0);
}

TEST_F(standin_engine, makes_no_progress_while_a_member_is_paused) {
  add_group();
  const batch_handle h = submit(make_request("a", 100));
  now += 1s;
  EXPECT_EQ(head().take(now, h, false).tokens.size(), 10U);
  engines[1]->pause(now);
  now += 5s;
  EXPECT_TRUE(head().take(now, h, false).tokens.empty());
  engines[1]->resume(now);
  now += 1s;
  EXPECT_EQ(head().take(now, h, false).tokens.size(), 10U);
}

TEST_F(standin_engine, is_as_slow_as_its_slowest_member) {
  add_group();
  const batch_handle h = submit(make_request("a", 100));
  engines[1]->set_straggler(now, 0.2);
  now += 1s;
  EXPECT_EQ(head().take(now, h, false).tokens.size(), 2U);
}

// Guards against a VM that returns to its former replica: the network or a paused sender delays an
// order, which arrives after a newer one has been carried out. The fencing token rejects it.
TEST_F(standin_engine, refuses_an_old_fencing_token_if_checks_are_on) {
  add_group();
  EXPECT_FALSE(apply(head(), order_kind::form, {6, 9, 3}));
  EXPECT_FALSE(apply(head(), order_kind::release, {6, 0, 0}));
  EXPECT_EQ(head().report(now).fencing_generation, (generation{7, 0, 0}));
  head().set_checks_tokens(false);
  EXPECT_TRUE(apply(head(), order_kind::form, {6, 9, 3}));
  EXPECT_EQ(head().report(now).fencing_generation, (generation{6, 9, 3}));
}

TEST_F(standin_engine, refuses_a_fencing_token_used_for_another_composition) {
  add_group();
  order other = make_order(order_kind::form, head(), {7, 0, 0});
  other.target.replica = replica_id{"r2"};
  EXPECT_FALSE(head().apply(now, other, now).accepted);
}

TEST_F(standin_engine, refuses_an_order_for_another_incarnation_or_vm) {
  add_group();
  order o = make_order(order_kind::release, head(), {8, 0, 0});
  o.expected_incarnation = 2;
  EXPECT_FALSE(head().apply(now, o, now).accepted);
  o.expected_incarnation = 1;
  o.vm = vm_id{"a2"};
  EXPECT_FALSE(head().apply(now, o, now).accepted);
  EXPECT_EQ(head().counters().orders_refused, 2U);
}

// Guards against an engine that carries out an order after its sender has given up on it: the order
// arrives while the engine is paused, and the engine, which does not notice its pause, handles it
// after the validity period.
TEST_F(standin_engine, refuses_an_order_past_its_validity) {
  add_group();
  const order o = make_order(order_kind::release, head(), {8, 0, 0});
  EXPECT_FALSE(head().apply(now + 3s, o, now).accepted);
  EXPECT_TRUE(head().apply(now + 4s, o, now + 3s).accepted);
}

TEST_F(standin_engine, repeats_of_an_order_change_nothing) {
  add_group();
  submit(make_request("a", 100));
  EXPECT_TRUE(apply(head(), order_kind::form, {7, 0, 0}));
  EXPECT_EQ(head().report(now).state, engine_state::ready);
  EXPECT_EQ(head().counters().cut, 0U);
}

TEST_F(standin_engine, keeps_its_weights_in_a_new_generation_with_the_same_shard) {
  add_group();
  const std::uint64_t before = fabric.weights().loaded_bytes();
  form_group({8, 0, 0});
  EXPECT_EQ(fabric.weights().loaded_bytes(), before);
  EXPECT_EQ(refusal_status(head(), make_request("a")), 0);
}

TEST_F(standin_engine, drains_without_cutting) {
  add_group();
  const generation_request r = make_request("a", 10);
  const batch_handle h = submit(r);
  EXPECT_TRUE(apply(head(), order_kind::drain, {7, 0, 0}));
  EXPECT_EQ(refusal_status(head(), make_request("b")), 409);
  now += 1s;
  EXPECT_EQ(text_of(head().take(now, h, true)), expected(r));
  EXPECT_TRUE(apply(head(), order_kind::release, {7, 0, 0}));
  EXPECT_EQ(head().report(now).state, engine_state::idle);
  EXPECT_EQ(head().counters().cut_by_order, 0U);
}

TEST_F(standin_engine, counts_requests_cut_by_a_release) {
  add_group();
  submit(make_request("a", 10));
  apply(head(), order_kind::release, {7, 0, 0});
  EXPECT_EQ(head().counters().cut_by_order, 1U);
}

// Guards against handles whose numbering restarts with each batch: a request is cut by a new
// generation, a new request starts, and closing the old connection would end it or expose its
// tokens.
TEST_F(standin_engine, never_reuses_a_handle) {
  add_group();
  const batch_handle old = submit(make_request("a", 100));
  form_group({8, 0, 0});
  const batch_handle fresh = submit(make_request("b", 10));
  EXPECT_EQ(head().take(now, old, false).state, stream_state::cut);
  head().close(now, old);
  now += 1s;
  EXPECT_EQ(head().take(now, fresh, true).state, stream_state::finished);
}

TEST_F(standin_engine, refuses_requests_for_another_composition) {
  add_group();
  generation_request r = make_request("a");
  r.replica = replica_id{"r2"};
  EXPECT_EQ(refusal_status(head(), r), 409);
  r.replica = r1;
  r.fencing_generation = to_string(generation{6, 0, 0});
  EXPECT_EQ(refusal_status(head(), r), 409);
  r.fencing_generation = to_string(generation{7, 0, 0});
  EXPECT_EQ(refusal_status(*engines[1], r), 409);
  EXPECT_EQ(head().runs(r.id), 0U);
  EXPECT_EQ(refusal_status(head(), r), 0);
  EXPECT_EQ(head().runs(r.id), 1U);
}

TEST_F(standin_engine, drops_expired_queued_requests_as_not_run) {
  add_group();
  submit(make_request("a", 100));
  submit(make_request("b", 100));
  generation_request r = make_request("c");
  r.expiry = 2s;
  const batch_handle h = submit(r);
  EXPECT_EQ(head().take(now + 1s, h, false).state, stream_state::open);
  EXPECT_EQ(head().take(now + 2s, h, false).state, stream_state::expired);
  EXPECT_EQ(head().runs(r.id), 0U);
}

TEST_F(standin_engine, frees_the_slot_of_a_cancelled_request) {
  add_group();
  const batch_handle a = submit(make_request("a", 100));
  submit(make_request("b", 100));
  submit(make_request("c", 100));
  EXPECT_TRUE(head().cancel(now, request_id{"a"}));
  EXPECT_FALSE(head().cancel(now, request_id{"a"}));
  EXPECT_EQ(head().take(now, a, false).state, stream_state::cut);
  EXPECT_EQ(head().report(now).queued, 0U);
  EXPECT_EQ(head().report(now).running, 2U);
}

// Simulates an engine that mixes up the requests of its batch: two run concurrently, and each
// caller gets the complete, well-formed answer of the other.
TEST_F(standin_engine, swaps_two_answers_with_their_ids) {
  add_group();
  head().faults().swapped = 1;
  const generation_request a = make_request("a");
  const generation_request b = make_request("b");
  const batch_handle first = submit(a);
  const batch_handle second = submit(b);
  now += 1s;
  const stream_step step = head().take(now, first, true);
  EXPECT_EQ(step.response_id, b.id);
  EXPECT_EQ(text_of(step), expected(b));
  EXPECT_EQ(head().take(now, second, true).response_id, a.id);
  const batch_handle third = submit(make_request("c"));
  EXPECT_EQ(head().take(now, third, true).response_id, request_id{"c"});
}

TEST_F(standin_engine, truncates_duplicates_and_delays_answers) {
  add_group();
  head().faults().truncated = 1;
  const batch_handle half = submit(make_request("a", 10));
  head().faults().duplicated = 1;
  const batch_handle doubled = submit(make_request("b", 10));
  now += 1s;
  const stream_step cut = head().take(now, half, false);
  EXPECT_EQ(cut.state, stream_state::cut);
  EXPECT_EQ(cut.tokens.size(), 5U);
  const stream_step twice = head().take(now, doubled, false);
  ASSERT_EQ(twice.tokens.size(), 11U);
  EXPECT_EQ(twice.tokens[5].offset, twice.tokens[6].offset);
  head().faults().late = 1;
  head().faults().late_by = 4s;
  const batch_handle late = submit(make_request("c", 10));
  EXPECT_TRUE(head().take(now + 3s, late, false).tokens.empty());
  EXPECT_EQ(head().take(now + 4s, late, false).state, stream_state::finished);
}

TEST_F(standin_engine, skips_the_prefill_of_cached_blocks) {
  engine_settings settings = quick_settings();
  settings.default_profile.batch.prefill_tokens_per_second = 64;
  add_group(settings);
  generation_request r = make_request("a", 10);
  r.prompt = std::string(2 * prefix_block_bytes, 'x');
  EXPECT_EQ(head().take(now, submit(r), true).next_at, now + 3s);
  now += 3s;
  const batch_handle again = submit(r);
  // The prompt enters the prefix cache only when the first answer's tokens are taken, which has not
  // happened yet.
  EXPECT_EQ(head().take(now, again, true).next_at, now + 3s);
  head().close(now, again);
  EXPECT_EQ(head().take(now, 1, true).state, stream_state::finished);
  EXPECT_EQ(head().take(now, submit(r), true).next_at, now + 1s);
}

TEST_F(standin_engine, reports_load_late_but_identity_immediately) {
  engine_settings settings = quick_settings();
  settings.report_lag = 2s;
  add_group(settings);
  EXPECT_EQ(head().report(now).running, 0U);
  now += 5s;
  submit(make_request("a", 1000));
  EXPECT_EQ(head().report(now + 1s).running, 0U);
  EXPECT_EQ(head().report(now + 2s).running, 1U);
  head().set_leaving(true);
  EXPECT_TRUE(head().report(now + 2s).leaving);
}

TEST(standin_cache, evicts_the_least_recently_used_and_publishes_late_with_gaps) {
  cache_standin cache({2, 1s, 0.0}, 1);
  const time_point now{10s};
  cache.store(now, {1});
  cache.store(now, {2});
  EXPECT_EQ(cache.count_cached_blocks({1}), 1U);
  cache.store(now, {3});
  EXPECT_EQ(cache.count_cached_blocks({1}), 1U);
  EXPECT_EQ(cache.count_cached_blocks({2}), 0U);
  EXPECT_TRUE(cache.events(now + 999ms, 0).empty());
  const auto events = cache.events(now + 1s, 1);
  ASSERT_EQ(events.size(), 3U);
  EXPECT_EQ(events[1].change, cache_change::removed);
  EXPECT_EQ(events[1].block, 2U);

  cache_standin gappy({1000, 0s, 0.5}, 1);
  for (std::uint64_t block = 1; block <= 1000; ++block) {
    gappy.store(now, {block});
  }
  EXPECT_NEAR(static_cast<double>(gappy.events(now, 0).size()), 500.0, 80.0);
}

TEST(standin_cache, moves_a_prefix_to_another_engine) {
  cache_standin from({8, 0s, 0.0}, 1);
  cache_standin to({8, 0s, 0.0}, 2);
  const time_point now{10s};
  from.store(now, {11, 12, 13});
  EXPECT_TRUE(from.export_prefix(14).empty());
  EXPECT_TRUE(to.import_prefix(now, from.export_prefix(12)));
  EXPECT_EQ(to.count_cached_blocks({11, 12, 13}), 2U);
  EXPECT_FALSE(to.import_prefix(now, "something else"));
}

}  // namespace
}  // namespace arbutus::standin
