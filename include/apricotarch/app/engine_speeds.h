#pragma once

/**
 * @file
 * Use of the estimated speeds of engines by a front node.
 */

#include "apricotarch/app/front_state.h"

namespace apricotarch
{

/**
 * Records the duration of a prefill as a sample of the engine's speed, for this node and for its next message to others.
 * @param expectedMs usual duration in milliseconds; 0 if the prefill is no sample
 */
void recordSpeedSample(FrontState &state, const Backend &engine, double expectedMs, Duration measured);

/// Sets Backend::speedFactor of all engines, at most once a second. Linear in the number of servers.
void updateSpeedFactors(FrontState &state);

} // namespace apricotarch
