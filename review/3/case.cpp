/**
 * @file
 * A replica restarts under its id and is used again before its new entry has reached the nodes. Later it is full for some seconds and says
 * so with 503 and Retry-After. The nodes must then leave it alone.
 */

#include "../common/deployment.h"

using namespace review;

namespace
{

constexpr milliseconds DownTime{1500};
constexpr milliseconds RegistrationDelay{600};
constexpr milliseconds FullTime{8000};
constexpr int RetryAfterSeconds = 4;
constexpr milliseconds RequestInterval{150};

/// From the rule: requests count from half a second after the answer; more than two break it.
constexpr milliseconds Grace{500};
constexpr int AllowedRequests = 2;

} // namespace

int main(int count, char **arguments)
{
    std::string file;
    std::string folder;
    if (!readArguments(count, arguments, file, folder)) {
        return NotRun;
    }
    Record record(file);
    Store store("127.0.0.2");
    if (!store.start()) {
        return NotRun;
    }
    store.put("op", "config", makeConfiguration(3, {makeRoute("/visits/", "safe", "visit-desk", 2)}, {"visit-desk"}));

    std::mutex mutex;
    Clock::time_point fullFrom = Clock::time_point::max();
    Clock::time_point fullUntil = Clock::time_point::max();
    std::vector<Clock::time_point> refused; // Times of the answers with Retry-After.
    const Replica::Handler handler = [&](const Message &) {
        const std::lock_guard lock(mutex);
        const auto now = Clock::now();
        if (now < fullFrom || now > fullUntil) {
            return Replica::Outcome{200, {}, "schedule", false};
        }
        refused.push_back(now);
        return Replica::Outcome{503, {{"X-Not-Executed", "1"}, {"Retry-After", std::to_string(RetryAfterSeconds)}}, "", false};
    };
    Replica replica(store, record, "desk-0", "visit-desk", "127.0.0.21", handler);
    replica.keepIdAtRestart(RegistrationDelay);
    if (!replica.start()) {
        return NotRun;
    }
    const auto fronts = makeFronts(1, store.address(), folder);
    if (!startFronts(fronts, milliseconds(15'000))) {
        record.report("the front node is not ready");
        return NotRun;
    }
    std::this_thread::sleep_for(milliseconds(2000));

    std::atomic<bool> stopping = false;
    std::atomic<int> served = 0;
    std::thread caller([&, number = 0]() mutable {
        while (!stopping) {
            const std::string id = "request-" + std::to_string(++number);
            const auto answer = exchange(fronts.front()->callerAddress(),
                encodeRequest("GET", "/visits/" + std::to_string(number), id, milliseconds(1500), ""),
                milliseconds(1500));
            served += answer && answer->status() == 200 ? 1 : 0;
            record.add("answer request=" + id + " status=" + (answer ? answer->secondWord : "none"));
            std::this_thread::sleep_for(RequestInterval);
        }
    });
    std::this_thread::sleep_for(milliseconds(2000));
    if (troubleWanted()) {
        replica.crash(DownTime);
    }
    // The replica is back and registered for seconds, and the node is in touch with it, when it becomes full.
    std::this_thread::sleep_for(DownTime + RegistrationDelay + milliseconds(4000));
    const int servedBefore = served;
    {
        const std::lock_guard lock(mutex);
        fullFrom = Clock::now();
        fullUntil = fullFrom + FullTime;
    }
    record.report("the replica is full and answers 503 with Retry-After");
    std::this_thread::sleep_for(FullTime + milliseconds(1000));
    stopping = true;
    caller.join();

    const std::lock_guard lock(mutex);
    int most = 0;
    for (const auto &answeredAt : refused) {
        const auto late = std::count_if(refused.begin(), refused.end(), [&](const auto &at) {
            return at > answeredAt + Grace && at < answeredAt + std::chrono::seconds(RetryAfterSeconds);
        });
        most = std::max(most, static_cast<int>(late));
    }
    record.report("refused=" + std::to_string(refused.size()) + " most_within_the_time_of_one_retry_after=" + std::to_string(most)
        + " allowed=" + std::to_string(AllowedRequests) + " served_before=" + std::to_string(servedBefore));
    if (servedBefore < 10 || refused.empty()) {
        return NotRun;
    }
    return most > AllowedRequests ? Broken : Held;
}
