package wire

import (
	"encoding/json"
	"fmt"

	"junctionring/control"
)

// setup mirrors the settings object of the wire. Keys it does not name are skipped.
type setup struct {
	Ordinal        int
	Balancers      int
	Zone           int
	Discovery      string
	RequestClasses []struct {
		Aim, HardLimit, Worth, LateWorth, Window float64
		Repeat, Group                            string
		Stream                                   bool
	}
	Plans []struct {
		PerSecond, PeakUnits, WorthFactor, ExtraWorth, ExcessCost float64
		HardRate, CeilingBurst, Tolerance                         float64
		Concurrency                                               int
	}
	Limits struct {
		MaxAttempts                                         int
		SecondCopies, Cancelling, Probes, Peers, RetryAfter bool
		MaxRetryAfter                                       float64
	}
	Guarantees struct {
		ColdFrom, RampTime, OverloadFactor, OverloadFor, AskEvery float64
	}
	Domain struct {
		MayCount, TruedUp                  bool
		CallPrice, CountLimit, MeterPeriod float64
		PeerIntake                         float64
	}
	Deductions struct {
		CrossZone, Probe, Waste, LateFail, Peer float64
	}
	LoadInfo struct {
		Fields []string
		Via    string
	}
}

// The words of the wire and what they stand for.
var (
	repeats = map[string]control.Repeat{
		"read_like": control.Safe, "idempotency_key": control.Keyed, "non_idempotent": control.Unsafe,
	}
	groups = map[string]control.Group{
		"": control.GroupAll, "all": control.GroupAll, "zone": control.GroupZone, "cell": control.GroupCell,
	}
	vias = map[string]control.LoadVia{
		"": control.LoadNone, "none": control.LoadNone,
		"answers": control.LoadInAnswers, "probe": control.LoadInProbes,
	}
	discoveries = map[string]bool{"": false, "automatic": false, "subscribe": true}
	listKinds   = map[string]control.MembersKind{
		"diff": control.Delta, "snapshot": control.Snapshot, "disk": control.Cached, "error": control.Failed,
	}
	conditions = map[string]control.MemberState{
		"active": control.Ready, "leaving": control.Draining, "left": control.Removed,
	}
	statuses = map[int]control.Status{
		0: control.OK, 13: control.Error, 8: control.Full, 4: control.Timeout,
		14: control.ConnectFailed, 10: control.Reset, 1: control.Cancelled, 9: control.Moot,
	}
)

// word looks a word of the wire up, or says which one is not known.
func word[K comparable, V any](words map[K]V, key K, what string) (V, error) {
	v, ok := words[key]
	if !ok {
		return v, fmt.Errorf("%s %v is not known", what, key)
	}
	return v, nil
}

// decodeSettings turns the settings object into the module's settings.
func decodeSettings(raw json.RawMessage) (control.Settings, error) {
	var in setup
	var s control.Settings
	if err := json.Unmarshal(raw, &in); err != nil {
		return s, err
	}
	var err error
	if s.Subscribe, err = word(discoveries, in.Discovery, "discovery"); err != nil {
		return s, err
	}
	if s.LoadFrom, err = word(vias, in.LoadInfo.Via, "load report source"); err != nil {
		return s, err
	}
	for _, c := range in.RequestClasses {
		repeat, err := word(repeats, c.Repeat, "repeat")
		if err != nil {
			return s, err
		}
		group, err := word(groups, c.Group, "group")
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, control.Class{
			Aim: c.Aim, Deadline: c.HardLimit, Worth: c.Worth, LateWorth: c.LateWorth,
			Repeat: repeat, Group: group, Window: c.Window, Stream: c.Stream,
		})
	}
	for _, p := range in.Plans {
		s.Plans = append(s.Plans, control.Plan{
			Rate: p.PerSecond, Burst: p.PeakUnits, Open: p.Concurrency,
			Worth: p.WorthFactor, OverWorth: p.ExtraWorth, OverCost: p.ExcessCost,
			CeilingRate: p.HardRate, CeilingBurst: p.CeilingBurst, CeilingSlack: p.Tolerance,
		})
	}
	s.Ordinal, s.Gateways, s.Zone = in.Ordinal, in.Balancers, in.Zone
	s.LoadFields = in.LoadInfo.Fields
	s.Meter = in.Domain.MeterPeriod
	s.Limits = control.Limits{
		MaxAttempts: in.Limits.MaxAttempts, SecondCopies: in.Limits.SecondCopies,
		Cancel: in.Limits.Cancelling, Probes: in.Limits.Probes, Peers: in.Limits.Peers,
		RetryAfter: in.Limits.RetryAfter, MaxRetryAfter: in.Limits.MaxRetryAfter,
		PeerIntake: in.Domain.PeerIntake,
	}
	s.Guarantees = control.Guarantees{
		ColdFrom: in.Guarantees.ColdFrom, Ramp: in.Guarantees.RampTime,
		FallMultiple: in.Guarantees.OverloadFactor, FallAfter: in.Guarantees.OverloadFor,
		AskEvery: in.Guarantees.AskEvery,
	}
	s.Counter = control.CounterInfo{
		Allowed: in.Domain.MayCount, Price: in.Domain.CallPrice,
		Timeout: in.Domain.CountLimit, Settles: in.Domain.TruedUp,
	}
	s.Prices = control.Prices{
		CrossZone: in.Deductions.CrossZone, Probe: in.Deductions.Probe, Waste: in.Deductions.Waste,
		LateFail: in.Deductions.LateFail, Peer: in.Deductions.Peer,
	}
	return s, nil
}
