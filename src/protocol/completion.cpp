#include "apricotarch/protocol/completion.h"

#include <charconv>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "apricotarch/base/json_object.h"

namespace apricotarch
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t DefaultMaxOutputTokens = 256;
constexpr std::int64_t OutputTokensLimit = 1'000'000;
constexpr const char *CallerStep = "completion.decode";

std::string readChatPrompt(JsonObjectReader &object)
{
    std::string prompt;
    for (const json::value &entry : object.list("messages")) {
        JsonObjectReader message(entry, CallerStep, "caller");
        prompt += message.text("role") + ": " + message.text("content") + '\n';
        if (!message.finish()) {
            object.reportFault("messages", "a list of objects with the string fields 'role' and 'content'");
        }
    }
    if (prompt.empty()) {
        object.reportFault("messages", "a list with at least one message");
    }
    return prompt;
}

json::value encodeFinishReason(const std::string &finishReason)
{
    return finishReason.empty() ? json::value(nullptr) : json::value(finishReason);
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true) {
        const std::size_t end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text = text.substr(end + 1);
    }
}

bool parseNonNegative(std::string_view text, std::int64_t &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() && value >= 0;
}

} // namespace

Result<CompletionRequest> decodeCompletionRequest(std::string_view text, CompletionStyle style)
{
    const Result<json::value> value = parseJson(text, CallerStep, "caller");
    if (!value) {
        return Failure(value.error());
    }
    JsonObjectReader object(*value, CallerStep, "caller");
    CompletionRequest request;
    request.style = style;
    request.service = ServiceId(object.text("model"));
    request.prompt = style == CompletionStyle::Chat ? readChatPrompt(object) : object.text("prompt");
    request.maxOutput = Tokens(object.numberOr("max_tokens", DefaultMaxOutputTokens));
    request.stream = object.flagOr("stream", false);
    if (request.prompt.empty()) {
        object.reportFault("prompt", "a non-empty string");
    }
    if (request.maxOutput.value() < 1 || request.maxOutput.value() > OutputTokensLimit) {
        object.reportFault("max_tokens", "an integer from 1 to " + std::to_string(OutputTokensLimit));
    }
    return object.finish(request);
}

std::string encodeCallerEvent(const RequestId &request, CompletionStyle style, const StreamPosition &next, const EngineChunk &chunk)
{
    json::object choice;
    choice["index"] = 0;
    if (style == CompletionStyle::Chat) {
        choice["delta"] = json::object{{"content", chunk.text}};
    } else {
        choice["text"] = chunk.text;
    }
    choice["finish_reason"] = encodeFinishReason(chunk.finishReason);
    const char *objectType = style == CompletionStyle::Chat ? "chat.completion.chunk" : "text_completion";
    const json::object object{{"id", request.value()}, {"object", objectType}, {"choices", json::array{choice}}};
    return "id: " + encodePosition(next) + "\ndata: " + json::serialize(object) + "\n\n";
}

std::string_view encodeCallerEndEvent() noexcept
{
    return "data: [DONE]\n\n";
}

std::string encodeCallerErrorEvent(const std::string &problem)
{
    return "event: error\ndata: " + problem + "\n\n";
}

std::string encodeCompleteAnswer(
    const RequestId &request, CompletionStyle style, const std::string &text, const std::string &finishReason, std::int64_t tokens)
{
    json::object choice;
    choice["index"] = 0;
    if (style == CompletionStyle::Chat) {
        choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    choice["finish_reason"] = encodeFinishReason(finishReason);
    const char *objectType = style == CompletionStyle::Chat ? "chat.completion" : "text_completion";
    return json::serialize(json::object{{"id", request.value()},
        {"object", objectType},
        {"choices", json::array{choice}},
        {"usage", json::object{{"completion_tokens", tokens}}}});
}

std::string encodePosition(const StreamPosition &position)
{
    return position.replica.value() + '/' + std::to_string(position.incarnation.value()) + '/' + position.stream + '/'
        + std::to_string(position.offset);
}

Result<StreamPosition> decodePosition(std::string_view text)
{
    constexpr std::size_t PartCount = 4;
    const std::vector<std::string_view> parts = split(text, '/');
    std::int64_t incarnation = 0;
    StreamPosition position;
    const bool valid = parts.size() == PartCount && !parts[0].empty() && !parts[2].empty() && parseNonNegative(parts[1], incarnation)
        && parseNonNegative(parts[3], position.offset);
    if (!valid) {
        return fail(
            ErrorId::InvalidField, "completion.resume", "caller", "Last-Event-ID must be the id of an event from a stream of this system");
    }
    position.replica = ReplicaId(std::string(parts[0]));
    position.incarnation = Incarnation(incarnation);
    position.stream = std::string(parts[2]);
    return position;
}

std::string encodeEngineRequest(const EngineRequest &request)
{
    return json::serialize(json::object{{"stream_id", request.stream},
        {"prompt", request.prompt},
        {"prefix", request.prefix},
        {"start_offset", request.startOffset},
        {"max_tokens", request.maxOutput.value()},
        {"priority", request.priority},
        {"stream", true}});
}

Result<EngineRequest> decodeEngineRequest(std::string_view text, const std::string &peer)
{
    const Result<json::value> value = parseJson(text, "engine.decode_request", peer);
    if (!value) {
        return Failure(value.error());
    }
    JsonObjectReader object(*value, "engine.decode_request", peer);
    EngineRequest request;
    request.stream = object.text("stream_id");
    request.prompt = object.text("prompt");
    request.prefix = object.textOr("prefix", "");
    request.startOffset = object.numberOr("start_offset", 0);
    request.maxOutput = Tokens(object.number("max_tokens"));
    request.priority = static_cast<int>(object.numberOr("priority", 0));
    return object.finish(request);
}

std::string encodeEngineEvent(const EngineChunk &chunk)
{
    const json::object object{{"stream", chunk.stream},
        {"offset", chunk.offset},
        {"tokens", chunk.tokens},
        {"text", chunk.text},
        {"finish_reason", encodeFinishReason(chunk.finishReason)}};
    return "data: " + json::serialize(object) + "\n\n";
}

Result<EngineChunk> decodeEngineChunk(std::string_view data, const std::string &peer)
{
    const Result<json::value> value = parseJson(data, "engine.decode_piece", peer);
    if (!value) {
        return Failure(value.error());
    }
    JsonObjectReader object(*value, "engine.decode_piece", peer);
    EngineChunk chunk;
    chunk.stream = object.text("stream");
    chunk.offset = object.number("offset");
    chunk.tokens = object.number("tokens");
    chunk.text = object.text("text");
    const json::value &finish = object.value("finish_reason");
    chunk.finishReason = finish.is_string() ? std::string(finish.get_string()) : std::string();
    return object.finish(chunk);
}

} // namespace apricotarch
