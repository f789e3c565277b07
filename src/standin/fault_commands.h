// Commands in JSON that set the faults of stand-ins running in separate processes. Commands with
// unknown names are refused: otherwise a mistyped fault would have no effect, and the system would
// seem to tolerate it.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "base/outcome.h"
#include "base/units.h"
#include "standin/engine_standin.h"
#include "standin/service_standin.h"
#include "standin/store_fault_model.h"

namespace arbutus::standin {

struct faults_applied {};

// {"down":true,"down_ms":500,"latency_ms":20,"writes_per_second":300,"reads_per_second":2000,
//  "lose_requests":1,"lose_replies":1,"lose_fraction":0.01,"cut_off":["hall-a"]}
outcome<faults_applied> set_faults(store_faults& faults, time_point now, std::string_view json);

// {"paused":true,"speed":0.2,"leaving":true,"silent":true,"checks_tokens":false,"crossed":1,
//  "late":1,"late_ms":500,"truncated":1,"duplicated":1,"backoff_ms":2000,"says_leaving":true}
outcome<faults_applied> set_faults(engine_standin& engine, time_point now, std::string_view json);

// {"late":1,"late_ms":500,"cut_before":1,"cut_after":1,"backoff_ms":2000,"says_leaving":true}
outcome<faults_applied> set_faults(service_faults& faults, std::string_view json);

[[nodiscard]] std::string encode(const store_counters& c);
[[nodiscard]] std::string encode(const engine_counters& c);
[[nodiscard]] std::string encode(const service_counters& c);

}  // namespace arbutus::standin
