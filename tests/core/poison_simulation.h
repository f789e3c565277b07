// A simulated cluster in virtual time for the poison tracker: nodes of three data centres that send
// requests to heads of replicas, heads that end, callers that retry, and heartbeats between nodes.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"
#include "base/rng.h"
#include "process/poison_exchange.h"
#include "process/poison_tracker.h"
#include "process/poison_wire.h"

namespace arbutus::testing_support {

struct poison_simulation_settings {
  std::size_t heads = 13;
  std::size_t nodes = 6;  // number of nodes: two in each data centre, of which the first is the hub
  double requests_per_s = 165;
  double popular_share = 0.05;  // share of requests that many callers send identically
  std::size_t max_sends = 3;    // to heads, of one try of a caller
  duration head_downtime = 3s;  // time until an ended head serves again as a new incarnation
  poison_tracker_settings tracker;
  std::uint64_t seed = 1;
};

class poison_simulation {
 public:
  explicit poison_simulation(const poison_simulation_settings& settings)
      : settings_(settings), random_(settings.seed) {
    for (std::size_t i = 0; i < settings.nodes; ++i) {
      nodes_.push_back(std::make_unique<node>(settings.tracker, "life-" + std::to_string(i)));
    }
    heads_.resize(settings.heads);
  }

  // Called in each step of the simulation, to end heads or submit requests.
  using fault = std::function<void(poison_simulation&)>;

  void run(duration length, const fault& each_step = {}) {
    for (const time_point end = now_ + length; now_ < end; now_ += step) {
      if (each_step) {
        each_step(*this);
      }
      add_arrivals();
      advance_runs();
      record_strikes();
      send_heartbeats();
      evaluate();
    }
  }

  [[nodiscard]] time_point now() const { return now_; }
  rng& random() { return random_; }

  // Ends the process of a head as a kill does; the requests that it runs are cut off.
  void end_head(std::size_t i) {
    head& h = heads_[i];
    if (now_ < h.up_at) {
      return;
    }
    ++ended_head_count;
    const target_id target = head_incarnation(i);
    ++h.incarnation;
    h.up_at = now_ + settings_.head_downtime;
    std::vector<run_state> broken;
    std::erase_if(runs_, [&](const run_state& r) {
      if (r.at_head == i) {
        broken.push_back(r);
      }
      return r.at_head == i;
    });
    for (run_state& r : broken) {
      interrupt_run(r, target);
    }
  }

  // A caller sends a request with this hash to node `at`; if `poison`, the request ends the head
  // that runs it.
  void submit(std::size_t at, std::uint64_t hash, bool poison = false) {
    run_state r = new_run(at, hash);
    r.poison = poison;
    r.culprit = hash;
    send(std::move(r));
  }
  // A caller sends a request that was never sent before. Its prompt has the blocks of any other,
  // and this one, which ends the head that writes on it.
  void submit_with_poison_block(std::uint64_t block, bool stands_first = false) {
    run_state r = new_run(random_node(), 1'000'000 + next_hash_++);
    r.blocks.insert(stands_first ? r.blocks.begin() : r.blocks.end(), fingerprint_of_block(block));
    r.poison = true;
    r.culprit = block;
    poison_hashes.insert(r.fingerprint.hash);
    send(std::move(r));
  }
  // From now on a caller uses a system prompt that was never used before, in this share of all
  // requests.
  void use_new_system_prompt(std::uint64_t block, double share) {
    new_system_prompt_ = fingerprint_of_block(block);
    new_system_prompt_share_ = share;
  }
  std::size_t random_node() { return static_cast<std::size_t>(random_.below(nodes_.size())); }
  std::size_t random_head() { return static_cast<std::size_t>(random_.below(heads_.size())); }
  [[nodiscard]] bool is_up(std::size_t i) const { return now_ >= heads_[i].up_at; }
  // Index of the head that runs the request with this hash; heads() if there is none.
  [[nodiscard]] std::size_t head_of(std::uint64_t hash) const {
    for (const run_state& r : runs_) {
      if (r.fingerprint.hash == hash) {
        return r.at_head;
      }
    }
    return heads_.size();
  }
  [[nodiscard]] std::size_t heads() const { return heads_.size(); }
  [[nodiscard]] const poison_tracker& tracker(std::size_t i) const { return nodes_[i]->tracker; }
  void restart_node(std::size_t i) {
    *nodes_[i] = {settings_.tracker,
                  "life-again-" + std::to_string(now_.time_since_epoch().count())};
  }
  // Data centres that are partitioned: their nodes exchange no messages with the others.
  std::set<std::size_t> cut_off;

