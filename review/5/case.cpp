/**
 * @file
 * A part of prompts crashes each replica that begins to write an answer on it: the replica sends the first event and ends. Requests with
 * that part, no two alike, come at all nodes. After the fifth crash and contactMs, three more of them may reach replicas.
 */

#include "../deployment.h"

using namespace review;

namespace
{

constexpr std::size_t FrontCount = 3;
constexpr std::size_t ReplicaCount = 6;
constexpr milliseconds ObservedTime{30'000};
constexpr milliseconds RepeatInterval{1000};
constexpr milliseconds SoundInterval{100};
constexpr std::size_t CrashesBeforeBound = 5;
constexpr std::size_t AllowedRequests = 3;
constexpr milliseconds TimeToFirstEvent{40};

constexpr const char *HarmfulPart = "bad0bad0";
constexpr const char *SharedPart = "5c1e07a2";

/// A prompt of three parts: one that all prompts share, one of a group of prompts, and one of its own.
std::string encodePrompt(const std::string &groupPart, int number)
{
    const std::string id = groupPart + '-' + std::to_string(number);
    const std::string body = "prompt " + id;
    char ownPart[16];
    std::snprintf(ownPart, sizeof(ownPart), "%x", 0x10000 + number + (groupPart == HarmfulPart ? 0x8000 : 0));
    return "POST /plans/furrow HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: 4000\r\nX-Model: m\r\nX-Token-Counts: 1460,80\r\nX-Prompt-Prefix: " + SharedPart + ":800," + groupPart
        + ":410," + ownPart + ":250\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
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
    boost::json::object route = makeRoute("/plans/", "streaming", "dressing-desk", 1);
    route["timeoutMs"] = 4000;
    route["targetLatencyMs"] = 1000;
    route["targetGapMs"] = 200;
    route["resumable"] = false;
    route["sticky"] = true;
    store.put("op", "config", makeConfiguration(3, {route}, {"dressing-desk"}));

    const bool crashes = troubleWanted();
    std::mutex mutex;
    std::vector<Clock::time_point> arrivals; // Of requests with the harmful part, at all replicas.
    const Replica::Handler handler = [&](const Message &request) {
        Replica::Outcome outcome{200, {}, "", false};
        outcome.events = {"id: 1\ndata: turn\n\n", "id: 2\ndata: the stone\n\n"};
        outcome.pause = TimeToFirstEvent;
        if (request.header("X-Prompt-Prefix").find(HarmfulPart) != std::string::npos) {
            const std::lock_guard lock(mutex);
            arrivals.push_back(Clock::now());
            outcome.crashes = crashes;
        }
        return outcome;
    };
    std::vector<std::unique_ptr<Replica>> replicas;
    for (std::size_t index = 0; index < ReplicaCount; ++index) {
        replicas.push_back(std::make_unique<Replica>(
            store, record, "desk-" + std::to_string(index), "dressing-desk", "127.0.0." + std::to_string(21 + index), handler));
        if (!replicas.back()->start()) {
            return NotRun;
        }
    }
    const auto fronts = makeFronts(FrontCount, store.address(), folder);
    if (!startFronts(fronts, milliseconds(15'000))) {
        record.report("the front nodes are not ready");
        return NotRun;
    }
    std::this_thread::sleep_for(milliseconds(3000));

    const auto end = Clock::now() + ObservedTime;
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    for (const auto &front : fronts) {
        callers.emplace_back([&, number = static_cast<int>(callers.size()) * 2000]() mutable {
            while (Clock::now() < end) {
                const std::string groupPart = "90d" + std::to_string(number % 10);
                const auto answer = exchange(front->callerAddress(), encodePrompt(groupPart, ++number), milliseconds(4000));
                served += answer && answer->status() == 200 && answer->complete ? 1 : 0;
                std::this_thread::sleep_for(SoundInterval);
            }
        });
    }
    for (int number = 1; Clock::now() < end; ++number) {
        const auto &front = fronts[static_cast<std::size_t>(number) % fronts.size()];
        const auto answer = exchange(front->callerAddress(), encodePrompt(HarmfulPart, number), milliseconds(4000));
        record.add("answer request=" + std::string(HarmfulPart) + '-' + std::to_string(number) + " front=" + front->name()
            + " status=" + (answer ? answer->secondWord : "none") + " complete=" + (answer && answer->complete ? "yes" : "no"));
        std::this_thread::sleep_for(RepeatInterval);
    }
    for (std::thread &caller : callers) {
        caller.join();
    }

    const std::lock_guard lock(mutex);
    std::size_t late = 0;
    if (crashes && arrivals.size() >= CrashesBeforeBound) {
        const auto boundFrom = arrivals[CrashesBeforeBound - 1] + ContactTime;
        late = static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&](const auto &at) {
            return at > boundFrom;
        }));
    }
    record.report("arrivals=" + std::to_string(arrivals.size()) + " later_than_contact_time_after_fifth_crash=" + std::to_string(late)
        + " allowed=" + std::to_string(AllowedRequests) + " sound_served=" + std::to_string(served));
    if (arrivals.empty() || served < 100) {
        return NotRun;
    }
    return late > AllowedRequests ? Broken : Held;
}
