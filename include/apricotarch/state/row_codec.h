#pragma once

/**
 * @file
 * JSON encoding of the rows in the platform's table. Decoding an encoded row returns an equal row.
 */

#include <string>
#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "apricotarch/base/error.h"
#include "apricotarch/state/claim_row.h"
#include "apricotarch/state/configuration.h"
#include "apricotarch/state/lease_row.h"
#include "apricotarch/state/order_row.h"

namespace apricotarch
{

// ---- rows ----

[[nodiscard]] std::string encodeLease(const LeaseRow &row);
[[nodiscard]] std::string encodeOrder(const OrderRow &row);
[[nodiscard]] std::string encodeClaim(const ClaimRow &row);
[[nodiscard]] std::string encodeConfigurationRow(const ConfigurationRow &row);

/// @return the row, or MalformedMessage or InvalidField
[[nodiscard]] Result<LeaseRow> decodeLease(std::string_view text);
/// @return the row, or MalformedMessage or InvalidField
[[nodiscard]] Result<OrderRow> decodeOrder(std::string_view text);
/// @return the row, or MalformedMessage or InvalidField
[[nodiscard]] Result<ClaimRow> decodeClaim(std::string_view text);
/// @return the row, or MalformedMessage or InvalidField
[[nodiscard]] Result<ConfigurationRow> decodeConfigurationRow(std::string_view text);

// ---- parts shared with other messages ----

[[nodiscard]] boost::json::object encodeTarget(const EngineTarget &target);
[[nodiscard]] Result<EngineTarget> decodeTarget(const boost::json::value &value, const std::string &step, const std::string &peer);

/// Returns the name of a role on the wire: `mixed`, `prefill` or `decode`.
[[nodiscard]] const char *roleName(EngineRole role) noexcept;

} // namespace apricotarch
