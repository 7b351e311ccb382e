/// @file tunables.h
/// Every number that steers the decisions, in one place.
#pragma once

#include "turmericspar/base/clock.h"

namespace turmericspar {

/// The tunables of all decisions. The defaults are those that the figures in docs/PERFORMANCE.md were reached with.
struct tunables
{
    // Concurrency limit of an upstream
    int limitAdaptive = 1; ///< 0 keeps the announced slots as the limit, where the upstream states them exactly
    double connectionsAhead = 1.25; ///< connections kept open, as a multiple of the limit; 0 opens them when needed
    millis limitWindow{100}; ///< least time between two corrections
    int limitSamples = 30; ///< number of answers between two corrections, or two rounds of a small limit
    int limitSamplesLeast = 6; ///< least number of answers between two corrections
    double latencyTolerance = 1.1; ///< latency over its baseline that is not yet taken for queueing
    double noiseTolerance = 2; ///< standard errors of a window's latency that are not yet taken for queueing
    double limitDecrease = 0.9; ///< step down on a refusal by the upstream, as a factor
    double limitDecreaseMost = 0.5; ///< largest step down on latency, as a factor
    double idleTolerance = 1.3; ///< latency over the tolerated one that counts though the limit is not reached
    double idleLimitLeast = 8; ///< limit that such latency does not lower further
    double limitIncrease = 0.05; ///< step up, as a share of the limit
    double baselineBlend = 0.1; ///< how fast the baseline follows the latency while the limit is not reached
    double baselineFall = 0.05; ///< how fast it follows a lower latency while the limit is reached
    double descentShare = 0.7; ///< share of its start to which the limit falls before the fall is judged
    double descentRelief = 0.85; ///< share of the latency after a fall that fewer waiting calls must explain
    double coldStartShare = 1; ///< first limit of a cold upstream, as a share of its slots
    double slowStartIncrease = 0.25; ///< step up until the first sign of queueing

    // Queue before an upstream
    double queueShare = 0.5; ///< calls that may wait, as a share of the limit
    int queueLeast = 4; ///< calls that may always wait
    double admittedQueueFactor = 2.0; ///< how much longer the queue is for calls of requests already admitted
    double serviceTimeMargin = 0.8; ///< share of the usual service time that a deadline must leave for a call to be started

    // Window of a class whose requests make calls
    double windowDecrease = 0.75; ///< step down when calls fail below, as a factor
    double windowIncrease = 0.1; ///< step up, as a share of the window, 1 at least; spread over as many answers as the window is wide
    double windowReopen = 0.5; ///< the same after an outage: all the room is there at once
    double windowOutage = 0.6; ///< share of requests that fail below from which the services there are taken for gone rather than full
    double windowFailures = 0.1; ///< share of requests that fail below beyond the usual from which the window closes
    double windowBlend = 0.05; ///< weight of a new end of a request among those before
    double windowFewShare = 0.4; ///< share of the width from which it was closed up to which running requests count as few
    double windowPeakDecay = 0.95; ///< how much of that width remains with each step down
    double windowUsualMost = 0.3; ///< largest share of failures that is taken for usual
    double windowUsualTolerance = 1.5; ///< multiple of the usual share that is borne: the last twenty requests vary that much by chance
    double windowLeast = 1; ///< requests that may always run
    double windowLeastShare = 0.05; ///< the same, as a share of the upstream's limit
    double windowFullShare = 0.8; ///< use of the window from which it counts as full
    millis windowMemory{3000}; ///< time without a step down after which a window that is not full is given up

    // Shed level
    millis levelWindow{50}; ///< time between two corrections
    double levelHeadroom = 1.15; ///< arrivals that are let in, as a multiple of what is started
    double levelBusyShare = 0.9; ///< use of the limit from which an upstream counts as busy
    millis levelMemory{300}; ///< how long an arrival counts in the distribution of importance
    double levelBlend = 0.6; ///< weight of a new report of a level among those before
    millis levelReportLife{80}; ///< how long a told level stands without a new report

    // Silent connections to an upstream
    millis silenceLeast{300}; ///< shortest time after which an unanswered call is looked at
    int silenceCuts = 1; ///< 0 lets a call on a silent connection go on, and only keeps others off such connections
    double silenceFactor = 2; ///< the same, as a multiple of the longest of the usual times to an answer
    double silenceLongestDecay = 0.995; ///< how much of that longest time remains after each answer
    millis silenceLookPeriod{20}; ///< between two looks

    // Routing
    int candidatesOwn = 2; ///< upstreams of the own failure domain that are compared for a call
    int candidatesAll = 2; ///< upstreams of any failure domain that are compared for a call
    millis tripToOtherDomain{2}; ///< cost of a call to another failure domain and back
    double otherDomainFactor = 1.2; ///< how much better an upstream of another failure domain must be, beyond the trip
    double latencyBlend = 0.1; ///< weight of a new latency among those before
    double successBlend = 0.1; ///< weight of a new outcome among those before
    double successFloor = 0.05; ///< least success share used in a division
    millis refusalPenalty{100}; ///< how long a refusal makes an upstream look worse
    millis unreachablePenalty{1000}; ///< how long a node that was not reached comes after all others
    int reroutes = 2; ///< how often a call that was not run may be sent elsewhere

    // Retries
    int retriesPerRequest = 3; ///< over the whole chain
    double retryRatio = 0.1; ///< retries as a share of first attempts to a service
    double retryBurst = 10; ///< retries that may be saved up for a service
    millis retryAfterLeast{1000}; ///< shortest time after which a refused caller is told to come back
    millis retryAfterSpread{4000}; ///< spread over which refused callers are told to come back
};

} // namespace turmericspar
