#include "apricotarch/transport/backend_call.h"

#include <utility>

#include <boost/asio/this_coro.hpp>

namespace apricotarch
{

asio::awaitable<BackendCallAnswer> callBackend(BackendConnectionPool &pool, Clock &clock, BackendCall call)
{
    const auto executor = co_await asio::this_coro::executor;
    AsyncEvent changeEvent(executor);
    const BackendConnection::Pointer connection =
        pool.acquire(executor, call.replica, call.endpoint, call.usesAnswer ? ConnectionReuse::None : ConnectionReuse::Any, clock.now());
    const TimePoint deadline = clock.now() + call.timeout;
    // Informational (1xx) answers precede the final one.
    const auto isFinalAnswer = [](const AnswerHead &head) {
        return head.status >= 200;
    };
    connection->startExchange(std::move(call.message), false, isFinalAnswer, call.timeout, changeEvent);
    while (connection->phase() != ExchangePhase::Complete && connection->phase() != ExchangePhase::Failed && clock.now() < deadline) {
        co_await changeEvent.waitUntil(deadline);
    }
    BackendCallAnswer answer;
    if (connection->phase() != ExchangePhase::Complete) {
        connection->close();
        co_return answer;
    }
    answer.status = connection->head().status;
    answer.body = std::move(connection->body());
    if (connection->endExchange()) {
        pool.release(connection, clock.now());
    }
    co_return answer;
}

} // namespace apricotarch
