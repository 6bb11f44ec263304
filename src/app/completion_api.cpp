#include "apricotarch/app/completion_api.h"

#include <algorithm>
#include <utility>

#include "apricotarch/app/refusal.h"
#include "apricotarch/app/request_admission.h"
#include "apricotarch/base/hash.h"

namespace apricotarch
{

namespace
{

constexpr int MaxPriority = 9;

/// Returns a hash that binds a stream to its caller and request, so that no other caller can resume it.
std::string bindingOf(const CallerId &caller, const CompletionRequest &request)
{
    const std::string boundContent =
        caller.value() + '\n' + request.service.value() + '\n' + std::to_string(request.maxOutput.value()) + '\n' + request.prompt;
    return sha256Hex(boundContent).substr(0, 32);
}

bool isBoundTo(const std::string &stream, const std::string &binding)
{
    return stream.size() > binding.size() && stream.ends_with(binding);
}

/// Sends chunks of output to a caller as events. The response head is sent with the first chunk.
class StreamSink final : public ChunkSink
{
public:
    StreamSink(Node &node, HttpResponder &responder, RequestId id, CompletionStyle style, TimePoint startedAt)
        : m_node(node)
        , m_responder(responder)
        , m_id(std::move(id))
        , m_style(style)
        , m_startedAt(startedAt)
    {
    }

    [[nodiscard]] asio::awaitable<Result<void>> writeChunk(const EngineChunk &chunk, const StreamPosition &next) override
    {
        if (!m_started) {
            m_started = true;
            m_node.metrics().observe(LatencyKind::FirstToken, m_node.clock().now() - m_startedAt);
            HttpHeaders headers;
            headers.add("Content-Type", "text/event-stream");
            headers.add("Cache-Control", "no-store");
            headers.add("X-Request-Id", m_id.value());
            const Result<void> headSent = co_await m_responder.beginStream(200, headers);
            if (!headSent) {
                co_return headSent;
            }
        }
        const std::string event = encodeCallerEvent(m_id, m_style, next, chunk);
        co_return co_await m_responder.write(event);
    }

    [[nodiscard]] asio::awaitable<void> finish()
    {
        (void)co_await m_responder.write(encodeCallerEndEvent());
        (void)co_await m_responder.endStream();
    }

    [[nodiscard]] asio::awaitable<void> abort(Problem problem)
    {
        const std::string event = encodeCallerErrorEvent(encodeProblem(problem));
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
    TimePoint m_startedAt;
    bool m_started = false;
};

/// Collects the full output.
class FullOutputSink final : public ChunkSink
{
public:
    [[nodiscard]] asio::awaitable<Result<void>> writeChunk(const EngineChunk &chunk, const StreamPosition & /*next*/) override
    {
        m_text += chunk.text;
        co_return Result<void>();
    }

