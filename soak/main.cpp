/**
 * @file
 * Fault soak: front nodes as processes, with callers that use their connections until a process is gone, and stand-ins of the platform.
 * Exits with 0 if all rules held, 1 if one was broken, 2 if the soak could not run.
 */

#include <filesystem>
#include <fstream>
#include <iostream>

#include <CLI/CLI.hpp>

#include "report.h"
#include "scenario.h"

namespace apricotarch::soak
{

namespace
{

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;
constexpr std::size_t FindingsWithLogs = 20;

/// Prints the lines of a node's log about a request.
void printLog(const std::string &file, const std::string &requestId)
{
    std::ifstream log(file);
    for (std::string line; std::getline(log, line);) {
        if (line.find(requestId) != std::string::npos) {
            std::cout << "    log " << line << '\n';
        }
    }
}

void printFindings(const Deployment &deployment, const Evidence &evidence, const std::vector<Finding> &findings)
{
    std::size_t printed = 0;
    for (const Finding &finding : findings) {
        std::cout << "BROKEN rule=" << finding.rule << ' ' << finding.text;
        if (finding.call != nullptr) {
            std::cout << ' ' << describe(evidence, *finding.call);
        }
        std::cout << '\n';
        if (finding.call != nullptr && ++printed <= FindingsWithLogs) {
            printLog(deployment.fronts()[finding.node]->logFile(), finding.call->id);
        }
    }
}

int run(const DeploymentSettings &settings, const std::string &scenario, double minutes)
{
    Evidence evidence;
    Deployment deployment(settings, evidence);
    if (!deployment.start()) {
        std::cout << "result=not_run reason=start\n";
        return NotRun;
    }
    std::minstd_rand random(settings.seed);
    const auto until = Clock::now() + std::chrono::duration_cast<milliseconds>(std::chrono::duration<double, std::ratio<60>>(minutes));
    const bool wentOn = scenarios().at(scenario)(deployment, random, until);
    deployment.end();
    const std::vector<Finding> findings = findBrokenRules(evidence);
    printFindings(deployment, evidence, findings);
    printCounts(evidence);
    printSummary(evidence, findings);
    if (!wentOn) {
        std::cout << "result=not_run reason=node_not_ready\n";
        return NotRun;
    }
    std::cout << "result=" << (findings.empty() ? "held" : "broken") << " findings=" << findings.size() << " seed=" << settings.seed
              << '\n';
    return findings.empty() ? Held : Broken;
}

} // namespace

} // namespace apricotarch::soak

int main(int argc, char **argv)
{
    using namespace apricotarch::soak;
    CLI::App app{"Fault soak of front nodes as processes"};
    app.require_subcommand(1);
    DeploymentSettings settings;
    std::string scenario = "planned-stop";
    double minutes = 1;
    CLI::App &command = *app.add_subcommand("run", "Runs a scenario under load and checks the rules");
    command.add_option("--program", settings.program, "Program of the nodes")->required()->check(CLI::ExistingFile);
    command.add_option("--folder", settings.folder, "Folder for the nodes' settings and logs")->required();
    command.add_option("--seed", settings.seed, "Seed of the scenario and the callers")->check(CLI::PositiveNumber);
    command.add_option("--nodes", settings.nodes, "Number of nodes")->check(CLI::Range(1, 90));
    command.add_option("--servers", settings.servers, "Number of replicas")->check(CLI::Range(2, 90));
    command.add_option("--minutes", minutes, "Time after which no further round begins")->check(CLI::PositiveNumber);
    command.add_option("--scenario", scenario, "Scenario")->check(CLI::IsMember(scenarios()));
    CLI11_PARSE(app, argc, argv);

    std::filesystem::create_directories(settings.folder);
    std::cout << "replay: " << argv[0] << " run --seed " << settings.seed << " --scenario " << scenario << " --nodes " << settings.nodes
              << " --servers " << settings.servers << " --minutes " << minutes << " --program " << settings.program << " --folder "
              << settings.folder << std::endl;
    return run(settings, scenario, minutes);
}
