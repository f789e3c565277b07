// Tests admission control of requests in virtual time: order, fairness, refusal by deadline, and
// estimates.
#include <gtest/gtest.h>

#include "admission/admission.h"
#include "request/policy_bench.h"

namespace arbutus {
namespace {

const time_point start{};

request_facts request(const std::string& id, const std::string& workspace = "w",
                      std::uint32_t priority = 0, duration deadline = 1h) {
  request_facts facts;
  facts.id = request_id(id);
  facts.workspace = workspace_id(workspace);
  facts.priority = priority;
  facts.arrival = start;
  facts.deadline = start + deadline;
  return facts;
}

// Admission with one slot, taken by a request called "running".
admission with_one_busy_slot(const admission_settings& settings = {}) {
  admission a(settings);
  EXPECT_TRUE(a.update_capacity_and_start_next(start, {1, 1, 0us}).empty());
  EXPECT_TRUE(std::holds_alternative<admitted>(a.submit(start, request("running")).decision));
  return a;
}

bool is_queued(const submit_result& s) {
  return std::holds_alternative<queued>(s.decision);
}

const rejected* refusal(const submit_result& s) {
  return std::get_if<rejected>(&s.decision);
}

std::string start_order(admission& a, int count) {
  std::string order;
  for (int i = 0; i < count; ++i) {
    for (const request_id& id : a.update_capacity_and_start_next(start, {1, 1, 0us})) {
      order += id.str() + " ";
    }
  }
  return order;
}

TEST(Admission, StartsByPriorityThenByArrival) {
  admission a = with_one_busy_slot();
  for (const auto& [id, priority] : std::vector<std::pair<std::string, std::uint32_t>>{
           {"b1", 1}, {"a1", 0}, {"b2", 1}, {"a2", 0}}) {
    ASSERT_TRUE(is_queued(a.submit(start, request(id, "w", priority))));
  }
  EXPECT_EQ(start_order(a, 4), "a1 a2 b1 b2 ");
}

TEST(Admission, SharesByWeightAndCost) {
  admission a = with_one_busy_slot();
  a.set_share(workspace_id("x"), 3);
  a.set_share(workspace_id("y"), 1);
  for (int i = 0; i < 40; ++i) {
    ASSERT_TRUE(is_queued(a.submit(start, request("x" + std::to_string(i), "x"))));
    ASSERT_TRUE(is_queued(a.submit(start, request("y" + std::to_string(i), "y"))));
  }
  const std::string order = start_order(a, 40);
  const auto of_x = std::count(order.begin(), order.end(), 'x');
  EXPECT_GE(of_x, 29);
  EXPECT_LE(of_x, 31);
}

TEST(Admission, IdleWorkspaceNeitherSavesUpNorPays) {
  admission a = with_one_busy_slot();
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(is_queued(a.submit(start, request("x", "x"))));
    EXPECT_EQ(start_order(a, 1), "x ");
  }
  for (int i = 0; i < 4; ++i) {
    ASSERT_TRUE(is_queued(a.submit(start, request("x", "x"))));
    ASSERT_TRUE(is_queued(a.submit(start, request("y", "y"))));
  }
  const std::string order = start_order(a, 4);
  EXPECT_EQ(std::count(order.begin(), order.end(), 'x'), 2) << order;
}

TEST(Admission, NeverStartsMoreThanTheFreeSlots) {
  admission a = with_one_busy_slot();
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(is_queued(a.submit(start, request(std::to_string(i)))));
  }
  EXPECT_EQ(a.update_capacity_and_start_next(start, {3, 4, 0us}).size(), 3U);
  EXPECT_TRUE(a.update_capacity_and_start_next(start, {0, 4, 0us}).empty());
  EXPECT_EQ(a.waiting(), 7U);
  EXPECT_EQ(a.finish_and_start_next(start + 1s, request_id("0")).size(), 1U);
  EXPECT_TRUE(a.finish_and_start_next(start + 1s, request_id("0")).empty())
      << "a slot is freed once";
}

TEST(Admission, RefusesImmediatelyWhatWouldMissItsDeadline) {
  admission a = with_one_busy_slot();
  const submit_result s = a.submit(start, request("late", "w", 0, 3s));
  ASSERT_NE(refusal(s), nullptr);
  EXPECT_EQ(refusal(s)->reason, reject_reason::too_late);
  EXPECT_GT(refusal(s)->retry_after, 0us);
  EXPECT_EQ(a.waiting(), 0U);
}

