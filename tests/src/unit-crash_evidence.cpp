#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/prompt_part_quarantine.h"

// Plays loads in which engines crash, with and without a part of prompts to blame, against the evidence of several nodes.

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

using Milliseconds = std::chrono::milliseconds;

constexpr TimePoint Start{Duration(100s)};
constexpr Milliseconds Tick = 5ms;
constexpr Milliseconds PlayedTime = 30s;
constexpr Milliseconds HeartbeatInterval = 100ms;
constexpr Milliseconds HeartbeatDelay = 5ms;
constexpr Milliseconds RestartTime = 2s;
constexpr Milliseconds EventInterval = 15ms;
constexpr std::uint64_t DeadlyPart = 0xdead;

/// Time in which nodes have to learn of a crash, on the users' sheets.
constexpr Milliseconds ContactTime = 3s;
constexpr std::size_t CrashesBeforeBound = 5;
constexpr int DeadlyRequestsAllowed = 3;

/// Sound prompts for each one that may be refused by mistake.
constexpr int MinSoundPerRefused = 20;

/// What happens in a play.
struct Load
{
    double promptsPerSecond = 54;
    std::size_t firstParts = 12; ///< Number of first parts that sound prompts have.
    std::size_t secondParts = 300; ///< The same for second parts, which are the ones that may be deadly.
    double deadlyShare = 0; ///< Share of the prompts that have the deadly part.
    bool deadlyIsFirst = false; ///< Whether the deadly part is the first one of its prompts.
    std::optional<Milliseconds> soundUntil = {}; ///< Until then, prompts with the deadly part are answered.
    Milliseconds timeToCrash = 0ms; ///< From the beginning of the answer, or from its last event before the crash.
    int eventsBeforeCrash = 0;
    Milliseconds otherCrashInterval = 0ms; ///< Between crashes with no part to blame; 0 for none.
    std::size_t enginesPerCrash = 1; ///< Engines that end in each of them.
};

/// What callers and engines have seen.
struct Outcome
{
    std::size_t deadlyCrashes = 0;
    int deadlyTooLate = 0; ///< Requests with the deadly part that reached engines after the bound.
    int sound = 0;
    int soundRefused = 0;
};

class Play
{
public:
    Play(const Load &load, std::uint64_t seed)
        : m_load(load)
        , m_random(seed)
    {
        for (Engine &engine : m_engines) {
            engine.process = ++m_processes;
        }
    }

    Outcome run()
    {
        for (; m_now < Start + PlayedTime; m_now += Tick) {
            crashForOtherReasons();
            arrive();
            proceed();
            exchangeEvidence();
        }
        return m_result;
    }

private:
    struct Request
    {
        std::size_t node = 0;
        std::size_t engine = 0;
        std::vector<PromptPart> prompt;
        bool isDeadly = false;
        bool isRetry = false;
        TimePoint beginsAt; ///< When its answer begins.
        TimePoint crashesAt = TimePoint::max();
        std::optional<TimePoint> firstEventAt;
        TimePoint endsAt;
        bool isKnownSafe = false;
    };

    struct Engine
    {
        std::uint32_t process = 0;
        TimePoint backAt;
    };

