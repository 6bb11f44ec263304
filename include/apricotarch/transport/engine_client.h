#pragma once

/**
 * @file
 * Backend servers over HTTP: answers and orders of engines, calls of application services.
 */

#include "apricotarch/coordination/application_call.h"
#include "apricotarch/coordination/engine_streams.h"
#include "apricotarch/coordination/engines.h"
#include "apricotarch/transport/http_client.h"

namespace apricotarch
{

/// Times of calls to backend servers.
struct BackendTimes
{
    Duration connect = std::chrono::milliseconds(500);
    Duration control = std::chrono::seconds(1); ///< For load, orders and cancels.
};

/// Streams of engines.
class HttpEngineStreams final : public EngineStreams
{
public:
    HttpEngineStreams(HttpClient &client, BackendTimes times);

    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineStream>>> open(
        ReplicaSpec replica, EngineRequest request, Duration timeout) override;
    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineStream>>> resume(
        ReplicaSpec replica, std::string stream, std::int64_t offset, Duration timeout) override;
    [[nodiscard]] asio::awaitable<void> cancel(ReplicaSpec replica, std::string stream, bool onlyIfDetached) override;
    [[nodiscard]] asio::awaitable<Result<LoadReport>> load(ReplicaSpec replica) override;

private:
    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineStream>>> start(ReplicaSpec replica, HttpRequest request, Duration timeout);

    HttpClient &m_client;
    BackendTimes m_times;
};

/// Order channels to engines; every channel is a connection of its own.
class HttpEngineConnector final : public EngineConnector
{
public:
    explicit HttpEngineConnector(BackendTimes times);

    [[nodiscard]] asio::awaitable<Result<std::unique_ptr<EngineChannel>>> connect(ReplicaSpec replica) override;

private:
    BackendTimes m_times;
};

/// Calls of application services; every call has a connection of its own.
class HttpReplicaCaller final : public ReplicaCaller
{
public:
    explicit HttpReplicaCaller(BackendTimes times);

    [[nodiscard]] asio::awaitable<Result<CallResult>> call(ReplicaSpec replica, ReplicaCall call, Duration timeout) override;

private:
    BackendTimes m_times;
};

} // namespace apricotarch
