package rollout

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Op is the operation of a command.
type Op string

// The operations.
const (
	SetRules      Op = "rules"    // replaces the budget's rules
	Observe       Op = "see"      // records an observation of a unit, sent by its observer
	MarkLost      Op = "lose"     // a unit's observer no longer reports: the unit counts as out
	Forget        Op = "forget"   // removes a unit that has left the fleet for good
	RequestPermit Op = "want"     // requests a permit
	Leave         Op = "leave"    // asks at the last moment whether a unit may leave under its permit
	Return        Op = "return"   // reports that a unit serves again
	Withdraw      Op = "withdraw" // removes the waiting requests of a change
	MarkOverdue   Op = "late"     // a permit's time has passed; the leader measures it
	Halt          Op = "halt"     // stops all planned work
	Resume        Op = "resume"   // allows planned work again
	Begin         Op = "begin"    // begins a release
	MoveRelease   Op = "move"     // moves a release to another stage or wave
	Fail          Op = "fail"     // reports that a unit could not be changed
	Drain         Op = "drain"    // takes units out until they are restored
	Restore       Op = "restore"  // puts the units of a drain back into service
	Claim         Op = "claim"    // an operator has dealt with an overdue permit: its time starts again
)

// Command is one entry of the fleet's log.
type Command struct {
	Op       Op               `msgpack:"o"`
	By       string           `msgpack:"b,omitempty"` // who sends the command; for the notes
	Unit     string           `msgpack:"u,omitempty"`
	Observed *Unit            `msgpack:"s,omitempty"`
	Figures  map[string]Count `msgpack:"f,omitempty"`
	Held     map[string]int   `msgpack:"h,omitempty"` // Observe: requests in flight at each drained table server
	Config   bool             `msgpack:"g,omitempty"` // Begin: the version is that of a configuration
	Rules    []Rule           `msgpack:"r,omitempty"`
	Change   string           `msgpack:"c,omitempty"`
	Token    uint64           `msgpack:"k,omitempty"`
	Life     time.Duration    `msgpack:"l,omitempty"` // how long a permit may be used before it is overdue
	Why      string           `msgpack:"w,omitempty"`
	Units    []string         `msgpack:"n,omitempty"`
	Version  string           `msgpack:"v,omitempty"`
	Settings *Settings        `msgpack:"t,omitempty"`
	Move     *Move            `msgpack:"m,omitempty"`
	At       int64            `msgpack:"a,omitempty"` // when the leader received it: ms since 1970 by its wall clock; for the notes only
}

// Limits of a command's size and of the state that is kept.
const (
	maxTextLen    = 200 // bytes
	maxUnits      = 10_000
	maxRules      = 100
	maxNotes      = 2_000
	notesSlack    = 200 // notes kept above maxNotes, so that trimming does not copy them for each new note
	maxPlans      = 100
	maxClasses    = 64
	minPermitLife = time.Second
	maxPermitLife = 24 * time.Hour
)

