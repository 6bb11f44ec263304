#include "apricotarch/app/admit.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "apricotarch/app/refusal.h"
#include "apricotarch/base/hash.h"

namespace apricotarch
{

std::string bearerKey(const HttpRequest &request)
{
    constexpr std::string_view Prefix = "Bearer ";
    const std::string_view value = request.headers.value("Authorization");
    return value.starts_with(Prefix) ? std::string(value.substr(Prefix.size())) : std::string();
}

RequestId requestIdOf(const HttpRequest &request)
{
    const std::string_view given = request.headers.value("X-Request-Id");
    const bool usable = !given.empty() && given.size() <= MaxKeyBytes;
    return RequestId(usable ? std::string(given) : uniqueId());
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

tl::expected<Admitted, Problem> admit(Node &node, const HttpRequest &request, const ServiceId &service)
{
    constexpr const char *Step = "request.admit";
    Admissibility admissibility = node.configuration().admissibility(service);
    if (!admissibility.inForce) {
        return tl::unexpected(refusal("not_ready", "This node has no configuration yet. Ask another node, or again in a second.", Step));
    }
    const Configuration &configuration = admissibility.inForce->configuration;
    const CallerSpec *caller = configuration.callerByKey(sha256Hex(bearerKey(request)));
    if (caller == nullptr) {
        return tl::unexpected(refusal("unauthenticated", "Send your key as 'Authorization: Bearer KEY'.", Step));
    }
    const ServiceSpec *found = configuration.service(service);
    if (found == nullptr) {
        return tl::unexpected(refusal("unknown_service", "There is no service '" + service.value() + "'.", Step));
    }
    if (!answers(*caller, service)) {
        return tl::unexpected(refusal("service_not_allowed", "The service '" + service.value() + "' does not answer this caller.", Step));
    }
    if (!admissibility.admissible) {
        return tl::unexpected(
            refusal(admissibility.reason, "This node cannot tell whether its configuration is the one in force. Ask another node.", Step));
    }
    if (node.isDraining()) {
        return tl::unexpected(refusal("node_draining", "This node is shutting down. Ask GET /v1/entry at another node.", Step));
    }
    const std::string limit = node.admission().enter(caller->id);
    if (!limit.empty()) {
        Problem problem = refusal(limit, "This node's limit for requests in flight is reached.", Step);
        problem.retryAfter = std::chrono::seconds(1);
        return tl::unexpected(problem);
    }
    Admitted admitted{std::move(admissibility.inForce),
        caller->id,
        found,
        std::make_unique<AdmissionPlace>(boost::intrusive_ptr<AdmissionGate>(&node.admission()), caller->id),
        {}};
    const std::int64_t usual = found->deadline.count();
    const std::int64_t asked = headerNumber(request, "X-Deadline-Ms").value_or(usual);
    admitted.deadline = node.clock().now() + std::chrono::milliseconds(std::clamp<std::int64_t>(asked, 1, usual));
    node.metrics().increment(CounterFamily::Requests, service.value());
    return admitted;
}

} // namespace apricotarch
