#pragma once

/**
 * @file
 * Several nodes' configuration keepers and memberships over one store, with cuts and restarts.
 */

#include <memory>
#include <string>
#include <vector>

#include "apricotarch/coordination/membership.h"
#include "apricotarch/protocol/questionnaire.h"
#include "fakes/fake_peers.h"
#include "fakes/fake_table.h"

namespace apricotarch::fakes
{

/// A small configuration; texts that differ give services that differ.
inline Configuration smallConfiguration(const std::string &model, const std::string &booking = "visits")
{
    Configuration configuration;
    configuration.desk = "desk";
    ServiceSpec advice;
    advice.id = ServiceId("advice");
    advice.model.model = model;
    advice.deadline = std::chrono::seconds(5);
    ServiceSpec visits;
    visits.id = ServiceId(booking);
    visits.kind = ServiceKind::Application;
    configuration.services = {advice, visits};
    return configuration;
}

/// One process of one node.
struct ClusterNode
{
    ClusterNode(
        Bench &bench, standins::PlatformStore &store, FakeObjects &objects, const Cuts &cuts, std::size_t index, Incarnation incarnation)
        : name("node-" + std::to_string(index))
        , process{NodeId(name), incarnation}
        , address{"127.0.0.1", static_cast<std::uint16_t>(100 + index)}
        , table(store, bench)
        , peers(name, cuts, bench.clock)
        , members(MemberTimes())
        , crashes(CrashTimes())
        , decisions(bench.clock, 100)
        , keeper({table, objects, peers, members, bench.clock, decisions, metrics},
              process,
              CurrencyTimes(),
              [this](const ConfigurationInForce &inForce) {
                  versions.push_back(inForce.committed.row.version);
              })
        , membership({members, fleet, crashes, keeper, bench.clock, decisions}, {process, ZoneId("a"), address, address})
    {
    }

    std::string name;
    ProcessId process;
    Endpoint address;
    FakeTable table;
    FakePeers peers;
    Members members;
    Fleet fleet;
    CrashLedger crashes;
    DecisionLog decisions;
    Metrics metrics;
    std::vector<ConfigurationVersion> versions; ///< In the order in which they came into force.
    ConfigurationKeeper keeper;
    Membership membership;
};

/// Nodes that beat and poll by themselves.
class ConfigurationCluster
{
public:
    Bench bench;
    standins::PlatformStore store{bench.clock, {}};
    FakeObjects objects;
    Cuts cuts;
    bool outage = false;
    bool joinsElectorates = false; ///< Whether nodes that are left out of the electorate join it, as the program's rounds do.
    std::set<std::string> withoutStore; ///< Nodes that cannot reach the store.

    explicit ConfigurationCluster(std::size_t count)
        : m_nodes(count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            restart(index);
        }
    }

    [[nodiscard]] ClusterNode &node(std::size_t index)
    {
        return *m_nodes.at(index);
    }

    /// Replaces a node's process by a new one that knows nothing.
    void restart(std::size_t index)
    {
        if (m_nodes.at(index)) {
            m_ended.push_back(std::move(m_nodes.at(index)));
        }
        ++m_incarnation;
        m_nodes.at(index) = std::make_unique<ClusterNode>(bench, store, objects, cuts, index, Incarnation(m_incarnation));
        ClusterNode &started = *m_nodes.at(index);
        started.table.behavior = [this, name = started.name](bool) {
            const bool reachable = !outage && !withoutStore.contains(name);
            return TableBehavior{reachable ? TableFault::None : TableFault::Unreachable, Duration(0), Duration(0)};
        };
        connectAll();
    }

    /// Beats, and polls of the row where the store can be reached, for a while.
    void live(Duration duration)
    {
        const TimePoint end = bench.clock.now() + duration;
        while (bench.clock.now() < end) {
            for (const auto &node : m_nodes) {
                bench.run(node->keeper.poll());
                if (joinsElectorates && node->keeper.isLeftOut()) {
                    bench.run(node->keeper.refreshElectorate());
                }
                beat(*node);
            }
            bench.pass(std::chrono::milliseconds(500));
        }
    }

    Result<CommittedConfiguration> accept(std::size_t index, Configuration configuration, std::int64_t base)
    {
        return bench.run(node(index).keeper.accept(std::move(configuration), ConfigurationVersion(base)));
    }

private:
    void connectAll()
    {
        for (const auto &from : m_nodes) {
            for (const auto &to : m_nodes) {
                if (from && to && from != to) {
                    from->peers.keepers[to->address.port] = {to->name, &to->keeper};
                }
            }
        }
    }

    void beat(ClusterNode &from)
    {
        const Heartbeat heartbeat = from.membership.compose(false, 0, {});
        for (const auto &to : m_nodes) {
            if (to.get() != &from && !cuts.isCut(from.name, to->name)) {
                bench.run(to->membership.hear(from.membership.addressed(heartbeat, to->process.node)));
            }
        }
    }

    std::vector<std::unique_ptr<ClusterNode>> m_nodes;
    std::vector<std::unique_ptr<ClusterNode>> m_ended;
    std::int64_t m_incarnation = 0;
};

} // namespace apricotarch::fakes
