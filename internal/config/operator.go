package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"junctionring/control"
	"junctionring/internal/routes"
	"junctionring/sites"
)

// Duration is a duration in an operator's file, written as "800ms".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// Operator holds the content of an operator's file: the settings of the forward-auth front and its dependencies.
type Operator struct {
	Listen         string         `toml:"listen"`
	Ordinal        int            `toml:"ordinal"`  // number of this gateway, from 0
	Gateways       int            `toml:"gateways"` // number of gateways that share the store
	TrustedProxies []netip.Prefix `toml:"trusted_proxies"`
	MaxBody        int64          `toml:"max_body"`
	MaxHeader      int            `toml:"max_header"`
	MaxAttempts    int            `toml:"max_attempts"`
	Drain          Duration       `toml:"drain"`
	Limits         struct {
		Cores    float64 `toml:"cores"`
		MemoryMB int     `toml:"memory_mb"`
		Sockets  int     `toml:"sockets"`
	} `toml:"limits"`
	Identity struct {
		Account string `toml:"account_header"`
		Plan    string `toml:"plan_header"`
	} `toml:"identity"`
	Checker struct {
		URL             string   `toml:"url"` // empty: identity headers of trusted proxies are used
		Timeout         Duration `toml:"timeout"`
		RequestHeaders  []string `toml:"request_headers"`  // headers passed to the checker; empty: all
		ResponseHeaders []string `toml:"response_headers"` // headers of a 2xx response that are copied to the forwarded request
		RetryAfter      Duration `toml:"retry_after"`
	} `toml:"checker"`
	Asked struct {
		Path string `toml:"path"` // path at which a proxy asks for a verdict; empty: disabled
	} `toml:"asked"`
	Redis struct {
		Address string   `toml:"address"`
		Timeout Duration `toml:"timeout"`
	} `toml:"redis"`
	Classes  []ClassSettings  `toml:"class"`
	Plans    []PlanSettings   `toml:"plan"`
	Targets  []TargetSettings `toml:"target"`
	Sites    []SiteSettings   `toml:"site"`
	Routes   []Route          `toml:"route"` // in order of precedence; none: the first path segment names the class
	Versions struct {
		Snapshot string `toml:"snapshot"` // file of the last good version; empty: none is saved
	} `toml:"versions"`
	Discovery struct {
		Address string `toml:"address"` // registry to watch; empty: targets come from this file
	} `toml:"discovery"`
	Operations struct {
		Listen string `toml:"listen"` // address of the operations endpoint; empty: disabled
	} `toml:"operations"`

	inheritsSites bool // a version that names no site keeps those that the gateway was started with

	Module      control.Settings `toml:"-"` // settings of the control module, derived from this file
	SitesModule sites.Settings   `toml:"-"` // settings of the sites module, if there are sites
	RouteTable  *routes.Table    `toml:"-"` // the compiled routes; nil if there are none
}

// ClassSettings is one [[class]].
type ClassSettings struct {
	Name      string   `toml:"name"`
	Aim       Duration `toml:"aim"`
	Deadline  Duration `toml:"deadline"`
	Worth     float64  `toml:"worth"`
	LateWorth float64  `toml:"late_worth"`
	Repeat    string   `toml:"repeat"` // safe, keyed, unsafe
	Window    Duration `toml:"window"` // keyed only: how long targets drop a repeated request
	Group     string   `toml:"group"`  // keyed only: targets that drop each other's repeats: all, site, zone or cell
}

// PlanSettings is one [[plan]].
type PlanSettings struct {
	Name      string  `toml:"name"`
	Rate      float64 `toml:"rate"`
	Burst     float64 `toml:"burst"`
	Open      int     `toml:"open"`
	Worth     float64 `toml:"worth"`
	OverWorth float64 `toml:"over_worth"`
	OverCost  float64 `toml:"over_cost"`
}

// TargetSettings is one [[target]].
type TargetSettings struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
	Zone    *int   `toml:"zone"` // absent: unknown
	Cell    *int   `toml:"cell"` // within its zone; absent: unknown
	Site    string `toml:"site"`
}

// Route is one [[route]].
type Route struct {
	Path    string   `toml:"path"`
	Methods []string `toml:"methods"`
	Class   string   `toml:"class"`
}

