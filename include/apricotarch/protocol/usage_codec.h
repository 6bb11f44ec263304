#pragma once

/**
 * @file
 * Thrift encoding of the messages about usage counts.
 */

#include <optional>
#include <string>

#include "apricotarch/base/error.h"
#include "apricotarch/state/usage_update.h"

namespace apricotarch
{

namespace wire
{
class UsageAck;
class UsageCollectors;
class UsageUpdate;
} // namespace wire

[[nodiscard]] wire::UsageUpdate usageToWire(const UsageUpdate &update);
[[nodiscard]] wire::UsageAck usageToWire(const UsageAck &ack);
[[nodiscard]] wire::UsageCollectors usageToWire(const UsageCollectors &collectors);

/// @return the update, or InvalidField
[[nodiscard]] Result<UsageUpdate> usageFromWire(const wire::UsageUpdate &message, const std::string &peer);
/// @return the acknowledgement, or InvalidField
[[nodiscard]] Result<UsageAck> usageFromWire(const wire::UsageAck &message, const std::string &peer);
/// @return the collectors; nothing if an address cannot be read
[[nodiscard]] std::optional<UsageCollectors> usageFromWire(const wire::UsageCollectors &message);

} // namespace apricotarch
