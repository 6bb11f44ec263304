#include "apricotarch/protocol/usage_codec.h"

#include <algorithm>

#include "peer_types.h"

namespace apricotarch
{

namespace
{

/// Customers of one window in one datagram. More than fit into a datagram are not valid.
constexpr std::size_t MaxCustomers = 1000;

} // namespace

wire::UsageUpdate usageToWire(const UsageUpdate &update)
{
    wire::UsageUpdate message;
    message.peerAddress = update.peerAddress.text();
    message.incarnation = update.incarnation.value();
    message.node = update.node.value();
    message.leaving = update.leaving;
    message.number = update.number;
    message.finalWindow = update.finalWindow;
    for (const UsageWindowCounts &counts : update.windows) {
        wire::UsageWindow window;
        window.window = counts.window;
        for (const auto &[customer, total] : counts.totals) {
            window.customers.push_back(customer.value());
            window.totals.push_back(total);
        }
        message.windows.push_back(std::move(window));
    }
    return message;
}

wire::UsageAck usageToWire(const UsageAck &ack)
{
    wire::UsageAck message;
    message.peerAddress = ack.peerAddress.text();
    message.incarnation = ack.incarnation.value();
    message.number = ack.number;
    return message;
}

wire::UsageCollectors usageToWire(const UsageCollectors &collectors)
{
    wire::UsageCollectors message;
    message.coordinator = collectors.coordinator.value();
    message.version = collectors.version;
    for (const Endpoint &address : collectors.addresses) {
        message.addresses.push_back(address.text());
    }
    return message;
}

Result<UsageUpdate> usageFromWire(const wire::UsageUpdate &message, const std::string &peer)
{
    const Result<Endpoint> address = parseEndpoint(message.peerAddress);
    if (!address) {
        return fail(ErrorId::InvalidField, "usage_update.decode", peer, "peerAddress is missing or not of the form IP:PORT");
    }
    UsageUpdate update;
    update.peerAddress = *address;
    update.incarnation = Incarnation(message.incarnation);
    update.node = NodeId(message.node);
    update.leaving = message.leaving;
    update.number = message.number;
    update.finalWindow = message.finalWindow;
    for (const wire::UsageWindow &window : message.windows) {
        if (window.customers.size() != window.totals.size() || window.customers.size() > MaxCustomers) {
            return fail(ErrorId::InvalidField, "usage_update.decode", peer, "customers and totals must have the same, limited length");
        }
        UsageWindowCounts counts;
        counts.window = window.window;
        for (std::size_t index = 0; index < window.customers.size(); ++index) {
            counts.totals.emplace_back(CustomerId(window.customers[index]), window.totals[index]);
        }
        update.windows.push_back(std::move(counts));
    }
    return update;
}

Result<UsageAck> usageFromWire(const wire::UsageAck &message, const std::string &peer)
{
    const Result<Endpoint> address = parseEndpoint(message.peerAddress);
    if (!address) {
        return fail(ErrorId::InvalidField, "usage_ack.decode", peer, "peerAddress is missing or not of the form IP:PORT");
    }
    return UsageAck{*address, Incarnation(message.incarnation), message.number};
}

std::optional<UsageCollectors> usageFromWire(const wire::UsageCollectors &message)
{
    UsageCollectors collectors;
    collectors.coordinator = NodeId(message.coordinator);
    collectors.version = message.version;
    for (const std::string &text : message.addresses) {
        const Result<Endpoint> address = parseEndpoint(text);
        if (!address) {
            return std::nullopt;
        }
        collectors.addresses.push_back(*address);
    }
    return collectors;
}

} // namespace apricotarch
