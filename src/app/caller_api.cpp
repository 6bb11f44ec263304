#include "apricotarch/app/caller_api.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <optional>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "apricotarch/base/hash.h"
#include "apricotarch/base/log.h"

namespace apricotarch
{

namespace json = boost::json;

namespace
{

constexpr std::string_view ServicesPath = "/v1/services/";
constexpr int MaxPriority = 9;
constexpr std::size_t MaxKeyBytes = 256;
/// Nodes that use more of their limit than this are left out of entry answers while there are others.
constexpr double OverloadedShare = 0.9;

/// Status of one refusal reason.
struct ReasonStatus
{
    std::string_view reason;
    int status;
};

constexpr std::array ReasonStatuses = {
    ReasonStatus{"unauthenticated", 401},
    ReasonStatus{"service_not_allowed", 403},
    ReasonStatus{"unknown_service", 404},
    ReasonStatus{"unknown_operation", 404},
    ReasonStatus{"invalid_request", 400},
    ReasonStatus{"idempotency_key_missing", 400},
    ReasonStatus{"in_progress", 409},
    ReasonStatus{"foreign_stream", 409},
    ReasonStatus{"stream_lost", 410},
    ReasonStatus{"prompt_too_long", 413},
    ReasonStatus{"key_reused", 422},
    ReasonStatus{"request_convicted", 422},
    ReasonStatus{"node_full", 429},
    ReasonStatus{"caller_share_used", 429},
    ReasonStatus{"foreign_piece", 502},
    ReasonStatus{"attempts_used_up", 502},
    ReasonStatus{"outcome_unknown", 502},
    ReasonStatus{"deadline_passed", 504},
};

Problem refusal(std::string reason, std::string detail, std::string step)
{
    Problem problem;
    problem.status = statusOfReason(reason);
    problem.reason = std::move(reason);
    problem.detail = std::move(detail);
    problem.notRun = true;
    problem.step = std::move(step);
    return problem;
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

/// What every admitted request has passed.
struct Admitted
{
    std::shared_ptr<const ConfigurationInForce> inForce;
    CallerId caller;
    const ServiceSpec *service = nullptr; ///< Within inForce.
    std::unique_ptr<AdmissionPlace> place;
    TimePoint deadline;
};

/// Checks key, service, configuration and limits, in this order.
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

RequestId requestIdOf(const HttpRequest &request)
{
    const std::string_view given = request.headers.value("X-Request-Id");
    const bool usable = !given.empty() && given.size() <= MaxKeyBytes;
    return RequestId(usable ? std::string(given) : uniqueId());
}

/// Hash that binds a stream to its caller and content, so that nobody else can go on with it.
std::string bindingOf(const CallerId &caller, const CompletionRequest &request)
{
    const std::string bound =
        caller.value() + '\n' + request.service.value() + '\n' + std::to_string(request.maxOutput.value()) + '\n' + request.prompt;
    return sha256Hex(bound).substr(0, 32);
}

bool isBoundTo(const std::string &stream, const std::string &binding)
{
    return stream.size() > binding.size() && stream.ends_with(binding);
}

/// Writes pieces to a caller as events; the head goes out with the first.
class StreamSink final : public PieceSink
{
public:
    StreamSink(Node &node, HttpResponder &responder, RequestId id, CompletionStyle style, TimePoint begun)
        : m_node(node)
        , m_responder(responder)
        , m_id(std::move(id))
        , m_style(style)
        , m_begun(begun)
    {
    }

    [[nodiscard]] asio::awaitable<Result<void>> take(const EnginePiece &piece, const StreamPosition &next) override
    {
        if (!m_started) {
            m_started = true;
            m_node.metrics().observe(LatencyKind::FirstToken, m_node.clock().now() - m_begun);
            HttpHeaders headers;
            headers.add("Content-Type", "text/event-stream");
            headers.add("Cache-Control", "no-store");
            headers.add("X-Request-Id", m_id.value());
            const Result<void> begun = co_await m_responder.beginStream(200, headers);
            if (!begun) {
                co_return begun;
            }
        }
        const std::string event = encodeCallerEvent(m_id, m_style, next, piece);
        co_return co_await m_responder.write(event);
    }

    [[nodiscard]] asio::awaitable<void> finish()
    {
        (void)co_await m_responder.write(callerEndEvent());
        (void)co_await m_responder.endStream();
    }

    [[nodiscard]] asio::awaitable<void> breakOff(Problem problem)
    {
        const std::string event = callerErrorEvent(encodeProblem(problem));
        (void)co_await m_responder.write(event);
        (void)co_await m_responder.endStream();
    }

    [[nodiscard]] bool started() const noexcept
    {
        return m_started;
    }

private:
    Node &m_node;
    HttpResponder &m_responder;
    RequestId m_id;
    CompletionStyle m_style;
    TimePoint m_begun;
    bool m_started = false;
};

/// Collects a whole answer.
class WholeSink final : public PieceSink
{
public:
    [[nodiscard]] asio::awaitable<Result<void>> take(const EnginePiece &piece, const StreamPosition & /*next*/) override
    {
        m_text += piece.text;
        co_return Result<void>();
    }

    [[nodiscard]] const std::string &text() const noexcept
    {
        return m_text;
    }

private:
    std::string m_text;
};

Problem problemOfOutcome(const CallOutcome &outcome, Duration left)
{
    Problem problem = refusal(outcome.reason, outcome.error.detail, outcome.error.step);
    problem.notRun = outcome.notRun;
    problem.peer = outcome.error.peer;
    if (outcome.reason == "deadline_unreachable") {
        problem.retryAfter = retryAfter(outcome.predicted, left);
    }
    return problem;
}

/// Checks a decoded completion against its service and makes the request that is run.
tl::expected<LanguageRequest, Problem> languageRequest(
    const HttpRequest &request, const CompletionRequest &completion, const Admitted &admitted, const RequestId &id)
{
    constexpr const char *Step = "request.check";
    const ServiceSpec &service = *admitted.service;
    if (service.kind != ServiceKind::Language) {
        return tl::unexpected(
            refusal("unknown_service", "'" + service.id.value() + "' is no language service; call it below /v1/services/.", Step));
    }
    if (estimateTokens(completion.prompt) > service.maxPrompt || completion.maxOutput > service.maxOutput) {
        return tl::unexpected(refusal("prompt_too_long", "Prompt or max_tokens are longer than the service's questionnaire allows.", Step));
    }
    const std::string binding = bindingOf(admitted.caller, completion);
    LanguageRequest run;
    run.id = id;
    run.service = service;
    run.prompt = completion.prompt;
    run.maxOutput = completion.maxOutput;
    run.priority = static_cast<int>(std::clamp<std::int64_t>(headerNumber(request, "X-Priority").value_or(0), 0, MaxPriority));
    run.deadline = admitted.deadline;
    run.stream = uniqueId() + '-' + binding;
    run.content = contentHash(service.id.value() + '\n' + completion.prompt);
    const std::string_view lastEvent = request.headers.value("Last-Event-ID");
    if (lastEvent.empty()) {
        return run;
    }
    const Result<StreamPosition> position = decodePosition(lastEvent);
    if (!position) {
        return tl::unexpected(refusal("invalid_request", position.error().detail, position.error().step));
    }
    if (!isBoundTo(position->stream, binding)) {
        return tl::unexpected(
            refusal("foreign_stream", "Last-Event-ID belongs to another caller or another request; resend the same body.", Step));
    }
    run.resumeFrom = *position;
    return run;
}

asio::awaitable<void> runStreamed(Node &node, HttpResponder &responder, LanguageRequest run, CompletionStyle style)
{
    const TimePoint begun = node.clock().now();
    const TimePoint deadline = run.deadline;
    StreamSink sink(node, responder, run.id, style, begun);
    const CallOutcome outcome = co_await node.languageCalls().run(std::move(run), sink);
    node.metrics().observe(LatencyKind::Total, node.clock().now() - begun);
    if (outcome.answered) {
        node.metrics().increment(CounterFamily::Answers, "answered");
        co_await sink.finish();
        co_return;
    }
    Problem problem = problemOfOutcome(outcome, deadline - node.clock().now());
    if (!sink.started()) {
        co_await sendProblem(node, responder, std::move(problem));
        co_return;
    }
    node.metrics().increment(CounterFamily::Answers, "broken_off_" + outcome.reason);
    co_await sink.breakOff(std::move(problem));
}

asio::awaitable<void> runWhole(Node &node, HttpResponder &responder, LanguageRequest run, CompletionStyle style)
{
    const TimePoint begun = node.clock().now();
    const RequestId id = run.id;
    const TimePoint deadline = run.deadline;
    WholeSink sink;
    const CallOutcome outcome = co_await node.languageCalls().run(std::move(run), sink);
    node.metrics().observe(LatencyKind::Total, node.clock().now() - begun);
    if (!outcome.answered) {
        co_await sendProblem(node, responder, problemOfOutcome(outcome, deadline - node.clock().now()));
        co_return;
    }
    node.metrics().increment(CounterFamily::Answers, "answered");
    HttpResponse response = jsonResponse(200, encodeWholeAnswer(id, style, sink.text(), outcome.finishReason, outcome.tokens));
    response.headers.add("X-Request-Id", id.value());
    (void)co_await responder.respond(std::move(response));
}

/// Service and operation path of a request below /v1/services/.
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

HttpResponse toResponse(const ApplicationOutcome &outcome, const RequestId &id)
{
    HttpResponse response;
    response.status = outcome.result.status;
    response.headers.add("Content-Type", outcome.result.contentType.empty() ? "application/octet-stream" : outcome.result.contentType);
    response.headers.add("X-Request-Id", id.value());
    response.headers.add("X-Replayed", outcome.replayed ? "true" : "false");
    response.body = outcome.result.body;
    return response;
}

tl::expected<ApplicationRequest, Problem> applicationRequest(
    const HttpRequest &request, const ServiceTarget &target, const Admitted &admitted, const RequestId &id)
{
    constexpr const char *Step = "request.check";
    const OperationSpec *operation = findOperation(*admitted.service, request.method, target.path);
    if (operation == nullptr) {
        return tl::unexpected(
            refusal("unknown_operation", "The service has no operation " + request.method + ' ' + target.path + '.', Step));
    }
    const std::string key(request.headers.value("Idempotency-Key"));
    if (!operation->idempotent && (key.empty() || key.size() > MaxKeyBytes)) {
        return tl::unexpected(refusal(
            "idempotency_key_missing", "Send an Idempotency-Key of 1 to 256 bytes, and the same one when you repeat the call.", Step));
    }
    ApplicationRequest run;
    run.id = id;
    run.caller = admitted.caller;
    run.service = *admitted.service;
    run.operation = *operation;
    run.query = request.query;
    run.body = request.body;
    run.contentType = std::string(request.headers.value("Content-Type"));
    run.idempotencyKey = key;
    run.deadline = admitted.deadline;
    return run;
}

} // namespace

int statusOfReason(std::string_view reason) noexcept
{
    constexpr int Unavailable = 503;
    const auto *found = std::ranges::find(ReasonStatuses, reason, &ReasonStatus::reason);
    return found == ReasonStatuses.end() ? Unavailable : found->status;
}

std::string bearerKey(const HttpRequest &request)
{
    constexpr std::string_view Prefix = "Bearer ";
    const std::string_view value = request.headers.value("Authorization");
    return value.starts_with(Prefix) ? std::string(value.substr(Prefix.size())) : std::string();
}

asio::awaitable<void> sendProblem(Node &node, HttpResponder &responder, Problem problem)
{
    node.metrics().increment(CounterFamily::Refusals, problem.reason);
    LogEvent("request.refused")
        .field("reason", problem.reason)
        .field("not_run", std::string_view(problem.notRun ? "true" : "false"))
        .field("step", problem.step)
        .field("peer", problem.peer);
    HttpResponse response{problem.status, {{"Content-Type", std::string(ProblemMediaType)}}, encodeProblem(problem)};
    if (problem.retryAfter) {
        response.headers.add("Retry-After", std::to_string(problem.retryAfter->count()));
    }
    (void)co_await responder.respond(std::move(response));
}

std::string encodeEntry(Node &node, const ZoneId &callerZone)
{
    struct Candidate
    {
        std::string address;
        bool near = false;
        double load = 0;
    };
    std::vector<Candidate> candidates;
    const Settings &settings = node.settings();
    if (!node.isDraining() && node.configuration().currencyNow() == Currency::Current) {
        candidates.push_back({settings.callerAddress.text(), settings.zone == callerZone, node.admission().loadShare()});
    }
    for (const MemberView &member : node.members().view(node.clock().now())) {
        if (member.status == MemberStatus::Alive && member.last.configuration.ready) {
            candidates.push_back({member.last.callerAddress.text(), member.last.zone == callerZone, member.last.loadShare});
        }
    }
    const bool someFree = std::ranges::any_of(candidates, [](const Candidate &candidate) {
        return candidate.load < OverloadedShare;
    });
    if (someFree) {
        std::erase_if(candidates, [](const Candidate &candidate) {
            return candidate.load >= OverloadedShare;
        });
    }
    std::ranges::stable_sort(candidates, [](const Candidate &left, const Candidate &right) {
        return left.near != right.near ? left.near : left.load < right.load;
    });
    json::array addresses;
    for (const Candidate &candidate : candidates) {
        addresses.emplace_back(candidate.address);
    }
    const auto keepsFor = std::chrono::duration_cast<std::chrono::seconds>(settings.entryKeepsFor).count();
    return json::serialize(json::object{{"addresses", addresses}, {"keep_for_s", keepsFor}});
}

asio::awaitable<void> answerCompletion(Node &node, const HttpRequest &request, HttpResponder &responder, CompletionStyle style)
{
    const Result<CompletionRequest> completion = decodeCompletionRequest(request.body, style);
    if (!completion) {
        co_await sendProblem(node, responder, refusal("invalid_request", completion.error().detail, completion.error().step));
        co_return;
    }
    const auto admitted = admit(node, request, completion->service);
    if (!admitted) {
        co_await sendProblem(node, responder, admitted.error());
        co_return;
    }
    auto run = languageRequest(request, *completion, *admitted, requestIdOf(request));
    if (!run) {
        co_await sendProblem(node, responder, run.error());
        co_return;
    }
    if (completion->stream) {
        co_await runStreamed(node, responder, std::move(*run), style);
    } else {
        co_await runWhole(node, responder, std::move(*run), style);
    }
}

asio::awaitable<void> answerServiceCall(Node &node, const HttpRequest &request, HttpResponder &responder)
{
    const ServiceTarget target = serviceTarget(request);
    const auto admitted = admit(node, request, target.service);
    if (!admitted) {
        co_await sendProblem(node, responder, admitted.error());
        co_return;
    }
    const RequestId id = requestIdOf(request);
    auto run = applicationRequest(request, target, *admitted, id);
    if (!run) {
        co_await sendProblem(node, responder, run.error());
        co_return;
    }
    const ApplicationOutcome outcome = co_await node.applicationCalls().run(std::move(*run));
    if (outcome.answered) {
        node.metrics().increment(CounterFamily::Answers, outcome.replayed ? "replayed" : "answered");
        (void)co_await responder.respond(toResponse(outcome, id));
        co_return;
    }
    Problem problem = refusal(outcome.reason, outcome.error.detail, outcome.error.step);
    problem.notRun = outcome.notRun;
    problem.peer = outcome.error.peer;
    co_await sendProblem(node, responder, std::move(problem));
}

} // namespace apricotarch
