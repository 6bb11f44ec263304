#include "checks.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <unordered_map>

#include "front.h"

namespace apricotarch::soak
{

namespace
{

constexpr milliseconds LossSlack{200}; ///< After it, also a request that was not passed on must not lose its connection.
constexpr milliseconds RefusalTime{250}; ///< Longest time that a refusal takes while a node stops.
constexpr milliseconds EarlyTime{3000}; ///< Requests sent that long after SIGTERM may be cut if their replica works for too long.
constexpr milliseconds LastSixth = GracePeriod * 5 / 6;

std::int64_t toMs(Clock::duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

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
        }
        checkAsked();
        checkStops();
        return std::move(m_findings);
    }

private:
    [[nodiscard]] const std::vector<const Run *> &runsOf(const Call &call) const
    {
        static const std::vector<const Run *> None;
        const auto found = m_runs.find(call.id);
        return found == m_runs.end() ? None : found->second;
    }

    /// Returns the stop of the call's node in which the call or a part of it lies.
    [[nodiscard]] const Stop *stopOf(const Call &call) const
    {
        const auto found = std::find_if(m_evidence.stops().begin(), m_evidence.stops().end(), [&call](const Stop &stop) {
            return stop.node == call.node && call.end >= stop.begin && call.begin <= stop.end;
        });
        return found == m_evidence.stops().end() ? nullptr : &*found;
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
        if (!runs.empty() && runs.back()->brokeOff) {
            return;
        }
        // The request was sent soon after SIGTERM, and its replica was still at work in the last sixth of the grace period.
        if (const Stop *stop = stopOf(call); stop != nullptr && *call.sent <= stop->begin + EarlyTime) {
            const bool isAtWork = std::any_of(runs.begin(), runs.end(), [stop](const Run *run) {
                return run->end >= stop->begin + LastSixth;
            });
            if (isAtWork) {
                return;
            }
        }
        add("LOST", runs.empty() ? "read=yes passed_on=no" : "passed_on=yes", call);
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
        const Stop *stop = stopOf(call);
        if (stop == nullptr || !call.sent || *call.sent < stop->begin || !promisesNotRun(call.status)) {
            return;
        }
        if (call.end - *call.sent > RefusalTime) {
            add("SLOW", "refused_ms=" + std::to_string(toMs(call.end - *call.sent)), call);
        }
    }

    /// UNASKED: replicas run only what callers have sent.
    void checkAsked()
    {
        std::set<std::string_view> ids;
        for (const Call &call : m_evidence.calls()) {
            ids.insert(call.id);
        }
        for (const Run &run : m_evidence.runs()) {
            if (!run.declined && !ids.contains(run.requestId)) {
                m_findings.push_back({"UNASKED", "request=" + run.requestId + " replica=" + run.replica});
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
    std::unordered_map<std::string_view, std::vector<const Run *>> m_runs;
    std::vector<Finding> m_findings;
};

/// Returns the stop of the call's node whose SIGTERM is next to the call's end.
const Stop *nearestStop(const Evidence &evidence, const Call &call)
{
    const Stop *nearest = nullptr;
    const auto distance = [&call](const Stop &stop) {
        return std::abs(toMs(call.end - stop.begin));
    };
    for (const Stop &stop : evidence.stops()) {
        if (stop.node == call.node && (nearest == nullptr || distance(stop) < distance(*nearest))) {
            nearest = &stop;
        }
    }
    return nearest;
}

} // namespace

std::vector<Finding> findBrokenRules(const Evidence &evidence)
{
    return Checker(evidence).check();
}

void printCounts(const Evidence &evidence)
{
    std::map<std::string, std::map<std::string, int>> outcomes;
    for (const Call &call : evidence.calls()) {
        const std::string outcome = call.status == 0 ? "no_answer" : call.complete ? std::to_string(call.status) : "cut";
        ++outcomes[call.workload->name][outcome];
    }
    for (const auto &[name, counts] : outcomes) {
        std::cout << "calls kind=" << name;
        for (const auto &[outcome, count] : counts) {
            std::cout << ' ' << outcome << '=' << count;
        }
        std::cout << '\n';
    }
    std::cout << "total calls=" << evidence.calls().size() << " runs=" << evidence.runs().size() << " stops=" << evidence.stops().size()
              << std::endl;
}

void printSummary(const Evidence &evidence, const std::vector<Finding> &findings)
{
    struct Group
    {
        int count = 0;
        std::set<std::int64_t> sent;
        std::set<std::int64_t> ended;
    };
    std::map<std::string, Group> groups;
    for (const Finding &finding : findings) {
        const Call *call = finding.call;
        Group &group = groups["rule=" + finding.rule + " kind=" + (call == nullptr ? "none" : call->workload->name)];
        ++group.count;
        if (const Stop *stop = call == nullptr ? nullptr : nearestStop(evidence, *call)) {
            group.sent.insert(toMs(call->sent.value_or(call->begin) - stop->begin));
            group.ended.insert(toMs(call->end - stop->begin));
        }
    }
    for (const auto &[name, group] : groups) {
        std::cout << "summary " << name << " count=" << group.count;
        if (!group.sent.empty()) {
            std::cout << " sent_after_sigterm_ms=" << *group.sent.begin() << ".." << *group.sent.rbegin()
                      << " ended_after_sigterm_ms=" << *group.ended.begin() << ".." << *group.ended.rbegin();
        }
        std::cout << '\n';
    }
}

std::string describe(const Evidence &evidence, const Call &call)
{
    std::string text = "request=" + call.id + " kind=" + call.workload->name + " work_ms=" + std::to_string(call.duration.count())
        + " node=" + std::to_string(call.node) + " status=" + std::to_string(call.status) + " complete=" + (call.complete ? "yes" : "no")
        + " took_ms=" + std::to_string(toMs(call.end - call.begin)) + " at_ms=" + std::to_string(evidence.age(call.begin).count());
    if (const Stop *stop = nearestStop(evidence, call)) {
        text += " sent_after_sigterm_ms=" + std::to_string(toMs(call.sent.value_or(call.begin) - stop->begin))
            + " ended_after_sigterm_ms=" + std::to_string(toMs(call.end - stop->begin));
    }
    for (const Run &run : evidence.runs()) {
        if (run.requestId == call.id) {
            text += "\n    run replica=" + run.replica + " begin_ms=" + std::to_string(toMs(run.begin - call.begin))
                + " ms=" + (run.end == TimePoint::max() ? "?" : std::to_string(toMs(run.end - run.begin)))
                + (run.declined ? " declined" : "") + (run.brokeOff ? " broke_off" : "");
        }
    }
    return text;
}

} // namespace apricotarch::soak
