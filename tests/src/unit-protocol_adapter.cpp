#include <set>

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/test/unit_test.hpp>

#include "apricotarch/transport/event_splitter.h"
#include "apricotarch/transport/message_parser.h"
#include "platform/protocol_adapter.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

HttpHeaders requestHeaders()
{
    return {{"Host", "Desk.example:80"},
        {"X-Request-Id", "9c41"},
        {"X-Deadline-Ms", "8000"},
        {"X-Model", "m"},
        {"X-Token-Counts", "1460,80"},
        {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
        {"X-Length-Hint", "30"},
        {"Last-Event-Id", "12"},
        {"Connection", "keep-alive, X-Private"},
        {"X-Private", "1"}};
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/// Feeds a text to a parser, @p step bytes at a time. @return number of bytes consumed
Result<std::size_t> feedInSteps(RequestParser &parser, std::string_view text, std::size_t step)
{
    std::string unparsed;
    std::size_t used = 0;
    for (std::size_t at = 0; at < text.size() && !parser.isComplete(); at += step) {
        unparsed += text.substr(at, step);
        const Result<std::size_t> consumed = parser.parse(unparsed);
        if (!consumed) {
            return consumed;
        }
        unparsed.erase(0, *consumed);
        used += *consumed;
    }
    return used;
}

} // namespace

BOOST_AUTO_TEST_SUITE(protocol_adapter)

BOOST_AUTO_TEST_SUITE(a_callers_request)

BOOST_AUTO_TEST_CASE(is_decoded_from_its_headers)
{
    const Result<CallerRequest> request = platform::ProtocolAdapter().decodeRequest("POST", "/plans/1?x=/y/", requestHeaders());
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(request->host == "desk.example");
    BOOST_TEST(request->path == "/plans/1");
    BOOST_TEST((request->timeLimit == 8000ms));
    BOOST_TEST(request->lastEventId.value() == 12U);
    BOOST_REQUIRE(request->prompt.has_value());
    BOOST_TEST(request->prompt->promptTokens == 1460);
    BOOST_TEST(request->prompt->maxOutputTokens == 80);
    BOOST_REQUIRE(request->prompt->parts.size() == 3U);
    BOOST_TEST(request->prompt->parts[1].id == 0x91bd3f06U);
    BOOST_TEST(request->prompt->parts[1].tokens == 410);
}

BOOST_AUTO_TEST_CASE(is_invalid_without_exactly_one_host_and_a_path_as_target)
{
    BOOST_TEST(!platform::ProtocolAdapter().decodeRequest("GET", "/a/", {}).has_value());
    BOOST_TEST(!platform::ProtocolAdapter().decodeRequest("GET", "/a/", {{"Host", "a"}, {"host", "b"}}).has_value());
    BOOST_TEST(!platform::ProtocolAdapter().decodeRequest("GET", "http://a/b/", {{"Host", "a"}}).has_value());
}

BOOST_AUTO_TEST_CASE(keeps_its_meaning_with_numbers_that_are_too_large)
{
    // A time limit of 2^63 - 1 ms had already passed when the request arrived.
    const platform::ProtocolAdapter protocolAdapter;
    const HttpHeaders headers = {{"Host", "a"},
        {"X-Deadline-Ms", "9223372036854775807"},
        {"X-Model", "m"},
        {"X-Token-Counts", "9223372036854775807,-80"},
        {"X-Prompt-Prefix", "a1:100,b2:9223372036854775807,c3:5"}};
    const Result<CallerRequest> request = protocolAdapter.decodeRequest("POST", "/a/", headers);
    BOOST_REQUIRE(request.has_value());
    BOOST_REQUIRE(request->timeLimit.has_value());
    BOOST_TEST((TimePoint(1h) + *request->timeLimit > TimePoint(24h)));
    BOOST_TEST(request->prompt->promptTokens > 0);
    BOOST_TEST(request->prompt->promptTokens <= std::int64_t(1) << 40);
    BOOST_TEST(request->prompt->maxOutputTokens == 0);
    BOOST_TEST(request->prompt->parts.size() == 1U);
    const HttpHeaders negative = {{"Host", "a"}, {"X-Model", "m"}, {"X-Prompt-Prefix", "a1:100,b2:-5,c3:5"}};
    BOOST_TEST(protocolAdapter.decodeRequest("POST", "/a/", negative)->prompt->parts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(has_all_its_prompt_parts_whatever_the_length_of_their_ids)
{
    // With ids of more than 16 digits the prompt had no parts, so that a part which crashed engines was never found.
    const platform::ProtocolAdapter protocolAdapter;
    const auto ids = [&protocolAdapter](const std::string &list) {
        const HttpHeaders headers = {{"Host", "a"}, {"X-Model", "m"}, {"X-Prompt-Prefix", list}};
        const Result<CallerRequest> request = protocolAdapter.decodeRequest("POST", "/a/", headers);
        BOOST_TEST(request->prompt->malformedPart.empty(), list);
        std::vector<std::uint64_t> ids;
        for (const PromptPart &part : request->prompt->parts) {
            ids.push_back(part.id);
        }
        return ids;
    };
    const std::string digest = "9f86d081884c7d659a2feaa0c55ad015";
    const std::string longest(1000, 'f');
    const std::vector<std::uint64_t> parts = ids(digest + ":1," + digest + "0:2," + digest.substr(16) + ":3," + longest + ":4,5c1e07a2:5");
    BOOST_TEST(std::set<std::uint64_t>(parts.begin(), parts.end()).size() == 5U);
    BOOST_TEST(parts.back() == 0x5c1e07a2U);
    BOOST_TEST(ids(boost::algorithm::to_upper_copy(digest) + ":1,000" + digest + ":1") == std::vector(2, parts.front()));
    BOOST_TEST(ids("A1:1,0a1:1,0000000000000000000a1:1") == std::vector<std::uint64_t>(3, 0xa1));
    BOOST_TEST(ids("0:1,000:1") == std::vector<std::uint64_t>(2, 0));
}

BOOST_AUTO_TEST_CASE(names_the_prompt_part_that_cannot_be_read)
{
    // The parts after it were left out without a trace.
    for (const char *malformed : {"zz:3", ":3", "b2", "b2:", "b2:-5", "b2:9223372036854775808", "0xb2:3", "b2 :3"}) {
        const HttpHeaders headers = {{"Host", "a"}, {"X-Model", "m"}, {"X-Prompt-Prefix", std::string("a1:100,") + malformed + ",c3:5"}};
        const Result<CallerRequest> request = platform::ProtocolAdapter().decodeRequest("POST", "/a/", headers);
        BOOST_TEST(request->prompt->parts.size() == 1U, malformed);
        BOOST_TEST(request->prompt->malformedPart == malformed);
    }
}

BOOST_AUTO_TEST_CASE(has_all_its_prompt_parts_however_their_list_is_divided)
{
    // Only the first line of the list was read, up to the first empty element.
    const HttpHeaders headers = {{"Host", "a"},
        {"X-Model", "m"},
        {"X-Token-Counts", "1460"},
        {"X-Token-Counts", "80"},
        {"X-Prompt-Prefix", "a1:100,,b2:200"},
        {"X-Length-Hint", "30"},
        {"x-prompt-prefix", " c3:300\t, ,"},
        {"X-Prompt-Prefix", ""},
        {"X-Prompt-Prefix", "d4:400"}};
    const Result<CallerRequest> request = platform::ProtocolAdapter().decodeRequest("POST", "/a/", headers);
    const std::vector<PromptPart> expected = {{0xa1, 100}, {0xb2, 200}, {0xc3, 300}, {0xd4, 400}};
    BOOST_TEST((request->prompt->parts == expected));
    BOOST_TEST((request->promptParts == expected));
    BOOST_TEST(request->prompt->promptTokens == 1460);
    BOOST_TEST(request->prompt->maxOutputTokens == 80);
    BOOST_TEST(request->prompt->malformedPart.empty());
}

BOOST_AUTO_TEST_CASE(keeps_the_prompt_parts_beside_one_that_cannot_be_read)
{
    // KV memory is shared by prefix only, but any part may crash engines, and the last one in the list is the request's own.
    const platform::ProtocolAdapter protocolAdapter;
    const auto decode = [&protocolAdapter](const std::string &list) {
        const Result<CallerRequest> request = protocolAdapter.decodeRequest("POST", "/a/", {{"Host", "a"}, {"X-Prompt-Prefix", list}});
        return request->promptParts;
    };
    const std::vector<PromptPart> parts = decode("a1:100,zz:1,b2:many,c3:300");
    BOOST_REQUIRE(parts.size() == 4U);
    BOOST_TEST(parts[0].id == 0xa1U);
    BOOST_TEST((parts[1] == PromptPart{decode("ZZ:7").front().id, 0}));
    BOOST_TEST(parts[1].id != decode("zy:1").front().id);
    BOOST_TEST((parts[2] == PromptPart{0xb2, 0}));
    BOOST_TEST((parts[3] == PromptPart{0xc3, 300}));
}

BOOST_AUTO_TEST_CASE(is_invalid_with_more_than_one_id)
{
    const HttpHeaders headers = {{"Host", "a"}, {"X-Request-Id", "r1"}, {"x-request-id", "r2"}};
    BOOST_TEST(!platform::ProtocolAdapter().decodeRequest("GET", "/a/", headers).has_value());
}

BOOST_AUTO_TEST_CASE(is_invalid_if_a_header_that_may_occur_once_has_two_values)
{
    // The first value counted, and backend servers got both: a stream could go on after another event than the caller had asked for.
    const platform::ProtocolAdapter protocolAdapter;
    for (const auto &[name, first, second] : {std::tuple("X-Deadline-Ms", "8000", "80"),
             std::tuple("Last-Event-Id", "12", "13"),
             std::tuple("Resumes", "r1", "r2"),
             std::tuple("X-Model", "m", "n")}) {
        const Result<CallerRequest> conflicting = protocolAdapter.decodeRequest(
            "POST", "/a/", {{"Host", "a"}, {name, first}, {boost::algorithm::to_lower_copy(std::string(name)), second}});
        BOOST_REQUIRE(!conflicting.has_value());
        BOOST_TEST(conflicting.error().detail.find(name) != std::string::npos);
        BOOST_TEST(protocolAdapter.decodeRequest("POST", "/a/", {{"Host", "a"}, {name, first}, {name, first}}).has_value());
    }
}

BOOST_AUTO_TEST_CASE(is_forwarded_unchanged_except_for_hop_by_hop_and_reserved_headers)
{
    HttpHeaders headers = requestHeaders();
    for (const char *name : {"X-Kv-Source", "X-Kv-Hold", "X-Kv-Backup", "X-Pin-Ms", "X-Stage", "Kv-Fetch", "x-expect-instance"}) {
        headers.add(name, "forged");
    }
    const platform::ProtocolAdapter protocolAdapter;
    Result<CallerRequest> request = protocolAdapter.decodeRequest("POST", "/plans/1", headers);
    request->body = "four";
    AttemptOptions options;
    options.replica = ReplicaId("i-7");
    options.remainingTime = 7900ms;
    options.kvSource = KvLocation{{"10.1.64.9", 8080}, "3fa0"};
    const std::string message = protocolAdapter.encodeRequest(*request, options);
    BOOST_TEST(message.starts_with("POST /plans/1 HTTP/1.1\r\n"));
    BOOST_TEST(message.ends_with("\r\n\r\nfour"));
    for (const char *line : {"Host: Desk.example:80\r\n",
             "X-Request-Id: 9c41\r\n",
             "X-Model: m\r\n",
             "X-Length-Hint: 30\r\n",
             "Last-Event-Id: 12\r\n",
             "X-Deadline-Ms: 7900\r\n",
             "X-Expect-Instance: i-7\r\n",
             "X-Kv-Source: 10.1.64.9:8080/3fa0\r\n",
             "Content-Length: 4\r\n",
             "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"}) {
        BOOST_TEST(contains(message, line), line);
    }
    for (const char *absent : {"forged", "X-Private", "Connection:", "X-Deadline-Ms: 8000"}) {
        BOOST_TEST(!contains(message, absent), absent);
    }
    options.kvFetchSource = Endpoint{"10.1.64.3", 8080};
    BOOST_TEST(contains(protocolAdapter.encodeRequest(*request, options), "Kv-Fetch: 10.1.64.3:8080\r\n"));
    options.lastEventId = 15;
    BOOST_TEST(contains(protocolAdapter.encodeRequest(*request, options), "Last-Event-Id: 15\r\n"));
    BOOST_TEST(!contains(protocolAdapter.encodeRequest(*request, options), "Last-Event-Id: 12\r\n"));
}

BOOST_AUTO_TEST_CASE(and_an_answer_lose_the_headers_that_any_connection_header_names)
{
    // Names in a second Connection header were forwarded.
    const platform::ProtocolAdapter protocolAdapter;
    const HttpHeaders headers = {{"Host", "a"},
        {"Connection", "keep-alive"},
        {"X-First", "1"},
        {"connection", ", X-First,\tx-second"},
        {"X-Second", "2"},
        {"X-Third", "3"}};
    const Result<CallerRequest> request = protocolAdapter.decodeRequest("GET", "/a/", headers);
    const std::string message = protocolAdapter.encodeRequest(*request, {});
    BOOST_TEST(!contains(message, "X-First"));
    BOOST_TEST(!contains(message, "X-Second"));
    BOOST_TEST(contains(message, "X-Third: 3\r\n"));
    const BackendAnswer answer = protocolAdapter.decodeAnswer(200, "OK", headers);
    BOOST_TEST(answer.forwardedHeaders.value("X-First").empty());
    BOOST_TEST(answer.forwardedHeaders.value("X-Second").empty());
    BOOST_TEST(answer.forwardedHeaders.value("X-Third") == "3");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_receipt_whose_handle_would_add_headers_is_invalid)
{
    // The handle is sent to the decode engine in a header, and with it whatever the prefill engine put after a line's end.
    const platform::ProtocolAdapter protocolAdapter;
    BOOST_TEST(protocolAdapter.decodePrefill(R"({"kvHandle":"3fa09c41b7d5","tokens":1460,"version":1})", "e").has_value());
    for (const char *handle : {R"("a\r\nX-Stage: prefill")", R"("a b")", R"("a\u0000")", R"("")", R"("\u00e9")", "17", "null"}) {
        const std::string body = R"({"tokens":1460,"version":1,"kvHandle":)" + std::string(handle) + '}';
        BOOST_TEST(!protocolAdapter.decodePrefill(body, "e").has_value());
    }
}

BOOST_AUTO_TEST_CASE(an_answer_is_not_executed_only_if_it_states_so)
{
    const platform::ProtocolAdapter protocolAdapter;
    BOOST_TEST(protocolAdapter.decodeAnswer(503, "", {{"X-Not-Executed", "1"}}).notExecuted);
    BOOST_TEST(protocolAdapter.decodeAnswer(421, "", {}).notExecuted);
    BOOST_TEST(!protocolAdapter.decodeAnswer(503, "", {}).notExecuted);
    BOOST_TEST(!protocolAdapter.decodeAnswer(504, "", {}).notExecuted);
}

BOOST_AUTO_TEST_SUITE(what_a_server_states_about_itself)

BOOST_AUTO_TEST_CASE(in_any_answer_is_that_it_is_shutting_down)
{
    const platform::ProtocolAdapter protocolAdapter;
    for (const int status : {200, 421, 500, 503}) {
        BOOST_TEST(protocolAdapter.decodeAnswer(status, "", {{"Server-Leaving", "1"}}).serverIsShuttingDown);
        BOOST_TEST(!protocolAdapter.decodeAnswer(status, "", {{"Server-Leaving", "0"}}).serverIsShuttingDown);
        BOOST_TEST(!protocolAdapter.decodeAnswer(status, "", {{"Connection", "close"}}).serverIsShuttingDown);
    }
}

BOOST_AUTO_TEST_CASE(is_for_this_system_and_its_other_headers_are_for_the_caller)
{
    const BackendAnswer answer = platform::ProtocolAdapter().decodeAnswer(
        503, "", {{"Server-Leaving", "1"}, {"Retry-After", "2.5"}, {"X-Response-Seal", "s"}, {"X-Weight-Versions", "3"}});
    BOOST_TEST(answer.forwardedHeaders.value("Server-Leaving").empty());
    BOOST_TEST(answer.forwardedHeaders.value("Retry-After") == "2.5");
    BOOST_TEST(answer.forwardedHeaders.value("X-Response-Seal") == "s");
    BOOST_TEST(answer.forwardedHeaders.value("X-Weight-Versions") == "3");
}

BOOST_AUTO_TEST_CASE(in_any_answer_is_how_many_requests_per_second_it_takes)
{
    const platform::ProtocolAdapter protocolAdapter;
    for (const int status : {200, 500, 503}) {
        const BackendAnswer answer = protocolAdapter.decodeAnswer(status, "", {{"Server-Limit", "3.3"}});
        BOOST_TEST(answer.requestRateLimit.value_or(-1) == 3.3);
        BOOST_TEST(answer.forwardedHeaders.value("Server-Limit").empty());
    }
    BOOST_TEST(protocolAdapter.decodeAnswer(200, "", {{"Server-Limit", "0"}}).requestRateLimit.value_or(-1) == 0);
    BOOST_TEST(!protocolAdapter.decodeAnswer(200, "", {}).requestRateLimit.has_value());
    for (const char *value : {"-1", "many", "3.3 ", "inf", "nan", "1e400"}) {
        const BackendAnswer answer = protocolAdapter.decodeAnswer(200, "", {{"Server-Limit", value}});
        BOOST_TEST(!answer.requestRateLimit.has_value());
        BOOST_TEST(answer.invalidRequestRate == value);
    }
}

BOOST_AUTO_TEST_CASE(with_503_is_how_long_it_declines)
{
    const platform::ProtocolAdapter protocolAdapter;
    const auto declinesFor = [&protocolAdapter](int status, const char *seconds) {
        return protocolAdapter.decodeAnswer(status, "", {{"Retry-After", seconds}}).serverDeclinesFor;
    };
    BOOST_TEST((declinesFor(503, "2") == 2s));
    BOOST_TEST((declinesFor(503, "0.25") == 250ms));
    BOOST_TEST((declinesFor(503, "0.0001") == 1ms));
    BOOST_TEST((declinesFor(503, "0") == 0ms));
    BOOST_TEST((declinesFor(503, "99999999999999999999999999") == 24h));
    for (const int status : {200, 429, 500}) {
        BOOST_TEST(!declinesFor(status, "2").has_value());
    }
}

BOOST_AUTO_TEST_CASE(is_ignored_and_reported_if_it_is_no_time)
{
    const platform::ProtocolAdapter protocolAdapter;
    for (const char *text : {"soon", "-1", "inf", "nan", "2s", "1e9", "Sat, 05 Dec 2026 10:00:00 GMT"}) {
        const BackendAnswer answer = protocolAdapter.decodeAnswer(503, "", {{"Retry-After", text}});
        BOOST_TEST(!answer.serverDeclinesFor.has_value(), text);
        BOOST_TEST(answer.invalidRetryAfter == text);
    }
    BOOST_TEST(protocolAdapter.decodeAnswer(503, "", {{"Retry-After", "2"}}).invalidRetryAfter.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_stage_order_contains_holder_fencing_token_and_expected_orders)
{
    const StageOrder order{ReplicaId("i-7"), EngineStage::Prefill, NodeId("node-7"), FencingToken(41), 2};
    const std::string message = platform::encodeStageOrder(order, {"10.0.0.9", 8080});
    BOOST_TEST(contains(message, "X-Expect-Instance: i-7\r\n"));
    BOOST_TEST(contains(message, R"({"op":"stage","stage":"prefill","holder":"node-7","fence":41,"expected":2})"));
    const Result<EngineStageReport> report = platform::decodeReport(R"({"stage":"decode","busy":false,"sequence":2})", "e");
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->orders == 2);
    BOOST_TEST(!platform::decodeReport(R"({"stage":"decode"})", "e").has_value());
}

BOOST_AUTO_TEST_SUITE(requests_on_the_wire)

BOOST_AUTO_TEST_CASE(are_parsed_from_fragments_of_any_size)
{
    const std::string text =
        "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\nGET /next/ HTTP/1.1\r\n";
    for (const std::size_t step : {1U, 2U, 7U, 1000U}) {
        RequestParser parser{ReadLimits()};
        const Result<std::size_t> used = feedInSteps(parser, text, step);
        BOOST_REQUIRE(used.has_value());
        BOOST_TEST(parser.isComplete());
        BOOST_TEST(parser.body() == "abcde");
        BOOST_TEST(text.substr(*used).starts_with("GET /next/"));
    }
}

BOOST_AUTO_TEST_CASE(that_allow_request_smuggling_are_malformed)
{
    for (const char *text : {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
             "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
             "POST /a/ HTTP/1.1\r\nHost : h\r\n\r\n",
             "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n"}) {
        RequestParser parser{ReadLimits()};
        BOOST_TEST(!feedInSteps(parser, text, 1000).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(ask_for_an_interim_answer_in_any_element_of_a_list)
{
    for (const char *lines :
        {"Expect: 100-continue\r\n", "Expect: ,100-Continue\r\n", "Expect: other\r\nX-A: 1\r\nexpect: 100-continue\r\n"}) {
        RequestParser parser{ReadLimits()};
        const std::string text = std::string("POST /a/ HTTP/1.1\r\nHost: h\r\n") + lines + "Content-Length: 1\r\n\r\n";
        BOOST_REQUIRE(feedInSteps(parser, text, 1000).has_value());
        BOOST_TEST(parser.head().expectsContinue, lines);
    }
}

BOOST_AUTO_TEST_CASE(beyond_a_size_limit_fail_with_the_step_of_that_limit)
{
    RequestParser longHead{ReadLimits{64, 100}};
    const auto head = feedInSteps(longHead, "GET / HTTP/1.1\r\nHost: " + std::string(200, 'h') + "\r\n\r\n", 1000);
    BOOST_REQUIRE(!head.has_value());
    BOOST_TEST(head.error().step == "request.header");
    RequestParser longBody{ReadLimits{1000, 100}};
    const auto body = feedInSteps(longBody, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 1000);
    BOOST_REQUIRE(!body.has_value());
    BOOST_TEST(body.error().step == "request.body");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(streams)

BOOST_AUTO_TEST_CASE(are_returned_in_complete_events)
{
    EventSplitter splitter;
    BOOST_TEST(splitter.append("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    BOOST_TEST(!splitter.isBetweenEvents());
    BOOST_TEST(splitter.append("ta: b\n") == "");
    BOOST_TEST(splitter.append("\nid: 3\r\ndata: c\r\n\r\n") == "id: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n");
    BOOST_TEST(splitter.isBetweenEvents());
    BOOST_TEST(splitter.lastId().value() == 3U);
    BOOST_TEST(splitter.count() == 3U);
}

BOOST_AUTO_TEST_CASE(may_have_fields_of_the_platform_and_comments)
{
    EventSplitter splitter(platform::ProtocolAdapter().eventFields());
    const std::string events = "x-weight-versions: 7\nid: 1\ndata: a\n\n: comment\n\nevent: e\nretry: 3\ndata\nid:2\n\n";
    BOOST_TEST(splitter.append(events) == events);
    BOOST_TEST(!splitter.fault().has_value());
    BOOST_TEST(splitter.lastId().value() == 2U);
}

BOOST_AUTO_TEST_CASE(end_with_the_first_bytes_that_are_no_event)
{
    for (const char *bytes : {"HTTP/1.1 503 Full\r\n\r\n",
             "{\"error\":1}\n\n",
             "id: 2\nContent-Length: 3\n\n",
             "id: 2\ndata: a\nid: 3\ndata: b\n\n",
             "X-Weight-Versions: 7\n\n"}) {
        EventSplitter splitter(platform::ProtocolAdapter().eventFields());
        BOOST_TEST(splitter.append("id: 1\ndata: a\n\n" + std::string(bytes) + "id: 4\n\n") == "id: 1\ndata: a\n\n");
        BOOST_TEST(splitter.fault().has_value());
        BOOST_TEST(splitter.append("id: 5\n\n").empty());
    }
}

BOOST_AUTO_TEST_CASE(that_are_resumed_may_leave_gaps_between_ids_only_if_the_ids_did_before)
{
    EventSplitter consecutive;
    (void)consecutive.append("id: 4\n\nid: 5\n\n");
    consecutive.startStream();
    BOOST_TEST(consecutive.append("id: 7\n\n").empty());
    BOOST_TEST(consecutive.fault().has_value());
    EventSplitter sparse;
    (void)sparse.append("id: 4\n\nid: 8\n\n");
    sparse.startStream();
    BOOST_TEST(sparse.append("id: 12\n\n") == "id: 12\n\n");
    BOOST_TEST(!sparse.fault().has_value());
}

BOOST_AUTO_TEST_CASE(that_are_resumed_return_no_repeated_and_no_incomplete_event)
{
    EventSplitter splitter;
    (void)splitter.append("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    splitter.startStream();
    BOOST_TEST(splitter.append("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
