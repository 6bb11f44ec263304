#include "workload.h"

#include <algorithm>
#include <map>

namespace apricotarch::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr milliseconds EventInterval{100};
constexpr std::int64_t LeastEvents = 4;
constexpr std::size_t ShortAnswerBytes = 800;
constexpr std::size_t LongAnswerBytes = 3'500'000;
constexpr int VersionStep = 3;

std::string_view kindName(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Safe:
        return "safe";
    case RouteKind::Unsafe:
        return "unsafe";
    case RouteKind::Stream:
    case RouteKind::UnsafeStream:
        break;
    }
    return "streaming";
}

std::string_view serviceOf(const Workload &workload)
{
    return workload.isStream() ? "dressing-desk" : "visit-desk";
}

boost::json::object makeRoute(const Workload &workload, milliseconds timeLimit)
{
    boost::json::object route{{"name", "r-" + workload.prefix.substr(1, workload.prefix.size() - 2)},
        {"host", "desk.example"},
        {"prefix", workload.prefix},
        {"kind", kindName(workload.kind)},
        {"timeoutMs", timeLimit.count()},
        {"targetLatencyMs", 600},
        {"priority", 2},
        {"service", serviceOf(workload)},
        {"maxAttempts", 2}};
    if (workload.isStream()) {
        route["targetGapMs"] = 200;
        route["sticky"] = true;
        route["resumable"] = workload.kind == RouteKind::Stream;
    }
    return route;
}

} // namespace

const std::vector<Workload> &workloads()
{
    // The time limits are those of comparable requests of the users.
    static const std::vector<Workload> List{
        {"plan-short", "/plans/", RouteKind::Stream, 8000ms, {20ms, 50ms, 100ms}, 0, {}, 0ms, 4},
        {"plan-long", "/plans/", RouteKind::Stream, 8000ms, {1000ms, 2000ms, 4000ms}, 0, {}, 0ms, 6},
        {"check-short", "/checks/", RouteKind::UnsafeStream, 4000ms, {20ms, 50ms, 100ms}, 0, {}, 0ms, 4},
        {"check-long", "/checks/", RouteKind::UnsafeStream, 4000ms, {1000ms, 2000ms, 3000ms}, 0, {}, 0ms, 6},
        {"visit", "/visits/", RouteKind::Unsafe, 1500ms, {50ms}, ShortAnswerBytes, {}, 0ms, 4},
        {"survey", "/surveys/", RouteKind::Unsafe, 4000ms, {2000ms}, ShortAnswerBytes, {}, 0ms, 6},
        {"slow-body", "/surveys/", RouteKind::Unsafe, 4000ms, {50ms}, ShortAnswerBytes, {}, 1200ms, 4},
        {"week", "/weeks/", RouteKind::Safe, 1500ms, {60ms}, ShortAnswerBytes, {}, 0ms, 4},
        {"archive", "/archives/", RouteKind::Safe, 8000ms, {50ms}, LongAnswerBytes, {16 * 1024, 8ms}, 0ms, 4},
    };
    return List;
}

const Workload &workload(std::string_view name)
{
    return *std::find_if(workloads().begin(), workloads().end(), [name](const Workload &candidate) {
        return candidate.name == name;
    });
}

std::string makeTarget(const Workload &workload, milliseconds duration)
{
    std::string target = workload.prefix + std::to_string(duration.count());
    return workload.isStream() ? target + "?events=" + std::to_string(std::max(LeastEvents, duration / EventInterval))
                               : target + "?bytes=" + std::to_string(workload.answerBytes);
}

Work makeWork(const Message &request, const std::string &requestId)
{
    Work work;
    const std::string path = request.path();
    work.duration = milliseconds(std::atoi(path.c_str() + path.rfind('/') + 1));
    const int events = std::atoi(request.parameter("events").c_str());
    for (int id = 1; id <= events; ++id) {
        work.events.push_back("id: " + std::to_string(id) + "\ndata: step " + std::to_string(id) + " of " + std::to_string(events) + " for "
            + requestId + "\n\n");
    }
    const auto bytes = static_cast<std::size_t>(std::atoi(request.parameter("bytes").c_str()));
    while (work.body.size() < bytes) {
        work.body += "answer to " + requestId + " from byte " + std::to_string(work.body.size()) + '\n';
    }
    work.body.resize(bytes);
    return work;
}

std::string makeWholeBody(const std::string &target, const std::string &requestId, std::size_t from)
{
    Message request;
    request.secondWord = target;
    Work work = makeWork(request, requestId);
    for (std::size_t index = from; index < work.events.size(); ++index) {
        work.body += work.events[index];
    }
    return std::move(work.body);
}

std::string makeProbeTarget(int number)
{
    return "/probe-" + std::to_string(number) + "/1?bytes=10";
}

std::string makeConfiguration(int number)
{
    std::map<std::string, boost::json::object> routes;
    for (const Workload &workload : workloads()) {
        const bool isLonger = workload.kind == RouteKind::Safe && number % 2 == 0;
        routes.emplace(workload.prefix, makeRoute(workload, workload.timeLimit + (isLonger ? 500ms : 0ms)));
    }
    const Workload probe{"probe", "/probe-" + std::to_string(number) + '/', RouteKind::Safe, 1500ms, {}, 0, {}, 0ms, 0};
    routes.emplace(probe.prefix, makeRoute(probe, probe.timeLimit));
    boost::json::array routeList;
    for (auto &[prefix, route] : routes) {
        routeList.push_back(std::move(route));
    }
    boost::json::array services;
    for (const char *name : {"dressing-desk", "visit-desk"}) {
        services.push_back(
            boost::json::object{{"name", name}, {"healthPath", "/healthz"}, {"maxConnections", 300}, {"protocol", "h1"}, {"tls", false}});
    }
    const boost::json::object limits{
        {"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    return boost::json::serialize(boost::json::object{
        {"version", VersionStep * number}, {"routes", std::move(routeList)}, {"services", std::move(services)}, {"limits", limits}});
}

} // namespace apricotarch::soak
