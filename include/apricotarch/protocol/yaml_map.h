#pragma once

/**
 * @file
 * Validating reader for YAML. Collects all errors with line and key; unknown keys are errors too.
 */

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "apricotarch/protocol/validation_error.h"

namespace apricotarch
{

/// Inclusive range of an integer.
struct NumberRange
{
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/// One mapping of a YAML file. Reading an invalid or missing value records an error and returns a placeholder: the lower bound for an
/// integer, the first allowed word for a word, otherwise an empty value, false or zero.
class YamlMap
{
public:
    /**
     * @param node the mapping
     * @param path key path of the mapping in the file, empty for the root
     * @param errors list to which errors are appended; must outlive the object
     */
    YamlMap(const YAML::Node &node, std::string path, ValidationErrors &errors);

    // ---- required values ----

    /// Reads a non-empty string.
    [[nodiscard]] std::string text(const std::string &key);

    /// Reads a string that must be one of @p words.
    [[nodiscard]] std::string word(const std::string &key, const std::vector<std::string> &words);

    /// Reads an integer within a range.
    [[nodiscard]] std::int64_t number(const std::string &key, NumberRange range);

    /// Reads a boolean, `true` or `false`.
    [[nodiscard]] bool flag(const std::string &key);

    /// Reads a mapping.
    [[nodiscard]] YamlMap map(const std::string &key);

    /// Reads a non-empty sequence of mappings.
    [[nodiscard]] std::vector<YamlMap> maps(const std::string &key);

    /// Reads a non-empty sequence of non-empty strings.
    [[nodiscard]] std::vector<std::string> texts(const std::string &key);

    // ---- optional values ----

    /// Returns whether a key is present.
    [[nodiscard]] bool has(const std::string &key) const;

    /// Reads a non-empty string, or returns @p fallback if the key is missing.
    [[nodiscard]] std::string textOr(const std::string &key, std::string fallback);

    /// Reads an integer within a range, or returns @p fallback if the key is missing.
    [[nodiscard]] std::int64_t numberOr(const std::string &key, NumberRange range, std::int64_t fallback);

    /// Reads a non-negative number, or returns @p fallback if the key is missing or has no value.
    [[nodiscard]] double realOr(const std::string &key, double fallback);

    /// Reads a boolean, or returns @p fallback if the key is missing.
    [[nodiscard]] bool flagOr(const std::string &key, bool fallback);

    /// Reads a non-empty sequence of mappings, or returns an empty list if the key is missing.
    [[nodiscard]] std::vector<YamlMap> mapsOr(const std::string &key);

    /// Reads a sequence of non-empty strings, or returns an empty list if the key is missing or has no value.
    [[nodiscard]] std::vector<std::string> textsOr(const std::string &key);

    // ---- checks ----

    /// Records an error for a key.
    void addError(const std::string &key, std::string message);

    /// Records an error for every key that was not read and for every duplicate key.
    void reportUnknownKeys();

private:
    /// Reads the entries of a sequence of non-empty strings.
    [[nodiscard]] std::vector<std::string> readTexts(const std::string &key, const YAML::Node &node);
    [[nodiscard]] std::string pathOf(const std::string &key) const;
    [[nodiscard]] YAML::Node requireChild(const std::string &key);
    [[nodiscard]] YAML::Node child(const std::string &key);

    YAML::Node m_node;
    std::string m_path;
    ValidationErrors &m_errors;
    std::set<std::string> m_read;
};

/**
 * Parses a file's text into its root mapping.
 * @param text content of the file
 * @param errors list to which errors are appended
 * @return the mapping, or std::nullopt after an error was recorded
 */
[[nodiscard]] std::optional<YamlMap> parseYamlMap(const std::string &text, ValidationErrors &errors);

} // namespace apricotarch
