#include <algorithm>
#include <array>
#include <random>

#include <boost/test/unit_test.hpp>

#include "apricotarch/coordination/prompt_part_quarantine.h"

using namespace apricotarch;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint Start{Duration(100s)};
constexpr std::uint64_t DeadlyPart = 0xdead;

/// A prompt with these shared parts and a part of its own.
std::vector<PromptPart> promptOf(std::initializer_list<std::uint64_t> shared)
{
    static std::uint64_t own = 1'000'000;
    std::vector<PromptPart> prompt;
    for (const std::uint64_t part : shared) {
        prompt.push_back({part, 500});
    }
    prompt.push_back({++own, 300});
    return prompt;
}

bool refuses(const PromptPartQuarantine &quarantine, std::uint64_t part)
{
    return quarantine.findQuarantined(promptOf({part})).has_value();
}

/// Sends the reports of each node to all others, a hundred milliseconds later.
template<typename Nodes>
void exchangeReports(Nodes &nodes, TimePoint now)
{
    std::vector<std::vector<PartEvidence>> reports;
    for (PromptPartQuarantine &node : nodes) {
        reports.push_back(node.nextReports(now));
    }
    for (std::size_t receiver = 0; receiver < nodes.size(); ++receiver) {
        for (std::size_t sender = 0; sender < nodes.size(); ++sender) {
            if (sender != receiver) {
                (void)nodes[receiver].merge(reports[sender], false, now);
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(prompt_part_quarantine)

BOOST_AUTO_TEST_SUITE(a_part_that_crashes_engines)

BOOST_AUTO_TEST_CASE(is_quarantined_at_all_nodes_though_no_two_requests_are_alike_and_they_come_at_different_nodes)
{
    std::array<PromptPartQuarantine, 4> nodes;
    nodes[0].recordCrash(promptOf({1, DeadlyPart}), {71, Start});
    nodes[1].recordCrash(promptOf({2, DeadlyPart}), {72, Start + 1s});
    exchangeReports(nodes, Start + 1100ms);
    BOOST_TEST(!refuses(nodes[3], DeadlyPart));
    nodes[2].recordCrash(promptOf({3, DeadlyPart}), {73, Start + 2s});
    exchangeReports(nodes, Start + 2100ms);
    for (const PromptPartQuarantine &node : nodes) {
        BOOST_TEST(refuses(node, DeadlyPart));
        BOOST_TEST(!refuses(node, 1));
        BOOST_TEST(!refuses(node, 3));
    }
}

BOOST_AUTO_TEST_CASE(is_reported_once_the_end_of_the_engines_is_confirmed_and_forgotten_if_it_is_refuted)
{
    std::array<PromptPartQuarantine, 2> nodes;
    for (std::uint32_t process = 1; process <= 4; ++process) {
        nodes[0].recordCrash(promptOf({DeadlyPart}), {process, Start, 1, false});
    }
    BOOST_TEST(refuses(nodes[0], DeadlyPart));
    exchangeReports(nodes, Start + 100ms);
    BOOST_TEST(!refuses(nodes[1], DeadlyPart));
    for (const std::uint32_t process : {1U, 2U, 3U}) {
        nodes[0].confirmCrash(process);
    }
    exchangeReports(nodes, Start + 200ms);
    BOOST_TEST(refuses(nodes[1], DeadlyPart));

    PromptPartQuarantine refuted;
    for (std::uint32_t process = 1; process <= 4; ++process) {
        refuted.recordCrash(promptOf({7}), {process, Start, 1, process == 1});
    }
    for (std::uint32_t process = 1; process <= 4; ++process) {
        refuted.refuteCrash(process);
    }
    BOOST_TEST(!refuses(refuted, 7));
    const std::vector<PartEvidence> reports = refuted.nextReports(Start + 100ms);
    BOOST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports[0].crashes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(is_not_confused_with_a_sound_part_that_was_in_all_the_same_prompts)
{
    PromptPartQuarantine node;
    for (std::uint32_t process = 1; process <= 3; ++process) {
        node.recordCrash(promptOf({DeadlyPart, 5}), {process, Start});
    }
    BOOST_TEST(!refuses(node, 5));
    BOOST_TEST(!refuses(node, DeadlyPart)); // It is not known yet which of the two it is.
    node.recordAnswer(promptOf({6, 5}), Start + 10ms);
    BOOST_TEST(!refuses(node, 5));
    BOOST_TEST(refuses(node, DeadlyPart));
}

BOOST_AUTO_TEST_CASE(is_told_from_parts_that_were_at_the_same_engines_by_the_number_of_crashes)
{
    PromptPartQuarantine node;
    for (std::uint32_t process = 1; process <= 5; ++process) {
        node.recordCrash(promptOf({DeadlyPart}), {process, Start});
        if (process <= 4) {
            node.recordCrash(promptOf({5}), {process, Start});
        }
    }
    BOOST_TEST(refuses(node, DeadlyPart));
    BOOST_TEST(!refuses(node, 5)); // All its crashes are explained.
}

BOOST_AUTO_TEST_CASE(is_told_from_a_part_that_most_prompts_share_and_that_was_at_more_engines)
{
    // On the day tainted, seed 3, the part before the deadly one was at as many engines that ended, and was quarantined by some nodes.
    std::array<PromptPartQuarantine, 2> nodes;
    nodes[1].recordAnswer(promptOf({5, 8}), Start - 1s);
    for (std::uint32_t process = 1; process <= 4; ++process) {
        nodes[0].recordCrash(promptOf({5, 8}), {process, Start});
        exchangeReports(nodes, Start + 100ms);
        exchangeReports(nodes, Start + 200ms);
        BOOST_TEST(!refuses(nodes[0], 5));
        if (process > 1) {
            nodes[0].recordCrash(promptOf({5, DeadlyPart}), {process, Start});
        }
    }
    BOOST_TEST(refuses(nodes[0], DeadlyPart));
    BOOST_TEST(!refuses(nodes[0], 5));
}

BOOST_AUTO_TEST_CASE(after_their_first_event_is_quarantined_before_parts_whose_answers_had_gone_on_for_longer)
{
    // A part that crashed engines after their first event was never found: a begun answer was taken to clear it.
    PromptPartQuarantine node;
    for (std::uint32_t process = 1; process <= 3; ++process) {
        BOOST_TEST(!refuses(node, DeadlyPart));
        node.recordCrash(promptOf({5, DeadlyPart}), {process, Start + process * 1s, crashLikelihood(40ms)});
        node.recordCrash(promptOf({5, 6}), {process, Start + process * 1s, crashLikelihood(500ms)});
    }
    BOOST_TEST(!refuses(node, 6));
    BOOST_TEST(!refuses(node, DeadlyPart)); // Part 5 is as likely as long as no prompt with it is answered.
    node.recordAnswer(promptOf({5, 7}), Start + 5s);
    BOOST_TEST(refuses(node, DeadlyPart));
    BOOST_TEST(!refuses(node, 5));
    BOOST_TEST(!refuses(node, 6));
}

BOOST_AUTO_TEST_CASE(is_as_likely_at_other_nodes_as_at_the_one_that_has_seen_the_crash)
{
    std::array<PromptPartQuarantine, 2> nodes;
    for (std::uint32_t process = 1; process <= 3; ++process) {
        nodes[0].recordCrash(promptOf({DeadlyPart}), {process, Start, crashLikelihood(130ms)});
    }
    exchangeReports(nodes, Start + 100ms);
    BOOST_TEST(!refuses(nodes[0], DeadlyPart));
    BOOST_TEST(!refuses(nodes[1], DeadlyPart));
    nodes[1].recordCrash(promptOf({DeadlyPart}), {1, Start, crashLikelihood(std::nullopt)});
    exchangeReports(nodes, Start + 200ms);
    BOOST_TEST(refuses(nodes[0], DeadlyPart));
    BOOST_TEST(refuses(nodes[1], DeadlyPart));
}

BOOST_AUTO_TEST_CASE(is_found_though_prompts_with_it_were_answered_before)
{
    PromptPartQuarantine node;
    node.recordAnswer(promptOf({DeadlyPart}), Start - 1s);
    for (std::uint32_t process = 1; process <= 5; ++process) {
        BOOST_TEST(!refuses(node, DeadlyPart));
        node.recordCrash(promptOf({DeadlyPart, process + 50}), {process, Start});
    }
    BOOST_TEST(refuses(node, DeadlyPart));
}

BOOST_AUTO_TEST_CASE(counts_one_crash_of_an_engine_that_several_nodes_have_seen_only_once)
{
    std::array<PromptPartQuarantine, 3> nodes;
    for (PromptPartQuarantine &node : nodes) {
        node.recordCrash(promptOf({7}), {71, Start});
        node.recordCrash(promptOf({7}), {71, Start + 10ms});
    }
    exchangeReports(nodes, Start + 100ms);
    BOOST_TEST(!refuses(nodes[0], 7));
}

BOOST_AUTO_TEST_CASE(is_told_to_nodes_that_start_later)
{
    std::array<PromptPartQuarantine, 2> nodes;
    for (std::uint32_t process = 1; process <= 3; ++process) {
        nodes[0].recordCrash(promptOf({DeadlyPart}), {process, Start});
    }
    for (int heartbeat = 0; heartbeat < 20; ++heartbeat) {
        (void)nodes[0].nextReports(Start + 1s);
    }
    exchangeReports(nodes, Start + 10s);
    BOOST_TEST(refuses(nodes[1], DeadlyPart));
}

BOOST_AUTO_TEST_CASE(is_passed_on_where_not_every_node_hears_from_every_other)
{
    std::array<PromptPartQuarantine, 3> nodes;
    for (std::uint32_t process = 1; process <= 3; ++process) {
        nodes[0].recordCrash(promptOf({DeadlyPart, process + 50}), {process, Start});
    }
    BOOST_TEST(nodes[1].merge(nodes[0].nextReports(Start), true, Start + 20ms));
    BOOST_TEST(nodes[2].merge(nodes[1].nextReports(Start + 20ms), true, Start + 40ms));
    BOOST_TEST(refuses(nodes[2], DeadlyPart));
    // News that a node knows already is not passed on again.
    BOOST_TEST(!nodes[1].merge(nodes[2].nextReports(Start + 40ms), true, Start + 60ms));
}

BOOST_AUTO_TEST_CASE(is_tried_again_after_the_crash_period)
{
    PromptPartQuarantine node;
    for (std::uint32_t process = 1; process <= 3; ++process) {
        node.recordCrash(promptOf({DeadlyPart}), {process, Start});
    }
    node.removeExpired(Start + PromptPartQuarantine::CrashPeriod - 1s);
    BOOST_TEST(refuses(node, DeadlyPart));
    node.removeExpired(Start + PromptPartQuarantine::CrashPeriod + 1s);
    BOOST_TEST(!refuses(node, DeadlyPart));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_sound_part)

BOOST_AUTO_TEST_CASE(is_cleared_by_an_answer_at_any_node_after_the_crashes)
{
    std::array<PromptPartQuarantine, 2> nodes;
    for (std::uint32_t process = 1; process <= 5; ++process) {
        nodes[0].recordCrash(promptOf({5}), {process, Start});
    }
    BOOST_TEST(refuses(nodes[0], 5));
    nodes[1].recordAnswer(promptOf({5}), Start + 50ms);
    exchangeReports(nodes, Start + 100ms);
    exchangeReports(nodes, Start + 200ms);
    BOOST_TEST(!refuses(nodes[0], 5));
    BOOST_TEST(!refuses(nodes[1], 5));
}

BOOST_AUTO_TEST_CASE(is_not_quarantined_when_many_engines_crash_for_another_reason_and_it_is_answered_elsewhere)
{
    PromptPartQuarantine node;
    for (std::uint32_t process = 1; process <= 15; ++process) {
        node.recordCrash(promptOf({5, process + 100}), {process, Start});
        node.recordAnswer(promptOf({5, 300}), Start + process * 1ms);
    }
    BOOST_TEST(!refuses(node, 5));
}

BOOST_AUTO_TEST_CASE(that_is_the_last_of_its_prompt_is_never_recorded)
{
    PromptPartQuarantine node;
    for (std::uint32_t process = 1; process <= 5; ++process) {
        node.recordCrash({{9, 100}}, {process, Start});
    }
    BOOST_TEST(node.nextReports(Start).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(the_likelihood_of_a_crash_falls_with_the_time_since_the_first_event)
{
    BOOST_TEST(crashLikelihood(std::nullopt) == 1);
    BOOST_TEST(crashLikelihood(0ms) == 1);
    BOOST_TEST(crashLikelihood(40ms) > 0.9);
    BOOST_TEST(crashLikelihood(200ms) > crashLikelihood(500ms));
    BOOST_TEST(crashLikelihood(SafeAnswerTime) == 0);
    BOOST_TEST(crashLikelihood(1min) == 0);
}

BOOST_AUTO_TEST_CASE(reports_are_bounded_and_end_unless_a_part_is_quarantined)
{
    PromptPartQuarantine node;
    for (std::uint64_t part = 1; part <= 100; ++part) {
        node.recordCrash(promptOf({part}), {1, Start});
    }
    BOOST_TEST(node.nextReports(Start).size() == PromptPartQuarantine::MaxReportedParts);
    for (int heartbeat = 0; heartbeat < 20; ++heartbeat) {
        (void)node.nextReports(Start);
    }
    BOOST_TEST(node.nextReports(Start).empty());
}

BOOST_AUTO_TEST_CASE(one_request_in_twenty_with_a_deadly_part_crashes_few_engines_and_sound_requests_go_on)
{
    // 7 nodes and 12 engines with 17 prompts a second, as on the day on which engine after engine crashed: each request with the part
    // crashes up to two engines, with the prompts there whose answers have not begun. Nodes exchange heartbeats every 100 ms.
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        const auto pick = [&random](std::uint64_t count) {
            return std::uniform_int_distribution<std::uint64_t>(0, count - 1)(random);
        };
        std::array<PromptPartQuarantine, 7> nodes;
        std::uint32_t process = 0;
        int refusedSound = 0;
        int sound = 0;
        TimePoint now = Start;
        std::optional<TimePoint> fifthCrash;
        int deadlyAfterwards = 0;
        for (int tick = 0; tick < 220; ++tick, now += 100ms) {
            for (int arrival = 0; arrival < 2; ++arrival) {
                PromptPartQuarantine &node = nodes[pick(nodes.size())];
                const bool deadly = pick(20) == 0;
                const std::vector<PromptPart> prompt = promptOf({deadly ? DeadlyPart : 10 + pick(40), 100 + pick(540)});
                if (node.findQuarantined(prompt)) {
                    refusedSound += deadly ? 0 : 1;
                    sound += deadly ? 0 : 1;
                    continue;
                }
                if (!deadly) {
                    ++sound;
                    node.recordAnswer(prompt, now);
                    continue;
                }
                for (int attempt = 0; attempt < 2 && !node.findQuarantined(prompt); ++attempt) {
                    deadlyAfterwards += fifthCrash && now > *fifthCrash + 3s ? 1 : 0;
                    node.recordCrash(prompt, {++process, now});
                    for (int waiting = 0; waiting < 3; ++waiting) {
                        nodes[pick(nodes.size())].recordCrash(promptOf({10 + pick(40), 100 + pick(540)}), {process, now});
                    }
                    if (process == 5) {
                        fifthCrash = now;
                    }
                }
            }
            exchangeReports(nodes, now);
        }
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(deadlyAfterwards <= 3);
            BOOST_TEST(refusedSound * 2 <= sound);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
