#pragma once

/**
 * @file
 * The identifier of a customer.
 */

#include "apricotarch/base/strong_type.h"

namespace apricotarch
{

using CustomerId = StrongId<struct CustomerIdTag>; ///< A customer of the installation, whose callers share its keys.

} // namespace apricotarch
