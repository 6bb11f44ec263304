#include <string>

#include <boost/test/unit_test.hpp>

#include "fakes/test_node.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

/// A request for a plan. @param headers further header lines
std::string planRequest(const std::string &id, const std::string &headers = {})
{
    return "POST /plan/1 HTTP/1.1\r\nHost: desk\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 5000\r\n" + headers
        + "Content-Length: 0\r\n\r\n";
}

/// The rest of a stream after the event that a caller or a node has received last.
std::string resumeRequest(const std::string &id, const std::string &resumed, int lastEvent)
{
    return planRequest(id, "Resumes: " + resumed + "\r\nLast-Event-Id: " + std::to_string(lastEvent) + "\r\n");
}

/// Events from the one after the requested position to the fourth, and the end of the stream.
ScriptedAnswer restOfStream(const RequestHead &head)
{
    std::string answer = streamHead(head);
    const std::string last(head.headers.value("Last-Event-Id"));
    for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= 4; ++id) {
        answer += chunk(event(id));
    }
    return ScriptedAnswer{answer + "0\r\n\r\n"};
}

/// Two events, after which the connection is reset.
ScriptedAnswer brokenStream(const RequestHead &head)
{
    ScriptedAnswer answer{streamHead(head) + chunk(event(1)) + chunk(event(2))};
    answer.closes = true;
    return answer;
}

/// A node with servers of two software versions: "old", which is preferred, and "new".
class NodeWithTwoVersions
{
public:
    /// @param oldServer answers of the server of the old version
    explicit NodeWithTwoVersions(const ScriptedServer::Script &oldServer)
        : old(node.addServer("old", oldServer))
        , other(node.addServer("new", [](const RequestHead &head, const std::string &) {
            return restOfStream(head);
        }))
    {
        setVersion("old", "v1");
        setVersion("new", "v1.1");
        setBusy(node, "new", true);
    }

    void setVersion(const char *server, const char *version)
    {
        BackendRecord record = node.state.backends.find(ReplicaId(server))->record;
        record.softwareVersion = SoftwareVersion(version);
        node.state.backends.update(record, node.state.clock.now());
    }

    TestNode node;
    ScriptedServer &old;
    ScriptedServer &other;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stream_versions)

BOOST_AUTO_TEST_SUITE(a_stream_that_breaks_off)

BOOST_AUTO_TEST_CASE(is_continued_by_the_node_at_another_software_version)
{
    NodeWithTwoVersions fixture([](const RequestHead &head, const std::string &) {
        return brokenStream(head);
    });
    const std::string answer = fixture.node.sendRequest(planRequest("r1"), "0\r\n\r\n");
    BOOST_TEST(answer.find(event(2)) != std::string::npos);
    BOOST_TEST(answer.find(event(3)) == std::string::npos);
    BOOST_TEST(fixture.other.targets.empty());
}

BOOST_AUTO_TEST_CASE(is_resumed_by_its_caller_at_another_software_version)
{
    NodeWithTwoVersions fixture([](const RequestHead &head, const std::string &) {
        return head.headers.value("Last-Event-Id").empty() ? brokenStream(head) : restOfStream(head);
    });
    (void)fixture.node.sendRequest(planRequest("r1"), "0\r\n\r\n");
    setBusy(fixture.node, "old", true);
    setBusy(fixture.node, "new", false);
    const std::size_t before = fixture.other.targets.size();
    const std::string answer = fixture.node.sendRequest(resumeRequest("r2", "r1", 2), "0\r\n\r\n");
    BOOST_TEST(answer.find(event(3)) != std::string::npos);
    BOOST_TEST(answer.find(event(4)) != std::string::npos);
    BOOST_TEST(fixture.other.targets.size() == before);
}

BOOST_AUTO_TEST_CASE(is_refused_its_rest_because_new_prompts_would_wait_too_long)
{
    // Engines of the stream's version had crashed; the others had a queue of a second, while the caller had several left.
    TestNode node;
    node.addEngine("engine", EngineStage::Decode, [](const RequestHead &head, const std::string &) {
        return restOfStream(head);
    });
    node.state.backends.find(ReplicaId("engine"))->remoteLoad.promptTokens = 50'000;
    BOOST_TEST(node.sendRequest(LongPromptRequest, "}").find("overloaded") != std::string::npos);
    std::string resumed = LongPromptRequest;
    resumed.replace(resumed.find("X-Model"), 0, "Resumes: r0\r\nLast-Event-Id: 2\r\n");
    BOOST_TEST(node.sendRequest(resumed, "0\r\n\r\n").find(event(3)) != std::string::npos);
    node.state.backends.find(ReplicaId("engine"))->remoteLoad.promptTokens = 500'000;
    BOOST_TEST(node.sendRequest(resumed, "}").find("overloaded") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(is_refused_its_rest_while_the_servers_of_its_version_start_again)
{
    // Both decode engines of a version had crashed for two seconds, and all its streams were refused.
    const ScriptedServer::Script script = [](const RequestHead &head, const std::string &) {
        return head.headers.value("Last-Event-Id").empty() ? brokenStream(head) : restOfStream(head);
    };
    NodeWithTwoVersions fixture(script);
    (void)fixture.node.sendRequest(planRequest("r1"), "0\r\n\r\n");
    fixture.old.end();
    const std::size_t before = fixture.other.targets.size();
    CallerProbe caller(fixture.node, resumeRequest("r2", "r1", 2));
    fixture.node.runFor(600ms);
    BOOST_TEST(caller.answer.empty());
    ScriptedServer restarted(fixture.node.loop, script);
    BackendRecord record = fixture.node.state.backends.find(ReplicaId("old"))->record;
    record.address = restarted.endpoint();
    record.startedAt = 1;
    fixture.node.state.backends.update(record, fixture.node.state.clock.now());
    fixture.node.runFor(600ms);
    BOOST_TEST(caller.answer.find(event(3)) != std::string::npos);
    BOOST_TEST(fixture.other.targets.size() == before);
}

BOOST_AUTO_TEST_CASE(waits_for_servers_of_its_version_only_until_its_caller_gives_it_up)
{
    NodeWithTwoVersions fixture([](const RequestHead &head, const std::string &) {
        return brokenStream(head);
    });
    (void)fixture.node.sendRequest(planRequest("r1"), "0\r\n\r\n");
    fixture.old.end();
    const auto startedAt = std::chrono::steady_clock::now();
    BOOST_TEST(fixture.node.sendRequest(resumeRequest("r2", "r1", 2), "}").starts_with("HTTP/1.1 503"));
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 2500ms));
    // A server that has left does not come back.
    fixture.node.state.backends.remove(ReplicaId("old"), fixture.node.state.clock.now() - 2s);
    const auto leftAt = std::chrono::steady_clock::now();
    BOOST_TEST(fixture.node.sendRequest(resumeRequest("r3", "r1", 2), "}").starts_with("HTTP/1.1 503"));
    BOOST_TEST((std::chrono::steady_clock::now() - leftAt < 500ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
