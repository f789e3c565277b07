// Calls that may not be repeated. A record in the platform's table is written before the call is
// sent, so that it runs at most once, whichever node a repeated call meets and whoever pauses.
//
//   reserved -> sending -> done
//       |          |-----> not_run   (by the owner alone: only it knows that it never sent)
//       |-> reserved by another node (takeover), or not_run
//
// Every arrow is a conditional write. `reserved` proves that nothing was sent: the owner sends
// only after its own write to `sending` was accepted. So another node may take over a reserved
// record at any time, and a paused owner finds out because its next write is refused. Clocks
// decide when that is tried, never whether it is safe. A record in `sending` whose owner is gone
// stays: the call may have run.
//
// Expiry is the one place where safety leans on time: a record may be replaced after `expires`,
// which lies `retention` after the last moment at which its owner may send.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/outcome.h"
#include "base/units.h"
#include "process/effects.h"
#include "request/outcome.h"

namespace arbutus {

// Who writes a record: one attempt of one process.
struct record_owner {
  node_id node;
  std::uint64_t incarnation{};  // of the node's process
  request_id request;
  auto operator<=>(const record_owner&) const = default;
};

enum class record_phase { reserved, sending, done, not_run };

struct keyed_record {
  record_owner owner;
  std::string body_hash;  // content_hash of method, path and body
  record_phase phase = record_phase::reserved;
  wall_time changed;
  wall_time answer_by;  // the owner's call has ended by then, one way or the other
  wall_time expires;
  // Of a done call. A body that is too large is kept as its hash only.
  std::uint32_t status{};
  std::string content_type;
  std::string body;
  bool body_dropped = false;
  auto operator<=>(const keyed_record&) const = default;
};

[[nodiscard]] std::string encode(const keyed_record& record);
[[nodiscard]] outcome<keyed_record> decode_keyed_record(std::string_view bytes);
// The table's key for a call.
[[nodiscard]] std::string keyed_row(const workspace_id& workspace, const idempotency_key& key);

struct keyed_settings {
  duration send_window = 2s;        // from the issue of the write to `sending` to the send
  duration takeover_after = 5s;     // a record reserved for longer has lost its owner
  duration retention = 24h;         // how long a repeated call is recognised
  duration table_patience = 2s;     // without the record after that: not run, try again later
  duration table_retry_after = 2s;  // told to the caller when the table is away
  duration record_for = 10min;      // how long the outcome is tried to be recorded
  duration first_backoff = 50ms;    // between tries to reach the table
  duration max_backoff = 1s;
  std::size_t max_body = 16'384;
};

// ---- what the shell has to do ----

// Send the call now, if may_send() still says so directly before; then say sent() or not_sent().
struct keyed_send {};
// Tell the caller. Given exactly once per call.
struct keyed_reply {
  enum class kind {
    done,         // status and body are the answer, own or recorded
    not_run,      // proven; may be tried again after retry_after
    unknown,      // may have run
    in_progress,  // an equal call is running; ask again after retry_after
    conflict,     // the key was used with another body
  };
  kind what = kind::unknown;
  std::string reason{};
  duration retry_after{};
  std::uint32_t status{};
  std::string content_type{};
  std::string body{};
  bool replayed = false;      // recorded earlier
  bool body_dropped = false;  // the call is done, but its answer was too large to keep
};
using keyed_effect = std::variant<table_read, table_write, keyed_send, keyed_reply>;
using keyed_effects = std::vector<keyed_effect>;

// The target's whole answer.
struct keyed_answer {
  std::uint32_t status{};
  std::string content_type;
  std::string body;
};

struct keyed_call_facts {
  workspace_id workspace;
  idempotency_key key;  // from the caller, or made by the node for this request alone
  record_owner owner;
  std::string body_hash;
  time_point deadline;
};

// One call. Lives until finished(); feed it all results and call tick() at next_tick().
class keyed_call {
 public:
  keyed_call(const keyed_call_facts& facts, const keyed_settings& settings = {});

  [[nodiscard]] keyed_effects start(time_point now, wall_time wall);
  [[nodiscard]] keyed_effects on(time_point now, wall_time wall, const table_write_result& result);
  [[nodiscard]] keyed_effects on(time_point now, wall_time wall, const table_read_result& result);
  [[nodiscard]] keyed_effects tick(time_point now, wall_time wall);
  [[nodiscard]] time_point next_tick() const;

  // Asks and marks in one step, directly before the first byte is written, with the connection
  // already open: nothing that can suspend the caller may come between this and the write.
  [[nodiscard]] bool begin_send(time_point now);
  // The two halves of begin_send(). After sent() the first is false for good.
  [[nodiscard]] bool may_send(time_point now) const;
  void sent();
  // The attempt ended without an answer. Proven not run only if `how` says so.
  [[nodiscard]] keyed_effects ended(time_point now, wall_time wall, execution how);
  [[nodiscard]] keyed_effects answered(time_point now, wall_time wall, const keyed_answer& answer);

  // The caller is gone. A call that was not sent by then never is.
  [[nodiscard]] keyed_effects cancel(time_point now, wall_time wall);

  // Nothing is left to be done for this call.
  [[nodiscard]] bool finished() const { return step_ == step::finished; }

 private:
  enum class step {
    idle,
    reserving,  // until our record stands
    marking,    // until it says `sending`
    ready,      // may be sent
    sent,
    recording,  // the caller has its answer; the outcome is still to be recorded
    finished,
  };

  [[nodiscard]] keyed_effects write(time_point now, wall_time wall, record_phase phase);
  [[nodiscard]] keyed_effects read();
  void retry_later(time_point now);
  [[nodiscard]] keyed_effects standing(time_point now, wall_time wall);
  [[nodiscard]] keyed_effects found_none(time_point now, wall_time wall);
  [[nodiscard]] keyed_effects found_own(time_point now, wall_time wall, record_phase phase);
  [[nodiscard]] keyed_effects found_other(time_point now, wall_time wall,
                                          const keyed_record& other);
  [[nodiscard]] keyed_effects answer_for(wall_time wall, const keyed_record& other);
  [[nodiscard]] keyed_effects stop_unsent(time_point now, wall_time wall, std::string reason);
  [[nodiscard]] keyed_effects record_outcome(time_point now, wall_time wall, record_phase phase);
  [[nodiscard]] keyed_effects reply(keyed_reply what);

  keyed_call_facts facts_;
  keyed_settings settings_;
  std::string row_;
  step step_ = step::idle;
  keyed_record record_;            // as we want it to stand
  std::string wanted_;             // record_ encoded as last written
  std::uint64_t row_version_ = 0;  // the table's version that the next write expects
  bool asked_table_ = false;       // a table call is under way; there is never a second one
  bool wrote_ = false;             // a write of ours may have taken effect
  bool may_have_sent_ = false;     // never reset
  bool replied_ = false;
  std::optional<time_point> send_until_;
  std::optional<time_point> patience_until_;
  std::optional<time_point> record_until_;
  time_point retry_at_ = time_point::max();
  duration backoff_{};
};

}  // namespace arbutus
