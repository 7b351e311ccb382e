/// @file call_records.h
/// Records of the last calls that ended at this node, for operators who investigate a request.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/policy/call.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace turmericspar {

/// The side of the call path that a record describes.
enum class call_side { entry, serving };
inline constexpr name_table<call_side, 2> callSideNames{{"entry", "serving"}};

/// How one call ended at one node.
struct call_record
{
    std::string root; ///< id of the root request
    std::string service;
    std::string klass;
    std::string nodes; ///< the nodes to which it was sent, in order, separated by spaces
    call_side side = call_side::entry;
    call_outcome outcome = call_outcome::unknown;
    refusal_reason reason = refusal_reason::none;
    int rank = 0;
    int depth = 0;
    int status = 0; ///< status of the upstream's answer; 0 if there was none
    bool excess = false; ///< whether it was above the limit of its class
    double levelAtEnd = 0; ///< shed level when it ended
    millis endedAt; ///< wall clock time
    millis queueTime{0}; ///< from its arrival here to its start
    millis duration{0}; ///< from its arrival here to its end
};

/// Number of ended calls of one rank, by the outcome reported to their callers.
struct rank_counts
{
    std::uint64_t ran = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
};

/// A ring buffer of the latest records, and counts of outcomes by rank.
class call_records
{
public:
    /// Stores a record, and counts its outcome if it is of the entry side.
    void add(call_record record);

    /// @return the stored records of a root request, ordered by the time at which the calls ended.
    std::vector<call_record> find(const std::string &root) const;

    const std::array<rank_counts, ranksMax> &counts() const { return m_counts; }

private:
    std::vector<call_record> m_records;
    std::size_t m_next = 0;
    std::array<rank_counts, ranksMax> m_counts{};
};

} // namespace turmericspar
