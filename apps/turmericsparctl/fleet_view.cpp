#include "fleet_view.h"

#include "turmericspar/base/command_line.h"
#include "turmericspar/policy/call.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <event2/http.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <iostream>
#include <memory>
#include <thread>
#include <unistd.h>

namespace turmericspar {

namespace {

using nlohmann::json;
using std::chrono::steady_clock;

/// Maximum number of nodes queried concurrently.
constexpr std::size_t concurrentQueriesMax = 16;
constexpr const char *clearScreen = "\x1b[H\x1b[2J";

/// A member of the deployment with its response to a query.
struct member_response
{
    json entry; ///< the member's entry in the member table
    json body; ///< null if the member did not respond
};

bool isLive(const json &entry)
{
    return entry["state"] == "alive" || entry["state"] == "suspect";
}

/// Queries every live member known to the context's node.
result<std::vector<member_response>> queryMembers(const command_context &context, const std::string &target)
{
    const auto status = context.node.get("/v1/status");
    if (!status) {
        return status.error();
    }
    if (status->status != 200) {
        return failure{errc::rejected, "read members", "node", status->body.value("detail", status->body.dump())};
    }
    std::vector<member_response> responses;
    for (const auto &entry : status->body["members"]) {
        responses.push_back({entry, {}});
    }
    std::atomic<std::size_t> next = 0;
    const auto queryNext = [&] {
        for (std::size_t i = next++; i < responses.size(); i = next++) {
            const auto address = endpoint::parse(responses[i].entry.value("operators", ""));
            if (!address || !isLive(responses[i].entry)) {
                continue;
            }
            const auto response = context.node.at(*address).get(target);
            if (response && response->status == 200) {
                responses[i].body = response->body;
            }
        }
    };
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < std::min(concurrentQueriesMax, responses.size()); ++i) {
        workers.emplace_back(queryNext);
    }
    for (auto &worker : workers) {
        worker.join();
    }
    return responses;
}

/// Call outcomes of a rank, summed over all nodes since their starts.
struct rank_totals
{
    double ran = 0;
    double notRun = 0;
    double unknown = 0;
};

/// Totals of one view.
struct fleet_totals
{
    struct domain_totals
    {
        int live = 0;
        int ready = 0;
        int notReached = 0;
        int dead = 0;
        int withoutStore = 0;
        std::map<std::uint64_t, int> versions;
    };
    struct service_totals
    {
        int ready = 0;
        int draining = 0;
        int running = 0;
        int waiting = 0;
        int limit = 0;
        double level = 0;
    };
    std::map<std::string, domain_totals> domains;
    std::map<std::string, service_totals> services;
    std::vector<std::string> rankNames;
    std::array<rank_totals, ranksMax> ranks{};
    double retries = 0;
    double silentCalls = 0;
    int suspects = 0;
    steady_clock::time_point sampledAt = steady_clock::now();
};

void addLoad(const json &load, fleet_totals &totals)
{
    auto &service = totals.services[load["service"].get<std::string>()];
    const bool draining = load["draining"].get<bool>();
    service.ready += load["ready"].get<bool>() && !draining ? 1 : 0;
    service.draining += draining ? 1 : 0;
    service.running += load["running"].get<int>();
    service.waiting += load["waiting"].get<int>();
    service.limit += load["limit"].get<int>();
    service.level = std::max(service.level, load["shed_level"].get<double>());
    totals.retries += load["retries"].get<double>();
    totals.silentCalls += load["silent_calls"].get<double>();
    totals.suspects = std::max(totals.suspects, load["suspects"].get<int>());
    if (load["rank_names"].size() > totals.rankNames.size()) {
        totals.rankNames = load["rank_names"].get<std::vector<std::string>>();
    }
    for (std::size_t i = 0; i < totals.ranks.size() && i < load["ranks"].size(); ++i) {
        const auto &counts = load["ranks"][i];
        totals.ranks[i].ran += counts["ran"].get<double>();
        totals.ranks[i].notRun += counts["not_run"].get<double>();
        totals.ranks[i].unknown += counts["unknown"].get<double>();
    }
}

fleet_totals aggregate(const std::vector<member_response> &responses)
{
    fleet_totals totals;
    for (const auto &[entry, load] : responses) {
        auto &domain = totals.domains[entry["failure_domain"].get<std::string>()];
        if (!isLive(entry)) {
            domain.dead += entry["state"] == "dead" ? 1 : 0;
            continue;
        }
        ++domain.live;
        if (load.is_null()) {
            ++domain.notReached;
            continue;
        }
        domain.ready += load["ready"].get<bool>() ? 1 : 0;
        domain.withoutStore += load["store_watching"].get<bool>() && !load["store_reachable"].get<bool>() ? 1 : 0;
        ++domain.versions[load["version"].get<std::uint64_t>()];
        addLoad(load, totals);
    }
    return totals;
}

json toJson(const fleet_totals &totals)
{
    json view{{"failure_domains", json::object()}, {"services", json::object()}, {"ranks", json::array()}};
    for (const auto &[name, domain] : totals.domains) {
        json versions = json::object();
        for (const auto &[version, count] : domain.versions) {
            versions[std::to_string(version)] = count;
        }
        view["failure_domains"][name] = {{"live", domain.live},
                                         {"ready", domain.ready},
                                         {"not_reached", domain.notReached},
                                         {"dead", domain.dead},
                                         {"watchers_without_store", domain.withoutStore},
                                         {"versions", versions}};
    }
    for (const auto &[name, service] : totals.services) {
        view["services"][name] = {{"ready", service.ready},
                                  {"draining", service.draining},
                                  {"running", service.running},
                                  {"waiting", service.waiting},
                                  {"limit", service.limit},
                                  {"shed_level", service.level}};
    }
    for (std::size_t i = 0; i < totals.rankNames.size(); ++i) {
        view["ranks"].push_back(
            {{"rank", totals.rankNames[i]}, {"ran", totals.ranks[i].ran}, {"not_run", totals.ranks[i].notRun}, {"unknown", totals.ranks[i].unknown}});
    }
    view["retries"] = totals.retries;
    view["silent_calls"] = totals.silentCalls;
    view["suspects"] = totals.suspects;
    return view;
}

std::string perSecond(double now, double before, double seconds)
{
    // The counters of a restarted node start at zero, so the difference may be negative.
    return fmt::format("{:.1f}", std::max(0.0, now - before) / seconds);
}

void printDomains(const fleet_totals &totals)
{
    std::vector<std::vector<std::string>> rows{{"FAILURE DOMAIN", "LIVE", "READY", "NOT REACHED", "DEAD", "WATCHERS WITHOUT STORE", "VERSIONS IN FORCE"}};
    for (const auto &[name, domain] : totals.domains) {
        std::string versions;
        for (const auto &[version, count] : domain.versions) {
            versions += fmt::format("{}:{} ", version, count);
        }
        rows.push_back({name,
                        std::to_string(domain.live),
                        std::to_string(domain.ready),
                        std::to_string(domain.notReached),
                        std::to_string(domain.dead),
                        std::to_string(domain.withoutStore),
                        versions});
    }
    printTable(rows);
}

void printServices(const fleet_totals &totals)
{
    std::vector<std::vector<std::string>> rows{{"SERVICE", "READY", "DRAINING", "RUNNING", "WAITING", "LIMIT", "SHED LEVEL"}};
    for (const auto &[name, service] : totals.services) {
        rows.push_back({name.empty() ? "(none)" : name,
                        std::to_string(service.ready),
                        std::to_string(service.draining),
                        std::to_string(service.running),
                        std::to_string(service.waiting),
                        std::to_string(service.limit),
                        fmt::format("{:.2f}", service.level)});
    }
    printTable(rows);
}

void printRanks(const fleet_totals &totals, const fleet_totals &before)
{
    const double seconds = std::max(0.001, std::chrono::duration<double>(totals.sampledAt - before.sampledAt).count());
    std::vector<std::vector<std::string>> rows{{"RANK", "ANSWERED/S", "REFUSED/S", "UNKNOWN/S"}};
    for (std::size_t i = 0; i < totals.rankNames.size(); ++i) {
        rows.push_back({totals.rankNames[i],
                        perSecond(totals.ranks[i].ran, before.ranks[i].ran, seconds),
                        perSecond(totals.ranks[i].notRun, before.ranks[i].notRun, seconds),
                        perSecond(totals.ranks[i].unknown, before.ranks[i].unknown, seconds)});
    }
    printTable(rows);
    std::cout << "retries/s " << perSecond(totals.retries, before.retries, seconds) << "  silent calls/s "
              << perSecond(totals.silentCalls, before.silentCalls, seconds) << "  suspects " << totals.suspects << '\n';
}

} // namespace

