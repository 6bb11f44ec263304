/**
 * @file
 * Load generator with open-loop arrivals that verifies the answers. Its results are based only on what it sent and received, and on the
 * runs that the booking service's stand-in recorded. Prints one `key=value` pair per line.
 */

#include <algorithm>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "apricotarch/base/json_object.h"
#include "apricotarch/base/log.h"
#include "apricotarch/protocol/event_stream.h"
#include "apricotarch/transport/http_client.h"
#include "engine_model.h"

namespace apricotarch::load
{

namespace json = boost::json;

namespace
{

/// Settings of the load.
struct LoadSettings
{
    std::vector<std::string> nodes;
    std::string key;
    std::string languageService;
    std::string bookingService;
    std::string bookingRuns; ///< Address of the booking stand-in, whose recorded runs are read at the end; empty for none.
    double requestsPerSecond = 20;
    double bookingsPerSecond = 0;
    int seconds = 10;
    int promptTokens = 100;
    int outputTokens = 50;
    int deadlineMs = 10'000;
    int maxBookingAttempts = 3; ///< Attempts for one booking, each through another node.
    unsigned seed = 1;
};

/// Counts and measurements of the answers.
struct LoadResults
{
    int offered = 0; ///< Completion requests.
    int onTime = 0; ///< Correct answers within the deadline.
    int wrong = 0; ///< Complete answers whose text is not the expected one.
    int interrupted = 0; ///< Answers that ended without an end event.
    int resumed = 0; ///< Requests that resumed an interrupted answer.
    std::map<std::string, int> refusals;
    std::vector<double> firstTokenMs;
    std::vector<double> totalMs;
    int bookingsOffered = 0;
    int bookingsAnswered = 0;
    int bookingsSaidNotRun = 0;
    std::map<std::string, int> bookingRefusals;
    std::vector<std::string> answeredKeys;
    std::vector<std::string> notRunKeys; ///< Keys of bookings for which every attempt was refused as not run or could not be sent.
};

double millisecondsSince(TimePoint begin)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

/// Sends the load of one benchmark run.
class LoadRun
{
public:
    explicit LoadRun(LoadSettings settings)
        : m_settings(std::move(settings))
        , m_random(m_settings.seed)
    {
        for (const std::string &node : m_settings.nodes) {
            m_nodes.push_back(parseEndpoint(node).value_or(Endpoint()));
        }
    }

    LoadResults run()
    {
        asio::co_spawn(m_loop, generateArrivals(m_settings.requestsPerSecond, &LoadRun::sendCompletion), asio::detached);
        asio::co_spawn(m_loop, generateArrivals(m_settings.bookingsPerSecond, &LoadRun::sendBooking), asio::detached);
        m_loop.run();
        return m_results;
    }

    /// Returns how often each booking was run, by key.
    std::map<std::string, int> fetchRecordedRuns()
    {
        std::map<std::string, int> runs;
        m_loop.restart();
        asio::co_spawn(m_loop, fetchRuns(runs), asio::detached);
        m_loop.run();
        return runs;
    }

private:
    using Work = asio::awaitable<void> (LoadRun::*)(int);

    /// Starts work at random, exponentially distributed intervals that do not depend on the answers.
    asio::awaitable<void> generateArrivals(double rate, Work work)
    {
        if (rate <= 0) {
            co_return;
        }
        std::exponential_distribution<double> interval(rate);
        const TimePoint begin = m_clock.now();
        TimePoint next = begin;
        for (int number = 0;; ++number) {
            next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval(m_random)));
            if (next - begin > std::chrono::seconds(m_settings.seconds)) {
                co_return;
            }
            co_await m_clock.sleep(next - m_clock.now());
            asio::co_spawn(m_loop, (this->*work)(number), asio::detached);
        }
    }

    std::string makePrompt(int number)
    {
        std::string prompt = "question " + std::to_string(number);
        for (int word = 2; word < m_settings.promptTokens; ++word) {
            prompt += " h" + std::to_string(word);
        }
        return prompt;
    }

