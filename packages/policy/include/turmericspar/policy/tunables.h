/// @file tunables.h
/// Tuning parameters of load control, load balancing, silence detection and retries.
#pragma once

#include "turmericspar/base/clock.h"

namespace turmericspar {

/// Tuning parameters. The defaults are the values used for the measurements in docs/PERFORMANCE.md.
struct tunables
{
    // Concurrency limit of an upstream
    int limitAdaptive = 1; ///< 0 uses the announced slots as a fixed limit, for upstreams that announce them exactly
    double openConnectionsFactor = 1.25; ///< connections kept open, as a multiple of the limit; 0 opens connections on demand
    millis limitWindow{100}; ///< minimum time between two adjustments
    int limitSamples = 30; ///< answers between two adjustments; fewer for a small limit, where twice the limit is enough
    int limitSamplesMin = 6; ///< minimum number of answers between two adjustments
    double latencyTolerance = 1.1; ///< latency up to this multiple of the baseline is not considered queueing
    double noiseTolerance = 2; ///< additional tolerance, in standard errors of the mean latency of a window
    double limitDecrease = 0.9; ///< factor applied when the upstream refuses calls
    double limitDecreaseMax = 0.5; ///< smallest factor applied in one step when latency is high
    double idleTolerance = 1.3; ///< latency above this multiple of the tolerated one lowers the limit even if the limit is not reached
    double idleLimitMin = 8; ///< in that case the limit is not lowered below this value
    double limitIncrease = 0.05; ///< increase per step, as a share of the limit
    double baselineBlend = 0.1; ///< weight of a new latency in the baseline while the limit is not reached
    double baselineFall = 0.05; ///< weight of a new, lower latency in the baseline while the limit is reached
    double decreaseCheckShare = 0.7; ///< a decrease is evaluated once the limit is below this share of its initial value
    double decreaseLatencyShare = 0.85; ///< a decrease helped if the expected latency is at least this share of the measured one
    double coldStartShare = 1; ///< initial limit of a cold upstream, as a share of its slots
    double slowStartIncrease = 0.25; ///< increase per step until queueing is first detected, as a share of the limit

    // Queue in front of an upstream
    double queueShare = 0.5; ///< queue capacity, as a share of the limit
    int queueMin = 4; ///< minimum queue capacity
    double admittedQueueFactor = 2.0; ///< multiple of the queue capacity for calls of requests that were already admitted
    double serviceTimeMargin = 0.8; ///< a call is started only if at least this share of the average service time is left before its deadline

    // Pace of the calls to an upstream that states a rate limit
    millis paceBurst{500}; ///< requests of this time span may be started at once
    double paceBurstMin = 2; ///< minimum number of requests that may be started at once
    double paceMin = 0.5; ///< requests a second sent to an upstream that states a lower limit, so that its recovery is noticed
    millis paceWaitMax{300}; ///< a call that would have to wait longer for its turn is refused
    int startsBeforeAnswer = 4; ///< calls that run at once before the first answer of an upstream shows whether it states a limit

    // Concurrency window of a class whose requests make calls to other services (dependencies)
    double windowDecrease = 0.75; ///< factor applied when too many requests fail because of their calls
    double windowIncrease = 0.1; ///< increase as a share of the window, at least 1; spread over as many answers as the window is wide
    double windowOutageIncrease = 0.5; ///< the same after an outage, when the full capacity returns at once
    double windowOutageShare = 0.6; ///< share of failed requests above which the dependencies are considered unavailable rather than overloaded
    double windowFailureShare = 0.1; ///< share of failed requests, beyond the baseline share, above which the window is narrowed
    double windowBlend = 0.05; ///< weight of a new outcome in the averages
    double windowLowLoadShare = 0.4; ///< load up to this share of the peak width counts as low; outcomes at low load define the baseline of failures
    double windowPeakDecay = 0.95; ///< factor applied to the peak width with each decrease
    double windowBaselineMax = 0.3; ///< maximum baseline share of failures
    double windowBaselineTolerance = 1.5; ///< tolerated multiple of the baseline share: the average over the last twenty requests varies that much by chance
    double windowMin = 1; ///< minimum width
    double windowMinShare = 0.05; ///< minimum width, as a share of the upstream's limit
    double windowFullShare = 0.8; ///< utilization above which the window counts as full
    millis windowExpiry{3000}; ///< time after the last decrease after which a window that is not full is removed

    // Shed level
    millis levelWindow{50}; ///< time between two adjustments
    double levelHeadroom = 1.15; ///< arrivals to admit, as a multiple of the calls that are started
    double levelBusyShare = 0.9; ///< utilization of the limit above which an upstream counts as busy
    millis levelTimeConstant{300}; ///< time constant of the exponential decay of the arrival histogram
    double levelBlend = 0.6; ///< weight of a newly reported level in the average
    millis levelReportTtl{80}; ///< time for which a reported level holds without a new report

    // Detection of unresponsive connections to an upstream
    millis silenceTimeoutMin{300}; ///< minimum time before an unanswered call is considered overdue
    int silenceCancelsCalls = 1; ///< 0 lets calls on silent connections continue and only keeps other calls off such connections
    double silenceTimeoutFactor = 2; ///< the same time, as a multiple of the recent maximum response time
    double silenceResponseTimeDecay = 0.995; ///< factor applied to the recent maximum with each answer
    millis silenceCheckPeriod{20}; ///< time between two checks

    // Load balancing
    int candidatesOwn = 2; ///< upstreams of the own failure domain that are compared for a call
    int candidatesAll = 2; ///< upstreams of any failure domain that are compared for a call
    millis crossDomainRoundTrip{2}; ///< round-trip time to another failure domain
    double crossDomainFadeStart = 0.7; ///< load of the own failure domain, as a share of its limit, from which the next factor falls
    double crossDomainFadeEnd = 1.1; ///< load at which it is 1
    double crossDomainFactor = 1.2; ///< factor by which an upstream in another failure domain must be better, in addition to the round trip
    double latencyBlend = 0.1; ///< weight of a new latency in the average
    double successBlend = 0.1; ///< weight of a new outcome in the success rate
    double successFloor = 0.05; ///< minimum success rate used as a divisor
    millis refusalPenalty{100}; ///< time for which a refusal raises the cost of an upstream
    millis unreachablePenalty{1000}; ///< time for which an unreachable node is chosen only if there is no other
    int reroutes = 2; ///< number of times a call that was not run may be sent to another upstream
    int reroutesForRoom = 5; ///< the same for a call for which the rate limits of the upstreams left no room

    // Retries
    int retriesPerRequest = 3; ///< for a request and all calls made on its behalf
    double retryRatio = 0.1; ///< retries per first attempt, for each service
    double retryBurst = 10; ///< maximum accumulated retry budget for a service
    millis retryAfterMin{1000}; ///< minimum Retry-After sent to refused callers
    millis retryAfterSpread{4000}; ///< range of the random addition to Retry-After
};

} // namespace turmericspar
