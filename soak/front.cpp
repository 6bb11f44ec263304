#include "front.h"

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace apricotarch::soak
{

namespace
{

constexpr milliseconds PollInterval{5};
constexpr int NotStarted = 127;

int decodeStatus(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace

Front::Front(const FrontSettings &settings, Evidence &evidence, std::size_t number)
    : m_settings(settings)
    , m_evidence(evidence)
    , m_number(number)
    , m_name("front-" + std::to_string(number))
{
    std::filesystem::remove(logFile());
    writeSettings();
}

Front::~Front()
{
    kill();
}

bool Front::start()
{
    std::string program = m_settings.program;
    std::string role = "front";
    std::string variable = "APRICOTARCH_CONFIG=" + settingsFile();
    const std::string log = logFile();
    std::array<char *, 3> arguments{program.data(), role.data(), nullptr};
    std::array<char *, 2> environment{variable.data(), nullptr};
    const pid_t parent = getpid();
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(NotStarted);
        }
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execve(program.c_str(), arguments.data(), environment.data());
        _exit(NotStarted);
    }
    m_evidence.report("start node=" + m_name);
    m_evidence.endDisturbance(m_evidence.addDisturbance(m_number, true));
    return m_process > 0;
}

void Front::sendSignal(int signal) const
{
    if (m_process > 0) {
        ::kill(m_process, signal);
    }
}

void Front::stop()
{
    if (m_process <= 0) {
        return;
    }
    m_evidence.report("SIGTERM node=" + m_name);
    Stop stop{m_number, Clock::now(), {}, 0};
    sendSignal(SIGTERM);
    int status = 0;
    bool isKilled = false;
    while (waitpid(m_process, &status, WNOHANG) == 0) {
        if (!isKilled && Clock::now() - stop.begin >= GracePeriod) {
            isKilled = true;
            sendSignal(SIGKILL);
        }
        std::this_thread::sleep_for(PollInterval);
    }
    m_process = -1;
    stop.end = Clock::now();
    stop.status = decodeStatus(status);
    m_evidence.addStop(stop);
    m_evidence.report("gone node=" + m_name + " status=" + std::to_string(stop.status));
}

void Front::kill()
{
    if (m_process > 0) {
        sendSignal(SIGKILL);
        waitpid(m_process, nullptr, 0);
        m_process = -1;
    }
}

void Front::freeze(milliseconds time)
{
    m_evidence.report("SIGSTOP node=" + m_name + " ms=" + std::to_string(time.count()));
    const std::size_t disturbance = m_evidence.addDisturbance(m_number, false);
    sendSignal(SIGSTOP);
    std::this_thread::sleep_for(time);
    sendSignal(SIGCONT);
    m_evidence.endDisturbance(disturbance);
}

void Front::changeSettings()
{
    m_directoryTtl = m_directoryTtl % 5 + 1;
    writeSettings();
    m_evidence.addHup(m_number);
    sendSignal(SIGHUP);
    m_evidence.report("SIGHUP node=" + m_name);
}

bool Front::isReady() const
{
    const Address address{m_settings.ips[m_number], m_settings.ports.ready};
    const auto answer = exchange(address, "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n", milliseconds(500));
    return answer && answer->status() == 200;
}

std::optional<int> Front::ownEnd()
{
    int status = 0;
    if (m_process <= 0 || waitpid(m_process, &status, WNOHANG) != m_process) {
        return std::nullopt;
    }
    m_process = -1;
    return decodeStatus(status);
}

void Front::writeSettings() const
{
    std::ofstream settings(settingsFile());
    const auto addAddress = [&](const char *key, std::uint16_t port) {
        settings << key << ": \"" << Address{m_settings.ips[m_number], port}.text() << "\"\n";
    };
    settings << "node: \"" << m_name << "\"\nzone: \"zone-" << m_number % 3 << "\"\n";
    addAddress("caller_address", m_settings.ports.caller);
    addAddress("ready_address", m_settings.ports.ready);
    addAddress("directory_address", m_settings.ports.directory);
    addAddress("peer_address", m_settings.ports.peer);
    addAddress("metrics_address", m_settings.ports.metrics);
    const std::string store = m_settings.store.text();
    settings << "store_address: \"" << store << "\"\npeer_key: \"apricotarch " << store << "\"\nseeds: [";
    for (std::size_t index = 0; index < m_settings.ips.size(); ++index) {
        settings << (index > 0 ? "," : "") << '"' << Address{m_settings.ips[index], m_settings.ports.peer}.text() << '"';
    }
    settings << "]\nretry_ratio: 0.2\nretry_slack: 54\nretry_window_s: 10\ngrace_s: " << GracePeriod / std::chrono::seconds(1)
             << "\nmemory_megabytes: 260\nprefill_tokens_per_ms: 50\nprefill_chunk_tokens: 2048\ndirectory_ttl_s: " << m_directoryTtl
             << '\n';
}

} // namespace apricotarch::soak
