package coordinator

import (
	"time"

	"go.etcd.io/raft/v3"

	"junctionring/lease"
	"junctionring/rollout"
)

// transferLeadership hands the leadership to the most up-to-date active voter before this coordinator stops or is
// removed, so that clients need not wait for an election.
func (n *Node) transferLeadership() {
	if n.expiry == nil {
		return
	}
	var to, bestMatch uint64
	for id, p := range n.raft.Status().Progress {
		if id != n.id.ID && !p.IsLearner && p.RecentActive && p.Match >= bestMatch {
			to, bestMatch = id, p.Match
		}
	}
	if to == 0 {
		return
	}
	n.log.Info("transferring leadership", "to", n.g.Peers[to].Name)
	n.raft.TransferLeader(to)
	for start := time.Now(); time.Since(start) < 500*time.Millisecond && n.raft.BasicStatus().RaftState == raft.StateLeader; {
		if n.processReady() != nil {
			return
		}
		select {
		case m := <-n.urgent:
			n.handle(m)
		case <-time.After(tickInterval):
		}
	}
}

// followLeadership reacts to changes of the leader and of this coordinator's own role.
func (n *Node) followLeadership() {
	s := n.raft.BasicStatus()
	if s.Lead != n.leader {
		n.leader = s.Lead
		n.elections++
		n.log.Info("leader changed", "is", n.g.Peers[s.Lead].Name, "term", s.GetTerm())
	}
	leads := s.RaftState == raft.StateLeader
	if n.wasLeader && (!leads || s.GetTerm() != n.term) { // also if it lost the leadership and won it again in between
		n.stepDown()
		n.wasLeader = false
	}
	if leads && !n.wasLeader {
		n.term = s.GetTerm()
		n.propose(lease.Command{Op: lease.Lead, Term: s.GetTerm(), Epoch: uint32(time.Now().Unix())}, nil)
		if n.g.Peers[n.id.ID].Incarnation == 0 {
			n.handle(meetPeer{Peer{ID: n.id.ID, Incarnation: n.id.Incarnation}})
		}
	}
	n.wasLeader = leads
}

// stepDown drops the state of this coordinator's leadership. Pending calls fail with errNotLeader and streams end, so
// that clients turn to the next leader.
func (n *Node) stepDown() {
	n.expiry, n.confChangePending = nil, false
	clear(n.meetProposed)
	pending, reads := n.pending, n.nextReads
	n.pending = map[uint64]func(lease.Effect, error){}
	for _, r := range n.roundReads {
		reads = append(reads, r...)
	}
	for _, c := range n.confirmedRounds {
		reads = append(reads, c.reads...)
	}
	n.nextReads, n.confirmedRounds = nil, nil
	clear(n.roundReads)
	for _, then := range pending {
		then(lease.Effect{}, errNotLeader)
	}
	rolls := n.pendingFleet
	n.pendingFleet = map[uint64]func(rollout.Reply, error){}
	clear(n.permitDeadlines)
	for _, then := range rolls {
		then(rollout.Reply{}, errNotLeader)
	}
	for _, r := range reads {
		r(errNotLeader)
	}
	for _, a := range n.appliedWaiters {
		a.callback(errNotLeader)
	}
	n.appliedWaiters = nil
	for id, st := range n.streams {
		st.sendNotLeader(n.leaderAddress())
		delete(n.streams, id)
	}
	for w := range n.watchers {
		w.end()
		delete(n.watchers, w)
	}
}

func (n *Node) leaderAddress() string { return n.g.Peers[n.leader].Address }
