// Package routetable keeps the list of egress targets: it watches discovery, or takes the static list of an
// operator's file, and publishes every change to the core at once. It does not choose targets for requests.
package routetable

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/tidwall/gjson"

	"junctionring/control"
	"junctionring/internal/core"
)

const (
	// A live watch carries an empty line every 2 s. The gateway is assumed to know a change that a silent watch misses
	// 6 s after the watch's last data. That leaves time to detect the silence, for a second watch that is silent too,
	// and for a third.
	silenceTimeout    = 2800 * time.Millisecond
	assumedKnownAfter = 6 * time.Second

	connectTimeout         = 2 * time.Second // for a connection to discovery
	queuedFirstByteTimeout = 5 * time.Second // for the first data where discovery queues calls

	// Pauses between watches of the gateway's own agent are short: calls to it cost nothing, and the gateway is assumed
	// to know at once what the agent has when it returns.
	localPauseInitial = 20 * time.Millisecond
	localPauseMax     = 100 * time.Millisecond

	pausePerGateway  = 50 * time.Millisecond  // initial pause between watches, per gateway that asks the same discovery
	pauseMultiplier  = 2                      // growth of the pause after a watch that brought no data
	pauseMaxFloor    = 500 * time.Millisecond // the maximum pause is this, or two initial pauses if that is longer
	pauseJitter      = 0.8                    // fraction of a pause, in both directions
	pauseShare       = 0.5                    // fraction of AskEvery that the initial pause may take, jitter included
	failedCallFactor = 4                      // multiple of that bound that is allowed after failed calls
	firstCallShare   = 0.8                    // fraction of AskEvery over which first calls are spread
	queuedFailureMin = time.Second / 4        // slower failures were queued calls; a discovery that is down fails at once
	responseReserve  = time.Second / 2        // part of assumedKnownAfter kept for the next call's connection and response
	maxListBytes     = 4 << 20                // of one list
)

var lifecycleStates = map[string]control.MemberState{
	"SERVING": control.Ready, "DRAINING": control.Draining, "DELETED": control.Removed,
}

// Decode parses a list in discovery's JSON format. The strings of the table do not keep the list's text in memory.
func Decode(raw []byte) (core.Table, error) {
	if !gjson.ValidBytes(raw) {
		return core.Table{}, fmt.Errorf("discovery list is not valid JSON: %.80q", raw)
	}
	list := gjson.ParseBytes(raw)
	// Without this check, a malformed list would count as an empty snapshot and remove all targets.
	if list.Get("generation").Type != gjson.Number || !list.Get("instances").IsArray() {
		return core.Table{}, fmt.Errorf("discovery list has no numeric generation or no array of instances: %.80q", raw)
	}
	t := core.Table{Version: list.Get("generation").Int()}
	if list.Get("reset").Bool() {
		t.Kind = control.Snapshot
	}
	for _, e := range list.Get("instances").Array() {
		state, ok := lifecycleStates[e.Get("lifecycle").String()]
		if !ok { // an entry with an unknown state must not make the rest of the list unusable
			state = control.Draining
		}
		m := control.Member{
			Server: strings.Clone(e.Get("instanceId").String()), Weight: e.Get("weight").Float(), State: state,
			Zone: identifier(e.Get("zone")), Cell: identifier(e.Get("cell")),
			Since: float64(e.Get("startedAtMs").Int()) / 1000,
		}
		if m.Server == "" {
			continue
		}
		t.Targets = append(t.Targets, core.Target{Member: m, Address: strings.Clone(e.Get("hostPort").String())})
	}
	return t, nil
}

// identifier returns the name or number of a zone or cell, or the empty string if the entry does not state one.
func identifier(value gjson.Result) string {
	switch value.Type {
	case gjson.String:
		return strings.Clone(value.Str)
	case gjson.Number:
		return strings.Clone(value.Raw)
	default:
		return ""
	}
}

