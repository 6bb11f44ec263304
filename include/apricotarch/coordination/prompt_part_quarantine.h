#pragma once

/**
 * @file
 * Finds parts of prompts that crash the engines that begin an answer to them, and quarantines these parts.
 *
 * No two requests with such a part need to be alike, and they come at any node. So the evidence is collected for each part and shared by
 * all nodes: the engine processes that ended before they had begun an answer, and the answers that were given. Sound parts that were in the
 * same prompts, or at the same engines, are answered elsewhere, which clears them.
 */

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/state/front_heartbeat.h"

namespace apricotarch
{

/// Evidence on parts of prompts, and the parts in quarantine. Not thread-safe; used on one event loop.
class PromptPartQuarantine
{
public:
    /// Crashes without an answer after which a part is quarantined; one more if another part is as likely the cause.
    static constexpr std::size_t CrashThreshold = 3;

    /// The same for parts that were answered shortly before the crashes.
    static constexpr std::size_t AnsweredCrashThreshold = 5;

    /// A crash counts for this long, so a part may be tried again this long after the first of its last three crashes.
    static constexpr std::chrono::minutes CrashPeriod{5};

    /// Most parts in one heartbeat.
    static constexpr std::size_t MaxReportedParts = 24;

    // ---- observations of this node ----

    /**
     * Records that an engine ended before it had begun an answer to a prompt. The prompt's last part belongs to the request itself or to
     * its session and is left out.
     * @param prompt the prompt
     * @param process the engine's process, see engineProcessHash()
     * @param now current time
     */
    void recordCrash(const std::vector<PromptPart> &prompt, std::uint32_t process, TimePoint now);

    /// Records that a prompt was answered, or that its answer has been coming for a while. Clears its parts of earlier crashes.
    void recordAnswer(const std::vector<PromptPart> &prompt, TimePoint now);

    // ---- decisions ----

    /// Returns a part of the prompt that is quarantined, if there is one. Linear in the number of parts.
    [[nodiscard]] std::optional<std::uint64_t> findQuarantined(const std::vector<PromptPart> &prompt) const;

    // ---- sharing ----

    /// Returns evidence for the next heartbeat: all quarantined parts, and parts whose evidence has changed recently.
    [[nodiscard]] std::vector<PartEvidence> nextReports(TimePoint now);

    /**
     * Adds the evidence of another node.
     * @param reports evidence from its heartbeat
     * @param passOn whether this node passes changes on, because not every node hears from every other
     * @param now current time
     * @return whether anything has changed
     */
    bool merge(const std::vector<PartEvidence> &reports, bool passOn, TimePoint now);

    /// Drops evidence that has expired.
    void removeExpired(TimePoint now);

private:
    struct Evidence
    {
        int position = 0;
        std::map<std::uint32_t, TimePoint> crashes; ///< Time of the crash, by process.
        std::optional<TimePoint> answeredAt;
        int reportsLeft = 0; ///< Heartbeats in which the evidence is still reported.
    };

    /// Removes crashes that happened before an answer. @return whether there were any
    static bool clearUntil(Evidence &evidence, TimePoint answeredAt);
    /// Effect of another node's evidence on a part.
    struct MergeResult
    {
        bool changed = false; ///< The evidence of this node has changed.
        bool refuted = false; ///< This node knows of an answer that the other one does not know.
    };

    [[nodiscard]] MergeResult mergeReport(const PartEvidence &report, TimePoint now);
    /// Determines the quarantined parts from the evidence.
    void evaluate();
    /// Returns the part that explains the most of the remaining crashes, if it explains enough for a quarantine.
    [[nodiscard]] std::optional<std::uint64_t> findCulprit(const std::set<std::uint32_t> &explained) const;

    std::unordered_map<std::uint64_t, Evidence> m_evidence; ///< Parts with crashes, or with reports left.
    std::unordered_map<std::uint64_t, TimePoint> m_answeredAt; ///< Last answer of this node, by part.
    std::set<std::uint64_t> m_quarantined;
};

} // namespace apricotarch
