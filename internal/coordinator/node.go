// Package coordinator is one of the processes that keep a fleet's leases and membership: an actor round package
// lease and a replicated log (etcd's raft, its log and snapshot files), served over gRPC. The actor owns the raft
// node, the disk, the state and the streams of holders; it decides nothing about leases itself.
package coordinator

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionring/lease"
	"junctionring/rollout"
)

const (
	tickEvery    = 10 * time.Millisecond
	beatEvery    = 5  // ticks
	electAfter   = 50 // ticks without a leader, up to twice that by chance: in steps this fine two seldom stand at once
	urgentRoom   = 4096
	asksRoom     = 1024
	urgentBatch  = 1024 // taken in before the disk is written once
	asksBatch    = 256
	overdueAgain = time.Second // after a Late that may have been lost
	lagToVote    = 64          // entries by which a joiner may be behind when it is given its vote
)

// AgentKind is the kind of the members that speak for units: an agent's name is its unit's.
const AgentKind = "agent"

// WardenKind is the kind of the members that see table servers.
const WardenKind = "warden"

var errNotLeading = errors.New("this coordinator does not lead")

// Options start a coordinator.
type Options struct {
	Config *Config
	Clock  func() time.Duration // monotonic; nil: this process's own
	Via    map[string]string    // where to dial for an address that is listed; others are dialled as they are
	Full   func() error         // asked before each write to the disk; nil: the disk alone says when it is full
	Log    *slog.Logger
}

// Node is one coordinator.
type Node struct {
	c     *Config
	id    Identity
	clock func() time.Duration
	log   *slog.Logger
	via   map[string]string
	full  func() error

	urgent chan any // raft's messages, renewals, sessions that come back
	asks   chan any // new work
	ended  chan struct{}

	disk    *disk
	raft    *raft.RawNode
	g       *group
	conf    *raftpb.ConfState
	applied uint64
	peers   *peers

	watch     *lease.Watch // nil: not in office
	leader    uint64
	wasLeader bool
	term      uint64 // of its office
	elections uint64
	proposals uint64
	pending   map[uint64]func(lease.Effect, error)
	reads     map[uint64][]read // renewals and lists, by the number of the round that confirms this leader
	waiting   []read            // for the next round
	confirmed []confirmation    // rounds that came back, for states not applied yet
	round     uint64
	streams   map[string]*stream // by session
	watchers  map[*watcher]struct{}
	meeting   map[uint64]bool
	lates     map[string]late // when the permits of units are overdue
	rolls     map[uint64]func(rollout.Reply, error)
	changing  bool
	joined    uint64 // index at which a coordinator last joined: raft turns down a snapshot that doesn't name its reader
	awaited   []awaited
	stranger  error // the others mean another incarnation: this one must not speak for it
}

// awaited is somebody who waits for a change of the group to be applied.
type awaited struct {
	so   func() bool
	then func(error)
}

// late is when a permit's time has passed, as this leader counts from its start or the permit's.
type late struct {
	token uint64
	at    time.Duration
}

// read waits until this coordinator has made sure that it leads.
type read func(err error)

