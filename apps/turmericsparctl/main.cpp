/// @file main.cpp
/// turmericsparctl, the operators' client.
#include "commands.h"

#include "turmericspar/base/command_line.h"
#include "turmericspar/base/secret.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace turmericspar;

constexpr const char *usage = R"(turmericsparctl: the operators' client of turmericspar.

Usage:
  turmericsparctl [options] config create FILE
  turmericsparctl [options] config patch --base=N FILE
  turmericsparctl [options] config rollback --to=N
  turmericsparctl [options] config show
  turmericsparctl [options] config history
  turmericsparctl [options] config diff FROM TO
  turmericsparctl [options] config watch [--version=N] [--wait-ms=N]
  turmericsparctl [options] status
  turmericsparctl [options] upstreams
  turmericsparctl [options] drain [--undo]
  turmericsparctl [options] top [--once] [--interval-ms=N]
  turmericsparctl [options] explain REQUEST
  turmericsparctl --help

Options:
  --node=ADDRESS    The operators' address of any node; else TURMERICSPAR_NODE, else 127.0.0.1:8082.
  --key=FILE        The deployment's key file; else TURMERICSPAR_KEY, else /etc/turmericspar/deployment.key.
  --json            Answers as JSON.
  --timeout-ms=N    Wait for an answer. [default: 10000]
  --base=N          The version that a patch (JSON Merge Patch, RFC 7396) is stated against.
  --to=N            The version whose document comes back, as a new version.
  --dry-run         Check a patch and show its effect, without submitting it.
  --author=NAME     Who changes it.
  --reason=TEXT     Why.
  --submission=ID   The id of an earlier try whose answer was lost.
  --version=N       The version to watch; else the newest that the node knows.
  --wait-ms=N       How long to watch. [default: 10000]
  --once            Print one view and end.
  --interval-ms=N   Between two views. [default: 2000]
  --undo            Let the upstream take work again.

Exit codes: 0 done; 1 failed; 2 usage; 3 conflict with the present version; 4 the document would not be sound;
5 not known whether the patch was accepted: submit again with the same --submission.
)";

std::string optionOr(const docopt::value &given, const char *variable, const char *fallback)
{
    if (given) {
        return given.asString();
    }
    const char *fromEnvironment = std::getenv(variable);
    return fromEnvironment ? fromEnvironment : fallback;
}

int fail(const failure &error)
{
    std::cerr << "turmericsparctl: " << error.text() << '\n';
    return static_cast<int>(exit_code::usage);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto arguments = parseCommandLine(usage, argc, argv);
    const auto node = endpoint::parse(optionOr(arguments.at("--node"), "TURMERICSPAR_NODE", "127.0.0.1:8082"));
    if (!node) {
        return fail(node.error());
    }
    const auto key = shared_key::read(optionOr(arguments.at("--key"), "TURMERICSPAR_KEY", "/etc/turmericspar/deployment.key"));
    if (!key) {
        return fail(key.error());
    }
    const millis timeout{static_cast<double>(integerOption(arguments.at("--timeout-ms"), "--timeout-ms"))};
    return static_cast<int>(runCommand(arguments, node_client(*node, key->operatorToken(), timeout)));
}
