#include "checks.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

#include "context.h"
#include "front.h"
#include "replica.h"

namespace apricotarch::soak
{

namespace
{

constexpr milliseconds LossSlack{200}; ///< After it, also a request that was not passed on must not lose its connection.
constexpr milliseconds RefusalTime{250}; ///< Longest time that a refusal takes while a node stops.
constexpr milliseconds EarlyTime{3000}; ///< Requests sent that long after SIGTERM may be cut if their replica works for too long.
constexpr std::size_t LossesWithoutPlan = 3; ///< Allowed outside planned work.
constexpr std::size_t JoinedStreams = 2; ///< Streams of two software versions that are allowed.
constexpr milliseconds RateWindow{4000};
constexpr milliseconds ToldTime{500}; ///< After a node has passed on an answer with a limit, the limit holds for it.
constexpr milliseconds LastSixth = GracePeriod * 5 / 6;

/// Statuses that promise that the request has not run and never will.
bool promisesNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/// Looks at the evidence call by call.
class Checker
{
public:
    explicit Checker(const Evidence &evidence)
        : m_evidence(evidence)
        , m_context(evidence)
    {
        for (const Run &run : evidence.runs()) {
            m_runs[run.requestId].push_back(&run);
        }
    }

    std::vector<Finding> check()
    {
        for (const Call &call : m_evidence.calls()) {
            checkLoss(call);
            checkRuns(call);
            checkAnswer(call);
            checkRefusal(call);
            checkDraining(call);
        }
        if (m_lostWithoutPlan.size() > LossesWithoutPlan) {
            for (const Call *call : m_lostWithoutPlan) {
                add("LOST", "planned_work=no", *call);
            }
        }
        checkAsked();
        checkStops();
        checkVersions();
        for (const RateLimit &limit : m_evidence.rateLimits()) {
            checkRate(limit);
        }
        checkConfiguration(m_evidence, m_findings);
        return std::move(m_findings);
    }

private:
    [[nodiscard]] const std::vector<const Run *> &runsOf(const Call &call) const
    {
        static const std::vector<const Run *> None;
        const auto found = m_runs.find(call.id);
        return found == m_runs.end() ? None : found->second;
    }

    void add(std::string rule, std::string text, const Call &call)
    {
        m_findings.push_back({std::move(rule), std::move(text), &call, call.node});
    }

    /// LOST: a request that the node has read ends without a complete answer.
    void checkLoss(const Call &call)
    {
        if (!call.sent || (call.status != 0 && call.complete)) {
            return;
        }
        const auto &runs = runsOf(call);
        // A request that crosses the node's close and is not passed on does not count, if the close comes at once.
        if (runs.empty() && call.end - *call.sent <= LossSlack) {
            return;
        }
        // The time limit of the caller, or that of the route, was reached.
        if (call.end - call.begin >= call.workload->timeLimit) {
            return;
        }
        // The replica broke off.
        const bool brokeOff = std::any_of(runs.begin(), runs.end(), [](const Run *run) {
            return run->brokeOff;
        });
        // The node was disturbed from the contact time before the request to its end.
        if (brokeOff || m_context.isDisturbed(call.node, call.begin, call.end)) {
            return;
        }
        // The request was sent soon after SIGTERM, and its replica was still at work in the last sixth of the grace period.
        if (const Stop *stop = m_context.stopOf(call); stop != nullptr && *call.sent <= stop->begin + EarlyTime) {
            const bool isAtWork = std::any_of(runs.begin(), runs.end(), [stop](const Run *run) {
                return run->end >= stop->begin + LastSixth;
            });
            if (isAtWork) {
                return;
            }
        }
        if (m_context.isPlannedWork(call)) {
            add("LOST", runs.empty() ? "planned_work=yes passed_on=no" : "planned_work=yes passed_on=yes", call);
            return;
        }
        // At other times only machines in touch and sound replicas count, and a few requests are allowed.
        const bool isSound = !runs.empty() && std::all_of(runs.begin(), runs.end(), [](const Run *run) {
            return run->isSound && !run->declined;
        });
        if (isSound && m_context.isInTouch(call.node, call.begin, call.end)) {
            m_lostWithoutPlan.push_back(&call);
        }
    }

    /// TWICE and REFUSED: requests that run at most once.
    void checkRuns(const Call &call)
    {
        if (!call.workload->runsOnce()) {
            return;
        }
        const auto &runs = runsOf(call);
        const auto count = std::count_if(runs.begin(), runs.end(), [](const Run *run) {
            return !run->declined;
        });
        if (count > 1) {
            add("TWICE", "runs=" + std::to_string(count), call);
        }
        if (count > 0 && promisesNotRun(call.status)) {
            add("REFUSED", "runs=" + std::to_string(count), call);
        }
    }

    /// MIXED and ORDER: a success is a replica's whole answer to this request, and what came of a cut one is its beginning.
    void checkAnswer(const Call &call)
    {
        if (call.status < 200 || call.status >= 300) {
            return;
        }
        if (!call.isSealed) {
            add("MIXED", "seal=foreign", call);
        }
        if (call.complete && !call.isWhole) {
            add(call.workload->isStream() ? "ORDER" : "MIXED", "complete=yes body=wrong", call);
        } else if (!call.isPart) {
            add(call.workload->isStream() ? "ORDER" : "MIXED", "complete=no body=wrong", call);
        }
    }

