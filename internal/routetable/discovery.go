// Package routetable is the actor of the list of egress targets: it follows discovery, or serves the
// static list of an operator's file, and tells the core of every change at once.
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
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/tidwall/gjson"

	"junctionring/control"
	"junctionring/internal/core"
)

const (
	// An empty line comes every 2 s while a watch lives. What one that has fallen silent misses counts as told 6 s after
	// its last word: that is time for one more watch that says nothing, and for a third.
	silenceTimeout         = 2800 * time.Millisecond
	assumedKnownAfter      = 6 * time.Second
	connectTimeout         = 2 * time.Second        // for a connection to discovery
	queuedFirstByteTimeout = 5 * time.Second        // for the first word where calls wait for their turn
	localPauseInitial      = 20 * time.Millisecond  // between watches of an agent of its own: calls cost nothing, and what it
	localPauseMax          = 100 * time.Millisecond // has at its return counts as told at once
	pausePerGateway        = 50 * time.Millisecond  // between watches, for each gateway that asks the same discovery
	pauseMultiplier        = 2                      // times the one before, where the watch did not come about
	pauseMaxFloor          = 500 * time.Millisecond // or two first pauses, if that is longer
	pauseJitter            = 0.8                    // of a pause, both ways
	pauseShare             = 0.5                    // of the time in which it must ask, for the longest pause
	failedCallFactor       = 4                      // times as long is allowed after a call that failed
	firstCallShare         = 0.8                    // of the time in which it must ask, for the first call
	queuedFailureMin       = time.Second / 4        // a call that fails later has waited for its turn; one that is out fails at once
	responseReserve        = time.Second / 2        // kept free within toldAnyway for the next call's connection and answer
	maxListBytes           = 4 << 20                // of one list
)

var lifecycleStates = map[string]control.MemberState{
	"SERVING": control.Ready, "DRAINING": control.Draining, "DELETED": control.Removed,
}

// Decode reads a list in discovery's form; zones are the names that the settings number.
func Decode(raw []byte, zones []string) (core.Table, error) {
	if !gjson.ValidBytes(raw) {
		return core.Table{}, fmt.Errorf("the list is not JSON: %.80q", raw)
	}
	list := gjson.ParseBytes(raw)
	if list.Get("generation").Type != gjson.Number || !list.Get("instances").IsArray() { // a whole list of nothing would end all targets
		return core.Table{}, fmt.Errorf("no generation or no instances: %.80q", raw)
	}
	t := core.Table{Version: list.Get("generation").Int()}
	if list.Get("reset").Bool() {
		t.Kind = control.Snapshot
	}
	for _, e := range list.Get("instances").Array() {
		state, ok := lifecycleStates[e.Get("lifecycle").String()]
		if !ok { // one entry that is not understood must not hide the rest of the list
			state = control.Draining
		}
		m := control.Member{
			Server: e.Get("instanceId").String(), Weight: e.Get("weight").Float(), Zone: slices.Index(zones, e.Get("zone").String()),
			Cell: int(e.Get("cell").Int()), Since: float64(e.Get("startedAtMs").Int()) / 1000, State: state,
		}
		if m.Server == "" {
			continue
		}
		t.Targets = append(t.Targets, core.Target{Member: m, Address: e.Get("hostPort").String()})
	}
	return t, nil
}

// Discovery follows the list of the platform's discovery agent.
type Discovery struct {
	Address        string
	From           int64         // version of the list that is known
	HasList        bool          // a list is at hand: the first watch can wait for its turn
	Gateways       int           // that ask the same discovery; 0: it asks an agent of its own, which costs nothing
	AskEvery       time.Duration // a gateway that has no watch and has not asked for so long counts as told; 0: no such rule
	Zones          []string
	Sites          map[string]int // the site of each zone, where there are sites
	AddressChanges <-chan string  // addresses that the agent moves to; may be nil
	Publish        func(core.Table)
	Log            *slog.Logger
	Dial           func(ctx context.Context, network, address string) (net.Conn, error) // nil: the network

	mu           sync.Mutex // orders what is told
	history      history
	restartTimer *time.Timer // of history; nil: none is due
}

// pauses between watches grow with the number of gateways. Behind the agents stands one service of fixed capacity,
// where calls wait in turn and fail when they have waited too long. Danger: gateways that start together, or lose
// their watches together, and ask again each half second: it works on calls that nobody waits for any more, and none
// is ever answered in time.
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

// firstCallSpread is the time over which gateways that have a list spread their first calls. What they miss until then
// counts as told after toldAnyway, or when they have not asked for AskEvery.
func (d *Discovery) firstCallSpread() time.Duration {
	window := min(pausePerGateway*time.Duration(d.Gateways), assumedKnownAfter-responseReserve)
	if d.AskEvery > 0 {
		window = min(window, time.Duration(firstCallShare*float64(d.AskEvery)))
	}
	return window
}

