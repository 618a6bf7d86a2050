package main

// tables are settings like those of a small deployment of table servers: boards are read, moves carry a key.
func tables(gateways int) map[string]any {
	return map[string]any{
		"Family": "gate", "Balancers": gateways, "Ordinal": 0, "Tier": 0, "Tiers": []string{"table-servers"}, "Tick": 0.004,
		"Areas": []string{"hall-a", "hall-b"}, "Zone": 0, "WeightKind": "none", "Discovery": "automatic",
		"HostTypes":    []string{"std-3"},
		"ClientHabits": map[string]any{"MarksRetry": false},
		"Deductions":   map[string]any{"CrossZone": 0.02, "LateFail": 0.08, "Probe": 0.014, "Waste": 0.058},
		"Domain": map[string]any{"CallPrice": 0.005, "CountLimit": 0.03, "MayCount": true, "MeterPeriod": 0.0,
			"PeerIntake": 0.0, "TruedUp": false, "UnitsTop": 6},
		"Guarantees": map[string]any{"AnswerSlack": 0.016, "AskEvery": 10.0, "ColdFrom": 0.15, "OverloadFactor": 3.0,
			"OverloadFor": 1.5, "RampTime": 18.0, "StopSendingWithin": 1.0},
		"Limits": map[string]any{"Cancelling": true, "ConnIdle": 30.0, "ConnectTimeout": 0.25, "CpuUsPerS": 500000,
			"MaxAttempts": 4, "MaxOpen": 20000, "MaxRetryAfter": 1.0, "Peers": false, "Probes": true, "RetryAfter": true,
			"SecondCopies": false, "StreamsPerConn": 32},
		"LoadInfo": map[string]any{"Fields": []string{"rif", "q"}, "Via": "probe"},
		"Plans": []any{
			plan("community", 60, 120, 0.72, 1.2), plan("club", 400, 800, 1.3, 0.6),
		},
		"RequestClasses": []any{
			map[string]any{"Name": "table-view", "Aim": 2.0, "HardLimit": 7.5, "Worth": 2.0, "LateWorth": 0.2,
				"Repeat": "read_like", "Group": "all", "Window": 5.0, "Stream": false},
			map[string]any{"Name": "move-submit", "Aim": 1.0, "HardLimit": 4.0, "Worth": 6.0, "LateWorth": 0.2,
				"Repeat": "idempotency_key", "Group": "all", "Window": 4.0, "Stream": false},
		},
	}
}

func plan(name string, rate, burst, worth, cost float64) map[string]any {
	return map[string]any{"Name": name, "PerSecond": rate, "PeakUnits": burst, "WorthFactor": worth, "ExcessCost": cost,
		"ExtraWorth": 0.0, "Concurrency": 0, "HardRate": 0.0, "CeilingBurst": 0.0, "Tolerance": 0.0}
}

// grids are settings like those of a small deployment of grid servers: puzzles are read, entries must not run twice,
// answers carry load reports, and a second copy of a read may be sent.
func grids(gateways int) map[string]any {
	set := tables(gateways)
	set["Areas"], set["HostTypes"], set["Tiers"] = []string{"old-mill", "print-shed"}, []string{"small-3core"}, []string{"grid-servers"}
	set["Domain"] = map[string]any{"CallPrice": 0.02, "CountLimit": 0.03, "MayCount": true, "MeterPeriod": 0.0,
		"PeerIntake": 60.0, "TruedUp": false, "UnitsTop": 8}
	set["Guarantees"] = map[string]any{"AnswerSlack": 0.016, "AskEvery": 10.0, "ColdFrom": 0.16, "OverloadFactor": 4.0,
		"OverloadFor": 1.0, "RampTime": 15.0, "StopSendingWithin": 0.5}
	set["Limits"] = map[string]any{"Cancelling": true, "ConnIdle": 15.0, "ConnectTimeout": 0.25, "CpuUsPerS": 400000,
		"MaxAttempts": 6, "MaxOpen": 20000, "MaxRetryAfter": 1.0, "Peers": false, "Probes": true, "RetryAfter": true,
		"SecondCopies": true, "StreamsPerConn": 32}
	set["LoadInfo"] = map[string]any{"Fields": []string{"rate", "q"}, "Via": "answers"}
	set["Plans"] = []any{plan("solver", 60, 200, 1.2, 0.6), plan("publisher", 400, 800, 1.4, 0.6)}
	set["RequestClasses"] = []any{
		map[string]any{"Name": "fetch-grid", "Aim": 1.0, "HardLimit": 4.0, "Worth": 1.0, "LateWorth": 0.0,
			"Repeat": "read_like", "Group": "all", "Window": 0.0, "Stream": false},
		map[string]any{"Name": "submit-solution", "Aim": 2.0, "HardLimit": 8.0, "Worth": 2.0, "LateWorth": 0.0,
			"Repeat": "non_idempotent", "Group": "all", "Window": 0.0, "Stream": false},
	}
	return set
}