// checkRoutes checks the routes and compiles them into o.RouteTable.
func (o *Operator) checkRoutes(fault func(error)) {
	if len(o.Routes) == 0 {
		return
	}
	var rules []routes.Rule
	for i, r := range o.Routes {
		class := slices.IndexFunc(o.Classes, func(c ClassSettings) bool { return c.Name == r.Class })
		if class < 0 {
			fault(fmt.Errorf("route %d (%s): there is no class %q", i+1, r.Path, r.Class))
		}
		rules = append(rules, routes.Rule{Path: r.Path, Methods: r.Methods, Class: class})
	}
	table, faults := routes.Compile(rules)
	for _, err := range faults {
		fault(err)
	}
	o.RouteTable = table
}

// SiteSettings is one [[site]].
type SiteSettings struct {
	Name        string   `toml:"name"`
	Here        bool     `toml:"here"`        // the gateway is at this site
	Distance    Duration `toml:"distance"`    // one-way delay from this gateway
	Gateways    int      `toml:"gateways"`    // number of gateways at the site; 0: unknown
	Zones       []string `toml:"zones"`       // zones of the registry that form the site; empty: the zone of the same name
	Connections int      `toml:"connections"` // maximum to all its targets; 0: a share of the sockets
	Warm        *int     `toml:"warm"`        // idle connections kept open to each target; absent: 0 here, 2 elsewhere
}

// WarmConnections returns how many idle connections are kept open to each target of the site.
func (s *SiteSettings) WarmConnections() int {
	switch {
	case s.Warm != nil:
		return *s.Warm
	case s.Here:
		return 0
	}
	return remoteWarmConnections
}

// remoteWarmConnections is the default number of idle connections kept open to each target at another site, where a
// new connection costs a round trip.
const remoteWarmConnections = 2

// ZoneSites maps each zone of the registry to the number of its site.
func (o *Operator) ZoneSites() map[string]int {
	m := map[string]int{}
	for i, s := range o.Sites {
		zones := s.Zones
		if len(zones) == 0 {
			zones = []string{s.Name}
		}
		for _, z := range zones {
			m[z] = i
		}
	}
	return m
}

// SiteOf returns the number of the site with the given name, or 0 if there is none.
func (o *Operator) SiteOf(name string) int {
	return max(0, slices.IndexFunc(o.Sites, func(s SiteSettings) bool { return s.Name == name }))
}

// checkSites checks the sites and fills in the site settings of both modules.
func (o *Operator) checkSites(require func(ok bool, format string, args ...any)) {
	here, siteNames, zones := -1, map[string]bool{}, map[string]string{}
	for i, s := range o.Sites {
		require(s.Name != "", "site %d: it has no name", i+1)
		require(s.Name == "" || !siteNames[s.Name], "site %q is named twice", s.Name)
		siteNames[s.Name] = true
		if s.Here {
			require(here < 0, "site %q: the gateway is at another site already", s.Name)
			here, o.Module.SiteGateways = i, s.Gateways
			require(s.Distance.Duration == 0, "site %q: the gateway stands here, so its distance must be 0", s.Name)
		} else {
			require(s.Distance.Duration > 0, "site %q: distance %s must be above 0", s.Name, s.Distance)
		}
		require(s.Gateways >= 0 && s.Gateways <= o.Gateways, "site %q: %d gateways, and %d in all", s.Name, s.Gateways, o.Gateways)
		require(s.Connections >= 0, "site %q: connections must not be negative", s.Name)
		require(s.WarmConnections() >= 0 && s.WarmConnections() <= 16, "site %q: warm must be from 0 to 16", s.Name)
		for _, z := range s.Zones {
			require(zones[z] == "", "site %q: zone %q belongs to site %q already", s.Name, z, zones[z])
			zones[z] = s.Name
		}
		o.SitesModule.Sites = append(o.SitesModule.Sites, sites.Site{Name: s.Name, Distance: s.Distance.Seconds()})
	}
	require(len(o.Sites) == 0 || here >= 0, "no site says here = true: the gateway must know where it stands")
	for _, t := range o.Targets {
		if o.Discovery.Address != "" {
			break
		}
		require(len(o.Sites) == 0 || t.Site != "", "target %q has no site", t.ID)
		require(t.Site == "" || siteNames[t.Site], "target %q: there is no site %q", t.ID, t.Site)
	}
	o.SitesModule.Own = max(0, here)
	o.SitesModule.Classes, o.SitesModule.Guarantees = o.Module.Classes, o.Module.Guarantees
	o.Module.Site, o.Module.Sites = o.SitesModule.Own, len(o.Sites)
}

// operatorGroups are the groups that an operator's file may name.
var operatorGroups = map[string]control.Group{
	"": control.GroupAll, "all": control.GroupAll, "site": control.GroupSite, "zone": control.GroupZone, "cell": control.GroupCell,
}

