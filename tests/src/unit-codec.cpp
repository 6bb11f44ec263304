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
#include "apricotarch/transport/peer_seal.h"

using namespace apricotarch;

namespace
{

Heartbeat sampleBeat()
{
    Heartbeat beat;
    beat.node = NodeId("node-1");
    beat.incarnation = Incarnation(5);
    beat.sequence = 9;
    beat.zone = ZoneId("a");
    beat.callerAddress = {"127.0.0.1", 1};
    beat.peerAddress = {"127.0.0.1", 2};
    beat.configuration.epoch = RowVersion(3);
    beat.configuration.offerBase = RowVersion(3);
    beat.inFlight.push_back({ReplicaId("e"), {2, Tokens(30), Tokens(40)}});
    beat.crashRecords.push_back({ContentHash(-7), 2, std::chrono::milliseconds(100)});
    beat.drainingReplicas.emplace_back("e");
    beat.echo = BeatEcho{Incarnation(1), 4};
    return beat;
}

} // namespace

BOOST_AUTO_TEST_SUITE(codec)

BOOST_AUTO_TEST_SUITE(beats)

BOOST_AUTO_TEST_CASE(survive_their_codec)
{
    const Heartbeat beat = sampleBeat();
    const Heartbeat read = decodeHeartbeat(encodeHeartbeat(beat), "test").value();
    BOOST_TEST(read.node.value() == "node-1");
    BOOST_TEST(read.sequence == 9);
    BOOST_TEST((read.configuration.offerBase == RowVersion(3)));
    BOOST_TEST(read.inFlight[0].outstanding.requests == 2);
    BOOST_TEST((read.crashRecords[0].content == ContentHash(-7)));
    BOOST_TEST(read.echo->sequence == 4);
    BOOST_TEST(!read.storeAge.has_value());
}

BOOST_AUTO_TEST_CASE(that_are_cut_or_changed_are_refused_or_read_but_never_break_the_reader)
{
    const std::string bytes = encodeHeartbeat(sampleBeat());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!decodeHeartbeat(std::string_view(bytes).substr(0, length), "test").has_value());
    }
    std::mt19937 random(3);
    for (int round = 0; round < 5000; ++round) {
        std::string changed = bytes;
        for (int change = 0; change < 3; ++change) {
            changed[random() % changed.size()] = static_cast<char>(random());
        }
        (void)decodeHeartbeat(changed, "test");
        (void)decodePeerRequest(changed, "test");
        (void)decodePeerReply(changed, "test");
    }
}

BOOST_AUTO_TEST_CASE(are_opened_only_with_the_key_they_were_sealed_with)
{
    const PeerSeal own("a key of the desk");
    const PeerSeal other("another key");
    std::string sealed = own.seal("beat");
    BOOST_TEST(own.open(sealed, "p").value() == "beat");
    BOOST_TEST(!other.open(sealed, "p").has_value());
    sealed.back() = 'x';
    BOOST_TEST(!own.open(sealed, "p").has_value());
    BOOST_TEST(!own.open("short", "p").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(completions)

BOOST_AUTO_TEST_CASE(are_read_in_both_styles)
{
    const auto text = decodeCompletionRequest(R"({"model":"m","prompt":"p","max_tokens":3,"stream":true})", CompletionStyle::Text);
    BOOST_TEST(text->stream);
    const auto chat = decodeCompletionRequest(R"({"model":"m","messages":[{"role":"user","content":"hi"}]})", CompletionStyle::Chat);
    BOOST_TEST(chat->prompt == "user: hi\n");
}

BOOST_AUTO_TEST_CASE(with_faults_are_refused_with_the_field)
{
    const auto refused = [](const char *body) {
        const auto request = decodeCompletionRequest(body, CompletionStyle::Text);
        return request ? std::string() : request.error().detail;
    };
    BOOST_TEST(refused("{") != "");
    BOOST_TEST(refused("[]") != "");
    BOOST_TEST(refused(R"({"model":"m"})").find("prompt") != std::string::npos);
    BOOST_TEST(refused(R"({"model":"m","prompt":""})").find("prompt") != std::string::npos);
    BOOST_TEST(refused(R"({"model":"m","prompt":"p","max_tokens":0})").find("max_tokens") != std::string::npos);
    BOOST_TEST(refused(R"({"model":7,"prompt":"p"})").find("model") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(positions_survive_their_codec_and_nothing_else_is_taken_for_one)
{
    const StreamPosition position{ReplicaId("e"), Incarnation(3), "s-1", 17};
    BOOST_TEST(decodePosition(encodePosition(position))->offset == 17);
    for (const char *text : {"", "a/b", "a/1/s/x", "a/1/s/-1", "/1/s/1", "a/1/s/1/2", "a/99999999999999999999/s/1"}) {
        BOOST_TEST(!decodePosition(text).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(event_streams)

BOOST_AUTO_TEST_CASE(are_read_from_pieces_of_any_size)
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

BOOST_AUTO_TEST_CASE(without_an_end_are_refused_beyond_the_limit)
{
    EventStreamReader reader(10);
    BOOST_TEST(!reader.feed("data: 01234567890123456789").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(rows_survive_their_codec)
{
    const LeaseRow lease{NodeId("n"), Incarnation(1), FencingToken(2), RenewalCounter(3), AttemptId("a")};
    BOOST_TEST((decodeLease(encodeLease(lease)).value() == lease));
    ClaimRow claim;
    claim.state = ClaimState::Done;
    claim.result = {201, "text/plain", "body \"with\" quotes\n"};
    BOOST_TEST((decodeClaim(encodeClaim(claim)).value() == claim));
    const ConfigurationRow row{ConfigurationVersion(1), Digest("d"), {{NodeId("n"), Incarnation(1)}}, AttemptId("a")};
    BOOST_TEST((decodeConfigurationRow(encodeConfigurationRow(row)).value() == row));
    BOOST_TEST(!decodeClaim(R"({"state":"other"})").has_value());
}

BOOST_AUTO_TEST_CASE(a_key_is_hashed_as_the_standard_says)
{
    BOOST_TEST(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    BOOST_TEST(uniqueId() != uniqueId());
}

BOOST_AUTO_TEST_CASE(problems_say_whether_the_request_was_run)
{
    const std::string text = encodeProblem(problemOf(503, {ErrorId::TimedOut, "step", "peer", "detail", Delivery::MaybeSent}, false));
    BOOST_TEST(text.find("\"not_run\":false") != std::string::npos);
    BOOST_TEST(text.find("\"step\":\"step\"") != std::string::npos);
    BOOST_TEST(toPlainText(R"({"a":{"b":[1]}})") == "a:\n  b:\n    -: 1\n");
}

BOOST_AUTO_TEST_SUITE_END()