  std::size_t submitted = 0;
  std::size_t served = 0;
  std::size_t ended_head_count = 0;
  std::size_t refused_harmless_requests =
      0;  // number of harmless requests refused because of a quarantine
  std::size_t held_harmless_requests = 0;
  std::set<std::uint64_t> quarantined_harmless;
  // Number of heads that each poison request ended, by its hash.
  std::map<std::uint64_t, std::size_t> heads_ended_by;
  std::map<std::uint64_t, time_point> quarantined_at;
  // Submissions of a poison request that reached a head later than `detection_delay` after the
  // third head that it ended.
  std::map<std::uint64_t, std::size_t> late_poison_submissions;
  // Sends to heads later than `detection_delay` after the fifth one that it ended.
  std::map<std::uint64_t, std::size_t> late_poison_sends;

  static constexpr duration step = 10ms;
  // Until a node knows that a target that broke off its runs has ended.
  static constexpr duration end_check_time = 40ms;
  static constexpr duration detection_delay = 3s;

 private:
  struct head {
    std::uint64_t incarnation = 0;
    time_point up_at{};
  };
  struct node {
    node(const poison_tracker_settings& s, const std::string& l)
        : tracker(s), incarnation(l), exchange(l) {}
    poison_tracker tracker;
    std::string incarnation;
    poison_exchange exchange;
  };
  struct run_state {
    std::size_t at_node = 0;
    request_fingerprint fingerprint;
    std::vector<request_fingerprint> blocks;
    bool poison = false;
    std::uint64_t culprit = 0;  // hash of the poison request or block
    std::size_t at_head = 0;
    std::size_t sends = 0;
    std::size_t tries = 1;
    time_point sent_at{};
    time_point first_event_at{};
    time_point ends_at{};
  };
  struct pending_strike {
    time_point known_at;
    std::size_t at_node;
    request_fingerprint fingerprint;
    poison_strike strike;
  };
  struct scheduled_attempt {
    time_point at;
    run_state run;
  };

  // A request of one of ten callers. Its prompt has the system prompt of all, that of the caller
  // and one of the caller's documents.
  run_state new_run(std::size_t at, std::uint64_t hash) {
    constexpr std::uint64_t system_prompt = 1;
    constexpr std::uint64_t first_caller_prompt = 100;
    constexpr std::uint64_t first_document = 1000;
    constexpr std::uint64_t documents_of_caller = 100;
    const std::uint64_t caller = hash % 10;
    run_state r;
    r.at_node = at;
    r.fingerprint = {workspace_id{"w" + std::to_string(caller)}, hash};
    r.blocks = {fingerprint_of_block(system_prompt),
                fingerprint_of_block(first_caller_prompt + caller),
                fingerprint_of_block(first_document + caller * documents_of_caller +
                                     stable_hash(std::to_string(hash)) % documents_of_caller)};
    if (random_.unit() < new_system_prompt_share_) {
      r.blocks.front() = new_system_prompt_;
    }
    return r;
  }

  target_id head_incarnation(std::size_t i) const {
    return target_id{"i-" + std::to_string(i) + "~" + std::to_string(heads_[i].incarnation)};
  }

