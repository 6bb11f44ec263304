#pragma once

/**
 * @file
 * The questionnaire that a team answers, and the configuration generated from its answers.
 */

#include <string>

#include <tl/expected.hpp>

#include "apricotarch/protocol/faults.h"
#include "apricotarch/state/configuration.h"

namespace apricotarch
{

/**
 * Generates a configuration from a filled-in questionnaire.
 * @param text the questionnaire in YAML
 * @return the whole configuration, or every fault found
 */
[[nodiscard]] tl::expected<Configuration, Faults> generateConfiguration(const std::string &text);

/// An empty questionnaire with a comment on each question.
[[nodiscard]] std::string blankQuestionnaire();

} // namespace apricotarch
