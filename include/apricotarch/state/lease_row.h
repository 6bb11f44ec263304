#pragma once

/**
 * @file
 * The row of a lease in the platform's table.
 */

#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// Who holds a duty. A row without a holder has been released.
struct LeaseRow
{
    NodeId holder; ///< Empty once released.
    Incarnation incarnation; ///< Of the holder's process.
    FencingToken token; ///< Grows by one with each change of holder.
    RenewalCounter renewals; ///< Grows by one with each renewal.
    AttemptId attempt; ///< The write that made this row.

    bool operator==(const LeaseRow &) const = default;
};

} // namespace apricotarch
