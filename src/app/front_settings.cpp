#include "apricotarch/app/front_settings.h"

#include <algorithm>

#include "apricotarch/app/settings_reader.h"
#include "apricotarch/protocol/yaml_map.h"

namespace apricotarch
{

namespace
{

constexpr NumberRange LogLinesPerSecondRange{1, 100'000};

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
    settings.logLinesPerSecond = static_cast<std::size_t>(root.numberOr("log_lines_per_second", LogLinesPerSecondRange, 100));
}

void readEngines(YamlMap &root, FrontSettings &settings)
{
    EngineCostModel &speed = settings.engineCosts;
    speed.prefillTokensPerMs = std::max(1.0, root.realOr("prefill_tokens_per_ms", speed.prefillTokensPerMs));
    speed.minSplitGainMs = root.realOr("split_penalty_ms", speed.minSplitGainMs);
    speed.prefixCacheShare = root.realOr("cache_share", speed.prefixCacheShare);
    speed.prefillWeight = root.realOr("read_weight", speed.prefillWeight);
    speed.forwardPriorities = root.flagOr("use_priorities", speed.forwardPriorities);
    speed.decodeInterference = root.realOr("interference", speed.decodeInterference);
    speed.maxWaitMs = root.realOr("longest_wait_ms", speed.maxWaitMs);
    settings.prefillShare = root.realOr("prefill_share", settings.prefillShare);
    settings.maxStreamsPerEngine = std::max(1.0, root.realOr("streams_per_engine", settings.maxStreamsPerEngine));
    speed.fetchWeight = root.realOr("copy_weight", speed.fetchWeight);
    speed.minFetchTokens = static_cast<std::int64_t>(root.realOr("least_copied_tokens", static_cast<double>(speed.minFetchTokens)));
    speed.rankPenaltyMs = root.realOr("home_step_ms", speed.rankPenaltyMs);
    speed.prefillChunkTokens = std::max(1.0, root.realOr("prefill_chunk_tokens", speed.prefillChunkTokens));
}

} // namespace

tl::expected<FrontSettings, ValidationErrors> parseFrontSettings(const std::string &text)
{
    ValidationErrors faults;
    std::optional<YamlMap> root = parseYamlMap(text, faults);
    if (!root) {
        return tl::unexpected(faults);
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
    root->reportUnknownKeys();
    if (!faults.empty()) {
        return tl::unexpected(faults);
    }
    return settings;
}

} // namespace apricotarch
