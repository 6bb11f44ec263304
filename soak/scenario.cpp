#include "scenario.h"

#include <algorithm>

namespace apricotarch::soak
{

namespace
{

constexpr int LongestDelayMs = 1000;

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

milliseconds drawDelay(std::minstd_rand &random)
{
    return milliseconds(random() % LongestDelayMs);
}

/// Stops a node and starts it again.
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
            sleepFor(ContactTime + drawDelay(random));
            front->changeSettings();
            sleepFor(drawDelay(random));
            deployment.changeConfiguration();
            sleepFor(ContactTime + drawDelay(random));
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

} // namespace

const std::map<std::string, Scenario> &scenarios()
{
    static const std::map<std::string, Scenario> List{{"planned-stop", runPlannedStops}};
    return List;
}

} // namespace apricotarch::soak
