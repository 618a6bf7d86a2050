// Package scale measures what a fleet's control costs as the fleet grows: hollow gateways, which are the real clients of
// discovery, configuration, coordinators and counter without a request to serve, against real coordinators and
// stand-ins, each role in processes of its own. It varies one factor at a time, fits a line to each figure, and checks
// the line at a size that the fit has not seen. It serves no requests and decides nothing for a gateway.
package scale

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"junctionring/internal/config"
)

// Limits of one run. They keep a scenario from taking the machine.
const (
	MemoryMost    = 12 << 30 // bytes, of all processes together
	ProcessesMost = 200
	TimeMost      = 10 * time.Minute // for one size
)

// Part is what takes part in a scenario beside the hollow gateways' own processes.
type Part string

// The parts.
const (
	Discovery     Part = "discovery"     // the list of servers, watched by each gateway
	Configuration Part = "configuration" // the stream of versions
	Sessions      Part = "sessions"      // each gateway's membership at the coordinators
	Agents        Part = "agents"        // what the agent beside each gateway says and asks
	Counter       Part = "counter"       // the shared totals
	Warden        Part = "warden"        // the drain controller, that looks at each server
	Conductor     Part = "conductor"     // the rollout controller, that looks at the whole fleet
	Gateway       Part = "gateway"       // one real gateway process
)

var parts = []Part{Discovery, Configuration, Sessions, Agents, Counter, Warden, Conductor, Gateway}

// Size is how large a fleet is.
type Size struct {
	Gateways      int `toml:"gateways" parquet:"gateways"`
	Servers       int `toml:"servers" parquet:"servers"`
	Routes        int `toml:"routes" parquet:"routes"`
	Tenants       int `toml:"tenants" parquet:"tenants"`
	Zones         int `toml:"zones" parquet:"zones"`
	ServerChanges int `toml:"server_changes" parquet:"server_changes"` // an hour, of the list of servers
	Versions      int `toml:"versions" parquet:"versions"`             // an hour, of the configuration
	Calls         int `toml:"calls" parquet:"calls"`                   // a second at the counter, by each gateway
}

// factors are the parts of a size, by the names that scenarios use.
var factors = map[string]func(*Size) *int{
	"gateways":       func(s *Size) *int { return &s.Gateways },
	"servers":        func(s *Size) *int { return &s.Servers },
	"routes":         func(s *Size) *int { return &s.Routes },
	"tenants":        func(s *Size) *int { return &s.Tenants },
	"zones":          func(s *Size) *int { return &s.Zones },
	"server_changes": func(s *Size) *int { return &s.ServerChanges },
	"versions":       func(s *Size) *int { return &s.Versions },
	"calls":          func(s *Size) *int { return &s.Calls },
}

// bounds are the least and the most that a factor may be.
var bounds = map[string][2]int{
	"gateways": {1, 2400}, "servers": {0, 26_000}, "routes": {0, 46_000}, "tenants": {0, 196_000}, "zones": {1, 100},
	"server_changes": {0, 360_000}, "versions": {0, 360_000}, "calls": {0, 10_000},
}

// Scenario is a fleet of which one factor is varied.
type Scenario struct {
	Name      string          `toml:"name"`
	About     string          `toml:"about"`
	Parts     []Part          `toml:"parts"`
	Vary      string          `toml:"vary"`      // the factor
	Sizes     []int           `toml:"sizes"`     // that the line is fitted to
	HeldOut   []int           `toml:"held_out"`  // that it is checked at
	Processes int             `toml:"processes"` // of hollow gateways
	Settle    config.Duration `toml:"settle"`    // from the moment that all gateways know everything
	Window    config.Duration `toml:"window"`    // that is measured
	Base      Size            `toml:"base"`      // the other factors
}

//go:embed scenarios/*.toml
var embedded embed.FS

// Names are the scenarios that come with the program.
func Names() (names []string) {
	files, _ := fs.Glob(embedded, "scenarios/*.toml")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(path.Base(f), ".toml"))
	}
	return names
}

