// Mutation tests of the parsers of documents that other processes send: bytes are changed, removed
// and duplicated at random.
#include <gtest/gtest.h>

#include <string>

#include "base/rng.h"
#include "platform/base64.h"
#include "platform/documents.h"
#include "process/target_incarnation.h"

namespace arbutus {
namespace {

constexpr int rounds = 20'000;

const std::string entry =
    R"({"service":"llm","address":"10.0.0.7:9000","zone":"a","slots":26,"state":"ready","born":1764722262000,)"
    R"("domain":"a-d0","staged":["m0"],"models":[{"name":"m0","version":1,"adapters":[]}],"sequence":4,)"
    R"("group":{"name":"r.m0.k1.0badcafe.i-1~5","epoch":12,"rank":1,"state":"ready"}})";

const std::string configuration =
    R"({"version":7,"routes":[{"name":"r1","hostname":"f.example","prefix":"/a/","route-type":"streaming",)"
    R"("timeout-ms":8000,"service":"llm","max-attempts":2,"public":false}],"services":[{"name":"llm","engine":)"
    R"({"slots":26,"stride":7,"models":[{"name":"m0","size":4,"share":0.57}],"usual":{"prompt":1115,"answer":178}}}],)"
    R"("tenants":[{"name":"desk","api-keys":["k1"],"priority":1}]})";

std::string mutated(const std::string& from, rng& random) {
  std::string text = from;
  for (std::uint64_t changes = 1 + random.below(3); changes > 0 && !text.empty(); --changes) {
    const std::size_t at = random.below(text.size());
    switch (random.below(4)) {
      case 0:
        text[at] = static_cast<char>(random.below(256));
        break;
      case 1:
        text.erase(at, 1 + random.below(12));
        break;
      case 2:
        text.insert(at, text.substr(at, 1 + random.below(12)));
        break;
      default:
        text.resize(at);
    }
  }
  return text;
}

TEST(PlatformMutation, ARecordIsReadOrItsProblemIsReported) {
  rng random(7);
  for (int i = 0; i < rounds; ++i) {
    const std::string text = mutated(entry, random);
    std::string problem;
    const auto record = read_target_record("i-1", text, problem);
    ASSERT_EQ(record.has_value(), problem.empty()) << text;
    if (record) {
      ASSERT_EQ(engine_of(record->id), "i-1") << text;
      ASSERT_GT(record->slots, 0U) << text;
      ASSERT_FALSE(record->service.empty()) << text;
      ASSERT_TRUE(!record->member_of || !record->member_of->replica.name.empty()) << text;
    }
  }
}

TEST(PlatformMutation, AConfigurationIsReadOrHasFindings) {
  rng random(8);
  for (int i = 0; i < rounds; ++i) {
    const std::string text = mutated(configuration, random);
    const auto read = read_service_map(text);
    ASSERT_NE(read.map.has_value(), has_errors(read.problems)) << text;
  }
}

std::string summary_of(const service_map_result& read) {
  if (!read.map) {
    return read.problems.front().where.file + read.problems.front().message;
  }
  std::string text = std::to_string(read.map->version());
  for (const route& r : read.map->routes()) {
    text += " " + r.name + r.host + r.prefix + std::to_string(r.timeout.count()) +
            std::to_string(r.shares.size()) + (r.needs_workspace ? "k" : "-");
  }
  return text;
}

TEST(PlatformMutation, IncrementalReadEqualsFullRead) {
  rng random(10);
  service_map_reader reader;
  for (int i = 0; i < rounds; ++i) {
    const std::string text =
        i % 3 == 0 ? std::string(configuration) : mutated(configuration, random);
    ASSERT_EQ(summary_of(reader.read(text)), summary_of(read_service_map(text))) << text;
  }
}

TEST(PlatformMutation, MutatedBase64DoesNotCrashTheDecoder) {
  rng random(9);
  const std::string coded = base64_encode(entry);
  for (int i = 0; i < rounds; ++i) {
    (void)base64_decode(mutated(coded, random));
  }
}

}  // namespace
}  // namespace arbutus
