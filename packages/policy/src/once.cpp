#include "turmericspar/policy/once.h"

#include <algorithm>
#include <cctype>

namespace turmericspar {

namespace {

constexpr std::size_t uuidLength = 36;
constexpr std::size_t versionPosition = 14;
constexpr std::size_t timeDigits = 12;
constexpr std::size_t entryOverhead = 160; ///< memory of an entry in bytes, apart from its strings

} // namespace

std::optional<millis> keyTime(const std::string &key)
{
    if (key.size() != uuidLength || key[versionPosition] != '7') {
        return std::nullopt;
    }
    double time = 0;
    std::size_t digits = 0;
    for (std::size_t i = 0; i < uuidLength; ++i) {
        const bool isDash = i == 8 || i == 13 || i == 18 || i == 23;
        const char c = static_cast<char>(std::tolower(static_cast<unsigned char>(key[i])));
        if (isDash ? c != '-' : std::isxdigit(static_cast<unsigned char>(c)) == 0) {
            return std::nullopt;
        }
        if (!isDash && digits < timeDigits) {
            time = time * 16 + (c <= '9' ? c - '0' : c - 'a' + 10);
            ++digits;
        }
    }
    return millis{time};
}

once_table::once_table(const once_tunables &tuning, millis now) : m_tuning(tuning), m_memorySince(now) { }

/// @return whether a key that is not in the table was certainly never seen: the memory reaches back to before it was created.
/// @param untimedMemory how far back the memory must reach for a key without a plausible time
bool once_table::remembers(const std::string &key, millis untimedMemory, const clock_reading &at) const
{
    const millis memory = at.now - m_memorySince;
    const auto created = keyTime(key);
    const bool plausible = created && *created <= at.date + m_tuning.clockSkewMax;
    return memory >= (plausible ? at.date - *created + m_tuning.clockSkewMax : untimedMemory);
}

key_admission once_table::begin(const std::string &key, inquiry_id permit, const clock_reading &at)
{
    evict(at.now);
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        // With a permit the key must be blocked here: if it is absent, its entry was evicted.
        if (permit != 0 || !remembers(key, m_tuning.untimedKeyLatenessMax, at)) {
            return key_admission::no_memory;
        }
        add(key, state::running, 0, at.now);
        return key_admission::run;
    }
    auto &known = found->second;
    switch (known.status) {
    case state::running:
        return key_admission::running;
    case state::finished:
        return key_admission::finished;
    case state::blocked:
        break;
    }
    const bool permitted = permit != 0 && known.inquiry == permit && at.now - known.blockedAt < m_tuning.permitLifetime;
    if (!permitted) {
        return key_admission::blocked;
    }
    known.status = state::running;
    return key_admission::run;
}

void once_table::finish(const std::string &key, std::string answer, millis now)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.status != state::running) {
        return;
    }
    found->second.status = state::finished;
    m_bytes += answer.size();
    found->second.answer = std::move(answer);
    evict(now);
}

void once_table::withdraw(const std::string &key)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.status != state::running) {
        return;
    }
    if (found->second.inquiry != 0) {
        // The key stays blocked, and the permit can't be used again.
        found->second.status = state::blocked;
        found->second.inquiry = 0;
    } else {
        remove(key);
    }
}

key_finding once_table::inquire(const std::string &key, inquiry_id inquiry, const clock_reading &at)
{
    evict(at.now);
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        const bool known = remembers(key, m_tuning.keyRetention, at);
        add(key, state::blocked, known ? inquiry : 0, at.now);
        return known ? key_finding::clear : key_finding::no_memory;
    }
    auto &known = found->second;
    switch (known.status) {
    case state::running:
        return key_finding::running;
    case state::finished:
        return key_finding::finished;
    case state::blocked:
        break;
    }
    if (known.inquiry == inquiry) {
        return key_finding::clear;
    }
    // The key was blocked when the memory did not reach back to it: it stays in doubt while its entry is kept.
    if (known.inquiry == 0 && !remembers(key, m_tuning.keyRetention, at)) {
        return key_finding::no_memory;
    }
    if (known.inquiry != 0 && at.now - known.blockedAt < m_tuning.permitLifetime) {
        return key_finding::contested;
    }
    known.inquiry = inquiry;
    known.blockedAt = at.now;
    return key_finding::clear;
}

const std::string &once_table::answer(const std::string &key) const
{
    static const std::string none;
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? none : found->second.answer;
}

void once_table::clear(millis now)
{
    m_entries.clear();
    m_byAge.clear();
    m_bytes = 0;
    m_memorySince = now;
}

once_table::entry &once_table::add(const std::string &key, state status, inquiry_id inquiry, millis now)
{
    m_byAge.emplace(now, key);
    m_bytes += key.size() + entryOverhead;
    return m_entries.emplace(key, entry{status, inquiry, now, now, {}}).first->second;
}

/// Evicts the oldest keys while they are too old or the table is too large; the memory then reaches back to the last evicted one only.
void once_table::evict(millis now)
{
    while (!m_byAge.empty()) {
        const auto oldest = m_byAge.begin();
        const bool expired = now - oldest->first > m_tuning.keyRetention;
        if (!expired && m_bytes <= m_tuning.bytesMax) {
            return;
        }
        const auto key = oldest->second;
        m_memorySince = std::max(m_memorySince, oldest->first);
        m_byAge.erase(oldest);
        const auto found = m_entries.find(key);
        if (found != m_entries.end()) {
            m_bytes -= key.size() + entryOverhead + found->second.answer.size();
            m_entries.erase(found);
        }
    }
}

void once_table::remove(const std::string &key)
{
    const auto found = m_entries.find(key);
    const auto [first, last] = m_byAge.equal_range(found->second.addedAt);
    const auto byAge = std::find_if(first, last, [&](const auto &item) { return item.second == key; });
    if (byAge != last) {
        m_byAge.erase(byAge);
    }
    m_bytes -= key.size() + entryOverhead + found->second.answer.size();
    m_entries.erase(found);
}

once_inquiry::once_inquiry(std::set<node_id> nodes, bool unreachable) : m_nodes(std::move(nodes)), m_unreachable(unreachable) { }

std::vector<node_id> once_inquiry::takeUnaskedNodes()
{
    std::vector<node_id> unasked;
    std::set_difference(m_nodes.begin(), m_nodes.end(), m_asked.begin(), m_asked.end(), std::back_inserter(unasked));
    m_asked = m_nodes;
    return unasked;
}

void once_inquiry::recordAnswer(const node_id &node, key_finding finding, const std::vector<node_id> &others)
{
    m_answers[node] = finding;
    m_nodes.insert(others.begin(), others.end());
}

inquiry_verdict once_inquiry::verdict() const
{
    bool inDoubt = m_unreachable || m_nodes.empty();
    for (const auto &[node, finding] : m_answers) {
        switch (finding) {
        case key_finding::running:
            return inquiry_verdict::running;
        case key_finding::finished:
            return inquiry_verdict::finished;
        case key_finding::contested:
        case key_finding::no_memory:
            inDoubt = true;
            break;
        case key_finding::clear:
            break;
        }
    }
    if (m_answers.size() < m_nodes.size()) {
        return inquiry_verdict::waiting;
    }
    return inDoubt ? inquiry_verdict::in_doubt : inquiry_verdict::run;
}

} // namespace turmericspar
