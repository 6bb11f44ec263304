#pragma once

/**
 * @file
 * The identifiers and units used throughout the system.
 */

#include "apricotarch/base/store_position.h"
#include "apricotarch/base/strong_type.h"

namespace apricotarch
{

using NodeId = StrongId<struct NodeIdTag>; ///< The process of an entry VM, as named in its settings.
using ReplicaId = StrongId<struct ReplicaIdTag>; ///< A backend server.
using ServiceId = StrongId<struct ServiceIdTag>; ///< A named set of replicas.
using SoftwareVersion = StrongId<struct SoftwareVersionTag>; ///< Version of a backend server's software; not of a model's weights.
using CallerId = StrongId<struct CallerIdTag>; ///< A caller, the sender of requests.
using ZoneId = StrongId<struct ZoneIdTag>; ///< An availability zone.
using RequestId = StrongId<struct RequestIdTag>; ///< A request of a caller.
using LeaseResourceId = StrongId<struct LeaseResourceIdTag>; ///< Resource of a lease: a task that only one node performs at a time.
using WriteAttemptId = StrongId<struct WriteAttemptIdTag>; ///< One attempt to write a row; globally unique.
using Digest = StrongId<struct DigestTag>; ///< Hash of a configuration body, in hexadecimal.

using Incarnation = StrongNumber<struct IncarnationTag>; ///< Counts the starts of a process.
using FencingToken = StrongNumber<struct FencingTokenTag>; ///< Increases with every change of a lease's holder.
using RenewalCounter = StrongNumber<struct RenewalCounterTag>; ///< Increases with every renewal of a lease.
using OrderNumber = StrongNumber<struct OrderNumberTag>; ///< Counts the orders to one engine.
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>; ///< Counts accepted configurations; 0 means none.
using Tokens = StrongNumber<struct TokensTag>; ///< Number of language model tokens, of prompt or output.
using KvBlocks = StrongNumber<struct KvBlocksTag>; ///< KV blocks, the allocation units of an engine's KV cache.
using ContentHash = StrongNumber<struct ContentHashTag>; ///< Hash of a request's content.

} // namespace apricotarch
