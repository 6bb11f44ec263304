#include "apricotarch/transport/backend_call.h"

#include <utility>

#include <boost/asio/this_coro.hpp>

namespace apricotarch
{

asio::awaitable<BackendCallAnswer> callBackend(BackendPool &pool, Clock &clock, BackendCall call)
{
    const auto executor = co_await asio::this_coro::executor;
    Wakeup wakeup(executor);
    const BackendChannel::Pointer channel = pool.acquire(executor, call.replica, call.endpoint, call.freshest, clock.now());
    const TimePoint until = clock.now() + call.timeout;
    const auto anyAnswer = [](const AnswerHead &head) {
        return head.status >= 200;
    };
    channel->begin(std::move(call.message), false, anyAnswer, call.timeout, wakeup);
    while (channel->phase() != ChannelPhase::Done && channel->phase() != ChannelPhase::Failed && clock.now() < until) {
        co_await wakeup.waitUntil(until);
    }
    BackendCallAnswer answer;
    if (channel->phase() != ChannelPhase::Done) {
        channel->close();
        co_return answer;
    }
    answer.status = channel->head().status;
    answer.body = std::move(channel->body());
    if (channel->detach()) {
        pool.release(channel, clock.now());
    }
    co_return answer;
}

} // namespace apricotarch
