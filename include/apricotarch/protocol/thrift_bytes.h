#pragma once

/**
 * @file
 * Thrift messages as bytes of the compact protocol.
 */

#include <memory>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "apricotarch/base/error.h"

namespace apricotarch
{

/// Encodes a message. @tparam Message a generated type
template<typename Message>
[[nodiscard]] std::string toThriftBytes(const Message &message)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes a message. @return MalformedMessage where the bytes are not one
template<typename Message>
[[nodiscard]] Result<Message> fromThriftBytes(std::string_view bytes, const char *step, const std::string &peer)
{
    using apache::thrift::transport::TMemoryBuffer;
    constexpr int MaxTextBytes = 8 * 1024 * 1024;
    constexpr int MaxListEntries = 100'000;
    // Thrift's buffer takes a pointer to mutable bytes but only observes them.
    auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    const auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
    apache::thrift::protocol::TCompactProtocol protocol(buffer, MaxTextBytes, MaxListEntries);
    try {
        Message message;
        message.read(&protocol);
        return message;
    } catch (const std::exception &exception) {
        return fail(ErrorId::MalformedMessage, step, peer, std::string("not readable as Thrift: ") + exception.what());
    }
}

} // namespace apricotarch
