#include "apricotarch/protocol/yaml_map.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace apricotarch
{

namespace
{

int lineOf(const YAML::Node &node)
{
    return node.Mark().line + 1;
}

std::string join(const std::vector<std::string> &words)
{
    std::string joined;
    for (const std::string &word : words) {
        joined += joined.empty() ? word : ", " + word;
    }
    return joined;
}

std::optional<std::int64_t> toNumber(const std::string &text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

YamlMap::YamlMap(const YAML::Node &node, std::string path, ValidationErrors &errors)
    : m_node(node)
    , m_path(std::move(path))
    , m_errors(errors)
{
}

std::string YamlMap::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + '.' + key;
}

void YamlMap::addError(const std::string &key, std::string message)
{
    const YAML::Node node = child(key);
    const int line = node.IsDefined() ? lineOf(node) : lineOf(m_node);
    m_errors.push_back({line, pathOf(key), std::move(message)});
}

YAML::Node YamlMap::child(const std::string &key)
{
    m_read.insert(key);
    if (!m_node.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    return std::as_const(m_node)[key];
}

bool YamlMap::has(const std::string &key) const
{
    return m_node.IsMap() && m_node[key].IsDefined();
}

YAML::Node YamlMap::requireChild(const std::string &key)
{
    YAML::Node node = child(key);
    if (!node.IsDefined() || node.IsNull()) {
        addError(key, "is missing");
        return YAML::Node(YAML::NodeType::Undefined);
    }
    return node;
}

std::string YamlMap::text(const std::string &key)
{
    const YAML::Node node = requireChild(key);
    if (!node.IsDefined()) {
        return {};
    }
    if (!node.IsScalar() || node.Scalar().empty()) {
        addError(key, "must be a non-empty string");
        return {};
    }
    return node.Scalar();
}

std::string YamlMap::word(const std::string &key, const std::vector<std::string> &words)
{
    std::string value = text(key);
    if (!value.empty() && std::ranges::find(words, value) == words.end()) {
        addError(key, "must be one of: " + join(words));
        return words.front();
    }
    return value.empty() ? words.front() : value;
}

std::int64_t YamlMap::number(const std::string &key, NumberRange range)
{
    const YAML::Node node = requireChild(key);
    if (!node.IsDefined()) {
        return range.lowest;
    }
    const std::optional<std::int64_t> value = node.IsScalar() ? toNumber(node.Scalar()) : std::nullopt;
    if (!value || *value < range.lowest || *value > range.highest) {
        addError(key, "must be an integer from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest));
        return range.lowest;
    }
    return *value;
}

bool YamlMap::flag(const std::string &key)
{
    const YAML::Node node = requireChild(key);
    if (!node.IsDefined()) {
        return false;
    }
    if (!node.IsScalar() || (node.Scalar() != "true" && node.Scalar() != "false")) {
        addError(key, "must be true or false");
        return false;
    }
    return node.Scalar() == "true";
}

YamlMap YamlMap::map(const std::string &key)
{
    const YAML::Node node = requireChild(key);
    if (node.IsDefined() && !node.IsMap()) {
        addError(key, "must be a mapping of keys to values");
    }
    return {node.IsDefined() ? node : YAML::Node(YAML::NodeType::Map), pathOf(key), m_errors};
}

std::vector<YamlMap> YamlMap::maps(const std::string &key)
{
    const YAML::Node node = requireChild(key);
    std::vector<YamlMap> entries;
    if (!node.IsDefined()) {
        return entries;
    }
    if (!node.IsSequence() || node.size() == 0) {
        addError(key, "must be a non-empty list");
        return entries;
    }
    for (std::size_t index = 0; index < node.size(); ++index) {
        const std::string path = pathOf(key) + '[' + std::to_string(index + 1) + ']';
        if (!node[index].IsMap()) {
            m_errors.push_back({lineOf(node[index]), path, "must be a mapping of keys to values"});
            continue;
        }
        entries.emplace_back(node[index], path, m_errors);
    }
    return entries;
}

std::vector<std::string> YamlMap::texts(const std::string &key)
{
    const YAML::Node node = requireChild(key);
    std::vector<std::string> entries;
    if (!node.IsDefined()) {
        return entries;
    }
    if (!node.IsSequence() || node.size() == 0) {
        addError(key, "must be a non-empty list");
        return entries;
    }
    return readTexts(key, node);
}

std::vector<std::string> YamlMap::textsOr(const std::string &key)
{
    const YAML::Node node = child(key);
    if (!node.IsDefined() || node.IsNull()) {
        return {};
    }
    if (!node.IsSequence()) {
        addError(key, "must be a list");
        return {};
    }
    return readTexts(key, node);
}

std::vector<std::string> YamlMap::readTexts(const std::string &key, const YAML::Node &node)
{
    std::vector<std::string> entries;
    for (const YAML::Node &entry : node) {
        if (!entry.IsScalar() || entry.Scalar().empty()) {
            m_errors.push_back({lineOf(entry), pathOf(key), "every entry must be a non-empty string"});
            continue;
        }
        entries.push_back(entry.Scalar());
    }
    return entries;
}

std::string YamlMap::textOr(const std::string &key, std::string fallback)
{
    return has(key) ? text(key) : std::move(fallback);
}

std::int64_t YamlMap::numberOr(const std::string &key, NumberRange range, std::int64_t fallback)
{
    return has(key) ? number(key, range) : fallback;
}

double YamlMap::realOr(const std::string &key, double fallback)
{
    const YAML::Node node = child(key);
    if (!node.IsDefined() || node.IsNull()) {
        return fallback;
    }
    double value = 0;
    if (!YAML::convert<double>::decode(node, value) || !(value >= 0)) {
        addError(key, "must be a non-negative number");
        return 0;
    }
    return value;
}

bool YamlMap::flagOr(const std::string &key, bool fallback)
{
    return has(key) ? flag(key) : fallback;
}

std::vector<YamlMap> YamlMap::mapsOr(const std::string &key)
{
    return has(key) ? maps(key) : std::vector<YamlMap>();
}

void YamlMap::reportUnknownKeys()
{
    if (!m_node.IsMap()) {
        return;
    }
    std::set<std::string> seen;
    for (const auto &entry : m_node) {
        const std::string key = entry.first.Scalar();
        if (!m_read.contains(key)) {
            m_errors.push_back({lineOf(entry.first), pathOf(key), "unknown key"});
        }
        if (!seen.insert(key).second) {
            m_errors.push_back({lineOf(entry.first), pathOf(key), "duplicate key"});
        }
    }
}

std::optional<YamlMap> parseYamlMap(const std::string &text, ValidationErrors &errors)
{
    try {
        const YAML::Node root = YAML::Load(text);
        if (root.IsMap()) {
            return YamlMap(root, "", errors);
        }
        errors.push_back({1, "", "the file must contain a mapping of keys to values"});
    } catch (const YAML::Exception &exception) {
        errors.push_back({exception.mark.line + 1, "", "invalid YAML: " + exception.msg});
    }
    return std::nullopt;
}

} // namespace apricotarch
