package coordinator

import (
	"time"

	"go.etcd.io/raft/v3"

	"junctionring/lease"
	"junctionring/rollout"
)

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
