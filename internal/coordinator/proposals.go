package coordinator

import (
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"junctionring/lease"
	"junctionring/rollout"
)

// awaited is somebody who waits for a change of the group to be applied.
type appliedWaiter struct {
	condition func() bool
	callback  func(error)
}

// late is when a permit's time has passed, as this leader counts from its start or the permit's.
type permitDeadline struct {
	token uint64
	at    time.Duration
}

// due proposes what time calls for.
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

// overdue proposes what the permits' times call for. A permit that waited has its time from when it was given; after
// a change of leader every one has its whole time again.
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

// roll puts a command of the fleet on its way to the log; then is called as with propose.
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

// promote gives a joiner that has caught up its vote.
func (n *Node) promoteLearner() {
	if n.confChangePending || len(n.confState.GetLearners()) == 0 {
		return
	}
	s := n.raft.Status()
	for _, id := range n.confState.GetLearners() {
		p, known := s.Progress[id], n.g.Peers[id]
		if known.Incarnation != 0 && p.RecentActive && p.Match+maxPromotionLag >= s.GetCommit() {
			n.log.Info("the joiner has caught up and votes from now on", "name", known.Name)
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
