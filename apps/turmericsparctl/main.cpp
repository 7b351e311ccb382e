/// @file main.cpp
/// turmericsparctl, the operators' command-line client.
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
  turmericsparctl [options] convictions [--lift=DIGEST]
  turmericsparctl [options] top [--once] [--interval-ms=N]
  turmericsparctl [options] explain REQUEST
  turmericsparctl --help

Options:
  --node=ADDRESS    The operators' address of any node; else TURMERICSPAR_NODE, else 127.0.0.1:8082.
  --key=FILE        The deployment's key file; else TURMERICSPAR_KEY, else /etc/turmericspar/deployment.key.
  --json            Print responses as JSON.
  --timeout-ms=N    Time to wait for a response. [default: 10000]
  --base=N          The version that a patch (JSON Merge Patch, RFC 7396) is based on.
  --to=N            The version whose document is submitted as a new version.
  --dry-run         Check a patch and show its effect, without submitting it.
  --author=NAME     The author of the change.
  --reason=TEXT     The reason for the change.
  --submission=ID   The id of an earlier submission whose response was lost.
  --version=N       The version to watch; else the newest one known to the node.
  --wait-ms=N       How long to watch. [default: 10000]
  --once            Print one view and exit.
  --interval-ms=N   Time between two views. [default: 2000]
  --undo            Let the upstream accept calls again.
  --lift=DIGEST     Let requests run again that are refused because they crash upstreams, at all nodes.

Exit codes: 0 success; 1 failure; 2 usage error; 3 conflict with the current version; 4 the document would be invalid;
5 unknown whether the patch was accepted: submit again with the same --submission.
)";

std::string optionOr(const docopt::value &option, const char *variable, const char *fallback)
{
    if (option) {
        return option.asString();
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
