#include "apricotarch/transport/message_parser.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include "apricotarch/transport/message_framing.h"

namespace apricotarch
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr std::uint32_t MaxAnswerHeaderBytes = 64 * 1024;

/// Codes below it are no statuses (RFC 9110, 15). They must not count as informational answers, after which another one is awaited.
constexpr int LowestStatus = 100;

/// Stores the start line, headers and body of a message. @tparam IsRequest as in Beast's basic_parser
template<bool IsRequest>
class Parser : public http::basic_parser<IsRequest>
{
public:
    std::string method;
    std::string target;
    int version = 11; ///< HTTP version times ten, as in Beast.
    int status = 0;
    std::string reason;
    HttpHeaders headers;
    std::string body;
    FramingFault fault = FramingFault::None;
    FoldedLineFinder foldedLines;

protected:
    using Error = beast::error_code;
    using Text = beast::string_view;

    void on_request_impl(http::verb /*verb*/, Text methodText, Text targetText, int versionNumber, Error & /*code*/) override
    {
        version = versionNumber;
        method.assign(methodText.data(), methodText.size());
        target.assign(targetText.data(), targetText.size());
    }

    void on_response_impl(int answerStatus, Text text, int versionNumber, Error &code) override
    {
        version = versionNumber;
        status = answerStatus;
        reason.assign(text.data(), text.size());
        if (status < LowestStatus) {
            code = http::error::bad_status;
        }
    }

    void on_field_impl(http::field /*field*/, Text name, Text value, Error & /*code*/) override
    {
        // Fields of a trailer are discarded. What they say would depend on whether they arrive together with the head.
        if (!m_headComplete) {
            headers.add(std::string(name), std::string(value));
        }
    }

    void on_header_impl(Error &code) override
    {
        m_headComplete = true;
        fault = findFramingFault({version, status}, headers);
        if (fault != FramingFault::None) {
            code = http::error::bad_transfer_encoding;
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, Error & /*code*/) override
    {
    }

    std::size_t on_body_impl(Text text, Error & /*code*/) override
    {
        body.append(text.data(), text.size());
        return text.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, Text extensions, Error &code) override
    {
        if (!isPlainExtension({extensions.data(), extensions.size()})) {
            code = http::error::bad_chunk_extension;
        }
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, Text text, Error & /*code*/) override
    {
        body.append(text.data(), text.size());
        return text.size();
    }

    void on_finish_impl(Error & /*code*/) override
    {
    }

private:
    bool m_headComplete = false;
};

/// Feeds a parser until it needs more input, is done or fails. Folded header lines are an error. @return number of bytes consumed
template<typename Parser>
std::size_t feed(Parser &parser, std::string_view bytes, beast::error_code &code)
{
    std::size_t used = 0;
    while (!parser.is_done() && used < bytes.size()) {
        const std::size_t taken = parser.put(boost::asio::const_buffer(bytes.data() + used, bytes.size() - used), code);
        used += taken;
        if (code == http::error::need_more) {
            code = {};
            break;
        }
        if (code || taken == 0) {
            break;
        }
    }
    if (!code && parser.foldedLines.find(bytes.substr(0, used))) {
        code = http::error::bad_value;
    }
    return used;
}

} // namespace

struct RequestParser::Impl
{
    Parser<true> parser;
    RequestHead head;
    bool headMoved = false;
};

RequestParser::RequestParser(ReadLimits limits)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->parser.header_limit(limits.headerBytes);
    m_impl->parser.body_limit(limits.bodyBytes);
    m_impl->parser.eager(true);
}

RequestParser::~RequestParser() = default;

Result<std::size_t> RequestParser::parse(std::string_view bytes)
{
    beast::error_code code;
    const std::size_t used = feed(m_impl->parser, bytes, code);
    if (code == http::error::header_limit) {
        return fail(ErrorId::MessageTooLarge, "request.header", "", code.message());
    }
    if (code == http::error::body_limit) {
        return fail(ErrorId::MessageTooLarge, "request.body", "", code.message());
    }
    if (code && m_impl->parser.fault == FramingFault::UnknownCoding) {
        return fail(ErrorId::MalformedMessage, "request.transfer_coding", "", "the transfer coding is not supported");
    }
    if (code) {
        return fail(ErrorId::MalformedMessage, "request.read", "", code.message());
    }
    return used;
}

bool RequestParser::isHeadComplete() const noexcept
{
    return m_impl->parser.is_header_done();
}

bool RequestParser::isComplete() const noexcept
{
    return m_impl->parser.is_done();
}

RequestHead &RequestParser::head() noexcept
{
    Impl &impl = *m_impl;
    if (!impl.headMoved && impl.parser.is_header_done()) {
        impl.headMoved = true;
        impl.head.method = std::move(impl.parser.method);
        impl.head.target = std::move(impl.parser.target);
        impl.head.headers = std::move(impl.parser.headers);
        impl.head.keepAlive = impl.parser.keep_alive();
        impl.head.acceptsChunked = impl.parser.version >= 11;
        impl.head.expectsContinue = std::ranges::any_of(impl.head.headers.listElements("Expect"), [](std::string_view expectation) {
            return beast::iequals(expectation, "100-continue");
        });
    }
    return impl.head;
}

std::string &RequestParser::body() noexcept
{
    return m_impl->parser.body;
}

struct AnswerParser::Impl
{
    Parser<false> parser;
    AnswerHead head;
    bool headMoved = false;
};

AnswerParser::AnswerParser(bool isHeadRequest)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->parser.header_limit(MaxAnswerHeaderBytes);
    m_impl->parser.body_limit(boost::none);
    m_impl->parser.eager(true);
    m_impl->parser.skip(isHeadRequest);
}

AnswerParser::~AnswerParser() = default;

Result<std::size_t> AnswerParser::parse(std::string_view bytes)
{
    beast::error_code code;
    const std::size_t used = feed(m_impl->parser, bytes, code);
    if (code) {
        return fail(ErrorId::MalformedMessage, "answer.read", "", code.message(), Delivery::MaybeSent);
    }
    return used;
}

bool AnswerParser::handleEndOfStream()
{
    if (!m_impl->parser.got_some()) {
        return false;
    }
    beast::error_code code;
    m_impl->parser.put_eof(code);
    return !code && m_impl->parser.is_done();
}

bool AnswerParser::isHeadComplete() const noexcept
{
    return m_impl->parser.is_header_done();
}

bool AnswerParser::isComplete() const noexcept
{
    return m_impl->parser.is_done();
}

AnswerHead &AnswerParser::head() noexcept
{
    Impl &impl = *m_impl;
    if (!impl.headMoved && impl.parser.is_header_done()) {
        impl.headMoved = true;
        impl.head.status = impl.parser.status;
        impl.head.reason = std::move(impl.parser.reason);
        impl.head.headers = std::move(impl.parser.headers);
        impl.head.endsWithConnection = impl.parser.need_eof();
        impl.head.keepAlive =
            impl.parser.keep_alive() && !announcesForbiddenBody({impl.parser.version, impl.parser.status}, impl.head.headers);
    }
    return impl.head;
}

std::string &AnswerParser::body() noexcept
{
    return m_impl->parser.body;
}

} // namespace apricotarch
