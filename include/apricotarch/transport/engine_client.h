#pragma once

/**
 * @file
 * HTTP clients of backend servers: streams of and orders to engines, and calls of application services.
 */

#include "apricotarch/coordination/application_call_executor.h"
#include "apricotarch/coordination/engine_streams.h"
#include "apricotarch/coordination/engines.h"
#include "apricotarch/transport/http_client.h"

namespace apricotarch
{

/// Timeouts of calls to backend servers.
struct BackendTimeouts
{
    Duration connect = std::chrono::milliseconds(500);
    Duration control = std::chrono::seconds(1); ///< For load queries, orders and cancellations.
};

/// Opens, resumes and cancels streams of engines over HTTP.
class HttpEngineStreams final : public EngineStreamClient
{
public:
    HttpEngineStreams(HttpClient &client, BackendTimeouts timeouts);

    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineStream>>> open(
        ReplicaSpec replica, EngineRequest request, Duration timeout) override;
    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineStream>>> resume(
        ReplicaSpec replica, std::string stream, std::int64_t offset, Duration timeout) override;
    [[nodiscard]] asio::awaitable<void> cancel(ReplicaSpec replica, std::string stream, bool onlyIfDetached) override;
    [[nodiscard]] asio::awaitable<Result<LoadReport>> load(ReplicaSpec replica) override;

private:
    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineStream>>> start(ReplicaSpec replica, HttpRequest request, Duration timeout);

    HttpClient &m_client;
    BackendTimeouts m_timeouts;
};

/// Connects to engines to send them orders. Each EngineConnection uses a dedicated HTTP connection.
class HttpEngineConnector final : public EngineConnector
{
public:
    explicit HttpEngineConnector(BackendTimeouts timeouts);

    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineConnection>>> connect(ReplicaSpec replica) override;

private:
    BackendTimeouts m_timeouts;
};

/// Calls application services. Each call uses a new connection.
class HttpApplicationClient final : public ApplicationClient
{
public:
    explicit HttpApplicationClient(BackendTimeouts timeouts);

    [[nodiscard]] asio::awaitable<Result<CallResult>> call(ReplicaSpec replica, ReplicaCall call, Duration timeout) override;

private:
    BackendTimeouts m_timeouts;
};

} // namespace apricotarch
