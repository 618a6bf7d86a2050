package coordinator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"junctionring/internal/coordinator/leasepb"
	"junctionring/lease"
)

const (
	outboxSize      = 64  // answers queued for one client; the stream of a client that reads too slowly ends
	maxNameBytes    = 200 // bound of each name and member field
	backupChunkSize = 256 << 10
	minSessionTTL   = time.Second
	activeWithin    = 250 * time.Millisecond // since its last answer: five heartbeat intervals
	busyRetryAfter  = 500 * time.Millisecond
	fullRetryAfter  = 2 * time.Second
)

// Server returns the gRPC server of a coordinator, with its services registered.
func (n *Node) Server() *grpc.Server {
	s := grpc.NewServer(grpc.MaxRecvMsgSize(leasepb.MaxMessageBytes), grpc.MaxConcurrentStreams(uint32(2*n.c.Bounds.Sessions)),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 20 * time.Second, Timeout: 10 * time.Second}))
	leasepb.RegisterPeersServer(s, peerServer{n: n})
	leasepb.RegisterLeasesServer(s, service{n: n})
	return s
}

type service struct {
	leasepb.UnimplementedLeasesServer
	n *Node
}

// outbox carries answers from the actor to one client. The actor never waits for a client: a full outbox closes.
type outbox[T any] struct {
	out   chan T
	done  chan struct{} // closed when the actor closes the outbox or the client disconnects
	close func()
}

func newOutbox[T any](ctx context.Context) outbox[T] {
	ctx, end := context.WithCancel(ctx)
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { close(done) })
	return outbox[T]{make(chan T, outboxSize), done, end}
}

func (o outbox[T]) put(m T) bool {
	select {
	case o.out <- m:
		return true
	default:
		o.close()
		return false
	}
}

// pump sends queued answers until the outbox is closed and empty.
func (o outbox[T]) pump(send func(T) error) error {
	for {
		select {
		case m := <-o.out:
			if err := send(m); err != nil {
				return err
			}
		case <-o.done:
			for {
				select {
				case m := <-o.out:
					if err := send(m); err != nil {
						return err
					}
				default:
					return nil
				}
			}
		}
	}
}

// stream is the stream of one holder's session.
type stream struct {
	outbox[*leasepb.ToHolder]
	session string
}

func (st *stream) sendView(v lease.View) {
	st.put(&leasepb.ToHolder{Is: &leasepb.ToHolder_Told{Told: toProtoView(v)}})
}

func (st *stream) sendGone() {
	st.put(&leasepb.ToHolder{Is: &leasepb.ToHolder_Gone{Gone: true}})
	st.close()
}

func (st *stream) sendNotLeader(leader string) {
	st.put(&leasepb.ToHolder{Is: &leasepb.ToHolder_NotLeading{NotLeading: &leasepb.NotLeading{Leader: leader}}})
	st.close()
}

func (st *stream) sendBusy(after time.Duration, why string) {
	st.put(&leasepb.ToHolder{Is: &leasepb.ToHolder_Busy{Busy: &leasepb.Busy{RetryAfterMs: after.Milliseconds(), Why: why}}})
}

