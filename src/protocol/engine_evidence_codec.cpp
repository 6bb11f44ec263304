#include "apricotarch/protocol/engine_evidence_codec.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "peer_types.h"

namespace apricotarch
{

namespace
{

/// A likelihood of 1 in percent.
constexpr std::int32_t FullPercent = 100;

} // namespace

void writePartEvidence(wire::FrontBeat &message, const FrontHeartbeat &heartbeat)
{
    for (const PartEvidence &entry : heartbeat.partEvidence) {
        wire::PartEvidence evidence;
        evidence.part = static_cast<std::int64_t>(entry.part);
        evidence.position = entry.position;
        for (const EngineCrash &crash : entry.crashes) {
            evidence.crashes.push_back(static_cast<std::int32_t>(crash.process));
            evidence.crashAges.push_back(static_cast<std::int32_t>(crash.age.count()));
            evidence.crashLikelihoods.push_back(static_cast<std::int32_t>(std::lround(crash.likelihood * FullPercent)));
        }
        evidence.__isset.crashLikelihoods = true;
        if (entry.answerAge) {
            evidence.__set_answerAge(static_cast<std::int32_t>(entry.answerAge->count()));
        }
        message.partEvidence.push_back(std::move(evidence));
        message.__isset.partEvidence = true;
    }
}

void readPartEvidence(FrontHeartbeat &heartbeat, const wire::FrontBeat &message)
{
    for (const wire::PartEvidence &entry : message.partEvidence) {
        PartEvidence evidence;
        evidence.part = static_cast<std::uint64_t>(entry.part);
        evidence.position = entry.position;
        for (std::size_t index = 0; index < std::min(entry.crashes.size(), entry.crashAges.size()); ++index) {
            const std::int32_t percent = index < entry.crashLikelihoods.size() ? entry.crashLikelihoods[index] : FullPercent;
            evidence.crashes.push_back({static_cast<std::uint32_t>(entry.crashes[index]),
                std::chrono::milliseconds(entry.crashAges[index]),
                std::clamp(percent, 0, FullPercent) / static_cast<double>(FullPercent)});
        }
        if (entry.__isset.answerAge) {
            evidence.answerAge = std::chrono::milliseconds(entry.answerAge);
        }
        heartbeat.partEvidence.push_back(std::move(evidence));
    }
}

void writeSpeedSamples(wire::FrontBeat &message, const FrontHeartbeat &heartbeat)
{
    if (heartbeat.speedSamples.empty()) {
        return;
    }
    for (const SpeedSample &sample : heartbeat.speedSamples) {
        message.speedKeys.push_back(static_cast<std::int32_t>(sample.engine));
        message.speedPercents.push_back(sample.percent);
    }
    message.__isset.speedKeys = true;
    message.__isset.speedPercents = true;
}

void readSpeedSamples(FrontHeartbeat &heartbeat, const wire::FrontBeat &message)
{
    for (std::size_t index = 0; index < std::min(message.speedKeys.size(), message.speedPercents.size()); ++index) {
        heartbeat.speedSamples.push_back({static_cast<std::uint32_t>(message.speedKeys[index]), message.speedPercents[index]});
    }
}

} // namespace apricotarch
