// Tests that events of a stream are forwarded to the caller complete and exactly once, also when
// the stream resumes on another target.
#include "request/event_relay.h"

#include <gtest/gtest.h>

#include "base/rng.h"

namespace arbutus {
namespace {

std::string event(int id) {
  return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

TEST(EventRelay, ForwardsCompleteEventsOnly) {
  event_relay relay;
  EXPECT_EQ(relay.take("id: 1\ndata: pie"), "");
  EXPECT_TRUE(relay.inside_event());
  EXPECT_EQ(relay.take("ce 1\n\nid: 2"), event(1));
  EXPECT_EQ(relay.last_id(), "1");
}

TEST(EventRelay, ReadsBothLineEndings) {
  event_relay relay;
  EXPECT_EQ(relay.take("id:5\r\ndata: x\r\n\r\n"), "id:5\r\ndata: x\r\n\r\n");
  EXPECT_EQ(relay.last_id(), "5");
}

TEST(EventRelay, ResumedStreamHasNoGapOrRepetition) {
  // Guards against a caller receiving a partial event or an event twice. It happens if a target
  // fails at any byte, another one resumes, and bytes of an incomplete event were forwarded or the
  // resume position was taken from them.
  std::string whole;
  for (int i = 1; i <= 20; ++i) {
    whole += event(i);
  }
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    rng random(seed);
    event_relay relay;
    std::string seen;
    for (;;) {
      std::string rest;
      const int from = relay.last_id().empty() ? 1 : std::stoi(relay.last_id()) + 1;
      for (int i = from; i <= 20; ++i) {
        rest += event(i);
      }
      const std::size_t cut = random.below(rest.size() + 1);
      std::size_t at = 0;
      while (at < cut) {
        const std::size_t step = std::min<std::size_t>(1 + random.below(37), cut - at);
        seen += relay.take(std::string_view(rest).substr(at, step));
        at += step;
      }
      if (cut == rest.size()) {
        break;
      }
      relay.restart();
    }
    ASSERT_EQ(seen, whole) << "seed " << seed;
  }
}

TEST(EventRelay, DetectsATargetThatResumesAtTheWrongEvent) {
  event_relay relay("7");
  EXPECT_EQ(relay.take(event(7)), "");
  EXPECT_TRUE(relay.out_of_order());
}

}  // namespace
}  // namespace arbutus
