// The operators' endpoint for a change of configuration.
#pragma once

#include "connection/http_server.h"
#include "node/control.h"
#include "node/platform_client.h"

namespace arbutus {

// POST {"base_version":N,"proposal":"ID","inventory":"CSV text","rules":"TOML text"}:
//   200 {"version":N}              accepted; in force within seconds
//   409 {"current":{...}}          somebody else's was accepted meanwhile; nothing was changed
//   422 {"findings":[...]}         the texts have mistakes; nothing was changed
//   502                            not known yet: ask again with the same proposal id, which is
//                                  never applied twice
// GET: {"version":N,"inventory_hash":...}: what is in force here.
void serve_configure(platform_client& platform, control& core, const http_request& request,
                     response_writer& writer);

}  // namespace arbutus
