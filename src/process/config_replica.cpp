// Chooses the newest configuration head, fetches its content, and repairs the head row in a table
// that was restored from an old copy.
#include "process/config_replica.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace arbutus {

namespace {

constexpr std::string_view head_subject = "config-head";
// Number of earlier configuration contents that are kept as bases of patches for peers that are a
// few versions behind.
constexpr std::size_t max_recent_contents = 4;
// Limit of candidate configurations, so that reported versions whose content no node can supply do
// not accumulate. Candidates that only peers reported are evicted first, the lowest version first.
constexpr std::size_t max_candidates = 8;

std::size_t rank_in(const std::vector<node_id>& live, const node_id& self) {
  const std::uint64_t own = rendezvous_weight(head_subject, self.str());
  return static_cast<std::size_t>(std::ranges::count_if(live, [&](const node_id& node) {
    return node != self && rendezvous_weight(head_subject, node.str()) > own;
  }));
}

}  // namespace

config_replica::config_replica(node_id self, std::uint64_t seed, control_timing timing)
    : self_(std::move(self)), timing_(timing), random_(seed) {}

bool config_replica::is_head_reader(const std::vector<node_id>& live) const {
  return rank_in(live, self_) < timing_.head_reader_count;
}

// Whether a configuration replaces the one in force. The higher version wins. Equal versions with
// different content exist only after the table was restored from an old copy. The hash then
// decides, so that all nodes choose the same one, whichever they received first.
bool config_replica::supersedes(std::uint64_t version, std::string_view hash) const {
  return std::pair(version, hash) > std::pair(in_force_.version, std::string_view(in_force_.hash));
}

config_effects config_replica::tick(const std::vector<node_id>& live, time_point now) {
  config_effects requested;
  const bool reader = is_head_reader(live);
  if (reader) {
    next_head_read_ = std::min(next_head_read_, now + timing_.head_reader_interval);
  }
  const bool waiting =
      head_read_started_ && now - *head_read_started_ < timing_.head_reader_interval;
  if (now >= next_head_read_ && !waiting) {
    const duration interval =
        reader ? timing_.head_reader_interval : timing_.head_non_reader_interval;
    next_head_read_ = now + interval - random_.jitter(interval / 4);
    head_read_started_ = now;
    requested.push_back(fetch_config_head{});
  }
  fetch_all(requested, now);
  return requested;
}

// ---- heads from the table and from peers ----

config_effects config_replica::head_read(const outcome<head_row>& result, time_point now) {
  config_effects requested;
  head_read_started_.reset();
  if (const auto* row = std::get_if<head_row>(&result)) {
    head_read_retried_ = false;
    handle_head(*row, requested, now);
  } else if (!head_read_retried_) {
    // Reads the head row once more soon, because a single lost reply should not cost a whole
    // interval. Further failures wait for the interval, to add no load to a table that is
    // unavailable.
    head_read_retried_ = true;
    next_head_read_ = std::min(next_head_read_, now + random_.jitter(timing_.max_head_retry_delay));
  }
  return requested;
}

void config_replica::handle_head(const head_row& row, config_effects& requested, time_point now) {
  const std::uint64_t version = row.head ? row.head->version : 0;
  if (row.head && version > in_force_.version) {
    add_candidate(*row.head, true, nullptr);
    fetch_all(requested, now);
    return;
  }
  if (row.head && version == in_force_.version && row.head->hash == in_force_.hash) {
    head_ = *row.head;
    return;
  }
  if (in_force_.version == 0) {
    return;
  }
  repair_table(row, requested);
}

config_effects config_replica::peer_reported(const node_id& peer, std::uint64_t version,
                                             std::string_view hash, time_point now) {
  config_effects requested;
  if (version == 0 || hash.empty()) {
    return requested;
  }
  if (version == in_force_.version && hash == in_force_.hash) {
    peer_in_sync_ = peer;
    return requested;
  }
  config_head head;
  head.version = version;
  head.hash = hash;
  add_candidate(head, false, &peer);
  fetch_all(requested, now);
  return requested;
}

