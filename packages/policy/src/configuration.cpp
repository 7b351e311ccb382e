#include "turmericspar/policy/configuration.h"

#include <algorithm>

namespace turmericspar {

namespace {

using nlohmann::json;

constexpr double limitPerSecondMax = 1e7;
constexpr double deadlineMaxMs = 3'600'000;
constexpr int retriesMax = 10;

/// Walks a document and notes what is wrong, with the place.
class document_checker
{
public:
    explicit document_checker(std::vector<document_mistake> &mistakes) : m_mistakes(mistakes) { }

    void mistake(const std::string &path, const std::string &allowed) { m_mistakes.push_back({path, allowed}); }

    /// Refuses members of an object that are not among the known ones.
    bool object(const json &value, const std::string &path, const std::vector<std::string> &known)
    {
        if (!value.is_object()) {
            mistake(path, "expected an object");
            return false;
        }
        for (const auto &[key, member] : value.items()) {
            if (std::find(known.begin(), known.end(), key) == known.end()) {
                std::string list;
                for (const auto &name : known) {
                    list += (list.empty() ? "" : ", ") + name;
                }
                mistake(path + "/" + key, "unknown member; known here: " + list);
            }
        }
        return true;
    }

    std::optional<double> number(const json &parent, const std::string &path, const std::string &key, double least, double most)
    {
        if (!parent.contains(key)) {
            return std::nullopt;
        }
        const auto &value = parent.at(key);
        if (!value.is_number() || value.get<double>() < least || value.get<double>() > most) {
            mistake(path + "/" + key, "expected a number from " + json(least).dump() + " to " + json(most).dump());
            return std::nullopt;
        }
        return value.get<double>();
    }

    std::optional<std::string> text(const json &parent, const std::string &path, const std::string &key)
    {
        if (!parent.contains(key)) {
            return std::nullopt;
        }
        if (!parent.at(key).is_string()) {
            mistake(path + "/" + key, "expected a text");
            return std::nullopt;
        }
        return parent.at(key).get<std::string>();
    }

private:
    std::vector<document_mistake> &m_mistakes;
};

void readRanks(const json &document, configuration &read, document_checker &check)
{
    if (!document.contains("ranks") || !document["ranks"].is_array() || document["ranks"].empty() || document["ranks"].size() > ranksMax) {
        check.mistake("/ranks", "expected a list of 1 to 8 names, the most important first");
        return;
    }
    for (const auto &rank : document["ranks"]) {
        const bool isNew = rank.is_string() && std::find(read.ranks.begin(), read.ranks.end(), rank.get<std::string>()) == read.ranks.end();
        if (!isNew) {
            check.mistake("/ranks", "expected names that differ");
            return;
        }
        read.ranks.push_back(rank.get<std::string>());
    }
}

void readClass(const std::string &name, const json &value, configuration &read, document_checker &check)
{
    const std::string path = "/classes/" + name;
    if (!check.object(value, path, {"rank", "limit_per_s", "deadline_ms"})) {
        return;
    }
    work_class made;
    const auto rank = check.text(value, path, "rank");
    const auto position = std::find(read.ranks.begin(), read.ranks.end(), rank.value_or(""));
    if (position == read.ranks.end()) {
        check.mistake(path + "/rank", "expected one of the names in /ranks");
    }
    made.rank = static_cast<int>(position - read.ranks.begin());
    made.limitPerSecond = check.number(value, path, "limit_per_s", 0, limitPerSecondMax);
    made.deadline = {check.number(value, path, "deadline_ms", 1, deadlineMaxMs).value_or(made.deadline.count)};
    read.classes[name] = made;
}

void readService(const std::string &name, const json &value, configuration &read, document_checker &check)
{
    const std::string path = "/services/" + name;
    if (!check.object(value, path, {"retries", "repeatable", "default_class"})) {
        return;
    }
    service_policy made;
    if (const auto retries = check.number(value, path, "retries", 0, retriesMax)) {
        made.retries = static_cast<int>(*retries);
    }
    if (value.contains("repeatable") && !value["repeatable"].is_boolean()) {
        check.mistake(path + "/repeatable", "expected true or false");
    } else {
        made.repeatable = value.value("repeatable", false);
    }
    made.defaultClass = check.text(value, path, "default_class");
    if (made.defaultClass && !read.classes.contains(*made.defaultClass)) {
        check.mistake(path + "/default_class", "expected one of the names in /classes");
    }
    read.services[name] = made;
}

} // namespace

const work_class *configuration::findClass(const std::string &named, const std::string &service, std::string &name) const
{
    name = named;
    if (name.empty()) {
        const auto declared = services.find(service);
        name = declared != services.end() ? declared->second.defaultClass.value_or(defaultClass) : defaultClass;
    }
    const auto found = classes.find(name);
    return found == classes.end() ? nullptr : &found->second;
}

configuration parseConfiguration(const json &document, std::vector<document_mistake> &mistakes)
{
    document_checker check(mistakes);
    configuration read;
    if (!check.object(document, "", {"ranks", "classes", "services", "default_class", "retries_per_request"})) {
        return read;
    }

    // Step 1. Ranks, to which the classes refer
    readRanks(document, read, check);

    // Step 2. Classes, to which the services refer
    if (!document.contains("classes") || !document["classes"].is_object() || document["classes"].empty()) {
        check.mistake("/classes", "expected an object with at least one class");
    } else {
        for (const auto &[name, value] : document["classes"].items()) {
            readClass(name, value, read, check);
        }
    }

    // Step 3. Services
    if (document.contains("services") && !document["services"].is_object()) {
        check.mistake("/services", "expected an object");
    } else if (document.contains("services")) {
        for (const auto &[name, value] : document["services"].items()) {
            readService(name, value, read, check);
        }
    }

    // Step 4. Defaults
    read.defaultClass = check.text(document, "", "default_class").value_or("");
    if (!read.classes.contains(read.defaultClass)) {
        check.mistake("/default_class", "expected one of the names in /classes");
    }
    read.retriesPerRequest = static_cast<int>(check.number(document, "", "retries_per_request", 0, retriesMax).value_or(read.retriesPerRequest));
    return read;
}

json mergePatchBetween(const json &from, const json &to)
{
    json patch = to;
    for (const auto &[key, value] : from.items()) {
        if (!to.contains(key)) {
            patch[key] = nullptr;
        } else if (value.is_object() && to[key].is_object()) {
            patch[key] = mergePatchBetween(value, to[key]);
        }
    }
    return patch;
}

json initialDocument()
{
    return {{"ranks", {"routine"}}, {"classes", {{"default", {{"rank", "routine"}}}}}, {"default_class", "default"}};
}

} // namespace turmericspar
