#pragma once

/**
 * @file
 * The backend servers that registered themselves, the work that nodes have outstanding at each, and what each is taken to
 * have in its prefix cache.
 */

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/endpoint.h"
#include "apricotarch/base/ids.h"

namespace apricotarch
{

/// One part of a prompt: a run of tokens that requests may share.
struct PromptPart
{
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

/// What a model engine does.
enum class EngineStage : std::uint8_t {
    Any, ///< Not a model engine, or it does not say.
    Prefill, ///< Reads prompts only.
    Decode, ///< Generates; reads prompts at half the speed.
};

/// Whether a backend server may get new work.
enum class BackendState : std::uint8_t {
    Ready,
    Draining, ///< Leaving: no new work.
    Gone, ///< Its entry has been removed.
};

/// What a backend server says of itself in its entry.
struct BackendRecord
{
    ReplicaId id;
    ServiceId service;
    Endpoint address;
    ZoneId zone;
    int slots = 1;
    BackendState state = BackendState::Ready;
    EngineStage stage = EngineStage::Any;
    std::int64_t startedAt = 0; ///< Unix time of its start in milliseconds; a new value means that it has lost its memory.
};

/// Work at one backend server.
struct BackendLoad
{
    std::int64_t requests = 0;
    std::int64_t promptTokens = 0; ///< Still to be read, as far as the sender can tell.

    BackendLoad &operator+=(const BackendLoad &other) noexcept
    {
        requests += other.requests;
        promptTokens += other.promptTokens;
        return *this;
    }
};

/// A model of one engine's prefix cache: parts by last use, the oldest go first.
class PrefixCacheModel
{
public:
    /// @param capacity in tokens; 0 means that nothing is kept
    explicit PrefixCacheModel(std::int64_t capacity = 0) noexcept
        : m_capacity(capacity)
    {
    }

    /// Sets how much is kept.
    void resize(std::int64_t capacity);

    /// Notes that a prompt has been sent: its parts are read and then kept.
    void use(const std::vector<PromptPart> &prompt);

    /// Tokens at the start of a prompt that are kept. Linear in the prompt's parts.
    [[nodiscard]] std::int64_t cachedTokens(const std::vector<PromptPart> &prompt) const;

    void clear();

private:
    void shrink();

    std::int64_t m_capacity;
    std::int64_t m_used = 0;
    std::list<PromptPart> m_parts; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> m_index;
};

/// One backend server as this node sees it.
class Backend : public boost::intrusive_ref_counter<Backend, boost::thread_unsafe_counter>
{
public:
    BackendRecord record;
    BackendLoad own; ///< Of requests that this node has sent.
    BackendLoad others; ///< Of requests that other nodes have sent, as last heard.
    PrefixCacheModel cache;
    TimePoint goneSince; ///< Valid in state Gone.
    TimePoint avoidUntil; ///< Got no new work before, after failures.
    TimePoint changingUntil; ///< Takes no work before, since its stage is being changed.
    EngineStage changingTo = EngineStage::Any; ///< Stage that this node has ordered; valid until changingUntil.
    TimePoint changedAt; ///< When its stage was last seen to have changed.
    TimePoint progressAt; ///< When it last sent a byte of an answer to this node.
    int failures = 0; ///< In a row.

    [[nodiscard]] BackendLoad load() const noexcept
    {
        BackendLoad sum = own;
        sum += others;
        return sum;
    }

    /// Stage that the server has, or will have once an order is carried out.
    [[nodiscard]] EngineStage stageToBe(TimePoint now) const noexcept
    {
        return changingUntil > now && changingTo != EngineStage::Any ? changingTo : record.stage;
    }

    /// Notes a failure that speaks against the server, and avoids it for a time that doubles with each one in a row.
    void failed(TimePoint now);

    /// Notes a proper answer.
    void succeeded() noexcept
    {
        failures = 0;
    }
};

using BackendPointer = boost::intrusive_ptr<Backend>;

/// All backend servers, by id and by service. Used on one event loop.
class BackendTable
{
public:
    /// How long a removed server may still be used where its service has no other: an entry that lapsed during an outage
    /// of the store is back within two seconds of the store's return.
    static constexpr std::chrono::milliseconds LapsedUse{1500};

    // ---- changes ----

    /// Takes an entry over. @return whether anything but a counter has changed
    bool put(const BackendRecord &record, TimePoint now);

    /// Notes that an entry was removed.
    void remove(const ReplicaId &id, TimePoint now);

    /// Notes that exactly these entries exist.
    void replaceAll(const std::vector<BackendRecord> &records, TimePoint now);

    /// Forgets servers that have been gone for long and have no work left.
    void forgetGone(TimePoint now);

    /// Sets how many tokens each engine of a service keeps.
    void resizeCaches(const ServiceId &service, std::int64_t tokens);

    // ---- views ----

    /// A server by id, or null.
    [[nodiscard]] BackendPointer find(const ReplicaId &id) const;

    /// Servers of a service that may get new work now; removed ones only where there is no other, and for a short time.
    [[nodiscard]] std::vector<BackendPointer> usable(const ServiceId &service, TimePoint now) const;

    /// Ready servers of a service, also those whose stage is being changed.
    [[nodiscard]] std::vector<BackendPointer> ready(const ServiceId &service) const;

    /// All servers, whatever their state.
    [[nodiscard]] const std::map<ReplicaId, BackendPointer> &all() const noexcept
    {
        return m_all;
    }

private:
    std::map<ReplicaId, BackendPointer> m_all;
    std::unordered_map<ServiceId, std::vector<BackendPointer>> m_byService;
    std::unordered_map<ServiceId, std::int64_t> m_cacheTokens;
};

} // namespace apricotarch
