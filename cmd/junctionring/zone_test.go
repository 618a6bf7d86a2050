package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
)

const (
	lostPrefix   = "lost-"
	alwaysPrefix = "lost-always-" // every time that such a key reaches a server, the connection is reset
)

// hallServers are table servers in halls. The first time that a key which begins with lostPrefix reaches one of them,
// the move runs, and its connection is reset before the answer.
type hallServers struct {
	t       *testing.T
	mu      sync.Mutex
	reached map[string][]string // servers by key, in order
	perHall map[string]int      // moves that ran first in a hall
}

// newHallServers starts two servers in each hall, and returns the entries of a list that names them.
func newHallServers(t *testing.T, halls []string, entry func(id, address, hall string) string) (h *hallServers, entries []string) {
	h = &hallServers{t: t, reached: map[string][]string{}, perHall: map[string]int{}}
	for i := range 2 * len(halls) {
		id, hall := fmt.Sprintf("s-%d", i), halls[i/2]
		address := serveTable(t, func(w http.ResponseWriter, r *http.Request) { h.serve(w, r, id, hall) })
		entries = append(entries, entry(id, address, hall))
	}
	return h, entries
}

func (h *hallServers) serve(w http.ResponseWriter, r *http.Request, id, hall string) {
	key := r.Header.Get("Idempotency-Key")
	io.Copy(io.Discard, r.Body)
	h.mu.Lock()
	first := len(h.reached[key]) == 0
	h.reached[key] = append(h.reached[key], id+" in "+hall)
	if first {
		h.perHall[hall]++
	}
	h.mu.Unlock()
	if !strings.HasPrefix(key, lostPrefix) || !first && !strings.HasPrefix(key, alwaysPrefix) {
		io.WriteString(w, "e2e4")
		return
	}
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// serversOf is which servers a key has reached, in order.
func (h *hallServers) serversOf(key string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.reached[key])
}

// crossed returns what reached servers of more than one hall, and how many moves were sent on to another server.
func (h *hallServers) crossed(known bool) (crossed []string, sentOn int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, servers := range h.reached {
		for _, s := range servers[1:] {
			_, hall, _ := strings.Cut(s, " in ")
			_, firstHall, _ := strings.Cut(servers[0], " in ")
			if s != servers[0] {
				sentOn++
			}
			if hall != firstHall || !known && s != servers[0] {
				crossed = append(crossed, fmt.Sprintf("%s: %v", key, servers))
			}
		}
	}
	return crossed, sentOn
}

// listOf is a list in discovery's form.
func listOf(generation int, reset bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, generation, reset, strings.Join(entries, ","))
}

// operatorOfZones is an operator's file with a registry and a keyed class of a group.
func operatorOfZones(t *testing.T, registry, group, sites string) string {
	discovery := fmt.Sprintf("discovery = {address = %q}", registry)
	return write(t, "operator.toml", fmt.Sprintf(operatorText, newStore(t).Addr(), discovery, group, sites))
}

const operatorText = `listen = "127.0.0.1:0"
trusted_proxies = ["127.0.0.0/8"]
redis = {address = %q, timeout = "200ms"}
%s
class = [{name = "move-submit", aim = "1s", deadline = "4s", worth = 6.0, repeat = "keyed", window = "4s", group = %q}]
plan = [{name = "club", rate = 1000.0, burst = 1000.0, worth = 1.0}]
%s
`