type confirmation struct {
	index uint64
	reads []read
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
	if d.torn {
		o.Log.Warn("the log's torn end was cut: it was never answered", "data", o.Config.Data)
	}
	n := &Node{
		c: o.Config, id: id, clock: o.Clock, via: o.Via, full: o.Full, log: o.Log.With("coordinator", id.Name), disk: d, g: newGroup(), conf: &raftpb.ConfState{},
		urgent: make(chan any, urgentRoom), asks: make(chan any, asksRoom), ended: make(chan struct{}),
		pending: map[uint64]func(lease.Effect, error){}, reads: map[uint64][]read{}, streams: map[string]*stream{},
		watchers: map[*watcher]struct{}{}, meeting: map[uint64]bool{}, lates: map[string]late{}, rolls: map[uint64]func(rollout.Reply, error){}, proposals: rand.Uint64(), round: rand.Uint64(),
	}
	if n.clock == nil {
		begun := time.Now()
		n.clock = func() time.Duration { return time.Since(begun) }
	}
	if !raft.IsEmptySnap(snap) {
		if err := n.restored(snap); err != nil {
			return nil, err
		}
	}
	n.raft, err = raft.NewRawNode(&raft.Config{
		ID: id.ID, ElectionTick: electAfter, HeartbeatTick: beatEvery, Storage: d.mem, Applied: n.applied,
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
		for _, p := range o.Config.founders() {
			founders = append(founders, raft.Peer{ID: p.ID, Context: encode(p)})
		}
		if err := n.raft.Bootstrap(founders); err != nil {
			return nil, err
		}
	}
	n.peers.set(n.known())
	return n, nil
}

// known is who this coordinator speaks to.
func (n *Node) known() map[uint64]Peer {
	if len(n.g.Peers) > 0 && !n.id.Joins {
		return n.g.Peers
	}
	all := maps.Clone(n.g.Peers)
	for _, p := range n.id.First {
		all[p.ID] = p
	}
	return all
}

func (n *Node) restored(s *raftpb.Snapshot) (err error) {
	if n.g, err = decodeGroup(s.GetData()); err != nil {
		return err
	}
	n.applied, n.conf = s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	if _, in := n.g.Peers[n.id.ID]; in {
		n.id.Joins = false
	}
	return nil
}

// Run works until ctx ends, this coordinator is removed, or the disk fails: then nothing more is said to anybody.
func (n *Node) Run(ctx context.Context) (err error) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	defer func() {
		close(n.ended)
		n.leave()
		n.peers.close()
		if failed := n.disk.close(); err == nil {
			err = failed
		}
	}()
	if len(n.g.Peers) <= 1 && !n.id.Joins { // alone, or at its first start: no reason to wait
		for range electAfter {
			n.raft.Tick()
		}
	}
	for ticks := 0; ; {
		if err := n.work(); err != nil {
			n.log.Error("ends: what it knows can't be kept", "err", err)
			return err
		}
		if n.stranger != nil {
			return n.stranger
		}
		if _, in := n.g.Peers[n.id.ID]; !in && n.applied > 0 && !n.id.Joins && n.removed() {
			return fmt.Errorf("coordinator %s was removed from the group", n.id.Name)
		}
		select {
		case <-ctx.Done():
			n.handOver()
			return nil
		case <-tick.C:
			n.raft.Tick()
			if ticks++; ticks%beatEvery == 0 {
				n.due()
			}
		case m := <-n.urgent:
			n.take(m)
		case m := <-n.asks:
			n.take(m)
		}
		n.drain(n.urgent, urgentBatch)
		n.drain(n.asks, asksBatch)
	}
}

func (n *Node) drain(from chan any, most int) {
	for range most {
		select {
		case m := <-from:
			n.take(m)
		default:
			return
		}
	}
}

// removed tells whether the group goes on without this one.
func (n *Node) removed() bool {
	for _, id := range append(n.conf.GetVoters(), n.conf.GetLearners()...) {
		if id == n.id.ID {
			return false
		}
	}
	return len(n.conf.GetVoters()) > 0
}

// handOver gives the office to another before this process ends, so that nobody waits for an election.
func (n *Node) handOver() {
	if n.watch == nil {
		return
	}
	var to, best uint64
	for id, p := range n.raft.Status().Progress {
		if id != n.id.ID && !p.IsLearner && p.RecentActive && p.Match >= best {
			to, best = id, p.Match
		}
	}
	if to == 0 {
		return
	}
	n.log.Info("gives the office to another", "to", n.g.Peers[to].Name)
	n.raft.TransferLeader(to)
	for begun := time.Now(); time.Since(begun) < 500*time.Millisecond && n.raft.BasicStatus().RaftState == raft.StateLeader; {
		if n.work() != nil {
			return
		}
		select {
		case m := <-n.urgent:
			n.take(m)
		case <-time.After(tickEvery):
		}
	}
}

