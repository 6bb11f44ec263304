#pragma once

/**
 * @file
 * Use of the request rates that backend servers take from all nodes together: the node's shares, and the reports between nodes.
 */

#include <vector>

#include "apricotarch/app/front_state.h"

namespace apricotarch
{

/// Updates a server's share after its statement has changed. @param source where the change was learned, for the log: answer or peer
void applyRateStatement(FrontState &state, Backend &server, std::string_view source, const RequestId &request = RequestId());

/// Updates the shares of all servers with a limit, which change with the nodes. Linear in the number of servers.
void updateRateShares(FrontState &state);

/// Takes a request to a server from its share. @return whether it may be sent; always true for a server without a limit
bool takeFromRateShare(FrontState &state, Backend &server);

/// Returns the limits that are in force or have ended recently for the next heartbeat, those that were stated last first.
[[nodiscard]] std::vector<ReportedRequestRate> reportRequestRates(const BackendTable &backends, TimePoint now);

/// Merges the reports of another node. @return whether a limit has changed
bool mergeRequestRates(FrontState &state, const std::vector<ReportedRequestRate> &reports);

} // namespace apricotarch
