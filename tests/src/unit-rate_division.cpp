#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/peer_table.h"
#include "apricotarch/coordination/rate_division.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint Start{Duration(100s)};
constexpr Duration Window = 4s;
constexpr Duration Tick = 10ms;
const ReplicaId Server("i-8b6f071f3d");

/// What a server tolerates from nodes that know its limit, in a window.
double allowedInWindow(double limit)
{
    return 1.5 * limit * std::chrono::duration<double>(Window).count() + 5;
}

std::vector<Endpoint> makeNodes(std::size_t count)
{
    std::vector<Endpoint> nodes;
    for (std::size_t index = 0; index < count; ++index) {
        nodes.push_back({"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), 7380});
    }
    return nodes;
}

/// Nodes that send a request whenever their share allows it.
class BusyFleet
{
public:
    explicit BusyFleet(std::size_t count)
        : m_nodes(makeNodes(count))
        , m_shares(count)
    {
    }

    /// Has a node learn of the limit, with each other node known with a probability.
    void tell(std::size_t index, double limit, double knownShare, TimePoint now)
    {
        FleetView view{m_nodes[index], {}, m_nodes.size()};
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (other != index && std::uniform_real_distribution<double>(0, 1)(m_random) < knownShare) {
                view.others.push_back(m_nodes[other]);
            }
        }
        m_shares[index].setAllowance(divideRequestRate(limit, Server, view), now);
    }

    void tellAll(double limit, double knownShare, TimePoint now)
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            tell(index, limit, knownShare, now);
        }
    }

    /// The node forgets everything, as if its process had been started again.
    void restart(std::size_t index)
    {
        m_shares[index].clear();
    }

    void run(TimePoint from, Duration duration)
    {
        for (TimePoint now = from; now < from + duration; now += Tick) {
            for (RequestRateShare &share : m_shares) {
                while (share.isLimited() && share.take(now)) {
                    m_sent.push_back(now);
                }
            }
        }
    }

    [[nodiscard]] std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        std::deque<TimePoint> window;
        for (const TimePoint at : m_sent) {
            window.push_back(at);
            while (window.front() <= at - Window) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

    [[nodiscard]] std::size_t sent() const
    {
        return m_sent.size();
    }

private:
    std::vector<Endpoint> m_nodes;
    std::vector<RequestRateShare> m_shares;
    std::vector<TimePoint> m_sent;
    std::mt19937_64 m_random{20261207};
};

} // namespace

BOOST_AUTO_TEST_SUITE(rate_division)

BOOST_AUTO_TEST_SUITE(the_shares_of_all_nodes)

