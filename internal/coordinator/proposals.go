package coordinator

import (
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"junctionring/lease"
	"junctionring/rollout"
)

// appliedWaiter is a call that waits until a change of the group is applied.
type appliedWaiter struct {
	condition func() bool
	callback  func(error)
}

// permitDeadline is the time at which a permit is overdue. The leader counts the permit's lifetime from the start of its
// leadership or from when the permit was granted, whichever is later.
type permitDeadline struct {
	token uint64
	at    time.Duration
}

// proposeDue proposes what is due by the clock, and the promotion of a learner that has caught up.
func (n *Node) proposeDue() {
	if n.expiry == nil {
		return
	}
	for _, c := range n.expiry.Due(n.clock(), n.g.State) {
		n.propose(c, nil)
	}
	n.proposeOverdue()
	n.promoteLearner()
}

// proposeOverdue marks permits whose lifetime has passed as overdue. A lifetime starts when the permit is granted, not
// when it is requested; after a change of leader every permit has its full lifetime again.
func (n *Node) proposeOverdue() {
	f := n.g.Fleet
	for unit, p := range f.Budget.Permits {
		l, counted := n.permitDeadlines[unit]
		if !counted || l.token != p.Token {
			n.permitDeadlines[unit] = permitDeadline{p.Token, n.clock() + f.Lives[unit]}
		} else if p.Overdue || p.Returned && f.Budget.Units[unit] == nil {
			continue
		} else if n.clock() >= l.at {
			n.permitDeadlines[unit] = permitDeadline{p.Token, n.clock() + overdueRetry}
			n.proposeFleet(rollout.Command{Op: rollout.MarkOverdue, Unit: unit, Token: p.Token}, nil)
		}
	}
	for unit := range n.permitDeadlines {
		if f.Budget.Permits[unit] == nil {
			delete(n.permitDeadlines, unit)
		}
	}
}

// proposeFleet proposes a command of the fleet. then is called as for propose.
func (n *Node) proposeFleet(c rollout.Command, then func(rollout.Reply, error)) {
	n.proposals++
	id := n.proposals
	c.At = time.Now().UnixMilli()
	if err := n.raft.Propose(encode(entry{ID: id, FleetCmd: &c})); err != nil {
		if then != nil {
			then(rollout.Reply{}, err)
		}
		return
	}
	if then != nil {
		n.pendingFleet[id] = then
	}
}

// promoteLearner proposes to make a learner that has caught up a voter.
func (n *Node) promoteLearner() {
	if n.confChangePending || len(n.confState.GetLearners()) == 0 {
		return
	}
	s := n.raft.Status()
	for _, id := range n.confState.GetLearners() {
		p, known := s.Progress[id], n.g.Peers[id]
		if known.Incarnation != 0 && p.RecentActive && p.Match+maxPromotionLag >= s.GetCommit() {
			n.log.Info("learner has caught up: promoting it to voter", "name", known.Name)
			n.proposeConfChange(raftpb.ConfChangeAddNode, known)
			return
		}
	}
}

func (n *Node) proposeConfChange(kind raftpb.ConfChangeType, p Peer) error {
	err := n.raft.ProposeConfChange(&raftpb.ConfChange{Type: kind.Enum(), NodeId: new(p.ID), Context: encode(p)})
	n.confChangePending = n.confChangePending || err == nil
	return err
}

// propose proposes a lease command. then, unless nil, is called once: when the command is applied here, when raft
// rejects the proposal, or when this coordinator loses the leadership and can no longer tell the outcome.
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