    HttpRequest makeRequest(const char *path, std::string body)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = path;
        request.headers.add("Authorization", "Bearer " + m_settings.key);
        request.headers.add("X-Deadline-Ms", std::to_string(m_settings.deadlineMs));
        request.body = std::move(body);
        return request;
    }

    Endpoint nodeForAttempt(std::size_t attempt)
    {
        return m_nodes[attempt % m_nodes.size()];
    }

    asio::awaitable<void> sendCompletion(int number)
    {
        ++m_results.offered;
        const TimePoint begin = m_clock.now();
        const std::string prompt = makePrompt(number);
        const json::object body{
            {"model", m_settings.languageService}, {"prompt", prompt}, {"max_tokens", m_settings.outputTokens}, {"stream", true}};
        std::string text;
        std::string lastEventId;
        bool completed = false;
        std::string refusal;
        for (std::size_t attempt = 0; attempt < m_nodes.size() && !completed && refusal.empty(); ++attempt) {
            HttpRequest request = makeRequest("/v1/completions", json::serialize(body));
            if (!lastEventId.empty()) {
                request.headers.add("Last-Event-ID", lastEventId);
                ++m_results.resumed;
            }
            const Endpoint node = nodeForAttempt(static_cast<std::size_t>(number) + attempt);
            co_await readAnswer(node, std::move(request), begin, text, lastEventId, completed, refusal);
        }
        verifyAnswer(prompt, text, completed, refusal, millisecondsSince(begin));
    }

    asio::awaitable<void> readAnswer(Endpoint node,
        HttpRequest request,
        TimePoint begin,
        std::string &text,
        std::string &lastEventId,
        bool &completed,
        std::string &refusal)
    {
        const Duration answerTimeout = std::chrono::milliseconds(m_settings.deadlineMs + 2000);
        auto connection = co_await m_client.acquire(node, std::chrono::seconds(1));
        if (!connection) {
            co_return;
        }
        const auto head = co_await (*connection)->open(std::move(request), answerTimeout);
        if (!head) {
            co_return;
        }
        EventStreamReader reader;
        std::string refusalBody;
        while (true) {
            const auto bytes = co_await (*connection)->readSome(answerTimeout);
            if (!bytes) {
                co_return;
            }
            if (bytes->empty()) {
                break;
            }
            refusalBody += head->success() ? "" : *bytes;
            (void)reader.feed(*bytes);
            while (const auto event = reader.next()) {
                handleEvent(*event, begin, text, lastEventId, completed, refusal);
            }
        }
        if (!head->success()) {
            refusal = reasonOf(refusalBody);
        }
        co_await m_client.release(node, std::move(*connection));
    }

    void handleEvent(
        const ServerSentEvent &event, TimePoint begin, std::string &text, std::string &lastEventId, bool &completed, std::string &refusal)
    {
        if (event.type == "error") {
            refusal = "broken_off";
            return;
        }
        if (event.data == "[DONE]") {
            completed = true;
            return;
        }
        if (text.empty()) {
            m_results.firstTokenMs.push_back(millisecondsSince(begin));
        }
        const json::value value = json::parse(event.data);
        text += value.at("choices").at(0).at("text").as_string().c_str();
        lastEventId = event.id;
    }

    static std::string reasonOf(const std::string &body)
    {
        const json::value value = parseJson(body, "load.refusal", "node").value_or(json::value());
        JsonObjectReader object(value, "load.refusal", "node");
        return object.textOr("reason", "unreadable");
    }

    void verifyAnswer(const std::string &prompt, const std::string &text, bool completed, const std::string &refusal, double totalMs)
    {
        if (!refusal.empty()) {
            ++m_results.refusals[refusal];
            return;
        }
        if (!completed) {
            ++m_results.interrupted;
            return;
        }
        std::string expected;
        for (int index = 0; index < m_settings.outputTokens; ++index) {
            expected += standins::answerWord(prompt, index);
        }
        if (text != expected) {
            ++m_results.wrong;
            return;
        }
        m_results.totalMs.push_back(totalMs);
        m_results.onTime += totalMs <= m_settings.deadlineMs ? 1 : 0;
    }

    asio::awaitable<void> sendBooking(int number)
    {
        ++m_results.bookingsOffered;
        const std::string key = "booking-" + std::to_string(m_settings.seed) + '-' + std::to_string(number);
        const std::string path = "/v1/services/" + m_settings.bookingService + "/visits";
        bool alwaysNotRun = true;
        for (int attempt = 0; attempt < m_settings.maxBookingAttempts; ++attempt) {
            HttpRequest request = makeRequest(path.c_str(), "{\"slot\":" + std::to_string(number) + "}");
            request.headers.add("Idempotency-Key", key);
            const Endpoint node = nodeForAttempt(static_cast<std::size_t>(number) + static_cast<std::size_t>(attempt));
            const auto response = co_await m_client.exchange(node, std::move(request), std::chrono::milliseconds(m_settings.deadlineMs));
            if (response && response->success()) {
                ++m_results.bookingsAnswered;
                m_results.answeredKeys.push_back(key);
                co_return;
            }
            const bool refusedAsNotRun = response && response->body.find("\"not_run\":true") != std::string::npos;
            const bool notSent = !response && response.error().delivery == Delivery::NotSent;
            alwaysNotRun = alwaysNotRun && (refusedAsNotRun || notSent);
            ++m_results.bookingRefusals[response ? reasonOf(response->body) : "no_answer"];
            co_await m_clock.sleep(std::chrono::milliseconds(300));
        }
        if (alwaysNotRun) {
            m_results.notRunKeys.push_back(key);
        }
    }

    asio::awaitable<void> fetchRuns(std::map<std::string, int> &runs)
    {
        HttpRequest request;
        request.path = "/runs";
        const Endpoint booking = parseEndpoint(m_settings.bookingRuns).value_or(Endpoint());
        const auto response = co_await m_client.exchange(booking, request, std::chrono::seconds(5));
        if (!response) {
            co_return;
        }
        const json::value value = json::parse(response->body);
        for (const json::value &run : value.at("runs").as_array()) {
            ++runs[std::string(run.at("key").as_string())];
        }
    }

    LoadSettings m_settings;
    std::mt19937_64 m_random;
    SystemClock m_clock;
    asio::io_context m_loop{1};
    HttpClient m_client;
    std::vector<Endpoint> m_nodes;
    LoadResults m_results;
};

