package routetable

import (
	"junctionring/control"
	"junctionring/internal/config"
	"junctionring/internal/core"
)

// Static returns the list of targets in an operator's file, which never changes.
func Static(o *config.Operator) core.Table {
	t := core.Table{Kind: control.Snapshot, Version: 1}
	for _, e := range o.Targets {
		t.Targets = append(t.Targets, core.Target{
			Member:  control.Member{Server: e.ID, Weight: 1, Zone: e.Zone, Site: o.SiteOf(e.Site)},
			Address: e.Address,
		})
	}
	return t
}
