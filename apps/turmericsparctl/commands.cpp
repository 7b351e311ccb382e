#include "commands.h"

#include "fleet_view.h"

#include "turmericspar/base/command_line.h"
#include "turmericspar/base/secret.h"
#include "turmericspar/policy/configuration.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <thread>

namespace turmericspar {

namespace {

using nlohmann::json;

constexpr std::size_t submissionBytes = 16;
constexpr auto watchInterval = std::chrono::milliseconds(200);
constexpr int resubmissionsMax = 5;
constexpr auto resubmitDelay = std::chrono::milliseconds(500);

/// Sends a GET request to the node and passes the body of a successful response to the printer.
template<class handler>
exit_code getAndPrint(const command_context &context, const std::string &target, handler print)
{
    const auto answer = context.node.get(target);
    if (!answer) {
        return printError(answer.error().text());
    }
    if (answer->status != 200) {
        return printError(answer->body.value("detail", answer->body.dump()));
    }
    if (context.asJson) {
        std::cout << answer->body.dump(2) << '\n';
        return exit_code::done;
    }
    print(answer->body);
    return exit_code::done;
}

result<json> readDocument(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return failure{errc::not_found, "read file", path, {}};
    }
    auto parsed = json::parse(file, nullptr, false);
    if (!parsed.is_object()) {
        return failure{errc::invalid_document, "read file", path, "expected a JSON object"};
    }
    return parsed;
}

void printDocumentErrors(const json &errors)
{
    for (const auto &error : errors) {
        std::cerr << "  " << error["path"].get<std::string>() << ": " << error["allowed"].get<std::string>() << '\n';
    }
}

/// Maps a verdict to its exit code.
struct verdict_code
{
    const char *verdict;
    exit_code code;
};
constexpr verdict_code verdictCodes[] = {{"accepted", exit_code::done},
                                         {"sound", exit_code::done},
                                         {"conflict", exit_code::conflict},
                                         {"invalid", exit_code::invalid},
                                         {"not-known", exit_code::unknown}};

exit_code codeFor(const std::string &verdict)
{
    for (const auto &known : verdictCodes) {
        if (verdict == known.verdict) {
            return known.code;
        }
    }
    return exit_code::failed;
}

exit_code showVerdict(const command_context &context, const json &body)
{
    const auto verdict = body.value("verdict", std::string("refused"));
    if (context.asJson) {
        std::cout << body.dump(2) << '\n';
    } else if (verdict == "accepted") {
        std::cout << "version " << body["version"] << " is accepted\n";
    } else if (verdict == "sound") {
        std::cout << "the patch is sound; its effect:\n" << body["difference"].dump(2) << '\n';
    } else {
        std::cerr << "turmericsparctl: " << verdict << ": the present version is " << body.value("version", 0) << '\n';
        printDocumentErrors(body.value("mistakes", json::array()));
    }
    return codeFor(verdict);
}

/// Submits a patch. If the outcome is unknown, the same submission is sent again; its id prevents it from being applied twice.
exit_code submit(const command_context &context, std::uint64_t base, const json &patch)
{
    const json submission{{"base", base},
                          {"patch", patch},
                          {"submission", context.text("--submission", toHex(randomBytes(submissionBytes)))},
                          {"author", context.text("--author", "operator")},
                          {"reason", context.text("--reason", "none given")},
                          {"dry_run", context.flag("--dry-run")}};
    for (int attempt = 0;; ++attempt) {
        const auto answer = context.node.post("/v1/config/patch", submission);
        const bool unknownOutcome = !answer || answer->status == 504;
        if (unknownOutcome && attempt < resubmissionsMax) {
            std::this_thread::sleep_for(resubmitDelay);
            continue;
        }
        if (!answer) {
            return printError(answer.error().text() + "; submission " + submission["submission"].get<std::string>(), exit_code::unknown);
        }
        if (!answer->body.contains("verdict")) {
            return printError(answer->body.value("detail", answer->body.dump()));
        }
        return showVerdict(context, answer->body);
    }
}

exit_code configCreate(const command_context &context)
{
    const auto document = readDocument(context.text("FILE"));
    if (!document) {
        return printError(document.error().text(), exit_code::usage);
    }
    return submit(context, 0, mergePatchBetween(initialDocument(), *document));
}

exit_code configPatch(const command_context &context)
{
    const auto patch = readDocument(context.text("FILE"));
    if (!patch) {
        return printError(patch.error().text(), exit_code::usage);
    }
    return submit(context, static_cast<std::uint64_t>(integerOption(context.arguments.at("--base"), "--base")), *patch);
}

exit_code configShow(const command_context &context)
{
    return getAndPrint(context, "/v1/config", [](const json &body) {
        std::cout << "version " << body["version"] << " (" << body["source"].get<std::string>() << ")\n" << body["document"].dump(2) << '\n';
    });
}

exit_code configHistory(const command_context &context)
{
    return getAndPrint(context, "/v1/config/history", [](const json &body) {
        std::vector<std::vector<std::string>> rows{{"VERSION", "TIME", "AUTHOR", "REASON", "PATCH"}};
        for (const auto &record : body) {
            rows.push_back({record["version"].dump(), record["time"], record["author"], record["reason"], record["patch"].dump()});
        }
        printTable(rows);
    });
}

/// Rebuilds the document of a version by applying all patches of the history in order.
std::optional<json> documentAt(const json &history, std::uint64_t version)
{
    json document = initialDocument();
    std::uint64_t current = 0;
    for (const auto &record : history) {
        if (record["version"] != current + 1 || current == version) {
            break;
        }
        document.merge_patch(record["patch"]);
        ++current;
    }
    return current == version ? std::optional<json>(document) : std::nullopt;
}

exit_code configDiff(const command_context &context)
{
    const auto answer = context.node.get("/v1/config/history");
    if (!answer) {
        return printError(answer.error().text());
    }
    const auto from = documentAt(answer->body, static_cast<std::uint64_t>(integerOption(context.arguments.at("FROM"), "FROM")));
    const auto to = documentAt(answer->body, static_cast<std::uint64_t>(integerOption(context.arguments.at("TO"), "TO")));
    if (!from || !to) {
        return printError("the node's history does not hold these versions", exit_code::usage);
    }
    const auto difference = mergePatchBetween(*from, *to);
    json changed = json::object();
    for (const auto &[key, value] : difference.items()) {
        if (!from->contains(key) || (*from)[key] != (to->contains(key) ? (*to)[key] : json())) {
            changed[key] = value;
        }
    }
    std::cout << changed.dump(2) << '\n';
    return exit_code::done;
}

/// Submits the document of an earlier version as a new version.
exit_code configRollback(const command_context &context)
{
    const auto history = context.node.get("/v1/config/history");
    const auto current = context.node.get("/v1/config");
    if (!history || !current) {
        return printError((history ? current : history).error().text());
    }
    const auto target = documentAt(history->body, static_cast<std::uint64_t>(integerOption(context.arguments.at("--to"), "--to")));
    if (!target) {
        return printError("the node's history does not reach back to this version", exit_code::usage);
    }
    return submit(context, current->body["version"].get<std::uint64_t>(), mergePatchBetween(current->body["document"], *target));
}

/// Shows the progress of a version until it is in force on every live node.
exit_code configWatch(const command_context &context)
{
    const auto version = context.text("--version");
    const auto timeout = std::chrono::milliseconds(integerOption(context.arguments.at("--wait-ms"), "--wait-ms"));
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    for (;;) {
        const auto answer = context.node.get("/v1/config/progress" + (version.empty() ? "" : "?version=" + version));
        if (!answer) {
            return printError(answer.error().text());
        }
        bool inForceEverywhere = true;
        std::vector<std::vector<std::string>> rows{{"FAILURE DOMAIN", "LIVE", "IN FORCE", "LAGGARDS"}};
        for (const auto &[name, domain] : answer->body["failure_domains"].items()) {
            inForceEverywhere = inForceEverywhere && domain["live"] == domain["in_force"];
            rows.push_back({name, domain["live"].dump(), domain["in_force"].dump(), domain["laggards"].dump()});
        }
        if (context.asJson) {
            std::cout << answer->body.dump() << '\n';
        } else {
            std::cout << "version " << answer->body["version"] << (inForceEverywhere ? ": in force everywhere" : ": being applied") << '\n';
            printTable(rows);
        }
        if (inForceEverywhere) {
            return exit_code::done;
        }
        if (std::chrono::steady_clock::now() > deadline) {
            return printError("not in force everywhere yet");
        }
        std::this_thread::sleep_for(watchInterval);
    }
}

exit_code status(const command_context &context)
{
    return getAndPrint(context, "/v1/status", [](const json &body) {
        std::vector<std::vector<std::string>> rows;
        for (const auto &[key, value] : body.items()) {
            if (key != "members") {
                rows.push_back({key, value.is_string() ? value.get<std::string>() : value.dump()});
            }
        }
        rows.push_back({"members", std::to_string(body["members"].size())});
        printTable(rows);
    });
}

exit_code upstreams(const command_context &context)
{
    return getAndPrint(context, "/v1/status", [](const json &body) {
        std::vector<std::vector<std::string>> rows{{"SERVICE", "NODE", "NAME", "FAILURE DOMAIN", "STATE", "READY", "VERSION"}};
        for (const auto &entry : body["members"]) {
            rows.push_back(
                {entry["service"], entry["node"], entry["name"], entry["failure_domain"], entry["state"], entry["ready"].dump(), entry["version"].dump()});
        }
        std::sort(rows.begin() + 1, rows.end());
        printTable(rows);
    });
}

exit_code drain(const command_context &context)
{
    const auto answer = context.node.post("/v1/drain", {{"draining", !context.flag("--undo")}});
    if (!answer) {
        return printError(answer.error().text());
    }
    std::cout << answer->body.dump() << '\n';
    return answer->status == 200 ? exit_code::done : exit_code::failed;
}

exit_code convictions(const command_context &context)
{
    const auto lifted = context.text("--lift");
    if (!lifted.empty()) {
        const auto answer = context.node.post("/v1/convictions/lift", {{"digest", lifted}});
        if (!answer) {
            return printError(answer.error().text());
        }
        std::cout << answer->body.dump() << '\n';
        return answer->status == 200 ? exit_code::done : exit_code::failed;
    }
    return getAndPrint(context, "/v1/convictions", [](const json &body) {
        std::vector<std::vector<std::string>> rows{{"DIGEST", "LEVEL", "CRASHES", "LAST MS AGO", "CONVICTIONS", "REFUSED FOR MS"}};
        for (const auto &entry : body) {
            const auto whole = [&](const char *key) { return std::to_string(static_cast<std::int64_t>(entry[key].get<double>())); };
            rows.push_back({entry["digest"], entry["level"], whole("crashes"), whole("last_crash_ms_ago"), whole("convictions"), whole("refused_for_ms")});
        }
        printTable(rows);
    });
}

/// A command and the function that runs it.
struct command_entry
{
    const char *group; ///< "" for a command without a group
    const char *name;
    exit_code (*run)(const command_context &);
};

constexpr command_entry commands[] = {{"config", "create", configCreate},
                                      {"config", "patch", configPatch},
                                      {"config", "show", configShow},
                                      {"config", "history", configHistory},
                                      {"config", "diff", configDiff},
                                      {"config", "rollback", configRollback},
                                      {"config", "watch", configWatch},
                                      {"", "status", status},
                                      {"", "upstreams", upstreams},
                                      {"", "drain", drain},
                                      {"", "convictions", convictions},
                                      {"", "top", top},
                                      {"", "explain", explain}};

} // namespace

exit_code runCommand(const command_arguments &arguments, const node_client &node)
{
    const command_context context{arguments, node, arguments.at("--json").asBool()};
    for (const auto &command : commands) {
        const bool groupMatches = command.group[0] == '\0' || context.flag(command.group);
        if (groupMatches && context.flag(command.name)) {
            return command.run(context);
        }
    }
    return printError("no such command", exit_code::usage);
}

} // namespace turmericspar
