// Case 6: streams whose events have increasing ids, but not consecutive ones, are broken off after the crash of an engine.

#include "../standins-2.h"

using namespace standin;

namespace
{

constexpr int Callers = 40;
constexpr int Tokens = 20;

/// What a caller has received of one answer.
struct Received
{
    int status = 0;
    int lastEvent = 0;
    bool complete = false;
    bool closed = false; ///< The channel ended before the answer did.
    std::int64_t retryAfterMs = 0;
};

std::string encode(const std::string &id, int number, int lastEvent)
{
    std::ostringstream request;
    request << "POST /plan/1/" << number << " HTTP/1.1\r\nHost: mill.example\r\nX-Request-Id: " << id << "\r\nX-Model: m\r\n"
            << "X-Token-Counts: 17020,20\r\nX-Prompt-Prefix: 5c1e07a2:13300," << std::hex << (0xe4402000 + number) << std::dec << ":3720\r\n";
    if (lastEvent > 0) {
        request << "Last-Event-Id: " << lastEvent << "\r\n";
    }
    const std::string body = "complaint " + std::to_string(number);
    request << "X-Deadline-Ms: 8000\r\nContent-Length: " << body.size() << "\r\n\r\n" << body;
    return request.str();
}

/// Sends a request on a channel and reads its answer.
Received ask(Channel &channel, const std::string &request)
{
    Received received;
    if (!channel.send(request)) {
        received.closed = true;
        return received;
    }
    std::string input;
    std::optional<Message> head;
    const std::int64_t until = nowMs() + 8000;
    while (nowMs() < until && !received.complete && !received.closed) {
        received.closed = !channel.receive(input, 100);
        if (!head) {
            head = takeHead(input);
            received.status = head ? head->status() : 0;
            received.retryAfterMs = head ? static_cast<std::int64_t>(1000 * std::atof(head->header("Retry-After").c_str())) : 0;
        }
        if (!head) {
            continue;
        }
        const bool isChunked = !head->header("Transfer-Encoding").empty();
        for (auto at = input.find("id: "); at != std::string::npos; at = input.find("id: ", at + 1)) {
            received.lastEvent = std::max(received.lastEvent, std::atoi(input.c_str() + at + 4));
        }
        received.complete = isChunked ? input.ends_with("0\r\n\r\n")
                                      : input.size() >= static_cast<std::size_t>(std::atoll(head->header("Content-Length").c_str()));
    }
    received.closed = received.closed && !received.complete;
    return received;
}

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    startOfRun();
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    const std::string folder = temporaryFolder();
    Record record(arguments[1]);
    Store store("127.0.0.1");
    store.put("op",
        "config",
        "{\"version\":7,\"routes\":[{\"name\":\"furrow-plan\",\"host\":\"mill.example\",\"prefix\":\"/plan/\",\"kind\":\"streaming\","
        "\"timeoutMs\":8000,\"targetLatencyMs\":600,\"priority\":2,\"service\":\"dressing-desk\",\"maxAttempts\":2,\"sticky\":true,"
        "\"resumable\":true,\"targetGapMs\":200}],\"services\":[{\"name\":\"dressing-desk\",\"healthPath\":\"/healthz\","
        "\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kvTokens\":491264,\"tokenKvBytes\":327680,"
        "\"linkMbps\":3200000.0,\"kvHoldS\":5.0,\"switchS\":3.0,\"models\":[{\"name\":\"m\"}]}}],"
        "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
    Runs runs;
    std::vector<std::unique_ptr<Engine>> engines;
    for (int index = 0; index < 6; ++index) {
        const std::string number = std::to_string(index + 1);
        engines.push_back(
            std::make_unique<Engine>(store, record, runs, "dressing-desk", "i-engine" + number, "127.0.1." + number, index < 2 ? "decode" : "prefill"));
        engines.back()->behaviour.tokens = Tokens;
        engines.back()->behaviour.tokensPerEvent = 6;
    }
    std::atomic<bool> done = false;
    std::thread beats([&] {
        while (!done) {
            for (const auto &engine : engines) {
                engine->report();
            }
            for (int step = 0; step < 12 && !done; ++step) {
                sleepMs(100);
            }
        }
    });
    Node::peerPort() = freePort("127.0.2.1");
    Node node(folder, "front-kigali-a-1", "127.0.2.1", "kigali-a");
    node.prepare({"127.0.2.1:8144"}, store.address());
    node.start();
    int result = 2;
    if (node.awaitReady(15'000)) {
        sleepMs(6000);
        std::atomic<int> number = 0;
        std::atomic<int> served = 0;
        std::mutex mutex;
        std::vector<std::string> cut; ///< Requests on kept channels that the node closed before their answers were whole.
        std::atomic<int> notResumed = 0;
        std::atomic<bool> stop = false;
        std::vector<std::thread> callers;
        for (int caller = 0; caller < Callers; ++caller) {
            callers.emplace_back([&, caller] {
                sleepMs(37 * caller);
                std::unique_ptr<Channel> channel;
                bool isKept = false;
                while (!stop) {
                    if (!channel) {
                        channel = Channel::connect(node.callers());
                        isKept = false;
                    }
                    const int request = ++number;
                    const std::string id = "4c41d07be2a3" + std::to_string(1000 + request);
                    if (!channel) {
                        sleepMs(100);
                        continue;
                    }
                    const Received received = ask(*channel, encode(id, request, 0));
                    if (received.complete && received.status == 200) {
                        ++served;
                        isKept = true;
                        continue;
                    }
                    if (received.complete) {
                        isKept = true;
                        record.line("caller " + std::to_string(caller) + ": " + id + " gets status " + std::to_string(received.status));
                        sleepMs(std::max<std::int64_t>(received.retryAfterMs, 100));
                        continue;
                    }
                    channel.reset();
                    record.line("caller " + std::to_string(caller) + ": no whole answer to " + id + " on a "
                        + (isKept ? "kept" : "new") + " channel: status " + std::to_string(received.status) + ", last event "
                        + std::to_string(received.lastEvent) + (received.closed ? ", the node has closed the channel" : ""));
                    if (received.closed && isKept) {
                        const std::lock_guard lock(mutex);
                        cut.push_back(id);
                    }
                    if (received.lastEvent > 0) { // The caller goes on by itself ("The requester may do so after a broken channel").
                        const auto second = Channel::connect(node.callers());
                        const std::string again = id + "b";
                        const Received rest = second ? ask(*second, encode(again, request, received.lastEvent)) : Received();
                        record.line("caller " + std::to_string(caller) + ": " + again + " after event " + std::to_string(received.lastEvent)
                            + " gets status " + std::to_string(rest.status) + ", last event " + std::to_string(rest.lastEvent));
                        notResumed += rest.complete && rest.status == 200 ? 0 : 1;
                    }
                }
            });
        }
        sleepMs(3000);
        for (int round = 0; round < 3; ++round) {
            Engine *victim = nullptr;
            for (const auto &engine : engines) {
                victim = engine->stage() == "decode" && (victim == nullptr || round % 2 == 1) ? engine.get() : victim;
            }
            if (hasTrouble && victim != nullptr) {
                victim->crash();
            }
            sleepMs(4500);
            if (hasTrouble && victim != nullptr) {
                victim->restart();
            }
            sleepMs(3000);
        }
        stop = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
        // LOST: the node had passed the request on to an engine that did not crash during the run.
        const std::vector<Run> all = runs.all();
        const auto lost = std::count_if(cut.begin(), cut.end(), [&all](const std::string &id) {
            return std::any_of(all.begin(), all.end(), [&id](const Run &run) {
                return run.request == id && !run.lastEventId.empty() && !run.crashed;
            });
        });
        record.line(std::to_string(served) + " served; " + std::to_string(lost) + " of " + std::to_string(cut.size())
            + " requests whose kept channels the node closed had been passed on to a sound engine; " + std::to_string(notResumed)
            + " callers could not go on by themselves");
        result = lost > 3 ? 1 : 0;
    } else {
        record.line("the node is not ready");
    }
    done = true;
    beats.join();
    node.kill(SIGKILL);
    engines.clear();
    record.line("result " + std::to_string(result) + ", logs in " + folder);
    return result;
}
