package sites

import "math"

// Attempt is an attempt that is out, as Sent returned it; Ended takes it back.
type Attempt struct {
	Site   int
	seq    uint64
	class  int
	sent   Seconds
	server *server
	remote bool
}

// flights are a site's attempts out, oldest first: a ring that grows to the most there ever were.
type attemptRing struct {
	ring  []ringEntry
	first uint64 // sequence number of the oldest that is kept
	next  uint64 // and of the next to come
	count int

	avg   float64 // attempts out, averaged
	avgAt Seconds
}

// leg is one place of the ring.
type ringEntry struct {
	sent        Seconds
	class       int
	server      *server
	ended       bool
	countedLate bool // counted as late already
}

const averageTimeConstant = 0.5 // s over which attempts out are averaged

func (f *attemptRing) add(now Seconds, class int, s *server) uint64 {
	f.mean(now)
	if f.next-f.first == uint64(len(f.ring)) {
		ring := make([]ringEntry, max(16, 2*len(f.ring)))
		for i := f.first; i < f.next; i++ {
			ring[i%uint64(len(ring))] = f.ring[i%uint64(len(f.ring))]
		}
		f.ring = ring
	}
	*f.at(f.next) = ringEntry{sent: now, class: class, server: s}
	f.next++
	f.count++
	return f.next - 1
}

func (f *attemptRing) at(seq uint64) *ringEntry { return &f.ring[seq%uint64(len(f.ring))] }

// end books an attempt's end, and tells whether it was counted as late before.
func (f *attemptRing) end(now Seconds, seq uint64) (countedLate, ok bool) {
	if seq < f.first || seq >= f.next || f.at(seq).ended {
		return false, false
	}
	f.mean(now)
	entry := f.at(seq)
	entry.ended = true
	f.count--
	for f.first < f.next && f.at(f.first).ended {
		f.first++
	}
	return entry.countedLate, true
}

// oldest is when the oldest attempt out was sent, and whether there is one.
func (f *attemptRing) oldest() (Seconds, bool) {
	if f.first == f.next {
		return 0, false
	}
	return f.at(f.first).sent, true // the first that is kept has not ended
}

// mean is the number of attempts out, averaged over the last moments.
func (f *attemptRing) mean(now Seconds) float64 {
	k := math.Exp(-max(0, now-f.avgAt) / averageTimeConstant)
	f.avg, f.avgAt = f.avg*k+float64(f.count)*(1-k), now
	return f.avg
}
