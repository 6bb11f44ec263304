#include <array>
#include <thread>

#include <boost/test/unit_test.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "apricotarch/transport/backend_connection.h"

using namespace apricotarch;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

/// Ends a connection in one of several ways after part of an answer.
using EndConnection = void (*)(tcp::socket &);

void endNormally(tcp::socket &socket)
{
    socket.shutdown(tcp::socket::shutdown_send);
}

void reset(tcp::socket &socket)
{
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
}

/// Sends a request with a long body to a server that reads only its head and answers with neither length nor chunks.
/// @return the phase in which the exchange ends
ExchangePhase endOfEarlyAnswer(EndConnection endConnection)
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0});
    AsyncEvent changeEvent(loop.get_executor());
    const BackendConnection::Pointer connection(
        new BackendConnection(loop.get_executor(), ReplicaId("a"), {"127.0.0.1", acceptor.local_endpoint().port()}, TimePoint(), nullptr));
    const std::string request = "POST / HTTP/1.1\r\nContent-Length: 64000000\r\n\r\n" + std::string(64'000'000, 'x');
    connection->startExchange(
        request,
        false,
        [](const AnswerHead &) {
            return true;
        },
        1s,
        changeEvent);
    tcp::socket server = acceptor.accept();
    loop.run_for(50ms);
    boost::asio::write(server, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nhalf of the answer")));
    loop.run_for(50ms);
    endConnection(server);
    loop.run_for(200ms);
    const ExchangePhase phase = connection->phase();
    connection->close();
    loop.run_for(10ms);
    return phase;
}

/// Sends a request with a long body to a server that reads it all the while, sends part of an answer with neither length nor chunks, and
/// resets the connection. @return the phase in which the exchange ends
ExchangePhase endOfAnswerDuringUpload(std::chrono::microseconds pause)
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0});
    AsyncEvent changeEvent(loop.get_executor());
    const BackendConnection::Pointer connection(
        new BackendConnection(loop.get_executor(), ReplicaId("a"), {"127.0.0.1", acceptor.local_endpoint().port()}, TimePoint(), nullptr));
    std::thread server([&acceptor, pause] {
        boost::asio::io_context serverLoop;
        tcp::socket socket(serverLoop);
        acceptor.accept(socket);
        std::array<char, 65'536> chunk{};
        boost::system::error_code code;
        socket.read_some(boost::asio::buffer(chunk), code);
        boost::asio::write(socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nhalf of the answer")), code);
        const auto until = std::chrono::steady_clock::now() + pause;
        while (std::chrono::steady_clock::now() < until) {
            socket.read_some(boost::asio::buffer(chunk), code);
        }
        reset(socket);
    });
    const std::string request = "POST / HTTP/1.1\r\nContent-Length: 32000000\r\n\r\n" + std::string(32'000'000, 'x');
    connection->startExchange(
        request,
        false,
        [](const AnswerHead &) {
            return true;
        },
        1s,
        changeEvent);
    const auto until = std::chrono::steady_clock::now() + 2s;
    while (connection->phase() != ExchangePhase::Complete && connection->phase() != ExchangePhase::Failed
        && std::chrono::steady_clock::now() < until) {
        loop.run_one_for(1ms);
    }
    server.join();
    const ExchangePhase phase = connection->phase();
    connection->close();
    loop.run_for(1ms);
    return phase;
}

} // namespace

BOOST_AUTO_TEST_SUITE(backend_connection)

BOOST_AUTO_TEST_SUITE(an_early_answer_that_ends_with_its_connection)

BOOST_AUTO_TEST_CASE(is_complete_if_the_server_ends_the_connection_normally)
{
    BOOST_TEST((endOfEarlyAnswer(endNormally) == ExchangePhase::Complete));
}

BOOST_AUTO_TEST_CASE(is_not_complete_if_the_reset_of_the_connection_is_reported_to_the_pending_write)
{
    // The system reports a reset once. The write that was still pending got it, and the read got the end of the stream.
    BOOST_TEST((endOfEarlyAnswer(reset) == ExchangePhase::Failed));
}

BOOST_AUTO_TEST_CASE(is_not_complete_if_the_connection_is_reset_while_the_upload_is_being_written)
{
    // Which of the reset's two handlers runs first, that of the write or that of the read, depends on the moment.
    std::size_t completed = 0;
    for (int repetition = 0; repetition < 300; ++repetition) {
        completed += endOfAnswerDuringUpload(std::chrono::microseconds(repetition * 7)) == ExchangePhase::Complete ? 1 : 0;
    }
    BOOST_TEST(completed == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
