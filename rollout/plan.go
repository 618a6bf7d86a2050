package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Stage is how far a release has come.
type Stage string

// The stages of a release.
const (
	Updating    Stage = "going"   // the units of the wave are being changed
	Evaluating  Stage = "looking" // the wave is changed: is it as good as the others?
	Halted      Stage = "halted"  // nobody begins anything; who has begun finishes or backs out
	RollingBack Stage = "backing" // the changed ones go back, newest first
	Done        Stage = "done"
	RolledBack  Stage = "undone" // all that were changed run what they ran before
)

// Settings say how a release goes.
type Settings struct {
	Canary   int           `msgpack:"c"` // units of the first wave
	Growth   float64       `msgpack:"g"` // of each wave over the one before; 1 at least
	Pause    time.Duration `msgpack:"p"` // after each wave, before it is judged
	Patience time.Duration `msgpack:"t"` // for enough requests to judge by, and for a wave to be changed
	Limits   Limits        `msgpack:"l"`
	GoBack   bool          `msgpack:"b"` // a halt by a check goes back by itself
}

// DefaultSettings change one unit, then three times as many with each wave.
var DefaultSettings = Settings{Canary: 1, Growth: 3, Pause: 30 * time.Second, Patience: 5 * time.Minute, Limits: DefaultLimits}

// Check names what is wrong with settings.
func (s *Settings) Check() error {
	switch {
	case s.Canary < 1:
		return fmt.Errorf("canary: %d units are none", s.Canary)
	case !(s.Growth >= 1) || math.IsInf(s.Growth, 0):
		return fmt.Errorf("growth: %g is below 1", s.Growth)
	case s.Pause < 0 || s.Patience < s.Pause:
		return fmt.Errorf("pause, patience: %v and %v must be 0 or more, patience no shorter", s.Pause, s.Patience)
	case s.Limits.Enough < 1 || !(s.Limits.More >= 0) || !(s.Limits.Sure >= 0):
		return fmt.Errorf("limits: enough must be 1 or more, more and sure 0 or more")
	}
	return nil
}

// Waves deals units out into waves. Neighbours in the list stand in different waves where they can, so that a wave
// takes from each site in turn.
func Waves(units []string, site func(string) string, canary int, growth float64) (waves [][]string) {
	bySite := map[string][]string{}
	for _, u := range units {
		bySite[site(u)] = append(bySite[site(u)], u)
	}
	var order []string
	for len(order) < len(units) {
		for _, s := range sortedKeys(bySite) {
			if len(bySite[s]) > 0 {
				order, bySite[s] = append(order, bySite[s][0]), bySite[s][1:]
			}
		}
	}
	for size := float64(canary); len(order) > 0; size *= growth {
		n := min(len(order), max(1, int(size)))
		waves, order = append(waves, order[:n:n]), order[n:]
	}
	return waves
}

// Plan is one release, as it stands in the log.
type Plan struct {
	ID        string            `msgpack:"i"`
	To        string            `msgpack:"t"` // version
	Config    bool              `msgpack:"q"` // of the configuration; else of the program
	From      map[string]string `msgpack:"f"` // by unit: the version that it ran before
	Waves     [][]string        `msgpack:"w"`
	Settings  Settings          `msgpack:"s"`
	Stage     Stage             `msgpack:"g"`
	Wave      int               `msgpack:"n"`
	Begun     []string          `msgpack:"b"` // units that somebody began to change, in that order
	Failed    map[string]string `msgpack:"x"` // units that could not be changed, and why
	Why       string            `msgpack:"y"` // of a halt
	Conductor uint64            `msgpack:"c"` // the highest token that moved it

	disabled guard
}

// NewPlan is a release that is about to begin.
func NewPlan(id, to string, config bool, b *Budget, units []string, s Settings) (*Plan, error) {
	if id == "" || to == "" || len(units) == 0 {
		return nil, fmt.Errorf("release: it needs a name, a version and a unit at least")
	}
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("release %s: %w", id, err)
	}
	p := &Plan{ID: id, To: to, Config: config, From: map[string]string{}, Settings: s, Stage: Updating, Failed: map[string]string{}}
	for _, u := range units {
		observed := b.Units[u]
		if observed == nil {
			return nil, fmt.Errorf("release %s: %s is not known", id, u)
		}
		if _, duplicate := p.From[u]; duplicate {
			return nil, fmt.Errorf("release %s: %s is named twice", id, u)
		}
		if config && observed.Config == "" {
			return nil, fmt.Errorf("release %s: %s names no configuration that it could go back to", id, u)
		}
		p.From[u] = p.RunningVersion(observed)
	}
	p.Waves = Waves(units, func(u string) string { return b.Units[u].Site }, s.Canary, s.Growth)
	return p, nil
}

