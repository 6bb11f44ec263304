#pragma once

/**
 * @file
 * Chooses the peer from which a node reads the rows that it lacks. After a change of the configuration nearly all nodes lack the same
 * rows at the same time, so they have to spread over all peers that already have them.
 */

#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "apricotarch/base/endpoint.h"

namespace apricotarch
{

/// A peer that has newer rows than this node.
struct SnapshotSource
{
    Endpoint address;
    bool inOwnZone = false;
};

/**
 * Chooses a source at random, from this node's availability zone if it has one.
 * @param sources peers with newer rows
 * @param isAvoided whether a peer has recently failed or was busy; it is not chosen
 * @param random source of randomness
 * @return the address of the source, or nothing if all are avoided
 */
[[nodiscard]] std::optional<Endpoint> selectSnapshotSource(
    const std::vector<SnapshotSource> &sources, const std::function<bool(const Endpoint &)> &isAvoided, std::mt19937_64 &random);

} // namespace apricotarch