func (n *Node) take(m any) {
	switch m := m.(type) {
	case peerMessages:
		for _, r := range m.messages {
			n.raft.Step(r) // what is out of place raft drops itself
		}
	case meetPeer:
		if n.raft.BasicStatus().RaftState == raft.StateLeader && !n.meeting[m.peer.ID] {
			n.meeting[m.peer.ID] = true
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

// due proposes what time calls for.
func (n *Node) due() {
	if n.watch == nil {
		return
	}
	for _, c := range n.watch.Due(n.clock(), n.g.State) {
		n.propose(c, nil)
	}
	n.overdue()
	n.promote()
}

// overdue proposes what the permits' times call for. A permit that waited has its time from when it was given; after
// a change of leader every one has its whole time again.
func (n *Node) overdue() {
	f := n.g.Fleet
	for unit, p := range f.Budget.Permits {
		l, counted := n.lates[unit]
		if !counted || l.token != p.Token {
			n.lates[unit] = late{p.Token, n.clock() + f.Lives[unit]}
		} else if p.Overdue || p.Returned && f.Budget.Units[unit] == nil {
			continue
		} else if n.clock() >= l.at {
			n.lates[unit] = late{p.Token, n.clock() + overdueAgain}
			n.roll(rollout.Command{Op: rollout.Late, Unit: unit, Token: p.Token}, nil)
		}
	}
	for unit := range n.lates {
		if f.Budget.Permits[unit] == nil {
			delete(n.lates, unit)
		}
	}
}

// roll puts a command of the fleet on its way to the log; then is called as with propose.
func (n *Node) roll(c rollout.Command, then func(rollout.Reply, error)) {
	n.proposals++
	id := n.proposals
	c.At = time.Now().UnixMilli()
	if err := n.raft.Propose(encode(entry{ID: id, Roll: &c})); err != nil {
		if then != nil {
			then(rollout.Reply{}, err)
		}
		return
	}
	if then != nil {
		n.rolls[id] = then
	}
}

// promote gives a joiner that has caught up its vote.
func (n *Node) promote() {
	if n.changing || len(n.conf.GetLearners()) == 0 {
		return
	}
	s := n.raft.Status()
	for _, id := range n.conf.GetLearners() {
		p, known := s.Progress[id], n.g.Peers[id]
		if known.Incarnation != 0 && p.RecentActive && p.Match+lagToVote >= s.GetCommit() {
			n.log.Info("the joiner has caught up and votes from now on", "name", known.Name)
			n.changeConf(raftpb.ConfChangeAddNode, known)
			return
		}
	}
}

func (n *Node) changeConf(kind raftpb.ConfChangeType, p Peer) error {
	err := n.raft.ProposeConfChange(&raftpb.ConfChange{Type: kind.Enum(), NodeId: new(p.ID), Context: encode(p)})
	n.changing = n.changing || err == nil
	return err
}

// propose puts a command on its way to the log. then is called once: when it was applied here, or when this
// coordinator left its office and can't tell any more what becomes of it.
func (n *Node) propose(c lease.Command, then func(lease.Effect, error)) {
	n.proposeEntry(entry{Cmd: &c}, then)
}

func (n *Node) proposeEntry(e entry, then func(lease.Effect, error)) {
	n.proposals++
	e.ID = n.proposals
	if err := n.raft.Propose(encode(e)); err != nil {
		if then != nil {
			then(lease.Effect{}, err)
		}
		return
	}
	if then != nil {
		n.pending[e.ID] = then
	}
}

// confirm calls r once this coordinator has made sure, after now, that it leads, and has applied all that was
// committed before.
func (n *Node) confirm(r read) {
	if n.watch == nil {
		r(errNotLeading)
		return
	}
	n.waiting = append(n.waiting, r)
}

// work writes, sends and applies until there is nothing left to do. What is sent was written before.
func (n *Node) work() error {
	if len(n.waiting) > 0 {
		n.round++
		n.reads[n.round] = n.waiting
		n.waiting = nil
		n.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, n.round))
	}
	for n.raft.HasReady() {
		rd := n.raft.Ready()
		if n.full != nil {
			if err := n.full(); err != nil {
				return err
			}
		}
		if err := n.disk.save(&rd); err != nil {
			return err
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := n.restored(rd.Snapshot); err != nil {
				return err
			}
			n.peers.set(n.known())
		}
		n.peers.send(rd.Messages)
		for _, e := range rd.CommittedEntries {
			if err := n.apply(e); err != nil {
				return err
			}
		}
		for _, r := range rd.ReadStates {
			if len(r.RequestCtx) != 8 {
				continue
			}
			round := binary.BigEndian.Uint64(r.RequestCtx)
			n.confirmed = append(n.confirmed, confirmation{r.Index, n.reads[round]})
			delete(n.reads, round)
		}
		n.raft.Advance(rd)
		n.office()
		n.answerReads()
	}
	n.awaited = slices.DeleteFunc(n.awaited, func(a awaited) bool {
		if a.so() {
			a.then(nil)
			return true
		}
		return false
	})
	if n.applied >= n.disk.taken+n.c.Entries || n.joined > n.disk.taken {
		return n.disk.compact(n.applied, n.conf, encode(n.g))
	}
	return nil
}

func (n *Node) answerReads() {
	for len(n.confirmed) > 0 && n.confirmed[0].index <= n.applied {
		for _, r := range n.confirmed[0].reads {
			r(nil)
		}
		n.confirmed = n.confirmed[1:]
	}
}

// office follows who leads.
func (n *Node) office() {
	s := n.raft.BasicStatus()
	if s.Lead != n.leader {
		n.leader = s.Lead
		n.elections++
		n.log.Info("leader", "is", n.g.Peers[s.Lead].Name, "term", s.GetTerm())
	}
	leads := s.RaftState == raft.StateLeader
	if n.wasLeader && (!leads || s.GetTerm() != n.term) { // also where it lost the office and has it again
		n.leave()
		n.wasLeader = false
	}
	if leads && !n.wasLeader {
		n.term = s.GetTerm()
		n.propose(lease.Command{Op: lease.Lead, Term: s.GetTerm(), Epoch: uint32(time.Now().Unix())}, nil)
		if n.g.Peers[n.id.ID].Incarnation == 0 {
			n.take(meetPeer{Peer{ID: n.id.ID, Incarnation: n.id.Incarnation}})
		}
	}
	n.wasLeader = leads
}

// leave ends this coordinator's office: whoever waits for it is told, and asks the next one.
func (n *Node) leave() {
	n.watch, n.changing = nil, false
	clear(n.meeting)
	pending, reads := n.pending, n.waiting
	n.pending = map[uint64]func(lease.Effect, error){}
	for _, r := range n.reads {
		reads = append(reads, r...)
	}
	for _, c := range n.confirmed {
		reads = append(reads, c.reads...)
	}
	n.waiting, n.confirmed = nil, nil
	clear(n.reads)
	for _, then := range pending {
		then(lease.Effect{}, errNotLeading)
	}
	rolls := n.rolls
	n.rolls = map[uint64]func(rollout.Reply, error){}
	clear(n.lates)
	for _, then := range rolls {
		then(rollout.Reply{}, errNotLeading)
	}
	for _, r := range reads {
		r(errNotLeading)
	}
	for _, a := range n.awaited {
		a.then(errNotLeading)
	}
	n.awaited = nil
	for id, st := range n.streams {
		st.notLeading(n.leaderAddress())
		delete(n.streams, id)
	}
	for w := range n.watchers {
		w.end()
		delete(n.watchers, w)
	}
}

func (n *Node) leaderAddress() string { return n.g.Peers[n.leader].Address }

func (n *Node) apply(e *raftpb.Entry) error {
	n.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
			return err
		}
		if err := n.g.change(&cc); err != nil {
			return err
		}
		n.conf = n.raft.ApplyConfChange(&cc)
		if cc.GetType() == raftpb.ConfChangeAddLearnerNode {
			n.joined = n.applied
		}
		n.changing = false
		if cc.GetNodeId() == n.id.ID {
			n.id.Joins = false
		}
		n.log.Info("coordinators", "change", cc.GetType(), "id", cc.GetNodeId(), "voters", n.conf.GetVoters(), "learners", n.conf.GetLearners())
		n.peers.set(n.known())
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 {
			return nil
		}
		var x entry
		if err := decode(e.GetData(), &x); err != nil {
			return fmt.Errorf("entry %d of the log: %w", e.GetIndex(), err)
		}
		if x.Meet != nil {
			n.g.meet(*x.Meet)
			n.peers.set(n.known())
		}
		if x.Cmd != nil {
			n.command(x)
		}
		if x.Roll != nil {
			r := n.g.Fleet.Apply(*x.Roll)
			if x.Roll.Op == rollout.Claim {
				delete(n.lates, x.Roll.Unit) // it has its whole time again
			}
			if then := n.rolls[x.ID]; then != nil {
				delete(n.rolls, x.ID)
				then(r, nil)
			}
		}
	}
	return nil
}