// checkGroups requires that something tells the groups of the keyed classes apart. With discovery, the registry's list
// says in which zone and cell a target is.
func (o *Operator) checkGroups(require func(ok bool, format string, args ...any)) {
	for _, c := range o.Classes {
		group := operatorGroups[c.Group]
		if group == control.GroupSite {
			require(len(o.Sites) > 0 || o.inheritsSites, "class %s: group = \"site\", but there is no [[site]]", c.Name)
		}
		if o.Discovery.Address != "" {
			continue
		}
		for _, t := range o.Targets {
			needsZone := group == control.GroupZone || group == control.GroupCell
			require(!needsZone || t.Zone != nil, "class %s: group = %q, but target %q has no zone", c.Name, c.Group, t.ID)
			require(group != control.GroupCell || t.Cell != nil, "class %s: group = %q, but target %q has no cell", c.Name, c.Group, t.ID)
		}
	}
}

// LoadOperator reads and checks an operator's file. The error lists every fault.
func LoadOperator(path string) (*Operator, error) {
	o := defaultOperator()
	if err := ReadFile(path, o, o.check); err != nil {
		return nil, err
	}
	return o, nil
}

func defaultOperator() *Operator {
	o := &Operator{Gateways: 1, MaxBody: 64 << 10, MaxHeader: 16 << 10, MaxAttempts: 3}
	o.Limits.Cores, o.Limits.MemoryMB, o.Limits.Sockets = 1, 192, 1024
	o.Drain.Duration = 10 * time.Second
	o.Identity.Account, o.Identity.Plan = "X-Auth-Account", "X-Auth-Plan"
	o.Checker.Timeout.Duration, o.Checker.RetryAfter.Duration = 800*time.Millisecond, time.Second
	o.Redis.Timeout.Duration = 50 * time.Millisecond
	return o
}

// read decodes a document into o, which keeps its values for absent keys, and returns all faults.
func (o *Operator) read(text []byte) []error { return read(text, o, o.check) }

// check returns all faults, and fills in the settings of the modules and the route table.
func (o *Operator) check() []error {
	var faults Faults
	seen := map[string]bool{}
	unique := func(kind, name string) {
		faults.Require(name != "" && !strings.ContainsAny(name, "/ "), "%s: %q is no name", kind, name)
		faults.Require(!seen[kind+" "+name], "%s %q is named twice", kind, name)
		seen[kind+" "+name] = true
	}
	o.checkGateway(&faults)
	o.checkIdentity(&faults)
	o.Module = o.module()
	o.checkClasses(&faults, unique)
	o.checkPlans(&faults, unique)
	o.checkTargets(&faults, unique)
	o.checkSites(faults.Require)
	o.checkGroups(faults.Require)
	o.checkRoutes(func(err error) { faults = append(faults, err) })
	return faults
}

// checkGateway checks the listen address, the ordinal and the limits of the gateway.
func (o *Operator) checkGateway(faults *Faults) {
	require := faults.Require
	faults.RequirePort("listen", o.Listen)
	require(o.Gateways >= 1 && o.Ordinal >= 0 && o.Ordinal < o.Gateways,
		"ordinal %d of %d gateways is out of range", o.Ordinal, o.Gateways)
	require(o.MaxBody > 0 && o.MaxBody <= 32<<20, "max_body must be from 1 to 33554432")
	require(o.MaxHeader >= 1<<10, "max_header must be at least 1024")
	require(o.MaxAttempts >= 1, "max_attempts must be at least 1")
	require(o.Drain.Duration > 0, "drain must be above 0")
	require(o.Limits.Cores > 0 && o.Limits.MemoryMB > 0 && o.Limits.Sockets >= 64,
		"limits: cores and memory_mb must be above 0 and sockets at least 64")
}

// checkIdentity checks the sources of client identity and the store that counts used quota.
func (o *Operator) checkIdentity(faults *Faults) {
	require := faults.Require
	require(o.Identity.Account != "" && o.Identity.Plan != "", "identity: both headers need a name")
	if o.Checker.URL != "" {
		u, err := url.Parse(o.Checker.URL)
		require(err == nil && u.Scheme == "http" && u.Host != "", "checker: url must be http://host[:port]/path")
		require(o.Checker.Timeout.Duration > 0, "checker: timeout must be above 0")
		require(o.Checker.RetryAfter.Duration > 0, "checker: retry_after must be above 0")
	} else {
		require(len(o.TrustedProxies) > 0, "without a checker, trusted_proxies must name who says who a client is")
	}
	require(o.Asked.Path == "" || strings.HasPrefix(o.Asked.Path, "/"), "asked: path must begin with /")
	require(o.Asked.Path == "" || len(o.TrustedProxies) > 0, "asked: trusted_proxies must name who may ask")
	faults.RequirePort("redis: address", o.Redis.Address)
	require(o.Redis.Timeout.Duration > 0, "redis: timeout must be above 0")
}

