#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "fakes/scripted_server.h"
#include "platform/records.h"
#include "platform/store_client.h"

using namespace apricotarch;
using namespace std::chrono_literals;
using fakes::ScriptedAnswer;
using fakes::ScriptedServer;

namespace
{

/// A server's entry as base64, {"service":"desk","address":"10.0.0.1:80","zone":"z","version":"1","slots":6,"state":"ready",
/// "coldRemainingMs":0,"sequence":1}.
const std::string SoundValue =
    "eyJzZXJ2aWNlIjoiZGVzayIsImFkZHJlc3MiOiIxMC4wLjAuMTo4MCIsInpvbmUiOiJ6IiwidmVyc2lvbiI6IjEiLCJzbG90cyI6Niwic3Rh"
    "dGUiOiJyZWFkeSIsImNvbGRSZW1haW5pbmdNcyI6MCwic2VxdWVuY2UiOjF9";

std::string soundRow(const std::string &key)
{
    return R"({"table":"servers","part":"","key":")" + key + R"(","rowVersion":7,"value":")" + SoundValue + R"("})";
}

std::string page(const std::string &rows, bool truncated = false)
{
    return R"({"rowVersion":9,"nowMs":1,"truncated":)" + std::string(truncated ? "true" : "false") + R"(,"rows":[)" + rows + "]}";
}

std::string jsonResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A store on loopback that answers with one page after another.
class TestStore
{
public:
    explicit TestStore(std::deque<std::string> pages)
        : m_pages(std::move(pages))
        , m_server(m_loop,
              [this](const RequestHead &, const std::string &) {
                  const std::string body = m_pages.front();
                  if (m_pages.size() > 1) {
                      m_pages.pop_front();
                  }
                  return ScriptedAnswer{jsonResponse(body)};
              })
        , m_client(m_server.endpoint(), 2s)
    {
    }

    Result<RowBatch> readTable()
    {
        return run(m_client.readTable("servers"));
    }

    Result<RowBatch> readChanges(StorePosition after)
    {
        return run(m_client.readChanges("servers", after, 0s));
    }

    Result<std::optional<Row>> read(const std::string &key)
    {
        return run(m_client.read({"leases", key}));
    }

    [[nodiscard]] const std::vector<std::string> &targets() const
    {
        return m_server.targets;
    }

private:
    template<typename T>
    T run(asio::awaitable<T> call)
    {
        std::optional<T> result;
        const auto runCall = [](asio::awaitable<T> pending, std::optional<T> &output) -> asio::awaitable<void> {
            output = co_await std::move(pending);
        };
        boost::asio::co_spawn(m_loop, runCall(std::move(call), result), boost::asio::detached);
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (!result && std::chrono::steady_clock::now() < deadline) {
            m_loop.run_one_for(50ms);
        }
        return result ? std::move(*result) : T(fail(ErrorId::TimedOut, "test", "", "the call has not ended"));
    }

