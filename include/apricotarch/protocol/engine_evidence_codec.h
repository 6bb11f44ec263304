#pragma once

/**
 * @file
 * Thrift encoding of what nodes tell each other of engines: crashes by parts of prompts, and measured speeds.
 */

#include "apricotarch/state/front_heartbeat.h"

namespace apricotarch
{

namespace wire
{
class FrontBeat;
} // namespace wire

void writePartEvidence(wire::FrontBeat &message, const FrontHeartbeat &heartbeat);
void readPartEvidence(FrontHeartbeat &heartbeat, const wire::FrontBeat &message);

/// Sends nothing if no speed is known.
void writeSpeedSamples(wire::FrontBeat &message, const FrontHeartbeat &heartbeat);
void readSpeedSamples(FrontHeartbeat &heartbeat, const wire::FrontBeat &message);

} // namespace apricotarch
