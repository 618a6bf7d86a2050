// Package coordinator is one of the processes that keep a fleet's leases and membership: an actor round package
// lease and a replicated log (etcd's raft, its log and snapshot files), served over gRPC. The actor owns the raft
// node, the disk, the state and the streams of holders; it decides nothing about leases itself.
package coordinator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"junctionring/lease"
	"junctionring/rollout"
)

const (
	tickInterval       = 10 * time.Millisecond
	heartbeatTicks     = 5  // ticks
	electionTicks      = 50 // ticks without a leader, up to twice that by chance: in steps this fine two seldom stand at once
	urgentMailboxSize  = 4096
	requestMailboxSize = 1024
	urgentBatch        = 1024 // taken in before the disk is written once
	requestBatch       = 256
	overdueRetry       = time.Second // after a Late that may have been lost
	maxPromotionLag    = 64          // entries by which a joiner may be behind when it is given its vote
)

// AgentKind is the kind of the members that speak for units: an agent's name is its unit's.
const AgentKind = "agent"

// WardenKind is the kind of the members that see table servers.
const WardenKind = "warden"

var errNotLeader = errors.New("this coordinator does not lead")

// Options start a coordinator.
type Options struct {
	Config     *Config
	Clock      func() time.Duration // monotonic; nil: this process's own
	Via        map[string]string    // where to dial for an address that is listed; others are dialled as they are
	CheckSpace func() error         // asked before each write to the disk; nil: the disk alone says when it is full
	Log        *slog.Logger
}

// Node is one coordinator.
type Node struct {
	c          *Config
	id         Identity
	clock      func() time.Duration
	log        *slog.Logger
	via        map[string]string
	checkSpace func() error

	urgent   chan any // raft's messages, renewals, sessions that come back
	requests chan any // new work
	ended    chan struct{}

	disk      *disk
	raft      *raft.RawNode
	g         *group
	confState *raftpb.ConfState
	applied   uint64
	peers     *peers

	expiry            *lease.ExpiryTracker // nil: not in office
	leader            uint64
	wasLeader         bool
	term              uint64 // of its office
	elections         uint64
	proposals         uint64
	pending           map[uint64]func(lease.Effect, error)
	roundReads        map[uint64][]read // renewals and lists, by the number of the round that confirms this leader
	nextReads         []read            // for the next round
	confirmedRounds   []confirmedRound  // rounds that came back, for states not applied yet
	round             uint64
	streams           map[string]*stream // by session
	watchers          map[*watcher]struct{}
	meetProposed      map[uint64]bool
	permitDeadlines   map[string]permitDeadline // when the permits of units are overdue
	pendingFleet      map[uint64]func(rollout.Reply, error)
	confChangePending bool
	learnerAddedAt    uint64 // index at which a coordinator last joined: raft turns down a snapshot that doesn't name its reader
	appliedWaiters    []appliedWaiter
	identityErr       error // the others mean another incarnation: this one must not speak for it
}

// events from elsewhere
type (
	peerMessages struct{ messages []*raftpb.Message }
	meetPeer     struct{ peer Peer }
	unreachable  struct{ id uint64 }
	snapshotSent struct {
		id uint64
		ok bool
	}
	call struct{ do func() }
)

// New opens a coordinator's data folder. Run starts it.
func New(o Options) (*Node, error) {
	id, err := readIdentity(o.Config.Data)
	if err != nil {
		return nil, fmt.Errorf("data folder %s: %w: a group's first start wants 'coordinator init', a lost disk 'member remove', 'member add' and 'run --join'", o.Config.Data, err)
	}
	if id.Name != o.Config.Name {
		return nil, fmt.Errorf("data folder %s: it is %s's, and the file says name = %q", o.Config.Data, id.Name, o.Config.Name)
	}
	d, snap, fresh, err := openDisk(o.Config.Data)
	if err != nil {
		return nil, err
	}
	if d.tornTail {
		o.Log.Warn("the log's torn end was cut: it was never answered", "data", o.Config.Data)
	}
	n := &Node{
		c: o.Config, id: id, clock: o.Clock, via: o.Via, checkSpace: o.CheckSpace, log: o.Log.With("coordinator", id.Name), disk: d, g: newGroup(), confState: &raftpb.ConfState{},
		urgent: make(chan any, urgentMailboxSize), requests: make(chan any, requestMailboxSize), ended: make(chan struct{}),
		pending: map[uint64]func(lease.Effect, error){}, roundReads: map[uint64][]read{}, streams: map[string]*stream{},
		watchers: map[*watcher]struct{}{}, meetProposed: map[uint64]bool{}, permitDeadlines: map[string]permitDeadline{}, pendingFleet: map[uint64]func(rollout.Reply, error){}, proposals: rand.Uint64(), round: rand.Uint64(),
	}
	if n.clock == nil {
		start := time.Now()
		n.clock = func() time.Duration { return time.Since(start) }
	}
	if !raft.IsEmptySnap(snap) {
		if err := n.restore(snap); err != nil {
			return nil, err
		}
	}
	n.raft, err = raft.NewRawNode(&raft.Config{
		ID: id.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: d.mem, Applied: n.applied,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 8 << 20,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true,
		Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	})
	if err != nil {
		return nil, err
	}
	n.peers = newPeers(n)
	if fresh && !id.Joins {
		var founders []raft.Peer
		for _, p := range o.Config.initialPeers() {
			founders = append(founders, raft.Peer{ID: p.ID, Context: encode(p)})
		}
		if err := n.raft.Bootstrap(founders); err != nil {
			return nil, err
		}
	}
	n.peers.set(n.knownPeers())
	return n, nil
}