// Check returns an error if a command is invalid regardless of the state.
func (c *Command) Check() error {
	for field, text := range map[string]string{"by": c.By, "unit": c.Unit, "change": c.Change, "version": c.Version} {
		if len(text) > maxTextLen {
			return fmt.Errorf("%s: %.20q... has over %d bytes", field, text, maxTextLen)
		}
	}
	if len(c.Why) > 5*maxTextLen || len(c.Units) > maxUnits || len(c.Rules) > maxRules || len(c.Figures) > maxClasses || len(c.Held) > maxUnits {
		return errors.New("the command is too large")
	}
	require := func(ok bool, what string) error {
		if !ok {
			return fmt.Errorf("%s: %s", c.Op, what)
		}
		return nil
	}
	switch c.Op {
	case SetRules:
		names := map[string]bool{}
		for i := range c.Rules {
			if err := c.Rules[i].Check(); err != nil {
				return err
			}
			if names[c.Rules[i].Name] {
				return fmt.Errorf("rule %s: it is named twice", c.Rules[i].Name)
			}
			names[c.Rules[i].Name] = true
		}
		return nil
	case Observe:
		return require(c.Unit != "" && c.Observed != nil && c.Observed.Kind != "" && c.Observed.Capacity >= 0 && c.Observed.Load >= 0, "a unit with a kind, and capacity and load of 0 or more, are due")
	case MarkLost, Forget, Claim:
		return require(c.Unit != "", "a unit is due")
	case RequestPermit:
		return require(c.Unit != "" && c.Change != "" && c.Life >= minPermitLife && c.Life <= maxPermitLife, "a unit, a change, and a time from 1s to 24h are due")
	case Leave, Return, MarkOverdue:
		return require(c.Unit != "" && c.Token != 0, "a unit and its permit's token are due")
	case Withdraw:
		return require(c.Change != "", "a change is due")
	case Halt:
		return require(c.Why != "", "a reason is due")
	case Resume:
		return nil
	case Begin:
		if err := require(c.Change != "" && c.Version != "" && len(c.Units) > 0 && c.Settings != nil, "a name, a version, units and settings are due"); err != nil {
			return err
		}
		return c.Settings.Check()
	case MoveRelease:
		return require(c.Move != nil && c.Move.Plan != "", "a move of a release is due")
	case Fail:
		return require(c.Change != "" && c.Unit != "" && c.Why != "", "a release, a unit and a reason are due")
	case Drain:
		return require(c.Change != "" && len(c.Units) > 0 && c.Life >= minPermitLife && c.Life <= maxPermitLife, "a name, units, and a time from 1s to 24h are due")
	case Restore:
		return require(c.Change != "", "a drain's name is due")
	}
	return fmt.Errorf("there is no command %q", c.Op)
}

// Reply is the result of a command.
type Reply struct {
	Error string `msgpack:"e,omitempty"` // why the command was refused; empty: it was not
	Token uint64 `msgpack:"k,omitempty"` // of the granted permit
	Waits bool   `msgpack:"w,omitempty"` // the request waits and is granted a permit in its turn
}

// Note is one line of the fleet's event history: who requested what, and the result.
type Note struct {
	Seq  uint64 `msgpack:"q"`
	At   int64  `msgpack:"a"` // by the wall clock of the leader at that time, in ms since 1970
	By   string `msgpack:"b"`
	What string `msgpack:"w"`
}

// DrainState is the state of one drain.
type DrainState struct {
	Units []string      `msgpack:"u"`
	By    string        `msgpack:"b"`
	Life  time.Duration `msgpack:"l"`
	Back  bool          `msgpack:"r"` // its units are being restored
	Quiet bool          `msgpack:"q"` // all units have left and no request is in flight there
}

// The kinds of units that this package distinguishes.
const (
	KindGateway = "gateway"
	KindTable   = "table"
)

// Fleet is the replicated state of the fleet's changes, as built from the coordinators' log. The Go names of its fields
// and of those of the types in it are keys in the output of "fleet status --output json".
type Fleet struct {
	Budget      *Budget                     `msgpack:"b"`
	Plans       map[string]*Plan            `msgpack:"p"`
	Drains      map[string]*DrainState      `msgpack:"d"`
	Lives       map[string]time.Duration    `msgpack:"l"` // of the permits and waiting requests, by unit
	Figures     map[string]map[string]Count `msgpack:"f"` // by unit and class, since the unit's process started
	Held        map[string]map[string]int   `msgpack:"h"` // by gateway and drained table server: requests in flight
	Seers       map[string]uint64           `msgpack:"s"` // by lease: the highest fencing token of an observation
	Notes       []Note                      `msgpack:"n"`
	Seq         uint64                      `msgpack:"q"`
	commandTime int64
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{Budget: NewBudget(), Plans: map[string]*Plan{}, Drains: map[string]*DrainState{}, Lives: map[string]time.Duration{},
		Figures: map[string]map[string]Count{}, Held: map[string]map[string]int{}}
}