/// Compares the answers with the runs that the booking service recorded, and prints all results. @return the process's exit code
int report(const LoadResults &results, const std::map<std::string, int> &runs, const LoadSettings &settings)
{
    int duplicates = 0;
    for (const auto &[key, count] : runs) {
        duplicates += count > 1 ? 1 : 0;
    }
    const auto wasRun = [&runs](const std::string &key) {
        return runs.contains(key);
    };
    const auto lost = std::ranges::count_if(results.answeredKeys, [&](const std::string &key) {
        return !wasRun(key);
    });
    const auto falseNotRun = std::ranges::count_if(results.notRunKeys, wasRun);
    const auto violations = duplicates + lost + falseNotRun + results.wrong;
    std::cout << "offered=" << results.offered
              << "\ngoodput=" << (results.offered == 0 ? 0 : static_cast<double>(results.onTime) / results.offered)
              << "\ngoodput_per_s=" << static_cast<double>(results.onTime) / settings.seconds
              << "\nanswers_wrong_or_foreign=" << results.wrong << "\nbroken_off=" << results.interrupted
              << "\nresumed=" << results.resumed;
    for (const auto &[reason, count] : results.refusals) {
        std::cout << "\nrefusals_" << reason << '=' << count;
    }
    for (const auto &[name, share] : {std::pair{"p50", 0.5}, std::pair{"p95", 0.95}, std::pair{"p99", 0.99}}) {
        std::cout << "\nttft_" << name << "_ms=" << percentile(results.firstTokenMs, share) << "\ntotal_" << name
                  << "_ms=" << percentile(results.totalMs, share);
    }
    std::cout << "\nbookings_offered=" << results.bookingsOffered << "\nbookings_answered=" << results.bookingsAnswered
              << "\nbookings_lost=" << lost << "\nbookings_doubled=" << duplicates << "\nfalse_not_run=" << falseNotRun;
    for (const auto &[reason, count] : results.bookingRefusals) {
        std::cout << "\nbooking_refusals_" << reason << '=' << count;
    }
    std::cout << "\nviolations=" << violations << '\n';
    return violations == 0 ? 0 : 1;
}

} // namespace

} // namespace apricotarch::load

int main(int argc, char **argv)
{
    using namespace apricotarch::load;
    apricotarch::startLogging(argv[0]);
    LoadSettings settings;
    CLI::App app("Sends load to nodes and verifies the answers.");
    app.add_option("--node", settings.nodes, "IP:PORT of each node")->required();
    app.add_option("--key", settings.key, "key of the caller")->required();
    app.add_option("--language-service", settings.languageService, "service id");
    app.add_option("--booking-service", settings.bookingService, "service id");
    app.add_option("--booking-runs", settings.bookingRuns, "IP:PORT of the booking stand-in");
    app.add_option("--rate", settings.requestsPerSecond, "completion requests per second")->capture_default_str();
    app.add_option("--bookings", settings.bookingsPerSecond, "bookings per second")->capture_default_str();
    app.add_option("--seconds", settings.seconds, "duration of the load, in seconds")->capture_default_str();
    app.add_option("--prompt", settings.promptTokens, "number of words in a prompt")->capture_default_str();
    app.add_option("--output", settings.outputTokens, "number of tokens in an answer")->capture_default_str();
    app.add_option("--deadline-ms", settings.deadlineMs, "deadline of a request, in milliseconds")->capture_default_str();
    app.add_option("--seed", settings.seed, "random seed of the arrivals")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    LoadRun run(settings);
    const LoadResults results = run.run();
    const auto runs = settings.bookingRuns.empty() ? std::map<std::string, int>() : run.fetchRecordedRuns();
    return report(results, runs, settings);
}
