/**
 * @file
 * A request crashes each replica that begins to run it, at once, and comes again at all nodes. After its third crash and contactMs it may
 * reach replicas three more times.
 */

#include "../deployment.h"

using namespace review;

namespace
{

constexpr std::size_t FrontCount = 3;
constexpr std::size_t ReplicaCount = 3;
constexpr milliseconds ObservedTime{30'000};
constexpr milliseconds RepeatInterval{1000};
constexpr milliseconds SoundInterval{100};
constexpr std::size_t CrashesBeforeBound = 3;
constexpr std::size_t AllowedRetries = 3;

constexpr const char *HarmfulBody = "a booking that crashes the replica";

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
    boost::json::object booking = makeRoute("/bookings/", "unsafe", "visit-desk", 1);
    boost::json::object schedule = makeRoute("/visits/", "safe", "visit-desk", 2);
    schedule["name"] = "r-schedule";
    store.put("op", "config", makeConfiguration(3, {booking, schedule}, {"visit-desk"}));

    const bool crashes = troubleWanted();
    std::mutex mutex;
    std::vector<Clock::time_point> arrivals; // Of the harmful request, at all replicas.
    const Replica::Handler handler = [&](const Message &request) {
        if (request.body != HarmfulBody) {
            return Replica::Outcome{200, {}, "done", false};
        }
        const std::lock_guard lock(mutex);
        arrivals.push_back(Clock::now());
        return Replica::Outcome{200, {}, "done", crashes};
    };
    std::vector<std::unique_ptr<Replica>> replicas;
    for (std::size_t index = 0; index < ReplicaCount; ++index) {
        replicas.push_back(std::make_unique<Replica>(
            store, record, "desk-" + std::to_string(index), "visit-desk", "127.0.0." + std::to_string(21 + index), handler));
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
        callers.emplace_back([&, number = 0]() mutable {
            while (Clock::now() < end) {
                const std::string id = front->name() + "-sound-" + std::to_string(++number);
                const auto answer = exchange(front->callerAddress(),
                    encodeRequest("GET", "/visits/" + std::to_string(number), id, milliseconds(1500), ""),
                    milliseconds(1500));
                served += answer && answer->status() == 200 ? 1 : 0;
                std::this_thread::sleep_for(SoundInterval);
            }
        });
    }
    for (int number = 1; Clock::now() < end; ++number) {
        const auto &front = fronts[static_cast<std::size_t>(number) % fronts.size()];
        const std::string id = "harmful-" + std::to_string(number);
        const auto answer = exchange(
            front->callerAddress(), encodeRequest("POST", "/bookings/42", id, milliseconds(1500), HarmfulBody), milliseconds(1500));
        record.add("answer request=" + id + " front=" + front->name() + " status=" + (answer ? answer->secondWord : "none"));
        std::this_thread::sleep_for(RepeatInterval);
    }
    for (std::thread &caller : callers) {
        caller.join();
    }

    const std::lock_guard lock(mutex);
    if (arrivals.size() < CrashesBeforeBound && crashes) {
        record.report("crashes=" + std::to_string(arrivals.size()) + ", too few for the bound to apply");
        return arrivals.empty() ? NotRun : Held;
    }
    std::size_t late = 0;
    if (crashes) {
        const auto boundFrom = arrivals[CrashesBeforeBound - 1] + ContactTime;
        late = static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&](const auto &at) {
            return at > boundFrom;
        }));
    }
    record.report("arrivals=" + std::to_string(arrivals.size()) + " later_than_contact_time_after_third_crash=" + std::to_string(late)
        + " allowed=" + std::to_string(AllowedRetries) + " sound_served=" + std::to_string(served));
    return late > AllowedRetries ? Broken : Held;
}
