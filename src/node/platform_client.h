// HTTP client of the platform's table service, object store and VM list.
//
// The outcome of a call is ok, refused or unknown. A write is refused only if the service reports
// that the row has another version; after an error status, a timeout or a broken connection the
// write may have taken effect, so the outcome is unknown.
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
  // The client must outlive this object.
  platform_client(http_client& client, platform_addresses addresses, data_centre_id data_centre);

  // For a row that does not exist the outcome is ok, with version 0.
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