func (f *Fleet) note(by, format string, args ...any) {
	f.Seq++
	f.Notes = append(f.Notes, Note{f.Seq, f.commandTime, by, fmt.Sprintf(format, args...)})
	if len(f.Notes) > maxNotes+notesSlack {
		f.Notes = slices.Clone(f.Notes[len(f.Notes)-maxNotes:])
	}
}

func replyError(err error) Reply { return Reply{Error: err.Error()} }

// Apply applies one command of the log. The caller has checked it before.
func (f *Fleet) Apply(c Command) (r Reply) {
	b := f.Budget
	f.commandTime = c.At
	switch c.Op {
	case SetRules:
		b.Rules = c.Rules
		f.note(c.By, "sets %d rules", len(c.Rules))
	case Observe:
		if f.Seers == nil {
			f.Seers = map[string]uint64{}
		}
		if c.Token < f.Seers[c.By] { // the sender was suspended, and another observer has taken over
			return Reply{Error: fmt.Sprintf("%s: token %d is overtaken by %d", c.By, c.Token, f.Seers[c.By])}
		}
		if c.Token != 0 {
			f.Seers[c.By] = c.Token
		}
		observed := *c.Observed
		if old := b.Units[c.Unit]; old == nil {
			f.note(c.Unit, "is there: a %s at %s that runs %s", observed.Kind, observed.Site, observed.Version)
		} else if old.Up != observed.Up || old.Version != observed.Version {
			f.note(c.Unit, "is seen: ready %v, runs %s", observed.Up, observed.Version)
		}
		permit := b.Permits[c.Unit]
		if b.Observe(c.Unit, observed); permit != nil && b.Permits[c.Unit] == nil {
			f.note(c.Unit, "is back from %s", permit.Change)
		}
		f.Figures[c.Unit] = c.Figures
		if f.Held == nil { // the snapshot is from a version without this field
			f.Held = map[string]map[string]int{}
		}
		if delete(f.Held, c.Unit); len(c.Held) > 0 {
			f.Held[c.Unit] = c.Held
		}
	case MarkLost:
		if u := b.Units[c.Unit]; u != nil && u.Up {
			u.Up, u.Warm, u.Lost = false, false, true
			f.note(c.Unit, "is silent: it counts as out")
		}
	case Forget:
		if err := b.Forget(c.Unit); err != nil {
			return replyError(err)
		}
		delete(f.Figures, c.Unit)
		delete(f.Held, c.Unit)
		f.note(c.By, "forgets %s", c.Unit)
	case RequestPermit:
		p, refused := b.RequestPermit(PermitRequest{c.Change, c.Unit})
		if refused != nil {
			f.Lives[c.Unit] = max(f.Lives[c.Unit], c.Life)
			return Reply{Error: refused.Error(), Waits: slices.Contains(b.Waiting, PermitRequest{c.Change, c.Unit})}
		}
		f.Lives[c.Unit] = c.Life
		r.Token = p.Token
	case Leave:
		if refused := b.Leave(c.Unit, c.Token); refused != nil {
			return replyError(refused)
		}
		change := b.Permits[c.Unit].Change
		if p := f.Plans[change]; p != nil {
			p.MarkBegun(c.Unit)
		}
		f.note(c.Unit, "leaves for %s", change)
	case Return:
		if !b.Return(c.Unit, c.Token) {
			return Reply{Error: fmt.Sprintf("%s: token %d is no permit in force", c.Unit, c.Token)}
		}
		f.note(c.Unit, "is to serve again")
	case MarkOverdue:
		if b.MarkOverdue(c.Unit, c.Token) {
			f.note(c.Unit, "its permit is overdue: planned work is halted until somebody has looked")
		}
	case Claim:
		p := b.Permits[c.Unit]
		if p == nil {
			return Reply{Error: c.Unit + " has no permit"}
		}
		p.Overdue = false
		f.note(c.By, "has looked after %s", c.Unit)
	case Withdraw:
		b.Withdraw(c.Change)
	case Halt:
		b.Halted = strings.TrimSpace(c.By + ": " + c.Why)
		f.note(c.By, "halts planned work: %s", c.Why)
	case Resume:
		b.Halted = ""
		f.note(c.By, "resumes planned work")
	case Begin:
		return f.begin(c)
	case MoveRelease:
		p := f.Plans[c.Move.Plan]
		if p == nil {
			return Reply{Error: fmt.Sprintf("there is no release %s", c.Move.Plan)}
		}
		if err := p.ApplyMove(*c.Move); err != nil {
			return replyError(err)
		}
		if p.Stage == Halted || p.Stage == RollingBack || p.Over() {
			b.Withdraw(p.ID)
		}
		f.note(c.By, "release %s is %s, wave %d of %d %s", p.ID, p.Stage, p.Wave+1, len(p.Waves), p.Why)
	case Fail:
		if p := f.Plans[c.Change]; p != nil {
			p.Fail(c.Unit, c.Why)
			if p.Stage == Halted {
				b.Withdraw(p.ID)
			}
			f.note(c.Unit, "could not be changed: %s", c.Why)
		}
	case Drain:
		return f.drain(c)
	case Restore:
		d := f.Drains[c.Change]
		if d == nil {
			return Reply{Error: fmt.Sprintf("there is no drain %s", c.Change)}
		}
		d.Back = true
		b.Withdraw(c.Change)
		f.note(c.By, "restores %s", c.Change)
	}
	f.grantAndPrune()
	return r
}

