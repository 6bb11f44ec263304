#pragma once

/**
 * @file
 * Reads values that several kinds of settings have in common.
 */

#include <string>

#include "apricotarch/base/endpoint.h"
#include "apricotarch/protocol/yaml_map.h"

namespace apricotarch
{

/// Reads a required address. Records an error if it is missing or invalid.
[[nodiscard]] Endpoint readEndpoint(YamlMap &map, const std::string &key);

/// Reads a required secret. Records an error if it is missing or shorter than 16 characters.
[[nodiscard]] std::string readSecret(YamlMap &map, const std::string &key);

} // namespace apricotarch