void config_replica::add_candidate(const config_head& head, bool from_table,
                                   const node_id* holder) {
  if (!supersedes(head.version, head.hash)) {
    return;
  }
  candidate& c = candidates_[{head.version, head.hash}];
  c.from_table = c.from_table || from_table;
  if (c.head.proposals.empty()) {
    c.head = head;
  }
  if (holder != nullptr && std::ranges::count(c.holder_nodes, *holder) == 0) {
    c.holder_nodes.push_back(*holder);
  }
  if (candidates_.size() > max_candidates) {
    const auto weakest = std::ranges::find_if(
        candidates_, [](const auto& entry) { return !entry.second.from_table; });
    candidates_.erase(weakest == candidates_.end() ? candidates_.begin() : weakest);
  }
}

// ---- fetching content ----

void config_replica::fetch_all(config_effects& requested, time_point now) {
  for (auto& [id, c] : candidates_) {
    const bool waiting = c.requested_at && now - *c.requested_at < timing_.config_fetch_timeout;
    if (!waiting && now >= c.next_round_at) {
      fetch(c, requested, now);
    }
  }
}

void config_replica::fetch(candidate& c, config_effects& requested, time_point now) {
  c.requested_at = now;
  const bool patch = c.from_table && !in_force_.hash.empty();
  std::size_t source = c.next_source_index++;
  if (patch && source-- == 0) {
    requested.push_back(fetch_object{patch_object_name(c.head.hash, in_force_.hash)});
    return;
  }
  if (source < c.holder_nodes.size()) {
    requested.push_back(
        send_peer_message{c.holder_nodes[source], config_request{c.head.hash, in_force_.hash}});
    return;
  }
  requested.push_back(fetch_object{c.head.hash});
  c.next_source_index = 0;
  c.next_round_at = now + timing_.head_reader_interval;
}

// Call when the source that was queried last does not have the content with this hash.
config_effects config_replica::fetch_from_next_source(std::string_view hash, time_point now) {
  config_effects requested;
  for (auto& [id, c] : candidates_) {
    if (c.head.hash == hash && now >= c.next_round_at) {
      fetch(c, requested, now);
    }
  }
  return requested;
}

config_effects config_replica::object_read(std::string_view name,
                                           const outcome<std::string>& result, time_point now) {
  config_effects requested;
  const std::string_view hash = name.substr(0, name.find("-from-"));
  if (const auto* bytes = std::get_if<std::string>(&result)) {
    config_content content = patch_without_base(*bytes);
    if (hash.size() != name.size()) {
      const outcome<config_content> decoded = decode_patch(*bytes);
      const auto* patch = std::get_if<config_content>(&decoded);
      content = patch != nullptr ? *patch : config_content{};
    }
    if (content.head.hash == hash && accept(content, requested, now)) {
      return requested;
    }
  }
  return fetch_from_next_source(hash, now);
}

config_effects config_replica::peer_sent(const node_id& peer, const config_content& content,
                                         time_point now) {
  config_effects requested;
  if (content.head.hash == in_force_.hash && content.head.version == in_force_.version) {
    head_ = content.head;
    return requested;
  }
  // The head in the peer's message also lists proposals; heartbeats carry version and hash only.
  add_candidate(content.head, false, &peer);
  if (!accept(content, requested, now) && supersedes(content.head.version, content.head.hash)) {
    return fetch_from_next_source(content.head.hash, now);
  }
  return requested;
}

// True if the received content has the hash that its head names, even if no candidate needs it.
bool config_replica::accept(const config_content& content, config_effects& requested,
                            time_point now) {
  std::optional<std::string> whole = apply_patch(content_, content);
  if (!whole) {
    return false;
  }
  // Several candidates may have the same content; the one with the highest version is last.
  std::optional<config_head> best;
  for (const auto& [id, c] : candidates_) {
    if (c.head.hash == content.head.hash) {
      best = c.head;
    }
  }
  if (best) {
    adopt(*best, std::move(*whole), requested, now);
  }
  return true;
}

