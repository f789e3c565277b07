// The operators' configuration of the stand-in hosted platform, in the wire format of platform/.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::standin {

inline constexpr const char* hosted_host_name = "desk.example";
inline constexpr const char* hosted_caller_key = "key-of-the-desk";
inline constexpr const char* hosted_model_name = "large";
inline constexpr const char* model_service_name = "llm";
inline constexpr const char* plain_service_name = "api";
// Path prefix of the streams of the service that is not a model.
inline constexpr const char* plain_stream_prefix = "/events/";
// The same, of streams that may not be resumed, and of such streams of the model.
inline constexpr const char* once_plain_stream_prefix = "/once-events/";
inline constexpr const char* once_stream_prefix = "/once-llm/";
// Path prefix of the calls to that service that may be repeated.
inline constexpr const char* repeatable_prefix = "/note/";
// Path prefix of the calls to that service that may not be repeated and may take seconds.
inline constexpr const char* long_call_prefix = "/booking/";
// Path prefix of the calls that need no API key.
inline constexpr const char* public_prefix = "/public/";

// What the configuration says of workspaces.
enum class workspace_list : std::uint8_t {
  absent,  // there is no list
  empty,
  without_keys,  // one workspace, which has no API key
  with_key,      // one workspace, which has an API key
};

struct hosted_configuration {
  std::uint64_t version = 1;
  workspace_list workspaces = workspace_list::with_key;
  std::size_t extra_routes = 0;  // number of additional routes
  int model_max_attempts = 3;    // number of targets to which a request for the model is sent
  // For how long a target that starts is cold, and how many requests per second it bears meanwhile;
  // zero: targets are warm from the start.
  double warmup_s = 0;
  double cold_per_s = 0;
  bool has_urgent_route = false;  // a second, more urgent route to the model
  // Regions in which requests of the routes and of the workspace may be served; empty: everywhere.
  std::vector<std::string> route_regions = {};
  std::vector<std::string> workspace_regions = {};
};

// Path of an additional route.
[[nodiscard]] std::string extra_route_path(std::size_t index);

[[nodiscard]] std::string encode(const hosted_configuration& configuration);

}  // namespace arbutus::standin
