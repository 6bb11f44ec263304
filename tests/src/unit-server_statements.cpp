#include <boost/test/unit_test.hpp>

#include "fakes/test_node.h"

using namespace apricotarch;
using namespace apricotarch::fakes;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint Start{Duration(100s)};
const ReplicaId Id("a");

/// A table with one server that starts again under its id one second later; its new entry is read after two seconds.
struct RestartedServer
{
    RestartedServer()
    {
        record.id = Id;
        record.service = ServiceId("desk");
        record.startedAt = 10;
        table.update(record, Start);
    }

    void readNewEntry()
    {
        record.startedAt = 20;
        table.update(record, Start + 2s);
    }

    [[nodiscard]] bool isUsed(TimePoint now) const
    {
        return !table.selectUsable(ServiceId("desk"), now).empty();
    }

    BackendRecord record;
    BackendTable table;
};

} // namespace

BOOST_AUTO_TEST_SUITE(server_statements)

BOOST_AUTO_TEST_SUITE(a_refusal_on_a_connection_that_was_opened_before_the_entry_of_the_restarted_server_was_read)

BOOST_FIXTURE_TEST_CASE(counts_if_the_request_was_sent_after_the_entry_had_been_read, RestartedServer)
{
    // 23 requests were sent within the time of one Retry-After, since the connection was older than what was known of the process.
    readNewEntry();
    BOOST_TEST(table.recordDecline(Id, {Start + 1500ms, Start + 6s}, Start + 10s));
    BOOST_TEST(!isUsed(Start + 9s));
    BOOST_TEST(isUsed(Start + 10s));
}

BOOST_FIXTURE_TEST_CASE(counts_if_the_connection_was_opened_after_those_of_the_previous_process_were_lost, RestartedServer)
{
    table.find(Id)->recordConnectionLoss(Start + 1s);
    readNewEntry();
    BOOST_TEST(table.recordDecline(Id, {Start + 1500ms, Start + 1900ms}, Start + 6s));
    BOOST_TEST(!isUsed(Start + 5s));
}

BOOST_FIXTURE_TEST_CASE(is_joined_to_the_entry_that_is_read_later, RestartedServer)
{
    table.find(Id)->recordConnectionLoss(Start + 1s);
    BOOST_TEST(table.recordDecline(Id, {Start + 1500ms, Start + 1600ms}, Start + 6s));
    readNewEntry();
    BOOST_TEST(!isUsed(Start + 5s));
    BOOST_TEST(isUsed(Start + 6s));
}

BOOST_FIXTURE_TEST_CASE(is_dropped_if_it_was_stated_by_the_previous_process, RestartedServer)
{
    BOOST_TEST(table.recordDecline(Id, {Start, Start + 500ms}, Start + 9s));
    table.find(Id)->recordConnectionLoss(Start + 1s);
    readNewEntry();
    BOOST_TEST(isUsed(Start + 3s));
    BOOST_TEST(!table.recordDecline(Id, {Start + 100ms, Start + 900ms}, Start + 9s)); // Arrives late.
    BOOST_TEST(isUsed(Start + 3s));
}

BOOST_FIXTURE_TEST_CASE(is_handled_like_the_statement_that_the_server_shuts_down, RestartedServer)
{
    table.find(Id)->recordConnectionLoss(Start + 1s);
    BOOST_TEST(table.recordShutdownStatement(Id, {Start + 1500ms, Start + 1600ms}, Start + 1700ms));
    readNewEntry();
    BOOST_TEST(table.find(Id)->statesShutdown());
}

