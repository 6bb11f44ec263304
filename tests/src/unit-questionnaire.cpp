#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>

#include "apricotarch/app/settings.h"
#include "apricotarch/protocol/questionnaire.h"
#include "apricotarch/state/configuration_codec.h"

using namespace apricotarch;

namespace
{

const std::string KeyHash(64, 'a');

std::string sampleQuestionnaire(const std::string &callerService)
{
    return "questionnaire: 1\ndesk: d\ntrade: t\nvalue:\n  prefer: goodput\n  goodput_floor_percent: 50\n"
           "application_services:\n  - id: visits\n    answer_within_ms: 1000\n    operations:\n"
           "      - {name: book, method: POST, path: /visits, may_be_repeated: false}\n"
           "    replicas:\n      - {id: r1, address: '127.0.0.1:1', zone: a}\n"
           "callers:\n  - id: c\n    key_sha256: "
        + KeyHash + "\n    services: [" + callerService + "]\n";
}

bool hasError(const ValidationErrors &errors, const std::string &key)
{
    for (const ValidationError &error : errors) {
        if (error.key == key) {
            return true;
        }
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(questionnaire)

BOOST_AUTO_TEST_SUITE(valid_questionnaires)

BOOST_AUTO_TEST_CASE(give_a_configuration_that_is_equal_after_encoding_and_decoding)
{
    const auto configuration = generateConfiguration(sampleQuestionnaire("visits"));
    BOOST_REQUIRE(configuration.has_value());
    BOOST_TEST(configuration->services.size() == 1U);
    BOOST_TEST(!configuration->services[0].operations[0].idempotent);
    BOOST_TEST((decodeConfiguration(encodeConfiguration(*configuration), "test").value() == *configuration));
}

BOOST_AUTO_TEST_CASE(set_the_default_price_of_a_role_change_by_the_stated_preference)
{
    const std::string text = sampleQuestionnaire("visits");
    std::string preferringFewChanges = text;
    preferringFewChanges.replace(preferringFewChanges.find("goodput\n"), 7, "few_role_changes");
    BOOST_TEST(generateConfiguration(preferringFewChanges)->policy.roleChangePrice > generateConfiguration(text)->policy.roleChangePrice);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(errors)

BOOST_AUTO_TEST_CASE(are_all_reported_with_line_and_key)
{
    const auto rejected = generateConfiguration("questionnaire: 2\ndesk:\nvalue: {prefer: fame, goodput_floor_percent: 500}\nunknown: 1\n");
    BOOST_REQUIRE(!rejected.has_value());
    BOOST_TEST(hasError(rejected.error(), "questionnaire"));
    BOOST_TEST(hasError(rejected.error(), "desk"));
    BOOST_TEST(hasError(rejected.error(), "trade"));
    BOOST_TEST(hasError(rejected.error(), "value.prefer"));
    BOOST_TEST(hasError(rejected.error(), "value.goodput_floor_percent"));
    BOOST_TEST(hasError(rejected.error(), "callers"));
    BOOST_TEST(hasError(rejected.error(), "unknown"));
    for (const ValidationError &error : rejected.error()) {
        if (error.key == "unknown") {
            BOOST_TEST(error.line == 4);
        }
    }
}

BOOST_AUTO_TEST_CASE(are_reported_for_callers_of_unknown_services)
{
    BOOST_TEST(hasError(generateConfiguration(sampleQuestionnaire("nothing")).error(), "callers[1].services"));
}

BOOST_AUTO_TEST_CASE(are_reported_for_invalid_yaml_for_documents_that_are_not_mappings_and_for_blank_questionnaires)
{
    BOOST_TEST(!generateConfiguration("a: [").has_value());
    BOOST_TEST(!generateConfiguration("- a").has_value());
    BOOST_TEST(!generateConfiguration("").has_value());
    BOOST_TEST(!generateConfiguration(blankQuestionnaire()).has_value());
}

BOOST_AUTO_TEST_CASE(are_reported_for_duplicate_keys)
{
    BOOST_TEST(hasError(generateConfiguration("desk: a\ndesk: b\n").error(), "desk"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(are_validated_with_all_errors_reported)
{
    const std::string valid = "node: n\nzone: z\ncaller_address: 127.0.0.1:1\npeer_address: 127.0.0.1:2\nplatform_address: 127.0.0.1:3\n"
                              "peer_key: 0123456789abcdef\noperator_token: 0123456789abcdef\n";
    BOOST_TEST(parseSettings(valid).has_value());
    const auto rejected = parseSettings(valid + "threads: 0\nrouting: best\nextra: 1\npeers:\n  - {node: n, address: here}\n");
    BOOST_REQUIRE(!rejected.has_value());
    BOOST_TEST(hasError(rejected.error(), "threads"));
    BOOST_TEST(hasError(rejected.error(), "routing"));
    BOOST_TEST(hasError(rejected.error(), "extra"));
    BOOST_TEST(hasError(rejected.error(), "peers[1].node"));
    BOOST_TEST(hasError(rejected.error(), "peers[1].address"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
