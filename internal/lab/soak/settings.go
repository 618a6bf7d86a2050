package soak

import "encoding/json"

// document is the platform's configuration of one gateway.
type document struct {
	Name      string   `json:"name"`
	Listen    string   `json:"listen"`
	Discovery string   `json:"discovery"`
	Seed      string   `json:"seed"`
	Limits    any      `json:"limits"`
	Counter   string   `json:"counter"`
	Known     list     `json:"known"`
	Settings  settings `json:"settings"`
}

type settings struct {
	Ordinal        int
	Balancers      int
	Areas          []string
	RequestClasses []requestClass
	Plans          []plan
	Limits         limits
	Domain         domain
	Discovery      string
	LoadInfo       loadInfo
	Guarantees     guarantees
}

type requestClass struct {
	Name                                     string
	Aim, HardLimit, Worth, LateWorth, Window float64
	Repeat                                   Effect
	Group                                    string
}

type plan struct {
	Name                                          string
	PerSecond, PeakUnits, WorthFactor, ExcessCost float64
}

type limits struct {
	MaxAttempts              int
	Cancelling, RetryAfter   bool
	ConnIdle, ConnectTimeout float64
	MaxRetryAfter            float64
}

type domain struct {
	MayCount   bool
	CountLimit float64
}

type loadInfo struct{ Via string }

type guarantees struct {
	ColdFrom, RampTime, OverloadFactor, OverloadFor, StopSendingWithin float64
}

const (
	planName       = "club"
	connectTimeout = 0.25 // seconds
	plenty         = 1e4  // units a second: quotas are not what a run is about
)

// settingsFor are the settings that a plan draws up for one of its gateways.
func settingsFor(p Plan, gateway int) settings {
	s := settings{
		Ordinal: gateway, Balancers: p.Gateways, Areas: []string{"hall"}, Discovery: "automatic", LoadInfo: loadInfo{"none"},
		Plans: []plan{{Name: planName, PerSecond: plenty, PeakUnits: plenty, WorthFactor: 1, ExcessCost: 1}},
		Limits: limits{MaxAttempts: p.Attempts, Cancelling: p.Cancelling, RetryAfter: true, MaxRetryAfter: 1,
			ConnIdle: p.ConnIdle.Seconds(), ConnectTimeout: connectTimeout},
		Domain: domain{MayCount: true, CountLimit: 0.03},
		Guarantees: guarantees{ColdFrom: 0.15, RampTime: 18, OverloadFactor: 3, OverloadFor: 1.5,
			StopSendingWithin: p.Grace.Seconds()},
	}
	for _, c := range p.Classes {
		s.RequestClasses = append(s.RequestClasses, requestClass{
			Name: c.Name, Aim: c.Deadline.Seconds() / 2, HardLimit: c.Deadline.Seconds(), Worth: 1, Repeat: c.Effect,
			Group: "all", Window: c.Window.Seconds(),
		})
	}
	return s
}

func encode(d document) ([]byte, error) { return json.MarshalIndent(d, "", " ") }
