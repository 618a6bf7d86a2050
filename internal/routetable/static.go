package routetable

import (
	"strconv"

	"junctionring/control"
	"junctionring/internal/config"
	"junctionring/internal/core"
)

// Static returns the list of targets in an operator's file, which never changes.
func Static(o *config.Operator) core.Table {
	t := core.Table{Kind: control.Snapshot, Version: 1}
	for _, e := range o.Targets {
		t.Targets = append(t.Targets, core.Target{
			Member: control.Member{
				Server: e.ID, Weight: 1, Site: o.SiteOf(e.Site), Zone: numberName(e.Zone), Cell: numberName(e.Cell),
			},
			Address: e.Address,
		})
	}
	return t
}

// numberName names a zone or cell that the file numbers; it is empty if the file states none.
func numberName(number *int) string {
	if number == nil {
		return ""
	}
	return strconv.Itoa(*number)
}
