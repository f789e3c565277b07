// Executes the effects of one call that must not run twice, until its record is final.
#include "node/keyed_driver.h"

#include <algorithm>
#include <deque>

#include "connection/clock.h"

namespace arbutus {

namespace {

constexpr duration table_call_timeout = 1s;
// For the last write of a call that its node ends.
constexpr duration last_table_call_timeout = 300ms;

class driver {
 public:
  driver(platform_client& platform, const planned_stop& stop, const keyed_call_facts& facts,
         const keyed_sender& send, const keyed_replier& reply)
      : platform_(platform), stop_(stop), call_(facts), send_(send), reply_(reply) {}

  void run() {
    add(call_.start(monotonic_now(), wall_now()));
    while (!call_.finished() || !pending_.empty()) {
      if (stop_.must_end_calls(monotonic_now())) {
        add(call_.cancel(monotonic_now(), wall_now(), std::string(stopping_reason)));
      }
      if (pending_.empty() && !wait()) {
        return;
      }
      if (pending_.empty()) {
        continue;
      }
      const keyed_effect effect = std::move(pending_.front());
      pending_.pop_front();
      std::visit([this](const auto& e) { carry_out(e); }, effect);
    }
  }

 private:
  void add(keyed_effects effects) {
    std::move(effects.begin(), effects.end(), std::back_inserter(pending_));
  }

  // False if the node ends the call, whose caller has the reply.
  bool wait() {
    const time_point now = monotonic_now();
    if (stop_.must_end_calls(now)) {
      return false;
    }
    const time_point until = std::min(call_.next_tick(), stop_.calls_end_at());
    sleep_until(std::clamp(until, now + 1ms, now + table_call_timeout));
    add(call_.tick(monotonic_now(), wall_now()));
    return true;
  }

  [[nodiscard]] time_point table_deadline() const {
    const time_point now = monotonic_now();
    const bool is_last = stop_.must_end_calls(now + table_call_timeout);
    return now + (is_last ? last_table_call_timeout : table_call_timeout);
  }

  void carry_out(const table_read& request) {
    table_read_result result{request, platform_.read(request, table_deadline())};
    add(call_.on(monotonic_now(), wall_now(), result));
  }

  void carry_out(const table_write& request) {
    table_write_result result{request, platform_.write(request, table_deadline())};
    add(call_.on(monotonic_now(), wall_now(), result));
  }

  void carry_out(const keyed_send&) {
    const auto permit = [this] { return call_.begin_send(monotonic_now()); };
    const call_result result = send_(permit);
    if (result.ok()) {
      keyed_answer answer;
      answer.status = static_cast<std::uint32_t>(result.response.status);
      answer.content_type = std::string(result.response.headers.find("content-type").value_or(""));
      answer.body = result.response.body;
      add(call_.answered(monotonic_now(), wall_now(), answer));
      return;
    }
    const execution how =
        result.outcome == call_outcome::not_sent ? execution::not_run : execution::unknown;
    add(call_.ended(monotonic_now(), wall_now(), how));
  }

  void carry_out(const keyed_reply& reply) { reply_(reply); }

  platform_client& platform_;
  const planned_stop& stop_;
  keyed_call call_;
  const keyed_sender& send_;
  const keyed_replier& reply_;
  std::deque<keyed_effect> pending_;
};

}  // namespace

void drive_keyed_call(platform_client& platform, const planned_stop& stop,
                      const keyed_call_facts& facts, const keyed_sender& send,
                      const keyed_replier& reply) {
  driver(platform, stop, facts, send, reply).run();
}

}  // namespace arbutus
