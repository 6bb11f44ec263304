#pragma once

/**
 * @file
 * JSON encoding of an engine's load report and of orders to an engine.
 */

#include <string>
#include <string_view>

#include "apricotarch/base/error.h"
#include "apricotarch/coordination/engines.h"
#include "apricotarch/state/replica_table.h"

namespace apricotarch
{

[[nodiscard]] std::string encodeLoad(const LoadReport &report);

/// @return the report, or MalformedMessage or InvalidField
[[nodiscard]] Result<LoadReport> decodeLoad(std::string_view text, const std::string &peer);

[[nodiscard]] std::string encodeEngineOrder(const EngineOrder &order);

/// @return the order, or MalformedMessage or InvalidField
[[nodiscard]] Result<EngineOrder> decodeEngineOrder(std::string_view text, const std::string &peer);

} // namespace apricotarch
