/**
 * @file
 * Stand-in for a booking service. Every `--listen` address is one replica; all replicas share one list of bookings. Each run of a
 * booking is recorded and listed by `GET /runs`, so that duplicate and lost bookings can be counted.
 */

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "apricotarch/base/clock.h"
#include "standin_server.h"

namespace apricotarch::standins
{

namespace json = boost::json;

namespace
{

/// One run of a booking request.
struct Run
{
    std::string key;
    std::string body;
};

/// HTTP interface of the booking service.
class BookingApi
{
public:
    BookingApi(Clock &clock, std::chrono::milliseconds delay, int answersToDrop)
        : m_clock(clock)
        , m_delay(delay)
        , m_answersToDrop(answersToDrop)
    {
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.path == "/visits" && request.method == "POST") {
            co_await handleBooking(request, responder);
        } else if (request.path == "/visits/by-key") {
            co_await handleLookUp(request, responder);
        } else if (request.path == "/week" || request.path == "/runs") {
            (void)co_await responder.respond(jsonResponse(200, encodeRuns()));
        } else {
            co_await respondNotFound(responder);
        }
    }

private:
    asio::awaitable<void> handleBooking(const HttpRequest &request, HttpResponder &responder)
    {
        const std::string key(request.headers.value("Idempotency-Key"));
        const int number = addRun({key, request.body});
        co_await m_clock.sleep(m_delay);
        if (dropNextAnswer()) {
            responder.abort();
            co_return;
        }
        (void)co_await responder.respond(jsonResponse(201, encodeBooking(number)));
    }

    asio::awaitable<void> handleLookUp(const HttpRequest &request, HttpResponder &responder)
    {
        const int number = findRun(std::string(request.headers.value("Idempotency-Key")));
        if (number < 0) {
            co_await respondNotFound(responder);
            co_return;
        }
        (void)co_await responder.respond(jsonResponse(201, encodeBooking(number)));
    }

    /// Records a run. @return the number of the run, from 0
    int addRun(Run run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(std::move(run));
        return static_cast<int>(m_runs.size()) - 1;
    }

    /// Returns the number of the first run with a key, or -1.
    int findRun(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        for (std::size_t index = 0; index < m_runs.size(); ++index) {
            if (m_runs[index].key == key) {
                return static_cast<int>(index);
            }
        }
        return -1;
    }

    /// Returns whether to drop the next answer, and counts it as dropped if so.
    bool dropNextAnswer()
    {
        const std::lock_guard lock(m_mutex);
        return m_answersToDrop > 0 && m_answersToDrop-- > 0;
    }

    static std::string encodeBooking(int number)
    {
        return json::serialize(json::object{{"booking", number}});
    }

    std::string encodeRuns()
    {
        const std::lock_guard lock(m_mutex);
        json::array list;
        for (const Run &run : m_runs) {
            list.push_back(json::object{{"key", run.key}, {"body", run.body}});
        }
        return json::serialize(json::object{{"runs", list}});
    }

    Clock &m_clock;
    std::chrono::milliseconds m_delay;
    std::mutex m_mutex;
    int m_answersToDrop;
    std::vector<Run> m_runs;
};

} // namespace

} // namespace apricotarch::standins

int main(int argc, char **argv)
{
    using namespace apricotarch;
    using namespace apricotarch::standins;
    startLogging(argv[0]);
    std::vector<std::string> listen;
    int delayMs = 0;
    int answersToDrop = 0;
    CLI::App app("Stand-in for a booking service.");
    app.add_option("--listen", listen, "IP:PORT of each replica")->required();
    app.add_option("--delay-ms", delayMs, "duration of a booking, in milliseconds")->capture_default_str();
    app.add_option("--lose-answers", answersToDrop, "number of bookings that are run but not answered")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    SystemClock clock;
    BookingApi api(clock, std::chrono::milliseconds(delayMs), answersToDrop);
    EventLoopPool eventLoops(1);
    return serveUntilSignal(eventLoops, listen, [&api](const HttpRequest &request, HttpResponder &responder) {
        return api.handle(request, responder);
    });
}
