#include "apricotarch/coordination/prompt_part_quarantine.h"

#include <algorithm>
#include <compare>
#include <iterator>
#include <sstream>
#include <tuple>
#include <utility>

#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace
{

/// Heartbeats in which changed evidence is reported, since datagrams may be lost.
constexpr int ReportsPerChange = 3;

/// How long an answer is remembered. Reports of earlier crashes arrive within a few heartbeats.
constexpr std::chrono::seconds AnswerMemory{30};

/// Parts whose sums of likelihoods differ by less than this are equally likely the cause.
constexpr double EqualLikelihoodMargin = 0.5;

/// Most parts whose answers are remembered.
constexpr std::size_t MaxAnsweredParts = 20'000;

/// Most parts with evidence; with more, crashes of further parts are not recorded.
constexpr std::size_t MaxEvidence = 5'000;

/// How likely a part is the cause of crashes, compared with other parts.
struct Rank
{
    bool neverAnswered; ///< No node has answered a prompt with it lately. Parts that most prompts share are at every engine that crashes.
    double crashes; ///< Sum of the likelihoods of the crashes that no likelier part explains.
    int position; ///< A part further back is shared by fewer sound requests.
    std::uint64_t part; ///< Makes the order total.

    auto operator<=>(const Rank &) const = default;
};

std::string hexadecimal(std::uint64_t part)
{
    std::ostringstream text;
    text << std::hex << part;
    return text.str();
}

} // namespace

double crashLikelihood(std::optional<Duration> sinceFirstEvent)
{
    if (!sinceFirstEvent) {
        return 1;
    }
    const double share = std::chrono::duration<double>(*sinceFirstEvent) / std::chrono::duration<double>(SafeAnswerTime);
    return std::clamp(1 - share, 0.0, 1.0);
}

// ---- observations of this node ----

void PromptPartQuarantine::recordCrash(const std::vector<PromptPart> &prompt, const ObservedCrash &crash)
{
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
        if (m_evidence.size() >= MaxEvidence && !m_evidence.contains(prompt[index].id)) {
            continue;
        }
        Evidence &evidence = m_evidence[prompt[index].id];
        evidence.position = std::max(evidence.position, static_cast<int>(index));
        if (addCrash(evidence, crash) && crash.isConfirmed) {
            evidence.reportsLeft = ReportsPerChange;
        }
    }
    evaluate();
}

bool PromptPartQuarantine::addCrash(Evidence &evidence, const ObservedCrash &crash)
{
    if (evidence.answeredAt && crash.at <= *evidence.answeredAt) {
        return false;
    }
    const auto [found, isNew] = evidence.crashes.try_emplace(crash.process, Crash{crash.at, crash.likelihood, crash.isConfirmed});
    Crash &known = found->second;
    const bool changes = isNew || known.likelihood < crash.likelihood || (crash.isConfirmed && !known.isConfirmed);
    known.likelihood = std::max(known.likelihood, crash.likelihood);
    known.isConfirmed = known.isConfirmed || crash.isConfirmed;
    return changes;
}

void PromptPartQuarantine::confirmCrash(std::uint32_t process)
{
    for (auto &[part, evidence] : m_evidence) {
        const auto found = evidence.crashes.find(process);
        if (found != evidence.crashes.end() && !std::exchange(found->second.isConfirmed, true)) {
            evidence.reportsLeft = ReportsPerChange;
        }
    }
}

void PromptPartQuarantine::refuteCrash(std::uint32_t process)
{
    for (auto &[part, evidence] : m_evidence) {
        const auto found = evidence.crashes.find(process);
        if (found != evidence.crashes.end() && !found->second.isConfirmed) {
            evidence.crashes.erase(found);
        }
    }
    evaluate();
}

void PromptPartQuarantine::recordAnswer(const std::vector<PromptPart> &prompt, TimePoint now)
{
    bool cleared = false;
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
        if (m_answeredAt.size() < MaxAnsweredParts || m_answeredAt.contains(prompt[index].id)) {
            m_answeredAt[prompt[index].id] = now;
        }
        const auto found = m_evidence.find(prompt[index].id);
        if (found != m_evidence.end() && clearUntil(found->second, now)) {
            found->second.reportsLeft = ReportsPerChange;
            cleared = true;
        }
    }
    if (cleared) {
        evaluate();
    }
}

bool PromptPartQuarantine::clearUntil(Evidence &evidence, TimePoint answeredAt)
{
    evidence.answeredAt = std::max(evidence.answeredAt.value_or(answeredAt), answeredAt);
    return std::erase_if(evidence.crashes, [&evidence](const auto &crash) {
        return crash.second.at <= *evidence.answeredAt;
    }) > 0;
}

// ---- decisions ----

std::optional<std::uint64_t> PromptPartQuarantine::findQuarantined(const std::vector<PromptPart> &prompt) const
{
    if (m_quarantined.empty()) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
        if (m_quarantined.contains(prompt[index].id)) {
            return prompt[index].id;
        }
    }
    return std::nullopt;
}