    std::uint64_t pick(std::uint64_t count)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, count - 1)(m_random);
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    void arrive()
    {
        const double mean = m_load.promptsPerSecond * std::chrono::duration<double>(Tick).count();
        for (int count = std::poisson_distribution<int>(mean)(m_random); count > 0; --count) {
            const bool hasDeadlyPart = chance(m_load.deadlyShare);
            std::uint64_t first = 0x1000 + pick(m_load.firstParts);
            std::uint64_t second = 0x2000 + pick(m_load.secondParts);
            if (hasDeadlyPart) {
                (m_load.deadlyIsFirst ? first : second) = DeadlyPart;
            }
            Request request;
            request.node = pick(m_nodes.size());
            request.prompt = {{first, 900}, {second, 400}, {++m_ownParts, 200}};
            request.isDeadly = hasDeadlyPart && m_now >= Start + m_load.soundUntil.value_or(0ms);
            m_result.sound += request.isDeadly ? 0 : 1;
            send(request);
        }
    }

    void send(Request request)
    {
        PromptPartQuarantine &node = m_nodes[request.node];
        if (node.findQuarantined(request.prompt)) {
            m_result.soundRefused += request.isDeadly || request.isRetry ? 0 : 1;
            return;
        }
        // Prompts with the same first part mostly go to the engine that has it cached.
        request.engine = chance(0.7) ? request.prompt.front().id % m_engines.size() : pick(m_engines.size());
        for (std::size_t tried = 0; m_engines[request.engine].backAt > m_now && tried < m_engines.size(); ++tried) {
            request.engine = (request.engine + 1) % m_engines.size();
        }
        request.beginsAt = m_now + Milliseconds(30 + pick(150));
        request.endsAt = request.beginsAt + EventInterval * static_cast<int>(9 + pick(21));
        request.firstEventAt.reset();
        request.isKnownSafe = false;
        request.crashesAt = TimePoint::max();
        if (request.isDeadly) {
            request.crashesAt = request.beginsAt + EventInterval * std::max(0, m_load.eventsBeforeCrash - 1) + m_load.timeToCrash;
            m_result.deadlyTooLate += m_boundFrom && m_now > *m_boundFrom ? 1 : 0;
        }
        m_running.push_back(std::move(request));
    }

    void proceed()
    {
        for (std::size_t index = 0; index < m_running.size(); ++index) {
            Request &request = m_running[index];
            const bool writesEvents = !request.isDeadly || m_load.eventsBeforeCrash > 0;
            if (m_now >= request.beginsAt && !request.firstEventAt && writesEvents) {
                request.firstEventAt = m_now;
            }
            if (m_now >= request.crashesAt) {
                if (++m_result.deadlyCrashes == CrashesBeforeBound) {
                    m_boundFrom = m_now + ContactTime;
                }
                crash(request.engine);
                index = 0; // The crash has ended other requests.
                continue;
            }
            const bool isEnded = m_now >= request.endsAt && !request.isDeadly;
            if (!request.isKnownSafe && (isEnded || (request.firstEventAt && m_now - *request.firstEventAt >= SafeAnswerTime))) {
                request.isKnownSafe = true;
                m_nodes[request.node].recordAnswer(request.prompt, m_now);
            }
        }
        std::erase_if(m_running, [this](const Request &request) {
            return m_now >= request.endsAt && !request.isDeadly;
        });
    }

    void crash(std::size_t engine)
    {
        std::vector<Request> lost;
        std::erase_if(m_running, [&](const Request &request) {
            if (request.engine == engine) {
                lost.push_back(request);
            }
            return request.engine == engine;
        });
        m_engines[engine].backAt = m_now + RestartTime;
        const std::uint32_t process = m_engines[engine].process;
        m_engines[engine].process = ++m_processes;
        for (Request &request : lost) {
            if (!request.isKnownSafe) {
                std::optional<Duration> sinceFirstEvent;
                if (request.firstEventAt) {
                    sinceFirstEvent = m_now - *request.firstEventAt;
                }
                m_nodes[request.node].recordCrash(request.prompt, {process, m_now, crashLikelihood(sinceFirstEvent)});
            }
        }
        for (Request &request : lost) {
            if (!std::exchange(request.isRetry, true)) {
                send(request);
            }
        }
    }

    void crashForOtherReasons()
    {
        const bool isDue =
            m_load.otherCrashInterval > 0ms && m_now > Start && (m_now - Start) % m_load.otherCrashInterval == Duration::zero();
        for (std::size_t count = 0; isDue && count < m_load.enginesPerCrash; ++count) {
            crash(pick(m_engines.size()));
        }
    }

    void exchangeEvidence()
    {
        const auto sinceStart = m_now - Start;
        if (sinceStart % HeartbeatInterval == Duration::zero()) {
            m_reports.clear();
            for (PromptPartQuarantine &node : m_nodes) {
                node.removeExpired(m_now);
                m_reports.push_back(node.nextReports(m_now));
            }
        }
        if (sinceStart % HeartbeatInterval == Duration(HeartbeatDelay)) {
            for (std::size_t receiver = 0; receiver < m_nodes.size(); ++receiver) {
                for (std::size_t sender = 0; sender < m_reports.size(); ++sender) {
                    if (sender != receiver) {
                        (void)m_nodes[receiver].merge(m_reports[sender], false, m_now);
                    }
                }
            }
        }
    }

    Load m_load;
    std::mt19937_64 m_random;
    TimePoint m_now = Start;
    std::array<PromptPartQuarantine, 7> m_nodes;
    std::array<Engine, 12> m_engines;
    std::vector<Request> m_running;
    std::vector<std::vector<PartEvidence>> m_reports;
    std::uint32_t m_processes = 100;
    std::uint64_t m_ownParts = 1'000'000;
    std::optional<TimePoint> m_boundFrom;
    Outcome m_result;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_evidence)

