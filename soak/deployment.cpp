#include "deployment.h"

#include <algorithm>

namespace apricotarch::soak
{

namespace
{

constexpr milliseconds ReadyTimeout{15'000};
constexpr milliseconds PollInterval{50};
constexpr int FirstFrontHost = 11;
constexpr int FirstReplicaHost = 101;
constexpr int HostsPerNet = 90;

/// Makes a loopback address. The process id keeps soaks that run beside each other apart.
std::string makeIp(int host)
{
    return "127." + std::to_string(1 + getpid() / 250 % 250) + '.' + std::to_string(getpid() % 250) + '.' + std::to_string(host);
}

} // namespace

Deployment::Deployment(const DeploymentSettings &settings, Evidence &evidence)
    : m_evidence(evidence)
    , m_store(makeIp(2))
    , m_settings(settings)
{
}

bool Deployment::start()
{
    if (!m_store.start()) {
        return false;
    }
    changeConfiguration();
    for (std::size_t index = 0; index < m_settings.servers; ++index) {
        const char *service = index % 2 == 0 ? "dressing-desk" : "visit-desk";
        m_replicas.push_back(std::make_unique<Replica>(m_store,
            m_evidence,
            "replica-" + std::to_string(index),
            service,
            makeIp(FirstReplicaHost + static_cast<int>(index) % HostsPerNet)));
        if (!m_replicas.back()->start()) {
            return false;
        }
    }
    m_frontSettings = {m_settings.program, m_settings.folder, m_store.address(), {}, {}};
    for (std::size_t index = 0; index < m_settings.nodes; ++index) {
        m_frontSettings.ips.push_back(makeIp(FirstFrontHost + static_cast<int>(index) % HostsPerNet));
    }
    FrontPorts &ports = m_frontSettings.ports;
    for (std::uint16_t *port : {&ports.caller, &ports.ready, &ports.directory, &ports.peer, &ports.metrics}) {
        *port = findFreePort(m_frontSettings.ips);
    }
    std::vector<Address> addresses;
    for (std::size_t index = 0; index < m_settings.nodes; ++index) {
        m_fronts.push_back(std::make_unique<Front>(m_frontSettings, m_evidence, index));
        addresses.push_back(m_fronts.back()->callerAddress());
        if (!m_fronts.back()->start()) {
            return false;
        }
    }
    const bool isReady = std::all_of(m_fronts.begin(), m_fronts.end(), [this](const auto &front) {
        return awaitReady(*front);
    });
    std::this_thread::sleep_for(ContactTime);
    std::size_t number = 0;
    for (const Workload &workload : workloads()) {
        for (int index = 0; index < workload.callers; ++index, ++number) {
            m_callers.push_back(std::make_unique<Caller>(m_evidence,
                workload,
                addresses,
                number,
                number % addresses.size(),
                m_settings.seed * 1000 + static_cast<unsigned>(number)));
            m_callers.back()->start();
        }
    }
    return isReady;
}

void Deployment::finishCalls()
{
    for (const auto &caller : m_callers) {
        caller->finish();
    }
    m_callers.clear();
}

bool Deployment::restart(Front &front)
{
    return front.start() && awaitReady(front);
}

void Deployment::changeConfiguration()
{
    ++m_configuration;
    m_store.put("op", "config", makeConfiguration(m_configuration));
    m_evidence.addEvent("configuration number=" + std::to_string(m_configuration));
}

bool Deployment::awaitReady(const Front &front) const
{
    const TimePoint until = Clock::now() + ReadyTimeout;
    while (!front.isReady()) {
        if (Clock::now() > until) {
            m_evidence.addEvent("not ready node=" + front.name());
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

} // namespace apricotarch::soak