// Discovery watches the list of egress targets that the platform's discovery agent serves.
type Discovery struct {
	Address        string
	From           int64          // version of the list that the gateway holds
	HasList        bool           // the gateway holds a list, so its first call can be delayed
	Gateways       int            // that ask the same discovery; 0: the gateway asks its own agent, which costs nothing
	AskEvery       time.Duration  // after so long without watch or call it is assumed to know all; 0: no such rule
	Sites          map[string]int // the site of each zone; nil: there are no sites
	AddressChanges <-chan string  // new addresses of the agent; may be nil
	Publish        func(core.Table)
	Log            *slog.Logger
	Dial           func(ctx context.Context, network, address string) (net.Conn, error) // nil: net.Dialer

	mu           sync.Mutex // guards the fields below and keeps calls of Publish in order
	history      history
	restartTimer *time.Timer // runs publishRestart; nil: not due
}

// newBackOff returns the pauses between watches, which grow with the number of gateways. All agents depend on one
// service of fixed capacity that queues calls and fails those that wait too long. If gateways that start together, or
// lose their watches together, retried every half second, the service would spend its time on abandoned calls and
// answer none in time.
func (d *Discovery) newBackOff() *backoff.ExponentialBackOff {
	initial := pausePerGateway * time.Duration(d.Gateways)
	maxPause := max(pauseMaxFloor, pauseMultiplier*initial)
	if d.Gateways == 0 {
		initial, maxPause = localPauseInitial, localPauseMax
	}
	if d.AskEvery > 0 {
		askBound := time.Duration(pauseShare / (1 + pauseJitter) * float64(d.AskEvery))
		initial, maxPause = min(initial, askBound), min(maxPause, failedCallFactor*askBound)
	}
	return &backoff.ExponentialBackOff{
		InitialInterval: initial, MaxInterval: maxPause, Multiplier: pauseMultiplier, RandomizationFactor: pauseJitter,
	}
}

// firstCallSpread returns the period over which gateways that hold a list spread their first calls. They are assumed
// to know what they miss until then after assumedKnownAfter, or when they have not asked for AskEvery.
func (d *Discovery) firstCallSpread() time.Duration {
	window := min(pausePerGateway*time.Duration(d.Gateways), assumedKnownAfter-responseReserve)
	if d.AskEvery > 0 {
		window = min(window, time.Duration(firstCallShare*float64(d.AskEvery)))
	}
	return window
}

// wait waits for pause, and returns early if the agent moves to a new address. It returns false if ctx has ended.
func (d *Discovery) wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case d.Address = <-d.AddressChanges:
	}
	return true
}

// Run watches the list until ctx ends. When a watch breaks or the agent moves, the next watch resumes from the version
// held.
func (d *Discovery) Run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: d.connect}}
	backOff := d.newBackOff()
	backOff.Reset()
	if d.HasList && d.Gateways > 1 && !d.wait(ctx, time.Duration(rand.Float64()*float64(d.firstCallSpread()))) {
		return
	}
	queueing := false // discovery queues calls, and they fail
	for ctx.Err() == nil {
		watching, cancel := context.WithCancel(ctx)
		ended := make(chan error, 1)
		received, started := false, time.Now()
		go func() {
			err := d.watch(watching, client, &received)
			d.Log.Info("discovery watch ended", "heard", received, "err", err)
			ended <- err
		}()
		select {
		case err := <-ended:
			lasted := time.Since(started)
			if received {
				backOff.Reset()
				lasted = 0 // it delivered all changes until its end
			}
			queueing = !received && (queueing || errors.Is(err, errOverloaded) && lasted >= queuedFailureMin)
			pause := backOff.NextBackOff()
			switch {
			case received && errors.Is(err, errSilent):
				// All gateways may lose their watches together: the calls are spread over the time left.
				pause = min(pause, time.Duration(rand.Float64()*float64(assumedKnownAfter-silenceTimeout-responseReserve)))
			case queueing && backOff.MaxInterval > assumedKnownAfter-responseReserve:
				// A fleet of this size that retried within assumedKnownAfter would keep discovery overloaded.
			default:
				pause = boundPause(pause, lasted)
			}
			d.wait(ctx, pause)
		case address := <-d.AddressChanges:
			// The watch is canceled at once: the old agent may keep its connection open and send nothing.
			cancel()
			<-ended
			d.Address = address
			backOff.Reset()
		}
		cancel()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.restartTimer != nil {
		d.restartTimer.Stop()
	}
}

