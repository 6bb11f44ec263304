#pragma once

/**
 * @file
 * Settings of one node, from a YAML file.
 */

#include <cstddef>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/protocol/faults.h"

namespace apricotarch
{

/// Another node, as the settings name it.
struct PeerSettings
{
    NodeId node;
    Endpoint address;
};

/// Settings of one node.
struct Settings
{
    NodeId node;
    ZoneId zone;
    std::string cell; ///< Nodes of one cell share its duty.
    Endpoint callerAddress; ///< For callers and operators.
    Endpoint peerAddress; ///< For other nodes, UDP and TCP.
    Endpoint platform;
    std::vector<PeerSettings> peers;
    std::string peerKey;
    std::string operatorToken;
    std::size_t threads = 4;
    std::size_t inFlight = 2048; ///< Requests at a time.
    std::size_t connections = 4096;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    Duration shutdownBound = std::chrono::seconds(30); ///< Longest wait for standing work at shutdown.
    Duration entryKeepsFor = std::chrono::seconds(10); ///< How long callers keep an entry answer.
    std::string routing; ///< Name of the routing policy.
};

/**
 * Reads settings.
 * @param text the file's text
 * @return the settings, or every fault found
 */
[[nodiscard]] tl::expected<Settings, Faults> parseSettings(const std::string &text);

} // namespace apricotarch
