// Reads, proposes and repairs the assignment row in the table.
#include "process/assignment_writer.h"

#include <algorithm>
#include <utility>

namespace arbutus {

namespace {

// Minimum time between reads of the row that peers' reports cause. After the table was restored
// from a backup, every heartbeat reports a newer version than the table has.
constexpr duration min_row_read_gap = 300ms;

// Maximum number of remembered writes with unknown outcome; older ones have long been superseded.
constexpr std::size_t max_unresolved_writes = 8;

}  // namespace

std::string row_key(const data_centre_id& dc) {
  return "assignment/" + dc.str();
}

void supersede_generations(assignment& a) {
  for (replica_plan& replica : a.replicas) {
    replica.fencing_generation = generation{.row = a.version};
  }
}

void renumber(assignment& a, std::uint64_t version) {
  for (replica_plan& replica : a.replicas) {
    if (replica.fencing_generation.row == a.version) {
      replica.fencing_generation.row = version;
    }
  }
  for (withdrawal& w : a.withdrawals) {
    if (w.since == a.version) {
      w.since = version;
    }
  }
  a.version = version;
}

assignment_writer::assignment_writer(node_id self, data_centre_id dc, std::uint64_t seed)
    : self_(std::move(self)), dc_(std::move(dc)), key_(row_key(dc_)), random_(seed) {
  row_.data_centre = dc_;
}

void assignment_writer::raise_highest_known(time_point now, std::uint64_t version) {
  if (version <= highest_known_version_) {
    return;
  }
  highest_known_version_ = version;
  if (newer_version_known()) {
    newer_version_reported_at_ = now;
  }
}

void assignment_writer::note_peer_version(time_point now, std::uint64_t version) {
  if (version <= row_.version) {
    return;
  }
  const bool is_newest = version > highest_known_version_;
  raise_highest_known(now, version);
  newer_version_reported_at_ = now;
  if (is_newest) {
    next_row_read_ = std::min(next_row_read_, now + random_.jitter(row_read_spread));
  } else {
    read_soon(now);
  }
}

void assignment_writer::note_target_version(time_point now, std::uint64_t version) {
  if (version <= highest_known_version_) {
    return;
  }
  raise_highest_known(now, version);
  read_soon(now);
}

bool assignment_writer::adopt(time_point now, const assignment& copy) {
  const bool newer = copy.data_centre == dc_ && copy.version > row_.version;
  if (!newer || has_errors(check_invariants(copy))) {
    return false;
  }
  row_ = copy;
  raise_highest_known(now, row_.version);
  // The table may have been read before this copy of the row existed. Read the table again before
  // comparing the two.
  last_table_copy_.reset();
  table_repair_needed_since_.reset();
  read_soon(now);
  return true;
}

void assignment_writer::read_soon(time_point now) {
  const time_point earliest = std::max(now, last_read_ + min_row_read_gap);
  next_row_read_ = std::min(next_row_read_, earliest + random_.jitter(row_read_spread));
}

effects assignment_writer::read(time_point now) {
  read_sent_at_ = now;
  last_read_ = now;
  ++counters_.reads;
  return {table_read{key_}};
}

effects assignment_writer::tick(time_point now, const std::vector<node_id>& live) {
  if (read_sent_at_ && now - *read_sent_at_ >= row_reply_timeout) {
    note_failed_read(now);
  }
  if (open_write_ && now - open_write_->sent_at >= row_reply_timeout) {
    last_write_failed_ = true;
    unresolved_writes_.push_back(*open_write_);
    open_write_.reset();
    ++counters_.unknown_write_replies;
    next_write_at_ = now + backoff_.fail(random_);
    read_soon(now);
  }
  effects out;
  if (!read_sent_at_ && now >= next_row_read_) {
    const bool reader = rank_of(key_, self_, live) < row_reader_count;
    const duration interval = reader ? row_reader_interval : row_non_reader_interval;
    next_row_read_ = now + interval + random_.jitter(interval / 10);
    out = read(now);
  }
  for (effect& e : repair_table(now, live)) {
    out.push_back(std::move(e));
  }
  return out;
}

time_point assignment_writer::next_tick() const {
  time_point next = read_sent_at_ ? *read_sent_at_ + row_reply_timeout : next_row_read_;
  if (open_write_) {
    next = std::min(next, open_write_->sent_at + row_reply_timeout);
  }
  if (table_repair_needed_since_ && !open_write_) {
    next = std::min(next, std::max(last_read_ + min_row_read_gap, next_write_at_));
  }
  return next;
}

void assignment_writer::note_failed_read(time_point now) {
  read_sent_at_.reset();
  unreadable_since_ = unreadable_since_.value_or(now);
  next_row_read_ = now + row_reader_interval / 2 + random_.jitter(row_reader_interval);
}

effects assignment_writer::on(time_point now, const table_read_result& r) {
  if (r.request.key != key_) {
    return {};
  }
  const auto* row = std::get_if<table_row>(&r.result);
  if (row == nullptr) {
    note_failed_read(now);
    return {};
  }
  if (read_sent_at_) {
    confirmed_at_ = read_sent_at_;
  }
  read_sent_at_.reset();
  unreadable_since_.reset();
  table_copy copy{.version = row->version, .row_version = 0, .proposal = {}};
  if (row->version == 0) {
    apply_copy(now, copy, std::nullopt);
    return {};
  }
  const auto decoded = decode_assignment(row->value);
  if (const auto* content = std::get_if<assignment>(&decoded)) {
    copy.row_version = content->version;
    copy.proposal = content->proposal;
    apply_copy(now, copy, *content);
    return {};
  }
  apply_copy(now, copy, std::nullopt);
  return {notice{"row", "the assignment row in the table cannot be decoded"}};
}

void assignment_writer::apply_copy(time_point now, const table_copy& copy,
                                   const std::optional<assignment>& content) {
  last_table_copy_ = copy;
  if (content && content->version > row_.version) {
    row_ = *content;
    raise_highest_known(now, row_.version);
  }
  resolve_unknown(now, copy);
  if (!table_needs_repair(now)) {
    table_repair_needed_since_.reset();
  } else if (!table_repair_needed_since_) {
    table_repair_needed_since_ = now;
    ++counters_.restored_copies;
    read_soon(now);
  }
}

void assignment_writer::resolve_unknown(time_point now, const table_copy& copy) {
  std::erase_if(unresolved_writes_, [&](const open_write& w) {
    if (w.proposal == copy.proposal) {
      ++counters_.writes_won;
      last_write_failed_ = false;
      backoff_.succeed();
      next_write_at_ = now;
      return true;
    }
    const bool superseded = copy.version > w.expected_table_version;
    counters_.writes_lost += superseded ? 1 : 0;
    return superseded;  // a write that is not superseded may still take effect
  });
  while (unresolved_writes_.size() > max_unresolved_writes) {
    unresolved_writes_.erase(unresolved_writes_.begin());
  }
}

effects assignment_writer::on(time_point now, const table_write_result& r) {
  if (r.request.key != key_) {
    return {};
  }
  const auto decoded = decode_assignment(r.request.value);
  const auto* content = std::get_if<assignment>(&decoded);
  if (content == nullptr) {
    return {};
  }
  open_write sent{
      .proposal = content->proposal, .expected_table_version = r.request.expected, .sent_at = {}};
  if (open_write_ && open_write_->proposal == sent.proposal) {
    sent.sent_at = open_write_->sent_at;
    open_write_.reset();
  }
  std::erase_if(unresolved_writes_,
                [&](const open_write& w) { return w.proposal == sent.proposal; });
  if (const auto* written = std::get_if<table_written>(&r.result)) {
    unresolved_writes_.push_back(sent);
    confirmed_at_ = sent.sent_at;
    apply_copy(now, {written->version, content->version, content->proposal}, *content);
    return {};
  }
  // A refused write may also mean that a lower layer repeated it and its first copy took effect.
  // Read the row back in any case: it names the proposal that it came from.
  const bool no_answer = std::holds_alternative<unknown>(r.result);
  counters_.unknown_write_replies += no_answer ? 1 : 0;
  last_write_failed_ = no_answer;
  unresolved_writes_.push_back(sent);
  next_write_at_ = now + backoff_.fail(random_);
  if (read_sent_at_) {
    next_row_read_ = now;  // the open read may have been served before the write
    return {};
  }
  return read(now);
}

bool assignment_writer::unwritable(time_point now) const {
  const bool slow = open_write_ && now - open_write_->sent_at >= row_reply_timeout;
  return unreadable_since_ || last_write_failed_ || slow;
}

bool assignment_writer::newest_content_lost(time_point now) const {
  return newer_version_known() && last_table_copy_ &&
         now - newer_version_reported_at_ >= lost_content_timeout;
}

// The table holds an older state than this node knows: it was restored from a backup, or it lost a
// version that targets obey.
bool assignment_writer::table_needs_repair(time_point now) const {
  if (!last_table_copy_ || !row_known()) {
    return false;
  }
  const bool differs =
      last_table_copy_->row_version == row_.version && last_table_copy_->proposal != row_.proposal;
  return last_table_copy_->row_version < row_.version || differs || newest_content_lost(now);
}

effects assignment_writer::repair_table(time_point now, const std::vector<node_id>& live) {
  if (!table_repair_needed_since_ && table_needs_repair(now)) {
    table_repair_needed_since_ = now;
    ++counters_.restored_copies;
  }
  if (!table_repair_needed_since_ || open_write_ || unreadable_since_ || now < next_write_at_) {
    return {};
  }
  // The answer to a read that was served before a later write also looks like a table restored from
  // a backup. Repair only after a second read, sent after the first one showed an old row.
  if (last_read_ <= *table_repair_needed_since_) {
    read_soon(now);
    return {};
  }
  if (read_sent_at_) {
    return {};
  }
  const duration wait = rank_wait(rank_of(key_ + "/repair", self_, live), row_proposal_rank_delay);
  const bool peers_know_more = newer_version_known() && !newest_content_lost(now);
  if (peers_know_more || now < *table_repair_needed_since_ + wait) {
    return {};
  }
  assignment next = row_;
  next.version = next_version();
  if (newer_version_known()) {
    supersede_generations(next);
  }
  return write(now, std::move(next));
}

bool assignment_writer::may_propose(time_point now) const {
  const bool seen = row_missing_in_table() || (row_known() && last_table_copy_);
  const bool free = seen && !open_write_ && !table_repair_needed_since_ && !unreadable_since_;
  const bool newest = !newer_version_known() || (!row_known() && newest_content_lost(now));
  return free && newest && now >= next_write_at_;
}

std::uint64_t assignment_writer::next_version() const {
  const bool gap = table_repair_needed_since_ || newer_version_known();
  return std::max(row_.version, highest_known_version_) + (gap ? row_restore_version_gap : 1);
}

effects assignment_writer::propose(time_point now, assignment next) {
  if (!may_propose(now)) {
    return {};
  }
  next.version = next_version();
  return write(now, std::move(next));
}

effects assignment_writer::write(time_point now, assignment next) {
  next.data_centre = dc_;
  next.proposal = proposal_id{self_.str() + "/" + std::to_string(random_()) + "/" +
                              std::to_string(++proposal_count_)};
  if (has_errors(check_invariants(next))) {
    return {notice{"row", "a proposal breaks the invariants of the assignment; not written"}};
  }
  open_write_ = open_write{.proposal = next.proposal,
                           .expected_table_version = last_table_copy_->version,
                           .sent_at = now};
  return {table_write{.key = key_, .value = encode(next), .expected = last_table_copy_->version}};
}

}  // namespace arbutus