// Load reads a scenario: one that comes with the program, or else a file. The error names each key that is wrong.
func Load(nameOrFile string) (*Scenario, error) {
	text, err := embedded.ReadFile("scenarios/" + nameOrFile + ".toml")
	if err != nil {
		if text, err = os.ReadFile(nameOrFile); err != nil {
			return nil, fmt.Errorf("there is no scenario and no file %q; there are %s", nameOrFile, strings.Join(Names(), ", "))
		}
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", nameOrFile, err)
	}
	return s, nil
}

// Parse reads a scenario from its text.
func Parse(text []byte) (*Scenario, error) {
	s := &Scenario{Processes: 4, Base: Size{Gateways: 1, Zones: 1}}
	s.Settle.Duration, s.Window.Duration = 2*time.Second, 10*time.Second
	meta, err := toml.Decode(string(text), s)
	if err != nil {
		return nil, err
	}
	var faults []error
	for _, key := range meta.Undecoded() {
		faults = append(faults, fmt.Errorf("unknown key %s", key))
	}
	if err := errors.Join(append(faults, s.check()...)...); err != nil {
		return nil, err
	}
	return s, nil
}

// Size is the fleet's size where the varied factor has a value.
func (s *Scenario) Size(value int) Size {
	size := s.Base
	*factors[s.Vary](&size) = value
	return size
}

// All are the values of the varied factor, those held out last.
func (s *Scenario) All() []int { return slices.Concat(s.Sizes, s.HeldOut) }

// Has tells whether a part takes part.
func (s *Scenario) Has(p Part) bool { return slices.Contains(s.Parts, p) }

func (s *Scenario) check() []error {
	var faults config.Faults
	require := faults.Require
	require(s.Name != "" && !strings.ContainsAny(s.Name, " /"), "name: %q is no name", s.Name)
	require(len(s.Parts) > 0, "parts: none is named")
	for _, p := range s.Parts {
		require(slices.Contains(parts, p), "parts: there is no %q; there are %v", p, parts)
	}
	require(s.Processes >= 1 && s.Processes <= ProcessesMost/2, "processes: %d is not from 1 to %d", s.Processes, ProcessesMost/2)
	require(s.Window.Duration > 0 && s.Settle.Duration >= 0, "window must be above 0 and settle 0 or more")
	require(s.Settle.Duration+s.Window.Duration <= TimeMost, "settle and window: %v and %v are more than %v", s.Settle, s.Window, TimeMost)
	if factors[s.Vary] == nil {
		return append(faults, fmt.Errorf("vary: there is no factor %q", s.Vary))
	}
	require(len(s.Sizes) > 0, "sizes: none is given")
	seen := map[int]bool{}
	for _, value := range s.All() {
		require(!seen[value], "sizes and held_out: %d is listed twice", value)
		seen[value] = true
		faults = append(faults, s.checkSize(value)...)
	}
	return faults
}

// checkSize tells what is wrong with the fleet at one value of the factor.
func (s *Scenario) checkSize(value int) (faults []error) {
	size := s.Size(value)
	for name, of := range factors {
		n, within := *of(&size), bounds[name]
		if n < within[0] || n > within[1] {
			faults = append(faults, fmt.Errorf("%s: %d is not from %d to %d", name, n, within[0], within[1]))
		}
	}
	if need := s.memory(size); need > MemoryMost {
		faults = append(faults, fmt.Errorf("%s = %d: about %d MB are needed, and %d MB are allowed", s.Vary, value, need>>20, MemoryMost>>20))
	}
	return faults
}

// Memory that a scenario takes, roughly and from above: a run that outgrows it is ended all the same.
const (
	memoryProcess = 64 << 20
	memoryHollow  = 400 << 10 // of a hollow gateway at rest, with all its connections and their other ends
	memoryEntry   = 1000      // of a server in a hollow gateway's list
	memoryRoute   = 150       // of a route in a document that a hollow gateway holds
)

func (s *Scenario) memory(size Size) int64 {
	each := int64(memoryHollow)
	if s.Has(Discovery) {
		each += int64(size.Servers) * memoryEntry
	}
	if s.Has(Configuration) {
		each += int64(size.Routes) * memoryRoute
	}
	return int64(size.Gateways)*each + int64(s.Processes+8)*memoryProcess
}
