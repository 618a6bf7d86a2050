package egress

import (
	"context"

	"junctionring/control"
	"junctionring/internal/core"
)

// Peer is a single HTTP peer outside the route table, the checker say, behind an actor like a target's:
// bounded dials and connections, nothing sent twice, given up by closing.
type Peer struct {
	fleet *Fleet
	entry *entry
}

// NewPeer makes a peer at an address.
func NewPeer(address string, o Options) *Peer {
	f := NewFleet(o)
	f.Update(core.Table{Kind: control.Snapshot, Targets: []core.Target{
		{Member: control.Member{Server: address}, Address: address},
	}})
	return &Peer{f, f.targets[address]}
}

// Ask sends one request once and returns the whole answer. It ends with ctx at the latest.
func (p *Peer) Ask(ctx context.Context, r *Request) (*Reply, control.Status) {
	o := p.entry.exchange(core.Attempt{Ctx: ctx, Payload: r})
	reply, _ := o.Reply.(*Reply)
	if reply != nil && reply.Long != nil { // no answer of such a peer is long
		reply.Close()
		return nil, control.Reset
	}
	return reply, o.Status
}

// Close ends the peer's actor and its idle connections.
func (p *Peer) Close() { p.fleet.Update(core.Table{Kind: control.Snapshot}) }
