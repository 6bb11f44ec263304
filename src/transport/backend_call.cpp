#include "apricotarch/transport/backend_call.h"

#include <utility>

#include <boost/asio/this_coro.hpp>

namespace apricotarch
{

asio::awaitable<BackendCallAnswer> callBackend(BackendConnectionPool &pool, Clock &clock, BackendCall call)
{
    const auto executor = co_await asio::this_coro::executor;
    AsyncEvent changeEvent(executor);
    const BackendConnection::Pointer channel = pool.acquire(executor, call.replica, call.endpoint, call.requireRecentlyUsed, clock.now());
    const TimePoint deadline = clock.now() + call.timeout;
    // Informational (1xx) answers precede the final one.
    const auto isFinalAnswer = [](const AnswerHead &head) {
        return head.status >= 200;
    };
    channel->begin(std::move(call.message), false, isFinalAnswer, call.timeout, changeEvent);
    while (channel->phase() != ExchangePhase::Done && channel->phase() != ExchangePhase::Failed && clock.now() < deadline) {
        co_await changeEvent.waitUntil(deadline);
    }
    BackendCallAnswer answer;
    if (channel->phase() != ExchangePhase::Done) {
        channel->close();
        co_return answer;
    }
    answer.status = channel->head().status;
    answer.body = std::move(channel->body());
    if (channel->endExchange()) {
        pool.release(channel, clock.now());
    }
    co_return answer;
}

} // namespace apricotarch
