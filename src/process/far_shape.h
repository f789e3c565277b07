// Engines for models that no fabric domain can hold: their replicas span domains, and data centres
// where they must.
//
// Such a replica is slower by the operators' factor, but without it the model's callers are refused
// all day. So engines are set apart for it, before each domain is shaped for the other models, out
// of as few domains as can be, those first that are ready for the model already.
#pragma once

#include <span>

#include "process/domain_shape.h"

namespace arbutus {

// As plan_shape(), with engines set apart for the models that no domain can hold. `slowdown`: of a
// replica across domains, 1 or more. Deterministic.
[[nodiscard]] fleet_shape plan_fleet(std::span<const shape_domain> domains,
                                     std::span<const shape_model> models, double slowdown,
                                     const shape_settings& settings = {});

// Whether some domain has the engines for a replica of `size`, with room for a loss or two: one
// that just fits has no replica as soon as any engine of it is lost, and the plan would go to and
// fro.
[[nodiscard]] bool fits_a_domain(std::span<const shape_domain> domains, std::uint32_t size);

}  // namespace arbutus
