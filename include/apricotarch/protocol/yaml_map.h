#pragma once

/**
 * @file
 * Checked reading of YAML: every fault is collected with line and key, and keys that nobody asked for are faults too.
 */

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "apricotarch/protocol/faults.h"

namespace apricotarch
{

/// Bounds of a whole number, both allowed.
struct NumberRange
{
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/// One mapping of a YAML file. A faulty or missing value reads as its type's zero, after the fault has been noted.
class YamlMap
{
public:
    /**
     * @param node the mapping
     * @param path its place in the file, empty at the root
     * @param faults where faults go; must outlive the object
     */
    YamlMap(const YAML::Node &node, std::string path, Faults &faults);

    // ---- required values ----

    /// A text that is not empty.
    [[nodiscard]] std::string text(const std::string &key);

    /// One of the words given.
    [[nodiscard]] std::string word(const std::string &key, const std::vector<std::string> &words);

    /// A whole number.
    [[nodiscard]] std::int64_t number(const std::string &key, NumberRange range);

    /// `true` or `false`.
    [[nodiscard]] bool flag(const std::string &key);

    /// A mapping.
    [[nodiscard]] YamlMap map(const std::string &key);

    /// A sequence of mappings, at least one.
    [[nodiscard]] std::vector<YamlMap> maps(const std::string &key);

    /// A sequence of texts, at least one.
    [[nodiscard]] std::vector<std::string> texts(const std::string &key);

    // ---- optional values ----

    /// Whether the key is there.
    [[nodiscard]] bool has(const std::string &key) const;

    /// A text, or @p fallback where the key is missing.
    [[nodiscard]] std::string textOr(const std::string &key, std::string fallback);

    /// A whole number, or @p fallback where the key is missing.
    [[nodiscard]] std::int64_t numberOr(const std::string &key, NumberRange range, std::int64_t fallback);

    /// A number that is not negative, or @p fallback where the key is missing or has no value.
    [[nodiscard]] double realOr(const std::string &key, double fallback);

    /// A flag, or @p fallback where the key is missing.
    [[nodiscard]] bool flagOr(const std::string &key, bool fallback);

    /// A sequence of mappings, empty where the key is missing.
    [[nodiscard]] std::vector<YamlMap> mapsOr(const std::string &key);

    // ---- checks ----

    /// Notes a fault of one key.
    void fault(const std::string &key, std::string message);

    /// Notes every key that was never read, and every key that stands twice.
    void refuseUnknown();

private:
    [[nodiscard]] std::string pathOf(const std::string &key) const;
    [[nodiscard]] YAML::Node required(const std::string &key);
    [[nodiscard]] YAML::Node child(const std::string &key);

    YAML::Node m_node;
    std::string m_path;
    Faults &m_faults;
    std::set<std::string> m_read;
};

/**
 * Parses a file's text into its root mapping.
 * @return the mapping, or nothing after a fault has been noted
 */
[[nodiscard]] std::optional<YamlMap> parseYamlMap(const std::string &text, Faults &faults);

} // namespace apricotarch
