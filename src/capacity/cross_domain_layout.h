// Plans engines for models that are too large for any fabric domain. Their replicas span domains,
// and data centres if necessary.
//
// A cross-domain replica is slower by a configured factor, but without it all requests for the
// model are refused. Its engines are reserved before the layout of the other models is planned,
// from as few domains as possible, starting with those that have most engines ready for the model.
#pragma once

#include <span>

#include "capacity/domain_layout.h"

namespace arbutus {

// Plans the engines like plan_layout(), but first reserves engines for the models that no domain
// can hold. `slowdown`: factor by which a cross-domain replica is slower, at least 1.
// Deterministic.
[[nodiscard]] fleet_layout plan_fleet_layout(std::span<const layout_domain> domains,
                                             std::span<const layout_model> models, double slowdown,
                                             const layout_settings& settings = {});

// Whether some domain has enough engines for a replica of `size` engines and a margin for losses.
// In a domain without a margin, any loss would end the replica and the plan would oscillate.
[[nodiscard]] bool replica_fits_in_domain(std::span<const layout_domain> domains,
                                          std::uint32_t size);

}  // namespace arbutus
