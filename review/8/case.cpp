// Case 8: a replica that is gone gets requests for longer than drainMs, after the nodes that read the store were killed.

#include "../standins-2.h"

using namespace standin;

namespace
{

constexpr std::int64_t DrainMs = 2000;

/// Sends one request. @return the status of the answer, 0 if its channel ended
int ask(const Address &node, int number)
{
    const auto channel = Channel::connect(node);
    if (!channel
        || !channel->send("GET /week/" + std::to_string(number) + " HTTP/1.1\r\nHost: mill.example\r\nX-Request-Id: 4c41d07be2a3"
            + std::to_string(1000 + number) + "\r\nX-Deadline-Ms: 1500\r\n\r\n")) {
        return 0;
    }
    std::string input;
    const std::int64_t until = nowMs() + 1500;
    bool isOpen = true;
    while (nowMs() < until && isOpen && input.find("\r\n\r\n") == std::string::npos) {
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
        "{\"version\":7,\"routes\":[{\"name\":\"week-view\",\"host\":\"mill.example\",\"prefix\":\"/week/"
        "\",\"kind\":\"safe\",\"timeoutMs\":800,"
        "\"targetLatencyMs\":300,\"priority\":2,\"service\":\"visit-desk\",\"maxAttempts\":2,\"sticky\":false,\"resumable\":false}],"
        "\"services\":[{\"name\":\"visit-desk\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],"
        "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
    Runs runs;
    Desk desk(store, record, runs, "i-desk1", loopback(10));
    std::atomic<bool> hasLeft = false;
    std::mutex mutex;
    std::atomic<bool> done = false;
    std::thread beats([&] {
        while (!done) {
            {
                const std::lock_guard lock(mutex);
                if (!hasLeft) {
                    desk.report();
                }
            }
            for (int step = 0; step < 12 && !done; ++step) {
                sleepMs(100);
            }
        }
    });
    Node::peerPort() = freePort(loopback(FirstNodeHost + 1));
    std::vector<std::unique_ptr<Node>> nodes;
    for (int index = 1; index <= 4; ++index) {
        const std::string ip = loopback(FirstNodeHost + index);
        nodes.push_back(std::make_unique<Node>(folder.path(), "front-kigali-a-" + std::to_string(index), ip, "kigali-a"));
        nodes.back()->prepare({loopback(FirstNodeHost + 1) + ":8144", loopback(FirstNodeHost + 2) + ":8144"}, store.address());
        nodes.back()->start();
    }
    int result = 2;
    const bool areReady = std::all_of(nodes.begin(), nodes.end(), [](const std::unique_ptr<Node> &node) {
        return node->awaitReady(15'000);
    });
    if (areReady) {
        sleepMs(5000);
        if (hasTrouble) {
            nodes[0]->kill(SIGKILL);
            nodes[1]->kill(SIGKILL);
            record.line("nodes 1 and 2 are killed");
        }
        {
            const std::lock_guard lock(mutex);
            hasLeft = true;
            store.remove("servers", "i-desk1");
        }
        const std::int64_t acknowledged = nowMs();
        record.line("the store has acknowledged that i-desk1 is gone; it goes on serving");
        for (int number = 1; nowMs() < acknowledged + 6000; ++number) {
            const int status = ask(nodes[2 + static_cast<std::size_t>(number) % 2]->callers(), number);
            record.line("request 4c41d07be2a3" + std::to_string(1000 + number) + " gets " + std::to_string(status));
            sleepMs(50);
        }
        int late = 0;
        std::int64_t last = 0;
        for (const Arrival &arrival : runs.arrivals()) {
            late += arrival.at > acknowledged + DrainMs ? 1 : 0;
            last = std::max(last, arrival.at - acknowledged);
        }
        record.line(std::to_string(late) + " requests reached i-desk1 later than " + std::to_string(DrainMs)
            + " ms after the ack, the last one " + std::to_string(last) + " ms after it");
        result = late > 0 ? 1 : 0;
    } else {
        record.line("the nodes are not ready");
    }
    done = true;
    beats.join();
    nodes.clear();
    record.line("result " + std::to_string(result));
    return result;
}
