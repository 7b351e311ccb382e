#include "once_guard.h"

#include "node.pb.h"

namespace turmericspar {

namespace {

/// Larger answers are not kept: a resend is then refused as a duplicate of a request that ran, without its answer.
constexpr std::size_t answerBytesMax = 64 * 1024;

} // namespace

once_guard::once_guard(event_loop &loop, node_id self, std::uint64_t seed, once_guard_transport transport)
    : m_loop(loop), m_self(std::move(self)), m_transport(std::move(transport)), m_table(m_tuning, monotonicNow()), m_random(seed)
{
}

void once_guard::onMemberChanged(const member &entry)
{
    if (!entry.service.empty()) {
        m_serviceOf[entry.node] = entry.service;
    }
    const auto service = m_serviceOf.find(entry.node);
    if (service == m_serviceOf.end()) {
        return;
    }
    auto &known = m_servingNodes[service->second][entry.node];
    if (known.changedAt.count == 0 || known.state != entry.state) {
        known.state = entry.state;
        known.changedAt = monotonicNow();
    }
}

std::vector<node_id> once_guard::knownNodes(const std::string &service) const
{
    std::vector<node_id> nodes;
    const auto found = m_servingNodes.find(service);
    if (found != m_servingNodes.end()) {
        for (const auto &[node, state] : found->second) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

void once_guard::check(const std::string &service, const std::string &key, check_handler handler)
{
    // Step 1. Collect the nodes that may have run the key. One that is dead, or left after the key was made, can't be asked
    const clock_reading clocks = readClocks();
    const auto made = keyTime(key);
    std::set<node_id> nodes;
    bool unreachable = false;
    auto &served = m_servingNodes[service];
    std::erase_if(served, [&](const auto &item) {
        const bool departed = item.second.state == member_state::dead || item.second.state == member_state::left;
        return departed && clocks.now - item.second.changedAt > m_tuning.keyRetention;
    });
    for (const auto &[node, known] : served) {
        if (known.state == member_state::left) {
            const bool leftBeforeKey = made && clocks.now - known.changedAt > clocks.date - *made + m_tuning.clockSkewMax;
            unreachable = unreachable || !leftBeforeKey;
        } else if (known.state == member_state::dead) {
            unreachable = true;
        } else {
            nodes.insert(node);
        }
    }

    // Step 2. Ask them
    const inquiry_id id = m_random() | 1;
    auto inquiry = std::make_unique<pending_inquiry>(pending_inquiry{service, key, once_inquiry(std::move(nodes), unreachable), std::move(handler), {}, {}});
    inquiry->timer = m_loop.after(m_tuning.inquiryTimeout, [this, id] { conclude(id, true); });
    m_pendingInquiries.emplace(id, std::move(inquiry));
    askRemaining(id);
}

void once_guard::askRemaining(inquiry_id id)
{
    auto &pending = *m_pendingInquiries.at(id);
    const auto nodes = pending.inquiry.takeUnaskedNodes();
    for (const auto &node : nodes) {
        if (node == m_self) {
            continue;
        }
        wire::OnceAsk ask;
        ask.set_inquiry(id);
        ask.set_key(pending.key);
        ask.set_service(pending.service);
        m_transport.sendAsk(node, ask);
    }
    if (std::find(nodes.begin(), nodes.end(), m_self) != nodes.end()) {
        const auto finding = m_table.inquire(pending.key, id, readClocks());
        addAnswer(id, m_self, finding, knownNodes(pending.service), m_table.answer(pending.key));
    } else {
        conclude(id, false);
    }
}

void once_guard::addAnswer(inquiry_id id, const node_id &from, key_finding finding, const std::vector<node_id> &others, const std::string &answer)
{
    auto &pending = *m_pendingInquiries.at(id);
    pending.inquiry.recordAnswer(from, finding, others);
    if (finding == key_finding::finished) {
        pending.answer = answer;
    }
    askRemaining(id);
}

/// Reports the verdict once it is certain; after the timeout, an uncertain one is reported as in doubt.
void once_guard::conclude(inquiry_id id, bool timedOut)
{
    const auto found = m_pendingInquiries.find(id);
    if (found == m_pendingInquiries.end()) {
        return;
    }
    auto verdict = found->second->inquiry.verdict();
    if (verdict == inquiry_verdict::waiting && !timedOut) {
        return;
    }
    if (verdict == inquiry_verdict::waiting) {
        verdict = inquiry_verdict::in_doubt;
    }
    const auto pending = std::move(found->second);
    m_pendingInquiries.erase(found);
    pending->handler({verdict, id, pending->answer});
}

void once_guard::onAsk(const connection_id &from, const wire::OnceAsk &ask)
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
    m_transport.sendAnswer(from, std::move(answer));
}

void once_guard::onAnswer(const node_id &from, const wire::OnceAnswer &answer)
{
    const bool valid = answer.finding() < keyFindingNames.names.size();
    if (!valid || !m_pendingInquiries.contains(answer.inquiry())) {
        return;
    }
    const std::vector<node_id> others(answer.nodes().begin(), answer.nodes().end());
    addAnswer(answer.inquiry(), from, static_cast<key_finding>(answer.finding()), others, answer.answer());
}

void once_guard::finish(const std::string &key, std::string answer)
{
    if (answer.size() > answerBytesMax) {
        answer.clear();
    }
    m_table.finish(key, std::move(answer), monotonicNow());
}

} // namespace turmericspar
