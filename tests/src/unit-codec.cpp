#include <boost/test/unit_test.hpp>

#include <random>

#include "apricotarch/app/operator_client.h"
#include "apricotarch/base/hash.h"
#include "apricotarch/protocol/completion.h"
#include "apricotarch/protocol/engine_codec.h"
#include "apricotarch/protocol/event_stream.h"
#include "apricotarch/protocol/peer_codec.h"
#include "apricotarch/protocol/problem.h"
#include "apricotarch/state/row_codec.h"
#include "apricotarch/transport/message_authenticator.h"

using namespace apricotarch;

namespace
{

Heartbeat sampleHeartbeat()
{
    Heartbeat heartbeat;
    heartbeat.node = NodeId("node-1");
    heartbeat.incarnation = Incarnation(5);
    heartbeat.sequence = 9;
    heartbeat.zone = ZoneId("a");
    heartbeat.callerAddress = {"127.0.0.1", 1};
    heartbeat.peerAddress = {"127.0.0.1", 2};
    heartbeat.configuration.epoch = StorePosition(3);
    heartbeat.configuration.offerBase = StorePosition(3);
    heartbeat.outstanding.push_back({ReplicaId("e"), {2, Tokens(30), Tokens(40)}});
    heartbeat.crashRecords.push_back({ContentHash(-7), 2, std::chrono::milliseconds(100)});
    heartbeat.drainingReplicas.emplace_back("e");
    heartbeat.echo = HeartbeatEcho{Incarnation(1), 4};
    return heartbeat;
}

} // namespace

BOOST_AUTO_TEST_SUITE(codec)

BOOST_AUTO_TEST_SUITE(heartbeats)

BOOST_AUTO_TEST_CASE(are_equal_after_encoding_and_decoding)
{
    const Heartbeat heartbeat = sampleHeartbeat();
    const Heartbeat decoded = decodeHeartbeat(encodeHeartbeat(heartbeat), "test").value();
    BOOST_TEST(decoded.node.value() == "node-1");
    BOOST_TEST(decoded.sequence == 9);
    BOOST_TEST((decoded.configuration.offerBase == StorePosition(3)));
    BOOST_TEST(decoded.outstanding[0].outstanding.requests == 2);
    BOOST_TEST((decoded.crashRecords[0].content == ContentHash(-7)));
    BOOST_TEST(decoded.echo->sequence == 4);
    BOOST_TEST(!decoded.storeAge.has_value());
}

// Truncated messages must be rejected. Messages with random changes may be accepted or rejected, but must not crash the decoder.
BOOST_AUTO_TEST_CASE(do_not_crash_the_decoder_when_truncated_or_corrupted)
{
    const std::string bytes = encodeHeartbeat(sampleHeartbeat());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!decodeHeartbeat(std::string_view(bytes).substr(0, length), "test").has_value());
    }
    std::mt19937 random(3);
    for (int iteration = 0; iteration < 5000; ++iteration) {
        std::string corrupted = bytes;
        for (int change = 0; change < 3; ++change) {
            corrupted[random() % corrupted.size()] = static_cast<char>(random());
        }
        (void)decodeHeartbeat(corrupted, "test");
        (void)decodePeerRequest(corrupted, "test");
        (void)decodePeerReply(corrupted, "test");
    }
}

