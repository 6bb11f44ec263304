#include "apricotarch/protocol/request_rate_codec.h"

#include <algorithm>
#include <cmath>

#include "peer_types.h"

namespace apricotarch
{

namespace
{

/// Factor from requests per second to requests per 1,000 seconds.
constexpr double RateScale = 1000;

} // namespace

std::vector<wire::RateStatement> requestRatesToWire(const std::vector<ReportedRequestRate> &rates)
{
    std::vector<wire::RateStatement> messages;
    for (const ReportedRequestRate &rate : rates) {
        wire::RateStatement message;
        message.replica = rate.server.value();
        message.startedAt = rate.startedAt;
        message.ageMs = static_cast<std::int32_t>(rate.age.count());
        if (rate.perSecond) {
            message.__set_perThousandSeconds(static_cast<std::int32_t>(std::lround(*rate.perSecond * RateScale)));
        }
        messages.push_back(std::move(message));
    }
    return messages;
}

std::vector<ReportedRequestRate> requestRatesFromWire(const std::vector<wire::RateStatement> &messages)
{
    std::vector<ReportedRequestRate> rates;
    for (const wire::RateStatement &message : messages) {
        ReportedRequestRate rate;
        rate.server = ReplicaId(message.replica);
        rate.startedAt = message.startedAt;
        rate.age = std::chrono::milliseconds(std::max(message.ageMs, 0));
        if (message.__isset.perThousandSeconds) {
            rate.perSecond = std::max(message.perThousandSeconds, 0) / RateScale;
        }
        rates.push_back(std::move(rate));
    }
    return rates;
}

} // namespace apricotarch
