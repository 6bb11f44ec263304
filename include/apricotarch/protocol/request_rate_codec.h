#pragma once

/**
 * @file
 * Thrift encoding of what nodes tell each other of the request rates that backend servers take.
 */

#include <vector>

#include "apricotarch/state/backend.h"

namespace apricotarch
{

namespace wire
{
class RateStatement;
} // namespace wire

[[nodiscard]] std::vector<wire::RateStatement> requestRatesToWire(const std::vector<ReportedRequestRate> &rates);

/// Negative rates and ages are read as 0.
[[nodiscard]] std::vector<ReportedRequestRate> requestRatesFromWire(const std::vector<wire::RateStatement> &messages);

} // namespace apricotarch
