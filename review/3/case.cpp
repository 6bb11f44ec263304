/**
 * @file
 * A requester sends a request whose body looks like another request and whose Transfer-Encoding does not end with `chunked`, so that its
 * length is not known. HTTP/1.1 (RFC 9112, 6.3) has such a request refused. No replica may run what stands in the body.
 */

#include "../deployment.h"

using namespace review;

namespace
{

constexpr int RequestCount = 20;
constexpr milliseconds AnswerTime{700};

} // namespace

int main(int count, char **arguments)
{
    std::string file;
    std::string folder;
    if (!readArguments(count, arguments, file, folder)) {
        return NotRun;
    }
    Record record(file);
    Store store("127.0.0.2");
    if (!store.start()) {
        return NotRun;
    }
    store.put("op", "config", makeConfiguration(3, {makeRoute("/bookings/", "unsafe", "visit-desk", 1)}, {"visit-desk"}));
    std::mutex mutex;
    std::set<std::string> run;
    const Replica::Handler handler = [&](const Message &request) {
        const std::lock_guard lock(mutex);
        run.insert(request.header("X-Request-Id"));
        return Replica::Outcome{200, {}, "booked", false};
    };
    Replica replica(store, record, "desk-0", "visit-desk", "127.0.0.21", handler);
    if (!replica.start()) {
        return NotRun;
    }
    const auto fronts = makeFronts(1, store.address(), folder);
    if (!startFronts(fronts, milliseconds(15'000))) {
        record.report("the front node is not ready");
        return NotRun;
    }
    std::this_thread::sleep_for(milliseconds(1000));

    std::set<std::string> sent;
    int answered = 0;
    for (int number = 1; number <= RequestCount; ++number) {
        const std::string id = "request-" + std::to_string(number);
        const std::string body = encodeRequest("POST", "/bookings/7", "in-the-body-of-" + id, milliseconds(1500), "two dressers");
        const std::string framing =
            troubleWanted() ? "Transfer-Encoding: identity\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        sent.insert(id);
        const auto connection = Connection::open(fronts.front()->callerAddress());
        if (!connection) {
            return NotRun;
        }
        connection->send("POST /bookings/note HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\n"
            + framing + "\r\n" + body);
        std::string statuses;
        while (const auto answer = connection->read(Clock::now() + AnswerTime)) {
            ++answered;
            statuses += ' ' + answer->secondWord + '(' + answer->header("X-Request-Id") + ')';
        }
        record.add("answers request=" + id + statuses);
    }

    const std::lock_guard lock(mutex);
    int unasked = 0;
    for (const std::string &id : run) {
        unasked += sent.contains(id) ? 0 : 1;
    }
    record.report("requests=" + std::to_string(sent.size()) + " answers=" + std::to_string(answered)
        + " run_though_no_requester_sent_them=" + std::to_string(unasked));
    if (answered == 0) {
        return NotRun;
    }
    return unasked > 0 ? Broken : Held;
}