// Session implements the Leases service: the stream over which a holder opens, renews and uses its session.
func (s service) Session(g grpc.BidiStreamingServer[leasepb.FromHolder, leasepb.ToHolder]) error {
	n := s.n
	first, err := g.Recv()
	if err != nil {
		return err
	}
	at := n.clock()
	o := first.GetOpen()
	if err := n.checkOpen(o); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	st := &stream{newOutbox[*leasepb.ToHolder](g.Context()), o.Session}
	defer st.close()
	if !n.post(n.urgent, call{func() { n.openSession(st, o, at) }}) {
		st.sendBusy(busyRetryAfter, "too much is waiting here")
		st.close()
	}
	go func() {
		defer func() {
			st.close()
			n.post(n.requests, call{func() {
				if n.streams[st.session] == st {
					delete(n.streams, st.session)
				}
			}})
		}()
		for {
			m, err := g.Recv()
			if err != nil {
				return
			}
			at, mailbox, do := n.clock(), n.requests, func() {}
			switch is := m.Is.(type) {
			case *leasepb.FromHolder_Renew:
				mailbox, do = n.urgent, func() { n.renew(st, is.Renew, at) }
			case *leasepb.FromHolder_Ask:
				if err := checkRequest(is.Ask); err != nil {
					return // no holder of this project sends it: the stream ends
				}
				do = func() { n.handleRequest(st, is.Ask) }
			case *leasepb.FromHolder_Close:
				do = func() { n.propose(lease.Command{Op: lease.Close, Session: st.session}, nil) }
			}
			if !n.post(mailbox, call{do}) {
				st.sendBusy(busyRetryAfter, "too much is waiting here")
			}
		}
	}()
	return st.pump(g.Send)
}

func (n *Node) checkOpen(o *leasepb.Open) error {
	life := time.Duration(o.GetLifeMs()) * time.Millisecond
	switch {
	case o == nil:
		return errors.New("a session's first message must open it")
	case o.Session == "" || len(o.Session) > maxNameBytes:
		return errors.New("session: it has no name, or one over 200 bytes")
	case life < minSessionTTL || life > n.c.Life.Duration:
		return fmt.Errorf("life: %v is not from %v to the longest_life of %v", life, minSessionTTL, n.c.Life.Duration)
	}
	return checkMember(o.Member)
}

func checkMember(m *leasepb.Member) error {
	for _, value := range []string{m.GetKind(), m.GetName(), m.GetSite(), m.GetAddress(), m.GetVersion(), m.GetState()} {
		if len(value) > maxNameBytes {
			return fmt.Errorf("member: %.20q... has over 200 bytes", value)
		}
	}
	return nil
}

func checkRequest(a *leasepb.Ask) error {
	switch lease.Op(a.Op) {
	case lease.Acquire, lease.Release:
		if a.Name == "" || len(a.Name) > maxNameBytes {
			return errors.New("lease: it has no name, or one over 200 bytes")
		}
		return nil
	case lease.Report:
		return checkMember(a.Member)
	}
	return fmt.Errorf("a holder can't ask for %d", a.Op)
}

// openSession opens a session, or resumes an open one on a new stream.
func (n *Node) openSession(st *stream, o *leasepb.Open, at time.Duration) {
	if n.expiry == nil {
		st.sendNotLeader(n.leaderAddress())
		return
	}
	if previous := n.streams[st.session]; previous != nil && previous != st {
		previous.close()
		delete(n.streams, st.session)
	}
	if n.g.State.Sessions[st.session] != nil {
		n.streams[st.session] = st
		n.renew(st, o.Renew, at)
		return
	}
	if len(n.pending) >= n.c.Bounds.Asks {
		st.sendBusy(busyRetryAfter, "too many asks are under way")
		st.close()
		return
	}
	n.propose(lease.Command{Op: lease.Open, Session: st.session, TTL: time.Duration(o.LifeMs) * time.Millisecond,
		Member: o.Member.LeaseMember(), Bounds: n.c.bounds()}, func(e lease.Effect, err error) {
		switch {
		case err != nil:
			st.sendNotLeader(n.leaderAddress())
		case e.Status == lease.Full:
			st.sendBusy(fullRetryAfter, fmt.Sprintf("%d sessions are open, the most that are kept here", n.c.Bounds.Sessions))
			st.close()
		default:
			n.streams[st.session] = st
			n.answerRenewal(st, o.Renew, n.clock())
		}
	})
}

func (n *Node) renew(st *stream, number uint64, at time.Duration) {
	n.confirmLeadership(func(err error) {
		if err != nil {
			st.sendNotLeader(n.leaderAddress())
			return
		}
		n.answerRenewal(st, number, at)
	})
}

