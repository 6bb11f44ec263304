#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "apricotarch/app/request_rate_limits.h"
#include "fakes/test_node.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

/// Length of the windows in which a server's requests are counted.
constexpr Duration Window = 4s;

/// A server's requests per second from nodes that know its limit, with the excess that operators tolerate.
double allowedIn(Duration window, double limit)
{
    constexpr double TolerableFactor = 1.5;
    constexpr double TolerableExcess = 5;
    return TolerableFactor * limit * std::chrono::duration<double>(window).count() + TolerableExcess;
}

std::string viewRequest(int number)
{
    return "GET /view/1 HTTP/1.1\r\nHost: desk\r\nX-Deadline-Ms: 5000\r\nX-Request-Id: v" + std::to_string(number) + "\r\n\r\n";
}

/// Returns an answer of a server that states a limit of its request rate.
ScriptedAnswer limitedAnswer(const RequestHead &head, double limit)
{
    std::ostringstream header;
    header << "\r\nServer-Limit: " << limit << "\r\n";
    std::string answer = fullResponse(head, "week");
    answer.replace(answer.find("\r\n"), 2, header.str());
    return {answer};
}

/// Nodes that know each other, and two servers that all of them use. The first one limits its request rate.
class FleetWithLimitedServer
{
public:
    FleetWithLimitedServer(std::size_t nodeCount, double limit)
        : m_limited(m_serverLoop,
            [this, limit](const RequestHead &head, const std::string &) {
                m_arrivals.push_back(m_clock.now());
                return limitedAnswer(head, limit);
            })
        , m_other(m_serverLoop, answerView)
    {
        for (std::size_t index = 0; index < nodeCount; ++index) {
            FrontSettings settings;
            settings.node = NodeId("front-" + std::to_string(index));
            settings.peerAddress = {"10.0.0." + std::to_string(index + 1), 7380};
            m_nodes.push_back(std::make_unique<TestNode>(std::move(settings)));
            addServer(*m_nodes.back(), "limited", m_limited.endpoint());
            addServer(*m_nodes.back(), "other", m_other.endpoint());
        }
        for (const std::unique_ptr<TestNode> &node : m_nodes) {
            for (const std::unique_ptr<TestNode> &other : m_nodes) {
                FrontHeartbeat heartbeat;
                heartbeat.node = other->state.settings.node;
                heartbeat.peerAddress = other->state.settings.peerAddress;
                node->state.peers.recordHeartbeat(heartbeat, m_clock.now());
            }
        }
    }

    /// Sends a request to a random node at each interval.
    void sendRequests(Duration duration, Duration interval)
    {
        const TimePoint end = m_clock.now() + duration;
        for (TimePoint next = m_clock.now(); m_clock.now() < end;) {
            if (m_clock.now() >= next) {
                next += interval;
                TestNode &node = *m_nodes[std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random)];
                m_callers.push_back(std::make_unique<CallerProbe>(node, viewRequest(++m_requestCount)));
            }
            runLoops();
        }
        const auto isServed = [](const std::unique_ptr<CallerProbe> &caller) {
            return caller->answer.starts_with("HTTP/1.1 200");
        };
        for (const TimePoint deadline = m_clock.now() + 5s; m_clock.now() < deadline && !std::ranges::all_of(m_callers, isServed);) {
            runLoops();
        }
        m_served = static_cast<std::size_t>(std::ranges::count_if(m_callers, isServed));
    }

    /// Returns the largest number of requests that the limited server got within a window, without those before @p from.
    [[nodiscard]] std::size_t mostInWindow(TimePoint from) const
    {
        std::size_t most = 0;
        std::deque<TimePoint> window;
        for (const TimePoint at : m_arrivals) {
            if (at >= from) {
                window.push_back(at);
            }
            while (!window.empty() && window.front() <= at - Window) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

    [[nodiscard]] TimePoint firstArrival() const
    {
        return m_arrivals.front();
    }

    [[nodiscard]] std::size_t sent() const
    {
        return m_callers.size();
    }

    [[nodiscard]] std::size_t served() const
    {
        return m_served;
    }

private:
    void addServer(TestNode &node, const char *id, const Endpoint &address)
    {
        BackendRecord record;
        record.id = ReplicaId(id);
        record.service = ServiceId("desk");
        record.address = address;
        record.slots = 6;
        node.state.backends.update(record, m_clock.now());
    }

    void runLoops()
    {
        m_serverLoop.poll();
        for (const std::unique_ptr<TestNode> &node : m_nodes) {
            node->loop.restart(); // A loop that has run out of work stays stopped.
            node->loop.poll();
        }
        m_serverLoop.run_one_for(1ms);
    }

    SystemClock m_clock;
    boost::asio::io_context m_serverLoop;
    std::vector<TimePoint> m_arrivals;
    ScriptedServer m_limited;
    ScriptedServer m_other;
    std::vector<std::unique_ptr<TestNode>> m_nodes;
    std::vector<std::unique_ptr<CallerProbe>> m_callers;
    std::mt19937_64 m_random{1};
    int m_requestCount = 0;
    std::size_t m_served = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(request_rate_limits)

BOOST_AUTO_TEST_SUITE(a_server_that_limits_the_request_rate_of_all_nodes)

BOOST_AUTO_TEST_CASE(gets_several_times_as_many_requests_from_nodes_that_know_its_limit)
{
    constexpr double Limit = 3.3;
    FleetWithLimitedServer fleet(7, Limit);
    fleet.sendRequests(6s, 25ms);
    const std::size_t most = fleet.mostInWindow(fleet.firstArrival() + 500ms);
    BOOST_TEST(most <= allowedIn(Window, Limit));
    BOOST_TEST(most >= 0.6 * Limit * std::chrono::duration<double>(Window).count());
    BOOST_TEST(fleet.served() == fleet.sent());
}

BOOST_AUTO_TEST_CASE(gets_requests_at_any_rate_again_once_it_states_no_limit)
{
    TestNode node;
    bool inNeed = true;
    ScriptedServer &server = node.addServer("a", [&inNeed](const RequestHead &head, const std::string &) {
        return inNeed ? limitedAnswer(head, 2) : ScriptedAnswer{fullResponse(head, "week")};
    });
    BOOST_TEST(node.sendRequest(viewRequest(1), "week").starts_with("HTTP/1.1 200"));
    BOOST_TEST(node.sendRequest(viewRequest(2), "}").starts_with("HTTP/1.1 503"));
    inNeed = false;
    node.runFor(600ms); // One request of two per second.
    for (int number = 3; number < 13; ++number) {
        BOOST_TEST(node.sendRequest(viewRequest(number), "week").starts_with("HTTP/1.1 200"));
        if (number == 3) {
            updateRateShares(node.state);
        }
    }
    BOOST_TEST(server.targets.size() == 11U);
}

BOOST_AUTO_TEST_CASE(and_is_the_only_one_has_callers_refused_at_once_until_it_takes_the_next_request)
{
    TestNode node;
    node.addServer("a", [](const RequestHead &head, const std::string &) {
        return limitedAnswer(head, 0.5);
    });
    BOOST_TEST(node.sendRequest(viewRequest(1), "week").starts_with("HTTP/1.1 200"));
    const auto startedAt = std::chrono::steady_clock::now();
    const std::string answer = node.sendRequest(viewRequest(2), "}");
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 500ms));
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("servers_full") != std::string::npos);
    const std::string name = "Retry-After: ";
    const std::size_t at = answer.find(name);
    BOOST_REQUIRE(at != std::string::npos);
    const double delay = std::stod(answer.substr(at + name.size()));
    BOOST_TEST(delay >= 1.5);
    BOOST_TEST(delay <= 3.1);
    BOOST_TEST(node.servers[0]->targets.size() == 1U);
}

