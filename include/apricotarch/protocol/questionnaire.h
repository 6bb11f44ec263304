#pragma once

/**
 * @file
 * Generation of a configuration from a questionnaire that the operators of an installation fill in.
 */

#include <string>

#include <tl/expected.hpp>

#include "apricotarch/protocol/validation_error.h"
#include "apricotarch/state/configuration.h"

namespace apricotarch
{

/**
 * Generates a configuration from a filled-in questionnaire.
 * @param text the questionnaire in YAML
 * @return the complete configuration, or all validation errors
 */
[[nodiscard]] tl::expected<Configuration, ValidationErrors> generateConfiguration(const std::string &text);

/// Returns an empty questionnaire with a comment on each question.
[[nodiscard]] std::string blankQuestionnaire();

} // namespace apricotarch