// RunningVersion is the version that a unit runs, of what this release changes.
func (p *Plan) RunningVersion(u *Unit) string {
	if p.Config {
		return u.Config
	}
	return u.Version
}

// Over tells whether nothing is left to do.
func (p *Plan) Over() bool { return p.Stage == Done || p.Stage == RolledBack }

// Conflicts tells whether two releases name a unit in common.
func (p *Plan) Conflicts(other *Plan) (unit string, ok bool) {
	for _, u := range sortedKeys(p.From) {
		if _, both := other.From[u]; both {
			return u, true
		}
	}
	return "", false
}

// TargetVersion is the version that a unit's agent is to bring it to now; ok is false where it is to leave the unit as it is.
// An agent that has begun goes on by itself.
func (p *Plan) TargetVersion(b *Budget, unit string) (version string, ok bool) {
	u := b.Units[unit]
	if u == nil {
		return "", false
	}
	switch p.Stage {
	case Updating:
		if slices.Contains(p.Waves[p.Wave], unit) && p.RunningVersion(u) != p.To && p.Failed[unit] == "" {
			return p.To, true
		}
	case RollingBack:
		if p.nextRollback(b) == unit {
			return p.From[unit], true
		}
	}
	return "", false
}

// next is the newest begun unit that does not run what it ran before.
func (p *Plan) nextRollback(b *Budget) string {
	order := slices.Clone(p.Begun)
	if p.disabled != guardNewestFirst {
		slices.Reverse(order)
	}
	for _, unit := range order {
		if u := b.Units[unit]; u != nil && p.RunningVersion(u) != p.From[unit] {
			return unit
		}
	}
	return ""
}

// MarkBegun notes that a unit's agent has a permit and begins.
func (p *Plan) MarkBegun(unit string) {
	if _, included := p.From[unit]; included && !slices.Contains(p.Begun, unit) {
		p.Begun = append(p.Begun, unit)
	}
}

// Fail notes that a unit could not be changed. Its agent has brought the old version back, or says that it can't.
func (p *Plan) Fail(unit, why string) {
	if _, included := p.From[unit]; !included {
		return
	}
	p.Failed[unit] = why
	if p.Stage == Updating || p.Stage == Evaluating {
		p.halt(fmt.Sprintf("%s: %s", unit, why))
	}
}

func (p *Plan) halt(why string) {
	p.Stage, p.Why = Halted, why
}

// Move is a step that a conductor, or an operator, wants a release to take. It counts only from the stage and wave
// that its maker saw; a conductor's also only if no later conductor has moved the plan.
type Move struct {
	Plan  string `msgpack:"p"`
	Token uint64 `msgpack:"k"` // of the conductor's lease; 0: an operator's
	Stage Stage  `msgpack:"s"` // seen
	Wave  int    `msgpack:"w"` // seen
	To    Stage  `msgpack:"t"`
	Why   string `msgpack:"y"`
}

// ApplyMove takes a move, or says why not.
func (p *Plan) ApplyMove(m Move) error {
	switch {
	case p.Over():
		return fmt.Errorf("release %s: it is %s", p.ID, p.Stage)
	case m.Token != 0 && m.Token < p.Conductor:
		return fmt.Errorf("release %s: token %d is overtaken by %d", p.ID, m.Token, p.Conductor)
	case m.Stage != p.Stage || m.Wave != p.Wave:
		return fmt.Errorf("release %s: it is %s in wave %d, not %s in wave %d", p.ID, p.Stage, p.Wave+1, m.Stage, m.Wave+1)
	}
	p.Conductor = max(p.Conductor, m.Token)
	switch {
	case m.To == Halted && (p.Stage == Updating || p.Stage == Evaluating):
		p.halt(m.Why)
	case m.To == Evaluating && p.Stage == Updating:
		p.Stage = Evaluating
	case m.To == Updating && p.Stage == Evaluating && p.Wave+1 < len(p.Waves):
		p.Stage, p.Wave = Updating, p.Wave+1
	case m.To == Updating && p.Stage == Halted: // resumed: what failed is tried again
		p.Stage, p.Why = Updating, ""
		clear(p.Failed)
	case m.To == Done && p.Stage == Evaluating && p.Wave+1 == len(p.Waves):
		p.Stage = Done
	case m.To == RollingBack && !p.Over():
		p.Stage = RollingBack
		clear(p.Failed)
	case m.To == RolledBack && p.Stage == RollingBack:
		p.Stage = RolledBack
	default:
		return fmt.Errorf("release %s: it does not go from %s to %s", p.ID, p.Stage, m.To)
	}
	return nil
}

