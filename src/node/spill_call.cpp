// Forwards model calls to nodes of other data centres.
#include "node/spill_call.h"

#include <algorithm>

#include "base/hash.h"
#include "connection/clock.h"

namespace arbutus {

namespace {

constexpr int status_ok = 200;
// Of an answer that is no stream.
constexpr std::size_t max_answer_bytes = http_client_limits{}.max_body_bytes;

std::string region_of(const inventory& assets, const data_centre_id& id) {
  for (const data_centre_record& centre : assets.data_centres) {
    if (centre.id == id) {
      return centre.region;
    }
  }
  return {};
}

std::vector<data_centre_distance> distances(const inventory& assets, const data_centre_id& own) {
  const std::string region = region_of(assets, own);
  std::vector<data_centre_distance> result;
  for (const data_centre_record& centre : assets.data_centres) {
    const bool same_region = centre.region == region;
    result.push_back({centre.id, same_region ? same_region_round_trip : other_region_round_trip});
  }
  return result;
}

http_request outgoing(const http_request& request, time_point deadline) {
  http_request out;
  out.method = request.method;
  out.target = request.target;
  out.body = request.body;
  for (const std::string_view name : {"authorization", "content-type", "x-class"}) {
    if (const auto value = request.headers.find(name)) {
      out.headers.add(std::string(name), std::string(*value));
    }
  }
  out.headers.add(std::string(spilled_header), "1");
  const duration left = std::max(deadline - monotonic_now(), duration{1ms});
  out.headers.add(
      "x-deadline-ms",
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
  return out;
}

http_headers answer_headers(const http_headers& received) {
  http_headers result;
  for (const std::string_view name : {"content-type", "retry-after", "x-request-id"}) {
    if (const auto value = received.find(name)) {
      result.add(std::string(name), std::string(*value));
    }
  }
  return result;
}

bool is_stream(int status, const http_headers& headers) {
  const auto type = headers.find("content-type");
  return status == status_ok && type && type->starts_with("text/event-stream");
}

// Forwards the answer of the other node to the caller.
class relay {
 public:
  explicit relay(response_writer& writer) : writer_(writer) {}

  bool on_headers(int status, const http_headers& headers) {
    status_ = status;
    headers_ = answer_headers(headers);
    streamed_ = is_stream(status, headers);
    return !streamed_ || writer_.start(status, headers_);
  }

  bool on_chunk(std::string_view bytes) {
    if (streamed_) {
      return writer_.write(bytes);
    }
    body_.append(bytes);
    return body_.size() <= max_answer_bytes;
  }

  spill_outcome end(const call_result& result) {
    if (result.ok()) {
      const bool sent = streamed_ ? writer_.finish() : writer_.send(status_, headers_, body_);
      return {true, sent && status_ == status_ok, execution::done};
    }
    if (writer_.started()) {
      call_error truncated;
      truncated.ran = execution::unknown;
      truncated.code = "cut";
      truncated.message = "the other data centre's node was lost";
      writer_.write(error_frame(truncated));
      writer_.finish();
      return {true, false, execution::unknown};
    }
    const bool sent = result.outcome != call_outcome::not_sent;
    return {false, false, sent ? execution::unknown : execution::not_run};
  }

 private:
  response_writer& writer_;
  int status_ = 0;
  http_headers headers_;
  bool streamed_ = false;
  std::string body_;
};

}  // namespace

std::optional<endpoint> choose_spill_entry(time_point now, const call_context& node,
                                           const node_view& view, const request_facts& facts,
                                           std::optional<duration> local_wait,
                                           bool already_spilled) {
  const std::vector<data_centre_distance> round_trips =
      distances(view.config->assets, node.data_centre);
  const auto chosen =
      choose_spill(now, view.routes, facts, local_wait, round_trips, already_spilled);
  if (!chosen) {
    return std::nullopt;
  }
  // The calls are distributed over the nodes of the other data centre by a hash of the request id.
  const std::uint64_t pick = stable_hash(facts.id.str());
  return chosen->caller_endpoints[pick % chosen->caller_endpoints.size()];
}

spill_outcome relay_call(http_client& client, const http_request& request, response_writer& writer,
                         const endpoint& entry, time_point deadline, const cancel_token& cancel) {
  relay answer(writer);
  const call_result result = client.stream(
      address_of(entry), outgoing(request, deadline), deadline,
      [&](int status, const http_headers& headers) { return answer.on_headers(status, headers); },
      [&](std::string_view bytes) { return answer.on_chunk(bytes); }, cancel);
  return answer.end(result);
}

}  // namespace arbutus
