/**
 * @file
 * Load with open-loop arrivals, and the judge of its answers: what counts is what the tool sent and got, and what the
 * booking service's stand-in recorded. Prints one `key=value` on a line.
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

/// What to send.
struct LoadSettings
{
    std::vector<std::string> nodes;
    std::string key;
    std::string languageService;
    std::string bookingService;
    std::string bookingRuns; ///< Address of the booking stand-in; empty for no bookings.
    double requestsPerSecond = 20;
    double bookingsPerSecond = 0;
    int seconds = 10;
    int promptTokens = 100;
    int outputTokens = 50;
    int deadlineMs = 10'000;
    int callerTries = 3; ///< Tries of one booking, each through another node.
    unsigned seed = 1;
};

/// What came back.
struct Tally
{
    int offered = 0;
    int onTime = 0;
    int wrong = 0;
    int brokenOff = 0;
    int resumed = 0;
    std::map<std::string, int> refusals;
    std::vector<double> firstTokenMs;
    std::vector<double> totalMs;
    int bookingsOffered = 0;
    int bookingsAnswered = 0;
    int bookingsSaidNotRun = 0;
    std::map<std::string, int> bookingRefusals;
    std::vector<std::string> answeredKeys;
    std::vector<std::string> notRunKeys; ///< Keys whose every try was answered with not_run.
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

/// Sends the load of one run.
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

    Tally run()
    {
        asio::co_spawn(m_loop, arrivals(m_settings.requestsPerSecond, &LoadRun::ask), asio::detached);
        asio::co_spawn(m_loop, arrivals(m_settings.bookingsPerSecond, &LoadRun::book), asio::detached);
        m_loop.run();
        return m_tally;
    }

    /// Times that each booking was run, by key.
    std::map<std::string, int> recordedRuns()
    {
        std::map<std::string, int> runs;
        m_loop.restart();
        asio::co_spawn(m_loop, readRuns(runs), asio::detached);
        m_loop.run();
        return runs;
    }

private:
    using Work = asio::awaitable<void> (LoadRun::*)(int);

    /// Starts work at random times that do not depend on answers.
    asio::awaitable<void> arrivals(double rate, Work work)
    {
        if (rate <= 0) {
            co_return;
        }
        std::exponential_distribution<double> gap(rate);
        const TimePoint begin = m_clock.now();
        TimePoint next = begin;
        for (int number = 0;; ++number) {
            next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
            if (next - begin > std::chrono::seconds(m_settings.seconds)) {
                co_return;
            }
            co_await m_clock.sleep(next - m_clock.now());
            asio::co_spawn(m_loop, (this->*work)(number), asio::detached);
        }
    }

    std::string promptOf(int number)
    {
        std::string prompt = "question " + std::to_string(number);
        for (int word = 2; word < m_settings.promptTokens; ++word) {
            prompt += " h" + std::to_string(word);
        }
        return prompt;
    }

    HttpRequest request(const char *path, std::string body)
    {
        HttpRequest made;
        made.method = "POST";
        made.path = path;
        made.headers.add("Authorization", "Bearer " + m_settings.key);
        made.headers.add("X-Deadline-Ms", std::to_string(m_settings.deadlineMs));
        made.body = std::move(body);
        return made;
    }

    Endpoint nodeOf(std::size_t turn)
    {
        return m_nodes[turn % m_nodes.size()];
    }

    asio::awaitable<void> ask(int number)
    {
        ++m_tally.offered;
        const TimePoint begin = m_clock.now();
        const std::string prompt = promptOf(number);
        const json::object body{
            {"model", m_settings.languageService}, {"prompt", prompt}, {"max_tokens", m_settings.outputTokens}, {"stream", true}};
        std::string text;
        std::string lastEvent;
        bool done = false;
        std::string refusal;
        for (std::size_t turn = 0; turn < m_nodes.size() && !done && refusal.empty(); ++turn) {
            HttpRequest asked = request("/v1/completions", json::serialize(body));
            if (!lastEvent.empty()) {
                asked.headers.add("Last-Event-ID", lastEvent);
                ++m_tally.resumed;
            }
            const Endpoint node = nodeOf(static_cast<std::size_t>(number) + turn);
            co_await readAnswer(node, std::move(asked), begin, text, lastEvent, done, refusal);
        }
        judge(prompt, text, done, refusal, millisecondsSince(begin));
    }

    asio::awaitable<void> readAnswer(
        Endpoint node, HttpRequest asked, TimePoint begin, std::string &text, std::string &lastEvent, bool &done, std::string &refusal)
    {
        const Duration patience = std::chrono::milliseconds(m_settings.deadlineMs + 2000);
        auto connection = co_await m_client.acquire(node, std::chrono::seconds(1));
        if (!connection) {
            co_return;
        }
        const auto head = co_await (*connection)->open(std::move(asked), patience);
        if (!head) {
            co_return;
        }
        EventStreamReader reader;
        std::string plain;
        while (true) {
            const auto bytes = co_await (*connection)->readSome(patience);
            if (!bytes) {
                co_return;
            }
            if (bytes->empty()) {
                break;
            }
            plain += head->success() ? "" : *bytes;
            (void)reader.feed(*bytes);
            while (const auto event = reader.next()) {
                takeEvent(*event, begin, text, lastEvent, done, refusal);
            }
        }
        if (!head->success()) {
            refusal = reasonOf(plain);
        }
        co_await m_client.release(node, std::move(*connection));
    }

    void takeEvent(
        const ServerSentEvent &event, TimePoint begin, std::string &text, std::string &lastEvent, bool &done, std::string &refusal)
    {
        if (event.type == "error") {
            refusal = "broken_off";
            return;
        }
        if (event.data == "[DONE]") {
            done = true;
            return;
        }
        if (text.empty()) {
            m_tally.firstTokenMs.push_back(millisecondsSince(begin));
        }
        const json::value value = json::parse(event.data);
        text += value.at("choices").at(0).at("text").as_string().c_str();
        lastEvent = event.id;
    }

    static std::string reasonOf(const std::string &body)
    {
        const json::value value = parseJson(body, "load.refusal", "node").value_or(json::value());
        JsonObject object(value, "load.refusal", "node");
        return object.textOr("reason", "unreadable");
    }

    void judge(const std::string &prompt, const std::string &text, bool done, const std::string &refusal, double tookMs)
    {
        if (!refusal.empty()) {
            ++m_tally.refusals[refusal];
            return;
        }
        if (!done) {
            ++m_tally.brokenOff;
            return;
        }
        std::string expected;
        for (int index = 0; index < m_settings.outputTokens; ++index) {
            expected += standins::answerWord(prompt, index);
        }
        if (text != expected) {
            ++m_tally.wrong;
            return;
        }
        m_tally.totalMs.push_back(tookMs);
        m_tally.onTime += tookMs <= m_settings.deadlineMs ? 1 : 0;
    }

    asio::awaitable<void> book(int number)
    {
        ++m_tally.bookingsOffered;
        const std::string key = "booking-" + std::to_string(m_settings.seed) + '-' + std::to_string(number);
        const std::string path = "/v1/services/" + m_settings.bookingService + "/visits";
        bool alwaysNotRun = true;
        for (int turn = 0; turn < m_settings.callerTries; ++turn) {
            HttpRequest asked = request(path.c_str(), "{\"slot\":" + std::to_string(number) + "}");
            asked.headers.add("Idempotency-Key", key);
            const Endpoint node = nodeOf(static_cast<std::size_t>(number) + static_cast<std::size_t>(turn));
            const auto response = co_await m_client.exchange(node, std::move(asked), std::chrono::milliseconds(m_settings.deadlineMs));
            if (response && response->success()) {
                ++m_tally.bookingsAnswered;
                m_tally.answeredKeys.push_back(key);
                co_return;
            }
            const bool refused = response && response->body.find("\"not_run\":true") != std::string::npos;
            const bool unreached = !response && response.error().delivery == Delivery::NotSent;
            alwaysNotRun = alwaysNotRun && (refused || unreached);
            ++m_tally.bookingRefusals[response ? reasonOf(response->body) : "no_answer"];
            co_await m_clock.sleep(std::chrono::milliseconds(300));
        }
        if (alwaysNotRun) {
            m_tally.notRunKeys.push_back(key);
        }
    }

    asio::awaitable<void> readRuns(std::map<std::string, int> &runs)
    {
        HttpRequest asked;
        asked.path = "/runs";
        const Endpoint booking = parseEndpoint(m_settings.bookingRuns).value_or(Endpoint());
        const auto response = co_await m_client.exchange(booking, asked, std::chrono::seconds(5));
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
    Tally m_tally;
};

/// Counts what a run says against what the booking service recorded, and prints everything.
int report(const Tally &tally, const std::map<std::string, int> &runs, const LoadSettings &settings)
{
    int doubled = 0;
    for (const auto &[key, count] : runs) {
        doubled += count > 1 ? 1 : 0;
    }
    const auto wasRun = [&runs](const std::string &key) {
        return runs.contains(key);
    };
    const auto lost = std::ranges::count_if(tally.answeredKeys, [&](const std::string &key) {
        return !wasRun(key);
    });
    const auto falseNotRun = std::ranges::count_if(tally.notRunKeys, wasRun);
    const auto violations = doubled + lost + falseNotRun + tally.wrong;
    std::cout << "offered=" << tally.offered << "\ngoodput=" << (tally.offered == 0 ? 0 : static_cast<double>(tally.onTime) / tally.offered)
              << "\ngoodput_per_s=" << static_cast<double>(tally.onTime) / settings.seconds << "\nanswers_wrong_or_foreign=" << tally.wrong
              << "\nbroken_off=" << tally.brokenOff << "\nresumed=" << tally.resumed;
    for (const auto &[reason, count] : tally.refusals) {
        std::cout << "\nrefusals_" << reason << '=' << count;
    }
    for (const auto &[name, share] : {std::pair{"p50", 0.5}, std::pair{"p95", 0.95}, std::pair{"p99", 0.99}}) {
        std::cout << "\nttft_" << name << "_ms=" << percentile(tally.firstTokenMs, share) << "\ntotal_" << name
                  << "_ms=" << percentile(tally.totalMs, share);
    }
    std::cout << "\nbookings_offered=" << tally.bookingsOffered << "\nbookings_answered=" << tally.bookingsAnswered
              << "\nbookings_lost=" << lost << "\nbookings_doubled=" << doubled << "\nfalse_not_run=" << falseNotRun;
    for (const auto &[reason, count] : tally.bookingRefusals) {
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
    CLI::App app("Sends load to nodes and judges the answers.");
    app.add_option("--node", settings.nodes, "IP:PORT of each node")->required();
    app.add_option("--key", settings.key, "caller's key")->required();
    app.add_option("--language-service", settings.languageService, "service id");
    app.add_option("--booking-service", settings.bookingService, "service id");
    app.add_option("--booking-runs", settings.bookingRuns, "IP:PORT of the booking stand-in");
    app.add_option("--rate", settings.requestsPerSecond, "language requests a second")->capture_default_str();
    app.add_option("--bookings", settings.bookingsPerSecond, "bookings a second")->capture_default_str();
    app.add_option("--seconds", settings.seconds, "length of the load")->capture_default_str();
    app.add_option("--prompt", settings.promptTokens, "words of a prompt")->capture_default_str();
    app.add_option("--output", settings.outputTokens, "tokens of an answer")->capture_default_str();
    app.add_option("--deadline-ms", settings.deadlineMs, "deadline of a request")->capture_default_str();
    app.add_option("--seed", settings.seed, "seed of the arrivals")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    LoadRun run(settings);
    const Tally tally = run.run();
    const auto runs = settings.bookingRuns.empty() ? std::map<std::string, int>() : run.recordedRuns();
    return report(tally, runs, settings);
}
