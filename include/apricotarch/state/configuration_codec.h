#pragma once

/**
 * @file
 * JSON form of a whole configuration, as kept in the object store and passed between nodes.
 */

#include <string>
#include <string_view>

#include "apricotarch/base/error.h"
#include "apricotarch/state/configuration.h"

namespace apricotarch
{

/// Encodes a configuration; equal configurations give equal texts.
[[nodiscard]] std::string encodeConfiguration(const Configuration &configuration);

/// Decodes a configuration. @param peer where the text came from
[[nodiscard]] Result<Configuration> decodeConfiguration(std::string_view text, const std::string &peer);

/// Name of a configuration body: a hash of its text.
[[nodiscard]] Digest digestOf(std::string_view text);

} // namespace apricotarch
