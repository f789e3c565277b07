// Logs exceptions that ended a request.
#include "node/handler_failure.h"

#include "node/log.h"

namespace arbutus {

void log_handler_failure(const http_request& request, std::string_view what) {
  log_line(log_level::error, "request", "handler failed",
           {{"request", request.headers.find("x-request-id").value_or("-")},
            {"method", request.method},
            {"target", request.target},
            {"error", what}});
}

}  // namespace arbutus
