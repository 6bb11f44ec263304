#pragma once

/**
 * @file
 * Nodes, replicas, the store and callers of one soak.
 */

#include <memory>

#include "caller.h"
#include "front.h"
#include "replica.h"

namespace apricotarch::soak
{

struct DeploymentSettings
{
    std::string program; ///< The program of the nodes.
    std::string folder; ///< For settings and logs.
    std::size_t nodes = 2;
    std::size_t servers = 4; ///< Number of replicas, half of them for each service.
    unsigned seed = 1;
};

class Deployment
{
public:
    Deployment(const DeploymentSettings &settings, Evidence &evidence);
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;
    ~Deployment();

    /// Starts everything and waits until the nodes are ready. @return whether they are
    bool start();

    /// Lets the callers end after their current requests, and ends nodes and replicas.
    void end();

    /// Restarts a node that has ended and waits until it is ready. @return whether it is
    bool restart(Front &front);

    /// Kills a node and restarts it. @return whether it is ready again
    bool crash(Front &front);

    /// Makes the store unreachable for a time.
    void interruptStore(milliseconds time);

    /// Writes the next version of the configuration to the store.
    void changeConfiguration();

    [[nodiscard]] const std::vector<std::unique_ptr<Front>> &fronts() const
    {
        return m_fronts;
    }
    [[nodiscard]] const std::vector<std::unique_ptr<Replica>> &replicas() const
    {
        return m_replicas;
    }

private:
    bool awaitReady(const Front &front) const;
    void startCallers();
    void probe(std::size_t node);

    Evidence &m_evidence;
    Store m_store;
    FrontSettings m_frontSettings;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<std::unique_ptr<Front>> m_fronts;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::atomic<int> m_configuration = 0; ///< Number of the newest version.
    std::atomic<bool> m_finishing = false;
    std::vector<std::thread> m_probers;
    const DeploymentSettings m_settings;
};

} // namespace apricotarch::soak
