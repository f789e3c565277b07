// Hosted nodes before a stand-in of the platform, over real sockets in one process.
#include "node/hosted_node.h"

#include <gtest/gtest.h>

#include <thread>

#include "connection/http_client.h"
#include "connection_fixture.h"
#include "standin/hosted_platform.h"

namespace arbutus::testing_support {
namespace {

std::uint16_t next_port() {
  static std::uint16_t port = static_cast<std::uint16_t>(20000 + (getpid() % 300) * 32);
  return port++;
}

struct one_node {
  explicit one_node(const std::string& name, std::uint16_t store_port) {
    settings.id = node_id{name};
    settings.data_centre = data_centre_id{"lab-a"};
    settings.data_centres = {settings.data_centre};
    settings.listen = {{"127.0.0.1", next_port()},
                       {"127.0.0.1", next_port()},
                       {"127.0.0.1", next_port()},
                       {"127.0.0.1", next_port()}};
    settings.store = {"127.0.0.1", store_port};
    settings.cold_start = true;
    settings.bounds.grace = 4s;
    node = std::make_unique<hosted_node>(settings);
    node->start();
  }
  hosted_settings settings;
  std::unique_ptr<hosted_node> node;
};

class HostedNode : public connection_fixture {
 protected:
  HostedNode() {
    for (int i = 0; i < 2; ++i) {
      nodes_.push_back(
          std::make_unique<one_node>("edge-" + std::to_string(i), platform_.store_port()));
    }
  }
  ~HostedNode() override { nodes_.clear(); }

  call_result ask(std::size_t node, const std::string& target, const std::string& id,
                  const std::string& key = standin::hosted_key) {
    http_request request;
    request.method = "POST";
    request.target = target;
    request.headers = {{"Host", standin::hosted_host}, {"X-Request-Id", id},
                       {"X-Deadline-Ms", "6000"},      {"X-Model", standin::hosted_model},
                       {"X-Token-Count", "100,20"},    {"Authorization", "Bearer " + key}};
    call_result result;
    runtime.run_on(0, [&] {
      result = client_.fetch(local(nodes_[node]->settings.listen.callers.port), request,
                             monotonic_now() + 8s);
    });
    return result;
  }

  bool eventually(const std::function<bool()>& holds) {
    const time_point limit = soon();
    while (!holds()) {
      if (monotonic_now() > limit) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
  }

  bool serves() {
    return eventually([&] {
      return platform_.serving() >= 2 && ask(0, "/llm/x", "warm-0").response.status == 200 &&
             ask(1, "/llm/x", "warm-1").response.status == 200;
    });
  }

  static std::string whole_stream(const std::string& id) {
    std::string text;
    for (int i = 1; i <= 10; ++i) {
      text += "id: " + std::to_string(i) + "\ndata: " + id + "\n\n";
    }
    return text;
  }

  http_client client_{runtime};
  standin::hosted_platform platform_{runtime, {}};
  std::vector<std::unique_ptr<one_node>> nodes_;
};

TEST_F(HostedNode, FormsReplicasAndServesStreamsAndCalls) {
  ASSERT_TRUE(serves());
  const call_result stream = ask(1, "/llm/2f", "s1");
  EXPECT_EQ(stream.response.status, 200);
  EXPECT_EQ(stream.response.body, whole_stream("s1"));
  EXPECT_EQ(stream.response.headers.find("X-Response-Seal"), "seal.s1");
  const call_result card = ask(0, "/card/1", "c1");
  EXPECT_EQ(card.response.body, "card c1");
  EXPECT_EQ(platform_.runs()["c1"], 1);
  EXPECT_EQ(platform_.leaked(), 0);
}

TEST_F(HostedNode, RefusesUnknownKeysAndPaths) {
  ASSERT_TRUE(serves());
  EXPECT_EQ(ask(0, "/llm/2f", "k1", "wrong").response.status, 401);
  EXPECT_EQ(ask(0, "/nothing/", "k2").response.status, 404);
  EXPECT_EQ(platform_.runs().count("k1"), 0U);
}

TEST_F(HostedNode, StreamsGoOnWhenAMemberDies) {
  // Symptom: callers get half a stream. Sequence: a member of the replica dies silently in the
  // middle; the head sends nothing more. Cause: nobody notices, or the stream begins again from its
  // start.
  ASSERT_TRUE(serves());
  std::vector<std::thread> callers;
  std::vector<call_result> results(12);
  for (std::size_t i = 0; i < results.size(); ++i) {
    callers.emplace_back([&, i] { results[i] = ask(i % 2, "/llm/2f", "m" + std::to_string(i)); });
  }
  ASSERT_TRUE(eventually([&] { return platform_.runs().count("m5") > 0; }));
  platform_.kill_engine(platform_.find_member(false));
  for (std::thread& t : callers) {
    t.join();
  }
  for (std::size_t i = 0; i < results.size(); ++i) {
    const std::string id = "m" + std::to_string(i);
    // A stream may be refused before it ran, but never be cut, doubled or mixed.
    if (results[i].response.status == 200) {
      EXPECT_EQ(results[i].response.body, whole_stream(id));
    }
    EXPECT_LE(platform_.runs()[id], 3);
  }
  EXPECT_TRUE(eventually([&] { return platform_.serving() >= 2; }));
}

TEST_F(HostedNode, AWithdrawnKeyIsRefusedWithinTheBound) {
  // Symptom: a request runs with a key that the newest version no longer has.
  ASSERT_TRUE(serves());
  platform_.configure(false);
  EXPECT_TRUE(eventually([&] {
    return ask(0, "/llm/2f", "w0").response.status == 401 &&
           ask(1, "/llm/2f", "w1").response.status == 401;
  }));
}

TEST_F(HostedNode, WithoutTheStoreKeysAreNotTrustedForLong) {
  // Symptom: a withdrawn key runs at a node that is cut off. Sequence: the store is away for longer
  // than the bound; a key might have been withdrawn meanwhile. Cause: what was true once is
  // believed.
  ASSERT_TRUE(serves());
  platform_.set_store_down(true);
  EXPECT_TRUE(eventually([&] {
    const call_result refused = ask(0, "/llm/2f", "d0");
    return refused.response.status == 503 && refused.response.headers.find("Retry-After");
  }));
  platform_.set_store_down(false);
  EXPECT_TRUE(eventually([&] { return ask(0, "/llm/2f", "d1").response.status == 200; }));
}

TEST_F(HostedNode, ANodeThatStopsCutsNothing) {
  // Symptom: a planned stop cuts answers in flight.
  ASSERT_TRUE(serves());
  call_result result;
  std::thread caller([&] { result = ask(0, "/llm/2f", "stop"); });
  ASSERT_TRUE(eventually([&] { return platform_.runs().count("stop") > 0; }));
  EXPECT_TRUE(nodes_[0]->node->stop());
  caller.join();
  EXPECT_EQ(result.response.body, whole_stream("stop"));
}

}  // namespace
}  // namespace arbutus::testing_support
