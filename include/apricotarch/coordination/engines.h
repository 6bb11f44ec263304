#pragma once

/**
 * @file
 * Interface through which the holder of the cell's lease sends orders to engines. Tests substitute fake engines.
 */

#include <memory>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/error.h"
#include "apricotarch/state/replica_table.h"

namespace apricotarch
{

/// An order to an engine.
struct EngineOrder
{
    OrderNumber number;
    FencingToken fencingToken; ///< Fencing token of the sender's lease.
    EngineTarget target; ///< State that the engine is ordered to reach.
};

/// A connection to one engine process. It is never re-established, so an order on it reaches this process or none.
class EngineConnection
{
public:
    EngineConnection() = default;
    EngineConnection(const EngineConnection &) = delete;
    EngineConnection &operator=(const EngineConnection &) = delete;
    virtual ~EngineConnection() = default;

    /// Requests the engine's load report, which contains its incarnation, on this connection.
    [[nodiscard]] virtual asio::awaitable<Result<LoadReport>> load() = 0;

    /**
     * Sends an order on this connection.
     * @return nothing once the engine has accepted the order; StaleToken if it refused an old fencing token; otherwise an error
     *         whose delivery states whether the order may still arrive
     */
    [[nodiscard]] virtual asio::awaitable<Result<void>> send(EngineOrder order) = 0;
};

/// Interface for connections to engines.
class EngineConnector
{
public:
    EngineConnector() = default;
    EngineConnector(const EngineConnector &) = delete;
    EngineConnector &operator=(const EngineConnector &) = delete;
    virtual ~EngineConnector() = default;

    [[nodiscard]] virtual asio::awaitable<Result<std::unique_ptr<EngineConnection>>> connect(ReplicaSpec replica) = 0;
};

} // namespace apricotarch
