#include "apricotarch/app/front_settings.h"

#include <algorithm>

#include "apricotarch/app/settings_reader.h"
#include "apricotarch/protocol/yaml_map.h"

namespace apricotarch
{

namespace
{

/// Shares of the memory limit that buffers and request bodies may take. The rest is for the node's state, copies and unused memory of the
/// allocator.
constexpr double MaxBufferShare = 0.35;
constexpr double MaxBodyShare = 0.25;

constexpr double BytesPerMegabyte = 1024 * 1024;

constexpr NumberRange LogLinesPerSecondRange{1, 100'000};
constexpr NumberRange MaxFullMeshNodesRange{1, 1'000};
constexpr NumberRange ReturnIntervalRange{0, 60'000};

/// Longest window of usage reports, and longest time in which a report is due.
constexpr double MaxUsageSeconds = 3'600;

std::size_t shareOf(std::size_t megabytes, double share)
{
    return static_cast<std::size_t>(static_cast<double>(megabytes) * BytesPerMegabyte * share);
}

Duration seconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

void readLimits(YamlMap &root, FrontSettings &settings)
{
    settings.retryLimits.ratio = root.realOr("retry_ratio", settings.retryLimits.ratio);
    settings.retryLimits.slack = root.realOr("retry_slack", settings.retryLimits.slack);
    settings.retryLimits.window = seconds(root.realOr("retry_window_s", 10));
    settings.gracePeriod = seconds(root.realOr("grace_s", 8));
    settings.directoryTtl = std::chrono::milliseconds(static_cast<std::int64_t>(1000 * root.realOr("directory_ttl_s", 1)));
    settings.memoryLimitMegabytes = static_cast<std::size_t>(root.realOr("memory_megabytes", 256));
    settings.maxFullMeshNodes = static_cast<std::size_t>(
        root.numberOr("max_full_mesh_nodes", MaxFullMeshNodesRange, static_cast<std::int64_t>(settings.maxFullMeshNodes)));
    settings.maxBroadcastLoadNodes = static_cast<std::size_t>(
        root.numberOr("max_broadcast_load_nodes", MaxFullMeshNodesRange, static_cast<std::int64_t>(settings.maxBroadcastLoadNodes)));
    settings.logLinesPerSecond = static_cast<std::size_t>(root.numberOr("log_lines_per_second", LogLinesPerSecondRange, 100));
}

void readEngines(YamlMap &root, FrontSettings &settings)
{
    EngineCostModel &engineCosts = settings.engineCosts;
    engineCosts.prefillTokensPerMs = std::max(1.0, root.realOr("prefill_tokens_per_ms", engineCosts.prefillTokensPerMs));
    engineCosts.minSplitGainMs = root.realOr("split_penalty_ms", engineCosts.minSplitGainMs);
    engineCosts.prefixCacheShare = root.realOr("cache_share", engineCosts.prefixCacheShare);
    engineCosts.prefillWeight = root.realOr("read_weight", engineCosts.prefillWeight);
    engineCosts.forwardPriorities = root.flagOr("use_priorities", engineCosts.forwardPriorities);
    engineCosts.decodeInterference = root.realOr("interference", engineCosts.decodeInterference);
    engineCosts.maxWaitMs = root.realOr("longest_wait_ms", engineCosts.maxWaitMs);
    settings.prefillShare = root.realOr("prefill_share", settings.prefillShare);
    settings.maxStreamsPerEngine = std::max(1.0, root.realOr("streams_per_engine", settings.maxStreamsPerEngine));
    engineCosts.fetchWeight = root.realOr("copy_weight", engineCosts.fetchWeight);
    engineCosts.minFetchTokens =
        static_cast<std::int64_t>(root.realOr("least_copied_tokens", static_cast<double>(engineCosts.minFetchTokens)));
    engineCosts.rankPenaltyMs = root.realOr("home_step_ms", engineCosts.rankPenaltyMs);
    engineCosts.prefillChunkTokens = std::max(1.0, root.realOr("prefill_chunk_tokens", engineCosts.prefillChunkTokens));
}

/// Reads a duration of usage reports, which must be longer than zero.
Duration readUsageTime(YamlMap &root, const std::string &key, Duration fallback)
{
    const double count = root.realOr(key, std::chrono::duration<double>(fallback).count());
    if (count < 0.001 || count > MaxUsageSeconds) {
        root.addError(key, "must be from 0.001 to 3600 seconds");
        return fallback;
    }
    return seconds(count);
}

void readDuties(YamlMap &root, FrontSettings &settings)
{
    if (root.has("duty_address")) {
        settings.dutyAddress = readEndpoint(root, "duty_address");
    }
    settings.duties = root.textsOr("duties");
    for (const std::string &duty : settings.duties) {
        if (duty != duty_name::UsageReport && duty != duty_name::Autoscale) {
            root.addError("duties", "unknown duty \"" + duty + "\"; must be usage_report or autoscale");
        }
    }
    if (!settings.duties.empty() && !settings.dutyAddress) {
        root.addError("duties", "need duty_address, to which their calls are sent");
    }
    settings.usageWindow = readUsageTime(root, "report_window_s", settings.usageWindow);
    settings.usageDueTime = readUsageTime(root, "usage_late_s", settings.usageDueTime);
    settings.leaseReturnInterval =
        std::chrono::milliseconds(root.numberOr("lease_ms", ReturnIntervalRange, toMilliseconds(settings.leaseReturnInterval)));
}

} // namespace

bool FrontSettings::hasDuty(std::string_view duty) const
{
    return std::ranges::find(duties, duty) != duties.end();
}

std::size_t FrontSettings::bufferLimitBytes() const noexcept
{
    return shareOf(memoryLimitMegabytes, MaxBufferShare);
}

std::size_t FrontSettings::bodyLimitBytes() const noexcept
{
    return shareOf(memoryLimitMegabytes, MaxBodyShare);
}

tl::expected<FrontSettings, ValidationErrors> parseFrontSettings(const std::string &text)
{
    ValidationErrors errors;
    std::optional<YamlMap> root = parseYamlMap(text, errors);
    if (!root) {
        return tl::unexpected(errors);
    }
    FrontSettings settings;
    settings.node = NodeId(root->text("node"));
    settings.zone = ZoneId(root->text("zone"));
    settings.callerAddress = readEndpoint(*root, "caller_address");
    settings.readyAddress = readEndpoint(*root, "ready_address");
    settings.directoryAddress = readEndpoint(*root, "directory_address");
    settings.peerAddress = readEndpoint(*root, "peer_address");
    settings.metricsAddress = readEndpoint(*root, "metrics_address");
    settings.storeAddress = readEndpoint(*root, "store_address");
    settings.peerKey = readSecret(*root, "peer_key");
    if (root->has("seeds")) {
        settings.seeds = root->texts("seeds");
    }
    readLimits(*root, settings);
    readEngines(*root, settings);
    readDuties(*root, settings);
    root->reportUnknownKeys();
    if (!errors.empty()) {
        return tl::unexpected(errors);
    }
    return settings;
}

} // namespace apricotarch
