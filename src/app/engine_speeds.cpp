#include "apricotarch/app/engine_speeds.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

/// A change of the factor in use is logged if the factors differ by more than this.
constexpr double LoggedChange = 1.2;

/// Lines logged in one update. Further changes are logged by the following updates.
constexpr std::size_t MaxLinesPerUpdate = 16;

bool differsMuch(double first, double second)
{
    return std::max(first, second) > LoggedChange * std::min(first, second);
}

std::int64_t toPercent(double factor)
{
    return std::lround(100 * factor);
}

} // namespace

void recordSpeedSample(FrontState &state, const Backend &engine, double expectedMs, Duration measured)
{
    const double measuredMs = std::chrono::duration<double, std::milli>(measured).count();
    if (expectedMs > 0 && state.serverSpeeds.record(engineSpeedKey(engine.record), expectedMs, measuredMs, state.clock.now())) {
        state.metrics.increment(CounterFamily::Servers, "speed_samples");
    }
}

void updateSpeedFactors(FrontState &state)
{
    const TimePoint now = state.clock.now();
    if (!state.serverSpeeds.isUpdateDue(now)) {
        return;
    }
    std::map<std::pair<ServiceId, EngineStage>, std::vector<BackendPointer>> kinds;
    for (const auto &[id, backend] : state.backends.all()) {
        const RoutedService *service = state.plan->service(backend->record.service);
        if (service != nullptr && service->engine && backend->record.state == BackendState::Ready) {
            kinds[{backend->record.service, backend->record.stage}].push_back(backend);
        }
    }
    std::size_t lines = 0;
    for (const auto &[kind, engines] : kinds) {
        std::vector<std::uint32_t> keys;
        for (const BackendPointer &engine : engines) {
            keys.push_back(engineSpeedKey(engine->record));
        }
        const std::string group = kind.first.value() + '/' + std::to_string(static_cast<int>(kind.second));
        const std::vector<double> factors = state.serverSpeeds.factors(group, keys, now);
        for (std::size_t index = 0; index < engines.size(); ++index) {
            Backend &engine = *engines[index];
            engine.speedFactor = factors[index];
            if (!differsMuch(engine.speedFactor, engine.loggedSpeedFactor) || lines >= MaxLinesPerUpdate) {
                continue;
            }
            ++lines;
            LogEvent("server.speed")
                .field("server", engine.record.id)
                .field("percent", toPercent(engine.speedFactor))
                .field("before", toPercent(engine.loggedSpeedFactor))
                .field("estimate", state.serverSpeeds.estimate(keys[index], now).value_or(0));
            engine.loggedSpeedFactor = engine.speedFactor;
        }
    }
}

} // namespace apricotarch
