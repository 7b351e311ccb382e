/// @file suspects_model_test.cpp
/// All orders of events up to a depth, over the decisions of three nodes of a service with three requests: whatever is late or lost, a request that
/// crashes no upstream is never convicted, and one that does is convicted after few crashes.
#include "turmericspar/policy/suspect_gate.h"
#include "turmericspar/policy/suspects.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <unordered_set>

namespace {

using namespace turmericspar;

constexpr int nodeCount = 3;
constexpr request_digest requestCount = 3;
constexpr std::size_t callsMax = 2; ///< at a node at a time
constexpr std::size_t newsMax = 2; ///< on the way to a node
constexpr millis step{10};
constexpr millis decisionTime{60};

suspects_tunables tuning()
{
    suspects_tunables values;
    values.completedMax = 8;
    return values;
}

/// One node with its upstream.
struct model_node
{
    suspects table{tuning()};
    suspect_gate gate;
    std::map<call_id, request_digest> calls; ///< waiting or running
    std::map<call_id, millis> running;
    std::set<request_digest> givenUp; ///< by the node; the upstream may still run them
    std::map<call_id, millis> unseen; ///< broken by a crash, which the node has not seen yet
    std::map<request_digest, millis> completed;
    std::deque<suspicion> news;
};

enum class event_type { arrive, complete, give_up, crash, crash_unseen, see, deliver, lose, restart };

struct model_event
{
    event_type type;
    int node = 0;
    request_digest digest = 0;
    call_id call = 0;
};

struct model
{
    std::vector<model_node> nodes = std::vector<model_node>(nodeCount);
    std::set<request_digest> crashing;
    std::map<request_digest, suspicion> notes; ///< in the store
    std::map<request_digest, int> crashCount;
    millis now{1000};
    call_id nextCall = 1;

    void release(model_node &node)
    {
        const auto standingOf = [&](call_id id) { return node.table.standing(node.calls.at(id), now); };
        for (const auto id : node.gate.release(now, {node.table.quiet(now), !node.table.undecided()}, standingOf)) {
            if (node.table.level(node.calls.at(id), now) == suspicion_level::convicted) {
                end(node, id);
            } else {
                node.running[id] = now;
            }
        }
    }

    void end(model_node &node, call_id id)
    {
        node.gate.ended(id, now);
        node.calls.erase(id);
        node.running.erase(id);
    }

    void publish(model_node &from)
    {
        for (const auto &update : from.table.takeUpdates()) {
            if (update.level == suspicion_level::convicted) {
                notes[update.digest] = update;
            } else if (update.level == suspicion_level::none) {
                notes.erase(update.digest);
            }
            for (auto &node : nodes) {
                if (&node != &from) {
                    node.news.push_back(update);
                    if (node.news.size() > newsMax) {
                        node.news.pop_front();
                    }
                }
            }
        }
    }

    bool mayCrash(const model_node &node) const
    {
        const auto crashes = [&](request_digest digest) { return crashing.contains(digest); };
        return std::any_of(node.running.begin(), node.running.end(), [&](const auto &run) { return crashes(node.calls.at(run.first)); })
            || std::any_of(node.givenUp.begin(), node.givenUp.end(), crashes);
    }

    /// @param unseen a call whose connection is seen to break later; 0 if there is none
    void crash(model_node &node, call_id unseen)
    {
        for (const auto digest : node.givenUp) {
            crashCount[digest] += crashing.contains(digest) ? 1 : 0;
        }
        node.givenUp.clear();
        std::vector<request_digest> stillRunning;
        const auto broken = node.running;
        std::size_t left = broken.size();
        for (const auto &[id, startedAt] : broken) {
            const auto digest = node.calls.at(id);
            crashCount[digest] += crashing.contains(digest) ? 1 : 0;
            if (id == unseen) {
                stillRunning.push_back(digest);
                node.unseen[id] = startedAt;
                node.running.erase(id);
            } else {
                node.table.recordBrokenCall(digest, left, now, startedAt);
                end(node, id);
            }
            --left;
        }
        now += decisionTime;
        node.table.tick(now, false, stillRunning);
        publish(node);
    }