// answerRenewal answers a renewal received at a time after which this coordinator has confirmed its leadership.
func (n *Node) answerRenewal(st *stream, number uint64, at time.Duration) {
	if n.expiry == nil || !n.expiry.Renewed(at, n.g.State, st.session) {
		st.sendGone()
		return
	}
	v, _ := n.g.State.View(st.session)
	st.put(&leasepb.ToHolder{Is: &leasepb.ToHolder_Renewed{Renewed: &leasepb.Renewed{Renew: number, View: toProtoView(v)}}})
}

func (n *Node) handleRequest(st *stream, a *leasepb.Ask) {
	switch {
	case n.expiry == nil:
		st.sendNotLeader(n.leaderAddress())
		return
	case len(n.pending) >= n.c.Bounds.Asks:
		st.sendBusy(busyRetryAfter, "too many asks are under way")
		return
	}
	n.propose(lease.Command{Op: lease.Op(a.Op), Session: st.session, Seq: a.Seq, Name: a.Name, Token: a.Token,
		Member: a.Member.LeaseMember(), Bounds: n.c.bounds()}, func(e lease.Effect, err error) {
		v, there := n.g.State.View(st.session)
		switch {
		case errors.Is(err, raft.ErrProposalDropped):
			st.sendBusy(busyRetryAfter, "the log is behind")
		case err != nil:
			st.sendNotLeader(n.leaderAddress())
		case !there:
			st.sendGone()
		default:
			if e.Status == lease.Full {
				st.sendBusy(fullRetryAfter, "as many leases, or waiters for this one, as are kept here")
			}
			st.put(&leasepb.ToHolder{Is: &leasepb.ToHolder_Answered{Answered: &leasepb.Answered{Seq: a.Seq, Outcome: toProtoOutcome(e.Outcome), View: toProtoView(v)}}})
		}
	})
}

// watcher is a client's stream of membership changes.
type watcher struct {
	outbox[*leasepb.WatchAnswer]
}

func (w *watcher) end() { w.close() }

func (w *watcher) push(whole bool, changes []lease.Change, seq uint64) bool {
	a := &leasepb.WatchAnswer{Whole: whole, Seq: seq}
	for _, c := range changes {
		a.Changes = append(a.Changes, &leasepb.Change{Seq: c.Seq, Kind: uint32(c.Kind), Session: c.Session, Member: leasepb.FromMember(c.Member)})
	}
	return w.put(a)
}

// Watch implements the Leases service: it sends the changes that the client missed, or a whole list, and then each change
// in order.
func (s service) Watch(a *leasepb.WatchAsk, g grpc.ServerStreamingServer[leasepb.WatchAnswer]) error {
	w := &watcher{newOutbox[*leasepb.WatchAnswer](g.Context())}
	defer w.close()
	_, err := runAsLeader(g.Context(), s, func(n *Node) (struct{}, error) {
		if len(n.watchers) >= n.c.Bounds.Sessions {
			return struct{}{}, status.Errorf(codes.ResourceExhausted, "%d watch already, the most that are told here: come back in %v", len(n.watchers), fullRetryAfter)
		}
		state := n.g.State
		missed, ok := state.ChangesSince(a.After)
		if a.Whole || !ok {
			missed = nil
			for _, id := range slices.Sorted(maps.Keys(state.Sessions)) {
				missed = append(missed, lease.Change{Kind: lease.Joined, Session: id, Member: state.Sessions[id].Member})
			}
			w.push(true, missed, state.Seq)
		} else {
			w.push(false, missed, state.Seq)
		}
		n.watchers[w] = struct{}{}
		return struct{}{}, nil
	})
	if err != nil {
		return err
	}
	defer s.n.post(s.n.requests, call{func() { delete(s.n.watchers, w) }})
	if err := w.pump(g.Send); err != nil {
		return err
	}
	return status.Error(codes.Unavailable, "the stream ended here: come again with the newest change known")
}