BOOST_AUTO_TEST_SUITE(of_a_part_that_crashes_engines)

/// Plays a load with a deadly part, with few and with many requests that have it, and checks both directions of the evidence.
void checkPlays(Load load)
{
    for (const double share : {0.015, 0.05}) {
        load.deadlyShare = share;
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            const Outcome outcome = Play(load, seed).run();
            BOOST_TEST_CONTEXT("share " << share << ", seed " << seed << ", events before the crash " << load.eventsBeforeCrash
                                        << ", ms to the crash " << load.timeToCrash.count())
            {
                BOOST_TEST(outcome.deadlyCrashes >= 3U);
                BOOST_TEST(outcome.deadlyTooLate <= DeadlyRequestsAllowed);
                BOOST_TEST(outcome.soundRefused * MinSoundPerRefused <= outcome.sound);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(stops_it_whenever_the_engine_ends_after_it_has_begun_the_answer)
{
    for (const int events : {0, 1, 5}) {
        for (const Milliseconds delay : {0ms, 2ms, 20ms, 200ms}) {
            checkPlays({.timeToCrash = delay, .eventsBeforeCrash = events});
        }
    }
}

BOOST_AUTO_TEST_CASE(stops_it_if_it_is_the_first_part_of_its_prompts)
{
    checkPlays({.deadlyIsFirst = true, .timeToCrash = 20ms});
    checkPlays({.deadlyIsFirst = true, .timeToCrash = 20ms, .eventsBeforeCrash = 1});
}

BOOST_AUTO_TEST_CASE(stops_it_though_prompts_with_it_were_answered_until_then)
{
    checkPlays({.soundUntil = 8s, .timeToCrash = 20ms});
    checkPlays({.soundUntil = 8s, .timeToCrash = 20ms, .eventsBeforeCrash = 1});
}

BOOST_AUTO_TEST_CASE(stops_it_beside_crashes_with_another_cause)
{
    checkPlays({.timeToCrash = 20ms, .eventsBeforeCrash = 1, .otherCrashInterval = 3s});
    checkPlays({.timeToCrash = 20ms, .eventsBeforeCrash = 1, .otherCrashInterval = 10s, .enginesPerCrash = 5});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(without_a_part_to_blame_stops_hardly_any_prompt)
{
    for (const std::size_t engines : {1U, 5U}) {
        for (const Milliseconds interval : {1000ms, 3000ms, 10'000ms}) {
            for (const std::size_t parts : {30U, 300U}) {
                for (std::uint64_t seed = 1; seed <= 8; ++seed) {
                    const Outcome outcome =
                        Play({.secondParts = parts, .otherCrashInterval = interval, .enginesPerCrash = engines}, seed).run();
                    BOOST_TEST_CONTEXT(
                        "seed " << seed << ", engines " << engines << ", parts " << parts << ", interval " << interval.count())
                    {
                        BOOST_TEST(outcome.soundRefused * MinSoundPerRefused <= outcome.sound);
                    }
                }
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
