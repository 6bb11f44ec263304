#pragma once

/**
 * @file
 * Finds parts of prompts that crash the engines that begin an answer to them, and quarantines these parts.
 *
 * No two requests with such a part need to be alike, and they come at any node. So the evidence is collected for each part and shared by
 * all nodes: the engine processes that ended while they ran a prompt with it, weighted by how likely it is that the prompt was the cause,
 * and the answers that were given. Sound parts that were in the same prompts, or at the same engines, are answered elsewhere, which clears
 * them.
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

/// A prompt whose answer has gone on for this long after its first event does not crash its engine.
constexpr std::chrono::milliseconds SafeAnswerTime{1000};

/**
 * Returns how likely it is that a prompt has crashed its engine, compared with a prompt whose answer had not begun. An engine crashes when
 * it begins to write an answer, so some events may have been received.
 * @param sinceFirstEvent time from the first event of the answer to the crash; empty if no event was received
 * @return from 0 to 1
 */
[[nodiscard]] double crashLikelihood(std::optional<Duration> sinceFirstEvent);

/// The end of an engine's process while it ran a prompt.
struct ObservedCrash
{
    std::uint32_t process = 0; ///< See engineProcessHash().
    TimePoint at;
    double likelihood = 1; ///< That the prompt is the cause, see crashLikelihood().
    bool isConfirmed = true; ///< Whether the process is known to have ended. Other nodes are told only of such crashes.
};

/// Evidence on parts of prompts, and the parts in quarantine. Not thread-safe; used on one event loop.
class PromptPartQuarantine
{
public:
    /// Sum of the likelihoods of a part's crashes at which it is quarantined; one more if another part is as likely the cause. Three
    /// crashes soon after the first event suffice.
    static constexpr double CrashThreshold = 2.7;

    /// The same for parts that were answered shortly before the crashes: five crashes.
    static constexpr double AnsweredCrashThreshold = 4.5;

    /// A crash counts for this long, so a part may be tried again this long after the first of its last three crashes.
    static constexpr std::chrono::minutes CrashPeriod{5};

    /// Most parts in one heartbeat.
    static constexpr std::size_t MaxReportedParts = 24;

    // ---- observations of this node ----

    /**
     * Records that an engine ended while it ran a prompt. The prompt's last part belongs to the request itself or to its session and is
     * left out.
     * @param prompt the prompt
     * @param crash the engine's process, when it ended, and how likely the prompt is the cause, see crashLikelihood()
     */
    void recordCrash(const std::vector<PromptPart> &prompt, const ObservedCrash &crash);

    /// Confirms the unconfirmed crashes of a process, so that other nodes are told of them.
    void confirmCrash(std::uint32_t process);

    /// Drops the unconfirmed crashes of a process, which has not ended.
    void refuteCrash(std::uint32_t process);

    /// Records that a prompt was answered, or that its answer has gone on for SafeAnswerTime. Clears its parts of earlier crashes.
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
    struct Crash
    {
        TimePoint at;
        double likelihood = 1; ///< Of the likeliest prompt with the part at that process.
        bool isConfirmed = true;
    };

    struct Evidence
    {
        int position = 0;
        std::map<std::uint32_t, Crash> crashes; ///< By process.
        std::optional<TimePoint> answeredAt;
        int reportsLeft = 0; ///< Heartbeats in which the evidence is still reported.
    };

    /// Adds a crash, or raises the likelihood of one that is known. @return whether anything has changed
    static bool addCrash(Evidence &evidence, const ObservedCrash &crash);
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
