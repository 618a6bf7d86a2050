package sites

import "math"

// window bounds a gateway's attempts out at a site. The near one is open until answers come late, and then
// holds a standing queue that the near servers can work off in time. A far one is a scavenger's: it starts
// small and backs off at a queueing delay that the far site's own clients do not feel yet.
type window struct {
	local       bool
	limit       float64 // attempts out; of warm servers. Infinite: not yet learned
	late        float64 // share of answers that come too late, averaged
	lateUpdated Seconds // when that was last moved
	cutAt       Seconds // last cut
	lastUsed    Seconds // last time an attempt was begun under it
	delayed     bool    // far: past its first sign of delay
}

// Limits of a window, in attempts out, and how they grow.
const (
	remoteStart       = 0.5  // attempts: a far window's limit at the first crossing, at the least
	remoteStartShare  = 0.1  // share of the near site's attempts out that it begins with, where that is more
	remoteGrantExtra  = 2.0  // attempts that a far window has beside those that the near site lost servers for
	idleReset         = 5.0  // s without a crossing after which what was learned of the far site is dropped
	growUsage         = 0.6  // share of a window that must be out for answers in time to let it grow
	localGrowth       = 2.0  // attempts added while as many answers come as the limit; a share of it would keep gateways unequal
	remoteGrowth      = 0.5  // the same of a far window; a limit below 1 grows by no more than this per answer
	remoteStartGrowth = 0.5  // attempts added per answer before the first sign of delay
	localMinLimit     = 1.0  // attempts: the least limit
	remoteMinLimit    = 0.02 // attempts: the least limit; below 1 one is out at a time, with rests between
)

// When an answer is late, and when late answers cut a window.
const (
	localLateShare         = 0.5  // share of the aim after which an answer of the near site is late
	remoteLateShare        = 0.13 // the same of a far site, beyond the server's time without a queue
	localLateWeight        = 0.03 // weight of an answer in the near average; two late ones by chance are no overload
	remoteLateWeight       = 0.06 // weight of an answer in a far average, which sees fewer
	lateTimeConstant       = 6.0  // s in which an average without answers falls to 1/e
	localCutThreshold      = 0.15 // share of late answers above which the near window is cut
	remoteCutThreshold     = 0.15 // share of late answers above which a far one is cut; a lossy link stalls one in twenty
	localCutFactor         = 0.85 // share of the limit that a cut of the near window leaves
	remoteCutFactor        = 0.75 // share of the limit that a cut of a far one leaves
	localUncongestedShare  = 0.8  // share of nearShare below which the near window has room for all
	remoteUncongestedShare = 0.5  // share of farMost below which a far one has
	minCutInterval         = 0.25 // s between cuts at the least, so that the effect of one shows before the next
)

func newWindow(local bool) window {
	if local {
		return window{local: true, limit: math.Inf(1)}
	}
	return window{limit: remoteStart}
}

// open prepares a far window for a crossing. Danger: after a while it tells of a site that is no more.
func (w *window) resetIfIdle(now Seconds, localInFlight float64) {
	if start := max(remoteStart, remoteStartShare*localInFlight); !w.local && now-w.lastUsed > idleReset {
		w.limit, w.delayed, w.late = start, false, 0
	}
}

// answer books whether an answer came late; out is how many are out, typical the time of one.
func (w *window) recordAnswer(now Seconds, late bool, inFlight float64, typical Seconds) {
	sample := 0.0
	if late {
		sample = 1
	}
	weight, threshold, factor, minLimit := remoteLateWeight, remoteCutThreshold, remoteCutFactor, remoteMinLimit
	if w.local {
		weight, threshold, factor, minLimit = localLateWeight, localCutThreshold, localCutFactor, localMinLimit
	}
	w.late *= math.Exp(-max(0, now-w.lateUpdated) / lateTimeConstant) // Danger: a window so small that next to nothing moves it
	w.lateUpdated = now
	w.late += (sample - w.late) * weight
	inUse := inFlight+1 >= math.Floor(w.limit)*growUsage // Danger: of 1.7 one is all that can be used
	switch {
	case w.late > threshold && now-w.cutAt > max(minCutInterval, typical) && (inUse || math.IsInf(w.limit, 1)):
		// Danger: a near window that is not used up is no cause of late answers; cut, it would only send away.
		w.limit = max(minLimit, min(w.limit, inFlight+1)*factor)
		w.cutAt, w.delayed = now, true
	case late || math.IsInf(w.limit, 1) || !inUse || w.late > threshold:
	case !w.local && !w.delayed:
		w.limit += remoteStartGrowth // half as much again with each round: nothing says yet that the far site feels it
	case !w.local:
		w.limit += remoteGrowth / max(1, w.limit)
	default:
		w.limit += localGrowth / w.limit
	}
}

// takes tells whether one more may be out beside out, within a limit of part of the window.
func (w *window) admits(now Seconds, inFlight int, limit float64, typical Seconds) bool {
	if limit >= 1 || w.local {
		return float64(inFlight)+1 <= max(1, limit)
	}
	return inFlight == 0 && now-w.lastUsed >= typical*(1/limit-1)
}

// calm tells that next to nothing comes late: what is within the window has room.
func (w *window) uncongested() bool {
	if w.local {
		return w.late < localCutThreshold*localUncongestedShare
	}
	return w.late < remoteCutThreshold*remoteUncongestedShare
}

// shrink follows a site's loss of servers: a limit that was learned is one for those that were there.
func (w *window) shrink(factor float64) {
	if !math.IsInf(w.limit, 1) {
		w.limit = max(localMinLimit, w.limit*factor)
	}
}

// grant opens a far window for work that the near site just lost.
func (w *window) grant(now Seconds, attempts float64) {
	if now-w.lastUsed > idleReset {
		w.delayed, w.late = false, 0
	}
	w.limit = max(w.limit, remoteGrantExtra+attempts)
	w.lastUsed = now
}
