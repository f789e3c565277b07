// Logs exceptions that ended a request.
#pragma once

#include <string_view>

#include "connection/http_message.h"

namespace arbutus {

void log_handler_failure(const http_request& request, std::string_view what);

}  // namespace arbutus
