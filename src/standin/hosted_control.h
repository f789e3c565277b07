// Control commands to the stand-in platform from other processes: faults to inject in a soak test,
// and counters to check. Separate from the platform's own protocol, on its own port.
//
//   GET  /counts               runs by request id, crashed processes by the path of the request
//                              that crashed them, requests that carried a caller's key, complete
//                              replicas
//   GET  /arrivals             how long ago each request arrived at each target, in seconds
//   GET  /repeats              how long ago each request arrived at each service beyond its first
//                              arrival there, in seconds
//   POST /kill?head=0|1        a non-head member (head=1: the head) of a serving replica dies
//                              without notice
//   POST /restart?head=0|1     a member (or the head) of a serving replica restarts
//   POST /restart?id=ID        the engine restarts
//   GET  /head                 id of the head of a serving replica
//   POST /behave?id=ID&away=0|1&leaving=0|1&closes=0|1&fails=STATUS&seconds=TEXT
//                              how a target (without ID: each of them) answers: it turns requests
//                              away and names this time, says that it is leaving, closes the
//                              connection without an answer, or fails requests that have run with
//                              this status
//   GET  /restraints           what nodes sent nevertheless, see restraint_checker; ages in seconds
//   POST /foreign              writes two invalid records into the list of targets
//   POST /store?down=0|1       the store answers 503 to every request
//   POST /configure?keys=0|1   writes the next configuration, with or without the workspace's key
//   POST /grow?routes=N        writes the next configuration, with N additional routes
//   POST /rate?bytes=N         limits each response of the store to N bytes per second; 0: no limit
//   POST /limit?value=TEXT     all targets announce this send limit in their responses; empty: none
#pragma once

#include "connection/http_server.h"
#include "standin/hosted_platform.h"

namespace arbutus::standin {

class hosted_control {
 public:
  // `platform` must outlive this object. Port 0 takes any free port.
  hosted_control(fiber_runtime& runtime, hosted_platform& platform, const socket_address& at);

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  void serve(const http_request& request, response_writer& writer);

  hosted_platform& platform_;
  http_server server_;
};

}  // namespace arbutus::standin