// Guards against a keyed move that may have run in one hall and runs again in another, whose name the settings don't list.
func TestKeyedMoveStaysInItsHall(t *testing.T) {
	const oneSite = `site = [{name = "tables", here = true, zones = ["hall-a", "hall-b"]}]`
	named := func(id, address, hall string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"cell":1,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}`, id, address, hall)
	}
	noZone := func(id, address, hall string) string {
		return strings.Replace(named(id, address, hall), fmt.Sprintf(`"zone":%q,`, hall), "", 1)
	}
	noCell := func(id, address, hall string) string {
		return strings.Replace(named(id, address, hall), `"cell":1,`, "", 1)
	}
	whole := func(e []string) string { return listOf(41, true, e...) }
	for _, c := range []struct {
		name         string
		platformList bool // the platform's front; otherwise the operator's
		group, sites string
		entry        func(id, address, hall string) string
		lists        func(entries []string) string
		known        bool // the list says in which hall, or cell, a server is
	}{
		{"operator, no site", false, "zone", "", named, whole, true},
		{"operator, the second hall in a later list", false, "zone", "", named, func(e []string) string {
			return listOf(41, true, e[:2]...) + "\n" + listOf(42, false, e[2:]...)
		}, true},
		{"operator, told again", false, "zone", "", named, func(e []string) string {
			return whole(e) + "\n" + listOf(42, false, e[2:]...) + "\n" + listOf(43, true, e[2], e[3], e[0], e[1])
		}, true},
		{"operator, one site of two halls", false, "zone", oneSite, named, whole, true},
		{"operator, no halls told", false, "zone", "", noZone, whole, false},
		{"operator, cells", false, "cell", "", named, whole, true},
		{"operator, no cells told", false, "cell", "", noCell, whole, false},
		{"platform, halls not in Areas", true, "zone", "", named, whole, true},
		{"platform, cells of halls not in Areas", true, "cell", "", named, whole, true},
		{"platform, no halls told", true, "zone", "", noZone, whole, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h, entries := newHallServers(t, []string{"hall-a", "hall-b"}, c.entry)
			registry, release := silentAgent(t, c.lists(entries))
			release()
			var address string
			var headers []string
			if c.platformList {
				counter, _ := answeringCounter(t)
				text := strings.Replace(platform(registry, counter, listOf(1, true)), `"Group":"all"`, fmt.Sprintf(`"Group":%q`, c.group), 1)
				text = strings.Replace(text, `"Areas":["hall-a"]`, `"Areas":["hall-x"]`, 1)
				text = strings.Replace(text, `"PerSecond":50,"PeakUnits":50`, `"PerSecond":1000,"PeakUnits":1000`, 1)
				_, address = start(t, "--config", write(t, "config.json", text))
				headers = []string{"X-Plan", "club", "X-Timeout", "3000m", "Cookie", "account=0000000000000001", "X-Quota", "units=1,spread=1,first=0"}
			} else {
				_, address = start(t, "--operator", operatorOfZones(t, registry, c.group, c.sites))
				headers = []string{"X-Auth-Account", "ayumi", "X-Auth-Plan", "club"}
			}
			h.sendMoves("http://"+address+"/move-submit/1", headers)
			crossed, sentOn := h.crossed(c.known)
			if len(crossed) > 0 {
				t.Errorf("%d moves ran in one hall and were sent on to another: %v", len(crossed), crossed)
			}
			if c.known && sentOn == 0 {
				t.Error("no move was sent on to another server of its hall")
			}
		})
	}
}

// Guards against a client's own repeat of a move in doubt that runs in another hall than the first.
func TestRepeatOfAKeyInDoubtStaysInItsHall(t *testing.T) {
	h, targets := newHallServers(t, []string{"hall-a", "hall-b"}, func(id, address, hall string) string {
		return fmt.Sprintf("{id = %q, address = %q, zone = %d}", id, address, strings.Index("ab", hall[len("hall-"):]))
	})
	text := fmt.Sprintf(operatorText, newStore(t).Addr(), "", "zone", "target = ["+strings.Join(targets, ", ")+"]")
	_, address := start(t, "--operator", write(t, "operator.toml", text))
	const keys, repeats, answered = 12, 6, 8
	for key := range keys {
		for i := range repeats {
			name := fmt.Sprint(alwaysPrefix, key)
			status := <-ask(t, "http://"+address+"/move-submit/1", name, "X-Auth-Account", "ayumi", "X-Auth-Plan", "club")
			if reached := h.serversOf(name); len(reached) > 0 && status != http.StatusBadGateway {
				t.Errorf("key %d, repeat %d: answered %d, and may have run: %v", key, i, status, reached)
			}
			for n := range answered { // so that no server is ejected
				<-ask(t, "http://"+address+"/move-submit/1", fmt.Sprintf("k%d-%d-%d", key, i, n), "X-Auth-Account", "ayumi", "X-Auth-Plan", "club")
			}
		}
	}
	if crossed, sentOn := h.crossed(true); len(crossed) > 0 || sentOn == 0 {
		t.Errorf("%d moves reached two halls, %d were sent to a second server: %v", len(crossed), sentOn, crossed)
	}
}

// sendMoves sends moves, some at once, until each hall has run enough.
func (h *hallServers) sendMoves(url string, headers []string) {
	// Three failures in a row would eject a server, and then its hall gets too few: most moves are answered.
	const batches, batch, leastPerHall, lostOneIn = 60, 8, 20, 6
	for i := range batches {
		var answers []chan int
		for j := range batch {
			n := i*batch + j + 1
			key := fmt.Sprint("k", n)
			if n%lostOneIn == 0 {
				key = lostPrefix + key
			}
			answers = append(answers, ask(h.t, url, key, append([]string{"X-Request-ID", fmt.Sprintf("%016x", n)}, headers...)...))
		}
		for _, answer := range answers {
			<-answer
		}
		if h.leastInAHall() >= leastPerHall {
			return
		}
	}
	h.t.Errorf("of %d moves, by hall: %v", batches*batch, h.perHall)
}

// leastInAHall is how many moves the hall has run that has run the fewest.
func (h *hallServers) leastInAHall() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(h.perHall["hall-a"], h.perHall["hall-b"])
}
