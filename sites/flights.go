package sites

import "math"

// Attempt is an attempt in flight. Sent returns it, and Ended takes it when it ends.
type Attempt struct {
	Site   int
	seq    uint64
	class  int
	sent   Seconds
	server *server
	remote bool
}

// attemptRing is a ring buffer of a site's attempts in flight, oldest first. It grows to the highest number ever held.
type attemptRing struct {
	ring  []ringEntry
	first uint64 // sequence number of the oldest entry held
	next  uint64 // sequence number of the next entry
	count int    // attempts in flight

	avg   float64 // moving average of count
	avgAt Seconds
}

// ringEntry is one attempt in the ring.
type ringEntry struct {
	sent        Seconds
	class       int
	server      *server
	ended       bool
	countedLate bool // already counted as late
}

const averageTimeConstant = 0.5 // s, time constant of the average number of attempts in flight

func (r *attemptRing) add(now Seconds, class int, s *server) uint64 {
	r.mean(now)
	if r.next-r.first == uint64(len(r.ring)) {
		ring := make([]ringEntry, max(16, 2*len(r.ring)))
		for i := r.first; i < r.next; i++ {
			ring[i%uint64(len(ring))] = r.ring[i%uint64(len(r.ring))]
		}
		r.ring = ring
	}
	*r.at(r.next) = ringEntry{sent: now, class: class, server: s}
	r.next++
	r.count++
	return r.next - 1
}

func (r *attemptRing) at(seq uint64) *ringEntry { return &r.ring[seq%uint64(len(r.ring))] }

// end records the end of an attempt and returns whether the attempt was already counted as late. ok is false for an
// attempt that is not in flight.
func (r *attemptRing) end(now Seconds, seq uint64) (countedLate, ok bool) {
	if seq < r.first || seq >= r.next || r.at(seq).ended {
		return false, false
	}
	r.mean(now)
	entry := r.at(seq)
	entry.ended = true
	r.count--
	for r.first < r.next && r.at(r.first).ended {
		r.first++
	}
	return entry.countedLate, true
}

// oldest returns when the oldest attempt in flight was sent, and whether there is one.
func (r *attemptRing) oldest() (Seconds, bool) {
	if r.first == r.next {
		return 0, false
	}
	return r.at(r.first).sent, true // end drops ended entries from the front: the first one held is in flight
}

// mean returns the number of attempts in flight, averaged over the last half second or so.
func (r *attemptRing) mean(now Seconds) float64 {
	k := math.Exp(-max(0, now-r.avgAt) / averageTimeConstant)
	r.avg, r.avgAt = r.avg*k+float64(r.count)*(1-k), now
	return r.avg
}
