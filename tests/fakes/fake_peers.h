#pragma once

/**
 * @file
 * Requests between the configuration managers of a test, over a network with partitions.
 */

#include <functional>
#include <map>
#include <set>
#include <utility>

#include "apricotarch/coordination/configuration_manager.h"
#include "apricotarch/coordination/peer_client.h"

namespace apricotarch::fakes
{

/// The pairs of nodes between which messages are blocked, per direction.
class NetworkPartition
{
public:
    void block(const std::string &from, const std::string &to)
    {
        m_blocked.insert({from, to});
    }

    void heal()
    {
        m_blocked.clear();
    }

    [[nodiscard]] bool isBlocked(const std::string &from, const std::string &to) const
    {
        return m_blocked.contains({from, to});
    }

private:
    std::set<std::pair<std::string, std::string>> m_blocked;
};

/// The connections of one node to the others, which are identified by their port.
class FakePeers final : public PeerClient
{
public:
    FakePeers(std::string self, const NetworkPartition &partition, Clock &clock)
        : m_self(std::move(self))
        , m_partition(partition)
        , m_clock(clock)
    {
    }

    std::map<std::uint16_t, std::pair<std::string, ConfigurationManager *>> nodes; ///< Name and manager of each node, by port.

    [[nodiscard]] asio::awaitable<Result<CommittedConfiguration>> fetchCommitted(Endpoint peer) override
    {
        ConfigurationManager *target = findReachable(peer);
        if (target == nullptr || !target->committed()) {
            co_return fail(ErrorId::NotFound, "fake.fetch", peer.text(), "the peer is unreachable or has no configuration");
        }
        co_return *target->committed();
    }

    [[nodiscard]] asio::awaitable<Result<std::string>> fetchBody(Endpoint peer, Digest digest) override
    {
        ConfigurationManager *target = findReachable(peer);
        if (target == nullptr) {
            co_return fail(ErrorId::ConnectFailed, "fake.fetch", peer.text(), "the peer is unreachable");
        }
        co_return target->findLocalBody(digest);
    }

    [[nodiscard]] asio::awaitable<Result<void>> offer(Endpoint peer, ConfigurationOffer offer) override
    {
        ConfigurationManager *target = findReachable(peer);
        if (target == nullptr) {
            co_await m_clock.sleep(std::chrono::seconds(1)); // A blocked request fails only after a timeout.
            co_return fail(ErrorId::ConnectFailed, "fake.offer", peer.text(), "the peer is unreachable");
        }
        co_return target->storeOffer(offer);
    }

private:
    ConfigurationManager *findReachable(const Endpoint &peer)
    {
        const auto found = nodes.find(peer.port);
        const bool isReachable = found != nodes.end() && found->second.second != nullptr
            && !m_partition.isBlocked(m_self, found->second.first) && !m_partition.isBlocked(found->second.first, m_self);
        return isReachable ? found->second.second : nullptr;
    }

    std::string m_self;
    const NetworkPartition &m_partition;
    Clock &m_clock;
};

} // namespace apricotarch::fakes
