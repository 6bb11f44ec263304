#pragma once

/**
 * @file
 * Rows of the store that keep where streams began, for nodes that start again.
 */

#include <set>
#include <string>
#include <vector>

#include "apricotarch/base/error.h"
#include "apricotarch/state/stream_version_table.h"

namespace apricotarch
{

/// Encodes the streams of one node.
[[nodiscard]] std::string encodeStreamRecords(const std::vector<StreamRecord> &records);

/// Decodes the streams of one node. @return the streams, MalformedMessage or InvalidField
[[nodiscard]] Result<std::vector<StreamRecord>> decodeStreamRecords(const std::string &text);

/// Encodes the versions of a service that may have begun streams that can still be resumed.
[[nodiscard]] std::string encodeVersionSet(const std::set<SoftwareVersion> &versions);

/// Decodes the versions of a service. @return the versions, MalformedMessage or InvalidField
[[nodiscard]] Result<std::set<SoftwareVersion>> decodeVersionSet(const std::string &text);

} // namespace apricotarch
