// Package config reads and checks a gateway's configuration: the platform's file with the settings object, which the
// simulator's adapter also uses, and the operator's file of the forward-auth front with its later versions. It does not
// put anything in force: package configuration does that for versions.
package config

import (
	"cmp"
	"errors"
	"fmt"

	"github.com/tidwall/gjson"

	"junctionring/control"
)

// String values of the settings object and the constants that they stand for.
var (
	repeats = map[string]control.Repeat{
		"read_like": control.Safe, "idempotency_key": control.Keyed, "non_idempotent": control.Unsafe,
	}
	groups = map[string]control.Group{
		"": control.GroupAll, "all": control.GroupAll, "zone": control.GroupZone, "cell": control.GroupCell,
	}
	loadSources = map[string]control.LoadVia{
		"": control.LoadNone, "none": control.LoadNone,
		"answers": control.LoadInAnswers, "probe": control.LoadInProbes,
	}
	discoverySubscribes = map[string]bool{"": false, "automatic": false, "subscribe": true}
)

// Lookup returns the value for a key of a protocol or file. The error for an unknown key states the key and what it is.
func Lookup[K comparable, V any](values map[K]V, key K, what string) (V, error) {
	v, ok := values[key]
	if !ok {
		return v, fmt.Errorf("%s %v is not known", what, key)
	}
	return v, nil
}

// section is an object within the settings. The first value of a wrong type is recorded in err rather than read as
// zero: a quota that was read as 0 would let everything in.
type section struct {
	path string
	obj  gjson.Result
	err  *error
}

func (s section) get(key string, types ...gjson.Type) gjson.Result {
	v := s.obj.Get(key)
	if !v.Exists() || v.Type == gjson.Null {
		return gjson.Result{}
	}
	for _, t := range types {
		if v.Type == t {
			return v
		}
	}
	if *s.err == nil {
		*s.err = fmt.Errorf("%s%s: %s is of the wrong type", s.path, key, v.Raw)
	}
	return gjson.Result{}
}

func (s section) num(key string) float64 { return s.get(key, gjson.Number).Float() }
func (s section) int(key string) int     { return int(s.get(key, gjson.Number).Int()) }
func (s section) str(key string) string  { return s.get(key, gjson.String).String() }
func (s section) bool(key string) bool   { return s.get(key, gjson.True, gjson.False).Bool() }
func (s section) object(key string) section {
	return section{s.path + key + ".", s.get(key, gjson.JSON), s.err}
}

// list calls each for every element of an array.
func (s section) list(key string, each func(section)) {
	for i, v := range s.get(key, gjson.JSON).Array() {
		each(section{fmt.Sprintf("%s%s[%d].", s.path, key, i), v, s.err})
	}
}

// lookupKey looks up the string value of a key and records the first unknown one in the section's err.
func lookupKey[V any](s section, words map[string]V, key, what string) V {
	v, err := Lookup(words, s.str(key), what)
	if err != nil && *s.err == nil {
		*s.err = err
	}
	return v
}

// Settings is the settings object: the settings of the control module and those that only the network code uses.
type Settings struct {
	Module         control.Settings
	Classes        []string // class names, indexed by the module's class number
	Plans          []string
	ZoneNumber     int     // of the gateway's own zone, in Areas; -1: not stated
	MaxUnits       float64 // maximum units of one exchange; 0: not stated
	ConnIdle       control.Seconds
	ConnectTimeout control.Seconds
}

// DecodeSettings decodes the settings object. Unknown keys are ignored.
func DecodeSettings(raw []byte) (Settings, error) {
	out := Settings{ZoneNumber: -1}
	if !gjson.ValidBytes(raw) {
		return out, errors.New("the settings are not JSON")
	}
	var err error
	top := section{"", gjson.ParseBytes(raw), &err}
	if !top.obj.IsObject() {
		return out, errors.New("the settings are not a JSON object")
	}
	limits, rules := top.object("Limits"), top.object("Guarantees")
	domain, prices, load := top.object("Domain"), top.object("Deductions"), top.object("LoadInfo")
	s := control.Settings{
		Ordinal: top.int("Ordinal"), Gateways: top.int("Balancers"),
		Subscribe: lookupKey(top, discoverySubscribes, "Discovery", "discovery"),
		LoadFrom:  lookupKey(load, loadSources, "Via", "load report source"),
		Meter:     domain.num("MeterPeriod"),
		Limits: control.Limits{
			MaxAttempts: limits.int("MaxAttempts"), SecondCopies: limits.bool("SecondCopies"),
			Cancel: limits.bool("Cancelling"), Probes: limits.bool("Probes"), Peers: limits.bool("Peers"),
			RetryAfter: limits.bool("RetryAfter"), MaxRetryAfter: limits.num("MaxRetryAfter"),
			PeerIntake: domain.num("PeerIntake"),
		},
		Guarantees: control.Guarantees{
			ColdFrom: rules.num("ColdFrom"), Ramp: rules.num("RampTime"),
			FallMultiple: rules.num("OverloadFactor"), FallAfter: rules.num("OverloadFor"),
			AskEvery: rules.num("AskEvery"),
		},
		Counter: control.CounterInfo{
			Allowed: domain.bool("MayCount"), Price: domain.num("CallPrice"),
			Timeout: domain.num("CountLimit"), Settles: domain.bool("TruedUp"),
		},
		Prices: control.Prices{
			CrossZone: prices.num("CrossZone"), Probe: prices.num("Probe"), Waste: prices.num("Waste"),
			LateFail: prices.num("LateFail"), Peer: prices.num("Peer"),
		},
	}
	for _, f := range load.get("Fields", gjson.JSON).Array() {
		s.LoadFields = append(s.LoadFields, f.String())
	}
	if zone := top.get("Zone", gjson.Number); zone.Exists() {
		out.ZoneNumber = int(zone.Int())
		if areas := top.get("Areas", gjson.JSON).Array(); out.ZoneNumber >= 0 && out.ZoneNumber < len(areas) {
			s.Zone = areas[out.ZoneNumber].String()
		}
	}
	top.list("RequestClasses", func(c section) {
		out.Classes = append(out.Classes, c.str("Name"))
		s.Classes = append(s.Classes, control.Class{
			Aim: c.num("Aim"), Deadline: c.num("HardLimit"), Worth: c.num("Worth"), LateWorth: c.num("LateWorth"),
			Repeat: lookupKey(c, repeats, "Repeat", "repeat"), Group: lookupKey(c, groups, "Group", "group"),
			Window: c.num("Window"), Stream: c.bool("Stream"),
		})
	})
	top.list("Plans", func(p section) {
		out.Plans = append(out.Plans, p.str("Name"))
		s.Plans = append(s.Plans, control.Plan{
			Rate: p.num("PerSecond"), Burst: p.num("PeakUnits"), Open: p.int("Concurrency"),
			Worth: p.num("WorthFactor"), OverWorth: p.num("ExtraWorth"), OverCost: p.num("ExcessCost"),
			CeilingRate: p.num("HardRate"), CeilingBurst: p.num("CeilingBurst"), CeilingSlack: p.num("Tolerance"),
		})
	})
	out.Module, out.MaxUnits = s, domain.num("UnitsTop")
	// Missing values get conservative defaults: 0 would close every connection at once.
	out.ConnIdle, out.ConnectTimeout = cmp.Or(limits.num("ConnIdle"), 10), cmp.Or(limits.num("ConnectTimeout"), 0.25)
	return out, err
}
