#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>

#include "apricotarch/app/settings.h"
#include "apricotarch/protocol/questionnaire.h"
#include "apricotarch/state/configuration_codec.h"

using namespace apricotarch;

namespace
{

const std::string Hash(64, 'a');

std::string sampleAnswers(const std::string &callerService)
{
    return "questionnaire: 1\ndesk: d\ntrade: t\nvalue:\n  prefer: goodput\n  goodput_floor_percent: 50\n"
           "application_services:\n  - id: visits\n    answer_within_ms: 1000\n    operations:\n"
           "      - {name: book, method: POST, path: /visits, may_be_repeated: false}\n"
           "    replicas:\n      - {id: r1, address: '127.0.0.1:1', zone: a}\n"
           "callers:\n  - id: c\n    key_sha256: "
        + Hash + "\n    services: [" + callerService + "]\n";
}

bool hasFault(const Faults &faults, const std::string &key)
{
    for (const Fault &fault : faults) {
        if (fault.key == key) {
            return true;
        }
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(questionnaire)

BOOST_AUTO_TEST_SUITE(answers_without_faults)

BOOST_AUTO_TEST_CASE(give_a_configuration_that_survives_its_codec)
{
    const auto configuration = generateConfiguration(sampleAnswers("visits"));
    BOOST_REQUIRE(configuration.has_value());
    BOOST_TEST(configuration->services.size() == 1U);
    BOOST_TEST(!configuration->services[0].operations[0].idempotent);
    BOOST_TEST((decodeConfiguration(encodeConfiguration(*configuration), "test").value() == *configuration));
}

BOOST_AUTO_TEST_CASE(take_the_price_of_a_role_change_from_what_the_desk_prefers)
{
    const std::string text = sampleAnswers("visits");
    std::string few = text;
    few.replace(few.find("goodput\n"), 7, "few_role_changes");
    BOOST_TEST(generateConfiguration(few)->policy.roleChangePrice > generateConfiguration(text)->policy.roleChangePrice);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(faults)

BOOST_AUTO_TEST_CASE(are_all_listed_at_once_with_line_and_key)
{
    const auto refused = generateConfiguration("questionnaire: 2\ndesk:\nvalue: {prefer: fame, goodput_floor_percent: 500}\nwhat: 1\n");
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST(hasFault(refused.error(), "questionnaire"));
    BOOST_TEST(hasFault(refused.error(), "desk"));
    BOOST_TEST(hasFault(refused.error(), "trade"));
    BOOST_TEST(hasFault(refused.error(), "value.prefer"));
    BOOST_TEST(hasFault(refused.error(), "value.goodput_floor_percent"));
    BOOST_TEST(hasFault(refused.error(), "callers"));
    BOOST_TEST(hasFault(refused.error(), "what"));
    for (const Fault &fault : refused.error()) {
        if (fault.key == "what") {
            BOOST_TEST(fault.line == 4);
        }
    }
}

BOOST_AUTO_TEST_CASE(include_a_caller_of_an_unknown_service)
{
    BOOST_TEST(hasFault(generateConfiguration(sampleAnswers("nothing")).error(), "callers[1].services"));
}

BOOST_AUTO_TEST_CASE(include_text_that_is_no_yaml_and_documents_that_are_no_mapping)
{
    BOOST_TEST(!generateConfiguration("a: [").has_value());
    BOOST_TEST(!generateConfiguration("- a").has_value());
    BOOST_TEST(!generateConfiguration("").has_value());
    BOOST_TEST(!generateConfiguration(blankQuestionnaire()).has_value());
}

BOOST_AUTO_TEST_CASE(include_keys_that_stand_twice)
{
    BOOST_TEST(hasFault(generateConfiguration("desk: a\ndesk: b\n").error(), "desk"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(are_read_and_checked_whole)
{
    const std::string good = "node: n\nzone: z\ncaller_address: 127.0.0.1:1\npeer_address: 127.0.0.1:2\nplatform_address: 127.0.0.1:3\n"
                             "peer_key: 0123456789abcdef\noperator_token: 0123456789abcdef\n";
    BOOST_TEST(parseSettings(good).has_value());
    const auto faulty = parseSettings(good + "threads: 0\nrouting: best\nextra: 1\npeers:\n  - {node: n, address: here}\n");
    BOOST_REQUIRE(!faulty.has_value());
    BOOST_TEST(hasFault(faulty.error(), "threads"));
    BOOST_TEST(hasFault(faulty.error(), "routing"));
    BOOST_TEST(hasFault(faulty.error(), "extra"));
    BOOST_TEST(hasFault(faulty.error(), "peers[1].node"));
    BOOST_TEST(hasFault(faulty.error(), "peers[1].address"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