// reply is the actor's reply to a call: a value or an error.
type reply[T any] struct {
	value T
	err   error
}

// runInActor runs f in the actor and waits for the reply that f passes to done. If the call ends first, it shares no
// memory with the actor.
func runInActor[T any](ctx context.Context, s service, f func(n *Node, done func(T, error))) (value T, err error) {
	replies := make(chan reply[T], 1)
	leader := ""
	if !s.n.post(s.n.requests, call{func() {
		f(s.n, func(value T, err error) {
			leader = s.n.leaderAddress()
			replies <- reply[T]{value, err}
		})
	}}) {
		return value, status.Error(codes.ResourceExhausted, "too much is waiting here: come back in 500ms")
	}
	select {
	case r := <-replies:
		if errors.Is(r.err, errNotLeader) {
			grpc.SetTrailer(ctx, metadata.Pairs("leader", leader))
			return value, status.Error(codes.FailedPrecondition, r.err.Error())
		}
		if _, is := status.FromError(r.err); r.err != nil && !is {
			return value, status.Error(codes.Aborted, r.err.Error())
		}
		return r.value, r.err
	case <-ctx.Done():
		return value, status.FromContextError(ctx.Err()).Err()
	case <-s.n.ended:
		return value, status.Error(codes.Unavailable, "this coordinator has ended")
	}
}

// runAsLeader runs f in the actor once this coordinator has confirmed its leadership.
func runAsLeader[T any](ctx context.Context, s service, f func(n *Node) (T, error)) (T, error) {
	return runInActor(ctx, s, func(n *Node, done func(T, error)) {
		n.confirmLeadership(func(err error) {
			var value T
			if err == nil {
				value, err = f(n)
			}
			done(value, err)
		})
	})
}

// List implements the Leases service: it returns all leases and sessions.
func (s service) List(ctx context.Context, _ *leasepb.ListAsk) (*leasepb.ListAnswer, error) {
	return runAsLeader(ctx, s, func(n *Node) (*leasepb.ListAnswer, error) {
		a, state := &leasepb.ListAnswer{}, n.g.State
		a.Sealed = state.Sealed
		for _, name := range slices.Sorted(maps.Keys(state.Leases)) {
			l := state.Leases[name]
			out := &leasepb.Lease{Name: name, Holder: l.Holder, Token: l.Token, Revoked: l.Revoked, Waiters: slices.Clone(l.Waiters)}
			if who := state.Sessions[l.Holder]; who != nil {
				out.Member = leasepb.FromMember(who.Member)
			}
			a.Leases = append(a.Leases, out)
		}
		for _, id := range slices.Sorted(maps.Keys(state.Sessions)) {
			who := state.Sessions[id]
			a.Sessions = append(a.Sessions, &leasepb.Session{Id: id, Member: leasepb.FromMember(who.Member), LifeMs: who.TTL.Milliseconds(),
				LeftMs: n.expiry.Remaining(n.clock(), id).Milliseconds()})
		}
		return a, nil
	})
}

// Revoke implements the Leases service. The lease is granted to the next waiter once its holder has confirmed that it
// stopped, or can't act any more.
func (s service) Revoke(ctx context.Context, a *leasepb.RevokeAsk) (*leasepb.Outcome, error) {
	return runInActor(ctx, s, func(n *Node, done func(*leasepb.Outcome, error)) {
		if n.expiry == nil {
			done(nil, errNotLeader)
			return
		}
		n.propose(lease.Command{Op: lease.Revoke, Name: a.Name, Token: a.Token, By: a.By}, func(e lease.Effect, err error) {
			done(toProtoOutcome(e.Outcome), err)
		})
	})
}