func (f *Fleet) begin(c Command) (r Reply) {
	if old := f.Plans[c.Change]; old != nil {
		if old.To == c.Version && old.Config == c.Config && !old.Over() {
			return r // a repeated command
		}
		return Reply{Error: fmt.Sprintf("there was a release %s already", c.Change)}
	}
	p, err := NewPlan(c.Change, c.Version, c.Config, f.Budget, c.Units, *c.Settings)
	if err != nil {
		return replyError(err)
	}
	for _, id := range sortedKeys(f.Plans) {
		if other := f.Plans[id]; !other.Over() {
			if unit, common := other.Conflicts(p); common {
				return Reply{Error: fmt.Sprintf("release %s is %s, and has %s too", id, other.Stage, unit)}
			}
		}
	}
	f.Plans[c.Change] = p
	f.note(c.By, "begins release %s: %s on %d units in %d waves", p.ID, p.To, len(p.From), len(p.Waves))
	return r
}

func (f *Fleet) drain(c Command) (r Reply) {
	if f.Drains[c.Change] != nil {
		return Reply{Error: fmt.Sprintf("there is a drain %s already", c.Change)}
	}
	for _, u := range c.Units {
		if f.Budget.Units[u] == nil {
			return Reply{Error: u + " is not known"}
		}
	}
	f.Drains[c.Change] = &DrainState{Units: c.Units, By: c.By, Life: c.Life}
	f.note(c.By, "drains %s as %s", strings.Join(c.Units, ", "), c.Change)
	for _, u := range c.Units {
		f.Lives[u] = c.Life
		if _, refused := f.Budget.RequestPermit(PermitRequest{c.Change, u}); refused != nil {
			r.Waits, r.Error = true, refused.Error()
		}
	}
	return r
}

