#pragma once

/**
 * @file
 * A cluster of nodes with configuration managers and membership that share one store, with network partitions and restarts.
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

/// Returns a small configuration. Different arguments yield different services.
inline Configuration smallConfiguration(const std::string &model, const std::string &booking = "visits")
{
    Configuration configuration;
    configuration.installation = "desk";
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
    ClusterNode(TestLoop &loop,
        standins::PlatformStore &store,
        FakeObjects &objects,
        const NetworkPartition &partition,
        std::size_t index,
        Incarnation incarnation)
        : name("node-" + std::to_string(index))
        , process{NodeId(name), incarnation}
        , address{"127.0.0.1", static_cast<std::uint16_t>(100 + index)}
        , table(store, loop)
        , peers(name, partition, loop.clock)
        , members(MemberTimeouts())
        , crashes(CrashTrackerPeriods())
        , decisions(loop.clock, 100)
        , configuration({table, objects, peers, members, loop.clock, decisions, metrics},
              process,
              FreshnessTimes(),
              [this](const ActiveConfiguration &inForce) {
                  activatedVersions.push_back(inForce.committed.row.version);
              })
        , membership({members, fleet, crashes, configuration, loop.clock, decisions}, {process, ZoneId("a"), address, address})
    {
    }

    std::string name;
    ProcessId process;
    Endpoint address;
    FakeTable table;
    FakePeers peers;
    MemberTable members;
    ReplicaTable fleet;
    CrashTracker crashes;
    DecisionLog decisions;
    Metrics metrics;
    std::vector<ConfigurationVersion> activatedVersions; ///< In the order of activation.
    ConfigurationManager configuration;
    Membership membership;
};

/// Simulates nodes that send heartbeats and poll the configuration row.
class ConfigurationCluster
{
public:
    TestLoop loop;
    standins::PlatformStore store{loop.clock, {}};
    FakeObjects objects;
    NetworkPartition partition;
    bool outage = false;
    bool joinElectorates = false; ///< Whether nodes outside the electorate join it, as the program's periodic tasks do.
    std::set<std::string> nodesWithoutStore; ///< Nodes that cannot reach the store.

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

    /// Replaces a node's process by a new one without state.
    void restart(std::size_t index)
    {
        if (m_nodes.at(index)) {
            m_endedNodes.push_back(std::move(m_nodes.at(index)));
        }
        ++m_incarnation;
        m_nodes.at(index) = std::make_unique<ClusterNode>(loop, store, objects, partition, index, Incarnation(m_incarnation));
        ClusterNode &started = *m_nodes.at(index);
        started.table.behavior = [this, name = started.name](bool) {
            const bool reachable = !outage && !nodesWithoutStore.contains(name);
            return TableBehavior{reachable ? TableFault::None : TableFault::Unreachable, Duration(0), Duration(0)};
        };
        connectAll();
    }

    /// Runs the cluster for @p duration: every 500 ms each node polls the row and sends heartbeats.
    void run(Duration duration)
    {
        const TimePoint end = loop.clock.now() + duration;
        while (loop.clock.now() < end) {
            for (const auto &node : m_nodes) {
                loop.run(node->configuration.poll());
                if (joinElectorates && node->configuration.isOutsideElectorate()) {
                    loop.run(node->configuration.refreshElectorate());
                }
                sendHeartbeat(*node);
            }
            loop.advanceTime(std::chrono::milliseconds(500));
        }
    }

    Result<CommittedConfiguration> accept(std::size_t index, Configuration proposed, std::int64_t base)
    {
        return loop.run(node(index).configuration.accept(std::move(proposed), ConfigurationVersion(base)));
    }

private:
    void connectAll()
    {
        for (const auto &from : m_nodes) {
            for (const auto &to : m_nodes) {
                if (from && to && from != to) {
                    from->peers.nodes[to->address.port] = {to->name, &to->configuration};
                }
            }
        }
    }

    void sendHeartbeat(ClusterNode &from)
    {
        const Heartbeat heartbeat = from.membership.composeHeartbeat(false, 0, {});
        for (const auto &to : m_nodes) {
            if (to.get() != &from && !partition.isBlocked(from.name, to->name)) {
                loop.run(to->membership.handleHeartbeat(from.membership.addEcho(heartbeat, to->process.node)));
            }
        }
    }

    std::vector<std::unique_ptr<ClusterNode>> m_nodes;
    std::vector<std::unique_ptr<ClusterNode>> m_endedNodes;
    std::int64_t m_incarnation = 0;
};

} // namespace apricotarch::fakes