    /// A node that stops refuses at once what it does not take.
    void checkRefusal(const Call &call)
    {
        const Stop *stop = m_context.stopOf(call);
        if (stop == nullptr || !call.sent || *call.sent < stop->begin || !promisesNotRun(call.status)) {
            return;
        }
        // A request that replicas had declined took its time there, and a disturbed node has no time to keep.
        const auto &runs = runsOf(call);
        const bool isDeclined = std::any_of(runs.begin(), runs.end(), [](const Run *run) {
            return run->declined;
        });
        if (call.end - *call.sent > RefusalTime && !isDeclined && !m_context.isDisturbed(call.node, call.begin, call.end)) {
            add("SLOW", "refused_ms=" + std::to_string(toMs(call.end - *call.sent)), call);
        }
    }

    /// DRAIN: a leaving replica gets no request after its time of draining from a node that was in touch since.
    void checkDraining(const Call &call)
    {
        for (const Run *run : runsOf(call)) {
            if (run->leaving > DrainTime && m_context.isInTouch(call.node, run->begin - run->leaving, run->begin)) {
                add("DRAIN", "replica=" + run->replica + " leaving_ms=" + std::to_string(run->leaving.count()), call);
            }
        }
    }

    /// UNASKED: replicas run only what callers have sent.
    void checkAsked()
    {
        std::set<std::string_view> ids;
        for (const Call &call : m_evidence.calls()) {
            ids.insert(call.id);
        }
        for (const Probe &probe : m_evidence.probes()) {
            ids.insert(probe.id);
        }
        for (const Run &run : m_evidence.runs()) {
            if (!run.declined && !ids.contains(run.requestId)) {
                m_findings.push_back({"UNASKED", "request=" + run.requestId + " replica=" + run.replica});
            }
        }
    }

    /// ORDER: a stream goes on only at the software version that began it.
    void checkVersions()
    {
        std::unordered_map<std::string_view, std::vector<const Run *>> streams; // By the request that brought the first event.
        std::vector<std::pair<const Call *, const Run *>> joined;
        for (const Call &call : m_evidence.calls()) {
            auto &earlier = streams[call.resumes.empty() ? call.id : call.resumes];
            for (const Run *run : runsOf(call)) {
                const bool goesOn = run->from > 0 && run->events > 0;
                const bool isOfVersion = std::any_of(earlier.begin(), earlier.end(), [run](const Run *before) {
                    return before->version == run->version && before->from < run->from;
                });
                if (goesOn && !earlier.empty() && !isOfVersion) {
                    joined.emplace_back(&call, run);
                }
                if (run->events > 0) {
                    earlier.push_back(run);
                }
            }
        }
        if (joined.size() > JoinedStreams) {
            for (const auto &[call, run] : joined) {
                add("ORDER",
                    "stream=" + call->resumes + " goes_on_at=" + run->version + " after_event=" + std::to_string(run->from),
                    *call);
            }
        }
    }

    /// LIMIT: a replica gets no more requests than it says it takes, from the nodes that it has told.
    void checkRate(const RateLimit &limit)
    {
        std::unordered_map<std::string_view, const Call *> calls;
        std::map<std::size_t, TimePoint> told; // By node.
        for (const Call &call : m_evidence.calls()) {
            calls.emplace(call.id, &call);
            for (const Run *run : runsOf(call)) {
                if (run->replica == limit.replica && run->namesLimit && run->begin >= limit.begin && call.status > 0) {
                    const auto [found, isNew] = told.emplace(call.node, call.end);
                    found->second = std::min(found->second, call.end);
                }
            }
        }
        if (told.empty()) {
            return;
        }
        const auto first = std::ranges::min_element(told, {}, &std::pair<const std::size_t, TimePoint>::second)->second;
        std::vector<TimePoint> counted;
        for (const Run &run : m_evidence.runs()) {
            const auto call = calls.find(run.requestId);
            const bool isInSpan = run.replica == limit.replica && run.begin >= first + ContactTime && run.begin < limit.end;
            if (!isInSpan || call == calls.end()) {
                continue;
            }
            const auto node = told.find(call->second->node);
            if (node != told.end() && run.begin >= node->second + ToldTime
                && !m_context.isInterrupted(node->first, node->second, run.begin)) {
                counted.push_back(run.begin);
            }
        }
        std::ranges::sort(counted);
        const auto allowed = static_cast<std::size_t>(1.5 * limit.perSecond * std::chrono::duration<double>(RateWindow).count()) + 5;
        for (std::size_t index = 0; index < counted.size(); ++index) {
            const auto end = std::ranges::upper_bound(counted, counted[index] + RateWindow);
            const auto count = static_cast<std::size_t>(end - counted.begin()) - index;
            if (count > allowed) {
                m_findings.push_back({"LIMIT",
                    "replica=" + limit.replica + " per_second=" + std::to_string(limit.perSecond) + " got=" + std::to_string(count)
                        + " allowed=" + std::to_string(allowed) + " at_ms=" + std::to_string(m_evidence.age(counted[index]).count())});
                return;
            }
        }
    }

    /// EXIT: a stopped process ends by itself, with status 0, within its grace period.
    void checkStops()
    {
        for (const Stop &stop : m_evidence.stops()) {
            if (stop.status != 0) {
                m_findings.push_back({"EXIT",
                    "node=" + std::to_string(stop.node) + " status=" + std::to_string(stop.status)
                        + " after_ms=" + std::to_string(toMs(stop.end - stop.begin)),
                    nullptr,
                    stop.node});
            }
        }
    }

    const Evidence &m_evidence;
    const Context m_context;
    std::unordered_map<std::string_view, std::vector<const Run *>> m_runs;
    std::vector<const Call *> m_lostWithoutPlan; ///< Without planned work around them.
    std::vector<Finding> m_findings;
};

} // namespace

std::vector<Finding> findBrokenRules(const Evidence &evidence)
{
    return Checker(evidence).check();
}

} // namespace apricotarch::soak