void config_replica::adopt(const config_head& head, std::string content, config_effects& requested,
                           time_point now) {
  if (head.version == in_force_.version) {
    requested.push_back(operator_notice{"two configurations have version " +
                                        std::to_string(head.version) + ": " + in_force_.hash +
                                        " gives way to " + head.hash});
  }
  remember_content();
  in_force_ = {head.version, head.hash, now};
  head_ = head;
  content_ = std::move(content);
  pending_repair_.reset();
  std::erase_if(candidates_, [this](const auto& entry) {
    return !supersedes(entry.first.first, entry.first.second);
  });
  // Patches against the previous content no longer apply. The sources of each remaining candidate
  // are tried from the first again.
  for (auto& [id, c] : candidates_) {
    c.next_source_index = 0;
  }
  requested.push_back(publish_configuration{head.version});
}

void config_replica::remember_content() {
  if (in_force_.hash.empty()) {
    return;
  }
  if (recent_contents_.emplace(in_force_.hash, content_).second) {
    recent_hashes_.push_back(in_force_.hash);
  }
  if (recent_hashes_.size() > max_recent_contents) {
    recent_contents_.erase(recent_hashes_.front());
    recent_hashes_.erase(recent_hashes_.begin());
  }
}

config_effects config_replica::peer_requested(const node_id& peer, const config_request& request) {
  if (in_force_.version == 0 || request.hash != in_force_.hash) {
    return {};
  }
  const auto base = recent_contents_.find(request.requester_hash);
  config_content answer;
  if (request.requester_hash == in_force_.hash) {
    answer = make_patch(content_, content_);
  } else if (base != recent_contents_.end()) {
    answer = make_patch(base->second, content_);
  } else {
    answer = patch_without_base(content_);
  }
  answer.head = head_;
  return {send_peer_message{peer, std::move(answer)}};
}

// ---- repair of a restored table ----

// True if the head was certainly accepted on an old copy of the table: its newest proposal is not
// in the history of the configuration in force, but an earlier one is.
bool config_replica::accepted_on_old_copy(const config_head& head) const {
  const auto ours = [this](const proposal_id& id) {
    return std::ranges::find(head_.proposals, id) != head_.proposals.end();
  };
  return !head.proposals.empty() && !ours(head.proposals.front()) &&
         std::ranges::any_of(head.proposals, ours);
}

// The table has an older head than this node, so it was restored from a copy. Starting nodes would
// adopt the old configuration, and the next proposal would reuse a version number. The head is set
// to the newest known one. If a proposal was accepted on the old copy in the meantime, it gets a
// version above all others, because it was accepted, and accepted last.
void config_replica::repair_table(const head_row& row, config_effects& requested) {
  if (row.head && accepted_on_old_copy(*row.head)) {
    config_head raised = *row.head;
    raised.version = in_force_.version + 1;
    requested.push_back(operator_notice{
        "the table was restored to an older configuration, on which " + raised.hash +
        " was accepted: it becomes version " + std::to_string(raised.version) + "; changes of " +
        in_force_.hash + " that it lacks have to be proposed again"});
    requested.push_back(repair_head{std::move(raised), row.row_version});
    return;
  }
  // The proposal ids are needed: without them, a proposer whose reply was lost would not find its
  // proposal in the repaired head and would apply it again. They are requested from a peer first.
  if (head_.proposals.empty()) {
    if (peer_in_sync_) {
      requested.push_back(
          send_peer_message{*peer_in_sync_, config_request{in_force_.hash, in_force_.hash}});
    }
    return;
  }
  const std::string found =
      row.head ? "version " + std::to_string(row.head->version) + " (" + row.head->hash + ")"
               : "no configuration";
  requested.push_back(operator_notice{"the table has " + found + ", older than version " +
                                      std::to_string(in_force_.version) +
                                      " in force: it is lifted"});
  pending_repair_ = repair_head{head_, row.row_version};
  requested.push_back(restore_object{in_force_.hash, content_});
}

config_effects config_replica::object_stored(const outcome<std::monostate>& result, time_point) {
  if (!pending_repair_ || !is_ok(result)) {
    return {};
  }
  repair_head write = std::move(*pending_repair_);
  pending_repair_.reset();
  return {std::move(write)};
}

// Reads the head row again, whatever the result of the write: the row shows whether this write took
// effect or another node's write did.
config_effects config_replica::head_written(const outcome<std::uint64_t>&, time_point now) {
  next_head_read_ = now;
  return {};
}

}  // namespace arbutus
