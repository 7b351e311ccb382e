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

/// Nodes that are asked at the same time.
constexpr std::size_t askedAtOnce = 16;
constexpr const char *clearScreen = "\x1b[H\x1b[2J";

/// A member of the deployment with its answer to a question.
struct member_answer
{
    json entry; ///< of the member table
    json body; ///< null if it did not answer
};

bool isLive(const json &entry)
{
    return entry["state"] == "alive" || entry["state"] == "suspect";
}

/// Asks every live member that the context's node knows.
result<std::vector<member_answer>> askMembers(const command_context &context, const std::string &target)
{
    const auto status = context.node.get("/v1/status");
    if (!status) {
        return status.error();
    }
    if (status->status != 200) {
        return failure{errc::rejected, "read members", "node", status->body.value("detail", status->body.dump())};
    }
    std::vector<member_answer> answers;
    for (const auto &entry : status->body["members"]) {
        answers.push_back({entry, {}});
    }
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t i = next++; i < answers.size(); i = next++) {
            const auto address = endpoint::parse(answers[i].entry.value("operators", ""));
            if (!address || !isLive(answers[i].entry)) {
                continue;
            }
            const auto answer = context.node.at(*address).get(target);
            if (answer && answer->status == 200) {
                answers[i].body = answer->body;
            }
        }
    };
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < std::min(askedAtOnce, answers.size()); ++i) {
        workers.emplace_back(work);
    }
    for (auto &worker : workers) {
        worker.join();
    }
    return answers;
}

/// What a rank got, summed over all nodes since their starts.
struct rank_sum
{
    double ran = 0;
    double notRun = 0;
    double unknown = 0;
};

/// The sums of one view.
struct fleet_sums
{
    struct domain_sum
    {
        int live = 0;
        int ready = 0;
        int unreached = 0;
        int gone = 0;
        int withoutStore = 0;
        std::map<std::uint64_t, int> versions;
    };
    struct service_sum
    {
        int ready = 0;
        int draining = 0;
        int running = 0;
        int waiting = 0;
        int limit = 0;
        double level = 0;
    };
    std::map<std::string, domain_sum> domains;
    std::map<std::string, service_sum> services;
    std::vector<std::string> rankNames;
    std::array<rank_sum, ranksMax> ranks{};
    double retries = 0;
    double silent = 0;
    int suspects = 0;
    steady_clock::time_point at = steady_clock::now();
};

void addLoad(const json &load, fleet_sums &sums)
{
    auto &service = sums.services[load["service"].get<std::string>()];
    const bool draining = load["draining"].get<bool>();
    service.ready += load["ready"].get<bool>() && !draining ? 1 : 0;
    service.draining += draining ? 1 : 0;
    service.running += load["running"].get<int>();
    service.waiting += load["waiting"].get<int>();
    service.limit += load["limit"].get<int>();
    service.level = std::max(service.level, load["shed_level"].get<double>());
    sums.retries += load["retries"].get<double>();
    sums.silent += load["silent_calls"].get<double>();
    sums.suspects = std::max(sums.suspects, load["suspects"].get<int>());
    if (load["rank_names"].size() > sums.rankNames.size()) {
        sums.rankNames = load["rank_names"].get<std::vector<std::string>>();
    }
    for (std::size_t i = 0; i < sums.ranks.size() && i < load["ranks"].size(); ++i) {
        const auto &counts = load["ranks"][i];
        sums.ranks[i].ran += counts["ran"].get<double>();
        sums.ranks[i].notRun += counts["not_run"].get<double>();
        sums.ranks[i].unknown += counts["unknown"].get<double>();
    }
}

fleet_sums sumUp(const std::vector<member_answer> &answers)
{
    fleet_sums sums;
    for (const auto &[entry, load] : answers) {
        auto &domain = sums.domains[entry["failure_domain"].get<std::string>()];
        if (!isLive(entry)) {
            domain.gone += entry["state"] == "dead" ? 1 : 0;
            continue;
        }
        ++domain.live;
        if (load.is_null()) {
            ++domain.unreached;
            continue;
        }
        domain.ready += load["ready"].get<bool>() ? 1 : 0;
        domain.withoutStore += load["store_watching"].get<bool>() && !load["store_reachable"].get<bool>() ? 1 : 0;
        ++domain.versions[load["version"].get<std::uint64_t>()];
        addLoad(load, sums);
    }
    return sums;
}