  void add_arrivals() {
    const double expected = settings_.requests_per_s * to_seconds(step);
    auto count = static_cast<std::size_t>(expected);
    count += random_.unit() < expected - static_cast<double>(count) ? 1 : 0;
    for (std::size_t i = 0; i < count; ++i) {
      const bool popular = random_.unit() < settings_.popular_share;
      submit(random_node(), popular ? 1000 + random_.below(20) : 1'000'000 + next_hash_++);
    }
    std::vector<scheduled_attempt> due;
    std::erase_if(scheduled_, [&](const scheduled_attempt& v) {
      if (v.at <= now_) {
        due.push_back(v);
      }
      return v.at <= now_;
    });
    for (scheduled_attempt& v : due) {
      send(std::move(v.run));
    }
  }

  void send(run_state r) {
    poison_tracker& tracker = nodes_[r.at_node]->tracker;
    if (r.sends == 0 && r.tries == 1) {
      ++submitted;
    }
    std::vector<request_fingerprint> suspects = r.blocks;
    suspects.push_back(r.fingerprint);
    if (std::any_of(suspects.begin(), suspects.end(),
                    [&](const auto& s) { return tracker.is_quarantined(s); })) {
      refused_harmless_requests += r.poison ? 0 : 1;
      return;
    }
    std::optional<time_point> until;
    for (const request_fingerprint& s : suspects) {
      until = std::max(until, tracker.held_until(now_, s));
    }
    if (until) {
      held_harmless_requests += r.poison ? 0 : 1;
      scheduled_.push_back({*until + 100ms, std::move(r)});
      return;
    }
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < heads_.size(); ++i) {
      if (is_up(i)) {
        usable.push_back(i);
      }
    }
    if (usable.empty()) {
      return;
    }
    const auto third = third_crash_at_.find(r.culprit);
    if (r.poison && r.sends == 0 && third != third_crash_at_.end() &&
        now_ - third->second > detection_delay) {
      ++late_poison_submissions[r.culprit];
    }
    const auto fifth = fifth_crash_at_.find(r.culprit);
    if (r.poison && fifth != fifth_crash_at_.end() && now_ - fifth->second > detection_delay) {
      ++late_poison_sends[r.culprit];
    }
    r.at_head = usable[random_.below(usable.size())];
    ++r.sends;
    r.sent_at = now_;
    r.first_event_at = now_ + from_seconds(0.1 + 0.5 * random_.unit());
    r.ends_at = r.poison ? r.first_event_at + from_seconds(0.03 + 0.09 * random_.unit())
                         : r.first_event_at + from_seconds(0.3 + 1.7 * random_.unit());
    tracker.run_sent(now_, head_incarnation(r.at_head));
    tracker.first_event_received(r.first_event_at - now_);
    runs_.push_back(std::move(r));
  }

  void advance_runs() {
    std::vector<run_state> done;
    std::erase_if(runs_, [&](const run_state& r) {
      if (r.ends_at <= now_) {
        done.push_back(r);
      }
      return r.ends_at <= now_;
    });
    for (const run_state& r : done) {
      if (r.poison) {
        if (is_up(r.at_head)) {
          runs_.push_back(r);  // end_head() cuts this run off with the head's others
          const std::size_t ended = ++heads_ended_by[r.culprit];
          if (ended == 3) {
            third_crash_at_[r.culprit] = now_;
          } else if (ended == 5) {
            fifth_crash_at_[r.culprit] = now_;
          }
          end_head(r.at_head);
        }
      } else {
        ++served;
        nodes_[r.at_node]->tracker.clear(now_, r.fingerprint);
        clear_blocks(r);
      }
    }
  }

  void clear_blocks(const run_state& r) {
    nodes_[r.at_node]->tracker.run_ended(now_, false);
    for (const request_fingerprint& block : r.blocks) {
      nodes_[r.at_node]->tracker.clear(now_, block);
    }
  }

