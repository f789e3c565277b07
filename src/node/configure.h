// The operators' endpoint for configuration changes.
#pragma once

#include "connection/http_server.h"
#include "node/control.h"
#include "node/platform_client.h"

namespace arbutus {

// POST {"base_version":N,"proposal":"ID","inventory":"CSV text","rules":"TOML text"}:
//   200 {"version":N}              accepted; in force within seconds
//   409 {"current":{...}}          another change was accepted in the meantime; nothing was changed
//   422 {"findings":[...]}         the texts contain errors; nothing was changed
//   502                            outcome not known yet: repeat the request with the same proposal
//                                  id, which is never applied twice
// GET: {"version":N,"inventory_hash":...}: the configuration in force on this node.
void serve_configure(platform_client& platform, control& core, const http_request& request,
                     response_writer& writer);

}  // namespace arbutus