exit_code top(const command_context &context)
{
    const auto interval = std::chrono::milliseconds(std::max(1L, integerOption(context.arguments.at("--interval-ms"), "--interval-ms")));
    const bool once = context.flag("--once");
    auto responses = queryMembers(context, "/v1/load");
    if (!responses) {
        return printError(responses.error().text());
    }
    auto before = aggregate(*responses);
    for (;;) {
        std::this_thread::sleep_for(interval);
        responses = queryMembers(context, "/v1/load");
        if (!responses) {
            return printError(responses.error().text());
        }
        const auto totals = aggregate(*responses);
        if (context.asJson) {
            std::cout << toJson(totals).dump() << std::endl;
        } else {
            std::cout << (isatty(STDOUT_FILENO) != 0 && !once ? clearScreen : "");
            printDomains(totals);
            std::cout << '\n';
            printServices(totals);
            std::cout << '\n';
            printRanks(totals, before);
            std::cout << std::flush;
        }
        if (once) {
            return exit_code::done;
        }
        before = totals;
    }
}

exit_code explain(const command_context &context)
{
    const std::unique_ptr<char, decltype(&std::free)> request(evhttp_uriencode(context.text("REQUEST").c_str(), -1, 1), &std::free);
    const auto responses = queryMembers(context, std::string("/v1/records?request=") + request.get());
    if (!responses) {
        return printError(responses.error().text());
    }
    json all = json::array();
    int notReached = 0;
    for (const auto &[entry, records] : *responses) {
        notReached += isLive(entry) && records.is_null() ? 1 : 0;
        for (auto record : records.is_null() ? json::array() : records) {
            record["node"] = entry["name"];
            all.push_back(std::move(record));
        }
    }
    std::sort(all.begin(), all.end(), [](const json &left, const json &right) { return left["ended_at_ms"] < right["ended_at_ms"]; });
    if (context.asJson) {
        std::cout << all.dump(2) << '\n';
        return all.empty() ? exit_code::failed : exit_code::done;
    }
    std::vector<std::vector<std::string>> rows{
        {"ENDED", "NODE", "SIDE", "DEPTH", "SERVICE", "CLASS", "RANK", "OUTCOME", "REASON", "STATUS", "LEVEL", "WAITED", "TOOK", "SENT TO"}};
    for (const auto &record : all) {
        const auto ended = record["ended_at_ms"].get<double>();
        const auto second = static_cast<std::time_t>(ended / oneSecond.count);
        rows.push_back({fmt::format("{:%T}.{:03.0f}", fmt::gmtime(second), ended - static_cast<double>(second) * oneSecond.count),
                        record["node"],
                        record["side"],
                        record["depth"].dump(),
                        record["service"],
                        record["class"].get<std::string>() + (record["above_limit"].get<bool>() ? " (above its limit)" : ""),
                        record["rank"].dump(),
                        record["outcome"],
                        record["reason"],
                        record["status"].dump(),
                        fmt::format("{:.2f}", record["shed_level"].get<double>()),
                        fmt::format("{:.1f} ms", record["waited_ms"].get<double>()),
                        fmt::format("{:.1f} ms", record["span_ms"].get<double>()),
                        record["sent_to"]});
    }
    printTable(rows);
    if (notReached > 0) {
        std::cerr << "turmericsparctl: " << notReached << " live nodes did not answer\n";
    }
    return all.empty() ? printError("no node remembers this request") : exit_code::done;
}

} // namespace turmericspar
