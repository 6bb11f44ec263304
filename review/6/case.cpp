// Case 6: a part of prompts that crashes engines is never found if ids of parts are longer than 64 bits.

#include "../standins-2.h"

using namespace standin;

namespace
{

constexpr std::int64_t ContactMs = 3000;
constexpr std::size_t CrashesBeforeBound = 5;
constexpr std::size_t AllowedRequests = 3;

/// Ids of parts as digests of their content: 128 bits in hexadecimal.
const std::string CrashingPart = "9f86d081884c7d659a2feaa0c55ad015";
const std::string SharedPart = "60303ae22b998861bce3b28f33eec1be";

/// An id with as many digits as SharedPart.
std::string ownPart(int number)
{
    char id[33];
    std::snprintf(id, sizeof id, "ca978112ca1bbdcafac231b3%08x", number);
    return id;
}

/// Sends one request, of which no two are alike. @return the status of the answer, 0 if its channel ended
int ask(const Address &node, int number, bool hasCrashingPart)
{
    const auto channel = Channel::connect(node);
    if (!channel) {
        return 0;
    }
    const std::string body = "complaint " + std::to_string(number);
    std::ostringstream request;
    request << "POST /plan/1/" << number << " HTTP/1.1\r\nHost: mill.example\r\nX-Request-Id: 4c41d07be2a3" << 1000 + number
            << "\r\nX-Model: m\r\nX-Token-Counts: 17020,20\r\nX-Prompt-Prefix: " << (hasCrashingPart ? CrashingPart : SharedPart)
            << ":6300," << SharedPart.substr(1) << "0:7000," << ownPart(number)
            << ":3720\r\nX-Deadline-Ms: 8000\r\nContent-Length: " << body.size() << "\r\n\r\n"
            << body;
    if (!channel->send(request.str())) {
        return 0;
    }
    std::string input;
    const std::int64_t until = nowMs() + 8000;
    bool isOpen = true;
    while (nowMs() < until && isOpen && !input.ends_with("0\r\n\r\n") && !input.ends_with("\"}")) {
        isOpen = channel->receive(input, 100);
    }
    return input.size() < 12 ? 0 : std::atoi(input.c_str() + 9);
}

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    startOfRun();
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    const TemporaryFolder folder;
    Record record(arguments[1]);
    Store store(loopback(1));
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
    for (int index = 0; index < 12; ++index) {
        const std::string number = std::to_string(index + 1);
        engines.push_back(std::make_unique<Engine>(
            store, record, runs, "dressing-desk", "i-engine" + number, loopback(10 + index), index < 4 ? "decode" : "prefill"));
        engines.back()->behaviour.crashingPart = hasTrouble ? CrashingPart : "";
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
    Node::peerPort() = freePort(loopback(FirstNodeHost + 1));
    std::vector<std::unique_ptr<Node>> nodes;
    for (int index = 1; index <= 2; ++index) {
        const std::string ip = loopback(FirstNodeHost + index);
        nodes.push_back(std::make_unique<Node>(folder.path(), "front-kigali-a-" + std::to_string(index), ip, "kigali-a"));
        nodes.back()->prepare({loopback(FirstNodeHost + 1) + ":8144", loopback(FirstNodeHost + 2) + ":8144"}, store.address());
        nodes.back()->start();
    }
    int result = 2;
    if (nodes[0]->awaitReady(15'000) && nodes[1]->awaitReady(15'000)) {
        sleepMs(6000);
        std::atomic<int> number = 0;
        std::vector<std::thread> callers;
        const std::int64_t until = nowMs() + 40'000;
        while (nowMs() < until) {
            for (int request = 0; request < 3; ++request) {
                callers.emplace_back([&, hasCrashingPart = request == 0] {
                    const int own = ++number;
                    const int status = ask(nodes[static_cast<std::size_t>(own) % 2]->callers(), own, hasCrashingPart);
                    record.line("request 4c41d07be2a3" + std::to_string(1000 + own) + (hasCrashingPart ? " with the part" : "") + " gets "
                        + std::to_string(status));
                });
                sleepMs(330);
            }
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        std::vector<std::int64_t> crashes;
        for (const Run &run : runs.all()) {
            if (run.crashed) {
                crashes.push_back(run.end);
            }
        }
        std::sort(crashes.begin(), crashes.end());
        std::set<std::string> late;
        const std::string start = CrashingPart + ':';
        for (const Arrival &arrival : runs.arrivals()) {
            if (crashes.size() >= CrashesBeforeBound && arrival.at > crashes[CrashesBeforeBound - 1] + ContactMs
                && arrival.prompt.starts_with(start)) {
                late.insert(arrival.request);
            }
        }
        record.line(std::to_string(crashes.size()) + " runs ended by a crash; " + std::to_string(late.size())
            + " requests with the part reached engines later than " + std::to_string(ContactMs) + " ms after the fifth crash");
        result = late.size() > AllowedRequests ? 1 : 0;
    } else {
        record.line("the nodes are not ready");
    }
    done = true;
    beats.join();
    nodes.clear();
    engines.clear();
    record.line("result " + std::to_string(result));
    return result;
}
