#pragma once

/**
 * @file
 * The response that lists the nodes that callers can use.
 */

#include <string>

#include "apricotarch/app/node.h"

namespace apricotarch
{

/// Encodes the response to `GET /v1/entry`: node addresses, those in the caller's zone and with the lowest load first, and the time
/// for which they may be cached.
[[nodiscard]] std::string encodeEntry(Node &node, const ZoneId &callerZone);

} // namespace apricotarch
