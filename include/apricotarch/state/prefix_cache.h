#pragma once

/**
 * @file
 * Parts of prompts, and a model of which of them an engine has cached.
 */

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricotarch
{

/// One part of a prompt: a sequence of tokens that several requests may share.
struct PromptPart
{
    std::uint64_t id = 0; ///< Identifies the part's content; derived from the id in the request, which may be longer.
    std::int64_t tokens = 0; ///< Length in tokens.

    bool operator==(const PromptPart &) const = default;
};

/// Formats the ids of a prompt's parts but the last one, which belongs to one request or session: hexadecimal, separated by commas.
[[nodiscard]] std::string sharedPartsText(const std::vector<PromptPart> &prompt);

/// Model of one engine's prefix cache, with eviction of the least recently used parts.
class PrefixCacheModel
{
public:
    /// @param capacity capacity in tokens; 0 disables the cache
    explicit PrefixCacheModel(std::int64_t capacity = 0) noexcept
        : m_capacity(capacity)
    {
    }

    /// Sets the capacity in tokens.
    void resize(std::int64_t capacity);

    /// Records that a prompt has been sent to the engine, which prefills its parts and then caches them.
    void recordPrompt(const std::vector<PromptPart> &prompt);

    /// Corrects the model for one prompt: exactly its leading parts that fit into @p tokens are cached.
    void setCachedTokens(const std::vector<PromptPart> &prompt, std::int64_t tokens);

    /// Returns the number of leading tokens of a prompt that are cached. Linear in the number of the prompt's parts.
    [[nodiscard]] std::int64_t cachedTokens(const std::vector<PromptPart> &prompt) const;

    void clear();

private:
    void evict();

    std::int64_t m_capacity;
    std::int64_t m_used = 0; ///< Tokens of all cached parts.
    std::list<PromptPart> m_parts; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> m_index;
};

} // namespace apricotarch