// Observation is what a conductor sees besides the log. Since counts from when this conductor first saw the stage and wave:
// one that takes over waits again, and never less than another would have.
type Observation struct {
	Since   time.Duration
	Changed map[string]Count // at the units that run the new version, in the same span as Others
	Others  map[string]Count
	Fresh   bool // the counts are fresh
}

// Next is the move that follows from the log and what is seen; ok is false where there is nothing to do but wait.
func (p *Plan) Next(b *Budget, o Observation) (m Move, ok bool) {
	moveTo := func(s Stage, why string, args ...any) (Move, bool) {
		return Move{Plan: p.ID, Stage: p.Stage, Wave: p.Wave, To: s, Why: fmt.Sprintf(why, args...)}, true
	}
	switch p.Stage {
	case Updating:
		if unit := p.failedUnit(b, p.Wave+1); unit != "" {
			return moveTo(Halted, "%s runs the new version and is not seen ready", unit)
		}
		for _, unit := range p.Waves[p.Wave] {
			if u := b.Units[unit]; u != nil && (p.RunningVersion(u) != p.To || !u.inService() || b.Permits[unit] != nil) {
				if o.Since > p.Settings.Patience && b.Permits[unit] != nil {
					return moveTo(Halted, "%s is not back after %v", unit, p.Settings.Patience)
				}
				if o.Since > p.Settings.Patience && u.Lost {
					return moveTo(Halted, "%s is out of sight for %v", unit, p.Settings.Patience)
				}
				return m, false
			}
		}
		return moveTo(Evaluating, "")
	case Evaluating:
		if unit := p.failedUnit(b, p.Wave+1); unit != "" {
			return moveTo(Halted, "%s runs the new version and is not seen ready", unit)
		}
		limits := p.Settings.Limits
		if p.disabled == guardMinRequests {
			limits.Enough = 1
		}
		switch v, why := limits.Judge(o.Changed, o.Others); {
		case !o.Fresh:
			if o.Since > p.Settings.Patience {
				return moveTo(Halted, "no figures for %v", p.Settings.Patience)
			}
		case v == Bad:
			return moveTo(Halted, "%s", why)
		case o.Since < p.Settings.Pause:
		case v == Good, p.onLastWave() && len(o.Others) == 0: // with nobody left to compare with
			if p.Wave+1 < len(p.Waves) {
				return moveTo(Updating, "")
			}
			return moveTo(Done, "")
		case o.Since > p.Settings.Patience:
			return moveTo(Halted, "too few requests to tell: %s", why)
		}
	case Halted:
		if p.Settings.GoBack {
			return moveTo(RollingBack, "%s", p.Why)
		}
	case RollingBack:
		if p.nextRollback(b) == "" && !p.holdsPermit(b) {
			return moveTo(RolledBack, "%s", p.Why)
		}
	}
	return m, false
}

func (p *Plan) onLastWave() bool { return p.Wave+1 == len(p.Waves) }

// fallen is a unit of the waves before one that runs the new version, has no permit, and is seen not to be in. One that
// is out of sight for a while is no sign of a bad version: its wave isn't judged before it is seen again.
func (p *Plan) failedUnit(b *Budget, waves int) string {
	for _, wave := range p.Waves[:waves] {
		for _, unit := range wave {
			if u := b.Units[unit]; u != nil && p.RunningVersion(u) == p.To && !u.inService() && !u.Lost && b.Permits[unit] == nil {
				return unit
			}
		}
	}
	return ""
}

// holds tells whether a unit is still out for this release.
func (p *Plan) holdsPermit(b *Budget) bool {
	for _, permit := range b.Permits {
		if permit.Change == p.ID {
			return true
		}
	}
	return false
}
