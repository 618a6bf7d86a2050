// Package wire hosts instances of the decision module on the bench's wire.
// It turns lines into events and actions into lines, and decides nothing.
package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"junctionring/control"
	"junctionring/internal/config"
)

// The words of the wire and what they stand for.
var (
	listKinds = map[string]control.MembersKind{
		"diff": control.Delta, "snapshot": control.Snapshot, "disk": control.Cached, "error": control.Failed,
	}
	conditions = map[string]control.MemberState{
		"active": control.Ready, "leaving": control.Draining, "left": control.Removed,
	}
	statuses = map[int]control.Status{
		0: control.OK, 13: control.Error, 8: control.Full, 4: control.Timeout,
		14: control.ConnectFailed, 10: control.Reset, 1: control.Cancelled, 9: control.NotSent,
	}
)

// host holds the instances of one process. They share nothing but the
// server lists that the wire sends once for all.
type host struct {
	now      control.Seconds
	inBatch  bool
	turn     int64
	gateways map[int]*control.Gateway
	lists    map[int][]control.Member
	actions  []control.Action
	out      []byte
}

// Serve answers batches from r on w until r ends. An error names the line
// that could not be read.
func Serve(r io.Reader, w io.Writer) error {
	h := &host{gateways: map[int]*control.Gateway{}, lists: map[int][]control.Member{}}
	in := bufio.NewReaderSize(r, 1<<20)
	for n := 1; ; n++ {
		line, err := in.ReadBytes('\n')
		if text := bytes.TrimSpace(line); len(text) > 0 {
			done, lineErr := h.line(text)
			if lineErr != nil {
				return fmt.Errorf("line %d: %w", n, lineErr)
			}
			if done {
				if _, err := w.Write(h.out); err != nil {
					return fmt.Errorf("writing a reply: %w", err)
				}
				h.out = h.out[:0]
			}
		}
		if errors.Is(err, io.EOF) {
			if h.inBatch {
				return fmt.Errorf("line %d: the input ends inside a batch", n)
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
	}
}

// fields reads the values of one message in turn. The first fault sticks.
type fields struct {
	name string
	vals []json.RawMessage
	at   int
	err  error
}

func parse(text []byte) (*fields, error) {
	f := &fields{}
	if err := json.Unmarshal(text, &f.vals); err != nil {
		return nil, fmt.Errorf("not a message: %w", err)
	}
	if len(f.vals) == 0 {
		return nil, errors.New("an empty message")
	}
	f.read(&f.name, "name")
	return f, f.err
}

// read fills into from the next value; null and absent leave it alone.
func (f *fields) read(into any, what string) {
	at := f.at
	f.at++
	if f.err != nil || at >= len(f.vals) {
		return
	}
	if err := json.Unmarshal(f.vals[at], into); err != nil {
		f.err = fmt.Errorf("%s: %s: %w", f.name, what, err)
	}
}

// need is read for a value that must be there.
func (f *fields) need(into any, what string) {
	if f.err == nil && (f.at >= len(f.vals) || string(f.vals[f.at]) == "null") {
		f.err = fmt.Errorf("%s: %s is missing", f.name, what)
	}
	f.read(into, what)
}

func (f *fields) status() control.Status {
	var code int
	f.need(&code, "Disposition")
	if f.err != nil {
		return 0
	}
	s, err := config.Lookup(statuses, code, "disposition")
	if err != nil {
		f.err = fmt.Errorf("%s: %w", f.name, err)
	}
	return s
}

// line takes one line in and tells whether a reply is ready.
func (h *host) line(text []byte) (done bool, err error) {
	f, err := parse(text)
	if err != nil {
		return false, err
	}
	if f.name == "Clock" {
		if h.inBatch {
			return false, fmt.Errorf("%s: a batch is already open", f.name)
		}
		h.inBatch = true
		f.need(&h.now, "clock")
		f.need(&h.turn, "batch number")
		return false, f.err
	}
	if !h.inBatch {
		return false, fmt.Errorf("%s: outside a batch", f.name)
	}
	switch f.name {
	case "Commit":
		h.inBatch = false
		h.put("Finished")
		h.out = strconv.AppendInt(append(h.out, ','), h.turn, 10)
		h.out = append(h.out, ']', '\n')
		return true, nil
	case "Inventory":
		return false, h.inventory(f)
	}
	var who int
	f.need(&who, "Who")
	if f.err != nil {
		return false, f.err
	}
	switch f.name {
	case "Configure":
		return false, h.configure(who, f)
	case "Down":
		delete(h.gateways, who)
		return false, nil
	}
	ev, err := h.event(f)
	if err != nil {
		return false, err
	}
	g := h.gateways[who]
	if g == nil {
		return false, fmt.Errorf("%s: instance %d has not been configured", f.name, who)
	}
	h.guard(who, func() {
		h.actions = g.Handle(h.now, ev, h.actions[:0])
		for _, a := range h.actions {
			h.action(who, a)
		}
	})
	return false, nil
}

// guard reports a panic of the decisions as the wire wants it told.
func (h *host) guard(who int, decide func()) {
	defer func() {
		if p := recover(); p != nil {
			h.put("Bug")
			h.vals(who, fmt.Sprint(p))
		}
	}()
	decide()
}

func (h *host) configure(who int, f *fields) error {
	var seed uint64
	var raw json.RawMessage
	f.need(&seed, "InitSeed")
	f.need(&raw, "Setup")
	if f.err != nil {
		return f.err
	}
	s, err := config.DecodeSettings(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", f.name, err)
	}
	g, err := control.New(s.Module, seed)
	if err != nil {
		return fmt.Errorf("%s: %w", f.name, err)
	}
	h.gateways[who] = g
	return nil
}

func (h *host) inventory(f *fields) error {
	var number int
	var rows [][]json.RawMessage
	f.need(&number, "List")
	f.need(&rows, "Elements")
	members := make([]control.Member, 0, len(rows))
	for _, row := range rows {
		e := &fields{name: "Inventory", vals: row}
		var m control.Member
		var state string
		e.read(&m.Weight, "Rating")
		e.need(&m.Server, "Worker")
		e.read(&m.Cell, "Bay")
		e.read(&m.Since, "Since")
		e.read(&m.Zone, "RegionPart")
		e.read(&m.Kind, "Flavor")
		e.need(&state, "Condition")
		if e.err != nil {
			return e.err
		}
		var err error
		if m.State, err = config.Lookup(conditions, state, "condition"); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		members = append(members, m)
	}
	h.lists[number] = members
	return f.err
}

// event reads the rest of a message as an event of the module.
func (h *host) event(f *fields) (control.Event, error) {
	var ev control.Event
	switch f.name {
	case "Announce":
		var e control.Members
		var kind string
		var number int
		f.need(&kind, "Kind")
		f.read(&e.Version, "Stamp")
		f.read(&number, "List")
		if f.err != nil {
			return nil, f.err
		}
		var err error
		if e.Kind, err = config.Lookup(listKinds, kind, "list kind"); err != nil {
			return nil, fmt.Errorf("%s: %w", f.name, err)
		}
		if e.Kind != control.Failed {
			list, ok := h.lists[number]
			if !ok {
				return nil, fmt.Errorf("%s: list %d was never sent", f.name, number)
			}
			e.Entries = list
		}
		ev = e
	case "NewRequest":
		var e control.Request
		var bits int
		f.need(&e.ID, "Txn")
		f.need(&e.Class, "Grade")
		f.need(&e.Plan, "GradeOfService")
		f.need(&e.Customer, "Member")
		f.need(&e.TimeLeft, "TimeLeft")
		f.read(&e.Units, "CostUnits")
		f.read(&e.Spread, "Spread")
		f.read(&e.First, "FirstDoor")
		f.read(&bits, "Bitmap")
		e.Repeat = bits&2 != 0
		ev = e
	case "HeadReceived":
		var e control.Started
		f.need(&e.ID, "Txn")
		f.read(&e.Server, "Worker")
		f.need(&e.Attempt, "Go")
		f.read(&e.Elapsed, "Spent")
		ev = e
	case "Ended":
		var e control.Outcome
		f.need(&e.ID, "Txn")
		f.read(&e.Use, "FleetUse")
		f.read(&e.Units, "Cost")
		e.Status = f.status()
		f.read(&e.Closed, "Closed")
		f.need(&e.Server, "Worker")
		f.need(&e.Attempt, "Go")
		f.read(&e.Elapsed, "Spent")
		f.read(&e.Load, "Telemetry")
		ev = e
	case "Vanished":
		var e control.ClientGone
		f.need(&e.ID, "Txn")
		ev = e
	case "Wake":
		var e control.Timer
		f.need(&e.Token, "Nonce")
		ev = e
	case "StatusBack":
		var e control.Probed
		f.read(&e.Elapsed, "Spent")
		e.Status = f.status()
		f.need(&e.Server, "Worker")
		f.read(&e.Load, "Telemetry")
		ev = e
	case "NoteFrom":
		var e control.PeerMessage
		f.need(&e.From, "Neighbour")
		f.read(&e.Data, "Octets")
		ev = e
	case "Reckoned":
		var e control.Counted
		f.need(&e.Name, "TallyId")
		e.Status = f.status()
		f.read(&e.Total, "NowAt")
		f.read(&e.Elapsed, "Spent")
		ev = e
	default:
		return nil, fmt.Errorf("%s: no such message", f.name)
	}
	return ev, f.err
}

// action writes one action of instance who.
func (h *host) action(who int, a control.Action) {
	switch a := a.(type) {
	case control.Send:
		h.put("Try")
		h.vals(who, a.ID, a.Server, a.Timeout)
	case control.Cancel:
		h.put("Retract")
		h.vals(who, a.ID, a.Attempt)
	case control.Refuse:
		h.put("TurnAway")
		h.vals(who, a.ID, a.RetryAfter)
	case control.Fail:
		h.put("EndFailed")
		h.vals(who, a.ID)
	case control.SetTimer:
		h.put("WakeAt")
		h.vals(who, a.Delay, a.Token)
	case control.Probe:
		h.put("Touch")
		h.vals(who, a.Server)
	case control.CloseIdle:
		h.put("CloseIdle")
		h.vals(who, a.Server)
	case control.MessagePeer:
		h.put("Share")
		h.vals(who, a.Peer, a.Data)
	case control.Count:
		h.put("AddTo")
		h.vals(who, a.TTL, a.Amount, a.Name)
	case control.Watch:
		h.put("Follow")
		h.vals(who, a.On)
	case control.Fetch:
		h.put("ListAll")
		h.vals(who)
	case control.Log:
		h.put("SayLog")
		h.vals(who, a.Text)
	default:
		panic(fmt.Sprintf("action %T has no message", a))
	}
}

// put begins a message; vals writes its values and ends it.
func (h *host) put(name string) {
	h.out = append(h.out, '[', '"')
	h.out = append(h.out, name...)
	h.out = append(h.out, '"')
}

func (h *host) vals(values ...any) {
	for _, v := range values {
		h.out = append(h.out, ',')
		switch v := v.(type) {
		case int:
			h.out = strconv.AppendInt(h.out, int64(v), 10)
		case uint64:
			h.out = strconv.AppendUint(h.out, v, 10)
		case float64:
			h.out = strconv.AppendFloat(h.out, v, 'f', -1, 64)
		case bool:
			h.out = strconv.AppendBool(h.out, v)
		case string:
			text, err := json.Marshal(v)
			if err != nil {
				panic(err)
			}
			h.out = append(h.out, text...)
		default:
			panic(fmt.Sprintf("value of type %T has no form on the wire", v))
		}
	}
	h.out = append(h.out, ']', '\n')
}
