#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/heartbeat_targets.h"
#include "apricotarch/coordination/peer_table.h"
#include "apricotarch/protocol/front_codec.h"
#include "apricotarch/transport/message_authenticator.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1h);
constexpr Duration Tick = 15ms;
constexpr Duration HeartbeatInterval = 500ms;
constexpr std::size_t Zones = 5;

/// A node without sockets: its peer table and what its heartbeats report.
struct Node
{
    Node(std::size_t index, std::size_t zone)
        : identity{NodeId("front-" + std::to_string(1000 + index)),
            {"10." + std::to_string(zone) + "." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), 7380},
            ZoneId("zone-" + std::to_string(zone))}
        , peers(identity, PeerTimeouts())
    {
    }

    PeerIdentity identity;
    PeerTable peers;
    std::int64_t sequence = 0;
    bool alive = true;
    bool storeReachable = true;
    TimePoint nextHeartbeatAt;
    std::size_t datagramsSent = 0;
    std::size_t bytesSent = 0;
};

/// Nodes that exchange heartbeats over a network that loses datagrams.
class Fleet
{
public:
    Fleet(std::size_t nodes, std::uint64_t seed, double loss)
        : m_random(seed)
        , m_loss(loss)
    {
        for (std::size_t index = 0; index < nodes; ++index) {
            addNode();
        }
    }

    /// Adds a node that knows three seeds and what the store contains, as a node that has just started.
    Node &addNode()
    {
        const std::size_t index = m_nodes.size();
        m_nodes.push_back(std::make_unique<Node>(index, index % Zones));
        Node &node = *m_nodes.back();
        m_byAddress[node.identity.peerAddress] = &node;
        for (const std::unique_ptr<Node> &other : m_nodes) {
            node.peers.addAddress({other->identity.peerAddress, other->identity.zone}, m_now);
        }
        node.nextHeartbeatAt = m_now + Tick * std::uniform_int_distribution<int>(0, 29)(m_random);
        return node;
    }

    void run(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += Tick) {
            deliver();
            for (const std::unique_ptr<Node> &node : m_nodes) {
                if (node->alive && m_now >= node->nextHeartbeatAt) {
                    node->nextHeartbeatAt = m_now + HeartbeatInterval;
                    sendHeartbeat(*node);
                }
            }
        }
    }

    /// Share of pairs of live nodes of one zone in which the first lists the second for callers.
    [[nodiscard]] double listedShare() const
    {
        std::size_t pairs = 0;
        std::size_t listed = 0;
        for (const std::unique_ptr<Node> &observer : m_nodes) {
            const std::set<Endpoint> addresses = listedBy(*observer);
            for (const std::unique_ptr<Node> &node : m_nodes) {
                if (observer->alive && node->alive && node != observer && node->identity.zone == observer->identity.zone) {
                    ++pairs;
                    listed += addresses.contains(node->identity.peerAddress) ? 1 : 0;
                }
            }
        }
        return static_cast<double>(listed) / static_cast<double>(pairs);
    }

    [[nodiscard]] std::set<Endpoint> listedBy(const Node &observer) const
    {
        std::set<Endpoint> addresses;
        for (const NodeAddress &address : observer.peers.callerAddresses(m_now)) {
            addresses.insert(address.address);
        }
        return addresses;
    }

    [[nodiscard]] std::vector<const Node *> coordinators() const
    {
        std::vector<const Node *> found;
        for (const std::unique_ptr<Node> &node : m_nodes) {
            if (node->alive && node->peers.isStageController(m_now)) {
                found.push_back(node.get());
            }
        }
        return found;
    }

    [[nodiscard]] std::map<ZoneId, std::size_t> storeReaders()
    {
        std::map<ZoneId, std::size_t> readers;
        for (const std::unique_ptr<Node> &node : m_nodes) {
            readers[node->identity.zone] += node->alive && node->peers.shouldReadStore(m_now) ? 1 : 0;
        }
        return readers;
    }

    void resetCounters()
    {
        for (const std::unique_ptr<Node> &node : m_nodes) {
            node->datagramsSent = 0;
            node->bytesSent = 0;
        }
    }

    [[nodiscard]] std::size_t most(std::size_t Node::*counter) const
    {
        std::size_t most = 0;
        for (const std::unique_ptr<Node> &node : m_nodes) {
            most = std::max(most, (*node).*counter);
        }
        return most;
    }

    [[nodiscard]] Node &node(std::size_t index)
    {
        return *m_nodes.at(index);
    }

    /// Cuts the links from one node to all others, but not back.
    void cutOutgoing(const Node &node)
    {
        m_mute.insert(&node);
    }

    /// Cuts the link from one node to another, but not back.
    void cutLink(const Node &from, const Node &to)
    {
        m_cutLinks.emplace(&from, to.identity.peerAddress);
    }

    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }

