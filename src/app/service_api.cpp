#include "apricotarch/app/service_api.h"

#include <algorithm>
#include <utility>

#include "apricotarch/app/refusal.h"
#include "apricotarch/app/request_admission.h"

namespace apricotarch
{

namespace
{

constexpr std::string_view ServicesPath = "/v1/services/";

/// Service and operation path of a request below `/v1/services/`.
struct ServiceTarget
{
    ServiceId service;
    std::string path;
};

ServiceTarget serviceTarget(const HttpRequest &request)
{
    const std::string rest = request.path.substr(ServicesPath.size());
    const std::size_t slash = rest.find('/');
    return {ServiceId(rest.substr(0, slash)), slash == std::string::npos ? "/" : rest.substr(slash)};
}

const OperationSpec *findOperation(const ServiceSpec &service, const std::string &method, const std::string &path)
{
    const auto found = std::ranges::find_if(service.operations, [&](const OperationSpec &operation) {
        return operation.method == method && operation.path == path;
    });
    return found == service.operations.end() ? nullptr : &*found;
}

HttpResponse toResponse(const ApplicationCallOutcome &outcome, const RequestId &id)
{
    HttpResponse response;
    response.status = outcome.result.status;
    response.headers.add("Content-Type", outcome.result.contentType.empty() ? "application/octet-stream" : outcome.result.contentType);
    response.headers.add("X-Request-Id", id.value());
    response.headers.add("X-Replayed", outcome.replayed ? "true" : "false");
    response.body = outcome.result.body;
    return response;
}

tl::expected<ApplicationRequest, Problem> makeApplicationRequest(
    const HttpRequest &request, const ServiceTarget &target, const AdmittedRequest &admitted, const RequestId &id)
{
    constexpr const char *Step = "request.check";
    const OperationSpec *operation = findOperation(*admitted.service, request.method, target.path);
    if (operation == nullptr) {
        return tl::unexpected(
            makeRefusal("unknown_operation", "The service has no operation " + request.method + ' ' + target.path + '.', Step));
    }
    const std::string key(request.headers.value("Idempotency-Key"));
    if (!operation->idempotent && (key.empty() || key.size() > MaxKeyBytes)) {
        return tl::unexpected(makeRefusal(
            "idempotency_key_missing", "Send an Idempotency-Key of 1 to 256 bytes, and the same key when you retry the call.", Step));
    }
    ApplicationRequest applicationRequest;
    applicationRequest.id = id;
    applicationRequest.caller = admitted.caller;
    applicationRequest.service = *admitted.service;
    applicationRequest.operation = *operation;
    applicationRequest.query = request.query;
    applicationRequest.body = request.body;
    applicationRequest.contentType = std::string(request.headers.value("Content-Type"));
    applicationRequest.idempotencyKey = key;
    applicationRequest.deadline = admitted.deadline;
    return applicationRequest;
}

} // namespace

asio::awaitable<void> answerServiceCall(Node &node, const HttpRequest &request, HttpResponder &responder)
{
    const RequestId id = requestIdOf(request);
    const ServiceTarget target = serviceTarget(request);
    const auto admitted = admit(node, request, target.service);
    if (!admitted) {
        co_await sendRefusal(node, responder, admitted.error(), id);
        co_return;
    }
    auto applicationRequest = makeApplicationRequest(request, target, *admitted, id);
    if (!applicationRequest) {
        co_await sendRefusal(node, responder, applicationRequest.error(), id);
        co_return;
    }
    const ApplicationCallOutcome outcome = co_await node.applicationCalls().execute(std::move(*applicationRequest));
    if (outcome.answered) {
        node.metrics().increment(CounterFamily::Answers, outcome.replayed ? "replayed" : "answered");
        (void)co_await responder.respond(toResponse(outcome, id));
        co_return;
    }
    Problem problem = makeRefusal(outcome.reason, outcome.error.detail, outcome.error.step);
    problem.notRun = outcome.notRun;
    problem.peer = outcome.error.peer;
    co_await sendRefusal(node, responder, std::move(problem), id);
}

} // namespace apricotarch
