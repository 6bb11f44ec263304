#include "apricotarch/app/cli.h"

#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include <CLI/CLI.hpp>

#include "apricotarch/app/front.h"
#include "apricotarch/app/operator_client.h"
#include "apricotarch/app/serve.h"
#include "apricotarch/base/hash.h"
#include "apricotarch/protocol/questionnaire.h"

namespace apricotarch
{

namespace
{

/// Values of the command-line arguments.
struct Arguments
{
    OperatorClientOptions access;
    std::string output = "text";
    std::string settings = "node.yaml";
    std::string frontSettings;
    std::string file;
    long baseVersion = 0;
    std::string kind;
    std::string subject;
    std::string key;
    long contentHash = 0;
};

using Command = std::function<int()>;

std::optional<std::string> readFile(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        std::cerr << file << ": cannot be opened\n";
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

int checkQuestionnaire(const std::string &file)
{
    const std::optional<std::string> text = readFile(file);
    if (!text) {
        return InvalidInput;
    }
    const auto configuration = generateConfiguration(*text);
    if (!configuration) {
        std::cerr << formatErrors(file, configuration.error());
        return InvalidInput;
    }
    std::cout << file << ": no faults; " << configuration->services.size() << " services, " << configuration->callers.size()
              << " callers\n";
    return Success;
}

int submitQuestionnaire(const Arguments &arguments)
{
    const int checkResult = checkQuestionnaire(arguments.file);
    if (checkResult != Success) {
        return checkResult;
    }
    const std::string query = "base=" + std::to_string(arguments.baseVersion);
    return sendToNode(arguments.access, "POST", "/v1/operator/configuration", query, *readFile(arguments.file));
}

int hashKey(const std::string &keyArgument)
{
    std::string key = keyArgument;
    if (key.empty()) {
        std::getline(std::cin, key);
    }
    std::cout << sha256Hex(key) << '\n';
    return Success;
}

void addAccess(CLI::App &command, Arguments &arguments)
{
    command.add_option("--node", arguments.access.node, "address of any node, IP:PORT")->capture_default_str();
    command.add_option("--token", arguments.access.token, "operators' token")->envname("APRICOTARCH_TOKEN");
    command.add_option("--output", arguments.output, "output format, text or json")
        ->check(CLI::IsMember({"text", "json"}))
        ->capture_default_str();
}

void addServe(CLI::App &app, Arguments &arguments, Command &selectedCommand)
{
    CLI::App *command = app.add_subcommand("serve", "Run a node until SIGTERM, then shut down gracefully.");
    command->add_option("--settings", arguments.settings, "YAML file")->capture_default_str();
    command->callback([&] {
        selectedCommand = [&arguments] {
            return serve(arguments.settings);
        };
    });
    CLI::App *settings = app.add_subcommand("settings", "Work with settings files.")->require_subcommand(1);
    CLI::App *check = settings->add_subcommand("check", "List every fault of a settings file.");
    check->add_option("file", arguments.settings, "YAML file")->capture_default_str();
    check->callback([&] {
        selectedCommand = [&arguments] {
            return checkSettings(arguments.settings);
        };
    });
}

void addQuestionnaire(CLI::App &app, Arguments &arguments, Command &selectedCommand)
{
    CLI::App *group = app.add_subcommand("questionnaire", "Describe an installation; the configuration is generated from the answers.")
                          ->require_subcommand(1);
    group->add_subcommand("new", "Print an empty questionnaire.")->callback([&] {
        selectedCommand = [] {
            std::cout << blankQuestionnaire();
            return static_cast<int>(Success);
        };
    });
    CLI::App *check = group->add_subcommand("check", "List every fault of a questionnaire.");
    check->add_option("file", arguments.file, "YAML file")->required();
    check->callback([&] {
        selectedCommand = [&arguments] {
            return checkQuestionnaire(arguments.file);
        };
    });
    CLI::App *submit = group->add_subcommand("submit", "Submit a questionnaire, which is accepted or refused as a whole.");
    submit->add_option("file", arguments.file, "YAML file")->required();
    submit->add_option("--base", arguments.baseVersion, "version in force that the questionnaire is based on; 0 for the first")
        ->capture_default_str();
    addAccess(*submit, arguments);
    submit->callback([&] {
        selectedCommand = [&arguments] {
            return submitQuestionnaire(arguments);
        };
    });
}

void addFront(CLI::App &app, Arguments &arguments, Command &selectedCommand)
{
    CLI::App *command =
        app.add_subcommand("front", "Run a front node, which forwards callers' requests to the platform's backend servers.");
    command->add_option("--settings", arguments.frontSettings, "settings file; the platform's file by default");
    CLI::App *check = command->add_subcommand("check", "List every fault of a front node's settings.");
    check->add_option("file", arguments.frontSettings, "settings file")->required();
    command->callback([&arguments, &selectedCommand, check] {
        selectedCommand = [&arguments, onlyCheck = check->parsed()] {
            return onlyCheck ? checkFrontSettings(arguments.frontSettings) : runFront(arguments.frontSettings);
        };
    });
}

void addExplain(CLI::App &app, Arguments &arguments, Command &selectedCommand)
{
    CLI::App *command = app.add_subcommand("explain", "Show recorded decisions with their inputs, criteria and results.");
    command->add_option("kind", arguments.kind, "kind of decision")
        ->required()
        ->check(CLI::IsMember({"order", "lease", "config", "member", "request"}));
    command->add_option("id", arguments.subject, "engine, lease, version, node or request; all by default");
    addAccess(*command, arguments);
    command->callback([&] {
        selectedCommand = [&arguments] {
            return sendToNode(
                arguments.access, "GET", "/v1/operator/explain", "kind=" + arguments.kind + "&subject=" + arguments.subject, "");
        };
    });
}

void addNodeCommand(
    CLI::App &app, Arguments &arguments, Command &selectedCommand, const char *name, const char *help, const char *method, const char *path)
{
    CLI::App *command = app.add_subcommand(name, help);
    addAccess(*command, arguments);
    command->callback([&arguments, &selectedCommand, method, path] {
        selectedCommand = [&arguments, method, path] {
            return sendToNode(arguments.access, method, path, "", "");
        };
    });
}

void addCallers(CLI::App &app, Arguments &arguments, Command &selectedCommand)
{
    CLI::App *group = app.add_subcommand("callers", "Manage callers' keys and quarantined contents.")->require_subcommand(1);
    CLI::App *hash = group->add_subcommand("hash", "Print the hash of a caller's key for the questionnaire.");
    hash->add_option("key", arguments.key, "the key; read from standard input by default");
    hash->callback([&] {
        selectedCommand = [&arguments] {
            return hashKey(arguments.key);
        };
    });
    CLI::App *lift = group->add_subcommand("lift", "Release a request content that crashed backend servers from quarantine.");
    lift->add_option("content", arguments.contentHash, "content hash, as shown by 'explain request'")->required();
    addAccess(*lift, arguments);
    lift->callback([&] {
        selectedCommand = [&arguments] {
            return sendToNode(arguments.access, "POST", "/v1/operator/lift", "content=" + std::to_string(arguments.contentHash), "");
        };
    });
}

} // namespace

int runCommandLine(int argc, char **argv)
{
    Arguments arguments;
    Command selectedCommand;
    CLI::App app("apricotarch serves language models and booking services on a fixed fleet.");
    app.footer("Exit codes: 0 success, 1 failure, 2 invalid input, 3 node unreachable, 4 outcome unknown.");
    app.require_subcommand(1);
    addServe(app, arguments, selectedCommand);
    addFront(app, arguments, selectedCommand);
    addQuestionnaire(app, arguments, selectedCommand);
    addNodeCommand(app, arguments, selectedCommand, "status", "Show a node's view of the system.", "GET", "/v1/operator/status");
    addNodeCommand(app, arguments, selectedCommand, "drain", "Shut a node down gracefully.", "POST", "/v1/operator/drain");
    addNodeCommand(app, arguments, selectedCommand, "config", "Show the configuration in force.", "GET", "/v1/operator/configuration");
    addExplain(app, arguments, selectedCommand);
    addCallers(app, arguments, selectedCommand);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? Success : InvalidInput;
    }
    arguments.access.json = arguments.output == "json";
    return selectedCommand();
}

} // namespace apricotarch