  void interrupt_run(run_state& r, const target_id& target) {
    const bool began = !r.poison && r.first_event_at <= now_;
    if (began && now_ - r.first_event_at > 2 * strike_window) {
      clear_blocks(r);
    }
    if (!began || now_ - r.first_event_at < strike_window) {
      nodes_[r.at_node]->tracker.run_ended(now_, true);
      std::vector<request_fingerprint> suspects = r.blocks;
      suspects.push_back(r.fingerprint);
      for (const request_fingerprint& s : suspects) {
        pending_strikes_.push_back(
            {now_ + end_check_time, r.at_node, s, {target, r.sent_at, now_, r.fingerprint.hash}});
      }
    } else if (now_ - r.first_event_at > 1s) {
      nodes_[r.at_node]->tracker.clear(now_, r.fingerprint);
    }
    constexpr std::size_t max_tries = 2;
    if (r.sends < settings_.max_sends) {
      const bool waits = std::any_of(r.blocks.begin(), r.blocks.end(), [&](const auto& block) {
        return nodes_[r.at_node]->tracker.has_strike(block);
      });
      scheduled_.push_back({now_ + (waits ? end_check_time + step : 0ms), r});
    } else if (r.tries < max_tries) {
      ++r.tries;
      r.sends = 0;
      r.at_node = random_node();
      scheduled_.push_back({now_ + 200ms, r});
    }
  }

  void record_strikes() {
    std::erase_if(pending_strikes_, [&](const pending_strike& e) {
      if (e.known_at > now_) {
        return false;
      }
      nodes_[e.at_node]->tracker.record_strike(e.fingerprint, e.strike);
      return true;
    });
  }

  void send_rows(std::size_t from, std::size_t to) {
    constexpr std::size_t nodes_per_data_centre = 2;
    if (cut_off.contains(from / nodes_per_data_centre) !=
        cut_off.contains(to / nodes_per_data_centre)) {
      return;
    }
    node& sender = *nodes_[from];
    node& receiver = *nodes_[to];
    const node_id sender_id{std::to_string(from)};
    const node_id receiver_id{std::to_string(to)};
    sender.exchange.acknowledged(receiver_id, receiver.exchange.received_position(sender_id));
    const poison_update update = sender.exchange.update_for(now_, receiver_id, sender.tracker);
    for (const std::string& bytes : update.rows) {
      if (const auto row = decode_poison_row(bytes)) {
        receiver.tracker.merge_row(now_, *row);
      }
    }
    receiver.exchange.received(sender_id, {sender.incarnation, update.at});
  }

  // Five times a second, each node sends to its hub, and hubs send to each other and to their
  // nodes.
  void send_heartbeats() {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch());
    if (ms.count() % 200 != 0) {
      return;
    }
    for (std::size_t i = 0; i < nodes_.size(); i += 2) {
      send_rows(i + 1, i);
      send_rows(i, i + 1);
      for (std::size_t j = 0; j < nodes_.size(); j += 2) {
        if (i != j) {
          send_rows(i, j);
        }
      }
    }
  }

  void evaluate() {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch());
    if (ms.count() % 50 != 0) {
      return;
    }
    for (const auto& n : nodes_) {
      n->tracker.evaluate(now_);
    }
    for (const auto& n : nodes_) {
      for (const auto& [fingerprint, entry] : n->tracker.all()) {
        if (!entry.quarantined_at) {
          continue;
        }
        if (poison_hashes.contains(fingerprint.hash)) {
          quarantined_at.try_emplace(fingerprint.hash, now_);
        } else {
          quarantined_harmless.insert(fingerprint.hash);
        }
      }
    }
  }

 public:
  std::set<std::uint64_t> poison_hashes;

 private:
  poison_simulation_settings settings_;
  rng random_;
  time_point now_{1000s};
  std::vector<std::unique_ptr<node>> nodes_;
  std::vector<head> heads_;
  std::vector<run_state> runs_;
  std::vector<scheduled_attempt> scheduled_;
  std::vector<pending_strike> pending_strikes_;
  std::map<std::uint64_t, time_point> third_crash_at_;
  std::map<std::uint64_t, time_point> fifth_crash_at_;
  request_fingerprint new_system_prompt_;
  double new_system_prompt_share_ = 0;
  std::uint64_t next_hash_ = 0;
};

}  // namespace arbutus::testing_support
