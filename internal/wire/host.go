// Package wire runs instances of the decision module for the simulator, which talks to it over a line protocol.
// It decodes messages into events and encodes actions as messages, and makes no decisions of its own.
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

// The protocol's words and codes, and the values that they stand for.
var (
	listKinds = map[string]control.MembersKind{
		"diff": control.Delta, "snapshot": control.Snapshot, "disk": control.Cached, "error": control.Failed,
	}
	memberStates = map[string]control.MemberState{
		"active": control.Ready, "leaving": control.Draining, "left": control.Removed,
	}
	statuses = map[int]control.Status{
		0: control.OK, 13: control.Error, 8: control.Full, 4: control.Timeout,
		14: control.ConnectFailed, 10: control.Reset, 1: control.Cancelled, 9: control.NotSent,
	}
)

// host holds the instances of one process. They share only the server lists, which the simulator sends once for all
// instances.
type host struct {
	now      control.Seconds
	inBatch  bool
	batch    int64
	gateways map[int]*control.Gateway
	lists    map[int][]control.Member
	actions  []control.Action
	out      []byte
}

// Serve reads batches from r and writes the replies to w until r ends. An error names the line that could not be
// read.
func Serve(r io.Reader, w io.Writer) error {
	h := &host{gateways: map[int]*control.Gateway{}, lists: map[int][]control.Member{}}
	in := bufio.NewReaderSize(r, 1<<20)
	for n := 1; ; n++ {
		line, err := in.ReadBytes('\n')
		if text := bytes.TrimSpace(line); len(text) > 0 {
			done, lineErr := h.handleLine(text)
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

// fields reads the values of one message in order. It keeps the first error.
type fields struct {
	name   string
	values []json.RawMessage
	next   int
	err    error
}

func parse(text []byte) (*fields, error) {
	f := &fields{}
	if err := json.Unmarshal(text, &f.values); err != nil {
		return nil, fmt.Errorf("not a message: %w", err)
	}
	if len(f.values) == 0 {
		return nil, errors.New("an empty message")
	}
	f.read(&f.name, "name")
	return f, f.err
}

// read decodes the next value into the given variable, which stays as it is if the value is null or absent.
func (f *fields) read(into any, what string) {
	i := f.next
	f.next++
	if f.err != nil || i >= len(f.values) {
		return
	}
	if err := json.Unmarshal(f.values[i], into); err != nil {
		f.err = fmt.Errorf("%s: %s: %w", f.name, what, err)
	}
}

// require is read for a value that must be present.
func (f *fields) require(into any, what string) {
	if f.err == nil && (f.next >= len(f.values) || string(f.values[f.next]) == "null") {
		f.err = fmt.Errorf("%s: %s is missing", f.name, what)
	}
	f.read(into, what)
}

func (f *fields) status() control.Status {
	var code int
	f.require(&code, "Disposition")
	if f.err != nil {
		return 0
	}
	s, err := config.Lookup(statuses, code, "disposition")
	if err != nil {
		f.err = fmt.Errorf("%s: %w", f.name, err)
	}
	return s
}

// handleLine processes one line and reports whether a reply is ready.
func (h *host) handleLine(text []byte) (done bool, err error) {
	f, err := parse(text)
	if err != nil {
		return false, err
	}
	if f.name == "Clock" {
		if h.inBatch {
			return false, fmt.Errorf("%s: a batch is already open", f.name)
		}
		h.inBatch = true
		f.require(&h.now, "clock")
		f.require(&h.batch, "batch number")
		return false, f.err
	}
	if !h.inBatch {
		return false, fmt.Errorf("%s: outside a batch", f.name)
	}
	switch f.name {
	case "Commit":
		h.inBatch = false
		h.beginMessage("Finished")
		h.out = strconv.AppendInt(append(h.out, ','), h.batch, 10)
		h.out = append(h.out, ']', '\n')
		return true, nil
	case "Inventory":
		return false, h.setMembers(f)
	}
	var instance int
	f.require(&instance, "Who")
	if f.err != nil {
		return false, f.err
	}
	switch f.name {
	case "Configure":
		return false, h.configure(instance, f)
	case "Down":
		delete(h.gateways, instance)
		return false, nil
	}
	ev, err := h.event(f)
	if err != nil {
		return false, err
	}
	g := h.gateways[instance]
	if g == nil {
		return false, fmt.Errorf("%s: instance %d has not been configured", f.name, instance)
	}
	h.reportPanic(instance, func() {
		h.actions = g.Handle(h.now, ev, h.actions[:0])
		for _, a := range h.actions {
			h.writeAction(instance, a)
		}
	})
	return false, nil
}

// reportPanic calls decide and reports a panic of the decision module as a Bug message.
func (h *host) reportPanic(instance int, decide func()) {
	defer func() {
		if p := recover(); p != nil {
			h.beginMessage("Bug")
			h.endMessage(instance, fmt.Sprint(p))
		}
	}()
	decide()
}

func (h *host) configure(instance int, f *fields) error {
	var seed uint64
	var raw json.RawMessage
	f.require(&seed, "InitSeed")
	f.require(&raw, "Setup")
	if f.err != nil {
		return f.err
	}
	s, err := config.DecodeSettings(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", f.name, err)
	}
	s.Module.Zone = identifier(&s.ZoneNumber)
	g, err := control.New(s.Module, seed)
	if err != nil {
		return fmt.Errorf("%s: %w", f.name, err)
	}
	h.gateways[instance] = g
	return nil
}

func (h *host) setMembers(f *fields) error {
	var number int
	var rows [][]json.RawMessage
	f.require(&number, "List")
	f.require(&rows, "Elements")
	members := make([]control.Member, 0, len(rows))
	for _, row := range rows {
		e := &fields{name: "Inventory", values: row}
		var m control.Member
		var zone, cell *int
		var state string
		e.read(&m.Weight, "Rating")
		e.require(&m.Server, "Worker")
		e.read(&cell, "Bay")
		e.read(&m.Since, "Since")
		e.read(&zone, "RegionPart")
		e.read(&m.Kind, "Flavor")
		e.require(&state, "Condition")
		if e.err != nil {
			return e.err
		}
		m.Zone, m.Cell = identifier(zone), identifier(cell)
		var err error
		if m.State, err = config.Lookup(memberStates, state, "condition"); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		members = append(members, m)
	}
	h.lists[number] = members
	return f.err
}

// identifier names a zone or cell, which the wire only numbers; empty for none.
func identifier(number *int) string {
	if number == nil || *number < 0 {
		return ""
	}
	return strconv.Itoa(*number)
}

// event decodes the rest of a message into an event for the decision module.
func (h *host) event(f *fields) (control.Event, error) {
	var ev control.Event
	switch f.name {
	case "Announce":
		var e control.Members
		var kind string
		var number int
		f.require(&kind, "Kind")
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
		f.require(&e.ID, "Txn")
		f.require(&e.Class, "Grade")
		f.require(&e.Plan, "GradeOfService")
		f.require(&e.Customer, "Member")
		f.require(&e.TimeLeft, "TimeLeft")
		f.read(&e.Units, "CostUnits")
		f.read(&e.Spread, "Spread")
		f.read(&e.First, "FirstDoor")
		f.read(&bits, "Bitmap")
		e.Repeat = bits&2 != 0
		ev = e
	case "HeadReceived":
		var e control.Started
		f.require(&e.ID, "Txn")
		f.read(&e.Server, "Worker")
		f.require(&e.Attempt, "Go")
		f.read(&e.Elapsed, "Spent")
		ev = e
	case "Ended":
		var e control.Outcome
		f.require(&e.ID, "Txn")
		f.read(&e.Use, "FleetUse")
		f.read(&e.Units, "Cost")
		e.Status = f.status()
		f.read(&e.Closed, "Closed")
		f.require(&e.Server, "Worker")
		f.require(&e.Attempt, "Go")
		f.read(&e.Elapsed, "Spent")
		f.read(&e.Load, "Telemetry")
		ev = e
	case "Vanished":
		var e control.ClientGone
		f.require(&e.ID, "Txn")
		ev = e
	case "Wake":
		var e control.Timer
		f.require(&e.Token, "Nonce")
		ev = e
	case "StatusBack":
		var e control.Probed
		f.read(&e.Elapsed, "Spent")
		e.Status = f.status()
		f.require(&e.Server, "Worker")
		f.read(&e.Load, "Telemetry")
		ev = e
	case "NoteFrom":
		var e control.PeerMessage
		f.require(&e.From, "Neighbour")
		f.read(&e.Data, "Octets")
		ev = e
	case "Reckoned":
		var e control.Counted
		f.require(&e.Name, "TallyId")
		e.Status = f.status()
		f.read(&e.Total, "NowAt")
		f.read(&e.Elapsed, "Spent")
		ev = e
	default:
		return nil, fmt.Errorf("%s: no such message", f.name)
	}
	return ev, f.err
}

// writeAction writes one action of an instance.
func (h *host) writeAction(instance int, a control.Action) {
	switch a := a.(type) {
	case control.Send:
		h.beginMessage("Try")
		h.endMessage(instance, a.ID, a.Server, a.Timeout)
	case control.Cancel:
		h.beginMessage("Retract")
		h.endMessage(instance, a.ID, a.Attempt)
	case control.Refuse:
		h.beginMessage("TurnAway")
		h.endMessage(instance, a.ID, a.RetryAfter)
	case control.Fail:
		h.beginMessage("EndFailed")
		h.endMessage(instance, a.ID)
	case control.SetTimer:
		h.beginMessage("WakeAt")
		h.endMessage(instance, a.Delay, a.Token)
	case control.Probe:
		h.beginMessage("Touch")
		h.endMessage(instance, a.Server)
	case control.CloseIdle:
		h.beginMessage("CloseIdle")
		h.endMessage(instance, a.Server)
	case control.MessagePeer:
		h.beginMessage("Share")
		h.endMessage(instance, a.Peer, a.Data)
	case control.Count:
		h.beginMessage("AddTo")
		h.endMessage(instance, a.TTL, a.Amount, a.Name)
	case control.Watch:
		h.beginMessage("Follow")
		h.endMessage(instance, a.On)
	case control.Fetch:
		h.beginMessage("ListAll")
		h.endMessage(instance)
	case control.Log:
		h.beginMessage("SayLog")
		h.endMessage(instance, a.Text)
	default:
		panic(fmt.Sprintf("action %T has no message", a))
	}
}

// beginMessage writes the start of a message; endMessage writes its values and its end.
func (h *host) beginMessage(name string) {
	h.out = append(h.out, '[', '"')
	h.out = append(h.out, name...)
	h.out = append(h.out, '"')
}

func (h *host) endMessage(values ...any) {
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
