#include "apricotarch/base/compression.h"

#include <algorithm>
#include <array>
#include <cstdint>

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <boost/endian/conversion.hpp>

namespace apricotarch
{

namespace zlib = boost::beast::zlib;

namespace
{

constexpr int CompressionLevel = 1; // Fast; higher levels make texts of routes only slightly smaller.
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;

/// The length of the text precedes the stream, since the end of a stream is not always recognized.
using TextLength = std::array<std::uint8_t, sizeof(std::uint32_t)>;

} // namespace

std::string compressText(std::string_view text)
{
    TextLength length{};
    boost::endian::store_big_u32(length.data(), static_cast<std::uint32_t>(text.size()));
    zlib::deflate_stream stream;
    stream.reset(CompressionLevel, WindowBits, MemoryLevel, zlib::Strategy::normal);
    std::string bytes(length.begin(), length.end());
    bytes.resize(length.size() + stream.upper_bound(text.size()));
    zlib::z_params parameters;
    parameters.next_in = text.data();
    parameters.avail_in = text.size();
    parameters.next_out = bytes.data() + length.size();
    parameters.avail_out = bytes.size() - length.size();
    boost::beast::error_code code; // Reports the end of the stream; the output has space for any text of this length.
    stream.write(parameters, zlib::Flush::finish, code);
    bytes.resize(length.size() + parameters.total_out);
    return bytes;
}

Result<std::string> decompressText(std::string_view bytes, std::size_t maxBytes, const char *step, const std::string &peer)
{
    TextLength length{};
    if (bytes.size() < length.size()) {
        return fail(ErrorId::MalformedMessage, step, peer, "a compressed text has no length");
    }
    std::copy_n(bytes.begin(), length.size(), length.begin());
    const std::uint32_t size = boost::endian::load_big_u32(length.data());
    if (size > maxBytes) {
        return fail(ErrorId::MessageTooLarge, step, peer, "a compressed text exceeds the limit of " + std::to_string(maxBytes) + " bytes");
    }
    std::string text(size, '\0');
    zlib::inflate_stream stream;
    zlib::z_params parameters;
    parameters.next_in = bytes.data() + length.size();
    parameters.avail_in = bytes.size() - length.size();
    parameters.next_out = text.data();
    parameters.avail_out = text.size();
    boost::beast::error_code code;
    while (!code && parameters.avail_out > 0) {
        stream.write(parameters, zlib::Flush::sync, code);
    }
    if (parameters.avail_out > 0) {
        return fail(ErrorId::MalformedMessage, step, peer, "a compressed text is not valid: " + code.message());
    }
    return text;
}

} // namespace apricotarch