// Status implements the Leases service. Every coordinator answers for itself, whether it leads or not.
func (s service) Status(ctx context.Context, _ *leasepb.StatusAsk) (*leasepb.StatusAnswer, error) {
	return runInActor(ctx, s, func(n *Node, done func(*leasepb.StatusAnswer, error)) {
		st := n.raft.Status()
		last, err := n.disk.mem.LastIndex()
		a := &leasepb.StatusAnswer{Name: n.id.Name, Id: n.id.ID, Group: n.id.Group, Term: st.GetTerm(), Leader: st.Lead, LeaderAddress: n.leaderAddress(),
			Applied: n.applied, Last: last, Snapshot: n.disk.snapshotIndex, Sessions: int32(len(n.g.State.Sessions)), Leases: int32(len(n.g.State.Leases)),
			Elections: n.elections, Token: n.g.State.Token, Sealed: n.g.State.Sealed}
		for _, id := range slices.Sorted(maps.Keys(n.g.Peers)) {
			p := n.g.Peers[id]
			c := &leasepb.Coordinator{Id: id, Name: p.Name, Address: p.Address, Votes: slices.Contains(n.confState.GetVoters(), id), Met: p.Incarnation != 0}
			if silent, ok := n.peers.sinceLastAnswer(id); ok {
				c.SilentMs = silent.Milliseconds()
			} else if id != n.id.ID {
				c.SilentMs = -1
			}
			if n.expiry != nil {
				c.Behind = last - min(last, st.Progress[id].Match)
			}
			a.Coordinators = append(a.Coordinators, c)
		}
		done(a, err)
	})
}

// Backup implements the Leases service: it sends the replicated state in chunks.
func (s service) Backup(_ *leasepb.BackupAsk, g grpc.ServerStreamingServer[leasepb.Piece]) error {
	all, err := runAsLeader(g.Context(), s, func(n *Node) ([]byte, error) { return encode(n.g), nil })
	if err != nil {
		return err
	}
	for piece := range slices.Chunk(all, backupChunkSize) {
		if err := g.Send(&leasepb.Piece{Data: piece}); err != nil {
			return err
		}
	}
	return nil
}

var errConfChangePending = status.Error(codes.Unavailable, "another change of the group is under way: come back when 'coordinator status' shows it done")

// AddCoordinator implements the Leases service. The new coordinator is a learner at first and votes once it has caught
// up.
func (s service) AddCoordinator(ctx context.Context, c *leasepb.Coordinator) (*leasepb.Coordinator, error) {
	return runInActor(ctx, s, func(n *Node, done func(*leasepb.Coordinator, error)) {
		p, there := n.g.peerNamed(c.Name)
		switch {
		case n.expiry == nil:
			done(nil, errNotLeader)
			return
		case there && p.Address == c.Address && p.Incarnation == 0: // a repeated request
			done(&leasepb.Coordinator{Id: p.ID, Name: p.Name, Address: p.Address}, nil)
			return
		case there:
			done(nil, status.Errorf(codes.AlreadyExists, "%s is coordinator %d already; if its disk was lost, remove it first", c.Name, p.ID))
			return
		case n.confChangePending || len(n.confState.GetLearners()) > 0:
			done(nil, errConfChangePending)
			return
		case c.Name == "" || c.Address == "" || len(c.Name)+len(c.Address) > maxNameBytes:
			done(nil, status.Error(codes.InvalidArgument, "a coordinator needs a name and an address"))
			return
		}
		p = Peer{ID: n.g.Next, Name: c.Name, Address: c.Address}
		if err := n.proposeConfChange(raftpb.ConfChangeAddLearnerNode, p); err != nil {
			done(nil, err)
			return
		}
		n.appliedWaiters = append(n.appliedWaiters, appliedWaiter{func() bool { _, in := n.g.Peers[p.ID]; return in }, func(err error) {
			done(&leasepb.Coordinator{Id: p.ID, Name: p.Name, Address: p.Address}, err)
		}})
	})
}

