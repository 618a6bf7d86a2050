package coordinator

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3/raftpb"

	"junctionring/lease"
	"junctionring/rollout"
)

// Peer is one coordinator of the group, as the log knows it.
type Peer struct {
	ID          uint64 `msgpack:"i"`
	Name        string `msgpack:"n"`
	Address     string `msgpack:"a"`
	Incarnation uint64 `msgpack:"c"` // 0: it has not been met yet
}

// group is all that the log builds: the leases, and who keeps them.
type group struct {
	State *lease.State    `msgpack:"s"`
	Peers map[uint64]Peer `msgpack:"p"`
	Next  uint64          `msgpack:"n"` // number of the next coordinator; none is ever given twice
	Fleet *rollout.Fleet  `msgpack:"f"` // releases, drains, and the budget that holds them
}

// entry is one entry of the log: a command, or that a coordinator was met for the first time.
type entry struct {
	ID       uint64           `msgpack:"i"` // of the proposal, at its proposer
	Cmd      *lease.Command   `msgpack:"c,omitempty"`
	Meet     *Peer            `msgpack:"m,omitempty"`
	FleetCmd *rollout.Command `msgpack:"r,omitempty"`
}

func newGroup() *group {
	return &group{State: lease.NewState(), Peers: map[uint64]Peer{}, Next: 1, Fleet: rollout.NewFleet()}
}

func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("coordinator: %T can't be encoded: %v", v, err)) // plain structs: never
	}
	return b
}

// decode reads what encode wrote. Of bytes from elsewhere nothing may be left over or unknown.
func decode(b []byte, v any) error {
	reader := bytes.NewReader(b)
	decoder := msgpack.NewDecoder(reader)
	decoder.DisallowUnknownFields(true)
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if reader.Len() > 0 {
		return fmt.Errorf("%d bytes too many", reader.Len())
	}
	return nil
}

func decodeGroup(b []byte) (*group, error) {
	g := newGroup()
	if err := decode(b, g); err != nil {
		return nil, fmt.Errorf("the snapshot can't be read: %w", err)
	}
	if g.State == nil || g.State.Sessions == nil || g.State.Leases == nil || g.Peers == nil || g.Fleet == nil || g.Fleet.Budget == nil {
		return nil, fmt.Errorf("the snapshot is not whole")
	}
	return g, nil
}

// change takes in a change of who keeps the log.
func (g *group) applyConfChange(cc *raftpb.ConfChange) error {
	id := cc.GetNodeId()
	g.Next = max(g.Next, id+1)
	switch cc.GetType() {
	case raftpb.ConfChangeRemoveNode:
		delete(g.Peers, id)
	default:
		if _, known := g.Peers[id]; known {
			return nil // a learner that votes from now on
		}
		var p Peer
		if err := decode(cc.GetContext(), &p); err != nil {
			return fmt.Errorf("coordinator %d: %w", id, err)
		}
		g.Peers[id] = p
	}
	return nil
}

// meet books the incarnation of a coordinator that was seen for the first time; another one under its number is not
// listened to from then on.
func (g *group) recordIncarnation(p Peer) {
	if known, ok := g.Peers[p.ID]; ok && known.Incarnation == 0 {
		known.Incarnation = p.Incarnation
		g.Peers[p.ID] = known
	}
}

func (g *group) peerNamed(name string) (Peer, bool) {
	for _, id := range slices.Sorted(maps.Keys(g.Peers)) {
		if g.Peers[id].Name == name {
			return g.Peers[id], true
		}
	}
	return Peer{}, false
}