BOOST_AUTO_TEST_CASE(ends_the_requests_of_a_node_that_goes_on_using_such_a_connection)
{
    TestNode node;
    bool full = false;
    ScriptedServer &server = node.addServer("a", [&full](const RequestHead &head, const std::string &) {
        const std::string id(head.headers.value("X-Request-Id"));
        return ScriptedAnswer{full
                ? "HTTP/1.1 503 Full\r\nX-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\nRetry-After: 4\r\nContent-Length: 0\r\n\r\n"
                : fullResponse(head, "week")};
    });
    auto send = [&node, number = 0]() mutable {
        return node.sendRequest(
            "GET /view/1 HTTP/1.1\r\nHost: desk\r\nX-Deadline-Ms: 5000\r\nX-Request-Id: v" + std::to_string(++number) + "\r\n\r\n");
    };
    BOOST_TEST(send().starts_with("HTTP/1.1 200"));
    BackendRecord record = node.state.backends.find(Id)->record;
    record.startedAt = 20;
    node.state.backends.update(record, node.state.clock.now());
    full = true;
    for (int request = 0; request < 5; ++request) {
        BOOST_TEST(send().starts_with("HTTP/1.1 503"));
    }
    BOOST_TEST(server.targets.size() == 2U);
    BOOST_TEST(server.connections == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_shutdown_that_is_stated_after_an_idle_connection_was_dropped)

BOOST_FIXTURE_TEST_CASE(does_not_hold_for_the_next_process_of_the_server, RestartedServer)
{
    // A server that had started again got no requests for good.
    table.find(Id)->recordConnectionLoss(Start);
    BOOST_TEST(table.recordShutdownStatement(Id, {Start + 100ms, Start + 200ms}, Start + 300ms));
    table.currency().recordCurrent(Start + 6s);
    record.startedAt = 20;
    table.update(record, Start + 6s);
    BOOST_TEST(isUsed(Start + 6s));
}

BOOST_FIXTURE_TEST_CASE(holds_for_a_limited_time_if_either_process_may_have_stated_it, RestartedServer)
{
    table.find(Id)->recordConnectionLoss(Start);
    BOOST_TEST(table.recordShutdownStatement(Id, {Start + 100ms, Start + 200ms}, Start + 300ms));
    table.currency().recordCurrent(Start + 2s);
    readNewEntry();
    BOOST_TEST(table.find(Id)->statesShutdown());
    const TimePoint refuted = Start + 2s + BackendTable::ShutdownReportTime;
    table.currency().recordCurrent(refuted - 1ms);
    BOOST_TEST(table.dropRefutedShutdowns().empty());
    table.currency().recordCurrent(refuted);
    BOOST_TEST((table.dropRefutedShutdowns() == std::vector{Id}));
    BOOST_TEST(isUsed(refuted));
}

BOOST_FIXTURE_TEST_CASE(holds_if_the_current_process_repeats_it, RestartedServer)
{
    table.find(Id)->recordConnectionLoss(Start);
    BOOST_TEST(table.recordShutdownStatement(Id, {Start + 1500ms, Start + 1600ms}, Start + 1700ms));
    readNewEntry();
    BOOST_TEST(!table.recordShutdownStatement(Id, {Start + 1500ms, Start + 3s}, Start + 3100ms));
    table.currency().recordCurrent(Start + 60s);
    BOOST_TEST(table.dropRefutedShutdowns().empty());
    BOOST_TEST(!isUsed(Start + 60s));
}

BOOST_FIXTURE_TEST_CASE(holds_while_the_entry_cannot_be_read, RestartedServer)
{
    table.find(Id)->recordConnectionLoss(Start);
    BOOST_TEST(table.recordShutdownStatement(Id, {Start + 1500ms, Start + 1600ms}, Start + 1700ms));
    readNewEntry();
    BOOST_TEST(table.dropRefutedShutdowns().empty());
    BOOST_TEST(!isUsed(Start + 60s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_limit_of_the_request_rate)

BOOST_FIXTURE_TEST_CASE(applies_until_an_answer_to_a_later_request_states_none, RestartedServer)
{
    BOOST_TEST(table.recordRequestRate(Id, {Start, Start}, 3.3, Start + 1s));
    BOOST_TEST(!table.recordRequestRate(Id, {Start, Start + 500ms}, std::nullopt, Start + 1200ms)); // It was sent before the limit began.
    BOOST_TEST(table.find(Id)->rateStatement.perSecond.value_or(0) == 3.3);
    BOOST_TEST(table.recordRequestRate(Id, {Start, Start + 1500ms}, std::nullopt, Start + 2s));
    BOOST_TEST(!table.find(Id)->rateStatement.perSecond.has_value());
}

BOOST_FIXTURE_TEST_CASE(ends_with_the_process_that_stated_it, RestartedServer)
{
    BOOST_TEST(table.recordRequestRate(Id, {Start, Start}, 3.3, Start + 500ms));
    table.find(Id)->recordConnectionLoss(Start + 1s);
    readNewEntry();
    BOOST_TEST(!table.find(Id)->rateStatement.perSecond.has_value());
}

BOOST_FIXTURE_TEST_CASE(of_the_new_process_stays_if_its_entry_is_read_later, RestartedServer)
{
    table.find(Id)->recordConnectionLoss(Start + 1s);
    BOOST_TEST(table.recordRequestRate(Id, {Start + 1500ms, Start + 1600ms}, 2.0, Start + 1700ms));
    readNewEntry();
    BOOST_TEST(table.find(Id)->rateStatement.perSecond.value_or(0) == 2.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
