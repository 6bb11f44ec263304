#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "fakes/scripted_server.h"
#include "platform/store_client.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

/// An answer of the store. @param incarnation value of its header; none if it is empty
std::string answerOf(int status, const std::string &incarnation, const std::string &body)
{
    std::string answer = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    if (!incarnation.empty()) {
        answer += "Store-Era: " + incarnation + "\r\n";
    }
    return answer + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A client of a store whose next answers are defined by the test.
struct StoreFixture
{
    template<typename T>
    T run(asio::awaitable<T> work)
    {
        std::optional<T> value;
        const auto storeResult = [&]() -> asio::awaitable<void> {
            value.emplace(co_await std::move(work));
        };
        asio::co_spawn(loop, storeResult(), asio::detached);
        while (!value) {
            loop.run_one_for(5s);
        }
        return std::move(*value);
    }

    boost::asio::io_context loop;
    std::string answer;
    fakes::ScriptedServer server{loop, [this](const RequestHead &, const std::string &) {
                                     return fakes::ScriptedAnswer{answer};
                                 }};
    platform::StoreClient store{server.endpoint(), 2s};
};

constexpr const char *OneRow =
    R"({"rowVersion":25,"nowMs":1,"rows":[{"table":"op","part":"","key":"config","value":"OQ==","rowVersion":20}]})";
constexpr const char *NoRow = R"({"rowVersion":26,"nowMs":1,"rows":[]})";

StorePosition at(std::int64_t incarnation, std::int64_t version)
{
    return {StoreIncarnation(incarnation), RowVersion(version)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_incarnation)

BOOST_AUTO_TEST_CASE(reports_positions_of_the_incarnation_that_has_answered)
{
    StoreFixture fixture;
    fixture.answer = answerOf(200, "", OneRow);
    Result<RowBatch> batch = fixture.run(fixture.store.readTable("op"));
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(batch->version == at(0, 25));
    fixture.answer = answerOf(200, "3", OneRow);
    batch = fixture.run(fixture.store.readTable("op"));
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(batch->version == at(3, 25));
    BOOST_TEST(batch->rows.front().version == at(3, 20));
    BOOST_TEST(fixture.store.incarnation().value() == 3);
}

BOOST_AUTO_TEST_CASE(learns_of_a_restore_from_a_refusal)
{
    StoreFixture fixture;
    fixture.answer = answerOf(410, "1", "{}");
    const Result<RowBatch> batch = fixture.run(fixture.store.readChanges("op", at(0, 30), 0ms));
    BOOST_REQUIRE(!batch.has_value());
    BOOST_TEST((batch.error().id == ErrorId::HistoryDropped));
    BOOST_TEST(fixture.store.incarnation().value() == 1);
}

BOOST_AUTO_TEST_CASE(does_not_continue_reading_changes_in_another_incarnation)
{
    // The restored store had passed the version from which reading continued, and the changes up to it were never read.
    StoreFixture fixture;
    fixture.answer = answerOf(200, "1", NoRow);
    const Result<RowBatch> batch = fixture.run(fixture.store.readChanges("op", at(0, 24), 0ms));
    BOOST_REQUIRE(!batch.has_value());
    BOOST_TEST((batch.error().id == ErrorId::HistoryDropped));
    BOOST_TEST(fixture.run(fixture.store.readChanges("op", at(1, 24), 0ms)).has_value());
}

BOOST_AUTO_TEST_CASE(discards_an_answer_of_an_earlier_incarnation)
{
    StoreFixture fixture;
    fixture.answer = answerOf(200, "2", OneRow);
    BOOST_REQUIRE(fixture.run(fixture.store.readTable("op")).has_value());
    fixture.answer = answerOf(200, "1", OneRow);
    BOOST_TEST(!fixture.run(fixture.store.readTable("op")).has_value());
    fixture.answer = answerOf(200, "two", OneRow);
    BOOST_TEST(!fixture.run(fixture.store.readTable("op")).has_value());
    // A refusal without the header says nothing of the incarnation.
    fixture.answer = answerOf(503, "", "{}");
    BOOST_TEST((fixture.run(fixture.store.readTable("op")).error().id == ErrorId::StoreUnavailable));
    BOOST_TEST(fixture.store.incarnation().value() == 2);
}

BOOST_AUTO_TEST_CASE(does_not_send_a_write_that_expects_a_position_before_the_restore)
{
    StoreFixture fixture;
    fixture.answer = answerOf(200, "1", OneRow);
    BOOST_REQUIRE(fixture.run(fixture.store.readTable("op")).has_value());
    const std::size_t calls = fixture.server.targets.size();
    const RowKey key{"lease", "stages"};
    const Result<StorePosition> outdated = fixture.run(fixture.store.write({key, at(0, 25), "text", std::nullopt}));
    BOOST_REQUIRE(!outdated.has_value());
    BOOST_TEST((outdated.error().id == ErrorId::Conflict));
    BOOST_TEST(fixture.server.targets.size() == calls);
    fixture.answer = answerOf(200, "1", R"({"rowVersion":26,"nowMs":1})");
    const Result<StorePosition> written = fixture.run(fixture.store.write({key, at(1, 25), "text", std::nullopt}));
    BOOST_REQUIRE(written.has_value());
    BOOST_TEST(*written == at(1, 26));
}

BOOST_AUTO_TEST_SUITE_END()