    void apply(const model_event &event)
    {
        auto &node = nodes[static_cast<std::size_t>(event.node)];
        now += step;
        switch (event.type) {
        case event_type::arrive: {
            const auto id = nextCall++;
            node.calls[id] = event.digest;
            const auto standing = node.table.standing(event.digest, now);
            if (standing == request_standing::convicted) {
                end(node, id);
            } else if (standing == request_standing::proven) {
                node.running[id] = now;
            } else {
                node.gate.enter(id);
            }
            break;
        }
        case event_type::complete:
            node.table.recordCompletedCall(node.calls.at(event.call), now);
            node.completed[node.calls.at(event.call)] = now;
            end(node, event.call);
            publish(node);
            break;
        case event_type::give_up:
            node.table.recordAbandonedCall(node.calls.at(event.call), now);
            node.givenUp.insert(node.calls.at(event.call));
            end(node, event.call);
            break;
        case event_type::crash:
        case event_type::crash_unseen:
            crash(node, event.call);
            break;
        case event_type::see:
            node.table.recordBrokenCall(node.calls.at(event.call), node.unseen.size(), now, node.unseen.at(event.call));
            node.unseen.erase(event.call);
            end(node, event.call);
            now += decisionTime;
            node.table.tick(now);
            publish(node);
            break;
        case event_type::deliver:
            node.table.merge(node.news.front(), now);
            node.news.pop_front();
            publish(node);
            break;
        case event_type::lose:
            node.news.pop_front();
            break;
        case event_type::restart:
            std::destroy_at(&node);
            std::construct_at(&node);
            for (const auto &[digest, note] : notes) {
                node.table.merge(note, now);
            }
            break;
        }
        release(node);
    }

    std::vector<model_event> events() const
    {
        std::vector<model_event> possible;
        for (int index = 0; index < nodeCount; ++index) {
            const auto &node = nodes[static_cast<std::size_t>(index)];
            for (request_digest digest = 1; digest <= requestCount && node.calls.size() < callsMax; ++digest) {
                possible.push_back({event_type::arrive, index, digest, 0});
            }
            for (const auto &[id, startedAt] : node.running) {
                if (!crashing.contains(node.calls.at(id))) {
                    possible.push_back({event_type::complete, index, 0, id});
                }
                possible.push_back({event_type::give_up, index, 0, id});
            }
            if (mayCrash(node)) {
                possible.push_back({event_type::crash, index, 0, 0});
                if (node.running.size() == 2) {
                    for (const auto &[id, startedAt] : node.running) {
                        possible.push_back({event_type::crash_unseen, index, 0, id});
                    }
                }
            }
            for (const auto &[id, startedAt] : node.unseen) {
                possible.push_back({event_type::see, index, 0, id});
            }
            if (!node.news.empty()) {
                possible.push_back({event_type::deliver, index, 0, 0});
                possible.push_back({event_type::lose, index, 0, 0});
            }
            if (!node.table.known().empty() || !node.completed.empty()) {
                possible.push_back({event_type::restart, index, 0, 0});
            }
        }
        return possible;
    }

    bool innocentConvicted() const
    {
        return std::any_of(nodes.begin(), nodes.end(), [&](const model_node &node) {
            for (request_digest digest = 1; digest <= requestCount; ++digest) {
                if (!crashing.contains(digest) && node.table.level(digest, now) == suspicion_level::convicted) {
                    return true;
                }
            }
            return false;
        });
    }

