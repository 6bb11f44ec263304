#include "apricotarch/state/prefix_cache.h"

#include <sstream>

namespace apricotarch
{

std::string sharedPartsText(const std::vector<PromptPart> &prompt)
{
    std::ostringstream text;
    text << std::hex;
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
        text << (index > 0 ? "," : "") << prompt[index].id;
    }
    return text.str();
}

void PrefixCacheModel::resize(std::int64_t capacity)
{
    m_capacity = capacity;
    evict();
}

void PrefixCacheModel::recordPrompt(const std::vector<PromptPart> &prompt)
{
    // The first part becomes the most recently used one, since a part is useless without the parts before it.
    for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
        if (const auto found = m_index.find(part->id); found != m_index.end()) {
            m_used += part->tokens - found->second->tokens;
            found->second->tokens = part->tokens;
            m_parts.splice(m_parts.begin(), m_parts, found->second);
            continue;
        }
        m_parts.push_front(*part);
        m_index[part->id] = m_parts.begin();
        m_used += part->tokens;
    }
    evict();
}

void PrefixCacheModel::setCachedTokens(const std::vector<PromptPart> &prompt, std::int64_t tokens)
{
    std::vector<PromptPart> cached;
    for (const PromptPart &part : prompt) {
        tokens -= part.tokens;
        if (tokens >= 0) {
            cached.push_back(part);
        } else if (const auto found = m_index.find(part.id); found != m_index.end()) {
            m_used -= found->second->tokens;
            m_parts.erase(found->second);
            m_index.erase(found);
        }
    }
    recordPrompt(cached);
}

std::int64_t PrefixCacheModel::cachedTokens(const std::vector<PromptPart> &prompt) const
{
    std::int64_t tokens = 0;
    for (const PromptPart &part : prompt) {
        if (!m_index.contains(part.id)) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

void PrefixCacheModel::clear()
{
    m_parts.clear();
    m_index.clear();
    m_used = 0;
}

void PrefixCacheModel::evict()
{
    while (m_used > m_capacity && !m_parts.empty()) {
        m_used -= m_parts.back().tokens;
        m_index.erase(m_parts.back().id);
        m_parts.pop_back();
    }
}

} // namespace apricotarch
