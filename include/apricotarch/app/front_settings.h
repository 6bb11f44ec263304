#pragma once

/**
 * @file
 * Settings of a front node: an entry VM that forwards callers' requests to the platform's backend servers.
 */

#include <chrono>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/coordination/front_peers.h"
#include "apricotarch/coordination/placement.h"
#include "apricotarch/coordination/shared_retry_budget.h"
#include "apricotarch/protocol/faults.h"

namespace apricotarch
{

/// Settings of one front node.
struct FrontSettings
{
    // ---- who and where ----

    NodeId node;
    ZoneId zone;
    Endpoint callerAddress; ///< For callers' requests.
    Endpoint readyAddress; ///< For readiness probes.
    Endpoint directoryAddress; ///< For callers who ask which address to use.
    Endpoint peerAddress; ///< For other front nodes, UDP and TCP.
    Endpoint metricsAddress; ///< For counters and latency summaries.
    Endpoint storeAddress; ///< The platform's store.
    std::vector<std::string> seeds; ///< Addresses of other nodes on any port; only the IP number is used.
    std::string peerKey; ///< Shared by all nodes of a desk.

    // ---- bounds ----

    RetryLimits retries;
    Duration grace = std::chrono::seconds(8); ///< From SIGTERM to SIGKILL.
    std::chrono::milliseconds directoryTtl{1000}; ///< How long callers may keep a directory answer.
    std::size_t memoryMegabytes = 256; ///< Above it the process is killed.
    std::size_t logLinesPerSecond = 100; ///< More are left out and counted.

    // ---- engines ----

    EngineSpeed engineSpeed;
    double prefillShare = 0.67; ///< Share of engines that read prompts only, before any load is known.
    double streamsPerEngine = 24; ///< Streams at one engine that still leave pauses short.
};

/**
 * Reads a front node's settings.
 * @param text the file's text
 * @return the settings, or every fault found
 */
[[nodiscard]] tl::expected<FrontSettings, Faults> parseFrontSettings(const std::string &text);

} // namespace apricotarch
