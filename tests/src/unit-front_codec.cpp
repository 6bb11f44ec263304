#include <boost/test/unit_test.hpp>

#include <random>

#include "apricotarch/protocol/front_codec.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

FrontHeartbeat soundHeartbeat()
{
    FrontHeartbeat heartbeat;
    heartbeat.node = NodeId("front-1");
    heartbeat.zone = ZoneId("z");
    heartbeat.callerAddress = {"10.0.0.1", 80};
    heartbeat.peerAddress = {"10.0.0.1", 81};
    for (int index = 0; index < 20; ++index) {
        const ReplicaId server("i-" + std::to_string(index));
        heartbeat.loads.push_back({server, {3, 4000}});
        heartbeat.sentPrompts.push_back({server, {{7, 800}, {8, 90}}});
        heartbeat.changingEngines.push_back({server, 300ms});
    }
    heartbeat.prefillRates[ServiceId("engines")] = 1.5;
    heartbeat.crashRecords.push_back({ContentHash(5), 2, 400ms});
    heartbeat.speedSamples = {{0xFFFF'FFF0, 160}, {7, 60}};
    heartbeat.requestRates = {{ReplicaId("i-1"), 5, 2.5, 10ms}};
    return heartbeat;
}

FleetSnapshot soundSnapshot()
{
    FleetSnapshot snapshot;
    snapshot.plan = R"({"version":1})";
    snapshot.compressedPlan = std::string(40, '\x01');
    for (int index = 0; index < 20; ++index) {
        snapshot.servers.push_back({"i-" + std::to_string(index), "{}", StorePosition(index + 1), index % 3 == 0});
    }
    return snapshot;
}

/// Changes some bytes, or cuts the text.
std::string mutate(std::string bytes, std::mt19937 &random)
{
    const auto pick = [&random](std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    };
    for (std::size_t change = 0; change <= pick(4); ++change) {
        const std::size_t at = pick(bytes.size());
        switch (pick(4)) {
        case 0:
            bytes[at] = static_cast<char>(pick(256));
            break;
        case 1:
            bytes[at] = '\xff'; // Lengths become very large.
            break;
        case 2:
            bytes.insert(at, std::string(1 + pick(6), static_cast<char>(pick(256))));
            break;
        default:
            bytes.resize(at + 1);
        }
    }
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(front_codec)

BOOST_AUTO_TEST_CASE(takes_damaged_messages_of_peers_for_malformed_or_for_other_messages)
{
    std::mt19937 random(20261205);
    const std::string datagram = encodeFrontDatagram(soundHeartbeat());
    const std::string snapshot = encodeFleetSnapshot(soundSnapshot());
    BOOST_REQUIRE(decodeFrontDatagram(datagram, "peer").has_value());
    BOOST_REQUIRE(decodeFleetSnapshot(snapshot, "peer").has_value());
    std::size_t malformed = 0;
    for (int repetition = 0; repetition < 2000; ++repetition) {
        BOOST_REQUIRE_NO_THROW(malformed += decodeFrontDatagram(mutate(datagram, random), "peer") ? 0 : 1);
        BOOST_REQUIRE_NO_THROW(malformed += decodeFleetSnapshot(mutate(snapshot, random), "peer") ? 0 : 1);
        BOOST_REQUIRE_NO_THROW((void)decodeFleetSnapshotRequest(mutate(snapshot, random), "peer"));
    }
    BOOST_TEST(malformed > 500U);
}

BOOST_AUTO_TEST_CASE(keeps_the_speeds_of_engines)
{
    const FrontHeartbeat heartbeat = std::get<FrontHeartbeat>(*decodeFrontDatagram(encodeFrontDatagram(soundHeartbeat()), "peer"));
    BOOST_REQUIRE(heartbeat.speedSamples.size() == 2U);
    BOOST_TEST(heartbeat.speedSamples[0].engine == 0xFFFF'FFF0);
    BOOST_TEST(heartbeat.speedSamples[0].percent == 160);
    LoadUpdate update{Incarnation(1), 2, {"10.0.0.1", 81}, {ReplicaId("i-1"), {3, 4000}}, {}, 160};
    const auto speedOf = [](const LoadUpdate &sent) {
        return std::get<LoadUpdate>(*decodeFrontDatagram(encodeFrontDatagram(sent), "peer")).speedPercent;
    };
    BOOST_TEST(speedOf(update).value() == 160);
    update.speedPercent.reset();
    BOOST_TEST(!speedOf(update).has_value());
    const EngineGroupReport report{1, {"10.0.0.1", 81}, {{{ReplicaId("i-1"), {}}, 0, 60}, {{ReplicaId("i-2"), {}}, 0}}};
    const auto decoded = std::get<EngineGroupReport>(*decodeFrontDatagram(encodeFrontDatagram(report), "peer"));
    BOOST_TEST(decoded.engines.at(0).speedPercent.value() == 60);
    BOOST_TEST(!decoded.engines.at(1).speedPercent.has_value());
}

BOOST_AUTO_TEST_CASE(sends_nothing_for_speeds_that_are_not_known)
{
    FrontHeartbeat heartbeat = soundHeartbeat();
    const std::size_t full = encodeFrontDatagram(heartbeat).size();
    heartbeat.speedSamples.assign(8, {0xFFFF'FFFF, 1000});
    const std::size_t most = encodeFrontDatagram(heartbeat).size();
    heartbeat.speedSamples.clear();
    const std::size_t none = encodeFrontDatagram(heartbeat).size();
    BOOST_TEST(none < full);
    BOOST_TEST(most - none <= 64U); // See docs/CAPACITY.md.
}

BOOST_AUTO_TEST_CASE(keeps_the_limits_of_request_rates)
{
    FrontHeartbeat heartbeat = soundHeartbeat();
    const std::size_t before = encodeFrontDatagram(heartbeat).size();
    heartbeat.requestRates = {{ReplicaId("i-8b6f071f3d"), 1'789'498'504'097, 3.3, 1500ms}, {ReplicaId("i-2"), 7, std::nullopt, -5ms}};
    const std::string bytes = encodeFrontDatagram(heartbeat);
    BOOST_TEST(bytes.size() - before <= 64U); // See docs/CAPACITY.md.
    const auto decoded = std::get<FrontHeartbeat>(*decodeFrontDatagram(bytes, "peer")).requestRates;
    BOOST_REQUIRE(decoded.size() == 2U);
    BOOST_TEST(decoded[0].server.value() == "i-8b6f071f3d");
    BOOST_TEST(decoded[0].startedAt == 1'789'498'504'097);
    BOOST_TEST(decoded[0].perSecond.value_or(0) == 3.3);
    BOOST_TEST((decoded[0].age == 1500ms));
    BOOST_TEST(!decoded[1].perSecond.has_value());
    BOOST_TEST((decoded[1].age == 0ms)); // A statement of the future would outlast all later ones.
}

BOOST_AUTO_TEST_CASE(keeps_the_origins_of_streams)
{
    const StreamRecord record{StreamKey(-7), {ServiceId("desk"), SoftwareVersion("v1.1")}};
    const auto notice = std::get<StreamNotice>(*decodeFrontDatagram(encodeFrontDatagram(StreamNotice{{record, record}}), "peer"));
    BOOST_REQUIRE(notice.streams.size() == 2U);
    BOOST_TEST(notice.streams[1].stream.value() == -7);
    BOOST_TEST((notice.streams[1].origin == record.origin));
    const StreamQuery query{3, {"10.0.0.1", 81}, StreamKey(9)};
    BOOST_TEST(std::get<StreamQuery>(*decodeFrontDatagram(encodeFrontDatagram(query), "peer")).stream.value() == 9);
    StreamReport report{3, {"10.0.0.1", 81}, record};
    const auto decode = [&report] {
        return std::get<StreamReport>(*decodeFrontDatagram(encodeFrontDatagram(report), "peer"));
    };
    BOOST_TEST((decode().stream->origin == record.origin));
    report.stream.reset();
    BOOST_TEST(!decode().stream.has_value());
    report.peerAddress.host.clear();
    BOOST_TEST(!decodeFrontDatagram(encodeFrontDatagram(report), "peer").has_value());
}

BOOST_AUTO_TEST_CASE(does_not_follow_nested_messages_without_end)
{
    // An unknown field with a structure in a structure in a structure.
    BOOST_TEST(!decodeFrontDatagram(std::string(60'000, '\x1c'), "peer").has_value());
    BOOST_TEST(!decodeFleetSnapshot(std::string(2'000'000, '\x1c'), "peer").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