private:
    struct Datagram
    {
        Endpoint to;
        FrontHeartbeat heartbeat;
    };

    void sendHeartbeat(Node &node)
    {
        const FrontHeartbeat heartbeat = makeHeartbeat(node);
        const std::size_t bytes = m_authenticator.authenticate(encodeFrontDatagram(heartbeat)).size();
        for (const Endpoint &target : node.peers.heartbeatAddresses(m_now, m_random)) {
            ++node.datagramsSent;
            node.bytesSent += bytes;
            const bool lost =
                std::bernoulli_distribution(m_loss)(m_random) || m_mute.contains(&node) || m_cutLinks.contains({&node, target});
            if (!lost) {
                m_inFlight.push_back({target, heartbeat});
            }
        }
        node.peers.removeSilent(m_now);
    }

    FrontHeartbeat makeHeartbeat(Node &node)
    {
        FrontHeartbeat heartbeat;
        heartbeat.node = node.identity.node;
        heartbeat.incarnation = Incarnation(1);
        heartbeat.sequence = ++node.sequence;
        heartbeat.zone = node.identity.zone;
        heartbeat.callerAddress = node.identity.peerAddress;
        heartbeat.peerAddress = node.identity.peerAddress;
        heartbeat.ready = true;
        heartbeat.planVersion = ConfigurationVersion(1'000'000);
        heartbeat.serversVersion = StorePosition(1'000'000);
        heartbeat.readsStore = node.storeReachable && node.peers.shouldReadStore(m_now);
        heartbeat.prefillRates[ServiceId("dressing-desk")] = 1;
        heartbeat.eventRates[ServiceId("dressing-desk")] = 1;
        heartbeat.announcedPeers = node.peers.nextAnnouncedPeers(m_now);
        heartbeat.knownNodes = node.peers.countBudgetNodes(m_now);
        const CoordinatorSighting coordinator = node.peers.coordinator(true, m_now);
        heartbeat.coordinator = coordinator.node;
        heartbeat.coordinatorAge = coordinator.age;
        heartbeat.sightings = node.peers.sightings(m_now, m_random);
        return heartbeat;
    }

    void deliver()
    {
        for (const Datagram &datagram : std::exchange(m_inFlight, {})) {
            Node &receiver = *m_byAddress.at(datagram.to);
            if (!receiver.alive) {
                continue;
            }
            receiver.peers.recordHeartbeat(datagram.heartbeat, m_now);
            for (const PeerAddress &peer : datagram.heartbeat.announcedPeers) {
                receiver.peers.addAddress(peer, m_now);
            }
        }
    }

    MessageAuthenticator m_authenticator{"a key of sixteen and more"};
    std::mt19937_64 m_random;
    double m_loss;
    TimePoint m_now = Start;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<Endpoint, Node *> m_byAddress;
    std::deque<Datagram> m_inFlight;
    std::set<const Node *> m_mute;
    std::set<std::pair<const Node *, Endpoint>> m_cutLinks;
};

/// Loss of the users' bad days.
constexpr double HeavyLoss = 0.025;

} // namespace

BOOST_AUTO_TEST_SUITE(partial_view)

BOOST_AUTO_TEST_SUITE(nodes_that_start_together)

BOOST_AUTO_TEST_CASE(list_nearly_all_live_nodes_of_their_zone)
{
    for (const std::uint64_t seed : {1, 2}) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Fleet fleet(295, seed, HeavyLoss);
            fleet.run(30s);
            BOOST_TEST(fleet.listedShare() > 0.7);
            // No node depends on a few others: each is listed by many.
            fleet.run(30s);
            BOOST_TEST(fleet.listedShare() > 0.95);
        }
    }
}

