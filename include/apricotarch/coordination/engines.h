#pragma once

/**
 * @file
 * Engines as the cell's duty holder sees them. Tests put fakes in their place.
 */

#include <memory>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/error.h"
#include "apricotarch/state/fleet.h"

namespace apricotarch
{

/// An order as it is sent.
struct EngineOrder
{
    OrderNumber number;
    FencingToken fence;
    EngineTarget target;
};

/// One connection to one engine process. It is never remade: what is sent on it reaches that process or none.
class EngineChannel
{
public:
    EngineChannel() = default;
    EngineChannel(const EngineChannel &) = delete;
    EngineChannel &operator=(const EngineChannel &) = delete;
    virtual ~EngineChannel() = default;

    /// Asks for the engine's load, and with it its incarnation, on this connection.
    [[nodiscard]] virtual asio::awaitable<Result<LoadReport>> load() = 0;

    /**
     * Sends an order on this connection.
     * @return nothing once the engine has taken it; StaleToken where it refused an old fencing token; otherwise an error
     *         whose delivery says whether the order may still arrive
     */
    [[nodiscard]] virtual asio::awaitable<Result<void>> send(EngineOrder order) = 0;
};

/// Makes connections to engines.
class EngineConnector
{
public:
    EngineConnector() = default;
    EngineConnector(const EngineConnector &) = delete;
    EngineConnector &operator=(const EngineConnector &) = delete;
    virtual ~EngineConnector() = default;

    [[nodiscard]] virtual asio::awaitable<Result<std::unique_ptr<EngineChannel>>> connect(ReplicaSpec replica) = 0;
};

} // namespace apricotarch