    boost::asio::io_context m_loop;
    std::deque<std::string> m_pages;
    ScriptedServer m_server;
    platform::StoreClient m_client;
};

/// Returns the row with a key; nullptr if there is none.
const StoredRow *findRow(const RowBatch &batch, const std::string &key)
{
    const auto found = std::find_if(batch.rows.begin(), batch.rows.end(), [&key](const StoredRow &row) {
        return row.key == key;
    });
    return found == batch.rows.end() ? nullptr : &*found;
}

/// Whether a batch has a row from which a server can be used.
bool namesServer(const RowBatch &batch, const std::string &key)
{
    const StoredRow *row = findRow(batch, key);
    return row != nullptr && !row->removed && platform::decodeBackendRecord(row->key, row->text).has_value();
}

const std::vector<std::string> OddRows = {
    R"({"table":"servers","part":"","key":"i-odd","rowVersion":8,"value":"no base64!"})",
    R"({"table":"servers","part":"","key":"i-odd","rowVersion":8,"value":"AAA"})",
    R"({"table":"servers","part":"","key":"i-odd","rowVersion":8,"value":"===="})",
    R"({"table":"servers","part":"","key":"i-odd","rowVersion":8,"value":""})",
    R"({"table":"servers","part":"","key":"i-odd","rowVersion":8,"value":17})",
    R"({"table":"servers","part":"","key":"i-odd","rowVersion":8})",
    R"({"table":"servers","part":"","key":"i-odd","rowVersion":8,"value":{"a":[[[[1]]]]}})",
    R"({"table":"servers","part":"","key":"i-odd","rowVersion":18446744073709551615,"value":"AAAA"})",
    R"({"table":"servers","part":"","key":"i-odd","rowVersion":1e300,"value":"AAAA"})",
    R"({"table":"servers","part":"","key":"i-odd","rowVersion":9223372036854775807,"value":"AAAA"})",
    R"({"table":"servers","part":"","key":"i-odd","rowVersion":-5,"value":"AAAA"})",
    R"({"table":"servers","part":"","key":"i-odd","rowVersion":8,"removed":"perhaps","value":"AAAA"})",
    R"({"table":"servers","part":"","key":"i-odd","rowVersion":8,"value":)" + std::string(200, '[') + std::string(200, ']') + '}',
    "{\"table\":\"servers\",\"part\":\"\",\"key\":\"i-odd\xff\",\"rowVersion\":8,\"value\":\"AAAA\"}",
    R"({"table":"servers","part":"","key":["i-odd"],"rowVersion":8,"value":"AAAA"})",
    R"({"table":"servers","part":"","rowVersion":8,"value":"AAAA"})",
    R"("i-odd")",
    "null",
    "[]",
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_client)

BOOST_AUTO_TEST_SUITE(one_odd_row_of_another_writer)

BOOST_AUTO_TEST_CASE(costs_only_itself_in_a_table)
{
    // The whole table was unreadable, and a node that had just started never became ready.
    for (const std::string &odd : OddRows) {
        TestStore store({page(soundRow("i-1") + ',' + odd + ',' + soundRow("i-2"))});
        const Result<RowBatch> batch = store.readTable();
        BOOST_TEST_CONTEXT(odd)
        {
            BOOST_REQUIRE(batch.has_value());
            BOOST_TEST(namesServer(*batch, "i-1"));
            BOOST_TEST(namesServer(*batch, "i-2"));
            BOOST_TEST(!namesServer(*batch, "i-odd"));
        }
    }
}

BOOST_AUTO_TEST_CASE(costs_only_itself_among_changes)
{
    // The same changes were read again and again, and no later change was seen.
    for (const std::string &odd : OddRows) {
        TestStore store({page(odd + ',' + soundRow("i-2"))});
        const Result<RowBatch> batch = store.readChanges(StorePosition(5));
        BOOST_TEST_CONTEXT(odd)
        {
            BOOST_REQUIRE(batch.has_value());
            BOOST_TEST(batch->version == StorePosition(9));
            BOOST_TEST(namesServer(*batch, "i-2"));
            BOOST_TEST(!namesServer(*batch, "i-odd"));
        }
    }
}

BOOST_AUTO_TEST_CASE(is_reported_with_its_key_so_that_its_server_is_no_longer_used)
{
    TestStore store({page(OddRows.front())});
    const Result<RowBatch> batch = store.readChanges(StorePosition(5));
    BOOST_REQUIRE(batch.has_value());
    const StoredRow *row = findRow(*batch, "i-odd");
    BOOST_REQUIRE(row != nullptr);
    BOOST_TEST(row->version == StorePosition(8));
    BOOST_TEST(!row->removed);
}

BOOST_AUTO_TEST_CASE(is_an_error_where_only_that_row_is_read)
{
    // A lease whose row cannot be read must not look like a lease without a holder.
    TestStore store({page(OddRows.front())});
    BOOST_TEST(!store.read("i-odd").has_value());
}

BOOST_AUTO_TEST_CASE(is_one_of_hundreds_of_random_ones)
{
    std::mt19937 random(20261205);
    const auto pick = [&random](std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    };
    const boost::json::array oddValues = {nullptr,
        true,
        -1,
        1e300,
        18446744073709551615ULL,
        "",
        "\xff\xfe",
        "AAAA",
        std::string(100'000, 'A'),
        std::string("\0\r\n", 3),
        boost::json::array{1},
        boost::json::object{{"key", "i-1"}}};
    for (int repetition = 0; repetition < 300; ++repetition) {
        boost::json::object odd{{"table", "servers"}, {"part", ""}, {"key", "i-odd"}, {"rowVersion", 8}, {"value", SoundValue}};
        for (std::size_t change = 0; change <= pick(3); ++change) {
            static const std::vector<const char *> Fields = {"key", "rowVersion", "value", "removed"};
            odd[Fields[pick(Fields.size())]] = oddValues[pick(oddValues.size())];
        }
        const std::string text = boost::json::serialize(odd);
        TestStore store({page(soundRow("i-1") + ',' + text + ',' + soundRow("i-2"))});
        const Result<RowBatch> batch = store.readTable();
        BOOST_TEST_CONTEXT(text.substr(0, 500))
        {
            BOOST_REQUIRE(batch.has_value());
            BOOST_TEST(namesServer(*batch, "i-1"));
            BOOST_TEST(namesServer(*batch, "i-2"));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_table_of_several_pages)

BOOST_AUTO_TEST_CASE(is_read_on_after_the_last_key_whatever_bytes_it_has)
{
    TestStore store({page(soundRow("i-1") + ',' + soundRow("i&limit=1 #%\\r\\n"), true), page(soundRow("i-2"))});
    const Result<RowBatch> batch = store.readTable();
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(batch->rows.size() == 3U);
    BOOST_REQUIRE(store.targets().size() == 2U);
    BOOST_TEST(store.targets()[1].ends_with("&from=i%26limit%3D1%20%23%25%0D%0A%00"));
}

BOOST_AUTO_TEST_CASE(is_not_read_for_ever_if_a_page_does_not_lead_on)
{
    for (const std::string &rows : {std::string(), std::string("null"), soundRow("i-0")}) {
        TestStore store({page(soundRow("i-1"), true), page(rows, true)});
        BOOST_TEST(!store.readTable().has_value());
        BOOST_TEST(store.targets().size() == 2U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
