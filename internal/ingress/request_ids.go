package ingress

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"junctionring/internal/core"
)

const (
	idRetention = time.Minute // for which an id is refused whose request may have run and brought no answer
	maxKeptIDs  = 4096        // the ids of the latest such requests
)

// requestIDs refuses a request whose id is in use, or whose request may have run without its client having got the
// answer. Every request has a new id, so a table server would take it for a copy of the first.
type requestIDs struct {
	mu   sync.Mutex
	open map[string]bool
	kept *lru.Cache[string, time.Time] // until when an id is refused
}

func newRequestIDs() *requestIDs {
	kept, err := lru.New[string, time.Time](maxKeptIDs)
	if err != nil { // only for a size that is not positive
		panic(err)
	}
	return &requestIDs{open: map[string]bool{}, kept: kept}
}

// begin reports whether a request may have this id. If so, the caller must call end.
func (r *requestIDs) begin(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until, ok := r.kept.Peek(id); ok && now.Before(until) || r.open[id] {
		return false
	}
	r.open[id] = true
	return true
}

// end records how the request with an id ended.
func (r *requestIDs) end(id string, now time.Time, a core.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	if a.MayHaveRun && a.Kind != core.Served {
		r.kept.Add(id, now.Add(idRetention))
	}
}
