// Calls with an idempotency key, which must run at most once. A record is written to the platform's
// table before the call is sent. The guarantee holds whichever node receives a repeated call and
// whichever process is paused.
//
//   reserved -> sending -> done
//       |          |-----> not_run   (only by the owner, which knows that it never sent)
//       |-> reserved by another node (takeover), or not_run
//
// Every arrow is a conditional write of the call's record to the table. A record in phase
// `reserved` proves that nothing was sent: the owner sends only after its own write of phase
// `sending` was accepted. Another node may therefore take over a reserved record at any time; a
// paused owner notices because its next write is refused. Clocks decide when a takeover is tried,
// never whether it is safe. A record in `sending` whose owner has failed stays: the call may have
// run.
//
// Only the expiry of records relies on clocks for safety: a record may be replaced after `expires`,
// which is `retention` after the last time at which its owner may send the call.
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

// The writer of a record: one request handled by one process of a node.
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
  wall_time written_at;               // when the record was last written
  wall_time owner_call_end_deadline;  // the owner's call has ended by this time, with any outcome
  wall_time expires;                  // after this time another record may replace this one
  // The response, if the call is done. Of a body that is too large, only the hash is kept.
  std::uint32_t status{};
  std::string content_type;
  std::string body;
  bool body_dropped = false;
  auto operator<=>(const keyed_record&) const = default;
};

[[nodiscard]] std::string encode(const keyed_record& record);
[[nodiscard]] outcome<keyed_record> decode_keyed_record(std::string_view bytes);
// The table's key for a call.
[[nodiscard]] std::string keyed_table_key(const workspace_id& workspace,
                                          const idempotency_key& key);

struct keyed_settings {
  // Maximum time from issuing the write of phase `sending` until the call is sent.
  duration max_reservation_to_send = 2s;
  // The owner of a record that has been in phase `reserved` for longer is assumed to have failed.
  duration reservation_takeover_age = 5s;
  // How long after a call's latest possible end its record is kept, to recognise repeats of it.
  duration retention = 24h;
  duration table_timeout = 2s;      // for writing the record; after it the call ends as not run
  duration table_retry_after = 2s;  // retry time sent to callers while the table is unavailable
  duration outcome_write_timeout = 10min;  // how long writing the call's outcome is retried
  duration first_backoff = 50ms;           // first pause between attempts to reach the table
  duration max_backoff = 1s;
  std::size_t max_recorded_body_bytes =
      16'384;  // bytes; of a larger response only the hash is recorded
};

// ---- effects to be executed by the caller of keyed_call ----

// Send the call now, if begin_send() still permits it; then report ended() or answered().
struct keyed_send {};
// Reply to the caller now. keyed_call returns this effect exactly once per call.
struct keyed_reply {
  enum class kind {
    done,         // status and body are the response, of this call or a recorded one
    not_run,      // the call provably did not run; it may be repeated after retry_after
    unknown,      // the call may have run
    in_progress,  // a call with the same key is running; may be repeated after retry_after
    conflict,     // the key was used with another body
  };
  kind what = kind::unknown;
  std::string reason{};
  duration retry_after{};
  std::uint32_t status{};
  std::string content_type{};
  std::string body{};
  bool replayed = false;      // the response is that of an earlier call, taken from its record
  bool body_dropped = false;  // the call is done, but its response was too large to keep
};
using keyed_effect = std::variant<table_read, table_write, keyed_send, keyed_reply>;
using keyed_effects = std::vector<keyed_effect>;

// The target's complete response.
struct keyed_answer {
  std::uint32_t status{};
  std::string content_type;
  std::string body;
};

struct keyed_call_facts {
  workspace_id workspace;
  idempotency_key key;  // from the caller, or generated by the node for this request alone
  record_owner owner;
  std::string body_hash;
  time_point deadline;
};

// One call with an idempotency key. Its user keeps it until finished(), passes it all results of
// table reads and writes, and calls tick() at next_tick().
class keyed_call {
 public:
  keyed_call(const keyed_call_facts& facts, const keyed_settings& settings = {});

  [[nodiscard]] keyed_effects start(time_point now, wall_time wall);
  [[nodiscard]] keyed_effects on(time_point now, wall_time wall, const table_write_result& result);
  [[nodiscard]] keyed_effects on(time_point now, wall_time wall, const table_read_result& result);
  [[nodiscard]] keyed_effects tick(time_point now, wall_time wall);
  [[nodiscard]] time_point next_tick() const;

  // Checks whether the call may still be sent and marks it as sent in one step. To be called on an
  // open connection directly before the first byte is written: nothing that can suspend the calling
  // code may run between the two.
  [[nodiscard]] bool begin_send(time_point now);
  // The two halves of begin_send(). After sent(), may_send() stays false.
  [[nodiscard]] bool may_send(time_point now) const;
  void sent();
  // The attempt ended without a complete response. The call provably did not run only if `how` is
  // not_run.
  [[nodiscard]] keyed_effects ended(time_point now, wall_time wall, execution how);
  [[nodiscard]] keyed_effects answered(time_point now, wall_time wall, const keyed_answer& answer);

  // A call that was not sent by then is never sent; `reason` is that of the reply.
  [[nodiscard]] keyed_effects cancel(time_point now, wall_time wall, std::string reason);

  // The call needs no further results or ticks.
  [[nodiscard]] bool finished() const { return step_ == step::finished; }

 private:
  enum class step {
    idle,
    reserving,  // until the record is written in phase `reserved`
    marking,    // until the record is written in phase `sending`
    ready,      // the call may be sent
    sent,       // the call was sent and has not ended
    recording,  // the caller has its reply; the outcome is still to be recorded
    finished,
  };

  [[nodiscard]] keyed_effects write(time_point now, wall_time wall, record_phase phase);
  [[nodiscard]] keyed_effects read();
  void retry_later(time_point now);
  [[nodiscard]] keyed_effects record_confirmed(time_point now, wall_time wall);
  [[nodiscard]] keyed_effects on_no_record(time_point now, wall_time wall);
  [[nodiscard]] keyed_effects on_own_record(time_point now, wall_time wall, record_phase phase);
  [[nodiscard]] keyed_effects on_other_record(time_point now, wall_time wall,
                                              const keyed_record& other);
  [[nodiscard]] keyed_effects reply_from_record(wall_time wall, const keyed_record& other);
  [[nodiscard]] keyed_effects abort_unsent(time_point now, wall_time wall, std::string reason);
  [[nodiscard]] keyed_effects record_outcome(time_point now, wall_time wall, record_phase phase);
  [[nodiscard]] keyed_effects reply(keyed_reply what);

  keyed_call_facts facts_;
  keyed_settings settings_;
  std::string table_key_;
  step step_ = step::idle;
  keyed_record record_;              // the record that the table should hold
  std::string written_value_;        // record_ encoded as last written
  std::uint64_t row_version_ = 0;    // the row's version that the next write expects
  bool table_call_pending_ = false;  // a table call is in progress; there is never a second one
  bool may_have_written_ = false;    // a write of this call may have taken effect
  bool may_have_sent_ = false;       // never reset
  bool replied_ = false;
  std::optional<time_point> send_until_;
  std::optional<time_point> table_deadline_;
  std::optional<time_point> record_deadline_;
  time_point retry_at_ = time_point::max();
  duration backoff_{};
};

}  // namespace arbutus
