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

// Peer is a coordinator of the group as recorded in the log.
type Peer struct {
	ID          uint64 `msgpack:"i"`
	Name        string `msgpack:"n"`
	Address     string `msgpack:"a"`
	Incarnation uint64 `msgpack:"c"` // 0: no process has contacted the group for it yet
}

// group is the replicated state: leases, fleet, and the coordinators themselves.
type group struct {
	State *lease.State    `msgpack:"s"`
	Peers map[uint64]Peer `msgpack:"p"`
	Next  uint64          `msgpack:"n"` // ID of the next coordinator; IDs are never reused
	Fleet *rollout.Fleet  `msgpack:"f"` // releases, drains, and the budget that limits them
}

// entry is a log entry: a lease command, the first contact of a coordinator, or a fleet command.
type entry struct {
	ID       uint64           `msgpack:"i"` // of the proposal; meaningful only to its proposer
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
		panic(fmt.Sprintf("coordinator: %T can't be encoded: %v", v, err)) // plain structs always encode
	}
	return b
}

// decode decodes the output of encode. Trailing bytes and unknown fields are errors, since the bytes may come from
// another process.
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
		return nil, fmt.Errorf("the snapshot is incomplete: it lacks the state of leases, coordinators or the fleet")
	}
	return g, nil
}

// applyConfChange applies a change of the group's coordinators.
func (g *group) applyConfChange(cc *raftpb.ConfChange) error {
	id := cc.GetNodeId()
	g.Next = max(g.Next, id+1)
	switch cc.GetType() {
	case raftpb.ConfChangeRemoveNode:
		delete(g.Peers, id)
	default:
		if _, known := g.Peers[id]; known {
			return nil // a learner becomes a voter
		}
		var p Peer
		if err := decode(cc.GetContext(), &p); err != nil {
			return fmt.Errorf("configuration change for coordinator %d can't be decoded: %w", id, err)
		}
		g.Peers[id] = p
	}
	return nil
}

// recordIncarnation records the incarnation of a coordinator at its first contact. Messages of another incarnation under
// the same ID are rejected from then on.
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
