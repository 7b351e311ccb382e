#include "call_records.h"

#include <algorithm>

namespace turmericspar {

namespace {

constexpr std::size_t recordsMax = 4096;

} // namespace

void call_records::add(call_record record)
{
    if (record.side == call_side::entry) {
        auto &counts = m_counts[static_cast<std::size_t>(std::clamp(record.rank, 0, ranksMax - 1))];
        counts.ran += record.outcome == call_outcome::ran ? 1 : 0;
        counts.notRun += record.outcome == call_outcome::not_run ? 1 : 0;
        counts.unknown += record.outcome == call_outcome::unknown ? 1 : 0;
    }
    if (m_records.size() < recordsMax) {
        m_records.push_back(std::move(record));
        return;
    }
    m_records[m_next] = std::move(record);
    m_next = (m_next + 1) % recordsMax;
}

std::vector<call_record> call_records::find(const std::string &root) const
{
    std::vector<call_record> found;
    std::copy_if(m_records.begin(), m_records.end(), std::back_inserter(found), [&](const call_record &record) { return record.root == root; });
    std::stable_sort(found.begin(), found.end(), [](const call_record &left, const call_record &right) { return left.endedAt < right.endedAt; });
    return found;
}

} // namespace turmericspar
