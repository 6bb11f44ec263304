#pragma once

/**
 * @file
 * The row of a lease in the platform's table.
 */

#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// The holder of a lease. A row without a holder belongs to a released lease.
struct LeaseRow
{
    NodeId holder; ///< Empty once the lease is released.
    Incarnation incarnation; ///< Incarnation of the holder's process.
    FencingToken token; ///< Incremented with each change of holder.
    RenewalCounter renewals; ///< Incremented with each write: takeover, renewal or release.
    WriteAttemptId attempt; ///< Identifies the write that produced this row.

    bool operator==(const LeaseRow &) const = default;
};

} // namespace apricotarch
