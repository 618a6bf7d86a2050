package coordinator

import (
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"junctionring/lease"
	"junctionring/rollout"
)

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
			n.roll(rollout.Command{Op: rollout.MarkOverdue, Unit: unit, Token: p.Token}, nil)
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
