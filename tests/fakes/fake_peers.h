#pragma once

/**
 * @file
 * Requests between the configuration keepers of a test, with cuts between any two.
 */

#include <functional>
#include <map>
#include <set>
#include <utility>

#include "apricotarch/coordination/configuration_keeper.h"
#include "apricotarch/coordination/peers.h"

namespace apricotarch::fakes
{

/// Which nodes cannot reach which.
class Cuts
{
public:
    void cut(const std::string &from, const std::string &to)
    {
        m_cuts.insert({from, to});
    }

    void heal()
    {
        m_cuts.clear();
    }

    [[nodiscard]] bool isCut(const std::string &from, const std::string &to) const
    {
        return m_cuts.contains({from, to});
    }

private:
    std::set<std::pair<std::string, std::string>> m_cuts;
};

/// The way of one node to the others; peers are known by their port.
class FakePeers final : public PeerLink
{
public:
    FakePeers(std::string self, const Cuts &cuts, Clock &clock)
        : m_self(std::move(self))
        , m_cuts(cuts)
        , m_clock(clock)
    {
    }

    std::map<std::uint16_t, std::pair<std::string, ConfigurationKeeper *>> keepers;

    [[nodiscard]] asio::awaitable<Result<CommittedConfiguration>> fetchCommitted(Endpoint peer) override
    {
        ConfigurationKeeper *keeper = reach(peer);
        if (keeper == nullptr || !keeper->committed()) {
            co_return fail(ErrorId::NotFound, "fake.fetch", peer.text(), "cut off or nothing known");
        }
        co_return *keeper->committed();
    }

    [[nodiscard]] asio::awaitable<Result<std::string>> fetchBody(Endpoint peer, Digest digest) override
    {
        ConfigurationKeeper *keeper = reach(peer);
        if (keeper == nullptr) {
            co_return fail(ErrorId::ConnectFailed, "fake.fetch", peer.text(), "cut off");
        }
        co_return keeper->body(digest);
    }

    [[nodiscard]] asio::awaitable<Result<void>> offer(Endpoint peer, ConfigurationOffer offer) override
    {
        ConfigurationKeeper *keeper = reach(peer);
        if (keeper == nullptr) {
            co_await m_clock.sleep(std::chrono::seconds(1)); // A cut is seen as a timeout only.
            co_return fail(ErrorId::ConnectFailed, "fake.offer", peer.text(), "cut off");
        }
        co_return keeper->hold(offer);
    }

private:
    ConfigurationKeeper *reach(const Endpoint &peer)
    {
        const auto found = keepers.find(peer.port);
        const bool reachable = found != keepers.end() && found->second.second != nullptr && !m_cuts.isCut(m_self, found->second.first)
            && !m_cuts.isCut(found->second.first, m_self);
        return reachable ? found->second.second : nullptr;
    }

    std::string m_self;
    const Cuts &m_cuts;
    Clock &m_clock;
};

} // namespace apricotarch::fakes