    /// @return what decides about all that may follow: times by their order alone, since nothing expires within the depth that is explored, and nodes
    /// in any order
    std::string key() const
    {
        std::set<double> times;
        const auto each = [&](auto &&use) {
            for (const auto &node : nodes) {
                for (const auto &entry : node.table.known()) {
                    use(entry.at);
                    use(entry.since);
                }
                for (const auto &entry : node.news) {
                    use(entry.at);
                    use(entry.since);
                }
                for (const auto &[digest, at] : node.completed) {
                    use(at);
                }
            }
            for (const auto &[digest, entry] : notes) {
                use(entry.at);
                use(entry.since);
            }
        };
        each([&](millis time) { times.insert(time.count); });
        const auto rank = [&](millis time) { return std::distance(times.begin(), times.find(time.count)); };
        const auto textOf = [&](const suspicion &entry) {
            std::ostringstream text;
            text << entry.digest << static_cast<int>(entry.level) << entry.crashes << entry.convictions << '.' << rank(entry.at) << '.' << rank(entry.since)
                 << ' ';
            return text.str();
        };
        std::vector<std::string> parts;
        for (const auto &node : nodes) {
            std::ostringstream text;
            std::set<std::string> entries;
            for (const auto &entry : node.table.known()) {
                entries.insert(textOf(entry));
            }
            for (const auto &entry : entries) {
                text << entry;
            }
            text << '|';
            for (const auto &[digest, at] : node.completed) {
                text << digest << '@' << rank(at) << (node.table.standing(digest, now) == request_standing::proven ? '+' : '-');
            }
            text << '|';
            std::multiset<std::string> calls;
            for (const auto &[id, digest] : node.calls) {
                calls.insert(std::to_string(digest) + (node.running.contains(id) ? "r" : (node.unseen.contains(id) ? "u" : "w")));
            }
            for (const auto &call : calls) {
                text << call;
            }
            text << '|' << node.gate.holding(now) << '|';
            for (const auto digest : node.givenUp) {
                text << digest;
            }
            text << '|';
            for (const auto &entry : node.news) {
                text << textOf(entry);
            }
            parts.push_back(text.str());
        }
        std::sort(parts.begin(), parts.end());
        std::string whole;
        for (const auto &part : parts) {
            whole += part + "/";
        }
        for (const auto &[digest, entry] : notes) {
            whole += textOf(entry);
        }
        return whole;
    }
};

/// Explores all orders of events breadth first.
/// @return the number of states
std::size_t explore(const std::set<request_digest> &crashing, int depth)
{
    std::unordered_set<std::string> seen;
    std::vector<model> states(1);
    states[0].crashing = crashing;
    for (int level = 0; level < depth; ++level) {
        std::vector<model> next;
        for (const auto &state : states) {
            for (const auto &event : state.events()) {
                auto following = state;
                following.apply(event);
                if (!seen.insert(following.key()).second) {
                    continue;
                }
                if (following.innocentConvicted()) {
                    ADD_FAILURE() << "an innocent request is convicted after " << level + 1 << " events, last " << static_cast<int>(event.type);
                    return seen.size();
                }
                next.push_back(std::move(following));
            }
        }
        states = std::move(next);
    }
    return seen.size();
}

TEST(suspects_model, a_request_that_crashes_nothing_is_never_convicted)
{
    // MODEL_DEPTH=8 takes half a minute.
    const char *chosen = std::getenv("MODEL_DEPTH");
    const int depth = chosen ? std::atoi(chosen) : 7;
    const auto one = explore({1}, depth);
    const auto two = explore({1, 2}, depth);
    std::cout << one << " and " << two << " states\n";
    EXPECT_GT(one, 1000U);
    EXPECT_GT(two, 1000U);
}

// Guards against a request that goes on crashing upstreams because there is always a request beside it of which nothing is known.
TEST(suspects_model, a_request_that_crashes_upstreams_is_convicted_though_others_always_run_beside_it)
{
    constexpr request_digest poison = 1;
    constexpr millis runTime{80};
    model world;
    world.crashing = {poison};
    auto &node = world.nodes[0];
    request_digest next = 100;
    int served = 0;
    for (int turn = 0; turn < 3000; ++turn) {
        if (turn % 50 == 49) {
            world.apply({event_type::arrive, 0, poison, 0});
        }
        world.apply({event_type::arrive, 0, next++, 0});
        if (world.mayCrash(node)) {
            world.apply({event_type::crash, 0, 0, 0});
        }
        const auto running = node.running;
        for (const auto &[id, startedAt] : running) {
            if (world.now - startedAt >= runTime) {
                world.apply({event_type::complete, 0, 0, id});
                ++served;
            }
        }
    }
    EXPECT_EQ(node.table.level(poison, world.now), suspicion_level::convicted);
    EXPECT_LE(world.crashCount[poison], 3);
    EXPECT_GE(served, 2800) << "the others are served meanwhile";
}

} // namespace
