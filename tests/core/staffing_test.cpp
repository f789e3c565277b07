// Spare replicas by the square root of the load.
#include "process/staffing.h"

#include <gtest/gtest.h>

#include <array>

namespace arbutus {
namespace {

TEST(Staffing, UsesAllEngines) {
  const std::array<model_demand, 2> models = {{{32, 0.5}, {8, 0.5}}};
  const auto replicas = staffed_replicas(models, 1095);
  EXPECT_NEAR(replicas[0] * 32 + replicas[1] * 8, 1095, 1e-6);
}

TEST(Staffing, FewLargeReplicasGetMoreThanTheirShare) {
  // Symptom: callers of the model with 15 replicas of 32 wait twice their aim, those of the model
  // with 72 replicas of 8 a third of theirs. Sequence: each has half of the engines' time, and half
  // of the engines. Cause: what arrives at random is a larger part of 15 replicas' load.
  const std::array<model_demand, 2> models = {{{32, 0.5}, {8, 0.5}}};
  const auto replicas = staffed_replicas(models, 1095);
  EXPECT_GT(replicas[0], 18);
  EXPECT_LT(replicas[1], 64);
  EXPECT_GT(replicas[1], 50);
}

TEST(Staffing, ModelsOfAsManyReplicasKeepTheirShares) {
  const std::array<model_demand, 2> models = {{{4, 2.0 / 3}, {2, 1.0 / 3}}};
  const auto replicas = staffed_replicas(models, 48);
  EXPECT_NEAR(replicas[0], 8, 1e-6);
  EXPECT_NEAR(replicas[1], 8, 1e-6);
}

TEST(Staffing, AModelWithoutAShareGetsNone) {
  const std::array<model_demand, 2> models = {{{4, 1.0}, {2, 0.0}}};
  const auto replicas = staffed_replicas(models, 40);
  EXPECT_NEAR(replicas[0], 10, 1e-6);
  EXPECT_EQ(replicas[1], 0);
  EXPECT_EQ(staffed_replicas(models, 0)[0], 0);
}

}  // namespace
}  // namespace arbutus
