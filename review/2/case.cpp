/**
 * @file
 * The open connections to the store go silent, and a route is moved to another service half a second later. Requests that are sent later
 * than configMs after the acknowledgement, and later than contactMs after the connections went silent, must reach the new service.
 */

#include "../deployment.h"

using namespace review;

namespace
{

constexpr std::size_t FrontCount = 3;
constexpr milliseconds RequestInterval{50};
constexpr milliseconds ObservedTime{9000};

/// Added to the bounds, for the time between the events and their recording.
constexpr milliseconds Slack{100};

boost::json::array makeRoutes(const std::string &service, int timeoutMs)
{
    boost::json::object route = makeRoute("/visits/", "safe", service, 2);
    route["timeoutMs"] = timeoutMs;
    return {route};
}

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
    const std::vector<std::string> services = {"visits-old", "visits-new"};
    store.put("op", "config", makeConfiguration(3, makeRoutes("visits-old", 800), services));
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int index = 0; index < 4; ++index) {
        const std::string name = (index < 2 ? "old-" : "new-") + std::to_string(index);
        const Replica::Handler answer = [name](const Message &) {
            return Replica::Outcome{200, {{"X-Served-By", name}}, "schedule", false};
        };
        replicas.push_back(
            std::make_unique<Replica>(store, record, name, services[index < 2 ? 0 : 1], "127.0.0." + std::to_string(21 + index), answer));
        if (!replicas.back()->start()) {
            return NotRun;
        }
    }
    const auto fronts = makeFronts(FrontCount, store.address(), folder);
    if (!startFronts(fronts, milliseconds(15'000))) {
        record.report("the front nodes are not ready");
        return NotRun;
    }
    std::this_thread::sleep_for(milliseconds(2000));

    // A configuration that changes a time-out only. The operator's next one follows soon.
    store.put("op", "config", makeConfiguration(7, makeRoutes("visits-old", 900), services));
    record.report("configuration 7 acknowledged: another time-out");
    std::this_thread::sleep_for(milliseconds(200));
    const auto silentAt = Clock::now();
    if (troubleWanted()) {
        store.silenceOpenConnections();
        record.report("the open connections to the store are silent; new ones work");
    }
    std::this_thread::sleep_for(milliseconds(500));
    const auto acknowledgedAt = store.put("op", "config", makeConfiguration(9, makeRoutes("visits-new", 900), services));
    record.report("configuration 9 acknowledged: the route is moved to visits-new");

    const auto boundFrom = std::max(acknowledgedAt + ConfigTime, silentAt + ContactTime) + Slack;
    std::atomic<int> violations = 0;
    std::atomic<int> judged = 0;
    std::atomic<int> unanswered = 0;
    std::vector<std::thread> callers;
    for (const auto &front : fronts) {
        callers.emplace_back([&, number = 0]() mutable {
            while (Clock::now() < silentAt + ObservedTime) {
                const std::string id = front->name() + "-" + std::to_string(++number);
                const auto sentAt = Clock::now();
                const auto answer =
                    exchange(front->callerAddress(), encodeRequest("GET", "/visits/week", id, milliseconds(1500), ""), milliseconds(1500));
                const std::string servedBy = answer ? answer->header("X-Served-By") : "";
                const bool isJudged = sentAt > boundFrom;
                const bool isViolation = isJudged && servedBy.starts_with("old-");
                judged += isJudged ? 1 : 0;
                violations += isViolation ? 1 : 0;
                unanswered += servedBy.empty() ? 1 : 0;
                const auto age = std::chrono::duration_cast<milliseconds>(sentAt - acknowledgedAt).count();
                record.add("answer request=" + id + " front=" + front->name() + " sent_ms_after_ack=" + std::to_string(age)
                    + " status=" + (answer ? answer->secondWord : "none") + " served_by=" + servedBy + (isViolation ? " TOO_LATE" : ""));
                std::this_thread::sleep_for(RequestInterval);
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    record.report("judged=" + std::to_string(judged) + " run_by_the_old_service=" + std::to_string(violations)
        + " without_success=" + std::to_string(unanswered));
    if (judged == 0 || unanswered > judged / 2) {
        return NotRun;
    }
    return violations > 0 ? Broken : Held;
}