TEST(Admission, RefusesWithoutAnyCapacity) {
  admission a;
  ASSERT_NE(refusal(a.submit(start, request("r"))), nullptr);
  EXPECT_EQ(refusal(a.submit(start, request("r")))->reason, reject_reason::no_capacity);
  // A repair that restores capacity is expected to complete before the deadline, so the request
  // waits for it.
  EXPECT_TRUE(a.update_capacity_and_start_next(start, {0, 0, 3s}).empty());
  EXPECT_TRUE(is_queued(a.submit(start, request("patient", "w", 0, 30s))));
  EXPECT_NE(refusal(a.submit(start, request("hasty", "w", 0, 4s))), nullptr);
}

TEST(Admission, BoundedQueueGivesWayToHigherPriority) {
  admission_settings settings;
  settings.max_queued_per_workspace = 2;
  admission a = with_one_busy_slot(settings);
  ASSERT_TRUE(is_queued(a.submit(start, request("low1", "w", 1))));
  ASSERT_TRUE(is_queued(a.submit(start, request("low2", "w", 1))));
  const submit_result same = a.submit(start, request("low3", "w", 1));
  ASSERT_NE(refusal(same), nullptr);
  EXPECT_EQ(refusal(same)->reason, reject_reason::queue_full);
  const submit_result high = a.submit(start, request("high", "w", 0));
  EXPECT_TRUE(is_queued(high));
  ASSERT_TRUE(high.displaced);
  EXPECT_EQ(high.displaced->id, request_id("low2"));
  EXPECT_TRUE(is_queued(a.submit(start, request("other", "v", 1)))) << "bounds are per workspace";
  EXPECT_EQ(a.waiting(), 3U);
}

// Guards against overloading the replicas that survive a failure, and against callers waiting in
// vain until their deadline. Ten requests run and thirty wait for ten slots; nine slots are lost
// with their requests. Slots of lost replicas must not count as free, and waiting requests have to
// be evaluated again.
TEST(Admission, LostCapacityStartsNothingAndRefusesLateRequests) {
  admission a;
  EXPECT_TRUE(a.update_capacity_and_start_next(start, {10, 10, 0us}).empty());
  for (int i = 0; i < 40; ++i) {
    ASSERT_EQ(refusal(a.submit(start, request(std::to_string(i), "w", 0, 12s))), nullptr);
  }
  EXPECT_TRUE(a.tick(start + 10ms).empty());
  EXPECT_TRUE(a.update_capacity_and_start_next(start + 20ms, {0, 1, 0us}).empty());
  for (int i = 1; i < 10; ++i) {
    EXPECT_TRUE(
        a.finish_and_start_next(start + 20ms, request_id(std::to_string(i)), false).empty());
  }
  const std::vector<rejection> given_up = a.tick(start + 40ms);
  // Requests have a deadline of ten seconds to start and take two seconds each: five can start in
  // time; up to twice as many may wait.
  EXPECT_GE(a.waiting(), 5U);
  EXPECT_LE(a.waiting(), 10U);
  EXPECT_EQ(given_up.size() + a.waiting(), 30U);
  EXPECT_EQ(a.finish_and_start_next(start + 2s, request_id("0")).size(), 1U);
}

TEST(Admission, AbandonedRequestsReleaseTheirSlots) {
  admission a = with_one_busy_slot();
  ASSERT_TRUE(is_queued(a.submit(start, request("w1"))));
  ASSERT_TRUE(is_queued(a.submit(start, request("w2"))));
  EXPECT_TRUE(a.abandon_and_start_next(start, request_id("w1")).empty());
  EXPECT_EQ(a.waiting(), 1U);
  const std::vector<request_id> next = a.abandon_and_start_next(start, request_id("running"));
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0], request_id("w2"));
  EXPECT_TRUE(a.abandon_and_start_next(start, request_id("w2")).empty());
  EXPECT_EQ(a.running() + a.waiting(), 0U);
}

TEST(Admission, DoesNotStartWhatIsTooLateByThen) {
  admission a = with_one_busy_slot();
  ASSERT_TRUE(is_queued(a.submit(start, request("r", "w", 0, 6s))));
  EXPECT_TRUE(a.update_capacity_and_start_next(start + 5s, {1, 1, 0us}).empty());
  EXPECT_LE(a.next_tick(), start + 5s);
  const std::vector<rejection> given_up = a.tick(start + 5s);
  ASSERT_EQ(given_up.size(), 1U);
  EXPECT_EQ(given_up[0].id, request_id("r"));
}

