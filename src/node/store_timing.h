// Timing constants shared by the store_*.cpp files; only for these.
#pragma once

#include "base/units.h"

namespace arbutus {

// Time beyond the longest wait of the store's feed after which a query counts as failed. A store
// that is sixty times slower than usual needs 240 ms; after more time than this the connection may
// be dead. Wait, slack and a heartbeat together leave time for the first query of another hub
// before the nodes' proofs expire.
inline constexpr duration late_answer_allowance = 500ms;
// For this long after its start, a node uses the intervals for the start of a deployment.
inline constexpr duration start_phase_duration = 12s;
// Pause after a first failed query to the store; it doubles with each further one.
inline constexpr duration store_retry_pause = 100ms;
// How often a node checks whether it still receives updates from its hub.
inline constexpr duration hub_check_interval = 100ms;
// How long a node relies on the last update of its hub: four heartbeats of the hub. After that this
// node queries the store itself; its lease is then valid for over 2 s more.
inline constexpr duration hub_update_validity = 800ms;
// Timeout of a call that reads a table of the store or writes a row.
inline constexpr duration store_read_timeout = 1500ms;

}  // namespace arbutus