// known is who this coordinator speaks to.
func (n *Node) knownPeers() map[uint64]Peer {
	if len(n.g.Peers) > 0 && !n.id.Joins {
		return n.g.Peers
	}
	all := maps.Clone(n.g.Peers)
	for _, p := range n.id.First {
		all[p.ID] = p
	}
	return all
}

func (n *Node) restore(s *raftpb.Snapshot) (err error) {
	if n.g, err = decodeGroup(s.GetData()); err != nil {
		return err
	}
	n.applied, n.confState = s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	if _, in := n.g.Peers[n.id.ID]; in {
		n.id.Joins = false
	}
	return nil
}

// Run works until ctx ends, this coordinator is removed, or the disk fails: then nothing more is said to anybody.
func (n *Node) Run(ctx context.Context) (err error) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer func() {
		close(n.ended)
		n.stepDown()
		n.peers.close()
		if failed := n.disk.close(); err == nil {
			err = failed
		}
	}()
	if len(n.g.Peers) <= 1 && !n.id.Joins { // alone, or at its first start: no reason to wait
		for range electionTicks {
			n.raft.Tick()
		}
	}
	for ticks := 0; ; {
		if err := n.processReady(); err != nil {
			n.log.Error("ends: what it knows can't be kept", "err", err)
			return err
		}
		if n.identityErr != nil {
			return n.identityErr
		}
		if _, in := n.g.Peers[n.id.ID]; !in && n.applied > 0 && !n.id.Joins && n.removed() {
			return fmt.Errorf("coordinator %s was removed from the group", n.id.Name)
		}
		select {
		case <-ctx.Done():
			n.transferLeadership()
			return nil
		case <-tick.C:
			n.raft.Tick()
			if ticks++; ticks%heartbeatTicks == 0 {
				n.proposeDue()
			}
		case m := <-n.urgent:
			n.handle(m)
		case m := <-n.requests:
			n.handle(m)
		}
		n.drain(n.urgent, urgentBatch)
		n.drain(n.requests, requestBatch)
	}
}

func (n *Node) drain(mailbox chan any, limit int) {
	for range limit {
		select {
		case m := <-mailbox:
			n.handle(m)
		default:
			return
		}
	}
}

// removed tells whether the group goes on without this one.
func (n *Node) removed() bool {
	for _, id := range append(n.confState.GetVoters(), n.confState.GetLearners()...) {
		if id == n.id.ID {
			return false
		}
	}
	return len(n.confState.GetVoters()) > 0
}

func (n *Node) handle(m any) {
	switch m := m.(type) {
	case peerMessages:
		for _, r := range m.messages {
			n.raft.Step(r) // what is out of place raft drops itself
		}
	case meetPeer:
		if n.raft.BasicStatus().RaftState == raft.StateLeader && !n.meetProposed[m.peer.ID] {
			n.meetProposed[m.peer.ID] = true
			n.proposeEntry(entry{Meet: &m.peer}, nil)
		}
	case unreachable:
		n.raft.ReportUnreachable(m.id)
	case snapshotSent:
		status := raft.SnapshotFinish
		if !m.ok {
			status = raft.SnapshotFailure
		}
		n.raft.ReportSnapshot(m.id, status)
	case call:
		m.do()
	}
}

// post gives the actor something to do; false: its mailbox is full, or it has ended.
func (n *Node) post(mailbox chan any, m any) bool {
	select {
	case <-n.ended:
		return false
	default:
	}
	select {
	case mailbox <- m:
		return true
	default:
		return false
	}
}
