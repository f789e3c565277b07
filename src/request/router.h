// All that is needed to choose where a request runs: the policies, and spill-over.
#pragma once

#include "request/expected_completion.h"
#include "request/route_policy.h"
#include "request/spill.h"