// rest waits, or goes on at once where the agent moves; false: ctx has ended.
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

// Run watches until ctx ends, from where it stands whenever a watch breaks or the agent moves.
func (d *Discovery) Run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: d.connect}}
	backOff := d.newBackOff()
	backOff.Reset()
	if d.HasList && d.Gateways > 1 && !d.wait(ctx, time.Duration(rand.Float64()*float64(d.firstCallSpread()))) {
		return
	}
	queueing := false // its calls wait in turn, and fail
	for ctx.Err() == nil {
		watching, cancel := context.WithCancel(ctx)
		ended := make(chan error, 1)
		received, started := false, time.Now()
		go func() {
			err := d.watch(watching, client, &received)
			d.Log.Info("watch ended", "heard", received, "err", err)
			ended <- err
		}()
		select {
		case err := <-ended:
			lasted := time.Since(started)
			if received {
				backOff.Reset()
				lasted = 0 // it brought all there was until its end
			}
			queueing = !received && (queueing || errors.Is(err, errOverloaded) && lasted >= queuedFailureMin)
			pause := backOff.NextBackOff()
			switch {
			case received && errors.Is(err, errSilent): // all may fall silent together: at any time that is left
				pause = min(pause, time.Duration(rand.Float64()*float64(assumedKnownAfter-silenceTimeout-responseReserve)))
			case queueing && backOff.MaxInterval > assumedKnownAfter-responseReserve:
				// So large a fleet that asks again within toldAnyway would keep discovery overloaded.
			default:
				pause = boundPause(pause, lasted)
			}
			d.wait(ctx, pause)
		case address := <-d.AddressChanges: // at once: the old agent may stay silent and open
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

// boundPause keeps a pause short enough for the next call to be answered within toldAnyway of the moment in which the
// call that has just failed began: discovery may have become reachable right after that. A pause that is cut short is
// spread over half of the time there is, so that a fleet does not ask all at once.
func boundPause(pause, callLasted time.Duration) time.Duration {
	available := max(0, assumedKnownAfter-responseReserve-callLasted)
	if pause <= available {
		return pause
	}
	return available/2 + time.Duration(rand.Float64()*float64(available/2))
}

// connect bounds how long a connection may take to come up. http.Transport goes on dialling for a call that was given
// up: with no bound each call to a discovery that is cut off would hold a descriptor for minutes.
func (d *Discovery) connect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if d.Dial != nil {
		return d.Dial(ctx, network, address)
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

var (
	errSilent     = errors.New("discovery is silent")
	errOverloaded = errors.New("discovery turns calls away")
)

// watch follows the list until the watch ends; heard is set once anything has come.
func (d *Discovery) watch(ctx context.Context, client *http.Client, received *bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := silenceTimeout
	if d.Gateways > 0 {
		timeout = queuedFirstByteTimeout
	}
	timer := time.AfterFunc(timeout, func() { cancel(errSilent) }) // a new watch brings what was missed
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

// follow takes one list after another from a watch. They are told apart as JSON and not by lines: a list may come
// indented, over many. It calls heard as bytes come, be they of an empty line.
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
		t, err := Decode(raw, d.Zones)
		if err != nil {
			return err
		}
		d.From = t.Version
		if d.Sites != nil {
			d.assignSites(raw, &t)
		}
		d.publish(t)
	}
}

// tell passes a list on as far as it is newer than what was told before.
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

// tellRestart tells what was kept back, once it is sure that the numbering has started again.
func (d *Discovery) publishRestart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t, ok := d.history.acceptRestart(time.Now()); ok {
		d.Log.Warn("discovery numbers its lists anew", "generation", t.Version, "endpoints kept back so far", len(t.Targets))
		d.Publish(t)
	}
}

// listening reads what comes, tells of it, and ends a list that is too long.
type watchReader struct {
	r         io.Reader
	remaining int
	onData    func()
}

// Read implements io.Reader.
func (l *watchReader) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	if n > 0 {
		l.onData()
	}
	if l.remaining -= n; l.remaining < 0 {
		return 0, errors.New("the list is too long")
	}
	return n, err
}

// place puts each target at the site of its zone. One in a zone of no site gets nothing: it might stand anywhere.
func (d *Discovery) assignSites(raw []byte, t *core.Table) {
	zones := map[string]string{}
	for _, e := range gjson.GetBytes(raw, "instances").Array() {
		zones[e.Get("instanceId").String()] = e.Get("zone").String()
	}
	for i := range t.Targets {
		m := &t.Targets[i].Member
		site, ok := d.Sites[zones[m.Server]]
		if !ok && m.State == control.Ready {
			d.Log.Error("a target's zone is no site's: nothing is sent to it", "target", m.Server, "zone", zones[m.Server])
			m.State = control.Draining
		}
		m.Site = site
	}
}