func (n *Node) command(x entry) {
	e := n.g.State.Apply(*x.Cmd)
	if s := n.raft.BasicStatus(); x.Cmd.Op == lease.Lead && x.Cmd.Term == s.GetTerm() && s.RaftState == raft.StateLeader {
		n.watch = lease.NewWatch(n.clock(), n.g.State, n.c.Life.Duration)
		n.log.Info("in office", "term", x.Cmd.Term, "sessions", len(n.g.State.Sessions), "sealed", n.g.State.Sealed)
	} else if n.watch != nil {
		n.watch.Applied(n.clock(), n.g.State, *x.Cmd, e)
	}
	then := n.pending[x.ID]
	delete(n.pending, x.ID)
	if then != nil {
		then(e, nil)
	}
	if n.watch == nil {
		return
	}
	n.report(x.Cmd, e)
	for _, id := range e.Touched {
		st := n.streams[id]
		if st == nil {
			continue
		}
		if v, ok := n.g.State.View(id); ok {
			st.told(v)
		} else {
			st.gone()
			delete(n.streams, id)
		}
	}
	for _, c := range e.Changes { // without who sees it a unit is out of sight
		if (c.Kind == lease.Silent || c.Kind == lease.Left) && (c.Member.Kind == AgentKind || c.Member.Kind == WardenKind) {
			for unit, u := range n.g.Fleet.Budget.Units {
				if u.By == c.Member.Name {
					n.roll(rollout.Command{Op: rollout.Lose, Unit: unit}, nil)
				}
			}
		}
	}
	if len(e.Changes) > 0 {
		for w := range n.watchers {
			if !w.push(false, e.Changes, n.g.State.Seq) {
				delete(n.watchers, w)
			}
		}
	}
}

