#include "once_guard.h"

#include "node.pb.h"

namespace turmericspar {

namespace {

/// Answers that are larger are not kept: a resend is then told that the request ran, without its answer.
constexpr std::size_t keptAnswerBytes = 64 * 1024;

} // namespace

once_guard::once_guard(event_loop &loop, node_id self, std::uint64_t seed, once_guard_peers peers)
    : m_loop(loop), m_self(std::move(self)), m_peers(std::move(peers)), m_table(m_tuning, monotonicNow()), m_random(seed)
{
}

void once_guard::sawMember(const member &entry)
{
    if (!entry.service.empty()) {
        m_serviceOf[entry.node] = entry.service;
    }
    const auto service = m_serviceOf.find(entry.node);
    if (service == m_serviceOf.end()) {
        return;
    }
    auto &known = m_servedBy[service->second][entry.node];
    if (known.changedAt.count == 0 || known.state != entry.state) {
        known.state = entry.state;
        known.changedAt = monotonicNow();
    }
}

std::vector<node_id> once_guard::knownNodes(const std::string &service) const
{
    std::vector<node_id> nodes;
    const auto found = m_servedBy.find(service);
    if (found != m_servedBy.end()) {
        for (const auto &[node, state] : found->second) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

void once_guard::judge(const std::string &service, const std::string &key, ruling_handler done)
{
    // Step 1. Every node that may have run the key; one that is dead, or left later than the key was made, can't be asked
    const clock_reading at = readClocks();
    const auto made = keyTime(key);
    std::set<node_id> nodes;
    bool unreachable = false;
    auto &served = m_servedBy[service];
    std::erase_if(served, [&](const auto &item) {
        const bool gone = item.second.state == member_state::dead || item.second.state == member_state::left;
        return gone && at.now - item.second.changedAt > m_tuning.keyRetention;
    });
    for (const auto &[node, known] : served) {
        if (known.state == member_state::left) {
            const bool leftBefore = made && at.now - known.changedAt > at.date - *made + m_tuning.clockSkewMax;
            unreachable = unreachable || !leftBefore;
        } else if (known.state == member_state::dead) {
            unreachable = true;
        } else {
            nodes.insert(node);
        }
    }

    // Step 2. The questions
    const inquiry_id id = m_random() | 1;
    auto fresh = std::make_unique<open_inquiry>(open_inquiry{service, key, once_inquiry(std::move(nodes), unreachable), std::move(done), {}, {}});
    fresh->timer = m_loop.after(m_tuning.inquiryTimeout, [this, id] { settle(id, true); });
    m_inquiries.emplace(id, std::move(fresh));
    askMore(id);
}

void once_guard::askMore(inquiry_id id)
{
    auto &open = *m_inquiries.at(id);
    const auto fresh = open.inquiry.takeUnaskedNodes();
    for (const auto &node : fresh) {
        if (node == m_self) {
            continue;
        }
        wire::OnceAsk ask;
        ask.set_inquiry(id);
        ask.set_key(open.key);
        ask.set_service(open.service);
        m_peers.ask(node, ask);
    }
    if (std::find(fresh.begin(), fresh.end(), m_self) != fresh.end()) {
        const auto finding = m_table.inquire(open.key, id, readClocks());
        takeAnswer(id, m_self, finding, knownNodes(open.service), m_table.answer(open.key));
    } else {
        settle(id, false);
    }
}

void once_guard::takeAnswer(inquiry_id id, const node_id &from, key_finding finding, const std::vector<node_id> &others, const std::string &answer)
{
    auto &open = *m_inquiries.at(id);
    open.inquiry.recordAnswer(from, finding, others);
    if (finding == key_finding::finished) {
        open.answer = answer;
    }
    askMore(id);
}

/// Gives the ruling once it is clear, or when the time is up.
void once_guard::settle(inquiry_id id, bool timeIsUp)
{
    const auto found = m_inquiries.find(id);
    if (found == m_inquiries.end()) {
        return;
    }
    auto verdict = found->second->inquiry.verdict();
    if (verdict == inquiry_verdict::waiting && !timeIsUp) {
        return;
    }
    if (verdict == inquiry_verdict::waiting) {
        verdict = inquiry_verdict::in_doubt;
    }
    const auto open = std::move(found->second);
    m_inquiries.erase(found);
    open->done({verdict, id, open->answer});
}

void once_guard::asked(const connection_id &from, const wire::OnceAsk &ask)
{
    const auto finding = m_table.inquire(ask.key(), ask.inquiry(), readClocks());
    wire::OnceAnswer answer;
    answer.set_inquiry(ask.inquiry());
    answer.set_finding(static_cast<std::uint32_t>(finding));
    if (finding == key_finding::finished) {
        answer.set_answer(m_table.answer(ask.key()));
    }
    for (const auto &node : knownNodes(ask.service())) {
        answer.add_nodes(node);
    }
    m_peers.answer(from, std::move(answer));
}

void once_guard::answered(const node_id &from, const wire::OnceAnswer &answer)
{
    const bool sound = answer.finding() < keyFindingNames.names.size();
    if (!sound || !m_inquiries.contains(answer.inquiry())) {
        return;
    }
    const std::vector<node_id> others(answer.nodes().begin(), answer.nodes().end());
    takeAnswer(answer.inquiry(), from, static_cast<key_finding>(answer.finding()), others, answer.answer());
}

void once_guard::finish(const std::string &key, std::string answer)
{
    if (answer.size() > keptAnswerBytes) {
        answer.clear();
    }
    m_table.finish(key, std::move(answer), monotonicNow());
}

} // namespace turmericspar
