// HTTP server of the platform's services: table, object store, VM list.
//
//   GET    /table/KEY           200 with x-row-version, or 404
//   PUT    /table/KEY           if-match: VERSION (0: must not exist); 200, or 412, both with
//                               x-row-version
//   DELETE /table/KEY           if-match: VERSION; 200 or 412
//   GET    /table-list/PREFIX   JSON array of keys
//   GET    /objects/NAME, PUT /objects/NAME
//   GET    /vms                 [{"vm":"a1","leaving":false}]
//   POST   /faults              {"table":{..},"objects":{..},"vm_list_lag_ms":500}
//   POST   /snapshot            stores a copy of the table, as a backup does
//   POST   /restore             restores that copy
//   GET    /counters
//
// During an outage the answer is 503, above a rate limit 429; a lost reply closes the connection.
// x-data-centre is the caller's data centre, for network partitions.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "connection/http_server.h"
#include "standin/object_standin.h"
#include "standin/table_standin.h"
#include "standin/vm_list_standin.h"

namespace arbutus::standin {

// Stand-ins of the platform's services. `mutex` guards all other members.
struct platform_standin {
  std::mutex mutex;
  table_standin table;
  object_standin objects;
  vm_list_standin vms;
  table_copy backup;
};

class platform_server {
 public:
  // `other_faults` handles POST /faults/NAME, which sets the faults of engines and services; see
  // standin_fleet. `platform` outlives the server.
  using fault_handler = std::function<void(const http_request&, response_writer&)>;
  platform_server(fiber_runtime& runtime, const socket_address& address, platform_standin& platform,
                  fault_handler other_faults = {});

  [[nodiscard]] std::uint16_t port() const noexcept { return server_->port(); }

 private:
  void handle(const http_request& request, response_writer& writer);
  void table(const http_request& request, const std::string& key, response_writer& writer);
  void list(const http_request& request, const std::string& prefix, response_writer& writer);
  void objects(const http_request& request, const std::string& name, response_writer& writer);
  void vms(const http_request& request, response_writer& writer);
  void faults(const http_request& request, response_writer& writer);
  void snapshot_or_restore(bool restore, response_writer& writer);
  void counters(response_writer& writer);

  platform_standin& platform_;
  fault_handler other_faults_;
  std::unique_ptr<http_server> server_;  // last member, since its handlers use the other members
};

}  // namespace arbutus::standin
