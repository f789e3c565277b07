// Includes everything for routing a request: the policies and spill-over.
#pragma once

#include "request/expected_completion.h"
#include "request/route_policy.h"
#include "request/spill.h"
