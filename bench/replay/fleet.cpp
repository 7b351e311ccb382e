#include "fleet.h"

#include "turmericspar/base/secret.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace turmericspar {

namespace {

constexpr int portsPerNode = 4;
constexpr const char *loopback = "127.0.0.1";
/// Advertised IP address of all nodes while a relay forwards between them.
constexpr const char *relayFront = "127.0.0.2";
constexpr std::size_t keyBytes = 32;
constexpr std::size_t seedsMax = 3;

endpoint portOf(int first, std::size_t index, int which)
{
    return {loopback, static_cast<std::uint16_t>(first + static_cast<int>(index) * portsPerNode + which)};
}

} // namespace

fleet::fleet(const trace &plan, fleet_options options) : m_plan(plan), m_options(std::move(options))
{
    std::map<std::string, int> counts;
    for (std::size_t i = 0; i < plan.upstreams.size(); ++i) {
        const auto &upstream = plan.upstreams[i];
        node_addresses node;
        node.name = fmt::format("{}-{}", upstream.shape.service, counts[upstream.shape.service]++);
        node.domain = upstream.domain;
        node.callers = portOf(m_options.firstPort, i, 0);
        node.upstream = portOf(m_options.firstPort, i, 1);
        node.operators = portOf(m_options.firstPort, i, 2);
        node.nodes = portOf(m_options.firstPort, i, 3);
        node.bound = node.nodes;
        if (plan.needsRelay()) {
            node.nodes.ip = relayFront;
            node.bound.ip = relayedIp(plan.domainNumber(node.domain));
        }
        m_nodes.push_back(std::move(node));
    }
    m_processes.assign(m_nodes.size(), 0);
}

fleet::~fleet()
{
    stop();
    if (!m_directory.empty() && !std::getenv("TURMERICSPAR_KEEP")) {
        std::error_code ignored;
        std::filesystem::remove_all(m_directory, ignored);
    }
}

/// @return the address of the platform's store for the nodes of a failure domain.
endpoint fleet::platformFor(const std::string &domain) const
{
    return m_plan.needsRelay() ? endpoint{relayedIp(m_plan.domainNumber(domain)), m_options.platform.port} : m_options.platform;
}

std::vector<relay_route> fleet::relayRoutes() const
{
    std::vector<relay_route> routes;
    if (!m_plan.needsRelay()) {
        return routes;
    }
    for (const auto &node : m_nodes) {
        routes.push_back({node.nodes, node.bound, m_plan.domainNumber(node.domain), -1, true});
    }
    const auto names = m_plan.domains();
    for (std::size_t i = 1; i < names.size(); ++i) {
        routes.push_back({platformFor(names[i]), m_options.platform, storeDomain, static_cast<domain_number>(i), false});
    }
    return routes;
}

std::string fleet::settingsText(std::size_t index) const
{
    const auto &node = m_nodes[index];
    std::string text = fmt::format("name: {}\nfailure_domain: {}\nlisten:\n  callers: {}\n  upstream: {}\n  operators: {}\n  nodes: {}\n  advertised: {}\n",
                                   node.name,
                                   node.domain,
                                   node.callers.text(),
                                   node.upstream.text(),
                                   node.operators.text(),
                                   node.bound.text(),
                                   node.nodes.text());
    text += fmt::format("platform:\n  address: {}\n  prefix: replay\nkeys: [{}]\nseeds:\n", platformFor(node.domain).text(), m_keyFile);
    for (std::size_t i = 0; i < std::min(seedsMax, m_nodes.size()); ++i) {
        text += fmt::format("  - {}\n", m_nodes[i].nodes.text());
    }
    text += fmt::format("policy: {}\nrandom_seed: {}\nlog:\n  level: {}\n  file: {}/{}.log\n",
                        policyModeNames.name(m_options.mode),
                        m_plan.seed * 1000 + index + 1,
                        m_options.logLevel,
                        m_directory,
                        node.name);
    if (m_options.shutdownWait) {
        text += fmt::format("shutdown_wait_ms: {:.0f}\n", m_options.shutdownWait->count);
    }
    if (!m_options.tunables.empty()) {
        text += "tunables:\n";
    }
    for (const auto &tunable : m_options.tunables) {
        const auto equals = tunable.find('=');
        text += fmt::format("  {}: {}\n", tunable.substr(0, equals), tunable.substr(equals + 1));
    }
    return text;
}

result<bool> fleet::writeFiles()
{
    std::string pattern = std::filesystem::temp_directory_path() / "turmericspar-replay-XXXXXX";
    if (!mkdtemp(pattern.data())) {
        return failure{{errno, std::system_category()}, "make directory", pattern, {}};
    }
    m_directory = pattern;
    m_keyFile = m_directory + "/deployment.key";
    std::ofstream(m_keyFile) << toHex(randomBytes(keyBytes)) << '\n';
    chmod(m_keyFile.c_str(), S_IRUSR | S_IWUSR);
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        std::ofstream(fmt::format("{}/{}.yaml", m_directory, m_nodes[i].name)) << settingsText(i);
    }
    return true;
}

result<bool> fleet::start()
{
    auto written = writeFiles();
    if (!written) {
        return written;
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        startNode(i);
    }
    return true;
}

void fleet::startNode(std::size_t index)
{
    const std::string settings = fmt::format("--settings={}/{}.yaml", m_directory, m_nodes[index].name);
    const pid_t child = fork();
    if (child == 0) {
        execl(m_options.daemonPath.c_str(), m_options.daemonPath.c_str(), settings.c_str(), static_cast<char *>(nullptr));
        _exit(127);
    }
    m_processes[index] = child;
}

void fleet::stopNode(std::size_t index)
{
    if (m_processes[index] > 0) {
        kill(m_processes[index], SIGCONT);
        kill(m_processes[index], SIGTERM);
    }
}

void fleet::killNode(std::size_t index)
{
    if (m_processes[index] > 0) {
        kill(m_processes[index], SIGKILL);
        waitpid(m_processes[index], nullptr, 0);
        m_processes[index] = 0;
    }
}

std::string fleet::logFile(std::size_t index) const
{
    return fmt::format("{}/{}.log", m_directory, m_nodes[index].name);
}

void fleet::pauseNode(std::size_t index, bool paused)
{
    if (m_processes[index] > 0) {
        kill(m_processes[index], paused ? SIGSTOP : SIGCONT);
    }
}

void fleet::stop()
{
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        stopNode(i);
    }
    for (auto &process : m_processes) {
        if (process > 0) {
            waitpid(process, nullptr, 0);
            process = 0;
        }
    }
}

std::pair<double, double> fleet::resources() const
{
    double seconds = 0;
    double memory = 0;
    const double tick = 1.0 / static_cast<double>(sysconf(_SC_CLK_TCK));
    const double page = static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
    for (const auto process : m_processes) {
        std::ifstream file(fmt::format("/proc/{}/stat", process));
        std::string text((std::istreambuf_iterator<char>(file)), {});
        const auto end = text.rfind(')');
        if (end == std::string::npos) {
            continue;
        }
        // The fields after the process name, from "state"; 11 and 12 are the times, 21 is the resident memory in pages.
        std::istringstream fields(text.substr(end + 2));
        std::vector<std::string> values{std::istream_iterator<std::string>(fields), {}};
        seconds += (std::stod(values[11]) + std::stod(values[12])) * tick;
        memory = std::max(memory, std::stod(values[21]) * page);
    }
    return {seconds, memory};
}

} // namespace turmericspar
