// Tests that events of a stream are forwarded to the caller complete and exactly once, also when
// the stream resumes on another target.
#include "request/event_relay.h"

#include <gtest/gtest.h>

#include <chrono>

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

std::string take_all(event_relay& relay, std::string_view bytes, std::size_t step) {
  std::string seen;
  for (; !bytes.empty(); bytes.remove_prefix(std::min(step, bytes.size()))) {
    seen += relay.take(bytes.substr(0, step));
  }
  return seen;
}

// Guards against memory that grows with an event that never ends.
TEST(EventRelay, AnEventWithoutEndIsGivenUp) {
  event_relay relay;
  EXPECT_EQ(relay.take(event(1) + "data: "), event(1));
  const std::string piece(1000, 'x');
  std::size_t taken = 0;
  while (relay.fault() == event_fault::none && taken <= 2 * max_event_bytes) {
    EXPECT_EQ(relay.take(piece), "");
    taken += piece.size();
  }
  EXPECT_EQ(relay.fault(), event_fault::too_large);
  EXPECT_LE(taken, max_event_bytes + piece.size());
  EXPECT_EQ(relay.take("\n\n"), "");
}

TEST(EventRelay, ForwardsTheLargestEvent) {
  const std::string begin = "id: 1\ndata: ";
  const std::string whole = begin + std::string(max_event_bytes - begin.size() - 2, 'x') + "\n\n";
  for (const std::size_t step : {std::size_t{700}, whole.size()}) {
    event_relay relay;
    EXPECT_EQ(take_all(relay, whole + event(2), step), whole + event(2)) << step;
    EXPECT_EQ(relay.fault(), event_fault::none);
  }
  event_relay relay;
  EXPECT_EQ(relay.take("data: x" + whole.substr(begin.size() - 10)), "");
}

// Guards against a stream without events that is kept alive, and whose bytes reach the caller.
TEST(EventRelay, BytesThatHoldNoEventAreGivenUp) {
  for (const std::string& piece :
       {std::string(": comment\n\n"), std::string("\n\n"), std::string("x"), std::string(": x\n"),
        std::string("<p>data: x</p>\n\n"), std::string("\r\n\r\n")}) {
    event_relay relay;
    EXPECT_EQ(relay.take(event(1)), event(1));
    std::size_t taken = 0;
    while (relay.fault() == event_fault::none && taken <= 2 * max_bytes_without_event) {
      EXPECT_EQ(relay.take(piece), "");
      taken += piece.size();
    }
    EXPECT_EQ(relay.fault(), event_fault::no_event) << piece;
    EXPECT_LE(taken, max_bytes_without_event + piece.size()) << piece;
  }
}

// Guards against a valid stream that loses its comments.
TEST(EventRelay, CommentsPrecedeTheNextEvent) {
  const std::string comments = ": wait\n\n:\n\nunknown: x\n\n";
  event_relay relay;
  EXPECT_EQ(relay.take(comments), "");
  EXPECT_EQ(relay.take(": in it\n" + event(1) + comments), comments + ": in it\n" + event(1));
  EXPECT_FALSE(relay.inside_event());
  EXPECT_EQ(relay.held_back(), comments);
  EXPECT_EQ(relay.events(), 1U);
}

// Guards against a search that starts again for every piece of an event: 256 KB in pieces of one
// byte are then 34 thousand million steps instead of 256 thousand.
TEST(EventRelay, SearchesEachByteOnce) {
  const auto began = std::chrono::steady_clock::now();
  event_relay relay;
  const std::string whole = "data: " + std::string(max_event_bytes - 8, 'x') + "\n\n";
  EXPECT_EQ(take_all(relay, whole, 1), whole);
  event_relay without_events;
  EXPECT_EQ(take_all(without_events, std::string(max_bytes_without_event, 'x'), 1), "");
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(1));
}

}  // namespace
}  // namespace arbutus
