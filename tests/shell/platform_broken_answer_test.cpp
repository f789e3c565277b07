// Tests the clients of the store and of targets' reports and orders with broken answers.
#include <string>
#include <variant>
#include <vector>

#include "connection/http_client.h"
#include "platform/engines.h"
#include "platform/store.h"
#include "platform/store_rows.h"
#include "shell/connection_fixture.h"
#include "shell/scripted_target.h"

namespace arbutus {
namespace {

using namespace testing_support;

class platform_broken_answer : public connection_fixture {
 protected:
  // The same bytes with a status out of range, and reset while the request is being written.
  static std::vector<scripted_answer> broken_answers(const std::string& status,
                                                     const std::string& body) {
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return {{"status 000", "HTTP/1.1 000 Odd\r\n" + length + body},
            {"status 999", "HTTP/1.1 999 Odd\r\n" + length + body},
            {"reset", "HTTP/1.1 " + status + " Odd\r\n\r\n" + body, after_answer::resets, true}};
  }

  http_client client{runtime};
};

// Guards against a write that counts as done, or as refused, by an answer that broke off.
TEST_F(platform_broken_answer, a_write_with_a_broken_answer_is_unknown) {
  const transaction large{"", {}, {{"status", "row", std::string(upload_bytes, 'u')}}, {}};
  for (const std::string status : {"200", "412", "503"}) {
    for (const scripted_answer& answer : broken_answers(status, R"({"ver":5})")) {
      const scripted_target target(answer);
      platform_store store(client, local(target.port()));
      in_fiber([&] {
        EXPECT_TRUE(std::holds_alternative<unknown>(store.write(large, test_deadline())))
            << status << ", " << answer.name;
      });
    }
  }
}

// Guards against rows of a table that are taken from a broken answer.
TEST_F(platform_broken_answer, a_read_with_a_broken_answer_is_unknown) {
  for (const scripted_answer& answer : broken_answers("200", R"({"ver":5,"rows":[]})")) {
    const scripted_target target(answer);
    platform_store store(client, local(target.port()));
    in_fiber([&] {
      EXPECT_TRUE(std::holds_alternative<unknown>(store.read("op", "", test_deadline())))
          << answer.name;
    });
  }
}

// Guards against a version that is no number of 64 bits and is taken for another one.
TEST_F(platform_broken_answer, an_odd_version_is_unknown) {
  const transaction small{"", {}, {{"status", "row", "value"}}, {}};
  for (const std::string version : {"66666666666666666666666666666666669", "18446744073709551616",
                                    "1e300", "-1", "2.5", R"("5")", "null"}) {
    const std::string body = R"({"ver":)" + version + R"(,"rows":[]})";
    const std::string row = R"({"ver":5,"rows":[{"key":"config","ver":)" + version + "}]}";
    for (const std::string& text : {body, row}) {
      EXPECT_FALSE(read_store_rows(text)) << text;
    }
    const scripted_target target({version, "HTTP/1.1 200 OK\r\nContent-Length: " +
                                               std::to_string(body.size()) + "\r\n\r\n" + body});
    platform_store store(client, local(target.port()));
    in_fiber([&] {
      EXPECT_TRUE(std::holds_alternative<unknown>(store.write(small, test_deadline()))) << version;
    });
  }
}

// Guards against an order that counts as accepted or refused by an answer that broke off.
TEST_F(platform_broken_answer, an_order_with_a_broken_answer_has_no_answer) {
  for (const std::string status : {"200", "202", "409", "421"}) {
    for (const scripted_answer& answer : broken_answers(status, "{}")) {
      const scripted_target target(answer);
      platform_engines engines(client);
      replica_order order;
      order.to = target_id{"i-1"};
      order.address = {"127.0.0.1", target.port()};
      order.members = {target_id{std::string(upload_bytes, 'm')}};
      in_fiber([&] {
        EXPECT_EQ(engines.order(order, test_deadline()), order_outcome::no_answer)
            << status << ", " << answer.name;
      });
    }
  }
}

// Guards against a target that counts as another one, or as ended, by a broken answer.
TEST_F(platform_broken_answer, a_report_with_a_broken_answer_is_unknown) {
  for (const scripted_answer& answer : broken_answers("421", "{}")) {
    const scripted_target target(answer);
    platform_engines engines(client);
    const endpoint address{"127.0.0.1", target.port()};
    const target_id id{"i-1"};
    in_fiber([&] {
      EXPECT_TRUE(std::holds_alternative<unknown>(engines.report(id, address, test_deadline())))
          << answer.name;
      EXPECT_EQ(engines.check_incarnation(id, address, test_deadline()),
                incarnation_state::unresponsive)
          << answer.name;
    });
  }
}

}  // namespace
}  // namespace arbutus