// RemoveCoordinator implements the Leases service.
func (s service) RemoveCoordinator(ctx context.Context, c *leasepb.Coordinator) (*leasepb.Coordinator, error) {
	return runInActor(ctx, s, func(n *Node, done func(*leasepb.Coordinator, error)) {
		p, there := n.g.peerNamed(c.Name)
		switch {
		case n.expiry == nil:
			done(nil, errNotLeader)
			return
		case !there:
			done(nil, status.Errorf(codes.NotFound, "no coordinator is called %q", c.Name))
			return
		case n.confChangePending:
			done(nil, errConfChangePending)
			return
		}
		if err := n.checkRemovable(p.ID); err != nil {
			done(nil, err)
			return
		}
		if p.ID == n.id.ID { // the next leader has to remove it, and the client asks there again
			n.transferLeadership()
			done(nil, errNotLeader)
			return
		}
		if err := n.proposeConfChange(raftpb.ConfChangeRemoveNode, p); err != nil {
			done(nil, err)
			return
		}
		n.appliedWaiters = append(n.appliedWaiters, appliedWaiter{func() bool { _, in := n.g.Peers[p.ID]; return !in }, func(err error) {
			done(&leasepb.Coordinator{Id: p.ID, Name: p.Name, Address: p.Address}, err)
		}})
	})
}

// checkRemovable returns an error if the remaining voters would have no active majority.
func (n *Node) checkRemovable(without uint64) error {
	voters, active := 0, 0
	for id, p := range n.raft.Status().Progress {
		if id == without || p.IsLearner {
			continue
		}
		voters++
		if silent, ok := n.peers.sinceLastAnswer(id); id == n.id.ID || ok && silent < activeWithin {
			active++
		}
	}
	if voters == 0 {
		return status.Error(codes.FailedPrecondition, "it is the only coordinator that votes")
	}
	if active <= voters/2 {
		return status.Errorf(codes.FailedPrecondition, "%d of the %d others are at work: without it there would be no majority", active, voters)
	}
	return nil
}

// Join implements the Leases service: it returns the ID of an added coordinator to the process that runs it. An ID goes
// to one process only.
func (s service) Join(ctx context.Context, j *leasepb.JoinAsk) (*leasepb.JoinAnswer, error) {
	return runInActor(ctx, s, func(n *Node, done func(*leasepb.JoinAnswer, error)) {
		p, there := n.g.peerNamed(j.Name)
		switch {
		case n.expiry == nil:
			done(nil, errNotLeader)
		case !there:
			done(nil, status.Errorf(codes.NotFound, "no coordinator %q was added to this group", j.Name))
		case p.Incarnation != 0 && p.Incarnation != j.Incarnation:
			done(nil, status.Errorf(codes.AlreadyExists, "%s is at work already; if its disk was lost, remove it and add it again", j.Name))
		default:
			a := &leasepb.JoinAnswer{Group: n.id.Group, Id: p.ID}
			for id, p := range n.g.Peers {
				a.Coordinators = append(a.Coordinators, &leasepb.Coordinator{Id: id, Name: p.Name, Address: p.Address})
			}
			n.handle(meetPeer{Peer{ID: p.ID, Incarnation: j.Incarnation}})
			n.appliedWaiters = append(n.appliedWaiters, appliedWaiter{func() bool { return n.g.Peers[p.ID].Incarnation != 0 }, func(err error) {
				if err == nil && n.g.Peers[p.ID].Incarnation != j.Incarnation {
					err = status.Error(codes.AlreadyExists, "another process joined under this name")
				}
				done(a, err)
			}})
		}
	})
}

func toProtoOutcome(o lease.Outcome) *leasepb.Outcome {
	return &leasepb.Outcome{Status: uint32(o.Status), Token: o.Token, Place: int32(o.Place)}
}

func toProtoView(v lease.View) *leasepb.View {
	out := &leasepb.View{Rev: v.Rev}
	for _, g := range v.Held {
		out.Held = append(out.Held, &leasepb.Grant{Name: g.Name, Token: g.Token})
	}
	for _, p := range v.Places {
		out.Places = append(out.Places, &leasepb.Place{Name: p.Name, Before: int32(p.Before)})
	}
	return out
}
