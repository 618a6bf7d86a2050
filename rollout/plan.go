package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Stage is the stage of a release.
type Stage string

// The stages of a release.
const (
	Updating    Stage = "going"   // the units of the wave are being changed
	Evaluating  Stage = "looking" // the wave is changed and is compared with the other units
	Halted      Stage = "halted"  // no unit begins; a unit that has begun finishes or goes back to its previous version
	RollingBack Stage = "backing" // the changed units go back to their previous versions, the last changed first
	Done        Stage = "done"
	RolledBack  Stage = "undone" // all changed units run their previous versions again
)

// Settings control the course of a release.
type Settings struct {
	Canary   int           `msgpack:"c"` // number of units in the first wave
	Growth   float64       `msgpack:"g"` // size of each wave relative to the previous one; at least 1
	Pause    time.Duration `msgpack:"p"` // minimum time that a changed wave is observed before it is judged
	Patience time.Duration `msgpack:"t"` // limit for changing a wave, and for waiting for enough requests to judge it
	Limits   Limits        `msgpack:"l"`
	GoBack   bool          `msgpack:"b"` // a halted release rolls back without an operator
}

// DefaultSettings change one unit first, then three times as many units in each further wave.
var DefaultSettings = Settings{Canary: 1, Growth: 3, Pause: 30 * time.Second, Patience: 5 * time.Minute, Limits: DefaultLimits}

// Check returns an error that says what is wrong with the settings.
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

// Waves divides units into waves. It takes units from each site in turn, so that a wave is spread over the sites and
// the units of one site fall into different waves where possible.
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

// Plan is the state of one release, as kept in the log.
type Plan struct {
	ID        string            `msgpack:"i"`
	To        string            `msgpack:"t"` // version to release
	Config    bool              `msgpack:"q"` // the version is that of a configuration; false: of the program
	From      map[string]string `msgpack:"f"` // by unit: its version before the release
	Waves     [][]string        `msgpack:"w"`
	Settings  Settings          `msgpack:"s"`
	Stage     Stage             `msgpack:"g"`
	Wave      int               `msgpack:"n"`
	Begun     []string          `msgpack:"b"` // units whose change has begun, in the order of beginning
	Failed    map[string]string `msgpack:"x"` // by unit that could not be changed: the reason
	Why       string            `msgpack:"y"` // reason of a halt
	Conductor uint64            `msgpack:"c"` // the highest fencing token of a conductor that moved the release

	disabled guard
}

// NewPlan returns a release that is about to begin.
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

// RunningVersion returns the unit's version of what this release changes: the configuration or the program.
func (p *Plan) RunningVersion(u *Unit) string {
	if p.Config {
		return u.Config
	}
	return u.Version
}

// Over reports whether the release has ended.
func (p *Plan) Over() bool { return p.Stage == Done || p.Stage == RolledBack }

// Conflicts returns a unit that both releases include, if there is one.
func (p *Plan) Conflicts(other *Plan) (unit string, ok bool) {
	for _, u := range sortedKeys(p.From) {
		if _, both := other.From[u]; both {
			return u, true
		}
	}
	return "", false
}

// TargetVersion returns the version that a unit's agent has to install now; ok is false if the agent has to leave the
// unit as it is. An agent that has begun finishes on its own.
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

// nextRollback returns the last begun unit that does not run its previous version, or "".
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

// MarkBegun records that a unit's agent has a permit and begins.
func (p *Plan) MarkBegun(unit string) {
	if _, included := p.From[unit]; included && !slices.Contains(p.Begun, unit) {
		p.Begun = append(p.Begun, unit)
	}
}

// Fail records that a unit could not be changed. Its agent has restored the previous version, or reports that it cannot.
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

// Move is a transition of a release that a conductor or an operator requests. It is valid only if the release is still
// in the stage and wave that the sender observed. A conductor's move is also invalid once a later conductor has moved
// the release.
type Move struct {
	Plan  string `msgpack:"p"`
	Token uint64 `msgpack:"k"` // of the conductor's lease; 0: sent by an operator
	Stage Stage  `msgpack:"s"` // stage that the sender observed
	Wave  int    `msgpack:"w"` // wave that the sender observed
	To    Stage  `msgpack:"t"`
	Why   string `msgpack:"y"`
}

// ApplyMove applies a move, or returns an error that says why it is not valid.
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
	case m.To == Updating && p.Stage == Halted: // resumed: failed units are tried again
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

// Observation is what a conductor observes in addition to the log. Since counts from when this conductor first observed
// the stage and wave. A conductor that takes over therefore waits the full time again, never less than its predecessor
// would have waited.
type Observation struct {
	Since   time.Duration
	Changed map[string]Count // at the units that run the new version, over the same period as Others
	Others  map[string]Count
	Fresh   bool // the counts are up to date
}

// Next returns the move that follows from the log and the observation; ok is false if the conductor has to wait.
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
		case v == Good, p.onLastWave() && len(o.Others) == 0: // no unit is left to compare with
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

// failedUnit returns a unit of the first waves that runs the new version, has no permit, and is observed out of service.
// A lost unit is no sign of a bad version: its wave is not judged before the unit is observed again.
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

// holdsPermit reports whether any unit still has a permit for this release.
func (p *Plan) holdsPermit(b *Budget) bool {
	for _, permit := range b.Permits {
		if permit.Change == p.ID {
			return true
		}
	}
	return false
}
