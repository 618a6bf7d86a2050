package egress

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	pathsKept    = 1024             // path templates of a site whose answers are counted
	countedFor   = 10 * time.Minute // that the count of a path is kept without a further answer
	distinctFrom = 8                // different answers of a path in a row, after which the next is expected to differ, too
)

// pathAnswers counts the answers to requests that are not safe, or can't be sent again, by path template: those of a path
// differ, or others have got the same. It is safe for use by several goroutines.
type pathAnswers struct {
	mu     sync.Mutex
	counts *simplelru.LRU[fingerprint, pathCount]
}

// pathCount is what is known of one path's answers.
type pathCount struct {
	distinct int // answers in a row that nobody else has got
	alike    int // answers that others have got
	latest   fingerprint
	last     time.Time // when latest came
}

func newPathAnswers() *pathAnswers {
	return &pathAnswers{counts: newLRU[pathCount](pathsKept)}
}

// note counts an answer to a request on a path.
func (p *pathAnswers) note(path, answer fingerprint, alike bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	count, _ := p.counts.Get(path)
	if now.Sub(count.last) > countedFor {
		count = pathCount{}
	}
	switch {
	case alike:
		count.distinct = 0
		count.alike++
	case !count.latest.is(answer): // else of a repeat, or too long ago to be known as alike
		count.distinct++
	}
	count.latest, count.last = answer, now
	p.counts.Add(path, count)
}

// mayShare tells whether a request on a path may go out on a connection that gave these answers: its own is expected to be
// one that no other request has got. After each alike answer it takes more different ones until it is. It never goes where
// the path's latest answer came from: should answers be alike from now on, the second then shows that, and is not lost.
func (p *pathAnswers) mayShare(path fingerprint, given []givenAnswer, now time.Time) bool {
	p.mu.Lock()
	count, known := p.counts.Peek(path)
	p.mu.Unlock()
	if !known || now.Sub(count.last) > countedFor {
		return false
	}
	wanted := distinctFrom
	if count.alike > 0 {
		wanted <<= min(1+count.alike, mostDoubled)
	}
	return count.distinct >= wanted && !slices.ContainsFunc(given, func(g givenAnswer) bool { return g.answer == count.latest })
}