json toJson(const fleet_sums &sums)
{
    json view{{"failure_domains", json::object()}, {"services", json::object()}, {"ranks", json::array()}};
    for (const auto &[name, domain] : sums.domains) {
        json versions = json::object();
        for (const auto &[version, count] : domain.versions) {
            versions[std::to_string(version)] = count;
        }
        view["failure_domains"][name] = {{"live", domain.live},
                                         {"ready", domain.ready},
                                         {"not_reached", domain.unreached},
                                         {"dead", domain.gone},
                                         {"watchers_without_store", domain.withoutStore},
                                         {"versions", versions}};
    }
    for (const auto &[name, service] : sums.services) {
        view["services"][name] = {{"ready", service.ready},
                                  {"draining", service.draining},
                                  {"running", service.running},
                                  {"waiting", service.waiting},
                                  {"limit", service.limit},
                                  {"shed_level", service.level}};
    }
    for (std::size_t i = 0; i < sums.rankNames.size(); ++i) {
        view["ranks"].push_back(
            {{"rank", sums.rankNames[i]}, {"ran", sums.ranks[i].ran}, {"not_run", sums.ranks[i].notRun}, {"unknown", sums.ranks[i].unknown}});
    }
    view["retries"] = sums.retries;
    view["silent_calls"] = sums.silent;
    view["suspects"] = sums.suspects;
    return view;
}

std::string perSecond(double now, double before, double seconds)
{
    // A node that was restarted counts from zero again.
    return fmt::format("{:.1f}", std::max(0.0, now - before) / seconds);
}

void printDomains(const fleet_sums &sums)
{
    std::vector<std::vector<std::string>> rows{{"FAILURE DOMAIN", "LIVE", "READY", "NOT REACHED", "DEAD", "WATCHERS WITHOUT STORE", "VERSIONS IN FORCE"}};
    for (const auto &[name, domain] : sums.domains) {
        std::string versions;
        for (const auto &[version, count] : domain.versions) {
            versions += fmt::format("{}:{} ", version, count);
        }
        rows.push_back({name,
                        std::to_string(domain.live),
                        std::to_string(domain.ready),
                        std::to_string(domain.unreached),
                        std::to_string(domain.gone),
                        std::to_string(domain.withoutStore),
                        versions});
    }
    printTable(rows);
}

void printServices(const fleet_sums &sums)
{
    std::vector<std::vector<std::string>> rows{{"SERVICE", "READY", "DRAINING", "RUNNING", "WAITING", "LIMIT", "SHED LEVEL"}};
    for (const auto &[name, service] : sums.services) {
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

void printRanks(const fleet_sums &sums, const fleet_sums &before)
{
    const double seconds = std::max(0.001, std::chrono::duration<double>(sums.at - before.at).count());
    std::vector<std::vector<std::string>> rows{{"RANK", "ANSWERED/S", "REFUSED/S", "UNKNOWN/S"}};
    for (std::size_t i = 0; i < sums.rankNames.size(); ++i) {
        rows.push_back({sums.rankNames[i],
                        perSecond(sums.ranks[i].ran, before.ranks[i].ran, seconds),
                        perSecond(sums.ranks[i].notRun, before.ranks[i].notRun, seconds),
                        perSecond(sums.ranks[i].unknown, before.ranks[i].unknown, seconds)});
    }
    printTable(rows);
    std::cout << "retries/s " << perSecond(sums.retries, before.retries, seconds) << "  silent calls/s " << perSecond(sums.silent, before.silent, seconds)
              << "  suspects " << sums.suspects << '\n';
}

} // namespace

exit_code top(const command_context &context)
{
    const auto interval = std::chrono::milliseconds(std::max(1L, integerOption(context.arguments.at("--interval-ms"), "--interval-ms")));
    const bool once = context.flag("--once");
    auto answers = askMembers(context, "/v1/load");
    if (!answers) {
        return complain(answers.error().text());
    }
    auto before = sumUp(*answers);
    for (;;) {
        std::this_thread::sleep_for(interval);
        answers = askMembers(context, "/v1/load");
        if (!answers) {
            return complain(answers.error().text());
        }
        const auto sums = sumUp(*answers);
        if (context.asJson) {
            std::cout << toJson(sums).dump() << std::endl;
        } else {
            std::cout << (isatty(STDOUT_FILENO) != 0 && !once ? clearScreen : "");
            printDomains(sums);
            std::cout << '\n';
            printServices(sums);
            std::cout << '\n';
            printRanks(sums, before);
            std::cout << std::flush;
        }
        if (once) {
            return exit_code::done;
        }
        before = sums;
    }
}

exit_code explain(const command_context &context)
{
    const std::unique_ptr<char, decltype(&std::free)> request(evhttp_uriencode(context.text("REQUEST").c_str(), -1, 1), &std::free);
    const auto answers = askMembers(context, std::string("/v1/records?request=") + request.get());
    if (!answers) {
        return complain(answers.error().text());
    }
    json all = json::array();
    int unreached = 0;
    for (const auto &[entry, records] : *answers) {
        unreached += isLive(entry) && records.is_null() ? 1 : 0;
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
    if (unreached > 0) {
        std::cerr << "turmericsparctl: " << unreached << " live nodes did not answer\n";
    }
    return all.empty() ? complain("no node remembers this request") : exit_code::done;
}

} // namespace turmericspar
