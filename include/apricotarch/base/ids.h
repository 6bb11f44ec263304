#pragma once

/**
 * @file
 * The identifiers and units used throughout the system.
 */

#include "apricotarch/base/strong_type.h"

namespace apricotarch
{

using NodeId = StrongId<struct NodeIdTag>; ///< One entry VM's process, by its settings.
using ReplicaId = StrongId<struct ReplicaIdTag>; ///< One backend server.
using ServiceId = StrongId<struct ServiceIdTag>; ///< A named set of replicas.
using CallerId = StrongId<struct CallerIdTag>; ///< Who sends requests.
using ZoneId = StrongId<struct ZoneIdTag>; ///< An availability zone.
using RequestId = StrongId<struct RequestIdTag>; ///< One request of one caller.
using DutyId = StrongId<struct DutyIdTag>; ///< A task that one node holds at a time.
using AttemptId = StrongId<struct AttemptIdTag>; ///< One try to write a row; unique for ever.
using Digest = StrongId<struct DigestTag>; ///< Hash of a configuration body, in hexadecimal.

using Incarnation = StrongNumber<struct IncarnationTag>; ///< Counts the starts of a process.
using FencingToken = StrongNumber<struct FencingTokenTag>; ///< Grows with every change of a lease's holder.
using RenewalCounter = StrongNumber<struct RenewalCounterTag>; ///< Grows with every renewal of a lease.
using OrderNumber = StrongNumber<struct OrderNumberTag>; ///< Counts the orders to one engine.
using RowVersion = StrongNumber<struct RowVersionTag>; ///< Version of a row in the table service; 0 means no row.
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>; ///< Counts accepted configurations; 0 means none.
using Tokens = StrongNumber<struct TokensTag>; ///< Tokens of a model, prompt or output.
using KvPieces = StrongNumber<struct KvPiecesTag>; ///< Allocation units of an engine's KV cache.
using ContentHash = StrongNumber<struct ContentHashTag>; ///< Hash of a request's content.

} // namespace apricotarch
