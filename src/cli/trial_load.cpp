// Callers of the trial.
#include "cli/trial_load.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "connection/clock.h"
#include "node/sse.h"
#include "standin/answer.h"

namespace arbutus {

namespace {

using json = nlohmann::json;

constexpr std::uint32_t answer_tokens = 24;
constexpr duration call_timeout = 20s;
const model_id dispatch_model{"dispatch-llm"};

std::string prompt_of(std::size_t workspace, std::uint64_t serial) {
  return "Workspace " + std::to_string(workspace) +
         ": summarise the call, draft the crew brief and check the address notes. Caller " +
         std::to_string(serial);
}

// Takes a stream apart as a caller would.
class stream_reader {
 public:
  bool on_bytes(std::string_view bytes, time_point now) {
    splitter_.append(bytes);
    while (const auto frame = splitter_.next()) {
      if (first_ == time_point::min()) {
        first_ = now;
      }
      on_frame(*frame);
    }
    return true;
  }
  [[nodiscard]] const std::string& text() const { return text_; }
  [[nodiscard]] bool done() const { return done_; }
  [[nodiscard]] const std::string& error() const { return error_; }
  [[nodiscard]] time_point first() const { return first_; }

 private:
  void on_frame(std::string_view frame) {
    frame.remove_prefix(std::min<std::size_t>(frame.size(), std::string_view("data: ").size()));
    if (frame.starts_with("[DONE]")) {
      done_ = true;
      return;
    }
    const json body = json::parse(frame, nullptr, false);
    if (body.contains("error")) {
      error_ = body["error"].value("type", "unknown");
    } else if (body.contains("choices")) {
      text_ += body["choices"][0].value("text", "");
    }
  }

  sse_splitter splitter_;
  std::string text_;
  std::string error_;
  bool done_ = false;
  time_point first_ = time_point::min();
};

std::string error_type(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("error")) {
    return "unknown";
  }
  return parsed["error"].value("type", "unknown");
}

}  // namespace

void trial_load::record(const std::string& workspace, double first_ms, double total_ms) {
  const std::lock_guard guard(lock_);
  workspace_result& result = results_[workspace];
  result.first_token_ms.push_back(first_ms);
  result.total_ms.push_back(total_ms);
  ++result.counts.whole;
}

void trial_load::count(const std::string& workspace, std::uint64_t trial_counts::*field) {
  const std::lock_guard guard(lock_);
  ++(results_[workspace].counts.*field);
}

void trial_load::call_once(std::size_t node, std::size_t workspace, std::uint64_t serial,
                           bool stream) {
  const fleet_workspace& who = fleet_.workspaces()[workspace];
  const std::string prompt = prompt_of(workspace, serial);
  const std::string expected = standin::expected_answer(dispatch_model, prompt, answer_tokens);
  http_request request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.headers.add("authorization", "Bearer " + who.key);
  request.body = json{
      {"model", dispatch_model.str()},
      {"prompt", prompt},
      {"max_tokens", answer_tokens},
      {"stream",
       stream}}.dump();
  const time_point begun = monotonic_now();
  stream_reader reader;
  std::string body;
  int status = 0;
  const call_result result = fleet_.client().stream(
      fleet_.caller_address(node), request, begun + call_timeout,
      [&](int s, const http_headers&) {
        status = s;
        return true;
      },
      [&](std::string_view bytes) {
        if (status == 200 && stream) {
          return reader.on_bytes(bytes, monotonic_now());
        }
        body.append(bytes);
        return true;
      });
  const time_point ended = monotonic_now();
  if (status != 200) {
    const bool silent = !result.ok() && status == 0;
    const std::string type = error_type(body);
    count(who.name, silent              ? &trial_counts::silent
                    : type == "not_run" ? &trial_counts::not_run
                                        : &trial_counts::unknown);
    return;
  }
  std::string text = reader.text();
  bool said_whole = reader.done();
  if (!stream) {
    const json parsed = json::parse(body, nullptr, false);
    said_whole = result.ok() && parsed.contains("choices");
    text = said_whole ? parsed["choices"][0].value("text", "") : "";
  }
  if (!said_whole) {
    count(who.name, &trial_counts::unknown);
  } else if (text != expected) {
    count(who.name, &trial_counts::wrong);
  } else {
    const time_point first = stream ? reader.first() : ended;
    record(who.name, to_milliseconds(first - begun), to_milliseconds(ended - begun));
  }
}

void trial_load::caller(std::size_t workspace, std::size_t index) {
  std::uint64_t serial = index * 1'000'000;
  while (!stopping_) {
    std::size_t target = (index + serial) % fleet_.nodes().size();
    if (target == left_out_) {
      target = (target + 1) % fleet_.nodes().size();
    }
    call_once(target, workspace, serial, serial % 2 == 0);
    ++serial;
  }
  --running_;
}

void trial_load::start(std::size_t callers_per_workspace) {
  std::size_t index = 0;
  for (std::size_t w = 0; w < fleet_.workspaces().size(); ++w) {
    for (std::size_t i = 0; i < callers_per_workspace; ++i, ++index) {
      ++running_;
      fleet_.runtime().post(index % fleet_.runtime().workers(),
                            [this, w, index] { caller(w, index); });
    }
  }
}

void trial_load::stop() {
  stopping_ = true;
  while (running_ > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

std::map<std::string, workspace_result> trial_load::results() const {
  const std::lock_guard guard(lock_);
  return results_;
}

trial_counts trial_load::sum() const {
  trial_counts total;
  for (const auto& [name, result] : results()) {
    total.whole += result.counts.whole;
    total.wrong += result.counts.wrong;
    total.not_run += result.counts.not_run;
    total.unknown += result.counts.unknown;
    total.silent += result.counts.silent;
  }
  return total;
}

}  // namespace arbutus
