#include "scenario.h"

#include <algorithm>
#include <vector>

namespace apricotarch::soak
{

namespace
{

using namespace std::chrono_literals;

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

milliseconds draw(std::minstd_rand &random, milliseconds least, milliseconds most)
{
    return least + milliseconds(random() % static_cast<unsigned>((most - least).count() + 1));
}

bool restartNode(Deployment &deployment, Front &front)
{
    front.stop();
    return deployment.restart(front);
}

/// All that is planned: stops of nodes one after another, and changes of their settings beside changes of the configuration.
bool runPlannedStops(Deployment &deployment, std::minstd_rand &random, TimePoint until)
{
    while (Clock::now() < until) {
        for (const auto &front : deployment.fronts()) {
            sleepFor(ContactTime + draw(random, 0ms, 1000ms));
            front->changeSettings();
            sleepFor(draw(random, 0ms, 1000ms));
            deployment.changeConfiguration();
            sleepFor(ContactTime + draw(random, 0ms, 1000ms));
            if (!restartNode(deployment, *front)) {
                return false;
            }
        }
        // One after another, without a pause.
        for (const auto &front : deployment.fronts()) {
            deployment.changeConfiguration();
            if (!restartNode(deployment, *front)) {
                return false;
            }
        }
    }
    sleepFor(ContactTime);
    return true;
}

/// Faults of nodes that a run draws from.
enum class NodeFault { Term, Kill, Hup, Freeze, RestartAll };

/// Faults that a run draws from. A fault that stands there more often is drawn more often.
struct Faults
{
    std::vector<NodeFault> nodes;
    std::vector<Trouble> replicas;
    bool limitsAndVersions = false; ///< Replicas name limits of their request rates, and there are two software versions.
};

bool applyNodeFault(NodeFault fault, Deployment &deployment, std::minstd_rand &random)
{
    Front &front = *deployment.fronts()[random() % deployment.fronts().size()];
    switch (fault) {
    case NodeFault::Term:
        return restartNode(deployment, front);
    case NodeFault::Kill:
        return deployment.crash(front);
    case NodeFault::Hup:
        front.changeSettings();
        return true;
    case NodeFault::Freeze:
        front.freeze(draw(random, 100ms, 1500ms));
        return true;
    case NodeFault::RestartAll:
        break;
    }
    return std::all_of(deployment.fronts().begin(), deployment.fronts().end(), [&deployment](const auto &each) {
        return restartNode(deployment, *each);
    });
}

/// Returns whether all other replicas of the service of a replica are there.
bool othersAreUp(const Deployment &deployment, std::size_t index)
{
    const auto &replicas = deployment.replicas();
    for (std::size_t other = index % 2; other < replicas.size(); other += 2) {
        if (other != index && !replicas[other]->isUp()) {
            return false;
        }
    }
    return true;
}

/// Disturbs one replica after another.
void disturbReplicas(Deployment &deployment, const std::vector<Trouble> &troubles, std::minstd_rand random, TimePoint until)
{
    while (Clock::now() < until) {
        sleepFor(draw(random, 300ms, 2500ms));
        const std::size_t index = random() % deployment.replicas().size();
        const Trouble trouble = troubles[random() % troubles.size()];
        const milliseconds duration = draw(random, 1000ms, 1400ms);
        if ((trouble != Trouble::Crash && trouble != Trouble::Leave) || othersAreUp(deployment, index)) {
            deployment.replicas()[index]->setTrouble(trouble, duration);
        }
    }
}

/// Lets one replica after another name a limit of its request rate, and two software versions serve side by side.
void limitReplicas(Deployment &deployment, std::minstd_rand random, TimePoint until)
{
    for (const auto &replica : deployment.replicas()) {
        replica->alternateVersions();
    }
    while (Clock::now() < until) {
        sleepFor(draw(random, 1000ms, 4000ms));
        const double perSecond = 2 + static_cast<double>(random() % 4);
        deployment.replicas()[random() % deployment.replicas().size()]->limitRate(perSecond, draw(random, 6000ms, 12'000ms));
    }
}

/// Interrupts the store and changes the configuration.
void disturbStore(Deployment &deployment, std::minstd_rand random, TimePoint until)
{
    while (Clock::now() < until) {
        sleepFor(draw(random, 500ms, 4000ms));
        if (random() % 4 == 0) {
            deployment.interruptStore(draw(random, 500ms, 4000ms));
        } else {
            deployment.changeConfiguration();
        }
    }
}

/// Makes a scenario in which nodes, replicas and the store are disturbed at the same time, each in a series of its own.
Scenario makeFaultScenario(Faults faults)
{
    return [faults = std::move(faults)](Deployment &deployment, std::minstd_rand &random, TimePoint until) {
        std::vector<std::thread> others;
        others.emplace_back(disturbReplicas, std::ref(deployment), std::cref(faults.replicas), std::minstd_rand(random()), until);
        others.emplace_back(disturbStore, std::ref(deployment), std::minstd_rand(random()), until);
        if (faults.limitsAndVersions) {
            others.emplace_back(limitReplicas, std::ref(deployment), std::minstd_rand(random()), until);
        }
        bool goesOn = true;
        while (goesOn && Clock::now() < until) {
            // Half of the faults follow the one before at once.
            sleepFor(random() % 2 == 0 ? 0ms : draw(random, 500ms, 6000ms));
            goesOn = applyNodeFault(faults.nodes[random() % faults.nodes.size()], deployment, random);
        }
        for (std::thread &other : others) {
            other.join();
        }
        sleepFor(ContactTime);
        return goesOn;
    };
}

} // namespace

const std::map<std::string, Scenario> &scenarios()
{
    using enum NodeFault;
    using enum Trouble;
    static const std::map<std::string, Scenario> List{
        {"planned-stop", runPlannedStops},
        {"faults",
            makeFaultScenario(
                {{Term, Term, Kill, Hup, Hup, Freeze, RestartAll}, {Pause, Decline, Crash, CutHead, CutBody, CutEvent, Leave}})},
        // Without the faults that meet entries of KNOWN-RED.txt.
        {"limits-and-versions",
            makeFaultScenario({{Term, Kill, Hup, Freeze, RestartAll}, {Decline, Crash, Crash, CutBody, CutEvent, Leave, Leave}, true})},
        {"faults-ci", makeFaultScenario({{Kill, Hup, Freeze}, {Decline, Crash, CutHead, CutBody, CutEvent, Leave}})},
    };
    return List;
}

} // namespace apricotarch::soak
