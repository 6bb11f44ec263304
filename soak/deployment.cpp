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
constexpr unsigned SeedsPerSoak = 1000;
constexpr milliseconds RestTime{1500};
constexpr milliseconds ProbeInterval{50};
constexpr milliseconds ProbeTime{1500};

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

Deployment::~Deployment()
{
    end();
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
    for (std::size_t index = 0; index < m_settings.nodes; ++index) {
        m_fronts.push_back(std::make_unique<Front>(m_frontSettings, m_evidence, index));
        if (!m_fronts.back()->start()) {
            return false;
        }
    }
    const bool isReady = std::all_of(m_fronts.begin(), m_fronts.end(), [this](const auto &front) {
        return awaitReady(*front);
    });
    if (isReady) {
        std::this_thread::sleep_for(ContactTime);
        startCallers();
    }
    return isReady;
}

void Deployment::startCallers()
{
    std::vector<Address> addresses;
    for (const auto &front : m_fronts) {
        addresses.push_back(front->callerAddress());
        m_probers.emplace_back([this, node = front->number()] {
            probe(node);
        });
    }
    std::size_t number = 0;
    for (const Workload &workload : workloads()) {
        for (int index = 0; index < workload.callers; ++index, ++number) {
            const std::size_t home = number % addresses.size();
            const auto seed = m_settings.seed * SeedsPerSoak + static_cast<unsigned>(number);
            m_callers.push_back(std::make_unique<Caller>(m_evidence, workload, addresses, number, home, seed));
            m_callers.back()->start();
        }
    }
}

void Deployment::probe(std::size_t node)
{
    for (int number = 0; !m_finishing; ++number) {
        std::this_thread::sleep_for(ProbeInterval);
        // The newest version, and in turn the one before it, which must not be in force any more.
        const int version = m_configuration - number % 2;
        Probe probe{"probe-" + std::to_string(node) + '-' + std::to_string(number) + '-', node, version, Clock::now(), {}, 0};
        const Headers headers{{"Host", "desk.example"}, {"X-Request-Id", probe.id}, {"X-Deadline-Ms", std::to_string(ProbeTime.count())}};
        const auto answer = exchange(m_fronts[node]->callerAddress(),
            "GET " + makeProbeTarget(version) + " HTTP/1.1\r\n" + encodeHeaders(headers) + "\r\n",
            ProbeTime);
        probe.end = Clock::now();
        probe.status = answer ? answer->status() : 0;
        m_evidence.addProbe(std::move(probe));
    }
}

void Deployment::end()
{
    m_finishing = true;
    for (std::thread &prober : m_probers) {
        prober.join();
    }
    m_probers.clear();
    for (const auto &caller : m_callers) {
        caller->finish();
    }
    m_callers.clear();
    // Runs that begin after their answer would break a promise, and nodes write their logs once a second.
    std::this_thread::sleep_for(RestTime);
    for (const auto &front : m_fronts) {
        front->kill();
    }
    m_replicas.clear();
}

bool Deployment::restart(Front &front)
{
    return front.start() && awaitReady(front);
}

bool Deployment::crash(Front &front)
{
    m_evidence.report("SIGKILL node=" + front.name());
    const std::size_t disturbance = m_evidence.addDisturbance(front.number(), false);
    front.kill();
    const bool isReady = restart(front);
    m_evidence.endDisturbance(disturbance);
    return isReady;
}

void Deployment::interruptStore(milliseconds time)
{
    m_evidence.report("store unreachable ms=" + std::to_string(time.count()));
    const std::size_t disturbance = m_evidence.addDisturbance(std::nullopt, false);
    m_store.setReachable(false);
    std::this_thread::sleep_for(time);
    while (!m_store.setReachable(true)) {
        std::this_thread::sleep_for(PollInterval);
    }
    m_evidence.endDisturbance(disturbance);
}

void Deployment::changeConfiguration()
{
    const int number = m_configuration + 1;
    m_evidence.addConfiguration(m_store.put("op", "config", makeConfiguration(number)));
    m_configuration = number;
    m_evidence.report("configuration number=" + std::to_string(m_configuration));
}

bool Deployment::awaitReady(const Front &front) const
{
    const TimePoint until = Clock::now() + ReadyTimeout;
    while (!front.isReady()) {
        if (Clock::now() > until) {
            m_evidence.report("not ready node=" + front.name());
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

} // namespace apricotarch::soak
