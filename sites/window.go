package sites

import "math"

// window limits a gateway's attempts in flight at a site. The local window has no limit until answers arrive late; then
// its limit allows a queue that the local servers can still work off in time. A remote window takes only spare capacity,
// like a scavenger class of congestion control: it starts small and backs off at a queueing delay that clients of the
// remote site do not notice yet.
type window struct {
	local       bool
	limit       float64 // attempts in flight, for servers at full capacity; infinite until learned
	late        float64 // moving average of the share of late answers
	lateUpdated Seconds // when late was last updated
	cutAt       Seconds // when the limit was last cut
	lastUsed    Seconds // when an attempt was last sent under this window
	delayed     bool    // of a remote window: queueing delay was seen
}

// Limits of a window, in attempts in flight, and how they grow.
const (
	remoteStart       = 0.5  // attempts: lowest limit of a remote window at the first crossing
	remoteStartShare  = 0.1  // share of the local attempts in flight that it starts with if that is more
	remoteGrantExtra  = 2.0  // attempts added to the load that the local site lost capacity for
	idleReset         = 5.0  // s without a crossing after which a remote window starts anew
	minGrowthUsage    = 0.6  // share of the limit that must be in flight for timely answers to raise it
	localGrowth       = 2.0  // attempts added per limit's worth of answers; adding a share would keep gateways unequal
	remoteGrowth      = 0.5  // the same for a remote window; a limit below 1 grows by at most this per answer
	remoteStartGrowth = 0.5  // attempts added per answer until queueing delay is first seen
	localMinLimit     = 1.0  // attempts: lowest limit of the local window
	remoteMinLimit    = 0.02 // attempts: lowest limit of a remote window; below 1, single attempts are spaced out
)

// When an answer counts as late, and when late answers cut a window.
const (
	localLateShare         = 0.5  // share of the aim after which an answer of the local site is late
	remoteLateShare        = 0.13 // the same for a remote site, in addition to the server's time without queueing
	localLateWeight        = 0.03 // weight of an answer in the local average; two late answers by chance are no overload
	remoteLateWeight       = 0.06 // weight of an answer in a remote average, which receives fewer answers
	lateTimeConstant       = 6.0  // s after which an average without answers has fallen to 1/e
	localCutThreshold      = 0.15 // share of late answers above which the local window is cut
	remoteCutThreshold     = 0.15 // share of late answers above which a remote window is cut; a lossy link delays 1 in 20
	localCutFactor         = 0.85 // share of the limit that a cut of the local window leaves
	remoteCutFactor        = 0.75 // share of the limit that a cut of a remote window leaves
	localUncongestedShare  = 0.8  // share of localCutThreshold below which the local window is uncongested
	remoteUncongestedShare = 0.5  // share of remoteCutThreshold below which a remote window is uncongested
	minCutInterval         = 0.25 // s between cuts at least, so that the effect of one is visible before the next
)

func newWindow(local bool) window {
	if local {
		return window{local: true, limit: math.Inf(1)}
	}
	return window{limit: remoteStart}
}

// resetIfIdle resets a remote window before a crossing if it has been idle: what it learned is out of date by then.
func (w *window) resetIfIdle(now Seconds, localInFlight float64) {
	if start := max(remoteStart, remoteStartShare*localInFlight); !w.local && now-w.lastUsed > idleReset {
		w.limit, w.delayed, w.late = start, false, 0
	}
}

// recordAnswer records whether an answer was late. inFlight is the number of attempts in flight, typical the usual time
// of an answer.
func (w *window) recordAnswer(now Seconds, late bool, inFlight float64, typical Seconds) {
	sample := 0.0
	if late {
		sample = 1
	}
	weight, threshold, factor, minLimit := remoteLateWeight, remoteCutThreshold, remoteCutFactor, remoteMinLimit
	if w.local {
		weight, threshold, factor, minLimit = localLateWeight, localCutThreshold, localCutFactor, localMinLimit
	}
	// The average also decays with time, as a very small window gets hardly any answers to lower it.
	w.late *= math.Exp(-max(0, now-w.lateUpdated) / lateTimeConstant)
	w.lateUpdated = now
	w.late += (sample - w.late) * weight
	// Rounded down, as a limit of 1.7 allows only one attempt.
	inUse := inFlight+1 >= math.Floor(w.limit)*minGrowthUsage
	switch {
	case w.late > threshold && now-w.cutAt > max(minCutInterval, typical) && (inUse || math.IsInf(w.limit, 1)):
		// A local window that is not in use is not the cause of late answers: cutting it would only divert load.
		w.limit = max(minLimit, min(w.limit, inFlight+1)*factor)
		w.cutAt, w.delayed = now, true
	case late || math.IsInf(w.limit, 1) || !inUse || w.late > threshold:
	case !w.local && !w.delayed:
		w.limit += remoteStartGrowth // by half per round trip: there is no sign yet that the remote site is affected
	case !w.local:
		w.limit += remoteGrowth / max(1, w.limit)
	default:
		w.limit += localGrowth / w.limit
	}
}

// admits reports whether one more attempt may be in flight beside inFlight, within limit. Below a limit of 1, a remote
// window admits one attempt at a time, spaced so that on average no more than limit is in flight.
func (w *window) admits(now Seconds, inFlight int, limit float64, typical Seconds) bool {
	if limit >= 1 || w.local {
		return float64(inFlight)+1 <= max(1, limit)
	}
	return inFlight == 0 && now-w.lastUsed >= typical*(1/limit-1)
}

// uncongested reports that hardly any answers are late, so that attempts within the window need not be shed.
func (w *window) uncongested() bool {
	if w.local {
		return w.late < localCutThreshold*localUncongestedShare
	}
	return w.late < remoteCutThreshold*remoteUncongestedShare
}

// shrink scales the limit after a site lost servers, as it was learned with the former number.
func (w *window) shrink(factor float64) {
	if !math.IsInf(w.limit, 1) {
		w.limit = max(localMinLimit, w.limit*factor)
	}
}

// grant raises the limit of a remote window for load that the local site just lost capacity for.
func (w *window) grant(now Seconds, attempts float64) {
	if now-w.lastUsed > idleReset {
		w.delayed, w.late = false, 0
	}
	w.limit = max(w.limit, remoteGrantExtra+attempts)
	w.lastUsed = now
}
