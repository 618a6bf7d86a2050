// Package lab plays services on loopback for people: it starts stand-ins and real gateway processes, offers
// them a load, makes the failures of a play, and measures what clients saw. It owns no decision of a gateway
// and is not part of one. Every run is bounded in time and count, and talks to 127.0.0.0/8 only.
package lab

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Class is a class of requests as clients send them.
type Class struct {
	Name           string
	Share          float64 // of all requests
	Aim, Deadline  time.Duration
	Method         string
	Least, Most    time.Duration // of work, on a core at speed 1
	Worth          float64
	carriesMoveKey bool
}

// Classes are the two that the operators have.
var Classes = []Class{
	{Name: "table-view", Share: 0.66, Aim: 2 * time.Second, Deadline: 7500 * time.Millisecond, Method: http.MethodGet,
		Least: 130 * time.Millisecond, Most: 230 * time.Millisecond, Worth: 2},
	{Name: "move-submit", Share: 0.34, Aim: time.Second, Deadline: 4 * time.Second, Method: http.MethodPost,
		Least: 79 * time.Millisecond, Most: 140 * time.Millisecond, Worth: 6, carriesMoveKey: true},
}

// meanWork is the work of a middling request, in seconds of a core at speed 1.
func meanWork() (s float64) {
	for _, c := range Classes {
		s += c.Share * (c.Least + c.Most).Seconds() / 2
	}
	return s
}

// Load is an open-loop load: requests are sent at their times, whatever became of those before.
type Load struct {
	Name     string
	Gateways []string  // addresses, on loopback
	Weights  []float64 // by gateway: its part of the load; none: all alike
	Rate     float64   // requests a second, Poisson
	For      time.Duration
	Accounts int
	Plan     string
	Most     int       // requests, at the most
	Begun    time.Time // set by Run: what samples' times count from
	Seed     uint64
}

// Sample is one request as its client saw it. Times are from the load's start; Took is from the time at which
// it was to be sent, so that a stalled sender hides nothing.
type Sample struct {
	At, Took time.Duration
	Class    int
	Status   int    // 0: no answer, or not a whole one
	Server   string // that served it
	Gateway  string // that was asked
	Key      string
}

// InTime tells whether a sample was served within its aim.
func (s Sample) InTime() bool { return s.Status == http.StatusOK && s.Took <= Classes[s.Class].Aim }

// loopback refuses an address that is not on this machine.
func loopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is not a loopback address", address)
	}
	return nil
}

// Run offers the load and returns every sample, in the order sent. done counts those that have ended.
func (l *Load) Run(ctx context.Context, done *atomic.Int64) ([]Sample, error) {
	for _, g := range l.Gateways {
		if err := loopback(g); err != nil {
			return nil, err
		}
	}
	if l.Rate <= 0 || len(l.Gateways) == 0 {
		return nil, fmt.Errorf("load %s: no rate, or nobody to ask", l.Name)
	}
	if l.Most <= 0 {
		l.Most = 1_000_000
	}
	rng := rand.New(rand.NewPCG(l.Seed, 0x2545f4914f6cdd1d))
	var sums []float64
	for i, w := range l.Weights {
		if sums = append(sums, w); i > 0 {
			sums[i] += sums[i-1]
		}
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 30 * time.Second}}
	defer client.CloseIdleConnections()
	var samples []*Sample
	var out sync.WaitGroup
	start, at := time.Now(), time.Duration(0)
	l.Begun = start
	for n := 0; n < l.Most; n++ {
		at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
		if at > l.For {
			break
		}
		wait := time.NewTimer(time.Until(start.Add(at)))
		select {
		case <-ctx.Done():
			wait.Stop()
			out.Wait()
			return values(samples), ctx.Err()
		case <-wait.C:
		}
		s := &Sample{At: at, Class: pick(rng.Float64())}
		c := &Classes[s.Class]
		if c.carriesMoveKey {
			s.Key = fmt.Sprintf("%s-%d", l.Name, n)
		}
		gateway, account := l.Gateways[l.dealt(rng, sums)], rng.IntN(max(1, l.Accounts))
		s.Gateway = gateway
		samples = append(samples, s)
		out.Add(1)
		go func() {
			defer out.Done()
			l.ask(ctx, client, gateway, account, s, start)
			if done != nil {
				done.Add(1)
			}
		}()
	}
	out.Wait()
	return values(samples), nil
}

// dealt is the number of the gateway that a request goes to.
func (l *Load) dealt(rng *rand.Rand, sums []float64) int {
	if len(sums) != len(l.Gateways) {
		return rng.IntN(len(l.Gateways))
	}
	i, _ := slices.BinarySearch(sums, rng.Float64()*sums[len(sums)-1])
	return min(i, len(sums)-1)
}

func values(samples []*Sample) []Sample {
	all := make([]Sample, len(samples))
	for i, s := range samples {
		all[i] = *s
	}
	return all
}

func pick(x float64) int {
	for i, c := range Classes {
		if x -= c.Share; x < 0 {
			return i
		}
	}
	return len(Classes) - 1
}

// ask sends one request and books what came of it.
func (l *Load) ask(ctx context.Context, client *http.Client, gateway string, account int, s *Sample, start time.Time) {
	c := &Classes[s.Class]
	ctx, cancel := context.WithDeadline(ctx, start.Add(s.At+c.Deadline))
	defer cancel()
	defer func() { s.Took = time.Since(start) - s.At }()
	body := io.Reader(nil)
	if c.Method == http.MethodPost {
		body = strings.NewReader("e2e4")
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+gateway+"/"+c.Name+"/1", body)
	if err != nil {
		return
	}
	if s.Key != "" {
		r.Header.Set("Idempotency-Key", s.Key)
	}
	r.Header.Set("X-Auth-Account", l.Name+strconv.Itoa(account))
	r.Header.Set("X-Auth-Plan", l.Plan)
	r.Header.Set("X-Timeout", strconv.FormatInt(c.Deadline.Milliseconds(), 10)+"m")
	resp, err := client.Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return // cut: the client can tell
	}
	s.Status = resp.StatusCode
	if s.Status == http.StatusOK {
		s.Server, _, _ = strings.Cut(string(text), " ")
	}
}

// WriteSamples writes the raw series as CSV, one request a line.
func WriteSamples(path string, samples []Sample) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	w := csv.NewWriter(f)
	w.Write([]string{"at_s", "took_s", "class", "status", "server"})
	for _, s := range samples {
		w.Write([]string{strconv.FormatFloat(s.At.Seconds(), 'f', 4, 64), strconv.FormatFloat(s.Took.Seconds(), 'f', 4, 64),
			Classes[s.Class].Name, strconv.Itoa(s.Status), s.Server})
	}
	w.Flush()
	return w.Error()
}