// boundPause limits a pause so that the next call is answered within assumedKnownAfter of the start of the call that
// has just failed: discovery may have become reachable right after that start. A shortened pause is drawn from the
// second half of the time available, so that the gateways of a fleet do not call at the same moment.
func boundPause(pause, callLasted time.Duration) time.Duration {
	available := max(0, assumedKnownAfter-responseReserve-callLasted)
	if pause <= available {
		return pause
	}
	return available/2 + time.Duration(rand.Float64()*float64(available/2))
}

// connect dials with a timeout. http.Transport goes on dialing for a call that was canceled: without a timeout, each
// call to an unreachable discovery would hold a file descriptor for minutes.
func (d *Discovery) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if d.Dial != nil {
		return d.Dial(ctx, network, address)
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

var (
	errSilent     = errors.New("discovery sent no data in time")
	errOverloaded = errors.New("discovery answered with a server error")
)

// watch makes one watch call and reads it until it ends. It sets received once any data has arrived.
func (d *Discovery) watch(ctx context.Context, client *http.Client, received *bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := silenceTimeout
	if d.Gateways > 0 {
		timeout = queuedFirstByteTimeout
	}
	timer := time.AfterFunc(timeout, func() { cancel(errSilent) }) // the next watch delivers what was missed
	defer timer.Stop()
	err := d.readWatch(ctx, client, func() {
		*received = true
		timer.Reset(silenceTimeout)
	})
	if errors.Is(context.Cause(ctx), errSilent) {
		return errSilent
	}
	return err
}

// readWatch reads one list after another from a watch and publishes them. Lists are delimited as JSON values, not by
// lines, since an indented list spans many lines. readWatch calls onData for all bytes received, empty lines included.
func (d *Discovery) readWatch(ctx context.Context, client *http.Client, onData func()) error {
	url := fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", d.Address, d.From)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("%w: %s", errOverloaded, resp.Status)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	body := &watchReader{r: resp.Body, onData: onData}
	decoder := json.NewDecoder(body)
	for {
		body.remaining = maxListBytes
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return err
		}
		t, err := Decode(raw)
		if err != nil {
			return err
		}
		d.From = t.Version
		if d.Sites != nil {
			d.assignSites(&t)
		}
		d.publish(t)
	}
}

// publish passes a list on. Entries that are older than what was published before do not undo it.
func (d *Discovery) publish(t core.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.apply(&t, time.Now())
	d.Publish(t)
	if d.restartTimer != nil {
		d.restartTimer.Stop()
		d.restartTimer = nil
	}
	if wait, due := d.history.restartDue(time.Now()); due {
		d.restartTimer = time.AfterFunc(wait, d.publishRestart)
	}
}

// publishRestart publishes the withheld entries once the generation numbering is known to have restarted.
func (d *Discovery) publishRestart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t, ok := d.history.acceptRestart(time.Now()); ok {
		d.Log.Warn("discovery restarted its generation numbering",
			"generation", t.Version, "endpoints kept back so far", len(t.Targets))
		d.Publish(t)
	}
}

// watchReader reads a watch's body, reports received data, and fails on a list that is too long.
type watchReader struct {
	r         io.Reader
	remaining int // bytes that the current list may still take
	onData    func()
}

// Read implements io.Reader.
func (l *watchReader) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	if n > 0 {
		l.onData()
	}
	if l.remaining -= n; l.remaining < 0 {
		return 0, errors.New("discovery list exceeds the maximum length")
	}
	return n, err
}

// assignSites sets each target's site from its zone. A target whose zone belongs to no site gets no requests, since its
// location is unknown.
func (d *Discovery) assignSites(t *core.Table) {
	for i := range t.Targets {
		m := &t.Targets[i].Member
		site, ok := d.Sites[m.Zone]
		if !ok && m.State == control.Ready {
			d.Log.Error("target's zone belongs to no site, no requests are sent to it",
				"target", m.Server, "zone", m.Zone)
			m.State = control.Draining
		}
		m.Site = site
	}
}
