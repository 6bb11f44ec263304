#include "report.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <set>

#include "context.h"
#include "front.h"

namespace apricotarch::soak
{

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
    // Checks with a time bound say little where few of these are in touch.
    const Context context(evidence);
    const auto &probes = evidence.probes();
    const auto inTouch = std::count_if(probes.begin(), probes.end(), [&context](const Probe &probe) {
        return probe.status != 0 && context.isInTouch(probe.node, probe.begin - ConfigTime, probe.end);
    });
    const auto &runs = evidence.runs();
    const auto late = std::count_if(runs.begin(), runs.end(), [](const Run &run) {
        return run.leaving > milliseconds(0);
    });
    std::cout << "probes count=" << probes.size() << " answered_in_touch=" << inTouch
              << " configurations=" << evidence.configurations().size() << " runs_at_leaving_replicas=" << late << '\n';
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
    const Context context(evidence);
    std::map<std::string, Group> groups;
    for (const Finding &finding : findings) {
        const Call *call = finding.call;
        Group &group = groups["rule=" + finding.rule + " kind=" + (call == nullptr ? "none" : call->workload->name)];
        ++group.count;
        if (const Stop *stop = call == nullptr ? nullptr : context.nearestStop(*call)) {
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
    if (const Stop *stop = Context(evidence).nearestStop(call)) {
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
