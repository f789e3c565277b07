// Requests of one stand-in engine: admission, batching and answers.
#include <algorithm>

#include "standin/countdown.h"
#include "standin/engine_standin.h"
#include "standin/expected_answer.h"

namespace arbutus::standin {

namespace {

// How long an answer with the fault "swapped" waits for a second answer to be swapped with.
constexpr duration swap_wait = 300ms;

constexpr int conflict_status = 409;
constexpr int unavailable_status = 503;

stream_state state_after(time_point now, const standin_answer& answer, bool all_produced) {
  if (now < answer.not_before()) {
    return stream_state::open;
  }
  if (answer.truncated()) {
    return stream_state::cut;
  }
  return all_produced && answer.complete() ? stream_state::finished : stream_state::open;
}

}  // namespace

void engine_standin::advance(time_point now) {
  batch_.advance(now, fabric_.speed(composition_));
}

std::optional<not_run> engine_standin::refusal(time_point now, const generation_request& r) const {
  const bool other_replica = !r.replica.empty() && r.replica != composition_.replica;
  const bool other_generation = !r.fencing_generation.empty() &&
                                r.fencing_generation != to_string(composition_.fencing_generation);
  if (other_replica || other_generation) {
    return not_run{conflict_status, "this VM holds another replica or generation"};
  }
  switch (state(now)) {
    case engine_state::draining:
      return not_run{conflict_status, "draining"};
    case engine_state::ready:
      break;
    case engine_state::idle:
    case engine_state::loading:
    case engine_state::failed:
      return not_run{unavailable_status, "not ready"};
  }
  if (composition_.members.front() != vm_) {
    return not_run{conflict_status, "not the head of its replica"};
  }
  if (r.replica.empty() && r.model != model_) {
    return not_run{conflict_status, "another model"};
  }
  if (!fabric_.is_complete(now, composition_)) {
    return not_run{unavailable_status, "a member is missing"};
  }
  if (batch_.queued() >= settings_.max_queued_requests) {
    return not_run{unavailable_status, "queue full"};
  }
  return std::nullopt;
}

std::variant<batch_handle, not_run> engine_standin::submit(time_point now,
                                                           const generation_request& request) {
  advance(now);
  if (auto refused = refusal(now, request)) {
    ++counters_.not_run;
    return *std::move(refused);
  }
  ++counters_.accepted;
  if (settings_.counts_runs_by_request) {
    ++runs_[request.id];
  }
  open_stream stream{request.id, standin_answer(request, next_faults(now)),
                     hash_prefix(request.prompt, request.model.str()), std::nullopt};
  if (request.expiry) {
    stream.expires_at = now + *request.expiry;
  }
  const std::uint64_t cached = cache_.count_cached_blocks(stream.prefix) * tokens_per_block;
  const std::uint64_t prompt = count_tokens(request.prompt);
  batch_job job;
  job.priority = request.priority;
  job.prefill_tokens = static_cast<std::uint32_t>(prompt - std::min(prompt, cached)) +
                       std::min(request.resume_offset, request.max_tokens);
  job.tokens = stream.answer.tokens_to_generate();
  const batch_handle handle = batch_.add(job);
  streams_.emplace(handle, std::move(stream));
  swap_with_other_answer(now, handle);
  record_load(now);
  return handle;
}

answer_faults engine_standin::next_faults(time_point now) {
  answer_faults faults;
  if (decrement_if_positive(faults_.late)) {
    faults.not_before = now + faults_.late_by;
  }
  faults.truncate = decrement_if_positive(faults_.truncated);
  faults.duplicate = decrement_if_positive(faults_.duplicated);
  return faults;
}

void engine_standin::swap_with_other_answer(time_point now, batch_handle handle) {
  if (faults_.swapped == 0) {
    return;
  }
  open_stream& own = streams_.at(handle);
  for (auto& [other_handle, other] : streams_) {
    if (other_handle != handle && !other.answer.has_sent_tokens() && !other.cut &&
        !other.finished) {
      standin_answer::swap_answers(own.answer, other.answer);
      --faults_.swapped;
      return;
    }
  }
  own.answer.hold_until(now + swap_wait);
}

stream_step engine_standin::take(time_point now, batch_handle handle, bool complete_only) {
  advance(now);
  const auto found = streams_.find(handle);
  if (found == streams_.end() || found->second.cut) {
    return {stream_state::cut, {}, {}, {}};
  }
  open_stream& stream = found->second;
  standin_answer& answer = stream.answer;
  const double speed = fabric_.speed(composition_);
  const batch_progress made = batch_.progress(handle, answer.tokens_to_generate(), speed);
  if (!made.started && stream.expires_at && now >= *stream.expires_at) {
    return expire(stream, handle);
  }
  if (made.produced > 0) {
    cache_prompt(now, stream);
  }
  const bool all_produced = made.remaining == duration{};
  stream_step step{stream_state::open, answer.response_id(), {}, {}};
  if (all_produced || !complete_only) {
    step.tokens = answer.take(now, made.produced);
    step.state = state_after(now, answer, all_produced);
  }
  if (step.state == stream_state::finished) {
    ++counters_.completed;
    stream.finished = true;
  }
  const std::uint32_t desired = complete_only ? answer.tokens_to_generate() : made.produced + 1;
  if (const auto left = batch_.progress(handle, desired, speed).remaining) {
    step.next_at = std::max(now + *left, answer.not_before());
  }
  return step;
}

// Ends a request that waited in the queue past its deadline. It never had a slot, so the response
// may say that it did not run.
stream_step engine_standin::expire(open_stream& stream, batch_handle handle) {
  ++counters_.not_run;
  --counters_.accepted;
  if (settings_.counts_runs_by_request) {
    --runs_[stream.id];
  }
  stream.finished = true;
  batch_.remove(handle);
  return {stream_state::expired, stream.id, {}, {}};
}

// Puts the prompt into the prefix cache once the first token of its answer is produced.
void engine_standin::cache_prompt(time_point now, open_stream& stream) {
  if (!stream.prefix.empty()) {
    cache_.store(now, stream.prefix);
    stream.prefix.clear();
  }
}

void engine_standin::close(time_point now, batch_handle handle) {
  advance(now);
  const auto found = streams_.find(handle);
  if (found == streams_.end()) {
    return;
  }
  if (!found->second.finished && !found->second.cut) {
    ++counters_.cancelled;
  }
  batch_.remove(handle);
  streams_.erase(found);
  record_load(now);
}

bool engine_standin::cancel(time_point now, const request_id& id) {
  advance(now);
  for (auto& [handle, stream] : streams_) {
    if (stream.id == id && !stream.cut && !stream.finished) {
      ++counters_.cancelled;
      stream.cut = true;
      batch_.remove(handle);
      record_load(now);
      return true;
    }
  }
  return false;
}

void engine_standin::interrupt_requests(time_point now) {
  for (auto& [handle, stream] : streams_) {
    if (!stream.cut && !stream.finished) {
      ++counters_.cut;
      stream.cut = true;
    }
  }
  batch_.reset(batch_.settings());
  record_load(now);
}

}  // namespace arbutus::standin
