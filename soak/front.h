#pragma once

/**
 * @file
 * Front nodes as processes.
 */

#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "evidence.h"

namespace apricotarch::soak
{

/// Bounds of the users' installation.
constexpr milliseconds GracePeriod{8000}; ///< From SIGTERM to SIGKILL.
constexpr milliseconds ContactTime{3000}; ///< After a disturbance, before rules with a bound hold again.
constexpr milliseconds ConfigTime{2000}; ///< From the store's acknowledgement of a configuration until it is in force.

/// Ports of a node, the same on all addresses.
struct FrontPorts
{
    std::uint16_t caller = 0;
    std::uint16_t ready = 0;
    std::uint16_t directory = 0;
    std::uint16_t peer = 0;
    std::uint16_t metrics = 0;
};

/// What all nodes of a deployment share.
struct FrontSettings
{
    std::string program;
    std::string folder; ///< For settings and logs.
    Address store;
    std::vector<std::string> ips; ///< Of all nodes.
    FrontPorts ports;
};

class Front
{
public:
    Front(const FrontSettings &settings, Evidence &evidence, std::size_t number);
    Front(const Front &) = delete;
    Front &operator=(const Front &) = delete;
    ~Front();

    /// Starts the process. @return whether that worked. Must be called by a thread that lives as long as the process.
    bool start();

    /// Sends a signal to the process.
    void sendSignal(int signal) const;

    /// Sends SIGTERM, and SIGKILL after the grace period, and waits for the end of the process.
    void stop();

    /// Ends the process with SIGKILL.
    void kill();

    /// Suspends the process for a time.
    void freeze(milliseconds time);

    /// Writes a changed settings file and sends SIGHUP.
    void changeSettings();

    /// Returns whether the node says that it is ready.
    [[nodiscard]] bool isReady() const;

    /// Returns the exit status of a process that has ended by itself, with the signal's number negated.
    [[nodiscard]] std::optional<int> ownEnd();

    [[nodiscard]] Address callerAddress() const
    {
        return {m_settings.ips[m_number], m_settings.ports.caller};
    }
    [[nodiscard]] std::size_t number() const
    {
        return m_number;
    }
    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }
    [[nodiscard]] std::string logFile() const
    {
        return m_settings.folder + '/' + m_name + ".log";
    }

private:
    void writeSettings() const;
    [[nodiscard]] std::string settingsFile() const
    {
        return m_settings.folder + '/' + m_name + ".yaml";
    }

    const FrontSettings &m_settings;
    Evidence &m_evidence;
    const std::size_t m_number;
    const std::string m_name;
    int m_directoryTtl = 5; ///< In seconds, the setting that `changeSettings()` changes.
    pid_t m_process = -1;
};

} // namespace apricotarch::soak
