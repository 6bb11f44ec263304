#include <boost/test/unit_test.hpp>

#include <thread>

#include "apricotarch/base/hash.h"
#include "fakes/test_node.h"

using namespace apricotarch;
using namespace apricotarch::fakes;

BOOST_AUTO_TEST_SUITE(silent_server)

namespace
{

/// Longer than the silence after which another server is asked, and short enough for callers to stay.
constexpr auto Pause = 1400ms;

const std::string EndOfStream = "0\r\n\r\n";

/// Sends the first event of a stream, and the rest after a pause.
ScriptedAnswer pausedStream(const RequestHead &head, std::chrono::milliseconds pause = Pause)
{
    return ScriptedAnswer{streamHead(head) + chunk(event(1)), false, chunk(event(2)) + chunk(event(3)) + EndOfStream, pause};
}

/// Sends the first event of a stream, and nothing more.
ScriptedAnswer endlessSilence(const RequestHead &head)
{
    return ScriptedAnswer{streamHead(head) + chunk(event(1))};
}

/// Continues a stream after the first event.
ScriptedAnswer restOfStream(const RequestHead &head, std::chrono::milliseconds delay = 0ms)
{
    ScriptedAnswer answer{streamHead(head) + chunk(event(2)) + chunk(event(3)) + EndOfStream};
    answer.delay = delay;
    return answer;
}

ScriptedAnswer decline(const RequestHead & /*head*/, const std::string & /*body*/)
{
    return ScriptedAnswer{DeclinedResponse};
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

/// Checks that an answer has three events, each once, and an end.
void checkWhole(const std::string &answer)
{
    BOOST_TEST(countOf(answer, "HTTP/1.1 ") == 1U);
    for (int id = 1; id <= 3; ++id) {
        BOOST_TEST(countOf(answer, event(id)) == 1U, "event " << id << " in " << answer);
    }
    BOOST_TEST(answer.ends_with(EndOfStream));
}

/// A node at whose first server a stream has begun. Servers that are added then are asked once the first has been silent.
class BegunStream
{
public:
    explicit BegunStream(ScriptedServer::Script script, const std::string &route = "/plan/")
        : first(node.addServer("first", std::move(script)))
        , caller(node, requestOn(route))
    {
        node.runFor(100ms);
        BOOST_REQUIRE(first.targets.size() == 1U);
    }

    /// Runs until the answer is complete or closed, at most for 4 s.
    void run()
    {
        const auto until = std::chrono::steady_clock::now() + 4s;
        while (!caller.isClosed() && !caller.answer.ends_with(EndOfStream) && std::chrono::steady_clock::now() < until) {
            node.runFor(20ms);
        }
    }

    static std::string requestOn(const std::string &route)
    {
        std::string request = PlanRequest;
        return request.replace(request.find("/plan/"), 6, route);
    }

    /// Checks that no attempt is counted any more.
    void checkNothingInProgress()
    {
        const ContentHash content = contentHash("desk/plan/1\n");
        const auto now = std::chrono::steady_clock::now();
        node.state.crashTracker.recordCrash(ReplicaId("none"), content, now);
        BOOST_TEST(node.state.crashTracker.replicasWithSuspects(now).empty());
        for (const char *id : {"first", "second"}) {
            BOOST_TEST(node.state.backends.find(ReplicaId(id))->localLoad.requests == 0);
            BOOST_TEST(node.state.backends.find(ReplicaId(id))->localLoad.promptTokens == 0);
        }
    }

    TestNode node;
    ScriptedServer &first;
    CallerProbe caller;
};

} // namespace

BOOST_AUTO_TEST_SUITE(that_only_pauses_keeps_its_stream)

// Streams were cut: the connection to the silent server was closed before another one had accepted the request.

BOOST_AUTO_TEST_CASE(if_the_next_server_declines)
{
    BegunStream stream([](const RequestHead &head, const std::string &) {
        return pausedStream(head);
    });
    ScriptedServer &second = stream.node.addServer("second", decline);
    stream.run();
    checkWhole(stream.caller.answer);
    BOOST_TEST(second.targets.size() == 1U);
    BOOST_TEST(stream.first.connections == 1U);
    stream.checkNothingInProgress();
}

BOOST_AUTO_TEST_CASE(if_the_next_server_names_another_one)
{
    BegunStream stream([](const RequestHead &head, const std::string &) {
        return pausedStream(head);
    });
    stream.node.addServer("second", [](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{"HTTP/1.1 421 Other\r\nX-Request-Id: " + std::string(head.headers.value("X-Request-Id"))
            + "\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n"};
    });
    stream.run();
    checkWhole(stream.caller.answer);
}

BOOST_AUTO_TEST_CASE(if_the_next_server_cannot_be_reached)
{
    BegunStream stream([](const RequestHead &head, const std::string &) {
        return pausedStream(head);
    });
    stream.node.addServer("second", decline).end();
    stream.run();
    checkWhole(stream.caller.answer);
    BOOST_TEST((stream.node.state.backends.find(ReplicaId("second"))->failures > 0));
    stream.checkNothingInProgress();
}

BOOST_AUTO_TEST_CASE(if_the_next_server_breaks_off_before_its_first_event)
{
    for (const bool sendsHead : {false, true}) {
        BegunStream stream([](const RequestHead &head, const std::string &) {
            return pausedStream(head);
        });
        stream.node.addServer("second", [sendsHead](const RequestHead &head, const std::string &) {
            const std::string half = "id: 2\ndata:";
            ScriptedAnswer answer{sendsHead ? streamHead(head) + chunk(half) : "", true};
            answer.delay = 20ms;
            return answer;
        });
        stream.run();
        checkWhole(stream.caller.answer);
        stream.checkNothingInProgress();
    }
}

BOOST_AUTO_TEST_CASE(if_the_next_server_fails)
{
    BegunStream stream([](const RequestHead &head, const std::string &) {
        return pausedStream(head);
    });
    stream.node.addServer("second", [](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{"HTTP/1.1 500 Oops\r\nX-Request-Id: " + std::string(head.headers.value("X-Request-Id"))
            + "\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n"};
    });
    stream.run();
    checkWhole(stream.caller.answer);
}

BOOST_AUTO_TEST_CASE(if_the_next_server_falls_silent_too)
{
    BegunStream stream([](const RequestHead &head, const std::string &) {
        return pausedStream(head, 2000ms);
    });
    ScriptedServer &second = stream.node.addServer("second", [](const RequestHead &, const std::string &) {
        return ScriptedAnswer{};
    });
    stream.run();
    checkWhole(stream.caller.answer);
    BOOST_TEST(second.targets.size() == 1U);
    stream.node.runFor(50ms);
    BOOST_TEST(second.closedConnections == 1U);
    stream.checkNothingInProgress();
}

BOOST_AUTO_TEST_CASE(if_it_pauses_within_an_event)
{
    const std::string text = event(2);
    BegunStream stream([&text](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{
            streamHead(head) + chunk(event(1) + text.substr(0, 4)), false, chunk(text.substr(4)) + chunk(event(3)) + EndOfStream, Pause};
    });
    stream.node.addServer("second", decline);
    stream.run();
    checkWhole(stream.caller.answer);
}

BOOST_AUTO_TEST_CASE(if_the_end_of_the_stream_is_all_that_was_left)
{
    BegunStream stream([](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{streamHead(head) + chunk(event(1)) + chunk(event(2)) + chunk(event(3)), false, EndOfStream, Pause};
    });
    stream.node.addServer("second", decline);
    stream.run();
    checkWhole(stream.caller.answer);
}

BOOST_AUTO_TEST_CASE(if_the_prefill_for_the_next_engine_is_declined_or_lost)
{
    for (const bool declines : {true, false}) {
        TestNode node;
        int prefills = 0;
        int decodes = 0;
        for (const char *id : {"prefill-1", "prefill-2"}) {
            node.addEngine(id, EngineStage::Prefill, [&](const RequestHead &head, const std::string &) {
                if (++prefills == 1) {
                    return ScriptedAnswer{fullResponse(head, R"({"kvHandle":"h1","tokens":17000,"version":1})")};
                }
                return declines ? ScriptedAnswer{DeclinedResponse} : ScriptedAnswer{"", true};
            });
        }
        for (const char *id : {"decode-1", "decode-2"}) {
            node.addEngine(id, EngineStage::Decode, [&decodes](const RequestHead &head, const std::string &) {
                ++decodes;
                return pausedStream(head);
            });
        }
        checkWhole(node.sendRequest(LongPromptRequest, EndOfStream));
        BOOST_TEST(prefills == 2);
        BOOST_TEST(decodes == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_stays_silent)

BOOST_AUTO_TEST_CASE(loses_its_stream_to_the_next_server_and_is_told_to_stop)
{
    BegunStream stream([](const RequestHead &head, const std::string &) {
        return endlessSilence(head);
    });
    ScriptedServer &second = stream.node.addServer("second", [](const RequestHead &head, const std::string &) {
        BOOST_TEST(head.headers.value("Last-Event-Id") == "1");
        return restOfStream(head);
    });
    stream.run();
    checkWhole(stream.caller.answer);
    BOOST_TEST(second.targets.size() == 1U);
    stream.node.runFor(50ms);
    BOOST_TEST(stream.first.closedConnections == 1U);
    stream.checkNothingInProgress();
}

BOOST_AUTO_TEST_CASE(keeps_its_connection_until_the_next_server_has_begun)
{
    BegunStream stream([](const RequestHead &head, const std::string &) {
        return endlessSilence(head);
    });
    ScriptedServer &second = stream.node.addServer("second", [](const RequestHead &head, const std::string &) {
        return restOfStream(head, 800ms);
    });
    stream.node.runFor(1500ms);
    BOOST_REQUIRE(second.targets.size() == 1U);
    BOOST_TEST(stream.first.closedConnections == 0U);
    stream.run();
    checkWhole(stream.caller.answer);
    stream.node.runFor(50ms);
    BOOST_TEST(stream.first.closedConnections == 1U);
}

BOOST_AUTO_TEST_CASE(loses_its_stream_to_a_third_server_if_the_second_declines_and_an_attempt_is_left)
{
    BegunStream stream(
        [](const RequestHead &head, const std::string &) {
            return endlessSilence(head);
        },
        "/note/");
    stream.node.state.retryBudget = SharedRetryBudget({0, 4, 10s}); // Half of the slack is used, so this allows two retries.
    ScriptedServer &second = stream.node.addServer("second", decline);
    stream.node.runFor(1400ms);
    BOOST_REQUIRE(second.targets.size() == 1U);
    ScriptedServer &third = stream.node.addServer("third", [](const RequestHead &head, const std::string &) {
        return restOfStream(head);
    });
    stream.run();
    checkWhole(stream.caller.answer);
    BOOST_TEST(third.targets.size() == 1U);
    BOOST_TEST(stream.first.targets.size() + second.targets.size() + third.targets.size() == 3U);
}

BOOST_AUTO_TEST_CASE(is_not_replaced_again_beyond_the_retry_budget_or_the_attempts)
{
    for (const char *route : {"/plan/", "/note/"}) {
        BegunStream stream(
            [](const RequestHead &head, const std::string &) {
                return pausedStream(head, 2500ms);
            },
            route);
        stream.node.state.retryBudget = SharedRetryBudget({0, std::string(route) == "/plan/" ? 100.0 : 2.0, 10s});
        ScriptedServer &second = stream.node.addServer("second", decline);
        ScriptedServer &third = stream.node.addServer("third", decline);
        stream.run();
        checkWhole(stream.caller.answer);
        BOOST_TEST(second.targets.size() + third.targets.size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(and_is_lost_later_leaves_the_stream_to_the_next_server)
{
    BegunStream stream([](const RequestHead &head, const std::string &) {
        return endlessSilence(head);
    });
    stream.node.addServer("second", [](const RequestHead &head, const std::string &) {
        return restOfStream(head, 500ms);
    });
    stream.node.runFor(1350ms);
    stream.first.closeConnections();
    stream.run();
    checkWhole(stream.caller.answer);
    stream.checkNothingInProgress();
}

BOOST_AUTO_TEST_CASE(keeps_a_booking_which_must_not_be_repeated)
{
    TestNode node;
    for (const char *id : {"a", "b"}) {
        node.addServer(id, [](const RequestHead &head, const std::string &) {
            ScriptedAnswer answer{fullResponse(head, "done")};
            answer.delay = 2500ms;
            return answer;
        });
    }
    BOOST_TEST(node.sendRequest(BookingRequest, "done").starts_with("HTTP/1.1 200"));
    BOOST_TEST(node.servers[0]->targets.size() + node.servers[1]->targets.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_goes_on_while_another_one_is_asked)

BOOST_AUTO_TEST_CASE(delivers_if_the_other_has_not_begun)
{
    BegunStream stream([](const RequestHead &head, const std::string &) {
        return pausedStream(head, 1600ms);
    });
    ScriptedServer &second = stream.node.addServer("second", [](const RequestHead &head, const std::string &) {
        return restOfStream(head, 1000ms);
    });
    stream.node.runFor(1750ms); // The other one begins 2.2 s after the first.
    checkWhole(stream.caller.answer);
    BOOST_TEST(second.targets.size() == 1U);
    BOOST_TEST(stream.first.connections == 1U);
    stream.node.runFor(1000ms);
    checkWhole(stream.caller.answer);
    stream.checkNothingInProgress();
}

BOOST_AUTO_TEST_CASE(delivers_nothing_if_the_other_has_begun)
{
    BegunStream stream([](const RequestHead &head, const std::string &) {
        return pausedStream(head, 1700ms);
    });
    stream.node.addServer("second", [](const RequestHead &head, const std::string &) {
        return ScriptedAnswer{streamHead(head) + chunk(event(2)), false, chunk(event(3)) + EndOfStream, 800ms};
    });
    stream.run();
    checkWhole(stream.caller.answer);
    stream.node.runFor(1600ms); // Only the second write to the closed connection fails.
    checkWhole(stream.caller.answer);
    BOOST_TEST(stream.first.repetitionEnded);
    stream.checkNothingInProgress();
}

BOOST_AUTO_TEST_CASE(delivers_alone_if_both_go_on_in_the_same_moment)
{
    for (const auto delay : {1ms, 300ms, 600ms}) {
        BegunStream stream([](const RequestHead &head, const std::string &) {
            return pausedStream(head, 1700ms);
        });
        ScriptedServer &second = stream.node.addServer("second", [delay](const RequestHead &head, const std::string &) {
            return restOfStream(head, delay);
        });
        while (second.targets.empty()) {
            stream.node.runFor(10ms);
        }
        std::this_thread::sleep_for(1s); // Both answers are due when the event loop runs again.
        stream.run();
        checkWhole(stream.caller.answer);
        stream.node.runFor(300ms);
        checkWhole(stream.caller.answer);
        stream.checkNothingInProgress();
    }
}

BOOST_AUTO_TEST_CASE(answers_a_schedule_view_if_the_other_declines)
{
    TestNode node;
    int requests = 0;
    for (const char *id : {"a", "b"}) {
        node.addServer(id, [&requests](const RequestHead &head, const std::string &) {
            if (++requests > 1) {
                return ScriptedAnswer{DeclinedResponse};
            }
            ScriptedAnswer answer{fullResponse(head, "week")};
            answer.delay = 2600ms; // Another server is asked after 40% of 5 s.
            return answer;
        });
    }
    BOOST_TEST(node.sendRequest(ViewRequest, "week").starts_with("HTTP/1.1 200"));
    BOOST_TEST(requests == 2);
}

BOOST_AUTO_TEST_CASE(answers_a_schedule_view_once_whichever_answers_first)
{
    for (const auto &[firstDelay, secondDelay, expected] :
        {std::tuple(2400ms, 1000ms, "one"), std::tuple(3500ms, 500ms, "two"), std::tuple(6000ms, 0ms, "two")}) {
        TestNode node;
        int requests = 0;
        for (const char *id : {"a", "b"}) {
            node.addServer(id, [&, firstDelay = firstDelay, secondDelay = secondDelay](const RequestHead &head, const std::string &) {
                const bool isFirst = ++requests == 1;
                ScriptedAnswer answer{fullResponse(head, isFirst ? "one" : "two")};
                answer.delay = isFirst ? firstDelay : secondDelay;
                return answer;
            });
        }
        CallerProbe caller(node, ViewRequest);
        node.runFor(4200ms);
        BOOST_TEST(requests == 2);
        BOOST_TEST(caller.answers() == 1U);
        BOOST_TEST(caller.answer.ends_with(expected), caller.answer);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_caller_leaves_while_another_one_is_asked)

BOOST_AUTO_TEST_CASE(is_told_to_stop_and_so_is_the_other)
{
    TestNode node;
    int requests = 0;
    for (const char *id : {"a", "b"}) {
        node.addServer(id, [&requests](const RequestHead &head, const std::string &) {
            return ++requests == 1 ? endlessSilence(head) : ScriptedAnswer{};
        });
    }
    {
        CallerProbe caller(node, PlanRequest);
        node.runFor(1500ms);
        BOOST_REQUIRE(requests == 2);
        BOOST_TEST(node.servers[0]->closedConnections + node.servers[1]->closedConnections == 0U);
        caller.leave();
        node.runFor(100ms);
    }
    BOOST_TEST(node.servers[0]->closedConnections == 1U);
    BOOST_TEST(node.servers[1]->closedConnections == 1U);
    for (const char *id : {"a", "b"}) {
        BOOST_TEST(node.state.backends.find(ReplicaId(id))->localLoad.requests == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(kept_connections_that_have_gone_silent)

BOOST_AUTO_TEST_CASE(are_not_tried_one_after_the_other)
{
    // Each request took the next of the silent connections to a server and waited until it was asked again elsewhere.
    TestNode node;
    bool keptAreSilent = false;
    ScriptedServer *server = nullptr;
    server = &node.addServer("a", [&](const RequestHead &head, const std::string &body) {
        const bool isSilent = keptAreSilent && server->requestsOnConnection > 1;
        ScriptedAnswer answer = isSilent ? ScriptedAnswer{""} : answerView(head, body);
        answer.delay = 20ms; // So that requests at the same time need a connection each.
        return answer;
    });
    node.addServer("b", answerView);
    setBusy(node, "b", true);
    const auto view = [](int number) {
        return "GET /view/" + std::to_string(number) + " HTTP/1.1\r\nHost: desk\r\nX-Request-Id: v" + std::to_string(number)
            + "\r\nX-Deadline-Ms: 1500\r\n\r\n";
    };
    {
        CallerProbe first(node, view(1));
        CallerProbe second(node, view(2));
        CallerProbe third(node, view(3));
        node.runFor(200ms);
        BOOST_REQUIRE(server->connections == 3U);
    }
    keptAreSilent = true;
    BOOST_TEST(node.sendRequest(view(4), "week").ends_with("week"));
    node.runFor(1s); // The server is avoided for a while after its silence.
    const auto startedAt = std::chrono::steady_clock::now();
    BOOST_TEST(node.sendRequest(view(5), "week").ends_with("week"));
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 300ms));
    BOOST_TEST(server->targets.back() == "/view/5");
    BOOST_TEST(server->connections == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