BOOST_AUTO_TEST_CASE(are_verified_only_with_the_key_they_were_authenticated_with)
{
    const MessageAuthenticator sender("a key of the installation");
    const MessageAuthenticator other("another key");
    std::string message = sender.authenticate("beat");
    BOOST_TEST(sender.verify(message, "p").value() == "beat");
    BOOST_TEST(!other.verify(message, "p").has_value());
    message.back() = 'x';
    BOOST_TEST(!sender.verify(message, "p").has_value());
    BOOST_TEST(!sender.verify("short", "p").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(completions)

BOOST_AUTO_TEST_CASE(are_decoded_for_text_and_chat_requests)
{
    const auto text = decodeCompletionRequest(R"({"model":"m","prompt":"p","max_tokens":3,"stream":true})", CompletionStyle::Text);
    BOOST_TEST(text->stream);
    const auto chat = decodeCompletionRequest(R"({"model":"m","messages":[{"role":"user","content":"hi"}]})", CompletionStyle::Chat);
    BOOST_TEST(chat->prompt == "user: hi\n");
}

BOOST_AUTO_TEST_CASE(are_rejected_with_the_name_of_the_invalid_field)
{
    const auto errorOf = [](const char *body) {
        const auto request = decodeCompletionRequest(body, CompletionStyle::Text);
        return request ? std::string() : request.error().detail;
    };
    BOOST_TEST(errorOf("{") != "");
    BOOST_TEST(errorOf("[]") != "");
    BOOST_TEST(errorOf(R"({"model":"m"})").find("prompt") != std::string::npos);
    BOOST_TEST(errorOf(R"({"model":"m","prompt":""})").find("prompt") != std::string::npos);
    BOOST_TEST(errorOf(R"({"model":"m","prompt":"p","max_tokens":0})").find("max_tokens") != std::string::npos);
    BOOST_TEST(errorOf(R"({"model":7,"prompt":"p"})").find("model") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(accept_only_encoded_positions_as_last_event_id)
{
    const StreamPosition position{ReplicaId("e"), Incarnation(3), "s-1", 17};
    BOOST_TEST(decodePosition(encodePosition(position))->offset == 17);
    for (const char *text : {"", "a/b", "a/1/s/x", "a/1/s/-1", "/1/s/1", "a/1/s/1/2", "a/99999999999999999999/s/1"}) {
        BOOST_TEST(!decodePosition(text).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(event_streams)

BOOST_AUTO_TEST_CASE(are_parsed_from_chunks_of_any_size)
{
    const std::string text = ": comment\n\nid: 1\r\ndata: a\r\ndata: b\r\n\r\nevent: error\ndata: c\n\n";
    for (std::size_t size = 1; size < text.size(); ++size) {
        EventStreamReader reader;
        std::vector<ServerSentEvent> events;
        for (std::size_t from = 0; from < text.size(); from += size) {
            BOOST_REQUIRE(reader.feed(std::string_view(text).substr(from, size)).has_value());
            while (auto event = reader.next()) {
                events.push_back(*event);
            }
        }
        BOOST_REQUIRE_EQUAL(events.size(), 2U);
        BOOST_TEST(events[0].data == "a\nb");
        BOOST_TEST(events[1].type == "error");
    }
}

BOOST_AUTO_TEST_CASE(are_rejected_if_an_unfinished_event_exceeds_the_limit)
{
    EventStreamReader reader(10);
    BOOST_TEST(!reader.feed("data: 01234567890123456789").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(rows_are_equal_after_encoding_and_decoding)
{
    const LeaseRow lease{NodeId("n"), Incarnation(1), FencingToken(2), RenewalCounter(3), WriteAttemptId("a")};
    BOOST_TEST((decodeLease(encodeLease(lease)).value() == lease));
    ClaimRow claim;
    claim.state = ClaimState::Done;
    claim.result = {201, "text/plain", "body \"with\" quotes\n"};
    BOOST_TEST((decodeClaim(encodeClaim(claim)).value() == claim));
    const ConfigurationRow row{ConfigurationVersion(1), Digest("d"), {{NodeId("n"), Incarnation(1)}}, WriteAttemptId("a")};
    BOOST_TEST((decodeConfigurationRow(encodeConfigurationRow(row)).value() == row));
    BOOST_TEST(!decodeClaim(R"({"state":"other"})").has_value());
}

BOOST_AUTO_TEST_CASE(keys_are_hashed_with_sha_256)
{
    BOOST_TEST(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    BOOST_TEST(generateUniqueId() != generateUniqueId());
}

BOOST_AUTO_TEST_CASE(problems_state_whether_the_request_was_run)
{
    const std::string text = encodeProblem(toProblem(503, {ErrorId::TimedOut, "step", "peer", "detail", Delivery::MaybeSent}, false));
    BOOST_TEST(text.find("\"not_run\":false") != std::string::npos);
    BOOST_TEST(text.find("\"step\":\"step\"") != std::string::npos);
    BOOST_TEST(toPlainText(R"({"a":{"b":[1]}})") == "a:\n  b:\n    -: 1\n");
}

BOOST_AUTO_TEST_SUITE_END()