// module returns the control module's settings without classes, plans and sites.
func (o *Operator) module() control.Settings {
	return control.Settings{
		Ordinal: o.Ordinal, Gateways: o.Gateways,
		Limits: control.Limits{
			MaxAttempts: o.MaxAttempts, Cancel: true, RetryAfter: true, MaxRetryAfter: 10,
		},
		Guarantees: control.Guarantees{ColdFrom: 0.15, Ramp: 18, FallMultiple: 3, FallAfter: 1.5},
		Counter:    control.CounterInfo{Allowed: true, Price: 0.005, Timeout: o.Redis.Timeout.Seconds()},
	}
}

// checkClasses checks the classes and adds them to the module's settings.
func (o *Operator) checkClasses(faults *Faults, unique func(kind, name string)) {
	require := faults.Require
	require(len(o.Classes) > 0, "there is no [[class]]")
	repeats := map[string]control.Repeat{"safe": control.Safe, "keyed": control.Keyed, "unsafe": control.Unsafe}
	for _, c := range o.Classes {
		unique("class", c.Name)
		repeat, err := Lookup(repeats, c.Repeat, "repeat")
		require(err == nil, "class %s: repeat must be safe, keyed or unsafe", c.Name)
		require(c.Aim.Duration > 0 && c.Deadline.Duration >= c.Aim.Duration,
			"class %s: aim must be above 0 and deadline no shorter", c.Name)
		require(c.Worth > 0 && c.LateWorth >= 0 && c.LateWorth <= 1, "class %s: worth or late_worth is out of range", c.Name)
		require(repeat != control.Keyed || c.Window.Duration > 0, "class %s: keyed needs a window", c.Name)
		group, err := Lookup(operatorGroups, c.Group, "group")
		require(err == nil, "class %s: group must be all, site or zone, or cell", c.Name)
		require(c.Group == "" || repeat == control.Keyed, "class %s: only a keyed class has a group", c.Name)
		o.Module.Classes = append(o.Module.Classes, control.Class{
			Aim: c.Aim.Seconds(), Deadline: c.Deadline.Seconds(), Worth: c.Worth, LateWorth: c.LateWorth,
			Repeat: repeat, Group: group, Window: c.Window.Seconds(),
		})
	}
}

// checkPlans checks the plans and adds them to the module's settings.
func (o *Operator) checkPlans(faults *Faults, unique func(kind, name string)) {
	require := faults.Require
	require(len(o.Plans) > 0, "there is no [[plan]]")
	for _, p := range o.Plans {
		unique("plan", p.Name)
		require(p.Rate > 0 && p.Burst >= 1, "plan %s: rate must be above 0 and burst at least 1", p.Name)
		require(p.Open >= 0 && p.Worth > 0 && p.OverWorth >= 0 && p.OverCost >= 0,
			"plan %s: open, worth, over_worth or over_cost is out of range", p.Name)
		o.Module.Plans = append(o.Module.Plans, control.Plan{
			Rate: p.Rate, Burst: p.Burst, Open: p.Open, Worth: p.Worth, OverWorth: p.OverWorth, OverCost: p.OverCost,
		})
	}
}

// checkTargets checks the targets and the addresses of discovery and operations.
func (o *Operator) checkTargets(faults *Faults, unique func(kind, name string)) {
	require := faults.Require
	require(len(o.Targets) > 0 || o.Asked.Path != "" || o.Discovery.Address != "",
		"there is no [[target]], no discovery, and nobody may ask")
	if o.Discovery.Address != "" {
		faults.RequirePort("discovery: address", o.Discovery.Address)
	}
	if o.Operations.Listen != "" {
		faults.RequirePort("operations: listen", o.Operations.Listen)
	}
	for _, t := range o.Targets {
		unique("target", t.ID)
		if o.Discovery.Address != "" { // the roster has the address; naming targets restricts use to them
			require(t.Address == "" && t.Site == "", "target %s: with discovery it has neither address nor site", t.ID)
			continue
		}
		faults.RequirePort("target "+t.ID, t.Address)
	}
}