// grantAndPrune grants permits to waiting requests, and removes finished drains and, above maxPlans, finished releases.
func (f *Fleet) grantAndPrune() {
	for _, a := range f.Budget.GrantWaiting() {
		f.note(a.Unit, "may leave for %s", a.Change)
	}
	for _, id := range sortedKeys(f.Drains) {
		d := f.Drains[id]
		if d.Back && !slices.ContainsFunc(d.Units, func(u string) bool { p := f.Budget.Permits[u]; return p != nil && p.Change == id }) {
			delete(f.Drains, id)
			f.note(id, "is over: all of it serves again")
		} else if quiet := f.drainQuiet(id, d); quiet && !d.Quiet && !d.Back {
			f.note(id, "is quiet: nothing is under way at %s", strings.Join(d.Units, ", "))
			d.Quiet = quiet
		}
	}
	for over := 0; len(f.Plans) > maxPlans && over < len(f.Plans); over++ {
		for _, id := range sortedKeys(f.Plans) {
			if f.Plans[id].Over() {
				delete(f.Plans, id)
				break
			}
		}
	}
}

// Task is what a unit's agent has to do now.
type Task struct {
	Change  string // release or drain; empty: nothing
	Version string // that the unit is to run; empty: the unit is to be out
	Config  bool   // the version is that of a configuration
	Restore bool   // the unit is to serve again after a drain
}

// Task returns the task that follows from the log for one unit.
func (f *Fleet) Task(unit string) (t Task) {
	for _, id := range sortedKeys(f.Drains) {
		d := f.Drains[id]
		if slices.Contains(d.Units, unit) {
			p := f.Budget.Permits[unit]
			switch {
			case p != nil && p.Change == id && d.Back:
				return Task{Change: id, Restore: true}
			case !d.Back:
				return Task{Change: id}
			}
		}
	}
	for _, id := range sortedKeys(f.Plans) {
		if v, ok := f.Plans[id].TargetVersion(f.Budget, unit); ok {
			return Task{Change: id, Version: v, Config: f.Plans[id].Config}
		}
	}
	return t
}

// WorkInFlight returns how many requests the gateways have in flight at a drained unit, and the gateways, lost ones
// included, that have not reported a number for it.
func (f *Fleet) WorkInFlight(unit string) (inFlight int, unknown []string) {
	for _, id := range sortedKeys(f.Budget.Units) {
		if g := f.Budget.Units[id]; g.Kind != KindGateway {
			continue
		}
		n, reported := f.Held[id][unit]
		if inFlight += n; !reported {
			unknown = append(unknown, id)
		}
	}
	return inFlight, unknown
}

// drainQuiet reports whether all units of a drain have left and no request is in flight at any of them.
func (f *Fleet) drainQuiet(id string, d *DrainState) bool {
	for _, unit := range d.Units {
		if p := f.Budget.Permits[unit]; p == nil || p.Change != id || !p.Left {
			return false
		}
		if held, unknown := f.WorkInFlight(unit); held > 0 || len(unknown) > 0 {
			return false
		}
	}
	return true
}

// Brief is the state that one unit's agent needs.
type Brief struct {
	Task    Task
	Permit  *Permit  // of the unit; nil: none
	Planned bool     // the permit was granted for a release
	Waits   bool     // a permit request for the task waits
	Drains  []string // drained table servers that have left: gateways report their requests in flight there
}

// Brief returns the part of the state that one unit's agent needs. Its size depends on the changes under way, not on
// the size of the fleet.
func (f *Fleet) Brief(unit string) Brief {
	brief := Brief{Task: f.Task(unit), Permit: f.Budget.Permits[unit]}
	brief.Planned = brief.Permit != nil && f.Plans[brief.Permit.Change] != nil
	brief.Waits = slices.Contains(f.Budget.Waiting, PermitRequest{brief.Task.Change, unit})
	for _, id := range sortedKeys(f.Drains) {
		for _, u := range f.Drains[id].Units {
			if p := f.Budget.Permits[u]; p != nil && p.Change == id && p.Left && f.Budget.Units[u] != nil && f.Budget.Units[u].Kind == KindTable {
				brief.Drains = append(brief.Drains, u)
			}
		}
	}
	return brief
}
