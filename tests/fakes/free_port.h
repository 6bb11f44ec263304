#pragma once

/**
 * @file
 * Ports for nodes that tests start.
 */

#include <cstdint>

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace apricotarch::fakes
{

/// Returns a loopback port that is free for TCP and UDP. It is below the range from which the system takes the ports of outgoing
/// connections, so that none of another test process takes it before it is bound.
inline std::uint16_t findFreePort()
{
    constexpr unsigned FirstPort = 20'000;
    constexpr unsigned Ports = 12'000;
    constexpr unsigned PortsPerProcess = 97; // Prime, so that processes that start together begin far apart.
    static unsigned next = static_cast<unsigned>(::getpid()) * PortsPerProcess;
    boost::asio::io_context loop;
    while (true) {
        const auto port = static_cast<std::uint16_t>(FirstPort + next++ % Ports);
        boost::system::error_code code;
        boost::asio::ip::udp::socket datagrams(loop, boost::asio::ip::udp::v4());
        datagrams.bind({boost::asio::ip::address_v4::loopback(), port}, code);
        if (code) {
            continue;
        }
        boost::asio::ip::tcp::socket connections(loop, boost::asio::ip::tcp::v4());
        connections.bind({boost::asio::ip::address_v4::loopback(), port}, code);
        if (!code) {
            return port;
        }
    }
}

} // namespace apricotarch::fakes
