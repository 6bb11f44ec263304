#include "apricotarch/app/request_rate_limits.h"

#include <algorithm>
#include <sstream>
#include <string>

#include "apricotarch/base/log.h"
#include "apricotarch/coordination/rate_division.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// Limits in one heartbeat, at about 30 bytes each.
constexpr std::size_t MaxReports = 16;

/// The end of a limit is reported for this long, so that each node learns of it.
constexpr Duration EndReportTime = 30s;

FleetView fleetView(const FrontState &state)
{
    const TimePoint now = state.clock.now();
    return {state.settings.peerAddress, state.peers.budgetAddresses(now), state.peers.countBudgetNodes(now)};
}

std::string formatRate(double perSecond)
{
    std::ostringstream text;
    text << perSecond;
    return text.str();
}

void updateShare(Backend &server, const FleetView &fleet, TimePoint now)
{
    if (!server.rateStatement.perSecond) {
        server.rateShare.clear();
        return;
    }
    const RateAllowance allowance = divideRequestRate(*server.rateStatement.perSecond, server.record.id, fleet);
    if (server.rateShare.isLimited() && server.rateShare.allowance() == allowance) {
        return;
    }
    server.rateShare.setAllowance(allowance, now);
    LogEvent("server.rate_share")
        .field("server", server.record.id)
        .field("per_second", formatRate(allowance.perSecond))
        .field("burst", formatRate(allowance.burst))
        .field("total_per_second", formatRate(allowance.totalPerSecond))
        .field("nodes", fleet.nodeCount);
}

} // namespace

void applyRateStatement(FrontState &state, Backend &server, std::string_view source, const RequestId &request)
{
    const std::optional<double> &perSecond = server.rateStatement.perSecond;
    state.metrics.increment(CounterFamily::Servers, perSecond ? "rate_limited" : "rate_limit_ended");
    LogEvent(perSecond ? "server.rate_limited" : "server.rate_limit_ended")
        .field("server", server.record.id)
        .field("request", request)
        .field("source", source)
        .field("per_second", perSecond ? formatRate(*perSecond) : "");
    updateShare(server, fleetView(state), state.clock.now());
}

void updateRateShares(FrontState &state)
{
    std::optional<FleetView> fleet;
    for (const auto &[id, server] : state.backends.all()) {
        if (!server->rateStatement.perSecond && !server->rateShare.isLimited()) {
            continue;
        }
        if (!fleet) {
            fleet = fleetView(state);
        }
        updateShare(*server, *fleet, state.clock.now());
    }
}

bool takeFromRateShare(FrontState &state, Backend &server)
{
    if (!server.rateShare.isLimited()) {
        return true;
    }
    const bool taken = server.rateShare.take(state.clock.now());
    state.metrics.increment(CounterFamily::Servers, taken ? "rate_limit_sends" : "rate_limit_waits");
    return taken;
}

std::vector<ReportedRequestRate> reportRequestRates(const BackendTable &backends, TimePoint now)
{
    std::vector<ReportedRequestRate> reports;
    for (const auto &[id, server] : backends.all()) {
        const RequestRateStatement &statement = server->rateStatement;
        if (statement.statedAt && (statement.perSecond || now - *statement.statedAt <= EndReportTime)) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *statement.statedAt);
            reports.push_back({id, server->record.startedAt, statement.perSecond, age});
        }
    }
    std::ranges::sort(reports, {}, &ReportedRequestRate::age);
    reports.resize(std::min(reports.size(), MaxReports));
    return reports;
}

bool mergeRequestRates(FrontState &state, const std::vector<ReportedRequestRate> &reports)
{
    bool changed = false;
    for (const ReportedRequestRate &report : reports) {
        if (state.backends.mergeRequestRate(report, state.clock.now())) {
            changed = true;
            applyRateStatement(state, *state.backends.find(report.server), "peer");
        }
    }
    return changed;
}

} // namespace apricotarch
