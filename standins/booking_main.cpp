/**
 * @file
 * A booking service's stand-in: every `--listen` address is one replica, and all share one book. Each run is recorded, so
 * that doubled and lost bookings can be counted: `GET /runs`.
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

/// One run of a booking.
struct Run
{
    std::string key;
    std::string body;
};

/// The booking service behind HTTP.
class BookingApi
{
public:
    BookingApi(Clock &clock, std::chrono::milliseconds delay, int loseAnswers)
        : m_clock(clock)
        , m_delay(delay)
        , m_loseAnswers(loseAnswers)
    {
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.path == "/visits" && request.method == "POST") {
            co_await book(request, responder);
        } else if (request.path == "/visits/by-key") {
            co_await lookUp(request, responder);
        } else if (request.path == "/week" || request.path == "/runs") {
            (void)co_await responder.respond(jsonResponse(200, runs()));
        } else {
            co_await respondNotFound(responder);
        }
    }

private:
    asio::awaitable<void> book(const HttpRequest &request, HttpResponder &responder)
    {
        const std::string key(request.headers.value("Idempotency-Key"));
        const int number = record({key, request.body});
        co_await m_clock.sleep(m_delay);
        if (loseThisAnswer()) {
            responder.abort();
            co_return;
        }
        (void)co_await responder.respond(jsonResponse(201, answer(number)));
    }

    asio::awaitable<void> lookUp(const HttpRequest &request, HttpResponder &responder)
    {
        const int number = find(std::string(request.headers.value("Idempotency-Key")));
        if (number < 0) {
            co_await respondNotFound(responder);
            co_return;
        }
        (void)co_await responder.respond(jsonResponse(201, answer(number)));
    }

    /// @return the number of the run, from 0
    int record(Run run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(std::move(run));
        return static_cast<int>(m_runs.size()) - 1;
    }

    int find(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        for (std::size_t index = 0; index < m_runs.size(); ++index) {
            if (m_runs[index].key == key) {
                return static_cast<int>(index);
            }
        }
        return -1;
    }

    bool loseThisAnswer()
    {
        const std::lock_guard lock(m_mutex);
        return m_loseAnswers > 0 && m_loseAnswers-- > 0;
    }

    static std::string answer(int number)
    {
        return json::serialize(json::object{{"booking", number}});
    }

    std::string runs()
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
    int m_loseAnswers;
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
    int loseAnswers = 0;
    CLI::App app("A stand-in for a booking service.");
    app.add_option("--listen", listen, "IP:PORT of each replica")->required();
    app.add_option("--delay-ms", delayMs, "time that a booking takes")->capture_default_str();
    app.add_option("--lose-answers", loseAnswers, "so many bookings run and get no answer")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    SystemClock clock;
    BookingApi api(clock, std::chrono::milliseconds(delayMs), loseAnswers);
    Workers workers(1);
    return serveUntilSignal(workers, listen, [&api](const HttpRequest &request, HttpResponder &responder) {
        return api.handle(request, responder);
    });
}
