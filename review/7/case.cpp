// Case 7: after a planned restart of a service's replicas under their ids, nodes refuse all requests for that service for good.

#include "../standins-2.h"

using namespace standin;

namespace
{

constexpr std::int64_t DrainMs = 3000;
constexpr std::int64_t HeartbeatMs = 1200;

/// How long after the last planned work the steady state is observed, and from when on: contactMs is 4,000.
constexpr std::int64_t SettlingMs = 6000;
constexpr std::int64_t ObservationMs = 8000;

std::string route(const char *name, const char *prefix, const char *service)
{
    return std::string("{\"name\":\"") + name + "\",\"host\":\"mill.example\",\"prefix\":\"" + prefix
        + "\",\"kind\":\"safe\",\"timeoutMs\":800,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"" + service
        + "\",\"maxAttempts\":2,\"sticky\":false,\"resumable\":false}";
}

std::string configuration(int version, const std::string &routes)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes
        + "],\"services\":[{\"name\":\"week-desk\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false},"
          "{\"name\":\"visit-desk\",\"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],"
          "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

/// Numbers of requests on one route.
struct Count
{
    int sent = 0;
    int served = 0;
};

/// Callers that send requests on two routes to two nodes in turn.
class Traffic
{
public:
    Traffic(Record &record, const std::vector<std::unique_ptr<Node>> &nodes)
        : m_record(record)
        , m_nodes(nodes)
    {
    }

    /// Sends requests for a time. @return the counts of the first route and of the one that was added later
    std::pair<Count, Count> run(std::int64_t ms)
    {
        std::pair<Count, Count> counts;
        for (const std::int64_t until = nowMs() + ms; nowMs() < until;) {
            const Address &node = m_nodes[static_cast<std::size_t>(m_number / 2) % m_nodes.size()]->callers();
            for (const bool isFirst : {true, false}) {
                const int status = ask(node, ++m_number, isFirst ? "/week/7" : "/visits/7");
                Count &count = isFirst ? counts.first : counts.second;
                ++count.sent;
                count.served += status == 200 ? 1 : 0;
            }
            sleepMs(10);
        }
        m_record.line("first route: " + std::to_string(counts.first.served) + " of " + std::to_string(counts.first.sent)
            + " served; route added later: " + std::to_string(counts.second.served) + " of " + std::to_string(counts.second.sent));
        return counts;
    }

private:
    static int ask(const Address &node, int number, const std::string &target)
    {
        const auto channel = Channel::connect(node);
        if (!channel
            || !channel->send("GET " + target + " HTTP/1.1\r\nHost: mill.example\r\nX-Request-Id: 4c41d07be2a3"
                + std::to_string(10'000 + number) + "\r\nX-Deadline-Ms: 1500\r\n\r\n")) {
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

    Record &m_record;
    const std::vector<std::unique_ptr<Node>> &m_nodes;
    int m_number = 0;
};

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
    const std::string firstRoute = route("week-view", "/week/", "week-desk");
    store.put("op", "config", configuration(7, firstRoute));
    Runs runs;
    std::vector<std::unique_ptr<Desk>> desks;
    for (int index = 1; index <= 6; ++index) {
        const std::string number = std::to_string(index);
        desks.push_back(
            std::make_unique<Desk>(store, record, runs, "i-desk" + number, loopback(10 + index), index <= 3 ? "week-desk" : "visit-desk"));
    }
    std::atomic<bool> done = false;
    std::thread beats([&] {
        while (!done) {
            for (const auto &desk : desks) {
                desk->report();
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
        Traffic traffic(record, nodes);
        sleepMs(4000);
        store.put("op", "config", configuration(8, firstRoute + ',' + route("visits", "/visits/", "visit-desk")));
        record.line("a route to visit-desk has been added");
        sleepMs(1000);
        traffic.run(4000);
        for (const auto &desk : desks) {
            desk->dropIdleChannels(); // Ordinary, and done without the disruption, too.
        }
        traffic.run(3000);
        for (std::size_t index = 3; index < desks.size(); ++index) {
            if (hasTrouble) {
                desks[index]->leave();
            }
            traffic.run(HeartbeatMs + DrainMs + 800);
            if (hasTrouble) {
                desks[index]->startAgain(1500);
                record.line(desks[index]->id() + " has started again");
            } else {
                sleepMs(1500);
            }
            traffic.run(4000);
        }
        traffic.run(SettlingMs);
        record.line("steady state:");
        const auto [first, later] = traffic.run(ObservationMs);
        const bool isServedLess = later.sent >= 20 && 4 * later.served * first.sent < first.served * later.sent;
        result = isServedLess ? 1 : 0;
    } else {
        record.line("the nodes are not ready");
    }
    done = true;
    beats.join();
    nodes.clear();
    desks.clear();
    record.line("result " + std::to_string(result));
    return result;
}