// report logs what a command led to, at the coordinator that leads.
func (n *Node) report(c *lease.Command, e lease.Effect) {
	switch {
	case e.Status == lease.Stale || e.Status == lease.Unknown || e.Status == lease.Full:
		n.log.Debug("without effect", "op", c.Op, "session", c.Session, "lease", c.Name, "token", c.Token, "status", e.Status)
	case c.Op == lease.Expire:
		n.log.Warn("session over", "session", c.Session, "cause", "its life passed without a renewal")
	case c.Op == lease.Close:
		n.log.Info("session over", "session", c.Session, "cause", "closed")
	case c.Op == lease.Revoke:
		n.log.Warn("lease revoked", "lease", c.Name, "token", e.Token, "by", c.By)
	case c.Op == lease.Release || c.Op == lease.Free:
		n.log.Info("lease free", "lease", c.Name, "token", c.Token, "session", c.Session, "cause", c.Op)
	case c.Op == lease.Unseal:
		n.log.Info("leases are given from now on")
	}
	for _, g := range e.Given {
		n.log.Info("lease given", "lease", g.Name, "token", g.Token, "session", g.Session)
	}
}

// post gives the actor something to do; false: its mailbox is full, or it has ended.
func (n *Node) post(to chan any, m any) bool {
	select {
	case <-n.ended:
		return false
	default:
	}
	select {
	case to <- m:
		return true
	default:
		return false
	}
}