BOOST_AUTO_TEST_CASE(add_up_to_the_limit_in_fleets_of_any_size)
{
    for (const std::size_t nodes : {1U, 2U, 7U, 87U, 680U}) {
        for (const double limit : {0.4, 2.0, 3.3, 50.0, 2000.0}) {
            BOOST_TEST_CONTEXT("nodes " << nodes << ", limit " << limit)
            {
                BusyFleet fleet(nodes);
                fleet.tellAll(limit, 1, Start);
                fleet.run(Start, 20s);
                BOOST_TEST(static_cast<double>(fleet.mostInWindow()) <= allowedInWindow(limit));
                // The limit is used: the first requests are sent after a part of a second at most, at low rates later.
                BOOST_TEST(static_cast<double>(fleet.sent()) >= 0.8 * limit * 20 - 3);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(stay_within_the_limit_if_each_node_knows_only_some_of_the_others)
{
    for (const double knownShare : {0.3, 0.6, 0.9}) {
        for (const double limit : {2.0, 3.3, 20.0}) {
            BOOST_TEST_CONTEXT("known " << knownShare << ", limit " << limit)
            {
                BusyFleet fleet(680);
                fleet.tellAll(limit, knownShare, Start);
                fleet.run(Start, 12s);
                BOOST_TEST(static_cast<double>(fleet.mostInWindow()) <= allowedInWindow(limit));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(stay_within_the_limit_while_all_nodes_are_restarted_in_turn)
{
    for (const std::size_t nodes : {7U, 87U, 680U}) {
        constexpr double Limit = 3.3;
        BusyFleet fleet(nodes);
        fleet.tellAll(Limit, 1, Start);
        TimePoint now = Start;
        for (std::size_t index = 0; index < nodes; ++index) {
            fleet.restart(index);
            fleet.run(now, 20ms);
            fleet.tell(index, Limit, 1, now + 20ms);
            fleet.run(now + 20ms, 20ms);
            now += 40ms;
        }
        BOOST_TEST(static_cast<double>(fleet.mostInWindow()) <= allowedInWindow(Limit));
    }
}

BOOST_AUTO_TEST_CASE(do_not_change_in_a_partition_of_up_to_half_a_minute)
{
    for (const std::size_t count : {7U, 87U}) {
        const std::vector<Endpoint> addresses = makeNodes(count);
        std::vector<std::unique_ptr<PeerTable>> tables;
        for (std::size_t index = 0; index < count; ++index) {
            tables.push_back(
                std::make_unique<PeerTable>(PeerIdentity{NodeId(std::to_string(index)), addresses[index], ZoneId("z")}, PeerTimeouts()));
        }
        const auto exchangeHeartbeats = [&](TimePoint now, std::size_t cut) {
            for (std::size_t from = 0; from < count; ++from) {
                FrontHeartbeat heartbeat;
                heartbeat.node = NodeId(std::to_string(from));
                heartbeat.peerAddress = addresses[from];
                heartbeat.sequence = now.time_since_epoch().count();
                for (std::size_t to = 0; to < count; ++to) {
                    if (to != from && (to < cut) == (from < cut)) {
                        tables[to]->recordHeartbeat(heartbeat, now);
                    }
                }
            }
        };
        const auto sumOfShares = [&](TimePoint now) {
            double sum = 0;
            for (std::size_t index = 0; index < count; ++index) {
                const FleetView view{addresses[index], tables[index]->budgetAddresses(now), tables[index]->countBudgetNodes(now)};
                sum += divideRequestRate(3.3, Server, view).perSecond;
            }
            return sum;
        };
        exchangeHeartbeats(Start, 0);
        for (TimePoint now = Start + 1s; now < Start + 30s; now += 1s) {
            exchangeHeartbeats(now, count / 2);
            BOOST_REQUIRE_CLOSE(sumOfShares(now), 3.3, 1e-6);
        }
        exchangeHeartbeats(Start + 31s, count / 2);
        BOOST_TEST(sumOfShares(Start + 31s) <= 2 * 3.3 + 1e-6); // Each side of the partition; see docs/design/request-rate-limits.md.
    }
}

BOOST_AUTO_TEST_CASE(stay_within_a_limit_that_falls_or_rises)
{
    BusyFleet fleet(7);
    fleet.tellAll(50, 1, Start);
    fleet.run(Start, 10s);
    BusyFleet lowered(7);
    lowered.tellAll(50, 1, Start);
    lowered.tellAll(2, 1, Start + 1s); // What was saved up under the higher limit is cut to the new burst.
    lowered.run(Start + 1s, 8s);
    BOOST_TEST(static_cast<double>(lowered.mostInWindow()) <= allowedInWindow(2));
    lowered.tellAll(20, 1, Start + 9s);
    lowered.run(Start + 9s, 8s);
    BOOST_TEST(static_cast<double>(lowered.mostInWindow()) <= allowedInWindow(20));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_node_without_a_share_has_callers_come_back_when_another_node_may_send)
{
    const std::vector<Endpoint> nodes = makeNodes(680);
    std::size_t withShare = 0;
    for (const Endpoint &node : nodes) {
        FleetView view{node, {}, nodes.size()};
        std::ranges::copy_if(nodes, std::back_inserter(view.others), [&node](const Endpoint &other) {
            return other != node;
        });
        RequestRateShare share;
        share.setAllowance(divideRequestRate(4, Server, view), Start);
        withShare += share.allowance().perSecond > 0 ? 1 : 0;
        if (share.allowance().perSecond == 0) {
            BOOST_REQUIRE(!share.isAvailable(Start + 1h));
            BOOST_REQUIRE((share.waitTime(Start + 1h) == 250ms));
        }
    }
    BOOST_TEST(withShare == 7U);
}

BOOST_AUTO_TEST_CASE(a_share_takes_a_small_part_of_a_node_at_680_nodes)
{
    // 16 limited servers, updated twice a second, may take a hundredth of a core.
    constexpr auto MostPerShare = 10ms / 32.0;
    constexpr int Repetitions = 200;
    std::vector<Endpoint> nodes = makeNodes(680);
    const FleetView view{nodes.front(), {nodes.begin() + 1, nodes.end()}, nodes.size()};
    double sum = 0;
    const auto startedAt = std::chrono::steady_clock::now();
    for (int repetition = 0; repetition < Repetitions; ++repetition) {
        sum += divideRequestRate(3.3 + repetition, Server, view).totalPerSecond;
    }
    const std::chrono::duration<double, std::micro> each = (std::chrono::steady_clock::now() - startedAt) / Repetitions;
    BOOST_TEST_MESSAGE("a share at 680 nodes takes " << each.count() << " us");
    BOOST_TEST((each < MostPerShare));
    BOOST_TEST(sum > 0);
}

BOOST_AUTO_TEST_CASE(a_server_that_takes_no_requests_is_asked_now_and_then_whether_that_is_still_so)
{
    RequestRateShare share;
    share.setAllowance(divideRequestRate(0, Server, {{"10.0.0.1", 7380}, {}, 1}), Start);
    BOOST_TEST(!share.isAvailable(Start + 3900ms));
    BOOST_TEST(share.take(Start + 4s));
    BOOST_TEST(!share.take(Start + 7900ms));
}

BOOST_AUTO_TEST_SUITE_END()
