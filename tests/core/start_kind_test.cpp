// Tests by what a node tells the first start of the deployment from any later one.
#include "process/start_kind.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

const time_point start{1000s};
const time_point soon = start + 400ms;

start_evidence first_start() {
  start_evidence evidence(start, true);
  evidence.note_own_row_created(soon);
  evidence.note_deployment_age(soon, 300ms);
  evidence.note_replicas(soon, false);
  return evidence;
}

TEST(StartKind, NothingBeforeIsAFirstStart) {
  EXPECT_EQ(first_start().kind(soon), start_kind::first);
  EXPECT_EQ(first_start().kind(start + 1h), start_kind::first);
}

// Guards against a word in the settings that outlives the process that it was written for.
TEST(StartKind, TheWordOfTheSettingsAloneDecidesNothing) {
  const start_evidence evidence(start, true);
  EXPECT_EQ(evidence.kind(soon), start_kind::undecided);
  EXPECT_EQ(start_evidence(start, false).kind(start), start_kind::later);
}

// Guards against a node that is killed in its first seconds and takes its next life for the first.
TEST(StartKind, ARowOfTheNodeIsOfAnEarlierProcess) {
  start_evidence evidence(start, true);
  evidence.note_own_row_existed(soon);
  evidence.note_deployment_age(soon, 1s);
  evidence.note_replicas(soon, false);
  EXPECT_EQ(evidence.kind(soon), start_kind::later);
}

// Guards against nodes that are added with a copy of the settings of a first start.
TEST(StartKind, ANodeOfAnOldDeploymentIsAdded) {
  for (const std::optional<duration> age :
       {std::optional<duration>(6s), std::optional<duration>()}) {
    start_evidence evidence(start, true);
    evidence.note_own_row_created(soon);
    evidence.note_deployment_age(soon, age);
    evidence.note_replicas(soon, false);
    EXPECT_EQ(evidence.kind(soon), start_kind::later);
  }
}

// Guards against a store that has lost the rows of all nodes.
TEST(StartKind, ReplicasOrARestoredStoreShowEarlierProcesses) {
  start_evidence with_replicas(start, true);
  with_replicas.note_replicas(start + 50ms, true);
  with_replicas.note_own_row_created(soon);
  with_replicas.note_deployment_age(soon, 0s);
  EXPECT_EQ(with_replicas.kind(soon), start_kind::later);

  start_evidence restored(start, true);
  restored.note_restored_store(start + 50ms);
  restored.note_own_row_created(soon);
  restored.note_deployment_age(soon, 0s);
  restored.note_replicas(soon, false);
  EXPECT_EQ(restored.kind(soon), start_kind::later);
}

// Guards against a node that cannot ask the store, and one whose answers come too late.
TEST(StartKind, WithoutTheStoreItIsNoFirstStart) {
  start_evidence evidence(start, true);
  evidence.note_own_row_created(soon);
  EXPECT_EQ(evidence.kind(start + 2999ms), start_kind::undecided);
  EXPECT_EQ(evidence.kind(start + 3s), start_kind::later);
  evidence.note_deployment_age(start + 4s, 0s);
  evidence.note_replicas(start + 4s, false);
  EXPECT_EQ(evidence.kind(start + 4s), start_kind::later);
}

// Guards against a decision that is taken back: what was sent by it counts for a window.
TEST(StartKind, ADecisionStands) {
  start_evidence evidence = first_start();
  evidence.note_restored_store(start + 1min);
  evidence.note_deployment_age(start + 1min, 1min);
  EXPECT_EQ(evidence.kind(start + 1min), start_kind::first);
}

}  // namespace
}  // namespace arbutus
