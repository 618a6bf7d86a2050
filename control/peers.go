package control

import (
	"strconv"
	"strings"
)

// use is what a gateway tells a peer of one customer.
type use struct {
	customer      uint64
	units         float64
	first, spread int // the gateways it comes through; not told
}

// addressed sorts what is told by the gateway that it concerns, at most some for each.
func addressed(told []use, gateways, own, most int) [][]use {
	by := make([][]use, gateways)
	for _, u := range told {
		for i := range u.spread {
			if peer := (u.first + i) % gateways; peer >= 0 && peer != own && len(by[peer]) < most {
				by[peer] = append(by[peer], u)
			}
		}
	}
	return by
}

// encodeUse writes what is told as one short line.
func encodeUse(told []use) string {
	var b []byte
	for i, u := range told {
		if i > 0 {
			b = append(b, ' ')
		}
		b = strconv.AppendUint(b, u.customer, 36)
		b = append(b, ':')
		b = strconv.AppendFloat(b, u.units, 'g', 4, 64)
	}
	return string(b)
}

// decodeUse reads such a line, or tells that it is none.
func decodeUse(line string) ([]use, bool) {
	var told []use
	for _, word := range strings.Fields(line) {
		id, amount, ok := strings.Cut(word, ":")
		customer, err := strconv.ParseUint(id, 36, 64)
		units, err2 := strconv.ParseFloat(amount, 64)
		if !ok || err != nil || err2 != nil || !(units >= 0 && units < 1e9) {
			return nil, false
		}
		told = append(told, use{customer: customer, units: units})
	}
	return told, true
}

func (g *Gateway) hear(e PeerMessage) {
	told, ok := decodeUse(e.Data)
	if !ok {
		return
	}
	g.heard = g.now
	for _, u := range told {
		if c := g.customers[u.customer]; c != nil {
			c.fill(g.now, rateMemory)
			c.told += u.units
			c.level = max(0, c.level-u.units)
			c.part = c.level
		} else if len(g.hearsay) < maxCustomers {
			g.hearsay[u.customer] += u.units
		}
	}
}
