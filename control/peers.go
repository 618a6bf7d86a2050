package control

import (
	"strconv"
	"strings"
)

// peerUse is what a gateway reports to a peer about one customer.
type peerUse struct {
	customer                   uint64
	units                      float64
	firstGateway, gatewayCount int // the gateways its requests come through; not sent
}

// groupByGateway groups reports by the gateway to send them to, with none for self. Each gateway gets the
// first limit reports that concern it; further ones are dropped.
func groupByGateway(uses []peerUse, gateways, self, limit int) [][]peerUse {
	by := make([][]peerUse, gateways)
	for _, u := range uses {
		for i := range u.gatewayCount {
			if peer := (u.firstGateway + i) % gateways; peer >= 0 && peer != self && len(by[peer]) < limit {
				by[peer] = append(by[peer], u)
			}
		}
	}
	return by
}

// encodeUse formats reports as one short line.
func encodeUse(uses []peerUse) string {
	var b []byte
	for i, u := range uses {
		if i > 0 {
			b = append(b, ' ')
		}
		b = strconv.AppendUint(b, u.customer, 36)
		b = append(b, ':')
		b = strconv.AppendFloat(b, u.units, 'g', 4, 64)
	}
	return string(b)
}

// decodeUse parses such a line, and returns false if it is malformed.
func decodeUse(line string) ([]peerUse, bool) {
	var uses []peerUse
	for _, word := range strings.Fields(line) {
		id, amount, ok := strings.Cut(word, ":")
		customer, err := strconv.ParseUint(id, 36, 64)
		units, err2 := strconv.ParseFloat(amount, 64)
		if !ok || err != nil || err2 != nil || !(units >= 0 && units < 1e9) {
			return nil, false
		}
		uses = append(uses, peerUse{customer: customer, units: units})
	}
	return uses, true
}

// handlePeerMessage draws the units that a peer reports from the customers' buckets. Units of an unknown
// customer are kept until it is known or the counter answers.
func (g *Gateway) handlePeerMessage(e PeerMessage) {
	uses, ok := decodeUse(e.Data)
	if !ok {
		return
	}
	g.peerHeardAt = g.now
	for _, u := range uses {
		if c := g.customers[u.customer]; c != nil {
			c.refill(g.now, rateTimeConstant)
			c.unitsFromPeers += u.units
			c.level = max(0, c.level-u.units)
			c.splitLevel = c.level
		} else if len(g.unclaimedPeerUnits) < maxCustomers {
			g.unclaimedPeerUnits[u.customer] += u.units
		}
	}
}
