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
#include "apricotarch/protocol/validation_error.h"

namespace apricotarch
{

/// Identity and address of another node listed in the settings.
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
    std::string cell; ///< Name of the cell; the nodes of a cell compete for its lease.
    Endpoint callerAddress; ///< Address for callers and operators.
    Endpoint peerAddress; ///< Address for other nodes, UDP and TCP.
    Endpoint platformAddress; ///< Address of the platform's services.
    std::vector<PeerSettings> peers;
    std::string peerKey; ///< Key that authenticates messages between nodes.
    std::string operatorToken; ///< Token that authorizes operators' requests.
    std::size_t threads = 4; ///< Number of worker threads.
    std::size_t maxRequestsInFlight = 2048; ///< Limit of concurrent requests.
    std::size_t maxConnections = 4096; ///< Limit of callers' connections.
    std::size_t maxBodyBytes = 4 * 1024 * 1024; ///< Largest request body.
    Duration shutdownTimeout = std::chrono::seconds(30); ///< Longest wait for running requests at shutdown.
    Duration entryLifetime = std::chrono::seconds(10); ///< How long callers may cache a response to `GET /v1/entry`.
    std::string routing; ///< Name of the routing policy.
};

/**
 * Parses the settings of a node.
 * @param text the contents of the settings file
 * @return the settings, or all errors found
 */
[[nodiscard]] tl::expected<Settings, ValidationErrors> parseSettings(const std::string &text);

} // namespace apricotarch
