#pragma once

/**
 * @file
 * The answer that tells callers which nodes to use.
 */

#include <string>

#include "apricotarch/app/node.h"

namespace apricotarch
{

/// `GET /v1/entry`: addresses, nearest and least loaded first, and how long to keep them.
[[nodiscard]] std::string encodeEntry(Node &node, const ZoneId &callerZone);

} // namespace apricotarch