BOOST_AUTO_TEST_CASE(gets_no_more_prefills_than_that_either)
{
    TestNode node;
    ScriptedServer &limited = node.addEngine("prefill", EngineStage::Prefill, [](const RequestHead &head, const std::string &) {
        std::string answer = "HTTP/1.1 200 OK\r\nServer-Limit: 0.5\r\nX-Request-Id: ";
        answer += head.headers.value("X-Request-Id");
        return ScriptedAnswer{answer + "\r\nContent-Length: 40\r\n\r\n{\"kvHandle\":\"h\",\"tokens\":17000,\"ver\":1.0}"};
    });
    ScriptedServer &decode = node.addEngine("decode", EngineStage::Decode, [](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{streamHead(head) + chunk(event(1)) + "0\r\n\r\n"};
    });
    for (int prompt = 0; prompt < 4; ++prompt) {
        BOOST_TEST(node.sendRequest(LongPromptRequest, "0\r\n\r\n").find(event(1)) != std::string::npos);
    }
    BOOST_TEST(limited.targets.size() == 1U);
    BOOST_TEST(decode.targets.size() == 4U);
}

BOOST_AUTO_TEST_CASE(gets_requests_that_were_placed_before_the_limit_was_known)
{
    // The load of a second group of engines is asked for after an engine of the first one was selected.
    NodeWithEngineGroups node([&node] {
        const TimePoint now = node.state.clock.now();
        for (const auto &[id, engine] : node.state.backends.all()) {
            node.state.backends.recordRequestRate(id, now, 0.5, now);
        }
        updateRateShares(node.state);
    });
    BOOST_TEST(node.sendRequest(LongPromptRequest, "\r\n\r\n").starts_with("HTTP/1.1 503"));
    BOOST_TEST(node.queries == 3);
    BOOST_TEST(node.sent == 0);
}

BOOST_AUTO_TEST_CASE(gets_retries_beyond_its_limit)
{
    TestNode node;
    node.addServer("failing", [](const RequestHead &head, const std::string &) {
        const std::string id(head.headers.value("X-Request-Id"));
        return ScriptedAnswer{"HTTP/1.1 503 Full\r\nX-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
    });
    ScriptedServer &limited = node.addServer("limited", [](const RequestHead &head, const std::string &) {
        return limitedAnswer(head, 0.5);
    });
    setBusy(node, "limited", true);
    BOOST_TEST(node.sendRequest(viewRequest(1), "week").starts_with("HTTP/1.1 200"));
    for (int number = 2; number < 6; ++number) {
        BOOST_TEST(node.sendRequest(viewRequest(number), "}").starts_with("HTTP/1.1 503"));
    }
    BOOST_TEST(limited.targets.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
