#include "caller.h"

#include <algorithm>

namespace apricotarch::soak
{

namespace
{

constexpr milliseconds RetryInterval{20};
constexpr milliseconds AwayTime{2000};
constexpr milliseconds Patience{500}; ///< Time past its limit that a caller waits for a late answer.
constexpr int LongestPauseMs = 20;
constexpr int BodyPieces = 8;
constexpr int SlowReceiveBuffer = 32 * 1024;
constexpr int StatusOk = 200;
constexpr const char *EventEnd = "\n\n";

} // namespace

Caller::Caller(
    Evidence &evidence, const Workload &workload, std::vector<Address> nodes, std::size_t number, std::size_t home, unsigned seed)
    : m_evidence(evidence)
    , m_workload(workload)
    , m_nodes(std::move(nodes))
    , m_number(number)
    , m_home(home)
    , m_random(seed)
{
}

Caller::~Caller()
{
    finish();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Caller::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void Caller::run()
{
    while (!m_finishing) {
        if (connect()) {
            const milliseconds retryAfter = call();
            // Half of the callers do not wait as they are told.
            std::this_thread::sleep_for(milliseconds(m_random() % LongestPauseMs) + (m_number % 2 == 0 ? retryAfter : milliseconds(0)));
        } else {
            std::this_thread::sleep_for(RetryInterval);
        }
    }
}

bool Caller::connect()
{
    const bool returns = m_node != m_home && Clock::now() >= m_returnAt;
    if (m_connection && !returns && !m_connection->hasInputOrEnd()) {
        return true;
    }
    m_connection.reset();
    const std::size_t first = returns ? m_home : m_node;
    for (std::size_t index = 0; index < m_nodes.size() && !m_connection; ++index) {
        m_node = (first + index) % m_nodes.size();
        m_connection = Connection::open(m_nodes[m_node], m_workload.readPace.bytes > 0 ? SlowReceiveBuffer : 0);
    }
    if (m_connection) {
        m_connection->setReadPace(m_workload.readPace);
    }
    if (m_node != first) {
        m_returnAt = Clock::now() + AwayTime;
    }
    return m_connection != nullptr;
}

milliseconds Caller::call()
{
    Call call;
    call.id = m_workload.name + '-' + std::to_string(m_number) + '-' + std::to_string(++m_lastId) + '-';
    call.workload = &m_workload;
    call.duration = m_workload.durations[m_random() % m_workload.durations.size()];
    call.node = m_node;
    call.begin = Clock::now();
    if (m_broken && call.begin >= m_broken->deadline) {
        m_broken.reset();
    }
    const std::string target = m_broken ? m_broken->target : makeTarget(m_workload, call.duration);
    call.resumes = m_broken ? m_broken->firstRequest : "";
    std::optional<Message> answer;
    if (sendRequest(call, target)) {
        call.sent = Clock::now();
    }
    answer = m_connection->read(call.begin + m_workload.timeLimit + Patience);
    call.end = Clock::now();
    judgeAnswer(call, target, answer);
    if (!call.complete || equalsIgnoringCase(answer->header("Connection"), "close")) {
        m_connection.reset();
    }
    m_evidence.addCall(std::move(call));
    const double seconds = answer ? std::atof(answer->header("Retry-After").c_str()) : 0;
    return std::min(std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(seconds)), m_workload.timeLimit / 3);
}

bool Caller::sendRequest(Call &call, const std::string &target)
{
    const std::string piece = "history and complaint of " + call.id;
    const bool isSlow = m_workload.bodyTime > milliseconds(0);
    const bool isChunked = isSlow && m_random() % 2 == 0;
    const int pieces = isSlow ? BodyPieces : 1;
    Headers headers{{"Host", "desk.example"}, {"X-Request-Id", call.id}, {"X-Deadline-Ms", std::to_string(m_workload.timeLimit.count())}};
    if (m_workload.isStream()) {
        headers.emplace_back("X-Model", "m");
        headers.emplace_back("X-Token-Counts", "1460,80");
        headers.emplace_back("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    }
    if (m_broken) {
        headers.emplace_back("Last-Event-Id", std::to_string(m_broken->events));
        headers.emplace_back("Resumes", m_broken->firstRequest);
    }
    if (isChunked) {
        headers.emplace_back("Transfer-Encoding", "chunked");
    } else {
        headers.emplace_back("Content-Length", std::to_string(piece.size() * static_cast<std::size_t>(pieces)));
    }
    std::string bytes = "POST " + target + " HTTP/1.1\r\n" + encodeHeaders(headers) + "\r\n";
    for (int index = 0; index < pieces; ++index) {
        if (!m_connection->send(bytes)) {
            return false;
        }
        std::this_thread::sleep_for(m_workload.bodyTime / pieces);
        bytes = isChunked ? encodeChunk(piece) : piece;
    }
    return m_connection->send(isChunked ? bytes + encodeChunk("") : bytes);
}

void Caller::judgeAnswer(Call &call, const std::string &target, const std::optional<Message> &answer)
{
    if (!answer) {
        return;
    }
    const std::string whole = makeWholeBody(target, call.id, m_broken ? m_broken->events : 0);
    call.status = answer->status();
    call.complete = answer->complete;
    call.isWhole = answer->body == whole;
    call.isPart = whole.starts_with(answer->body);
    call.isSealed = answer->header("X-Response-Seal").ends_with(call.id) && answer->header("X-Request-Id") == call.id;
    noteBreak(call, target, answer->body);
}

void Caller::noteBreak(const Call &call, const std::string &target, const std::string &body)
{
    if (m_workload.kind != RouteKind::Stream || (call.status == StatusOk && (call.complete || !call.isPart))) {
        m_broken.reset();
        return;
    }
    std::size_t events = 0;
    for (std::size_t at = body.find(EventEnd); call.status == StatusOk && at != std::string::npos; at = body.find(EventEnd, at + 1)) {
        ++events;
    }
    if (!m_broken && events > 0) {
        m_broken = BrokenStream{target, call.id, 0, call.begin + m_workload.timeLimit};
    }
    if (m_broken) {
        m_broken->events += events;
    }
}

} // namespace apricotarch::soak
