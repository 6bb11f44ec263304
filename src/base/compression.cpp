#include "apricotarch/base/compression.h"

#include <algorithm>

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace apricotarch
{

namespace zlib = boost::beast::zlib;

namespace
{

constexpr int CompressionLevel = 1; // Fast; higher levels make texts of routes only slightly smaller.
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;
constexpr std::size_t ChunkBytes = 64UL * 1024;

} // namespace

std::string compressText(std::string_view text)
{
    zlib::deflate_stream stream;
    stream.reset(CompressionLevel, WindowBits, MemoryLevel, zlib::Strategy::normal);
    std::string bytes(stream.upper_bound(text.size()), '\0');
    zlib::z_params parameters;
    parameters.next_in = text.data();
    parameters.avail_in = text.size();
    parameters.next_out = bytes.data();
    parameters.avail_out = bytes.size();
    boost::beast::error_code code; // Reports the end of the stream; the output has space for any text of this length.
    stream.write(parameters, zlib::Flush::finish, code);
    bytes.resize(parameters.total_out);
    return bytes;
}

Result<std::string> decompressText(std::string_view bytes, std::size_t maxBytes, const char *step, const std::string &peer)
{
    zlib::inflate_stream stream;
    zlib::z_params parameters;
    parameters.next_in = bytes.data();
    parameters.avail_in = bytes.size();
    std::string text;
    boost::beast::error_code code;
    while (code != zlib::error::end_of_stream) {
        if (parameters.total_out > maxBytes) {
            return fail(
                ErrorId::MessageTooLarge, step, peer, "a compressed text exceeds the limit of " + std::to_string(maxBytes) + " bytes");
        }
        text.resize(parameters.total_out + ChunkBytes);
        parameters.next_out = text.data() + parameters.total_out;
        parameters.avail_out = ChunkBytes;
        const std::size_t before = parameters.total_out;
        stream.write(parameters, zlib::Flush::sync, code);
        const bool incomplete = !code && parameters.total_out == before;
        if (incomplete || (code && code != zlib::error::end_of_stream)) {
            return fail(ErrorId::MalformedMessage, step, peer, "a compressed text is not valid: " + code.message());
        }
    }
    text.resize(parameters.total_out);
    if (text.size() > maxBytes) {
        return fail(ErrorId::MessageTooLarge, step, peer, "a compressed text exceeds the limit of " + std::to_string(maxBytes) + " bytes");
    }
    return text;
}

} // namespace apricotarch
