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

    /// Starts everything and waits until the nodes are ready. @return whether they are
    bool start();

    /// Lets the callers end after their current requests.
    void finishCalls();

    /// Restarts a node that has ended and waits until it is ready. @return whether it is
    bool restart(Front &front);

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
    [[nodiscard]] Store &store()
    {
        return m_store;
    }

private:
    bool awaitReady(const Front &front) const;

    Evidence &m_evidence;
    Store m_store;
    FrontSettings m_frontSettings;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<std::unique_ptr<Front>> m_fronts;
    std::vector<std::unique_ptr<Caller>> m_callers;
    int m_configuration = 0;
    const DeploymentSettings m_settings;
};

} // namespace apricotarch::soak