void PromptPartQuarantine::evaluate()
{
    std::set<std::uint64_t> quarantined;
    std::set<std::uint32_t> explained;
    while (const std::optional<std::uint64_t> culprit = findCulprit(explained)) {
        quarantined.insert(*culprit);
        for (const auto &[process, crash] : m_evidence.at(*culprit).crashes) {
            explained.insert(process);
        }
    }
    for (const std::uint64_t part : quarantined) {
        if (!m_quarantined.contains(part)) {
            LogEvent("part.quarantined", LogEvent::Level::Warning)
                .field("part", hexadecimal(part))
                .field("crashes", m_evidence.at(part).crashes.size());
        }
    }
    for (const std::uint64_t part : m_quarantined) {
        if (!quarantined.contains(part)) {
            LogEvent("part.released").field("part", hexadecimal(part));
        }
    }
    m_quarantined = std::move(quarantined);
}

std::optional<std::uint64_t> PromptPartQuarantine::findCulprit(const std::set<std::uint32_t> &explained) const
{
    std::vector<Rank> ranks;
    for (const auto &[part, evidence] : m_evidence) {
        double crashes = 0;
        for (const auto &[process, crash] : evidence.crashes) {
            crashes += explained.contains(process) ? 0 : crash.likelihood;
        }
        const bool neverAnswered = !evidence.answeredAt && !m_answeredAt.contains(part);
        if (crashes >= (neverAnswered ? CrashThreshold : AnsweredCrashThreshold)) {
            ranks.push_back({neverAnswered, crashes, evidence.position, part});
        }
    }
    if (ranks.empty()) {
        return std::nullopt;
    }
    const Rank best = *std::ranges::max_element(ranks);
    const auto equallyLikely = std::ranges::count_if(ranks, [&best](const Rank &rank) {
        return rank.crashes > best.crashes - EqualLikelihoodMargin && rank.neverAnswered == best.neverAnswered;
    });
    // A sound part that was in all the same prompts is soon answered in another one, or the part that crashes engines occurs without it.
    if (equallyLikely > 1 && best.crashes < CrashThreshold + 1) {
        return std::nullopt;
    }
    return best.part;
}

// ---- sharing ----

std::vector<PartEvidence> PromptPartQuarantine::nextReports(TimePoint now)
{
    using Entry = std::pair<const std::uint64_t, Evidence>;
    std::vector<Entry *> entries;
    for (Entry &entry : m_evidence) {
        if (entry.second.reportsLeft > 0 || m_quarantined.contains(entry.first)) {
            entries.push_back(&entry);
        }
    }
    const std::size_t count = std::min(entries.size(), MaxReportedParts);
    std::partial_sort(
        entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(count), entries.end(), [](const Entry *left, const Entry *right) {
            return std::tuple(left->second.crashes.size(), left->first) > std::tuple(right->second.crashes.size(), right->first);
        });
    entries.resize(count);
    const auto age = [now](TimePoint time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - time);
    };
    std::vector<PartEvidence> reports;
    for (Entry *entry : entries) {
        Evidence &evidence = entry->second;
        evidence.reportsLeft = std::max(0, evidence.reportsLeft - 1);
        PartEvidence report{entry->first, evidence.position, {}, std::nullopt};
        for (const auto &[process, crash] : evidence.crashes) {
            if (crash.isConfirmed) {
                report.crashes.push_back({process, age(crash.at), crash.likelihood});
            }
        }
        if (evidence.answeredAt) {
            report.answerAge = age(*evidence.answeredAt);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

bool PromptPartQuarantine::merge(const std::vector<PartEvidence> &reports, bool passOn, TimePoint now)
{
    bool changed = false;
    for (const PartEvidence &report : reports) {
        const MergeResult result = mergeReport(report, now);
        changed = changed || result.changed;
        if (result.refuted || (passOn && result.changed)) {
            m_evidence[report.part].reportsLeft = ReportsPerChange;
        }
    }
    if (changed) {
        evaluate();
    }
    return changed;
}

PromptPartQuarantine::MergeResult PromptPartQuarantine::mergeReport(const PartEvidence &report, TimePoint now)
{
    MergeResult result;
    if (!m_evidence.contains(report.part) && (report.crashes.empty() || m_evidence.size() >= MaxEvidence)) {
        return result;
    }
    Evidence &evidence = m_evidence[report.part];
    evidence.position = std::max(evidence.position, report.position);
    if (report.answerAge) {
        result.changed = clearUntil(evidence, now - *report.answerAge);
    }
    if (const auto answered = m_answeredAt.find(report.part); answered != m_answeredAt.end()) {
        result.changed = clearUntil(evidence, answered->second) || result.changed;
        result.refuted = !report.answerAge;
    }
    for (const EngineCrash &crash : report.crashes) {
        const TimePoint time = now - crash.age;
        if (evidence.answeredAt && time <= *evidence.answeredAt) {
            result.refuted = true;
        } else {
            result.changed = addCrash(evidence, {crash.process, time, crash.likelihood}) || result.changed;
        }
    }
    return result;
}

void PromptPartQuarantine::removeExpired(TimePoint now)
{
    std::erase_if(m_answeredAt, [now](const auto &entry) {
        return now - entry.second > AnswerMemory;
    });
    bool changed = false;
    for (auto entry = m_evidence.begin(); entry != m_evidence.end();) {
        Evidence &evidence = entry->second;
        const std::size_t expired = std::erase_if(evidence.crashes, [now](const auto &crash) {
            return now - crash.second.at > CrashPeriod;
        });
        changed = changed || expired > 0;
        entry = evidence.crashes.empty() && evidence.reportsLeft == 0 ? m_evidence.erase(entry) : std::next(entry);
    }
    if (changed) {
        evaluate();
    }
}

} // namespace apricotarch
