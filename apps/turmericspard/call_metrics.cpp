#include "call_metrics.h"

#include <prometheus/text_serializer.h>

namespace turmericspar {

namespace {

/// Bounds of the histogram buckets in seconds, the unit of time in Prometheus.
const prometheus::Histogram::BucketBoundaries buckets{0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

prometheus::Family<prometheus::Histogram> &histogramFamily(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

double seconds(millis duration)
{
    return duration / oneSecond;
}

} // namespace

call_metrics::call_metrics()
    : m_outcomes(prometheus::BuildCounter().Name("turmericspar_calls_total").Help("Answers to callers, by outcome and reason").Register(m_registry))
    , m_latency(histogramFamily(m_registry, "turmericspar_call_seconds", "Time from a caller's request to its answer"))
    , m_queueTime(histogramFamily(m_registry, "turmericspar_queue_seconds", "Time that a call waited before the upstream"))
    , m_runTime(histogramFamily(m_registry, "turmericspar_upstream_seconds", "Time that a call spent at the upstream"))
    , m_addedTime(histogramFamily(m_registry, "turmericspar_added_seconds", "Time of a call at this node beside the upstream's"))
{
}

call_metrics::series &call_metrics::seriesFor(const std::string &service, int rank)
{
    auto &found = m_series[{service, rank}];
    if (!found.latency) {
        const prometheus::Labels labels{{"service", service}, {"rank", std::to_string(rank)}};
        found.latency = &m_latency.Add(labels, buckets);
        found.queueTime = &m_queueTime.Add(labels, buckets);
        found.runTime = &m_runTime.Add(labels, buckets);
        found.addedTime = &m_addedTime.Add(labels, buckets);
    }
    return found;
}

void call_metrics::countAnswer(const std::string &service, int rank, call_outcome outcome, refusal_reason reason, millis latency)
{
    auto &counted = seriesFor(service, rank);
    auto &counter = counted.outcomes[{outcome, reason}];
    if (!counter) {
        counter = &m_outcomes.Add({{"service", service},
                                   {"rank", std::to_string(rank)},
                                   {"outcome", std::string(outcomeNames.name(outcome))},
                                   {"reason", std::string(refusalNames.name(reason))}});
    }
    counter->Increment();
    counted.latency->Observe(seconds(latency));
}

void call_metrics::countUpstreamCall(const std::string &service, int rank, millis queueTime, millis runTime)
{
    auto &counted = seriesFor(service, rank);
    counted.queueTime->Observe(seconds(queueTime));
    counted.runTime->Observe(seconds(runTime));
}

void call_metrics::countAddedTime(const std::string &service, int rank, millis time)
{
    seriesFor(service, rank).addedTime->Observe(seconds(time));
}

void call_metrics::setGauge(const std::string &name, const std::string &help, double value)
{
    auto &slot = m_gauges[name];
    if (!slot) {
        slot = &prometheus::BuildGauge().Name(name).Help(help).Register(m_registry).Add({});
    }
    slot->Set(value);
}

std::string call_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace turmericspar
