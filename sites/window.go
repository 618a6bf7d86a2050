package sites

import "math"

// window bounds a gateway's attempts out at a site. The near one is open until answers come late, and then
// holds a standing queue that the near servers can work off in time. A far one is a scavenger's: it starts
// small and backs off at a queueing delay that the far site's own clients do not feel yet.
type window struct {
	near  bool
	limit float64 // attempts out; of warm servers. Infinite: not yet learned
	late  float64 // share of answers that come too late, averaged
	cutAt Seconds // last cut
	used  Seconds // last time an attempt was begun under it
	slow  bool    // far: past its first sign of delay
}

const (
	farStart   = 2.0  // attempts out over a link at the first crossing
	farShare   = 0.1  // or this share of those out at the near site
	idleFor    = 5.0  // s without a crossing after which the far site counts as not known
	inUse      = 0.6  // of a window: only then do good answers let it grow
	nearLate   = 0.4  // of its aim: an answer later than this is late at the near site
	farLate    = 0.2  // of its aim, past the time without a queue: late at a far site
	lateWeight = 0.08 // of an answer in the average
	nearShare  = 0.15 // of answers may be late before the near window is cut
	farMost    = 0.25 // the same of a far one: a lossy link stalls some
	nearCut    = 0.9
	farCut     = 0.75
	calmPart   = 0.5  // of the late answers at which a window is cut
	cutPause   = 0.25 // s between cuts at the least: their effect must show first
	growth     = 0.05 // of itself, beside one attempt, that a window grows by while it is turned over once
	nearLeast  = 1.0
	farLeast   = 1.0
)

func newWindow(near bool) window {
	if near {
		return window{near: true, limit: math.Inf(1)}
	}
	return window{limit: farStart}
}

// open prepares a far window for a crossing. Danger: after a while it tells of a site that is no more.
func (w *window) open(now Seconds, nearOut float64) {
	if start := max(farStart, farShare*nearOut); !w.near && now-w.used > idleFor {
		w.limit, w.slow, w.late = start, false, 0
	}
}

// answer books whether an answer came late; out is how many are out, typical the time of one.
func (w *window) answer(now Seconds, late bool, out float64, typical Seconds) {
	bad := 0.0
	if late {
		bad = 1
	}
	w.late += (bad - w.late) * lateWeight
	most, cut, least := farMost, farCut, farLeast
	if w.near {
		most, cut, least = nearShare, nearCut, nearLeast
	}
	switch {
	case w.late > most && now-w.cutAt > max(cutPause, typical):
		w.limit = max(least, min(w.limit, out+1)*cut)
		w.cutAt, w.slow = now, true
	case late || math.IsInf(w.limit, 1) || out+1 < w.limit*inUse || w.late > most:
	case !w.near && !w.slow:
		w.limit++ // doubled with each round: nothing says yet that the far site feels it
	default:
		w.limit += (1 + growth*w.limit) / w.limit
	}
}

// calm tells that next to nothing comes late: what is within the window has room.
func (w *window) calm() bool {
	if w.near {
		return w.late < nearShare*calmPart
	}
	return w.late < farMost*calmPart
}

// shrink follows a site's loss of servers: a limit that was learned is one for those that were there.
func (w *window) shrink(by float64) {
	if !math.IsInf(w.limit, 1) {
		w.limit = max(nearLeast, w.limit*by)
	}
}

// grant opens a far window for work that the near site just lost.
func (w *window) grant(now Seconds, attempts float64) {
	if now-w.used > idleFor {
		w.slow, w.late = false, 0
	}
	w.limit = max(w.limit, farStart+attempts)
	w.used = now
}
