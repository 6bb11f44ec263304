#pragma once

/**
 * @file
 * Settings of a front node: an entry VM that forwards callers' requests to the platform's backend servers.
 */

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/coordination/peer_table.h"
#include "apricotarch/coordination/placement.h"
#include "apricotarch/coordination/shared_retry_budget.h"
#include "apricotarch/protocol/validation_error.h"

namespace apricotarch
{

/// Names of duties in the settings.
namespace duty_name
{
inline constexpr const char *UsageReport = "usage_report"; ///< Reports of each customer's requests.
inline constexpr const char *Autoscale = "autoscale"; ///< Orders of replicas.
} // namespace duty_name

/// Settings of one front node.
struct FrontSettings
{
    // ---- identity and addresses ----

    NodeId node;
    ZoneId zone;
    Endpoint callerAddress; ///< Address for callers' requests.
    Endpoint readyAddress; ///< Address for readiness probes.
    Endpoint directoryAddress; ///< Address at which callers look up which nodes to use.
    Endpoint peerAddress; ///< Address for other front nodes, UDP and TCP.
    Endpoint metricsAddress; ///< Address for counters and latency summaries.
    Endpoint storeAddress; ///< Address of the platform's store.
    std::vector<std::string> seeds; ///< Addresses of other nodes; only the IP address is used, the port is ignored.
    std::string peerKey; ///< Key shared by all nodes of an installation.

    // ---- limits ----

    RetryLimits retryLimits;
    Duration gracePeriod = std::chrono::seconds(8); ///< Time from SIGTERM to SIGKILL.
    std::chrono::milliseconds directoryTtl{1000}; ///< How long callers may cache a directory answer.
    std::size_t memoryLimitMegabytes = 256; ///< Memory limit, above which the process is killed.

    /// Returns how many bytes may be buffered of answers, of callers' input and output, and of messages of the store and of other nodes.
    [[nodiscard]] std::size_t bufferLimitBytes() const noexcept;
    /// Returns how many bytes request bodies may take.
    [[nodiscard]] std::size_t bodyLimitBytes() const noexcept;

    std::size_t maxFullMeshNodes = DefaultMaxFullMeshNodes; ///< With more nodes, not every node sends heartbeats to every other.
    /// With more nodes, the loads of engines are asked of stewards for each prompt, since those in heartbeats are too old.
    std::size_t maxBroadcastLoadNodes = DefaultMaxFullMeshNodes;
    std::size_t logLinesPerSecond = 100; ///< Lines beyond this rate are dropped and counted.

    // ---- engines ----

    EngineCostModel engineCosts;
    double prefillShare = 0.67; ///< Share of engines at the prefill stage before any load is known.
    double maxStreamsPerEngine = 24; ///< Number of streams per engine up to which the gaps between tokens stay short.

    // ---- duties ----

    std::optional<Endpoint> dutyAddress; ///< Address for usage reports and orders of replicas; without it there are none.
    std::vector<std::string> duties; ///< Names of the duties of the installation, see duty_name.
    Duration usageWindow = std::chrono::seconds(5); ///< Length of the windows of usage reports.
    Duration usageDueTime = std::chrono::seconds(10); ///< Time after the end of a window at which its report is due.
    Duration leaseReturnInterval = std::chrono::seconds(3); ///< Time within which a node does not become holder again, see DutyLease.

    /// Whether the nodes of the installation perform a duty. @param duty a name of duty_name
    [[nodiscard]] bool hasDuty(std::string_view duty) const;
};

/**
 * Parses a front node's settings.
 * @param text the contents of the settings file
 * @return the settings, or all errors found
 */
[[nodiscard]] tl::expected<FrontSettings, ValidationErrors> parseFrontSettings(const std::string &text);

} // namespace apricotarch
