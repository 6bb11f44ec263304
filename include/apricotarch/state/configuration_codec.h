#pragma once

/**
 * @file
 * JSON encoding of a complete configuration, as it is kept in the object store and sent between nodes.
 */

#include <string>
#include <string_view>

#include "apricotarch/base/error.h"
#include "apricotarch/state/configuration.h"

namespace apricotarch
{

/// Encodes a configuration. Equal configurations result in equal texts.
[[nodiscard]] std::string encodeConfiguration(const Configuration &configuration);

/**
 * Decodes a configuration.
 * @param text JSON text
 * @param peer source of the text, for error messages
 * @return the configuration, or MalformedMessage or InvalidField
 */
[[nodiscard]] Result<Configuration> decodeConfiguration(std::string_view text, const std::string &peer);

/// Returns the SHA-256 digest of a configuration body, which is its name in the object store.
[[nodiscard]] Digest configurationDigest(std::string_view text);

} // namespace apricotarch
