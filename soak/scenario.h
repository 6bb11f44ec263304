#pragma once

/**
 * @file
 * Scenarios: what is done to a deployment under load.
 */

#include <functional>
#include <map>

#include "deployment.h"

namespace apricotarch::soak
{

/// Disturbs the deployment until a time. @return false if it could not go on
using Scenario = std::function<bool(Deployment &deployment, std::minstd_rand &random, TimePoint until)>;

/// Returns all scenarios by their names.
[[nodiscard]] const std::map<std::string, Scenario> &scenarios();

} // namespace apricotarch::soak
