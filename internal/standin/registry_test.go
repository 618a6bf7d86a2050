package standin

import (
	"bytes"
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A watch on which nothing changes sends an empty line every 2 s, however many others there are.
func TestRegistryBeatsOnceForEachWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const watches, beats = 50, 4
		r := &Registry{places: map[string]int{}, changed: make(chan struct{})}
		r.Put(Instance{ID: "a", Lifecycle: "SERVING"})
		ctx, cancel := context.WithCancel(t.Context())
		var ended sync.WaitGroup
		var answers []*httptest.ResponseRecorder
		for i := range watches {
			w := httptest.NewRecorder()
			answers = append(answers, w)
			ended.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond) // of the bubble's time: they come one after the other
				r.serve(w, httptest.NewRequest("GET", "/registry/instances?watch=1&from=0", nil).WithContext(ctx))
			})
		}
		time.Sleep(beats*2*time.Second + time.Second)
		cancel()
		ended.Wait()
		for i, w := range answers {
			if n := bytes.Count(w.Body.Bytes(), []byte("\n")) - 1; n != beats {
				t.Fatalf("watch %d of %d sent %d empty lines in %d s, want %d", i, watches, n, 2*beats+1, beats)
			}
		}
	})
}
