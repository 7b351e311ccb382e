/// @file call_metrics.h
/// Counters and histograms of calls, by service and rank.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/policy/call.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <utility>

namespace turmericspar {

/// The metrics of one node.
class call_metrics
{
public:
    call_metrics();

    /// Counts an answer to a caller, and its latency.
    void countAnswer(const std::string &service, int rank, call_outcome outcome, refusal_reason reason, millis latency);
    /// Counts the times of a call that was started at the upstream of this node.
    /// @param queueTime time in the queue
    /// @param runTime time at the upstream
    void countUpstreamCall(const std::string &service, int rank, millis queueTime, millis runTime);
    /// Counts the latency that the nodes added to a call: its total time without the time at the upstream.
    void countAddedTime(const std::string &service, int rank, millis time);
    /// Sets a gauge of the node.
    void setGauge(const std::string &name, const std::string &help, double value);

    /// @return all metrics in the Prometheus text format.
    std::string text() const;

private:
    /// The time series of one service and rank, cached because looking one up in its family costs more than incrementing it.
    struct series
    {
        prometheus::Histogram *latency = nullptr;
        prometheus::Histogram *queueTime = nullptr;
        prometheus::Histogram *runTime = nullptr;
        prometheus::Histogram *addedTime = nullptr;
        std::map<std::pair<call_outcome, refusal_reason>, prometheus::Counter *> outcomes;
    };
    series &seriesFor(const std::string &service, int rank);

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_outcomes;
    prometheus::Family<prometheus::Histogram> &m_latency;
    prometheus::Family<prometheus::Histogram> &m_queueTime;
    prometheus::Family<prometheus::Histogram> &m_runTime;
    prometheus::Family<prometheus::Histogram> &m_addedTime;
    std::map<std::pair<std::string, int>, series> m_series;
    std::map<std::string, prometheus::Gauge *> m_gauges;
};

} // namespace turmericspar