// Guards against refusing all requests of a model whose replicas are idle. A stall makes requests
// take a minute, after which the estimate exceeds every deadline; with nothing admitted, no new
// observation would correct it.
TEST(Admission, RecoversFromAWrongEstimate) {
  admission a;
  time_point now = start;
  int served = 0;
  const auto ask = [&](int i, duration takes) {
    request_facts facts = request(std::to_string(i));
    facts.deadline = now + 10s;
    EXPECT_TRUE(a.update_capacity_and_start_next(now, {4, 4, 0us}).empty());
    if (std::holds_alternative<admitted>(a.submit(now, facts).decision)) {
      now += takes;
      EXPECT_TRUE(a.finish_and_start_next(now, facts.id).empty());
      ++served;
    }
    now += 100ms;
  };
  for (int i = 0; i < 30; ++i) {
    ask(i, 60s);
  }
  EXPECT_GT(a.service_time(1), 20s);
  served = 0;
  for (int i = 100; i < 120; ++i) {
    ask(i, 1s);
  }
  EXPECT_EQ(served, 20);
  EXPECT_LT(a.service_time(1), 4s);
}

// Guards against admitting requests that are all aborted at their deadline: the service becomes
// slower than every deadline, and only completed requests are observed.
TEST(Admission, LearnsFromAbortedRequests) {
  admission a;
  time_point now = start;
  for (int i = 0; i < 40; ++i) {
    EXPECT_TRUE(a.update_capacity_and_start_next(now, {2, 2, 0us}).empty());
    const request_id id(std::to_string(i));
    request_facts facts = request(id.str());
    facts.deadline = now + 5s;
    (void)a.submit(now, facts);
    now += 5s;
    (void)a.finish_and_start_next(now, id, false);
  }
  EXPECT_GT(a.service_time(1), 4s);
}

TEST(Admission, FirstTokenDeadlineCounts) {
  admission a = with_one_busy_slot();
  a.first_token(start + 500ms, request_id("running"));
  request_facts facts = request("r");
  facts.first_token_deadline = start + 1s;
  EXPECT_NE(refusal(a.submit(start, facts)), nullptr);
  facts.first_token_deadline = start + 10s;
  EXPECT_TRUE(is_queued(a.submit(start, facts)));
}

// ---- under load ----

admission_load overload(double times) {
  admission_load load;
  load.workspaces = {
      {"only", 1.0, load.slots / to_seconds(load.mean_service_time_per_cost) * times}};
  return load;
}

// Guards against nearly every response being late at twice the capacity: if requests that cannot
// meet their deadline are accepted, the queue grows until each has used up its deadline when it
// starts.
TEST(AdmissionLoad, GoodputHoldsUnderOverload) {
  const admission_figures at_capacity = run_admission(overload(1.0), 7);
  for (const double times : {1.5, 2.0, 3.0}) {
    const admission_figures f = run_admission(overload(times), 7);
    EXPECT_GT(f.goodput, 0.9) << times;
    EXPECT_GT(static_cast<double>(f.useful), 0.9 * static_cast<double>(at_capacity.useful));
    EXPECT_LT(f.workspaces[0].refused_after_waiting * 50, f.workspaces[0].refused)
        << "held back before the refusal";
  }
  admission_load baseline = overload(2.0);
  baseline.first_come_first_served = true;
  EXPECT_LT(run_admission(baseline, 7).goodput, 0.2) << "the load is no challenge for the baseline";
}

// Guards against small workspaces stalling under the load of a large one.
TEST(AdmissionLoad, LargeWorkspaceDoesNotDelaySmallOnes) {
  admission_load load;
  for (const char* name : {"a", "b", "c", "d"}) {
    load.workspaces.push_back({name, 1.0, 1.5});
  }
  const admission_figures alone = run_admission(load, 3);
  load.workspaces.push_back({"large", 4.0, 50});
  const admission_figures together = run_admission(load, 3);
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_LT(together.workspaces[i].p99_answer, 1.25 * alone.workspaces[i].p99_answer);
    EXPECT_LT(together.workspaces[i].refused * 100, together.workspaces[i].submitted);
  }
  EXPECT_GT(together.busy_slot_fraction, 0.97) << "work conserving";
  load.first_come_first_served = true;
  EXPECT_GT(run_admission(load, 3).workspaces[0].p99_answer, 3 * alone.workspaces[0].p99_answer);
}

}  // namespace
}  // namespace arbutus
