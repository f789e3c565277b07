// The platform's table service, object store and VM list over HTTP.
//
// Every call ends in ok, refused or unknown. Only the service's own "another version is there"
// counts as refused for a write: an error status, a timeout or a broken connection may hide a write
// that took effect.
#pragma once

#include <variant>
#include <vector>

#include "base/outcome.h"
#include "connection/http_client.h"
#include "process/effects.h"

namespace arbutus {

struct platform_addresses {
  socket_address table;
  socket_address objects;
  socket_address vms;
};

class platform_client {
 public:
  // The client outlives this object.
  platform_client(http_client& client, platform_addresses addresses, data_centre_id data_centre);

  // A row that does not exist is ok, with version 0.
  outcome<table_row> read(const table_read& asked, time_point deadline);
  outcome<table_written> write(const table_write& asked, time_point deadline);
  outcome<std::string> get(const object_get& asked, time_point deadline);
  outcome<std::monostate> put(const object_put& asked, time_point deadline);
  outcome<std::vector<vm_list_entry>> list_vms(time_point deadline);

 private:
  call_result call(const socket_address& target, http_request request, time_point deadline);

  http_client& client_;
  platform_addresses addresses_;
  data_centre_id data_centre_;
};

}  // namespace arbutus
