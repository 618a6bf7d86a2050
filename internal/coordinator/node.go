// Package coordinator runs one coordinator: a replica that applies a replicated log (etcd's raft) to the state of
// leases, membership and rollouts, and serves that state over gRPC. It does not itself decide who gets a lease or a
// permit: packages lease and rollout do.
//
// One actor owns the raft node, the disk, the state and the streams of holders.
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
	heartbeatTicks     = 5  // ticks; the leader also proposes timed commands this often
	electionTicks      = 50 // ticks without a leader, randomized up to twice that; ticks this short make split votes rare
	urgentMailboxSize  = 4096
	requestMailboxSize = 1024
	urgentBatch        = 1024 // most events handled between two writes to the disk
	requestBatch       = 256
	overdueRetry       = time.Second // until a MarkOverdue is proposed again, since a proposal may be lost
	maxPromotionLag    = 64          // entries that a learner may lag behind the commit index when it becomes a voter
)

// AgentKind is the kind of the members that report on units. An agent has the name of its unit.
const AgentKind = "agent"

// WardenKind is the kind of the members that observe table servers.
const WardenKind = "warden"

var errNotLeader = errors.New("this coordinator does not lead")

// Options are the parameters of a coordinator.
type Options struct {
	Config     *Config
	Clock      func() time.Duration // monotonic; nil: the process's clock
	Via        map[string]string    // addresses to dial instead of listed ones; others are dialled unchanged
	CheckSpace func() error         // called before each disk write, an error stops the coordinator; nil: only a failed write tells that the disk is full
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

	urgent   chan any // raft messages, renewals, and opened or resumed sessions
	requests chan any // all other calls
	ended    chan struct{}

	disk      *disk
	raft      *raft.RawNode
	g         *group
	confState *raftpb.ConfState
	applied   uint64
	peers     *peers

	expiry            *lease.ExpiryTracker // nil: not the leader, or its Lead command is not applied yet
	leader            uint64
	wasLeader         bool
	term              uint64 // of its latest leadership
	elections         uint64
	proposals         uint64
	pending           map[uint64]func(lease.Effect, error)
	roundReads        map[uint64][]read // by the number of the read-index round that confirms the leadership for them
	nextReads         []read            // reads for the next round
	confirmedRounds   []confirmedRound  // confirmed rounds whose read index is not applied yet
	round             uint64
	streams           map[string]*stream // by session
	watchers          map[*watcher]struct{}
	meetProposed      map[uint64]bool
	permitDeadlines   map[string]permitDeadline // by unit
	pendingFleet      map[uint64]func(rollout.Reply, error)
	confChangePending bool
	// Index at which a learner was last added. A snapshot from before it is replaced, since raft rejects a snapshot that
	// doesn't list its recipient.
	learnerAddedAt uint64
	appliedWaiters []appliedWaiter
	identityErr    error // set if the group knows another incarnation of this coordinator; this one must then stop
}

// Events in the actor's mailboxes.
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

// New opens the data folder of a coordinator and prepares its raft node. Run starts it.
func New(o Options) (*Node, error) {
	id, err := readIdentity(o.Config.Data)
	if err != nil {
		return nil, fmt.Errorf("data folder %s: %w: run 'coordinator init' for the first start of a group, or 'member remove', 'member add' and 'run --join' after the loss of a disk", o.Config.Data, err)
	}
	if id.Name != o.Config.Name {
		return nil, fmt.Errorf("data folder %s: it belongs to coordinator %q, but the configuration file has name = %q", o.Config.Data, id.Name, o.Config.Name)
	}
	d, snap, fresh, err := openDisk(o.Config.Data)
	if err != nil {
		return nil, err
	}
	if d.tornTail {
		o.Log.Warn("the log's torn end was cut: it was never acknowledged", "data", o.Config.Data)
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

// knownPeers returns the coordinators that this one sends to: the group's, and while it joins those that its identity
// lists too.
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

// Run runs the coordinator until ctx ends, the coordinator is removed from the group, or the disk fails. After a disk
// failure nothing more is sent: peers must not rely on what may not be stored.
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
	if len(n.g.Peers) <= 1 && !n.id.Joins { // the only coordinator, or its first start: campaign without waiting
		for range electionTicks {
			n.raft.Tick()
		}
	}
	for ticks := 0; ; {
		if err := n.processReady(); err != nil {
			n.log.Error("coordinator stops: raft state could not be stored or applied", "err", err)
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

// removed reports whether the group's configuration has voters and no longer includes this coordinator.
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
			n.raft.Step(r) // raft itself drops messages that do not apply; the error only says so
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

// post puts an event into a mailbox of the actor without waiting. It returns false if the mailbox is full or the actor
// has ended.
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
