/// @file call_records.h
/// What became of the last calls of this node, so that an operator can ask why.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/policy/call.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace turmericspar {

/// The half of the path on which a call was seen.
enum class call_side { entry, serving };
inline constexpr name_table<call_side, 2> callSideNames{{"entry", "serving"}};

/// The end of one call at one node.
struct call_record
{
    std::string root; ///< the id of the whole request
    std::string service;
    std::string klass;
    std::string nodes; ///< where it was sent, one after another
    call_side side = call_side::entry;
    call_outcome outcome = call_outcome::unknown;
    refusal_reason reason = refusal_reason::none;
    int rank = 0;
    int depth = 0;
    int status = 0; ///< of the upstream's answer; 0 if there was none
    bool excess = false; ///< whether it was above the limit of its class
    double levelThen = 0; ///< the shed level when it ended
    millis endedAt; ///< by the wall clock
    millis waited{0}; ///< before it was started
    millis span{0}; ///< from its arrival here to its end
};

/// How many calls of a rank ended, by what their callers were told.
struct rank_counts
{
    std::uint64_t ran = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
};

/// A bounded number of records, the newest in place of the oldest, and counts by rank.
class call_records
{
public:
    /// Keeps a record, and counts it if it is one of the entry.
    void add(call_record record);

    /// @return the kept records of a request, in order of their ends.
    std::vector<call_record> find(const std::string &root) const;

    const std::array<rank_counts, ranksMax> &counts() const { return m_counts; }

private:
    std::vector<call_record> m_ring;
    std::size_t m_next = 0;
    std::array<rank_counts, ranksMax> m_counts{};
};

} // namespace turmericspar
