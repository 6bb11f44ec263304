#pragma once

/**
 * @file
 * Thrift encoding of the messages about the origins of streams.
 */

#include <string>

#include "apricotarch/base/error.h"
#include "apricotarch/state/front_heartbeat.h"

namespace apricotarch
{

namespace wire
{
class StreamNotice;
class StreamQuery;
class StreamReport;
} // namespace wire

[[nodiscard]] wire::StreamNotice streamToWire(const StreamNotice &notice);
[[nodiscard]] wire::StreamQuery streamToWire(const StreamQuery &query);
[[nodiscard]] wire::StreamReport streamToWire(const StreamReport &report);

[[nodiscard]] StreamNotice streamFromWire(const wire::StreamNotice &message);
/// @return the query, or InvalidField
[[nodiscard]] Result<StreamQuery> streamFromWire(const wire::StreamQuery &message, const std::string &peer);
/// @return the report, or InvalidField
[[nodiscard]] Result<StreamReport> streamFromWire(const wire::StreamReport &message, const std::string &peer);

} // namespace apricotarch
