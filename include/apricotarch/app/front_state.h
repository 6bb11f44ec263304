#pragma once

/**
 * @file
 * What the parts of a front node share.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "apricotarch/app/front_settings.h"
#include "apricotarch/coordination/crash_ledger.h"
#include "apricotarch/state/metrics.h"
#include "apricotarch/state/rate_meter.h"
#include "apricotarch/state/routing_plan.h"
#include "apricotarch/transport/backend_channel.h"
#include "apricotarch/transport/backend_dialect.h"

namespace apricotarch
{

/// The state of one front node. Entry VMs have one core, so one event loop owns all of it and no lock is needed.
struct FrontState
{
    FrontState(asio::any_io_executor loop, FrontSettings loaded, Clock &time, const BackendDialect &translator, std::uint64_t seed)
        : executor(std::move(loop))
        , settings(std::move(loaded))
        , clock(time)
        , dialect(translator)
        , peers(settings.node, PeerTimes())
        , budget(settings.retries)
        , crashes(CrashTimes())
        , placer(settings.engineSpeed, seed)
        , pool(PoolLimits())
        , random(seed + 1)
    {
    }

    /// Whether new callers may come.
    [[nodiscard]] bool ready() const noexcept
    {
        return !leaving && plan->version() > 0 && serversKnown;
    }

    /// Notes that this node's work at a server has changed. @param tokens more or less of its prompts to be read
    void loadChanged(const Backend &backend, std::int64_t tokens)
    {
        if (onLoadChanged && tokens > 0) {
            onLoadChanged(backend, tokens);
        }
    }

    asio::any_io_executor executor;
    FrontSettings settings;
    Clock &clock;
    const BackendDialect &dialect;
    Metrics metrics;
    std::shared_ptr<const RoutingPlan> plan = std::make_shared<RoutingPlan>();
    bool serversKnown = false; ///< Whether the servers' table has been read once.
    BackendTable backends;
    FrontPeers peers;
    SharedRetryBudget budget;
    CrashLedger crashes;
    Placer placer;
    BackendPool pool;
    std::function<void(const Backend &, std::int64_t tokens)> onLoadChanged; ///< Called where this node's work at a server changes.
    std::vector<PromptUse> uses; ///< Prompts sent since the last beat.
    std::map<ServiceId, RateMeter> readRates; ///< Prompt tokens that this node has given engines to read.
    std::map<ServiceId, RateMeter> eventRates; ///< Events that this node has passed on to callers.
    std::map<ReplicaId, TimePoint> changing; ///< Engines that this node orders to change, and until when they are away.
    std::mt19937_64 random; ///< For jitter.
    std::size_t activeRequests = 0;
    std::size_t bufferedBytes = 0; ///< Of requests' bodies.
    bool leaving = false; ///< Whether a shutdown has begun.
};

} // namespace apricotarch
