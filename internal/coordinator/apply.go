package coordinator

import (
	"encoding/binary"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionring/lease"
	"junctionring/rollout"
)

// processReady stores, sends and applies what raft has ready until nothing is left. Messages are sent only after the
// state that they depend on is on the disk.
func (n *Node) processReady() error {
	if len(n.nextReads) > 0 {
		n.round++
		n.roundReads[n.round] = n.nextReads
		n.nextReads = nil
		n.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, n.round))
	}
	for n.raft.HasReady() {
		rd := n.raft.Ready()
		if n.checkSpace != nil {
			if err := n.checkSpace(); err != nil {
				return err
			}
		}
		if err := n.disk.save(&rd); err != nil {
			return err
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := n.restore(rd.Snapshot); err != nil {
				return err
			}
			n.peers.set(n.knownPeers())
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
			n.confirmedRounds = append(n.confirmedRounds, confirmedRound{r.Index, n.roundReads[round]})
			delete(n.roundReads, round)
		}
		n.raft.Advance(rd)
		n.followLeadership()
		n.answerConfirmedReads()
	}
	n.appliedWaiters = slices.DeleteFunc(n.appliedWaiters, func(a appliedWaiter) bool {
		if a.condition() {
			a.callback(nil)
			return true
		}
		return false
	})
	if n.applied >= n.disk.snapshotIndex+n.c.Entries || n.learnerAddedAt > n.disk.snapshotIndex {
		return n.disk.compact(n.applied, n.confState, encode(n.g))
	}
	return nil
}

func (n *Node) apply(e *raftpb.Entry) error {
	n.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
			return err
		}
		if err := n.g.applyConfChange(&cc); err != nil {
			return err
		}
		n.confState = n.raft.ApplyConfChange(&cc)
		if cc.GetType() == raftpb.ConfChangeAddLearnerNode {
			n.learnerAddedAt = n.applied
		}
		n.confChangePending = false
		if cc.GetNodeId() == n.id.ID {
			n.id.Joins = false
		}
		n.log.Info("group configuration changed", "change", cc.GetType(), "id", cc.GetNodeId(), "voters", n.confState.GetVoters(), "learners", n.confState.GetLearners())
		n.peers.set(n.knownPeers())
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 {
			return nil
		}
		var x entry
		if err := decode(e.GetData(), &x); err != nil {
			return fmt.Errorf("log entry %d can't be decoded: %w", e.GetIndex(), err)
		}
		if x.Meet != nil {
			n.g.recordIncarnation(*x.Meet)
			n.peers.set(n.knownPeers())
		}
		if x.Cmd != nil {
			n.applyCommand(x)
		}
		if x.FleetCmd != nil {
			r := n.g.Fleet.Apply(*x.FleetCmd)
			if x.FleetCmd.Op == rollout.Claim {
				delete(n.permitDeadlines, x.FleetCmd.Unit) // a claimed permit has its full lifetime again
			}
			if then := n.pendingFleet[x.ID]; then != nil {
				delete(n.pendingFleet, x.ID)
				then(r, nil)
			}
		}
	}
	return nil
}

func (n *Node) applyCommand(x entry) {
	e := n.g.State.Apply(*x.Cmd)
	if s := n.raft.BasicStatus(); x.Cmd.Op == lease.Lead && x.Cmd.Term == s.GetTerm() && s.RaftState == raft.StateLeader {
		n.expiry = lease.NewExpiryTracker(n.clock(), n.g.State, n.c.Life.Duration)
		n.log.Info("leadership established", "term", x.Cmd.Term, "sessions", len(n.g.State.Sessions), "sealed", n.g.State.Sealed)
	} else if n.expiry != nil {
		n.expiry.Applied(n.clock(), n.g.State, *x.Cmd, e)
	}
	then := n.pending[x.ID]
	delete(n.pending, x.ID)
	if then != nil {
		then(e, nil)
	}
	if n.expiry == nil {
		return
	}
	n.logEffect(x.Cmd, e)
	for _, id := range e.AffectedSessions {
		st := n.streams[id]
		if st == nil {
			continue
		}
		if v, ok := n.g.State.View(id); ok {
			st.sendView(v)
		} else {
			st.sendGone()
			delete(n.streams, id)
		}
	}
	for _, c := range e.Changes { // a unit is lost once its observer has left or expired
		if (c.Kind == lease.Expired || c.Kind == lease.Left) && (c.Member.Kind == AgentKind || c.Member.Kind == WardenKind) {
			for unit, u := range n.g.Fleet.Budget.Units {
				if u.By == c.Member.Name {
					n.proposeFleet(rollout.Command{Op: rollout.MarkLost, Unit: unit}, nil)
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

// logEffect logs the effect of a command. Only the leader calls it.
func (n *Node) logEffect(c *lease.Command, e lease.Effect) {
	switch {
	case e.Status == lease.Stale || e.Status == lease.Unknown || e.Status == lease.Full:
		n.log.Debug("command had no effect", "op", c.Op, "session", c.Session, "lease", c.Name, "token", c.Token, "status", e.Status)
	case c.Op == lease.Expire:
		n.log.Warn("session ended", "session", c.Session, "cause", "its life passed without a renewal")
	case c.Op == lease.Close:
		n.log.Info("session ended", "session", c.Session, "cause", "closed")
	case c.Op == lease.Revoke:
		n.log.Warn("lease revoked", "lease", c.Name, "token", e.Token, "by", c.By)
	case c.Op == lease.Release || c.Op == lease.Free:
		n.log.Info("lease freed", "lease", c.Name, "token", c.Token, "session", c.Session, "cause", c.Op)
	case c.Op == lease.Unseal:
		n.log.Info("new leader grants leases from now on")
	}
	for _, g := range e.Granted {
		n.log.Info("lease granted", "lease", g.Name, "token", g.Token, "session", g.Session)
	}
}
