/// @file main.cpp
/// scale: many nodes' control planes as real processes on loopback, at several sizes, with the slopes between them.
#include "fleet.h"
#include "operator_requests.h"
#include "standin_thread.h"
#include "turmericspar/base/command_line.h"
#include "turmericspar/base/http_call.h"
#include "turmericspar/base/secret.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace {

using namespace turmericspar;
using nlohmann::json;

constexpr const char *usage = R"(scale: measures the control plane at several numbers of nodes.

Usage:
  scale [--sizes=LIST] [--seconds=N] [--port=N]
  scale --help

Options:
  --sizes=LIST  Numbers of nodes. [default: 50,100,200,300]
  --seconds=N   Length of the quiet measurement. [default: 10]
  --port=N      First of the ports used on 127.0.0.1, four for each node. [default: 10000]
)";

constexpr int failureDomains = 6;
constexpr int upstreamsPerService = 30;
constexpr int burst = 10;
constexpr std::size_t sampledNodes = 10;
constexpr millis patience{5000};
constexpr double targetNodes = 1500;
constexpr auto joinTimeout = std::chrono::seconds(60);
constexpr auto pollPause = std::chrono::milliseconds(200);
/// After a start of all at once, the news of it goes round for a while.
constexpr auto newsWait = std::chrono::seconds(30);
constexpr auto effectWait = std::chrono::seconds(4);
constexpr auto deathWait = std::chrono::seconds(14);

/// The figures of one size.
struct scale_point
{
    double nodes = 0;
    double joinSeconds = 0;
    double cpuPercent = 0; ///< of a core, for a node
    double memoryMb = 0; ///< of the largest node
    double sentBytes = 0; ///< of gossip, a second, for a node
    double receivedBytes = 0;
    double storeCalls = 0; ///< a second, of all nodes
    double effectP99Ms = 0; ///< from the acceptance of a version to its being in force
    double effectMostMs = 0;
    double deathP99Ms = 0; ///< from the death of a node to its being known
    double deathMostMs = 0;
};

trace planOf(int count)
{
    trace plan;
    for (int i = 0; i < count; ++i) {
        trace_upstream upstream;
        upstream.domain = "domain-" + std::to_string(i % failureDomains);
        upstream.shape.service = "service-" + std::to_string(i / upstreamsPerService);
        upstream.shape.slots = 10;
        upstream.shape.connections = 20;
        plan.upstreams.push_back(std::move(upstream));
    }
    return plan;
}

/// @return the value of a metric of a node, or 0.
double metric(const node_addresses &node, const std::string &name)
{
    http_request request;
    request.target = "/metrics";
    const auto answer = callAndWait(node.operators, request, patience);
    const auto position = answer ? answer->body.find("\n" + name + " ") : std::string::npos;
    return position == std::string::npos ? 0 : std::strtod(answer->body.c_str() + position + name.size() + 2, nullptr);
}

double sum(const std::vector<node_addresses> &nodes, std::size_t count, const std::string &name)
{
    double total = 0;
    const std::size_t stride = std::max<std::size_t>(1, nodes.size() / count);
    for (std::size_t i = 0; i < nodes.size(); i += stride) {
        total += metric(nodes[i], name);
    }
    return total / std::ceil(static_cast<double>(nodes.size()) / static_cast<double>(stride));
}

/// @return the time of day of a log line in milliseconds.
double timeOf(const std::string &line)
{
    int hours = 0;
    int minutes = 0;
    double seconds = 0;
    std::sscanf(line.c_str(), "ts=%*4s-%*2s-%*2sT%d:%d:%lf", &hours, &minutes, &seconds);
    return ((hours * 60.0 + minutes) * 60.0 + seconds) * oneSecond.count;
}

