#include "apricotarch/app/request_admission.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "apricotarch/app/refusal.h"
#include "apricotarch/base/hash.h"

namespace apricotarch
{

std::string bearerToken(const HttpRequest &request)
{
    constexpr std::string_view Prefix = "Bearer ";
    const std::string_view value = request.headers.value("Authorization");
    return value.starts_with(Prefix) ? std::string(value.substr(Prefix.size())) : std::string();
}

RequestId requestIdOf(const HttpRequest &request)
{
    const std::string_view callerId = request.headers.value("X-Request-Id");
    const bool usable = !callerId.empty() && callerId.size() <= MaxKeyBytes;
    return RequestId(usable ? std::string(callerId) : generateUniqueId());
}

std::optional<std::int64_t> headerNumber(const HttpRequest &request, std::string_view name)
{
    const std::string_view text = request.headers.value(name);
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

tl::expected<AdmittedRequest, Problem> admit(Node &node, const HttpRequest &request, const ServiceId &service)
{
    constexpr const char *Step = "request.admit";
    Admissibility admissibility = node.configuration().admissibility(service);
    if (!admissibility.inForce) {
        return tl::unexpected(
            makeRefusal("not_ready", "This node has no configuration yet. Try another node, or retry in a second.", Step));
    }
    const Configuration &configuration = admissibility.inForce->configuration;
    const CallerSpec *caller = configuration.callerByKey(sha256Hex(bearerToken(request)));
    if (caller == nullptr) {
        return tl::unexpected(makeRefusal("unauthenticated", "Send your key as 'Authorization: Bearer KEY'.", Step));
    }
    const ServiceSpec *serviceSpec = configuration.service(service);
    if (serviceSpec == nullptr) {
        return tl::unexpected(makeRefusal("unknown_service", "There is no service '" + service.value() + "'.", Step));
    }
    if (!mayUse(*caller, service)) {
        return tl::unexpected(
            makeRefusal("service_not_allowed", "This caller is not allowed to use the service '" + service.value() + "'.", Step));
    }
    if (!admissibility.admissible) {
        return tl::unexpected(
            makeRefusal(admissibility.reason, "This node cannot verify that its configuration is in force. Try another node.", Step));
    }
    if (node.isDraining()) {
        Problem problem = makeRefusal("node_draining", "This node is shutting down. Request GET /v1/entry from another node.", Step);
        problem.retryAfter = std::chrono::seconds(1);
        return tl::unexpected(problem);
    }
    const std::string limit = node.admission().tryAdmit(caller->id);
    if (!limit.empty()) {
        Problem problem = makeRefusal(limit, "This node's limit of requests in flight has been reached.", Step);
        problem.retryAfter = std::chrono::seconds(1);
        return tl::unexpected(problem);
    }
    AdmittedRequest admitted{std::move(admissibility.inForce),
        caller->id,
        serviceSpec,
        std::make_unique<AdmissionPermit>(boost::intrusive_ptr<AdmissionController>(&node.admission()), caller->id),
        {}};
    const std::int64_t maxDeadlineMs = serviceSpec->deadline.count();
    const std::int64_t requestedDeadlineMs = headerNumber(request, "X-Deadline-Ms").value_or(maxDeadlineMs);
    admitted.deadline = node.clock().now() + std::chrono::milliseconds(std::clamp<std::int64_t>(requestedDeadlineMs, 1, maxDeadlineMs));
    node.metrics().increment(CounterFamily::Requests, service.value());
    return admitted;
}

} // namespace apricotarch