BOOST_AUTO_TEST_CASE(agree_on_one_coordinator_and_on_few_readers_of_the_store_in_each_zone)
{
    Fleet fleet(295, 4, HeavyLoss);
    fleet.run(15s);
    BOOST_REQUIRE(fleet.coordinators().size() == 1U);
    BOOST_TEST(fleet.coordinators().front() == &fleet.node(0));
    const std::map<ZoneId, std::size_t> readers = fleet.storeReaders();
    BOOST_TEST(readers.size() == Zones);
    for (const auto &[zone, count] : readers) {
        BOOST_TEST(count >= 2U);
        BOOST_TEST(count <= 4U);
    }
}

BOOST_AUTO_TEST_CASE(send_as_much_in_a_large_fleet_as_in_a_small_one)
{
    // Budget of control messages at 680 nodes: 4 KB/s sent by a node.
    constexpr std::size_t BytesPerSecond = 4096;
    std::map<std::size_t, std::size_t> datagrams;
    for (const std::size_t nodes : {150U, 295U, 680U}) {
        BOOST_TEST_CONTEXT(nodes << " nodes")
        {
            Fleet fleet(nodes, 5, 0.0);
            fleet.run(10s);
            fleet.resetCounters();
            fleet.run(10s);
            datagrams[nodes] = fleet.most(&Node::datagramsSent);
            BOOST_TEST(fleet.most(&Node::bytesSent) / 10 <= BytesPerSecond);
        }
    }
    BOOST_TEST(datagrams[680] <= datagrams[150] * 1.3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_node)

BOOST_AUTO_TEST_CASE(that_dies_is_listed_by_nobody_after_two_seconds)
{
    Fleet fleet(295, 6, HeavyLoss);
    fleet.run(40s);
    Node &dead = fleet.node(17);
    dead.alive = false;
    fleet.run(2s);
    std::size_t listing = 0;
    for (std::size_t index = 0; index < 295; ++index) {
        listing += fleet.listedBy(fleet.node(index)).contains(dead.identity.peerAddress) && index != 17 ? 1 : 0;
    }
    BOOST_TEST(listing == 0U);
}

BOOST_AUTO_TEST_CASE(that_one_observer_does_not_hear_any_more_stays_listed_there)
{
    // The observer has heard the node before; then only the link between them is cut, and others pass the node's signs of life on.
    Fleet fleet(295, 7, 0.0);
    fleet.run(60s);
    const Node &node = fleet.node(20);
    const Node &observer = fleet.node(25);
    BOOST_REQUIRE(node.identity.zone == observer.identity.zone);
    BOOST_REQUIRE(fleet.listedBy(observer).contains(node.identity.peerAddress));
    fleet.cutLink(node, observer);
    int listed = 0;
    constexpr int Checks = 40;
    for (int check = 0; check < Checks; ++check) {
        fleet.run(500ms);
        listed += fleet.listedBy(observer).contains(node.identity.peerAddress) ? 1 : 0;
    }
    BOOST_TEST(listed > Checks * 9 / 10);
}

BOOST_AUTO_TEST_CASE(whose_datagrams_are_all_lost_is_no_longer_listed_but_keeps_its_own_view)
{
    Fleet fleet(295, 8, 0.0);
    fleet.run(40s);
    const Node &mute = fleet.node(30);
    fleet.cutOutgoing(mute);
    fleet.run(5s);
    for (std::size_t index = 0; index < 295; ++index) {
        BOOST_TEST((index == 30 || !fleet.listedBy(fleet.node(index)).contains(mute.identity.peerAddress)));
    }
}

BOOST_AUTO_TEST_CASE(that_coordinated_is_replaced_within_seconds)
{
    Fleet fleet(295, 9, HeavyLoss);
    fleet.run(15s);
    fleet.node(0).alive = false;
    fleet.run(8s);
    BOOST_REQUIRE(fleet.coordinators().size() == 1U);
    BOOST_TEST(fleet.coordinators().front() == &fleet.node(1));
}

BOOST_AUTO_TEST_CASE(that_joins_later_is_known_to_all)
{
    Fleet fleet(295, 10, HeavyLoss);
    fleet.run(10s);
    const Node &added = fleet.addNode();
    fleet.run(60s);
    std::size_t knowing = 0;
    for (std::size_t index = 0; index < 295; ++index) {
        const std::vector<Endpoint> known = fleet.node(index).peers.knownAddresses(fleet.now());
        knowing += std::ranges::count(known, added.identity.peerAddress);
    }
    BOOST_TEST(knowing == 295U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_loss)

BOOST_AUTO_TEST_CASE(of_more_than_half_of_the_nodes_leaves_the_others_connected)
{
    Fleet fleet(295, 11, HeavyLoss);
    fleet.run(30s);
    for (std::size_t index = 0; index < 295; ++index) {
        fleet.node(index).alive = index % 9 < 4;
    }
    fleet.run(10s);
    BOOST_TEST(fleet.listedShare() > 0.6);
    BOOST_TEST(fleet.coordinators().size() == 1U);
}

BOOST_AUTO_TEST_CASE(of_the_store_at_the_first_readers_brings_a_few_others_and_not_all)
{
    Fleet fleet(295, 12, HeavyLoss);
    fleet.run(15s);
    // Addresses are ordered as texts, so the first nodes of a zone are found by their address.
    std::map<ZoneId, std::vector<std::pair<Endpoint, Node *>>> byZone;
    for (std::size_t index = 0; index < 295; ++index) {
        byZone[fleet.node(index).identity.zone].emplace_back(fleet.node(index).identity.peerAddress, &fleet.node(index));
    }
    auto &zone = byZone[ZoneId("zone-0")];
    std::sort(zone.begin(), zone.end());
    zone[0].second->storeReachable = false;
    zone[1].second->storeReachable = false;
    fleet.run(10s);
    // The two that cannot reach the store keep trying; two others read in their place.
    BOOST_TEST(fleet.storeReaders()[ZoneId("zone-0")] >= 4U);
    BOOST_TEST(fleet.storeReaders()[ZoneId("zone-0")] <= 12U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(receivers_of_a_heartbeat)

BOOST_AUTO_TEST_CASE(are_the_same_number_in_any_fleet)
{
    const HeartbeatFanout fanout;
    for (const std::uint32_t nodes : {100U, 1000U}) {
        std::vector<HeartbeatCandidate> candidates;
        for (std::uint32_t index = 0; index < nodes; ++index) {
            candidates.push_back({{"10.0.0.1", static_cast<std::uint16_t>(index + 1)}, index, index % 2 == 0, true});
        }
        std::mt19937_64 random(1);
        const auto targets = selectHeartbeatTargets(candidates, 51, fanout, true, random);
        BOOST_TEST(targets.size() <= 2 * fanout.ringPerSide + fanout.randomInZone + fanout.randomElsewhere);
        for (const std::uint16_t neighbour : {51, 53}) {
            BOOST_TEST(std::ranges::count(targets, Endpoint{"10.0.0.1", neighbour}) == 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(pass_over_dead_neighbours_and_now_and_then_include_them)
{
    std::vector<HeartbeatCandidate> candidates;
    for (std::uint32_t index = 0; index < 50; ++index) {
        const bool dead = index == 11 || index == 12;
        candidates.push_back({{"10.0.0.1", static_cast<std::uint16_t>(index + 1)}, index, true, !dead});
    }
    const HeartbeatFanout onlyRing{2, 4, 0, 0};
    std::mt19937_64 random(1);
    const auto withoutDead = selectHeartbeatTargets(candidates, 10, onlyRing, false, random);
    BOOST_TEST(std::ranges::count(withoutDead, Endpoint{"10.0.0.1", 12}) == 0);
    BOOST_TEST(std::ranges::count(withoutDead, Endpoint{"10.0.0.1", 14}) == 1);
    const auto withDead = selectHeartbeatTargets(candidates, 10, onlyRing, true, random);
    BOOST_TEST(std::ranges::count(withDead, Endpoint{"10.0.0.1", 12}) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
