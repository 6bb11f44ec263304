#pragma once

/**
 * @file
 * Values that more than one kind of settings has.
 */

#include <string>

#include "apricotarch/base/endpoint.h"
#include "apricotarch/protocol/yaml_map.h"

namespace apricotarch
{

/// A required address; a faulty one is noted.
[[nodiscard]] Endpoint readEndpoint(YamlMap &map, const std::string &key);

/// A required secret of a least length; a shorter one is noted.
[[nodiscard]] std::string readSecret(YamlMap &map, const std::string &key);

} // namespace apricotarch