/// @return the times at which a text first appears in each node's log.
std::vector<double> firstTimes(const fleet &nodes, const std::string &wanted)
{
    std::vector<double> times;
    for (std::size_t i = 0; i < nodes.nodes().size(); ++i) {
        std::ifstream file(nodes.logFile(i));
        std::string line;
        while (std::getline(file, line)) {
            if (line.find(wanted) != std::string::npos) {
                times.push_back(timeOf(line));
                break;
            }
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

double dayTime()
{
    constexpr double dayMs = 86'400'000;
    return std::fmod(wallNow().count, dayMs);
}

/// Waits until every sampled node sees all others.
bool waitForMembers(const std::vector<node_addresses> &nodes)
{
    const auto until = std::chrono::steady_clock::now() + joinTimeout;
    const std::size_t stride = std::max<std::size_t>(1, nodes.size() / sampledNodes);
    for (std::size_t i = 0; i < nodes.size(); i += stride) {
        while (metric(nodes[i], "turmericspar_members") < static_cast<double>(nodes.size())) {
            if (std::chrono::steady_clock::now() > until) {
                std::cerr << "scale: " << nodes[i].name << " sees " << metric(nodes[i], "turmericspar_members") << " members\n";
                return false;
            }
            std::this_thread::sleep_for(pollPause);
        }
    }
    return true;
}

/// Submits a burst of changes, one stated against the other.
/// @return when each was accepted, by time of day
std::vector<double> submitBurst(const node_addresses &node, const std::string &token)
{
    std::vector<double> accepted;
    for (int i = 0; i < burst; ++i) {
        const json submission{
            {"base", i}, {"patch", {{"retries_per_request", i % 5}}}, {"submission", std::to_string(i)}, {"author", "scale"}, {"reason", "burst"}};
        if (requestFromOperators(node, token, "POST", "/v1/config/patch", submission)) {
            accepted.push_back(dayTime());
        }
    }
    return accepted;
}

bool measure(int count, int seconds, int firstPort, scale_point &point)
{
    const auto plan = planOf(count);
    const endpoint platform{"127.0.0.1", static_cast<std::uint16_t>(firstPort - 1)};
    const auto daemon = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "turmericspard";
    fleet nodes(plan, {daemon, policy_mode::full, firstPort, platform, {}, "info"});
    standin_thread standins(plan, nodes.nodes(), platform);
    standins.start();
    point.nodes = count;

    // Step 1. All start at once and find each other
    const auto startedAt = monotonicNow();
    const auto started = nodes.start();
    const bool joined = started && waitForMembers(nodes.nodes());
    point.joinSeconds = (monotonicNow() - startedAt) / oneSecond;
    const auto key = shared_key::read(nodes.keyFile());
    if (!joined || !key) {
        standins.stop();
        return false;
    }
    std::this_thread::sleep_for(newsWait);

    // Step 2. A quiet time
    const auto &all = nodes.nodes();
    const double sentBefore = sum(all, sampledNodes, "turmericspar_gossip_bytes_sent");
    const double receivedBefore = sum(all, sampledNodes, "turmericspar_gossip_bytes_received");
    const double storeBefore = sum(all, all.size(), "turmericspar_store_calls") * count;
    const double cpuBefore = nodes.resources().first;
    const auto quietFrom = monotonicNow();
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    const double cpu = nodes.resources().first - cpuBefore;
    const double span = (monotonicNow() - quietFrom) / oneSecond;
    point.cpuPercent = cpu / span / count * 100;
    point.sentBytes = (sum(all, sampledNodes, "turmericspar_gossip_bytes_sent") - sentBefore) / span;
    point.receivedBytes = (sum(all, sampledNodes, "turmericspar_gossip_bytes_received") - receivedBefore) / span;
    point.storeCalls = (sum(all, all.size(), "turmericspar_store_calls") * count - storeBefore) / span;

    // Step 3. A burst of changes
    const auto accepted = submitBurst(all.front(), key->operatorToken());
    if (accepted.size() != burst) {
        std::cerr << "scale: " << accepted.size() << " changes were accepted\n";
        nodes.stop();
        standins.stop();
        return false;
    }
    std::this_thread::sleep_for(effectWait);
    std::vector<double> effects;
    const auto last = firstTimes(nodes, fmt::format("event=configuration_in_force version={}", burst));
    for (const auto time : last) {
        effects.push_back(std::max(0.0, time - accepted.back()));
    }
    point.effectP99Ms = last.size() == all.size() ? effects[effects.size() * 99 / 100] : -1;
    point.effectMostMs = last.size() == all.size() ? effects.back() : -1;

    // Step 4. The death of a node
    const std::size_t victim = all.size() / 2;
    const double diedAt = dayTime();
    nodes.killNode(victim);
    std::this_thread::sleep_for(deathWait);
    auto deaths = firstTimes(nodes, fmt::format("event=member_state peer={} name={} state=dead", all[victim].nodes.text(), all[victim].name));
    point.deathP99Ms = deaths.size() >= all.size() - 1 ? deaths[deaths.size() * 99 / 100] - diedAt : -1;
    point.deathMostMs = deaths.size() >= all.size() - 1 ? deaths.back() - diedAt : -1;
    point.memoryMb = nodes.resources().second;
    nodes.stop();
    standins.stop();
    return true;
}

/// The straight line through points, by least squares, and its value at the target size.
void printSlope(const std::vector<scale_point> &points, const std::string &name, double scale_point::*member, const std::string &unit)
{
    double meanX = 0;
    double meanY = 0;
    for (const auto &point : points) {
        meanX += point.nodes / static_cast<double>(points.size());
        meanY += point.*member / static_cast<double>(points.size());
    }
    double above = 0;
    double below = 0;
    for (const auto &point : points) {
        above += (point.nodes - meanX) * (point.*member - meanY);
        below += (point.nodes - meanX) * (point.nodes - meanX);
    }
    const double slope = below > 0 ? above / below : 0;
    fmt::print("slope measure={} per_100_nodes={:.4f} at_{:.0f}={:.3f} unit={}\n", name, slope * 100, targetNodes, meanY + slope * (targetNodes - meanX), unit);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto arguments = parseCommandLine(usage, argc, argv);
    std::vector<scale_point> points;
    std::istringstream sizes(arguments.at("--sizes").asString());
    std::string size;
    while (std::getline(sizes, size, ',')) {
        scale_point point;
        if (!measure(std::stoi(size),
                     static_cast<int>(integerOption(arguments.at("--seconds"), "--seconds")),
                     static_cast<int>(integerOption(arguments.at("--port"), "--port")),
                     point)) {
            std::cerr << "scale: " << size << " nodes did not settle\n";
            return 1;
        }
        fmt::print("nodes={:.0f} join_s={:.1f} cpu_percent={:.3f} memory_mb={:.1f} sent_bytes_s={:.0f} received_bytes_s={:.0f} store_calls_s={:.2f} "
                   "effect_p99_ms={:.0f} effect_most_ms={:.0f} death_p99_ms={:.0f} death_most_ms={:.0f}\n",
                   point.nodes,
                   point.joinSeconds,
                   point.cpuPercent,
                   point.memoryMb,
                   point.sentBytes,
                   point.receivedBytes,
                   point.storeCalls,
                   point.effectP99Ms,
                   point.effectMostMs,
                   point.deathP99Ms,
                   point.deathMostMs);
        std::cout << std::flush;
        points.push_back(point);
    }
    printSlope(points, "cpu", &scale_point::cpuPercent, "percent_of_a_core");
    printSlope(points, "memory", &scale_point::memoryMb, "MB");
    printSlope(points, "sent", &scale_point::sentBytes, "bytes_s");
    printSlope(points, "received", &scale_point::receivedBytes, "bytes_s");
    printSlope(points, "store_calls", &scale_point::storeCalls, "calls_s");
    printSlope(points, "time_to_effect_p99", &scale_point::effectP99Ms, "ms");
    printSlope(points, "time_to_know_a_death_p99", &scale_point::deathP99Ms, "ms");
    return 0;
}