    [[nodiscard]] const std::string &text() const noexcept
    {
        return m_text;
    }

private:
    std::string m_text;
};

Problem problemOfOutcome(const LanguageCallOutcome &outcome, Duration remainingTime)
{
    Problem problem = makeRefusal(outcome.reason, outcome.error.detail, outcome.error.step);
    problem.notRun = outcome.notRun;
    problem.peer = outcome.error.peer;
    if (outcome.reason == "deadline_unreachable") {
        problem.retryAfter = retryAfter(outcome.predicted, remainingTime);
    }
    return problem;
}

/// Checks a decoded completion against its service and returns the request to run, or a refusal.
tl::expected<LanguageRequest, Problem> makeLanguageRequest(
    const HttpRequest &request, const CompletionRequest &completion, const AdmittedRequest &admitted, const RequestId &id)
{
    constexpr const char *Step = "request.check";
    const ServiceSpec &service = *admitted.service;
    if (service.kind != ServiceKind::Language) {
        return tl::unexpected(
            makeRefusal("unknown_service", "'" + service.id.value() + "' is not a language service; call it below /v1/services/.", Step));
    }
    if (estimateTokens(completion.prompt) > service.maxPrompt || completion.maxOutput > service.maxOutput) {
        return tl::unexpected(
            makeRefusal("prompt_too_long", "The prompt or max_tokens exceeds the limit in the service's questionnaire.", Step));
    }
    const std::string binding = bindingOf(admitted.caller, completion);
    LanguageRequest languageRequest;
    languageRequest.id = id;
    languageRequest.service = service;
    languageRequest.prompt = completion.prompt;
    languageRequest.maxOutput = completion.maxOutput;
    languageRequest.priority = static_cast<int>(std::clamp<std::int64_t>(headerNumber(request, "X-Priority").value_or(0), 0, MaxPriority));
    languageRequest.deadline = admitted.deadline;
    languageRequest.stream = generateUniqueId() + '-' + binding;
    languageRequest.content = contentHash(service.id.value() + '\n' + completion.prompt);
    const std::string_view lastEvent = request.headers.value("Last-Event-ID");
    if (lastEvent.empty()) {
        return languageRequest;
    }
    const Result<StreamPosition> position = decodePosition(lastEvent);
    if (!position) {
        return tl::unexpected(makeRefusal("invalid_request", position.error().detail, position.error().step));
    }
    if (!isBoundTo(position->stream, binding)) {
        return tl::unexpected(makeRefusal(
            "foreign_stream", "Last-Event-ID belongs to another caller or request; resend the body of the original request.", Step));
    }
    languageRequest.resumeFrom = *position;
    return languageRequest;
}

asio::awaitable<void> runStreaming(Node &node, HttpResponder &responder, LanguageRequest languageRequest, CompletionStyle style)
{
    const TimePoint startedAt = node.clock().now();
    const TimePoint deadline = languageRequest.deadline;
    const RequestId id = languageRequest.id;
    StreamSink sink(node, responder, id, style, startedAt);
    const LanguageCallOutcome outcome = co_await node.languageCalls().execute(std::move(languageRequest), sink);
    node.metrics().observe(LatencyKind::Total, node.clock().now() - startedAt);
    if (outcome.answered) {
        node.metrics().increment(CounterFamily::Answers, "answered");
        co_await sink.finish();
        co_return;
    }
    Problem problem = problemOfOutcome(outcome, deadline - node.clock().now());
    if (!sink.started()) {
        co_await sendRefusal(node, responder, std::move(problem), id);
        co_return;
    }
    problem.request = id.value();
    node.metrics().increment(CounterFamily::Answers, "broken_off_" + outcome.reason);
    co_await sink.abort(std::move(problem));
}

asio::awaitable<void> runFull(Node &node, HttpResponder &responder, LanguageRequest languageRequest, CompletionStyle style)
{
    const TimePoint startedAt = node.clock().now();
    const RequestId id = languageRequest.id;
    const TimePoint deadline = languageRequest.deadline;
    FullOutputSink sink;
    const LanguageCallOutcome outcome = co_await node.languageCalls().execute(std::move(languageRequest), sink);
    node.metrics().observe(LatencyKind::Total, node.clock().now() - startedAt);
    if (!outcome.answered) {
        co_await sendRefusal(node, responder, problemOfOutcome(outcome, deadline - node.clock().now()), id);
        co_return;
    }
    node.metrics().increment(CounterFamily::Answers, "answered");
    HttpResponse response = jsonResponse(200, encodeCompleteAnswer(id, style, sink.text(), outcome.finishReason, outcome.tokens));
    response.headers.add("X-Request-Id", id.value());
    (void)co_await responder.respond(std::move(response));
}

} // namespace

asio::awaitable<void> answerCompletion(Node &node, const HttpRequest &request, HttpResponder &responder, CompletionStyle style)
{
    const RequestId id = requestIdOf(request);
    const Result<CompletionRequest> completion = decodeCompletionRequest(request.body, style);
    if (!completion) {
        co_await sendRefusal(node, responder, makeRefusal("invalid_request", completion.error().detail, completion.error().step), id);
        co_return;
    }
    const auto admitted = admit(node, request, completion->service);
    if (!admitted) {
        co_await sendRefusal(node, responder, admitted.error(), id);
        co_return;
    }
    auto languageRequest = makeLanguageRequest(request, *completion, *admitted, id);
    if (!languageRequest) {
        co_await sendRefusal(node, responder, languageRequest.error(), id);
        co_return;
    }
    if (completion->stream) {
        co_await runStreaming(node, responder, std::move(*languageRequest), style);
    } else {
        co_await runFull(node, responder, std::move(*languageRequest), style);
    }
}

} // namespace apricotarch
