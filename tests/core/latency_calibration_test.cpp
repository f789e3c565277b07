// Tests the correction of estimated times to the first event.
#include "request/latency_calibration.h"

#include <gtest/gtest.h>

#include "base/rng.h"

namespace arbutus {
namespace {

const model_key model{service_id{"s"}, model_id{"m"}};

TEST(LatencyCalibration, LearnsTheConstantPartOfAnEngineWithinAFewRuns) {
  latency_calibration calibration;
  EXPECT_EQ(calibration.correction(model).first_event, 0ms);
  rng random(1);
  for (int i = 0; i < 30; ++i) {
    calibration.observe(model, 80ms, 155ms + random.jitter(50ms));
  }
  EXPECT_NEAR(to_milliseconds(calibration.correction(model).first_event), 100, 15);
  EXPECT_EQ(calibration.correction({service_id{"s"}, model_id{"other"}}).first_event, 0ms);
}

// Guards against estimates for one service from the runs of another, whose model has the same name.
TEST(LatencyCalibration, ModelsOfOneNameAreCorrectedByService) {
  latency_calibration calibration;
  for (int i = 0; i < 30; ++i) {
    calibration.observe(model, 80ms, 180ms);
    calibration.observe_request(model, 1s, 2s);
  }
  const latency_correction other = calibration.correction({service_id{"other"}, model.model});
  EXPECT_EQ(other.first_event, 0ms);
  EXPECT_EQ(other.request_time_factor, 1);
}

// Guards against refusals of seconds after a replica has stalled once.
TEST(LatencyCalibration, OneStallHardlyShiftsIt) {
  latency_calibration calibration;
  for (int i = 0; i < 30; ++i) {
    calibration.observe(model, 80ms, 180ms);
  }
  calibration.observe(model, 80ms, 3s);
  EXPECT_NEAR(to_milliseconds(calibration.correction(model).first_event), 110, 1);
}

TEST(LatencyCalibration, StaysWithinItsBounds) {
  latency_calibration calibration;
  for (int i = 0; i < 100; ++i) {
    calibration.observe(model, 80ms, 5s);
  }
  EXPECT_NEAR(to_milliseconds(calibration.correction(model).first_event),
              to_milliseconds(calibration_settings{}.max_correction), 0.01);
  for (int i = 0; i < 100; ++i) {
    calibration.observe(model, 1s, 80ms);
  }
  EXPECT_NEAR(to_milliseconds(calibration.correction(model).first_event),
              to_milliseconds(calibration_settings{}.min_correction), 0.01);
}

// Guards against admission by the configured lengths of answers when the present ones are longer.
TEST(LatencyCalibration, LearnsTheTimeOfRequests) {
  latency_calibration calibration;
  EXPECT_EQ(calibration.correction(model).request_time_factor, 1);
  rng random(1);
  for (int i = 0; i < 200; ++i) {
    calibration.observe_request(model, 1s, 1s + random.jitter(2s));
  }
  EXPECT_NEAR(calibration.correction(model).request_time_factor, 2, 0.3);
  calibration.observe_request(model, 1s, 100s);
  EXPECT_LT(calibration.correction(model).request_time_factor, 2.4);
}

}  // namespace
}  // namespace arbutus
